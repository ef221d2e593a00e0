"""Typed status of one node; each component adds its part."""

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

NEARLY_FULL_SHARE = 0.9


class PeerStatus(msgspec.Struct):
    """A peer as this node sees it; ``state`` is that of the membership view."""

    host: HostId
    state: str


class LeaseStatus(msgspec.Struct):
    """Booking shards for which this node may accept keys."""

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
        """The larger of the used shares of slots and KV blocks, 0 to 1."""
        shares = [
            used / total
            for used, total in ((self.slots_used, self.slots), (self.pieces_used, self.pieces))
            if total
        ]
        return max(shares, default=0.0)

    @property
    def nearly_full(self) -> bool:
        """Whether the used share is at least ``NEARLY_FULL_SHARE``."""
        return self.used_share >= NEARLY_FULL_SHARE


class LeavingServer(msgspec.Struct):
    """A backend server that receives no new work."""

    server: ServerId
    service: ServiceName
    pool: PoolName
    failure_domain: FailureDomain


class RejectedConfig(msgspec.Struct):
    """The last configuration that failed validation."""

    version: ConfigVersion
    errors: list[str]


class NodeStatus(msgspec.Struct):
    """The status of one node, as it is reported to operators.

    Attributes:
        state: joining, live or leaving.
        reaches_config: whether the configuration service answered this node's last call.
        ttft_target_ms: target in force at the node; 0 before the first configuration.
        counts: further counts of the components, such as ``quarantined_requests``.
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
    """Part of the status that one component contributes."""

    def add_to(self, status: NodeStatus) -> None:
        """Sets the fields that belong to this component."""


class FiguresPart:
    """Contributes the request figures."""

    def __init__(self, accounting: Accounting) -> None:
        self._accounting = accounting

    def add_to(self, status: NodeStatus) -> None:
        """Sets the request figures."""
        status.figures = self._accounting.figures()


def collect_status(identity: HostIdentity, parts: Iterable[StatusPart]) -> NodeStatus:
    """Returns the status of this node, collected from all parts."""
    status = NodeStatus(identity.host, identity.incarnation, counts={})
    for part in parts:
        part.add_to(status)
    return status
