"""Backend servers that this host may send work to."""

from __future__ import annotations

import enum
from collections.abc import Iterable

import msgspec

from medlarvale.ids import FailureDomain, HostId, PoolName, ServerId, ServiceName
from medlarvale.settings.schema import PoolRole


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

    A server is leaving as soon as the list, its own load report or a peer that has read the report
    says so: the list may lag for longer than a leaving server may still receive work.
    """

    def __init__(self) -> None:
        self._servers: dict[ServerId, BackendServer] = {}
        self._leaving: set[ServerId] = set()
        self._peers_leaving: dict[HostId, frozenset[ServerId]] = {}

    def replace(self, servers: Iterable[BackendServer]) -> None:
        """Takes over a newer host list."""
        self._servers = {server.server: server for server in servers}
        self._leaving &= set(self._servers)

    def mark_leaving(self, server: ServerId, leaving: bool) -> None:
        """Records what a server's own load report says."""
        if leaving:
            self._leaving.add(server)
        else:
            self._leaving.discard(server)

    def learn_peer_marks(self, peer: HostId, servers: Iterable[ServerId]) -> None:
        """Replaces what a peer has read in load reports; empty once the peer is silent.

        Peers' marks are kept apart from this host's own and never passed on. Otherwise hosts would
        remind each other for ever of a server that has come back.
        """
        self._peers_leaving[peer] = frozenset(servers)

    def leaving_by_own_word(self) -> list[ServerId]:
        """Returns the servers whose load report here says that they leave, in order."""
        return sorted(self._leaving)

    def get(self, server: ServerId) -> BackendServer | None:
        """Returns a server, or None if no list names it."""
        return self._servers.get(server)

    def all_servers(self) -> list[BackendServer]:
        """Returns all listed servers in order of their ids."""
        return [self._servers[server] for server in sorted(self._servers)]

    def accepts_work(self, server: ServerId) -> bool:
        """Tells whether new work may go to a server."""
        known = self._servers.get(server)
        if known is None or known.state is not ServerState.LIVE or server in self._leaving:
            return False
        return not any(server in marks for marks in self._peers_leaving.values())

    def of_service(self, service: ServiceName, role: PoolRole) -> list[BackendServer]:
        """Returns the servers of a service and role that accept new work."""
        return [
            server
            for server in self.all_servers()
            if server.service == service
            and server.role is role
            and self.accepts_work(server.server)
        ]
