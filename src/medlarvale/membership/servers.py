"""Backend servers that this host may send work to."""

from __future__ import annotations

import enum
from collections.abc import Iterable

import msgspec

from medlarvale.clock import Clock, SystemClock
from medlarvale.ids import FailureDomain, PoolName, ServerId, ServiceName
from medlarvale.settings.schema import PoolRole

# A host tells its peers of a leaving server only for this long after the server's last report:
# one that it no longer reaches may have come back.
TELL_LEAVING_MS = 1_500


class ServerState(enum.Enum):
    """State of a backend server as the platform or the server itself gives it."""

    LIVE = "live"
    LEAVING = "leaving"


class BackendServer(msgspec.Struct, frozen=True):
    """One backend server.

    Attributes:
        address: base URL such as ``http://127.0.0.1:9001``.
        role: what the servers of its pool do.
    """

    server: ServerId
    address: str
    service: ServiceName
    pool: PoolName
    role: PoolRole
    failure_domain: FailureDomain
    state: ServerState = ServerState.LIVE


class ServerDirectory:
    """The backend servers in the newest host list, with what the servers said of themselves.

    A server is leaving as soon as either source says so: the list may lag for longer than a
    leaving server may still receive work. A mark stays until this host itself reads a report that
    says otherwise, since a server that can't be reached may still be leaving.

    Args:
        clock: time service.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self._servers: dict[ServerId, BackendServer] = {}
        self._reported_ms: dict[ServerId, float] = {}
        self._told: set[ServerId] = set()

    def replace(self, servers: Iterable[BackendServer]) -> None:
        """Takes over a newer host list."""
        self._servers = {server.server: server for server in servers}
        self._told &= set(self._servers)
        for server in set(self._reported_ms).difference(self._servers):
            del self._reported_ms[server]

    def mark_leaving(self, server: ServerId, leaving: bool) -> None:
        """Records what a server's own load report says, as read by this host."""
        if leaving:
            self._reported_ms[server] = self._clock.now_ms()
        else:
            self._reported_ms.pop(server, None)
            self._told.discard(server)

    def mark_told_leaving(self, servers: Iterable[ServerId]) -> None:
        """Records servers that a peer lately heard say that they leave.

        They are not told on, since marks passed around between hosts would never end.
        """
        self._told.update(servers)

    def self_reported_leaving(self) -> list[ServerId]:
        """Returns the servers that lately told this host that they leave, in order."""
        since_ms = self._clock.now_ms() - TELL_LEAVING_MS
        return sorted(server for server, at_ms in self._reported_ms.items() if at_ms >= since_ms)

    def get(self, server: ServerId) -> BackendServer | None:
        """Returns a server, or None if no list names it."""
        return self._servers.get(server)

    def all_servers(self) -> list[BackendServer]:
        """Returns all listed servers in order of their ids."""
        return [self._servers[server] for server in sorted(self._servers)]

    def accepts_work(self, server: ServerId) -> bool:
        """Tells whether new work may go to a server."""
        known = self._servers.get(server)
        leaving = server in self._reported_ms or server in self._told
        return known is not None and known.state is ServerState.LIVE and not leaving

    def of_service(self, service: ServiceName, role: PoolRole) -> list[BackendServer]:
        """Returns the servers of a service and role that accept new work."""
        return [
            server
            for server in self.all_servers()
            if server.service == service
            and server.role is role
            and self.accepts_work(server.server)
        ]
