"""Messages between entry hosts about membership."""

from __future__ import annotations

import enum

import msgspec

from medlarvale.ids import ConfigVersion, FailureDomain, HostId, Incarnation, ListVersion, ServerId
from medlarvale.membership.servers import BackendServer


class HostState(enum.Enum):
    """State that a host reports of itself."""

    JOINING = "joining"
    LIVE = "live"
    LEAVING = "leaving"


class Heartbeat(msgspec.Struct, tag="heartbeat", frozen=True):
    """Sent to each peer every heartbeat period; the reply is the receiver's own heartbeat.

    Attributes:
        incarnation: incarnation of the sender, which a reply does not carry otherwise.
        leaving_servers: backend servers that reported to the sender that they are leaving.
        reaches_config: whether the configuration service answered the host's last call.
        number: sequence number within an incarnation, so that a late heartbeat does not restore
            an older state.
        sent_wall_ms: wall-clock time of the sender; 0 if unknown.
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
    """An entry host in the platform's list.

    Attributes:
        peer_address: ``tcp://ip:port`` of its peer port.
        leaving: whether the platform is about to stop the host.
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
    """Requests the newest list known to a peer; the reply is a ``HostList``."""


MEMBERSHIP_MESSAGES: tuple[type[msgspec.Struct], ...] = (Heartbeat, HostList, HostListRequest)
