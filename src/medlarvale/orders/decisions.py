"""Decides which role and model the engines of a group should have, and which order to give.

All functions are pure: reports, load and time come in, actions go out. One engine of a group is
under change at a time: it is drained, and ordered only once it reports no work in flight.
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

# A role swap empties prefix caches; a group swaps at most one engine in this time.
MIN_DWELL_MS = 60_000
# A role is short above the one load while the other role is below the other. The gap is wider than
# what one engine moved between two roles of a few engines changes.
SHORT_LOAD = 0.9
SPARE_LOAD = 0.5
# The load has to stay beyond both bounds for this long, so that a burst moves no engine.
SUSTAIN_MS = 10_000
# An idle engine may still receive work that was placed before its drain was known.
DRAIN_SETTLE_MS = 2_000
OTHER_ROLE = {PoolRole.PREFILL: PoolRole.DECODE, PoolRole.DECODE: PoolRole.PREFILL}


class EngineReport(msgspec.Struct, frozen=True):
    """What an engine last reported.

    Attributes:
        in_flight: requests that run or hold memory there.
    """

    server: ServerId
    role: PoolRole
    model: str
    in_flight: int
    leaving: bool = False


class _Change(msgspec.Struct):
    """The engine under change, which gets either another role or another model.

    Attributes:
        idle_since_ms: None while it has work in flight.
    """

    server: ServerId
    role: PoolRole | None = None
    model: str | None = None
    idle_since_ms: float | None = None


class TokenBucket:
    """Spaces weight loads, which share a store of limited rate.

    Args:
        period_ms: time in which one load becomes free.
        burst: loads that may start at once.
    """

    def __init__(self, period_ms: float, burst: int, now_ms: float) -> None:
        self._period_ms = period_ms
        self._burst = burst
        self._tokens = float(burst)
        self._last_ms = now_ms

    def take(self, now_ms: float) -> bool:
        """Takes a token if there is one."""
        gained = (now_ms - self._last_ms) / self._period_ms
        self._tokens = min(float(self._burst), self._tokens + gained)
        self._last_ms = now_ms
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def fencing_number(leases: LeaseState, group: str, wall_ms: int) -> int | None:
    """Returns the number for the orders of a group, or None unless this host may give them now."""
    shard = shard_of(BookingKey(f"orders/{group}"))
    held = leases.interval(shard)
    if held is None or not held[0] < wall_ms <= held[1]:
        return None
    return leases.fencing_number(shard)


class GroupOrders:
    """The orders of one group as one giver decides them.

    Args:
        group: name of the group.
        loads: bucket of the weight loads, shared by all groups of the cell.
    """

    def __init__(self, group: str, loads: TokenBucket) -> None:
        self._group = group
        self._loads = loads
        self._fencing: int | None = None
        self._roles: dict[ServerId, PoolRole] = {}
        self._changed_ms = 0.0
        self._short: PoolRole | None = None
        self._short_since_ms = 0.0
        self._change: _Change | None = None

    def decide(
        self,
        reports: Iterable[EngineReport],
        load: dict[PoolRole, float],
        model: str,
        fencing: int | None,
        now_ms: float,
    ) -> list[OrderAction]:
        """Returns what to do now; to be called with each round of reports.

        Args:
            reports: the engines that report; silent ones are left out.
            load: share of the capacity of each role in use, queued work included.
            model: the model that the settings name.
            fencing: from ``fencing_number``.
        """
        engines = {report.server: report for report in reports}
        self._note(engines, load, fencing, now_ms)
        if fencing is None:
            return self._abandon()
        if self._change is not None:
            return self._continue(self._change, engines, model, fencing, now_ms)
        self._change = self._next_change(engines, model, now_ms)
        return [Drain(self._change.server)] if self._change is not None else []

    def _note(
        self,
        engines: dict[ServerId, EngineReport],
        load: dict[PoolRole, float],
        fencing: int | None,
        now_ms: float,
    ) -> None:
        roles = {server: engine.role for server, engine in engines.items()}
        swapped = any(self._roles.get(server, role) is not role for server, role in roles.items())
        # A new giver does not know when its predecessor or a giver beyond a partition swapped.
        if swapped or fencing != self._fencing:
            self._changed_ms = now_ms
        self._roles.update(roles)
        self._fencing = fencing
        short = short_role(load)
        if short is not self._short:
            self._short, self._short_since_ms = short, now_ms

    def _abandon(self) -> list[OrderAction]:
        change, self._change = self._change, None
        return [EndDrain(change.server)] if change is not None else []

    def _next_change(
        self, engines: dict[ServerId, EngineReport], model: str, now_ms: float
    ) -> _Change | None:
        if self._swap_due(now_ms) and self._short is not None:
            server = self._donor(engines, OTHER_ROLE[self._short])
            if server is not None:
                return _Change(server, role=self._short)
        for server, engine in sorted(engines.items()):
            if engine.model != model and not self._is_last(engine, engines):
                return _Change(server, model=model) if self._loads.take(now_ms) else None
        return None

    def _swap_due(self, now_ms: float) -> bool:
        return (
            self._short is not None
            and now_ms - self._short_since_ms >= SUSTAIN_MS
            and now_ms - self._changed_ms >= MIN_DWELL_MS
        )

    def _donor(self, engines: dict[ServerId, EngineReport], role: PoolRole) -> ServerId | None:
        """Returns the same engine at each giver, so that two givers don't take two."""
        servers = [
            engine.server
            for engine in engines.values()
            if engine.role is role and not self._is_last(engine, engines)
        ]
        return choose(f"orders/{self._group}", servers)

    @staticmethod
    def _is_last(engine: EngineReport, engines: dict[ServerId, EngineReport]) -> bool:
        """Tells whether no other engine would serve the role; one that leaves does not count."""
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
        if engine is None or self._is_last(engine, engines):
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


def short_role(load: dict[PoolRole, float]) -> PoolRole | None:
    """Returns the role that lacks engines while the other one can spare some."""
    for role, other in OTHER_ROLE.items():
        if load.get(role, 0.0) > SHORT_LOAD and load.get(other, 0.0) < SPARE_LOAD:
            return role
    return None
