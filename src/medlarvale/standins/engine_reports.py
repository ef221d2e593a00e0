"""What a stand-in engine publishes of itself: late, and with gaps; pure."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import msgspec

from medlarvale.standins.engine_memory import PrefixChange
from medlarvale.standins.engine_messages import CacheEvent, CacheEvents, LoadReport

KEPT_CACHE_EVENTS = 10_000


class LoadSample(msgspec.Struct, frozen=True):
    """A load report and the time it was true."""

    at_ms: float
    report: LoadReport


class LaggedLoad:
    """Load reports, read as they were ``lag_ms`` ago."""

    def __init__(self, lag_ms: float) -> None:
        self.lag_ms = lag_ms
        self._samples: deque[LoadSample] = deque()

    def record(self, now_ms: float, report: LoadReport) -> None:
        """Records the report that is true now."""
        if not self._samples or self._samples[-1].report != report:
            self._samples.append(LoadSample(now_ms, report))
        self._drop_outdated(now_ms)

    def read(self, now_ms: float) -> LoadReport | None:
        """Returns the report of ``lag_ms`` ago, the oldest if none is that old, or None."""
        self._drop_outdated(now_ms)
        return self._samples[0].report if self._samples else None

    def _drop_outdated(self, now_ms: float) -> None:
        while len(self._samples) > 1 and self._samples[1].at_ms <= now_ms - self.lag_ms:
            self._samples.popleft()


class DatedEvent(msgspec.Struct, frozen=True):
    """A cache event and the time from which it is published."""

    published_ms: float
    event: CacheEvent


class CacheEventLog:
    """Numbered cache events, published late; every ``gap_every``-th one is lost.

    Args:
        lag_ms: time from a change until its event is published.
        gap_every: 0 publishes every event.
    """

    def __init__(self, lag_ms: float, gap_every: int) -> None:
        self.lag_ms = lag_ms
        self.gap_every = gap_every
        self._next = 1
        self._events: deque[DatedEvent] = deque(maxlen=KEPT_CACHE_EVENTS)

    def append(self, changes: Iterable[PrefixChange], now_ms: float) -> None:
        """Numbers changes of the prefix cache; a lost event uses up its number."""
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
