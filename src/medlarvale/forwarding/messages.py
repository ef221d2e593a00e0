"""What the parts of the forwarding path tell each other; no field has a wire format of its own."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import NewType

import msgspec
from multidict import CIMultiDict

from medlarvale.ids import ConfigVersion, FailureDomain, HostId, RequestId, ServerId, ServiceName

HoldId = NewType("HoldId", str)
HandleId = NewType("HandleId", str)
PromptPartId = NewType("PromptPartId", str)
StoreRevision = NewType("StoreRevision", int)


class RouteKind(enum.Enum):
    """How often a request of a route may run."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class ServerState(enum.Enum):
    """Whether a backend server takes new work."""

    READY = "ready"
    DRAINING = "draining"


class EngineStage(enum.Enum):
    """The half of a model request that an engine serves."""

    PREFILL = "prefill"
    DECODE = "decode"


class Target(msgspec.Struct, frozen=True):
    """A service that a route leads to, and its share of the requests."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Where the requests of a host name and path prefix go.

    Attributes:
        timeout_ms: longest time until the answer is complete.
        target_latency_ms: time until the answer, or the first event, that callers expect.
        max_attempts: backend servers on which one request may run.
        resumable: whether a stream may go on at another engine.
        gap_target_ms: longest pause between two events that callers expect.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: float
    target_latency_ms: float
    priority: int
    targets: tuple[Target, ...]
    max_attempts: int
    resumable: bool = False
    gap_target_ms: float = 0.0


class EngineTraits(msgspec.Struct, frozen=True):
    """What all engines of a service have in common.

    Attributes:
        slots: requests that an engine runs at once.
        memory_tokens: KV cache of one engine, in tokens.
        handle_ttl_ms: how long an unused prefill result is kept.
        hold_ttl_ms: longest time for which memory can be reserved.
        switch_ms: time that a change of stage takes.
    """

    slots: int
    memory_tokens: int
    handle_ttl_ms: float
    hold_ttl_ms: float
    switch_ms: float


class Service(msgspec.Struct, frozen=True):
    """A group of equal backend servers; ``engine`` is None for a plain service."""

    name: ServiceName
    max_connections: int
    engine: EngineTraits | None = None


class RequestLimits(msgspec.Struct, frozen=True):
    """Limits on what callers send."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class RouteTable(msgspec.Struct, frozen=True):
    """One version of the configuration."""

    version: ConfigVersion
    routes: tuple[Route, ...]
    services: Mapping[ServiceName, Service]
    limits: RequestLimits


class Server(msgspec.Struct, frozen=True):
    """A backend server as it registered itself.

    Attributes:
        cold_left_ms: how much longer it stays slow after its start.
        stage: None for a plain service.
        born_ms: Unix time of its start in ms; 0 if it does not say.
    """

    server: ServerId
    service: ServiceName
    address: str
    failure_domain: FailureDomain
    slots: int
    state: ServerState
    stage: EngineStage | None = None
    cold_left_ms: float = 0.0
    born_ms: int = 0


class Published(msgspec.Struct, frozen=True):
    """All that the platform publishes, as of a revision.

    Attributes:
        table: None while no configuration is published.
    """

    table: RouteTable | None
    servers: tuple[Server, ...]
    revision: StoreRevision


class Changes(msgspec.Struct, frozen=True):
    """What changed up to a revision, the oldest change first.

    Attributes:
        items: new tables and servers, and the ids of removed servers.
    """

    items: tuple[RouteTable | Server | ServerId, ...]
    revision: StoreRevision


class TokenCounts(msgspec.Struct, frozen=True):
    """Size of a model request in tokens.

    Attributes:
        output_hint: the caller's estimate of the output; None without one.
    """

    prompt: int
    max_output: int
    output_hint: int | None = None


class ClientRequest(msgspec.Struct):
    """A request as its caller sent it.

    Attributes:
        path: path and query, as received.
        headers: headers to pass on; those of one connection and those that only this system sets
            are left out.
        deadline_ms: time that the caller waits, from ``received_ms``.
        prompt_part: last part of the prompt, which no other request or session has.
        resume_after: number of the last event that the caller has.
    """

    request_id: RequestId
    method: str
    host: str
    path: str
    headers: CIMultiDict[str]
    body: bytes
    received_ms: float
    deadline_ms: float
    tokens: TokenCounts | None = None
    prompt_part: PromptPartId | None = None
    resume_after: int | None = None


class PrefillResult(msgspec.Struct, frozen=True):
    """A read prompt whose KV cache waits at a prefill engine."""

    server: Server
    handle: HandleId


class Dispatch(msgspec.Struct, frozen=True):
    """How a request is to run at one backend server.

    Attributes:
        left_ms: time until the server is to give up.
        source: where the KV cache of the prompt lies.
        fetch_from: engine that may still keep the KV cache, without a handle.
        hold: reserved memory at the server.
        resume_after: number of the last event that the caller has.
    """

    left_ms: float
    source: PrefillResult | None = None
    fetch_from: Server | None = None
    hold: HoldId | None = None
    resume_after: int | None = None


class EngineReport(msgspec.Struct, frozen=True):
    """Load of an engine as it reports it, some hundred ms old.

    Attributes:
        orders_accepted: number of orders accepted since its start.
        busy: whether an order is being carried out.
    """

    stage: EngineStage
    busy: bool
    orders_accepted: int
    queued: int
    running: int
    used_tokens: int
    total_tokens: int


class HostParameters(msgspec.Struct, frozen=True):
    """What an entry host learns of itself and its fleet at start.

    Addresses are ``ip:port``.

    Attributes:
        seed_addresses: control addresses of up to three hosts, which may be stale.
        grace_ms: time between the order to stop and the kill.
        retry_share: retries allowed per request, over all hosts.
        retry_reserve: retries allowed beyond the share in each window, over all hosts.
        lease_ms: time within which two hosts must not give orders in turns.
    """

    host: HostId
    failure_domain: FailureDomain
    listen_caller: str
    listen_ready: str
    listen_control: str
    seed_addresses: tuple[str, ...]
    platform_address: str
    grace_ms: float
    retry_share: float
    retry_reserve: float
    lease_ms: float
