"""Measurements of the engines of one service, which hosts merge and exchange.

Evidence is kept as decayed sums of logarithms, which can be merged in any order. Quantiles are
those of the log-normal distribution with the same moments.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Iterable, Sequence
from functools import singledispatch
from statistics import NormalDist
from typing import Any

import msgspec

from medlarvale.forwarding.errors import FiguresError

# Evidence decays with this time constant, so that engines of another speed are noticed in seconds.
EVIDENCE_TIME_CONSTANT_MS = 20_000.0
# Estimates from less evidence are too uncertain to act on.
MIN_EVIDENCE = 8.0
# Limits the influence of a single host on the pooled estimates.
MAX_HOST_EVIDENCE = 256.0
# Bounds of plausible values, in ms or tokens: exp(-12) is 6 ns, exp(18) is 18 hours.
MIN_LOG = -12.0
MAX_LOG = 18.0
# Error of output hints, as the standard deviation of its logarithm, until outputs are measured: two
# thirds of the outputs are between 0.6 and 1.6 times the hint.
ASSUMED_HINT_ERROR = 0.5
# Weight of that assumption against measured outputs.
ASSUMED_EVIDENCE = 4.0
# Standard deviations below the mean hint to which lower hints are raised.
LOWEST_HINT = 3.0
MIN_SPREAD = 0.01
# Error of moments that were sent as 32-bit floats.
ROUNDING = 1e-3
# The fastest prefill is forgotten this much more slowly than other evidence, because all prompts
# may have to queue for many seconds.
SPEED_DECAY_SHARE = 0.2
MAX_TOKENS_PER_MS = 100_000.0


class LogMoments(msgspec.Struct, frozen=True, array_like=True):
    """Moments of the logarithm of a positive quantity.

    Attributes:
        weight: decayed number of measurements.
        total: decayed sum of the logarithms.
        squares: decayed sum of their squares.
    """

    weight: float = 0.0
    total: float = 0.0
    squares: float = 0.0

    def plausible(self) -> bool:
        """Returns whether real measurements can have these moments."""
        if not all(map(math.isfinite, (self.weight, self.total, self.squares))):
            return False
        if self.weight <= 0.0:
            return self.weight == self.total == self.squares == 0.0
        mean = self.total / self.weight
        variance = self.squares / self.weight - mean * mean
        return MIN_LOG <= mean <= MAX_LOG and -ROUNDING <= variance <= (MAX_LOG - MIN_LOG) ** 2

    def quantile(self, share: float) -> float | None:
        """Returns the value that a share of the measurements does not exceed."""
        if self.weight < MIN_EVIDENCE:
            return None
        mean = self.total / self.weight
        variance = max(0.0, self.squares / self.weight - mean * mean)
        return math.exp(NormalDist(mean, max(MIN_SPREAD, math.sqrt(variance))).inv_cdf(share))

    def mean(self) -> float | None:
        """Returns the mean of the quantity."""
        if self.weight < MIN_EVIDENCE:
            return None
        mean = self.total / self.weight
        variance = max(0.0, self.squares / self.weight - mean * mean)
        return math.exp(mean + variance / 2.0)


class OutputMoments(msgspec.Struct, frozen=True, array_like=True):
    """Joint moments of the logarithms of output hints, in tokens, and outputs, in events.

    Attributes:
        weight: decayed number of complete streams.
        hints: decayed sum of the logarithms of the hints.
        events: decayed sum of the logarithms of the numbers of events.
        hint_squares: decayed sum of the squares of the former.
        event_squares: decayed sum of the squares of the latter.
        products: decayed sum of their products.
    """

    weight: float = 0.0
    hints: float = 0.0
    events: float = 0.0
    hint_squares: float = 0.0
    event_squares: float = 0.0
    products: float = 0.0

    def plausible(self) -> bool:
        """Returns whether real measurements can have these moments."""
        hints = LogMoments(self.weight, self.hints, self.hint_squares)
        events = LogMoments(self.weight, self.events, self.event_squares)
        if not math.isfinite(self.products) or not (hints.plausible() and events.plausible()):
            return False
        # Cauchy-Schwarz inequality.
        limit = self.hint_squares * self.event_squares
        return self.products * self.products <= limit * (1.0 + ROUNDING) + ROUNDING

    def tokens_per_event(self) -> float | None:
        """Returns the tokens of an event: the ratio at which hints are accurate at the median."""
        if self.weight < MIN_EVIDENCE:
            return None
        return math.exp((self.hints - self.events) / self.weight)

    def predict(self, hint: int) -> NormalDist:
        """Returns the distribution of the logarithm of an output in tokens.

        Regression towards the mean corrects hints that are
        unusually high or low.
        """
        log_hint = math.log(max(1, hint))
        if self.weight < MIN_EVIDENCE:
            return NormalDist(log_hint, ASSUMED_HINT_ERROR)
        mean_hint = self.hints / self.weight
        mean_events = self.events / self.weight
        hint_variance = max(0.0, self.hint_squares / self.weight - mean_hint * mean_hint)
        event_variance = max(0.0, self.event_squares / self.weight - mean_events * mean_events)
        covariance = self.products / self.weight - mean_hint * mean_events
        slope = 1.0
        if hint_variance > MIN_SPREAD * MIN_SPREAD:
            slope = min(1.0, max(0.0, covariance / hint_variance))
        residual = event_variance - 2.0 * slope * covariance + slope * slope * hint_variance
        spread_sum = self.weight * max(0.0, residual) + ASSUMED_EVIDENCE * ASSUMED_HINT_ERROR**2
        spread = math.sqrt(spread_sum / (self.weight + ASSUMED_EVIDENCE))
        # Hints far below all others are not extrapolated, because too little would be reserved.
        lowest = mean_hint - LOWEST_HINT * math.sqrt(hint_variance)
        used_hint = max(log_hint, lowest)
        return NormalDist(mean_hint + slope * (used_hint - mean_hint), max(MIN_SPREAD, spread))


class FastestSpeed(msgspec.Struct, frozen=True, array_like=True):
    """Highest recent speed, which is that of an engine without a queue.

    Attributes:
        weight: decayed number of measurements.
        tokens_per_ms: highest speed, which decays with time.
    """

    weight: float = 0.0
    tokens_per_ms: float = 0.0

    def plausible(self) -> bool:
        """Returns whether this can be a measurement."""
        if not all(map(math.isfinite, (self.weight, self.tokens_per_ms))):
            return False
        return self.weight >= 0.0 and 0.0 <= self.tokens_per_ms <= MAX_TOKENS_PER_MS


class EngineFigures(msgspec.Struct, frozen=True, array_like=True):
    """What one host has measured on the engines of a service.

    Attributes:
        event_ms: time between two events of a stream.
        first_event_ms: time from the reservation of memory to the first event.
        hold_ms: time from the reservation of memory to the end of the stream.
        outputs: outputs of complete streams against their hints.
        prefill: speed of prefills.
    """

    event_ms: LogMoments = LogMoments()
    first_event_ms: LogMoments = LogMoments()
    hold_ms: LogMoments = LogMoments()
    outputs: OutputMoments = OutputMoments()
    prefill: FastestSpeed = FastestSpeed()

    def plausible(self) -> bool:
        """Returns whether real measurements can have these moments."""
        return all(moments.plausible() for moments in msgspec.structs.astuple(self))


def flat(figures: EngineFigures) -> list[float]:
    """Returns all numbers of some figures; those of the prefill speed are the last two."""
    values: list[float] = []
    for part in msgspec.structs.astuple(figures):
        values.extend(msgspec.structs.astuple(part))
    return values


def from_flat(values: Sequence[float]) -> EngineFigures:
    """Returns the figures with some numbers; see ``flat``."""
    return EngineFigures(
        LogMoments(*values[0:3]),
        LogMoments(*values[3:6]),
        LogMoments(*values[6:9]),
        OutputMoments(*values[9:15]),
        FastestSpeed(*values[15:17]),
    )


def add(total: list[float], values: Sequence[float], age_ms: float = 0.0) -> list[float]:
    """Returns the evidence of two sets of numbers, of which the second has decayed for a time."""
    factor = math.exp(-max(0.0, age_ms) / EVIDENCE_TIME_CONSTANT_MS)
    speed = max(total[-1], values[-1] * factor**SPEED_DECAY_SHARE)
    added = [one + other * factor for one, other in zip(total, values, strict=True)]
    added[-1] = speed
    return added


def merged(figures: Iterable[EngineFigures]) -> EngineFigures:
    """Returns the evidence of several hosts, in any order."""
    total = flat(EngineFigures())
    for part in figures:
        total = add(total, flat(part))
    return from_flat(total)


def decayed(figures: EngineFigures, age_ms: float) -> EngineFigures:
    """Returns the evidence that remains of figures after a time."""
    return from_flat(add(flat(EngineFigures()), flat(figures), age_ms))


@singledispatch
def _limited(moments: Any) -> Any:
    """Returns evidence whose weight does not exceed that allowed for a single host."""
    factor = min(1.0, MAX_HOST_EVIDENCE / max(1.0, moments.weight))
    return type(moments)(*(value * factor for value in msgspec.structs.astuple(moments)))


@_limited.register
def _(speed: FastestSpeed) -> FastestSpeed:
    return FastestSpeed(min(MAX_HOST_EVIDENCE, speed.weight), speed.tokens_per_ms)


def limited(figures: EngineFigures) -> EngineFigures:
    """Returns figures whose weights do not exceed those allowed for a single host."""
    return EngineFigures(*map(_limited, msgspec.structs.astuple(figures)))


def pack_figures(figures: EngineFigures) -> bytes:
    """Encodes figures for peers as 32-bit floats, which are precise enough for estimates."""
    values = flat(figures)
    return struct.pack(f"<{len(values)}f", *values)


def unpack_figures(data: bytes) -> EngineFigures:
    """Decodes the figures of a peer.

    Raises:
        FiguresError: if they have another size, or no measurements can have such figures.
    """
    count = len(flat(EngineFigures()))
    try:
        figures = from_flat(struct.unpack(f"<{count}f", data))
    except struct.error as error:
        raise FiguresError(f"the figures have {len(data)} bytes") from error
    if not figures.plausible():
        raise FiguresError("the figures are not those of any measurements")
    return figures


def measured(value: float) -> LogMoments:
    """Returns the moments of one measurement of a positive quantity."""
    log = min(MAX_LOG, max(MIN_LOG, math.log(max(1e-6, value))))
    return LogMoments(1.0, log, log * log)
