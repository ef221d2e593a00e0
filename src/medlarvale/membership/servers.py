"""Backend servers to which this host may send work."""

from __future__ import annotations

import enum
from collections.abc import Iterable

import msgspec

from medlarvale.clock import Clock, SystemClock
from medlarvale.ids import FailureDomain, PoolName, ServerId, ServiceName
from medlarvale.settings.schema import PoolRole

# A host reports a leaving server to its peers only for this long after the server's last report,
# because a server that it no longer reaches may have returned to service.
LEAVING_REPORT_MAX_AGE_MS = 1_500


class ServerState(enum.Enum):
    """State of a backend server according to the platform or to the server itself."""

    LIVE = "live"
    LEAVING = "leaving"


class BackendServer(msgspec.Struct, frozen=True):
    """One backend server.

    Attributes:
        address: base URL such as ``http://127.0.0.1:9001``.
        role: role of the servers of its pool.
    """

    server: ServerId
    address: str
    service: ServiceName
    pool: PoolName
    role: PoolRole
    failure_domain: FailureDomain
    state: ServerState = ServerState.LIVE


class ServerDirectory:
    """The backend servers in the newest host list, combined with the servers' own reports.

    A server is leaving as soon as either source reports it, because the list may lag for longer
    than a leaving server may still receive work. A mark stays until this host itself reads a
    report that the server is not leaving, because an unreachable server may still be leaving.

    Args:
        clock: time service.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self._servers: dict[ServerId, BackendServer] = {}
        self._reported_ms: dict[ServerId, float] = {}
        self._reported_by_peers: set[ServerId] = set()

    def replace(self, servers: Iterable[BackendServer]) -> None:
        """Applies a newer host list."""
        self._servers = {server.server: server for server in servers}
        self._reported_by_peers &= set(self._servers)
        for server in set(self._reported_ms).difference(self._servers):
            del self._reported_ms[server]

    def mark_leaving(self, server: ServerId, leaving: bool) -> None:
        """Records whether the server is leaving according to a load report read by this host."""
        if leaving:
            self._reported_ms[server] = self._clock.now_ms()
        else:
            self._reported_ms.pop(server, None)
            self._reported_by_peers.discard(server)

    def mark_leaving_by_peer(self, servers: Iterable[ServerId]) -> None:
        """Records servers that recently reported to a peer that they are leaving.

        This host does not pass these marks on: marks relayed between hosts would never expire.
        """
        self._reported_by_peers.update(servers)

    def self_reported_leaving(self) -> list[ServerId]:
        """Returns the servers that recently reported to this host that they are leaving, sorted."""
        since_ms = self._clock.now_ms() - LEAVING_REPORT_MAX_AGE_MS
        return sorted(server for server, at_ms in self._reported_ms.items() if at_ms >= since_ms)

    def get(self, server: ServerId) -> BackendServer | None:
        """Returns a server, or None if the newest list does not contain it."""
        return self._servers.get(server)

    def all_servers(self) -> list[BackendServer]:
        """Returns all listed servers, sorted by id."""
        return [self._servers[server] for server in sorted(self._servers)]

    def accepts_work(self, server: ServerId) -> bool:
        """Returns whether new work may be sent to a server."""
        known = self._servers.get(server)
        leaving = server in self._reported_ms or server in self._reported_by_peers
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
