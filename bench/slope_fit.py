"""Linear fits of measured points."""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

REPEATS = 5


@dataclass(frozen=True, slots=True)
class Slope:
    """A fitted line.

    Attributes:
        name: measured quantity.
        per: unit of the x axis, such as ``peer``.
        unit: unit of the slope and the intercept.
        residual_percent: largest residual in % of the largest absolute value.
        points: measured values as ``x:y``.
    """

    name: str
    per: str
    unit: str
    slope: float
    intercept: float
    residual_percent: float
    points: str


def fit(name: str, per: str, unit: str, points: Sequence[tuple[float, float]]) -> Slope:
    """Fits a line by least squares.

    Raises:
        statistics.StatisticsError: if there are fewer than two different x.
    """
    xs, ys = [x for x, _ in points], [y for _, y in points]
    slope, intercept = statistics.linear_regression(xs, ys)
    worst = max(abs(y - (slope * x + intercept)) for x, y in points)
    largest = max(abs(y) for y in ys)
    shown = " ".join(f"{x:g}:{y:.4g}" for x, y in points)
    residual = 100.0 * worst / largest if largest else 0.0
    return Slope(name, per, unit, slope, intercept, residual, shown)


def processor_us(action: Callable[[], object], count: int, repeats: int = REPEATS) -> float:
    """Returns the CPU time of one action in µs, as the minimum over several batches.

    The machine is shared; the fastest batch is the least disturbed one.
    """
    lowest = float("inf")
    for _ in range(repeats):
        start_ns = time.process_time_ns()
        for _ in range(count):
            action()
        lowest = min(lowest, (time.process_time_ns() - start_ns) / 1_000.0 / count)
    return lowest
