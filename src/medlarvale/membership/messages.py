"""Messages between entry hosts about who is live."""

from __future__ import annotations

import enum

import msgspec

from medlarvale.ids import ConfigVersion, FailureDomain, HostId, Incarnation, ListVersion, ServerId
from medlarvale.membership.servers import BackendServer


class HostState(enum.Enum):
    """What a host says of itself."""

    JOINING = "joining"
    LIVE = "live"
    LEAVING = "leaving"


class Heartbeat(msgspec.Struct, tag="heartbeat", frozen=True):
    """Sent to each peer every heartbeat period; the answer is the receiver's own heartbeat.

    Attributes:
        incarnation: the life that speaks, since an answer carries no sender.
        leaving_servers: backend servers that said themselves that they leave.
        reaches_config: the configuration service answered the host's last call.
        number: counts the heartbeats of a life, so that a late one changes nothing back.
        sent_wall_ms: wall-clock time of the sender; 0 if it is not known.
    """

    incarnation: Incarnation
    state: HostState
    config_version: ConfigVersion
    list_version: ListVersion
    leaving_servers: list[ServerId]
    reaches_config: bool = True
    number: int = 0
    sent_wall_ms: int = 0


class EntryHost(msgspec.Struct, frozen=True):
    """An entry host of the platform's list.

    Attributes:
        peer_address: ``tcp://ip:port`` of its peer port.
        leaving: the platform is about to stop it.
    """

    host: HostId
    peer_address: str
    failure_domain: FailureDomain
    leaving: bool = False


class HostList(msgspec.Struct, tag="host_list", frozen=True):
    """One version of the platform's list of entry hosts and backend servers."""

    version: ListVersion
    entry_hosts: list[EntryHost]
    backend_servers: list[BackendServer]


class HostListRequest(msgspec.Struct, tag="host_list_request", frozen=True):
    """Asks a peer for the newest list that it knows; the answer is a ``HostList``."""


MEMBERSHIP_MESSAGES: tuple[type[msgspec.Struct], ...] = (Heartbeat, HostList, HostListRequest)
