"""Data types shared by the modules of the forwarding path, independent of any wire format."""

from __future__ import annotations

import enum
import ipaddress
import sys
from collections.abc import Mapping
from typing import Annotated, NewType

import msgspec
from multidict import CIMultiDict

from medlarvale.ids import (
    ConfigVersion,
    FailureDomain,
    HostId,
    KeyDigest,
    RequestId,
    ServerId,
    ServiceName,
    SoftwareVersion,
    WorkspaceId,
)

HoldId = NewType("HoldId", str)
HandleId = NewType("HandleId", str)
PromptPartId = NewType("PromptPartId", str)
StoreRevision = NewType("StoreRevision", int)
# Number of times that the store has lost a part of its history and come back from an older copy.
StoreEra = NewType("StoreEra", int)

MAX_PORT = 65_535
MAX_ADDRESS_CHARS = len("255.255.255.255:65535")
# Time between two heartbeats of a backend server if the settings don't name it.
DEFAULT_HEARTBEAT_MS = 1_200.0

_BROADCAST = ipaddress.IPv4Address("255.255.255.255")

# The largest integer up to which a float represents each one; MessagePack can encode it too.
MAX_NUMBER = 2**53

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
# A divisor.
Capacity = Annotated[int, msgspec.Meta(ge=1, le=MAX_NUMBER)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
# Neither infinite nor NaN.
MAX_FLOAT = sys.float_info.max
Finite = Annotated[float, msgspec.Meta(ge=-MAX_FLOAT, le=MAX_FLOAT)]
# A total of such numbers is finite.
MAX_SUMMAND = 1e300
Summand = Annotated[float, msgspec.Meta(ge=-MAX_SUMMAND, le=MAX_SUMMAND)]


class RouteKind(enum.Enum):
    """Determines how often a request of a route may run."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class ServerState(enum.Enum):
    """Whether a backend server takes new work."""

    READY = "ready"
    DRAINING = "draining"


class EngineStage(enum.Enum):
    """The stage of a model request that an engine serves."""

    PREFILL = "prefill"
    DECODE = "decode"


class Target(msgspec.Struct, frozen=True):
    """A service of a route and its share of the requests."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """The services that receive the requests of a host name and path prefix.

    Attributes:
        timeout_ms: maximum time until the answer is complete.
        target_latency_ms: time until the answer, or until the first event of a stream, that callers
            expect.
        max_attempts: maximum number of backend servers on which one request may run.
        resumable: whether a stream may resume on another engine.
        gap_target_ms: longest gap between two events that callers accept; 0 if unknown.
        public: whether requests need no API key where the configuration lists workspaces.
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
    public: bool = False


class QuotaUnit(enum.Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


class Quota(msgspec.Struct, frozen=True):
    """What a workspace may ask of all hosts together.

    Attributes:
        rate_per_s: amount per second.
        burst: amount beyond the rate that may be asked at once.
        unit: what is counted.
        plain_tokens: amount of a request without token counts, if tokens are counted.
    """

    rate_per_s: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    plain_tokens: int = 0


class Workspace(msgspec.Struct, frozen=True):
    """A workspace of the configuration.

    Attributes:
        key_digests: digests of its API keys.
        priority: takes precedence over that of a route; None if it has none.
        quota: None without a limit.
    """

    workspace: WorkspaceId
    key_digests: tuple[KeyDigest, ...]
    priority: int | None = None
    quota: Quota | None = None


class EngineTraits(msgspec.Struct, frozen=True):
    """Properties that all engines of a service share.

    Attributes:
        slots: requests that an engine runs concurrently.
        memory_tokens: KV cache of one engine, in tokens.
        handle_ttl_ms: time after which an unused prefill result expires.
        hold_ttl_ms: maximum time for which memory can be reserved; 0 if engines don't support it.
        switch_ms: duration of a change of stage.
    """

    slots: int
    memory_tokens: int
    handle_ttl_ms: float
    hold_ttl_ms: float
    switch_ms: float


class Service(msgspec.Struct, frozen=True):
    """A group of equivalent backend servers; ``engine`` is None for a plain service."""

    name: ServiceName
    max_connections: int
    engine: EngineTraits | None = None


# Longest header of a request: configurations allow 16,384 bytes for all headers together.
MAX_REQUEST_HEADER_BYTES = 16_384
# Longest header of an answer, which may repeat the id of its request beside a text of its own.
MAX_ANSWER_HEADER_BYTES = 2 * MAX_REQUEST_HEADER_BYTES


class RequestLimits(msgspec.Struct, frozen=True):
    """Limits for requests of callers."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class RouteTable(msgspec.Struct, frozen=True):
    """One version of the configuration.

    Attributes:
        workspaces: empty if requests need no API keys; None in a table from a host of an earlier
            build, which does not decode them.
    """

    version: ConfigVersion
    routes: tuple[Route, ...]
    services: Mapping[ServiceName, Service]
    limits: RequestLimits
    workspaces: tuple[Workspace, ...] | None = None


class Server(msgspec.Struct, frozen=True):
    """A backend server as registered.

    Attributes:
        cold_left_ms: remaining time during which it is slow after its start.
        stage: None for a plain service.
        born_ms: Unix time of its start in ms; 0 if unknown.
        heartbeats: number of heartbeats since its start when the entry was written; 0 if unknown.
        software: version of its software, which is the same until it starts again; empty if
            unknown.
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
    heartbeats: int = 0
    software: SoftwareVersion = SoftwareVersion("")


def is_usable_id(text: str) -> bool:
    """Returns whether an id can be sent in a header."""
    return bool(text) and text.isprintable() and text.strip() == text


def is_usable_address(text: str) -> bool:
    """Returns whether a text is the IPv4 address and port of one host."""
    if len(text) > MAX_ADDRESS_CHARS:
        return False
    ip_text, _, port = text.rpartition(":")
    try:
        ip = ipaddress.IPv4Address(ip_text)
    except ValueError:
        return False
    if ip.is_unspecified or ip.is_multicast or ip == _BROADCAST:
        return False
    # A leading zero would make two texts of one address.
    is_number = port.isascii() and port.isdigit() and not port.startswith("0")
    return is_number and int(port) <= MAX_PORT


class PublishedState(msgspec.Struct, frozen=True):
    """The complete published state as of a revision.

    Attributes:
        table: None while no configuration is published.
        era: era of the store; revisions of different eras are not comparable.
        server_revisions: revision at which the entry of each server was written last.
        other_revisions: revisions at which all other items were written last.
    """

    table: RouteTable | None
    servers: tuple[Server, ...]
    revision: StoreRevision
    era: StoreEra = StoreEra(0)
    server_revisions: Mapping[ServerId, StoreRevision] = {}
    other_revisions: frozenset[StoreRevision] = frozenset()


class StateChanges(msgspec.Struct, frozen=True):
    """Changes up to a revision, oldest first.

    Attributes:
        items: new tables and servers, and the ids of removed servers.
        era: era of the store.
    """

    items: tuple[RouteTable | Server | ServerId, ...]
    revision: StoreRevision
    era: StoreEra = StoreEra(0)


class TokenCounts(msgspec.Struct, frozen=True):
    """Size of a model request in tokens.

    Attributes:
        output_hint: the caller's estimate of the output; None if not given.
    """

    prompt: int
    max_output: int
    output_hint: int | None = None


class RelayedFrom(msgspec.Struct, frozen=True):
    """How the peer that has relayed a request has routed it.

    Attributes:
        service: the service that it chose.
        config_version: version of its configuration.
        left_ms: time until it needs the answer.
        software: version of the software that began the stream which the request continues; None
            if it is new, or not known.
    """

    service: ServiceName
    config_version: ConfigVersion
    left_ms: float
    software: SoftwareVersion | None = None


class ClientRequest(msgspec.Struct):
    """A request of a caller.

    Attributes:
        path: path and query, as received.
        headers: headers to forward, without hop-by-hop headers and those that only this system
            sets.
        identity_headers: headers with the caller's API key or a workspace, which are forwarded only
            if the configuration lists no workspaces.
        key_digest: digest of the API key; None without one.
        workspace: workspace that holds the key; None before that is known, and without one.
        priority: 0 is the most urgent; None before it is known.
        withholds_identity: whether no header with a key or a workspace of the caller is forwarded,
            also none that a peer has relayed among ``headers``.
        deadline_ms: time that the caller waits, from ``received_ms``.
        prompt_part: last part of the prompt, which is unique to the request and its session.
        shared_parts: the parts before the last, in order, which requests may share.
        resume_after: number of the last event that the caller has received.
        began_as: id of the caller's attempt that received the first event of a stream that this
            request continues; None if it names none.
        possible_runs: number of sends to backend servers that may have started a run.
        relayed: how the peer that has relayed it has routed it; None if a caller sent it.
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
    shared_parts: tuple[PromptPartId, ...] = ()
    resume_after: int | None = None
    began_as: RequestId | None = None
    possible_runs: int = 0
    relayed: RelayedFrom | None = None
    identity_headers: CIMultiDict[str] = msgspec.field(default_factory=CIMultiDict)
    key_digest: KeyDigest | None = None
    workspace: WorkspaceId | None = None
    priority: int | None = None
    withholds_identity: bool = False
    # Tokens of each part of the prompt in ``shared_parts``, then of ``prompt_part``; 0 if unknown.
    part_tokens: tuple[int, ...] = ()

    @property
    def is_continuation(self) -> bool:
        """Whether the caller has received a part of the stream in an earlier attempt."""
        return self.resume_after is not None or self.began_as is not None


class RequestIdentity(msgspec.Struct, frozen=True):
    """What identifies a request among those that may crash servers.

    Attributes:
        fingerprints: hashes of what it has in common with other requests: the first one of its
            caller, service, path and body, equal for its repeats, then those of its shared parts.
        shared_parts: parts of its prompt that other requests may share.
        at_any_service: hash of its caller, path and body.
        at_other_services: what the first fingerprint would be at the other services of its route.
    """

    request_id: RequestId
    fingerprints: tuple[int, ...]
    shared_parts: tuple[PromptPartId, ...] = ()
    at_any_service: int = 0
    at_other_services: tuple[int, ...] = ()


class PrefillResult(msgspec.Struct, frozen=True):
    """A prefilled prompt whose KV cache is available at a prefill engine."""

    server: Server
    handle: HandleId


class Dispatch(msgspec.Struct, frozen=True):
    """Parameters of one run of a request on a backend server.

    Attributes:
        left_ms: time after which the server should abort.
        source: location of the KV cache of the prompt.
        fetch_from: engine that may still hold the KV cache, without a handle.
        hold: reserved memory at the server.
        resume_after: number of the last event that the caller has received.
        priority: rank of the request at the engine, 0 to 9, where 0 is the most urgent; None to
            leave it to the engine.
    """

    left_ms: float
    source: PrefillResult | None = None
    fetch_from: Server | None = None
    hold: HoldId | None = None
    resume_after: int | None = None
    priority: int | None = None


class EngineReport(msgspec.Struct, frozen=True):
    """Load reported by an engine; it may lag by some hundred ms.

    Attributes:
        orders_accepted: number of orders accepted since its start.
        busy: whether an order is in progress.
    """

    stage: EngineStage
    busy: bool
    orders_accepted: int
    queued: int
    running: int
    used_tokens: int
    total_tokens: int


class HostParameters(msgspec.Struct, frozen=True):
    """Startup parameters of an entry host and its fleet.

    Addresses are ``ip:port``.

    Attributes:
        seed_addresses: control addresses of up to three hosts, which may be stale.
        grace_ms: time between the stop signal and the kill.
        retry_share: retries allowed per request, across all hosts.
        retry_reserve: retries allowed beyond the share in each window, across all hosts.
        lease_ms: minimum time between orders of two different hosts.
        heartbeat_ms: time between two heartbeats of a backend server; None if unknown.
        history_ms: time for which the platform's store keeps its changes; None if unknown.
        memory_bytes: memory that the process may use; None if unknown.
        announced_control: address at which peers reach ``listen_control``, if it is another one.
        max_descriptors: descriptors that the process may use; None if unknown.
        revoke_ms: time after which no request with a removed API key may be accepted, also at hosts
            that can't read the published state; None without such a bound.
        quota_window_ms: time over which the use of a quota is judged; None if unknown.
        quota_overage: share of a quota by which its use may exceed it.
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
    heartbeat_ms: float | None = None
    history_ms: float | None = None
    memory_bytes: int | None = None
    announced_control: str | None = None
    max_descriptors: int | None = None
    revoke_ms: float | None = None
    quota_window_ms: float | None = None
    quota_overage: float = 0.0

    @property
    def peer_address(self) -> str:
        """Address at which peers reach this host."""
        return self.announced_control or self.listen_control

    def other_seeds(self) -> list[str]:
        """Returns the seeds without the addresses of this host."""
        own = (self.listen_control, self.peer_address)
        return [seed for seed in self.seed_addresses if seed not in own]
