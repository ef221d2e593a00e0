"""Typed status of one node; each slice adds its part."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

import msgspec

from medlarvale.ids import (
    ConfigVersion,
    FailureDomain,
    HostId,
    HostIdentity,
    ListVersion,
    PoolName,
    ServerId,
    ServiceName,
)
from medlarvale.operators.accounting import Accounting, Figures

NEARLY_FULL = 0.9


class PeerStatus(msgspec.Struct):
    """A peer as this node sees it; ``state`` is that of the membership view."""

    host: HostId
    state: str


class LeaseStatus(msgspec.Struct):
    """Booking shards that this node may accept keys of."""

    shards_held: int = 0
    until_wall_ms: int = 0


class PoolStatus(msgspec.Struct):
    """Load of a pool's servers in one failure domain."""

    service: ServiceName
    pool: PoolName
    failure_domain: FailureDomain
    servers: int
    slots: int
    slots_used: int
    pieces: int = 0
    pieces_used: int = 0

    @property
    def used_share(self) -> float:
        """The larger of the used shares of slots and pieces, 0 to 1."""
        shares = [
            used / total
            for used, total in ((self.slots_used, self.slots), (self.pieces_used, self.pieces))
            if total
        ]
        return max(shares, default=0.0)

    @property
    def nearly_full(self) -> bool:
        """Whether little is free."""
        return self.used_share >= NEARLY_FULL


class LeavingServer(msgspec.Struct):
    """A backend server that receives no new work."""

    server: ServerId
    service: ServiceName
    pool: PoolName
    failure_domain: FailureDomain


class RejectedConfig(msgspec.Struct):
    """The last configuration that did not pass the check."""

    version: ConfigVersion
    errors: list[str]


class NodeStatus(msgspec.Struct):
    """Everything that operators see of one node.

    Attributes:
        state: joining, live or leaving.
        reaches_config: whether the configuration service answered this node's last call.
        ttft_target_ms: target in force at the node; 0 while no configuration is.
        counts: further numbers of the slices, such as ``quarantined_requests``.
    """

    host: HostId
    incarnation: int
    state: str = "joining"
    region: str = ""
    failure_domain: str = ""
    wall_ms: int = 0
    config_version: ConfigVersion = ConfigVersion(0)
    list_version: ListVersion = ListVersion(0)
    reaches_config: bool = True
    ttft_target_ms: int = 0
    tbt_target_ms: int = 0
    peers: list[PeerStatus] = []
    lease: LeaseStatus = msgspec.field(default_factory=LeaseStatus)
    pools: list[PoolStatus] = []
    leaving_servers: list[LeavingServer] = []
    rejected_config: RejectedConfig | None = None
    counts: dict[str, int] = {}
    figures: list[Figures] = []


class StatusPart(Protocol):
    """What one slice contributes."""

    def add_to(self, status: NodeStatus) -> None:
        """Fills in the fields that this slice knows."""


class FiguresPart:
    """Contributes the request figures."""

    def __init__(self, accounting: Accounting) -> None:
        self._accounting = accounting

    def add_to(self, status: NodeStatus) -> None:
        """Fills in the figures."""
        status.figures = self._accounting.figures()


def collect_status(identity: HostIdentity, parts: Iterable[StatusPart]) -> NodeStatus:
    """Returns the status of this node from all parts."""
    status = NodeStatus(identity.host, identity.incarnation, counts={})
    for part in parts:
        part.add_to(status)
    return status
