"""Measures how probably a part of a prompt is still cached, by the time since it was sent."""

from __future__ import annotations

import math
from collections.abc import Sequence

from medlarvale.prompt_cache.records import SentPart

# Upper ends of the classes of ages, in ms; older parts count as lost.
AGE_LIMITS_MS = tuple(1_000.0 * 2**power for power in range(11))
# Measurements in a class of ages, and older ones, from which on its probability is used.
MIN_EVIDENCE = 8.0
# Measurements of 3 minutes ago count 37%, so that a change of the load is noticed within minutes.
TIME_CONSTANT_MS = 180_000.0
# Without a queue, a prefill takes at most this multiple of what the highest speed predicts; one
# that took longer has waited, and shows nothing.
MAX_SLOWDOWN = 1.5
# Time that a cached part saves, below which noise decides whether it seems to be cached.
MIN_MEASURED_SAVING_MS = 20.0


def seems_cached(took_ms: float, without_ms: float, saving_ms: float) -> bool | None:
    """Returns whether a part was cached, judged by how long a prefill took; None if unclear.

    Args:
        took_ms: duration of the prefill.
        without_ms: expected duration if nothing is cached.
        saving_ms: time that the part saves if it is cached.
    """
    if saving_ms < MIN_MEASURED_SAVING_MS or took_ms > MAX_SLOWDOWN * without_ms:
        return None
    return took_ms < without_ms - saving_ms / 2.0


class _Share:
    """Decayed numbers of measurements and of parts that were still cached."""

    def __init__(self) -> None:
        self._measured = 0.0
        self._cached = 0.0
        self._at_ms = 0.0

    def note(self, cached: bool, now_ms: float) -> None:
        self._measured, self._cached = self.at(now_ms)
        self._measured += 1.0
        self._cached += cached
        self._at_ms = now_ms

    def at(self, now_ms: float) -> tuple[float, float]:
        decay = math.exp(-max(0.0, now_ms - self._at_ms) / TIME_CONSTANT_MS)
        return self._measured * decay, self._cached * decay


class CacheSurvival:
    """Probability that an engine of one service and stage still caches a part.

    Nothing is assumed: until there are enough measurements, nothing counts as cached.
    """

    def __init__(self) -> None:
        self._shares = [_Share() for _ in AGE_LIMITS_MS]

    def note(self, age_ms: float, cached: bool, now_ms: float) -> None:
        """Records whether a part was still cached.

        Args:
            age_ms: time since it was sent.
            cached: whether it was.
            now_ms: monotonic time.
        """
        index = _age_class(age_ms)
        if index < len(self._shares):
            self._shares[index].note(cached, now_ms)

    def probability(self, age_ms: float, now_ms: float) -> float:
        """Returns the probability that a part is still cached; 0 without enough evidence.

        A class with too few measurements is joined with older ones, in which fewer parts survive.

        Args:
            age_ms: time since it was sent.
            now_ms: monotonic time.
        """
        measured = cached = 0.0
        for share in self._shares[_age_class(age_ms) :]:
            more_measured, more_cached = share.at(now_ms)
            measured, cached = measured + more_measured, cached + more_cached
            if measured >= MIN_EVIDENCE:
                return cached / measured
        return 0.0

    def cached_tokens(self, sent: Sequence[SentPart], now_ms: float) -> float:
        """Returns the expected cached tokens of the parts at the beginning of a prompt.

        Parts are evicted together, so a part counts at most as its least probable predecessor.

        Args:
            sent: the parts that were sent, in order.
            now_ms: monotonic time.
        """
        total, chance = 0.0, 1.0
        for part in sent:
            chance = min(chance, self.probability(part.age_ms, now_ms))
            if not chance:
                break
            total += chance * part.tokens
        return total


def _age_class(age_ms: float) -> int:
    return next(
        (index for index, limit_ms in enumerate(AGE_LIMITS_MS) if age_ms < limit_ms),
        len(AGE_LIMITS_MS),
    )
