"""Decides which role and model the engines of a group should have, and which orders to send.

This module does no I/O: it takes reports, load and time, and returns actions. One engine of a group
is changed at a time: it is drained, and ordered only after it reports no work in flight.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from medlarvale.bookings.keys import shard_of
from medlarvale.bookings.lease import LeaseState
from medlarvale.hashing import choose
from medlarvale.ids import BookingKey, ServerId
from medlarvale.orders.messages import Drain, EndDrain, LoadModel, OrderAction, SetRole
from medlarvale.settings.schema import PoolRole

# A role change empties prefix caches, so a group changes at most one engine in this time.
MIN_DWELL_MS = 60_000
# A role is underprovisioned if its load is above the first threshold while the load of the other
# role is below the second. The gap is wider than the load change from moving one engine between two
# roles of a few engines.
OVERLOAD_THRESHOLD = 0.9
SPARE_CAPACITY_THRESHOLD = 0.5
# The load has to stay beyond both thresholds for this long, so that a burst changes no role.
SUSTAIN_MS = 10_000
# An idle engine may still receive work that was placed before the drain took effect.
DRAIN_SETTLE_MS = 2_000
OTHER_ROLE = {PoolRole.PREFILL: PoolRole.DECODE, PoolRole.DECODE: PoolRole.PREFILL}


class EngineReport(msgspec.Struct, frozen=True):
    """The last report of an engine.

    Attributes:
        in_flight: number of requests that run or hold memory on the engine.
    """

    server: ServerId
    role: PoolRole
    model: str
    in_flight: int
    leaving: bool = False


class _Change(msgspec.Struct):
    """The change in progress: an engine that gets either another role or another model.

    Attributes:
        idle_since_ms: None while the engine has work in flight.
    """

    server: ServerId
    role: PoolRole | None = None
    model: str | None = None
    idle_since_ms: float | None = None


class TokenBucket:
    """Limits the rate of weight loads, which share a store of limited bandwidth.

    Args:
        period_ms: time in which one token is added.
        burst: number of loads that may start at once.
    """

    def __init__(self, period_ms: float, burst: int, now_ms: float) -> None:
        self._period_ms = period_ms
        self._burst = burst
        self._tokens = float(burst)
        self._last_ms = now_ms

    def try_acquire(self, now_ms: float) -> bool:
        """Consumes a token if one is available; returns whether it did."""
        gained = (now_ms - self._last_ms) / self._period_ms
        self._tokens = min(float(self._burst), self._tokens + gained)
        self._last_ms = now_ms
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def fencing_number(leases: LeaseState, group: str, wall_ms: int) -> int | None:
    """Returns the fencing number for a group's orders, or None if this host may send none now."""
    shard = shard_of(BookingKey(f"orders/{group}"))
    held = leases.interval(shard)
    if held is None or not held[0] < wall_ms <= held[1]:
        return None
    return leases.fencing_number(shard)


class GroupOrders:
    """Decisions of one order coordinator about one group.

    Args:
        group: name of the group.
        weight_loads: token bucket for weight loads, shared by all groups of the cell.
    """

    def __init__(self, group: str, weight_loads: TokenBucket) -> None:
        self._group = group
        self._weight_loads = weight_loads
        self._fencing: int | None = None
        self._roles: dict[ServerId, PoolRole] = {}
        self._changed_ms = 0.0
        self._underprovisioned: PoolRole | None = None
        self._underprovisioned_since_ms = 0.0
        self._change: _Change | None = None

    def decide(
        self,
        reports: Iterable[EngineReport],
        load: dict[PoolRole, float],
        model: str,
        fencing: int | None,
        now_ms: float,
    ) -> list[OrderAction]:
        """Returns the actions to perform now; to be called with each round of reports.

        Args:
            reports: the engines that report; engines without a report are left out.
            load: used share of the capacity of each role, including queued work.
            model: the model from the settings.
            fencing: result of ``fencing_number``.
        """
        engines = {report.server: report for report in reports}
        self._record_observations(engines, load, fencing, now_ms)
        if fencing is None:
            return self._abandon()
        if self._change is not None:
            return self._continue(self._change, engines, model, fencing, now_ms)
        self._change = self._next_change(engines, model, now_ms)
        return [Drain(self._change.server)] if self._change is not None else []

    def _record_observations(
        self,
        engines: dict[ServerId, EngineReport],
        load: dict[PoolRole, float],
        fencing: int | None,
        now_ms: float,
    ) -> None:
        roles = {server: engine.role for server, engine in engines.items()}
        swapped = any(self._roles.get(server, role) is not role for server, role in roles.items())
        # A new coordinator does not know when its predecessor, or one on the other side of a
        # partition, changed a role.
        if swapped or fencing != self._fencing:
            self._changed_ms = now_ms
        self._roles.update(roles)
        self._fencing = fencing
        underprovisioned = underprovisioned_role(load)
        if underprovisioned is not self._underprovisioned:
            self._underprovisioned, self._underprovisioned_since_ms = underprovisioned, now_ms

    def _abandon(self) -> list[OrderAction]:
        change, self._change = self._change, None
        return [EndDrain(change.server)] if change is not None else []

    def _next_change(
        self, engines: dict[ServerId, EngineReport], model: str, now_ms: float
    ) -> _Change | None:
        if self._swap_due(now_ms) and self._underprovisioned is not None:
            server = self._donor(engines, OTHER_ROLE[self._underprovisioned])
            if server is not None:
                return _Change(server, role=self._underprovisioned)
        for server, engine in sorted(engines.items()):
            if engine.model != model and not self._is_last_of_role(engine, engines):
                return (
                    _Change(server, model=model) if self._weight_loads.try_acquire(now_ms) else None
                )
        return None

    def _swap_due(self, now_ms: float) -> bool:
        return (
            self._underprovisioned is not None
            and now_ms - self._underprovisioned_since_ms >= SUSTAIN_MS
            and now_ms - self._changed_ms >= MIN_DWELL_MS
        )

    def _donor(self, engines: dict[ServerId, EngineReport], role: PoolRole) -> ServerId | None:
        """Returns the engine of ``role`` to change, or None if none can be spared.

        Every coordinator selects the same engine, so that two coordinators do not change two.
        """
        servers = [
            engine.server
            for engine in engines.values()
            if engine.role is role and not self._is_last_of_role(engine, engines)
        ]
        return choose(f"orders/{self._group}", servers)

    @staticmethod
    def _is_last_of_role(engine: EngineReport, engines: dict[ServerId, EngineReport]) -> bool:
        """Returns whether no other engine serves the role; leaving engines do not count."""
        return engine.leaving or not any(
            other.role is engine.role and not other.leaving
            for other in engines.values()
            if other.server != engine.server
        )

    def _continue(
        self,
        change: _Change,
        engines: dict[ServerId, EngineReport],
        model: str,
        fencing: int,
        now_ms: float,
    ) -> list[OrderAction]:
        engine = engines.get(change.server)
        if engine is None or self._is_last_of_role(engine, engines):
            return self._abandon()
        if change.role is not None:
            needed = engine.role is not change.role and self._swap_due(now_ms)
        else:
            needed = engine.model != change.model and change.model == model
        if not needed:
            return self._abandon()
        if engine.in_flight:
            change.idle_since_ms = None
            return []
        if change.idle_since_ms is None:
            change.idle_since_ms = now_ms
        if now_ms - change.idle_since_ms < DRAIN_SETTLE_MS:
            return []
        if change.role is not None:
            return [SetRole(change.server, change.role, fencing)]
        return [LoadModel(change.server, model, fencing)]


def underprovisioned_role(load: dict[PoolRole, float]) -> PoolRole | None:
    """Returns the role that lacks engines while the other role can spare some."""
    for role, other in OTHER_ROLE.items():
        if (
            load.get(role, 0.0) > OVERLOAD_THRESHOLD
            and load.get(other, 0.0) < SPARE_CAPACITY_THRESHOLD
        ):
            return role
    return None
