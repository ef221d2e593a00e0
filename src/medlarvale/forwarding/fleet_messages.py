"""Messages between forwarding hosts."""

from __future__ import annotations

import msgspec

from medlarvale.forwarding.messages import RouteTable, Server
from medlarvale.ids import ConfigVersion, FailureDomain, HostId, HostIdentity, ServerId, ServiceName


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """Load that one host's callers put on the engines of a service.

    Attributes:
        prompt_tokens_per_s: prompt tokens that arrive.
        decode_tokens: KV cache that the arriving requests would take if none had to wait, by
            Little's law: arrivals a second times tokens times seconds.
    """

    prompt_tokens_per_s: float
    decode_tokens: float


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """What a host tells its peers about itself; the answer is the receiver's own.

    Attributes:
        sender: the host that tells, for answers, which carry no sender of their own.
        failure_domain: where the sender is.
        hosts: peer addresses by host, as far as the sender knows them.
        config_version: 0 before the first configuration.
        store_reachable: whether the sender reads the published state.
        highest_fencing: largest fencing number that the sender gave or heard of.
        changing_engines: engines that the sender is about to order, or has ordered, to another
            stage and that have not changed yet.
    """

    sender: HostIdentity
    failure_domain: FailureDomain
    hosts: dict[HostId, str]
    config_version: ConfigVersion
    store_reachable: bool
    demand: dict[ServiceName, Demand]
    highest_fencing: int = 0
    changing_engines: tuple[ServerId, ...] = ()


class StateRequest(msgspec.Struct, frozen=True, tag="state?"):
    """Asks a peer for the published state that it knows."""


class StateReply(msgspec.Struct, frozen=True, tag="state"):
    """Published state that a peer reads from the store.

    Attributes:
        store_reachable: whether the peer's list of servers is current.
    """

    table: RouteTable | None
    servers: tuple[Server, ...]
    store_reachable: bool


FLEET_MESSAGES = (Hello, StateRequest, StateReply)
