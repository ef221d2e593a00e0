"""Parts of the status of a node, one for each component."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from medlarvale.bookings.lease import LeaseState
from medlarvale.bookings.ledger import Ledger
from medlarvale.clock import Clock
from medlarvale.ids import FailureDomain, PoolName, RegionName, ServerId, ServiceName
from medlarvale.membership.servers import BackendServer, ServerDirectory
from medlarvale.membership.view import MembershipView
from medlarvale.operators.status import (
    LeaseStatus,
    LeavingServer,
    NodeStatus,
    PeerStatus,
    PoolStatus,
    RejectedConfig,
)
from medlarvale.scheduling.reports import LoadReport
from medlarvale.settings.current import CurrentSettings
from medlarvale.settings.task import SettingsTask


@dataclass(frozen=True)
class MembershipPart:
    """Contributes the location and state of the node and the states of its peers."""

    region: RegionName
    failure_domain: FailureDomain
    view: MembershipView
    clock: Clock

    def add_to(self, status: NodeStatus) -> None:
        """Sets the membership fields."""
        now_ms = self.clock.now_ms()
        status.region = self.region
        status.failure_domain = self.failure_domain
        status.wall_ms = self.clock.wall_ms()
        status.state = self.view.state.value
        status.list_version = self.view.list_version
        status.peers = [
            PeerStatus(host, self.view.peer_state(host, now_ms).value) for host in self.view.peers()
        ]


@dataclass(frozen=True)
class SettingsPart:
    """Contributes the configuration in force and the last rejected one."""

    settings: SettingsTask
    current: CurrentSettings
    region: RegionName
    failure_domain: FailureDomain

    def add_to(self, status: NodeStatus) -> None:
        """Sets the configuration fields."""
        status.config_version = self.settings.version
        status.reaches_config = self.settings.reaches_service
        if self.current.ready:
            location = self.region, self.failure_domain
            status.ttft_target_ms = self.current.value("ttft_target_ms", *location)
            status.tbt_target_ms = self.current.value("tbt_target_ms", *location)
        if self.settings.rejections:
            rejected = self.settings.rejections[-1]
            errors = [str(problem) for problem in rejected.problems]
            status.rejected_config = RejectedConfig(rejected.version, errors)


@dataclass(frozen=True)
class BookingPart:
    """Contributes the leased booking shards and the number of booking records."""

    leases: LeaseState
    ledger: Ledger
    clock: Clock

    def add_to(self, status: NodeStatus) -> None:
        """Sets the lease and the number of booking records."""
        held = self.leases.held_shards(self.clock.wall_ms())
        intervals = [interval for shard in held if (interval := self.leases.interval(shard))]
        until_ms = min((until for _, until in intervals), default=0)
        status.lease = LeaseStatus(len(held), until_ms)
        status.counts["booking_records"] = len(self.ledger)


@dataclass(frozen=True)
class ServersPart:
    """Contributes the load of the pools and the leaving servers.

    Attributes:
        load_of: returns the newest load report of a server, None if there is none.
    """

    directory: ServerDirectory
    load_of: Callable[[ServerId], LoadReport | None]

    def add_to(self, status: NodeStatus) -> None:
        """Sets the pools and the leaving servers."""
        pools: dict[tuple[ServiceName, PoolName, FailureDomain], PoolStatus] = {}
        for server in self.directory.all_servers():
            if not self.directory.accepts_work(server.server):
                status.leaving_servers.append(_leaving_server(server))
            key = (server.service, server.pool, server.failure_domain)
            pool = pools.setdefault(key, PoolStatus(*key, servers=0, slots=0, slots_used=0))
            pool.servers += 1
            report = self.load_of(server.server)
            if report is not None:
                pool.slots += report.slots
                pool.slots_used += report.slots_used
                pool.pieces += report.pieces
                pool.pieces_used += report.pieces_used
        status.pools = list(pools.values())


def _leaving_server(server: BackendServer) -> LeavingServer:
    return LeavingServer(server.server, server.service, server.pool, server.failure_domain)


@dataclass(frozen=True)
class CountsPart:
    """Contributes further counts, read each time the status is collected."""

    counts: dict[str, Callable[[], int]]

    def add_to(self, status: NodeStatus) -> None:
        """Sets the counts."""
        for name, read in self.counts.items():
            status.counts[name] = read()
