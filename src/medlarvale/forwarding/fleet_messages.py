"""Messages between forwarding hosts."""

from __future__ import annotations

from typing import Annotated

import msgspec

from medlarvale.forwarding.messages import (
    Count,
    Finite,
    RouteTable,
    Server,
    StoreEra,
    StoreRevision,
    Summand,
)
from medlarvale.forwarding.server_limits import NamedLimit
from medlarvale.ids import (
    ConfigVersion,
    FailureDomain,
    HostId,
    HostIdentity,
    Incarnation,
    RequestId,
    ServerId,
    ServiceName,
    SoftwareVersion,
    StreamKey,
)

# The next number above it must still fit in 64 bits.
MAX_FENCING = 2**62


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """Load of one host's callers on the engines of a service.

    Attributes:
        prompt_tokens_per_s: arrival rate of prompt tokens.
        decode_tokens: KV cache that the arriving requests would use if none had to wait, by
            Little's law: arrivals per second times tokens times hold time in seconds.
        decode_streams: number of streams that would use it.
    """

    prompt_tokens_per_s: Summand
    decode_tokens: Summand
    decode_streams: Summand = 0.0


class Hello(msgspec.Struct, frozen=True, omit_defaults=True, tag="hello"):
    """State that a host sends to its peers; the answer is the hello of the receiver.

    Attributes:
        sender: the sending host, needed in answers, which carry no sender otherwise.
        failure_domain: failure domain of the sender.
        hosts: peer addresses by host that the sender announces.
        config_version: 0 before the first configuration.
        store_reachable: whether the sender can read the published state.
        demand: load on each service.
        highest_fencing: highest fencing number that the sender used or received.
        changing_engines: engines that the sender has ordered, or is about to order, to change
            their stage and that have not changed yet.
        figures: packed ``EngineFigures`` of the sender by service; absent from most hellos.
        heard: digests of the hosts that the sender has heard from in the last period.
        limits: what servers have said about their limits.
        relay_port: port of the sender for requests that peers relay; 0 if it takes none.
        unreached: services whose servers the sender can't reach.
        keeps_streams: whether the sender remembers streams for its peers.
        grants_quotas: whether the sender grants quotas of workspaces; not in an earlier build.
        waiting: number of streams that wait at the sender, by service and priority; only where the
            streams of a service differ in priority or workspace.
    """

    sender: HostIdentity
    failure_domain: FailureDomain
    hosts: dict[HostId, str]
    config_version: ConfigVersion
    store_reachable: bool
    demand: dict[ServiceName, Demand]
    highest_fencing: Annotated[int, msgspec.Meta(ge=0, le=MAX_FENCING)] = 0
    changing_engines: tuple[ServerId, ...] = ()
    figures: dict[ServiceName, bytes] = {}
    heard: tuple[int, ...] = ()
    limits: dict[ServerId, NamedLimit] = {}
    relay_port: Annotated[int, msgspec.Meta(ge=0, le=65_535)] = 0
    unreached: frozenset[ServiceName] = frozenset()
    keeps_streams: bool = False
    grants_quotas: bool = False
    waiting: dict[ServiceName, dict[int, Count]] = {}


class StreamQuestion(msgspec.Struct, frozen=True):
    """Asks which versions may have begun a stream of which nobody has a record.

    Attributes:
        attempt: the attempt that began it; None if it is not known.
        age_ms: time since the earliest moment at which it may have begun.
    """

    service: ServiceName
    attempt: RequestId | None
    age_ms: Annotated[float, msgspec.Meta(ge=0.0)]


class StateRequest(msgspec.Struct, frozen=True, omit_defaults=True, tag="state?"):
    """Requests the published state from a peer, or what it remembers of streams.

    Both are one message because a peer may have been restarted with an earlier build, which refuses
    messages that it doesn't know, but answers this one with its state.

    Attributes:
        keep: versions of streams that the peer shall remember.
        streams: streams whose versions it shall name.
        search: whether it shall ask its peers for them.
        question: a stream of which nobody has a record.
        keep_disputed: streams for which several versions were noted; earlier builds do not read it.
        known: version of the configuration that the sender has; the peer then names no servers, and
            its configuration only if it is newer. None to get all; earlier builds do not read it.
        has_version: version of the configuration that the sender has; the peer names its servers in
            any case, and its configuration only if it is newer. None to get both; earlier builds do
            not read it.
    """

    keep: dict[StreamKey, SoftwareVersion] = {}
    streams: tuple[StreamKey, ...] = ()
    search: bool = False
    question: StreamQuestion | None = None
    keep_disputed: dict[StreamKey, tuple[SoftwareVersion, ...]] = {}
    known: ConfigVersion | None = None
    has_version: ConfigVersion | None = None

    @property
    def is_about_streams(self) -> bool:
        """Whether the published state is not wanted."""
        return bool(self.keep or self.streams or self.keep_disputed)


class StateReply(msgspec.Struct, frozen=True, omit_defaults=True, tag="state"):
    """Published state as a peer has read it from the store.

    Attributes:
        store_reachable: whether the peer's list of servers is current.
        streams: versions of the streams that the request names, as far as the peer remembers them;
            None if the peer keeps and knows nothing, because it stops or is of an earlier build.
        remembers_ms: time for which the peer has remembered all streams; None from an earlier
            build.
        possible: versions that may have begun the stream of a question; None if the peer has not
            followed all engines since before, and from an earlier build.
        disputed: versions of the streams that the request names and for which several were noted;
            earlier builds do not read it.
        config_version: version of the peer's configuration; 0 without one.
        config_age_ms: age of the confirmation time of the peer's configuration when the request
            arrived, negative if it is later; None from an earlier build.
    """

    table: RouteTable | None
    servers: tuple[Server, ...]
    store_reachable: bool
    streams: dict[StreamKey, SoftwareVersion] | None = None
    remembers_ms: float | None = None
    possible: tuple[SoftwareVersion, ...] | None = None
    disputed: dict[StreamKey, tuple[SoftwareVersion, ...]] = {}
    config_version: ConfigVersion = ConfigVersion(0)
    config_age_ms: Finite | None = None


class StateMark(msgspec.Struct, frozen=True, array_like=True):
    """Identifies the published state that a host knows.

    Attributes:
        incarnation: incarnation of the host.
        generation: number of changes of its list of servers.
        config_version: version of its configuration.
    """

    incarnation: Incarnation
    generation: int
    config_version: ConfigVersion


class SharedStateRequest(msgspec.Struct, frozen=True, tag="shared?"):
    """Requests the published state that a host reads for its failure domain.

    Attributes:
        mark: mark of the last answer; None before the first.
        wait_ms: time after which the host answers although nothing has changed.
    """

    mark: StateMark | None
    wait_ms: int


class SharedState(msgspec.Struct, frozen=True, tag="shared"):
    """Published state as a host has read it for its failure domain.

    Attributes:
        mark: identifies the state.
        revision: revision of the store up to which the sender has read.
        store_reachable: whether the sender reads all changes of the store.
        table: the configuration; None if the receiver already has this state.
        servers: the servers; empty if the receiver already has this state.
        era: era of the store to which the revision belongs.
        age_ms: age of the newest answer from which the sender's list is known to be complete; None
            from an earlier build.
        gap_ages_ms: ages of the begin and end of the last time of which the sender has not seen all
            changes; None without one, and from an earlier build.
        missing: servers of the list that the store does not list, and that the sender only keeps
            for a time after an outage; empty from an earlier build.
        gap_number: number of such times since the sender has started; None from an earlier build.
        engine_changes: number of engines that have begun or ceased to take streams since the sender
            has started, each time counted; None from an earlier build.
        config_age_ms: age of the confirmation time of the sender's configuration when the request
            arrived, negative if it is later; None from an earlier build.
    """

    mark: StateMark
    revision: StoreRevision
    store_reachable: bool
    table: RouteTable | None = None
    servers: tuple[Server, ...] = ()
    era: StoreEra = StoreEra(0)
    age_ms: float | None = None
    gap_ages_ms: tuple[float, float] | None = None
    missing: tuple[ServerId, ...] = ()
    gap_number: int | None = None
    engine_changes: int | None = None
    config_age_ms: Finite | None = None


FLEET_MESSAGES = (Hello, StateRequest, StateReply, SharedStateRequest, SharedState)
