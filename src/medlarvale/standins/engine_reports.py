"""Load reports and cache events of a stand-in engine, with lag and gaps; free of I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import msgspec

from medlarvale.standins.engine_memory import PrefixChange
from medlarvale.standins.engine_messages import CacheEvent, CacheEvents, LoadReport

KEPT_CACHE_EVENTS = 10_000


class LoadSample(msgspec.Struct, frozen=True):
    """A load report and the time at which it was recorded."""

    at_ms: float
    report: LoadReport


class LaggedLoad:
    """Load reports that become visible with a lag of ``lag_ms``."""

    def __init__(self, lag_ms: float) -> None:
        self.lag_ms = lag_ms
        self._samples: deque[LoadSample] = deque()

    def record(self, now_ms: float, report: LoadReport) -> None:
        """Records the current report."""
        if not self._samples or self._samples[-1].report != report:
            self._samples.append(LoadSample(now_ms, report))
        self._drop_outdated(now_ms)

    def read(self, now_ms: float) -> LoadReport | None:
        """Returns the report from ``lag_ms`` ago, else the oldest report, or None without any."""
        self._drop_outdated(now_ms)
        return self._samples[0].report if self._samples else None

    def _drop_outdated(self, now_ms: float) -> None:
        while len(self._samples) > 1 and self._samples[1].at_ms <= now_ms - self.lag_ms:
            self._samples.popleft()


class DatedEvent(msgspec.Struct, frozen=True):
    """A cache event and its time of publication."""

    published_ms: float
    event: CacheEvent


class CacheEventLog:
    """Numbered cache events that are published with a lag; every ``gap_every``-th event is lost.

    Args:
        lag_ms: time from a change until its event is published.
        gap_every: interval of lost events; 0 loses none.
    """

    def __init__(self, lag_ms: float, gap_every: int) -> None:
        self.lag_ms = lag_ms
        self.gap_every = gap_every
        self._next = 1
        self._events: deque[DatedEvent] = deque(maxlen=KEPT_CACHE_EVENTS)

    def append(self, changes: Iterable[PrefixChange], now_ms: float) -> None:
        """Appends changes of the prefix cache as events; a lost event also consumes a number."""
        for change in changes:
            number = self._next
            self._next += 1
            if self.gap_every and number % self.gap_every == 0:
                continue
            event = CacheEvent(number, change.kind, change.prefix_hash)
            self._events.append(DatedEvent(now_ms + self.lag_ms, event))

    def read(self, start: int, now_ms: float) -> CacheEvents:
        """Returns the published events numbered ``start`` and above."""
        published = [
            dated.event
            for dated in self._events
            if dated.event.n >= start and dated.published_ms <= now_ms
        ]
        following = published[-1].n + 1 if published else start
        return CacheEvents(published, following)
