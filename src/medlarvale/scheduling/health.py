"""Ejection of failing engines and their gradual re-admission."""

from __future__ import annotations

import msgspec

from medlarvale.ids import ServerId

# A single broken connection may be a network fault; the loss of an engine breaks many at once.
FAILURES_TO_EJECT = 2
FAILURE_WINDOW_MS = 10_000.0
FIRST_EJECTION_MS = 2_000.0
MAX_EJECTION_MS = 60_000.0
# Ejecting most of a group would overload the rest, so failed attempts eject no further engine
# beyond this share.
MAX_EJECTED_SHARE = 0.5
REENTRY_FIRST_SHARE = 0.2
REENTRY_MS = 5_000.0


class EngineHealth(msgspec.Struct):
    """Failures and ejection of one engine."""

    failures: int = 0
    first_failure_ms: float = 0.0
    ejected_until_ms: float = 0.0
    ejections: int = 0
    reentry_from_ms: float | None = None
    reachable: bool = True


class HealthChange(msgspec.Struct, frozen=True):
    """The ejection or re-admission of an engine.

    Attributes:
        unreachable: whether the engine left a probe unanswered; otherwise attempts failed on it.
    """

    server: ServerId
    ejected: bool
    unreachable: bool


class HealthTable:
    """Decides which engines may get work, and how much of it after a failure."""

    def __init__(self) -> None:
        self._engines: dict[ServerId, EngineHealth] = {}
        self._ejected: set[ServerId] = set()
        self._changes: list[HealthChange] = []

    def record_failure(self, server: ServerId, now_ms: float, group_size: int) -> bool:
        """Counts a failed attempt; returns True if this ejects the engine."""
        health = self._engines.setdefault(server, EngineHealth())
        if self._is_ejected(health, now_ms):
            return False
        if now_ms - health.first_failure_ms > FAILURE_WINDOW_MS:
            health.failures, health.first_failure_ms = 0, now_ms
        health.failures += 1
        if health.failures < FAILURES_TO_EJECT:
            return False
        return self._eject(health, now_ms, group_size)

    def record_unreachable(self, server: ServerId, now_ms: float, group_size: int) -> bool:
        """Records an unanswered probe; returns True if this ejects the engine."""
        health = self._engines.setdefault(server, EngineHealth())
        was_ejected = self._is_ejected(health, now_ms)
        health.reachable = False
        if was_ejected:
            return False
        self._eject(health, now_ms, group_size=0)
        return True

    def record_reachable(self, server: ServerId, now_ms: float) -> None:
        """Records an answered probe; the engine is re-admitted when its ejection is over."""
        health = self._engines.get(server)
        if health is None:
            return
        if not health.reachable:
            health.reachable = True
            health.reentry_from_ms = max(now_ms, health.ejected_until_ms)

    def share_allowed(self, server: ServerId, now_ms: float) -> float:
        """Returns the share of an engine's slots that may be used: 0 while it is ejected."""
        health = self._engines.get(server)
        if health is None:
            return 1.0
        ejected = self._is_ejected(health, now_ms)
        if ejected != (server in self._ejected):
            self._record_change(server, ejected, health)
        if ejected:
            return 0.0
        if health.reentry_from_ms is None:
            return 1.0
        progress = (now_ms - health.reentry_from_ms) / REENTRY_MS
        if progress >= 1.0:
            health.reentry_from_ms = None
            return 1.0
        return REENTRY_FIRST_SHARE + (1.0 - REENTRY_FIRST_SHARE) * max(0.0, progress)

    def forget(self, server: ServerId) -> None:
        """Drops the state of an engine that is no longer listed."""
        self._engines.pop(server, None)
        self._ejected.discard(server)

    def pop_changes(self) -> list[HealthChange]:
        """Returns and clears the ejections and re-admissions that ``share_allowed`` recorded."""
        changes, self._changes = self._changes, []
        return changes

    def _record_change(self, server: ServerId, ejected: bool, health: EngineHealth) -> None:
        self._changes.append(HealthChange(server, ejected, not health.reachable))
        if ejected:
            self._ejected.add(server)
        else:
            self._ejected.discard(server)

    def _is_ejected(self, health: EngineHealth, now_ms: float) -> bool:
        return not health.reachable or now_ms < health.ejected_until_ms

    def _eject(self, health: EngineHealth, now_ms: float, group_size: int) -> bool:
        ejected = sum(self._is_ejected(other, now_ms) for other in self._engines.values())
        if group_size and ejected + 1 > max(1.0, MAX_EJECTED_SHARE * group_size):
            return False
        if health.ejections and now_ms - health.ejected_until_ms > MAX_EJECTION_MS:
            health.ejections = 0
        duration_ms = min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2**health.ejections)
        health.ejections += 1
        health.failures = 0
        health.ejected_until_ms = now_ms + duration_ms
        health.reentry_from_ms = health.ejected_until_ms
        return True
