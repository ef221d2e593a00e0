"""Schema of the settings tree."""

from __future__ import annotations

import enum
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, StringConstraints

Name = Annotated[str, StringConstraints(pattern=r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")]
DurationMs = Annotated[int, Field(gt=0, le=86_400_000)]
Percent = Annotated[int, Field(ge=0, le=100)]
Count = Annotated[int, Field(gt=0, le=100_000_000)]


class Node(BaseModel):
    """Base class of all parts of the tree; rejects unknown keys and wrong types."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class PoolRole(enum.Enum):
    """Role of the backend servers of a pool."""

    PREFILL = "prefill"
    DECODE = "decode"
    PLAIN = "plain"


class ServiceKind(enum.Enum):
    """How requests to a service are routed."""

    MODEL = "model"
    PLAIN = "plain"


class Repeat(enum.Enum):
    """Whether a call may be repeated."""

    FREELY = "freely"
    AT_MOST_ONCE = "at_most_once"


class Values(Node):
    """Values that any branch may set; an unset value is inherited from the branch above."""

    ttft_target_ms: DurationMs | None = Field(
        default=None,
        description="Latency target for the first token; for a plain service, the whole answer.",
    )
    tbt_target_ms: DurationMs | None = Field(
        default=None, description="Latency target for the time between tokens."
    )
    request_deadline_ms: DurationMs | None = Field(
        default=None, description="Time after which an unanswered request is given up."
    )
    max_body_bytes: Count | None = Field(
        default=None, description="Largest request body accepted from a caller."
    )
    max_prompt_tokens: Count | None = Field(default=None, description="Longest prompt accepted.")
    max_output_tokens: Count | None = Field(
        default=None, description="Most tokens generated for one request."
    )
    max_restarts: Annotated[int, Field(ge=0, le=10)] | None = Field(
        default=None, description="New attempts of a request whose engine was lost."
    )
    retry_budget_percent: Percent | None = Field(
        default=None, description="Retries allowed, relative to the requests of the service."
    )
    batch_share_percent: Percent | None = Field(
        default=None, description="Share of prefill time that batch work receives at least."
    )
    key_max_age_ms: DurationMs | None = Field(
        default=None, description="Retention of booking keys; older keys are refused."
    )
    crash_limit: Annotated[int, Field(ge=1, le=10)] | None = Field(
        default=None, description="Servers that a request may crash before it is quarantined."
    )
    quarantine_ms: DurationMs | None = Field(
        default=None, description="Time for which a quarantined request is refused."
    )
    slots_per_engine: Count | None = Field(
        default=None, description="Requests that a decode engine holds at once."
    )
    pieces_per_engine: Count | None = Field(
        default=None, description="KV blocks in the memory of an engine."
    )
    tokens_per_piece: Count | None = Field(
        default=None, description="Tokens whose KV cache fits into one KV block."
    )
    kv_ttl_ms: DurationMs | None = Field(
        default=None, description="Time for which a prefill engine keeps a finished KV cache."
    )
    kv_bytes_per_token: Count | None = Field(
        default=None, description="Size of the KV cache of one token."
    )
    link_rate_bytes_per_s: Annotated[int, Field(gt=0)] | None = Field(
        default=None, description="Rate of the link out of a prefill engine."
    )
    prefill_tokens_per_s: Count | None = Field(
        default=None, description="Prompt tokens that a prefill engine computes per second."
    )
    checks_fencing: bool | None = Field(
        default=None,
        description="Whether the engines refuse an order with an older fencing number.",
    )
    checks_giver: bool | None = Field(
        default=None, description="Whether the backend servers check which host sent an order."
    )
    drain_ms: DurationMs | None = Field(
        default=None,
        description="Longest time that a leaving entry host waits for requests in flight; if the "
        "request deadline is longer, it applies instead, so that a planned stop aborts no request.",
    )


DEFAULT_VALUES = Values(
    ttft_target_ms=1_900,
    tbt_target_ms=73,
    request_deadline_ms=120_000,
    max_body_bytes=1_048_576,
    max_prompt_tokens=65_536,
    max_output_tokens=4_096,
    max_restarts=2,
    retry_budget_percent=10,
    batch_share_percent=10,
    key_max_age_ms=600_000,
    crash_limit=3,
    quarantine_ms=600_000,
    slots_per_engine=20,
    pieces_per_engine=256,
    tokens_per_piece=2_000,
    kv_ttl_ms=800,
    kv_bytes_per_token=100_000,
    link_rate_bytes_per_s=3_000_000_000,
    prefill_tokens_per_s=20_000,
    checks_fencing=False,
    checks_giver=False,
    drain_ms=60_000,
)


class PoolBranch(Node):
    """Overrides for one pool of a service in one failure domain.

    Attributes:
        workers: planned number of backend servers of the pool here; the host list contains those
            that exist.
    """

    values: Values = Values()
    workers: Annotated[int, Field(ge=0, le=100_000)] | None = None


class ServiceBranch(Node):
    """Overrides for a service in one failure domain."""

    values: Values = Values()
    pools: dict[Name, PoolBranch] = Field(default_factory=dict)


class FailureDomainBranch(Node):
    """One failure domain and the services that have backend servers in it."""

    values: Values = Values()
    services: dict[Name, ServiceBranch] = Field(default_factory=dict)


class RegionBranch(Node):
    """One region."""

    values: Values = Values()
    failure_domains: dict[Name, FailureDomainBranch] = Field(default_factory=dict)


class CallRule(Node):
    """Which calls of a plain service a rule covers, and whether they may be repeated.

    Attributes:
        methods: HTTP methods in capitals; empty means all.
        path_prefix: start of the path below the service.
        repeat: whether a covered call may be repeated.
    """

    methods: list[Annotated[str, StringConstraints(pattern=r"^[A-Z]+$")]] = Field(
        default_factory=list
    )
    path_prefix: Annotated[str, StringConstraints(pattern=r"^/")] = "/"
    repeat: Repeat


class RetryPolicy(Node):
    """Which calls may be repeated: the first rule that covers a call applies.

    A call that no rule covers runs at most once.
    """

    rules: list[CallRule] = Field(default_factory=list)


class PoolDeclaration(Node):
    """A pool of backend servers of one role."""

    role: PoolRole


class ServiceDeclaration(Node):
    """A service that callers address by name.

    Attributes:
        model: name of the model in callers' requests; only for services of kind ``model``.
        retry_policy: name of a retry policy; required for services of kind ``plain``.
    """

    kind: ServiceKind
    model: str | None = None
    retry_policy: Name | None = None
    pools: dict[Name, PoolDeclaration]


class Workspace(Node):
    """A customer of the platform whose requests share capacity fairly with others'.

    Attributes:
        weight: share relative to other workspaces.
        api_key_sha256: hex digests of the API keys that callers may present.
        services: names of the services that it may call.
    """

    weight: Annotated[int, Field(ge=1, le=1000)] = 1
    api_key_sha256: list[Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{64}$")]] = Field(
        default_factory=list
    )
    services: list[Name]


class SettingsTree(Node):
    """The whole tree: declarations, and values by fleet, region, failure domain, service, pool."""

    values: Values = Values()
    services: dict[Name, ServiceDeclaration]
    retry_policies: dict[Name, RetryPolicy] = Field(default_factory=dict)
    workspaces: dict[Name, Workspace]
    regions: dict[Name, RegionBranch]
