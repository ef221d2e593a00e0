"""Measures how long the placement scheduler handles a message, by the number of engines."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from bench.experiments import make_scenario
from bench.policies import SchedulerPolicy
from bench.runner import Runner
from medlarvale.ids import HostIdentity
from medlarvale.scheduling.limits import GroupLimits
from medlarvale.scheduling.messages import Reserve
from medlarvale.scheduling.owners import OwnerQuery

ENGINE_COUNTS = (20, 100, 300, 1_000)
COST_LOADS = (0.9, 1.2)
# The engines are full after the duration of one average answer.
WARM_UP_MS = 16_000.0
MEASURED_REQUESTS = 4_000
MAX_LATENCY_NS = 1_000_000_000


class TimedSchedulerPolicy(SchedulerPolicy):
    """Scheduler policy that records the handling time of each message."""

    def __init__(self, limits: GroupLimits) -> None:
        super().__init__(limits)
        self.reserve_ns = HdrHistogram(1, MAX_LATENCY_NS, 3)
        self.owners_ns = HdrHistogram(1, MAX_LATENCY_NS, 3)
        self.other_ns = HdrHistogram(1, MAX_LATENCY_NS, 3)

    def _handle(self, message: msgspec.Struct) -> None:
        histogram = self.reserve_ns if isinstance(message, Reserve) else self.other_ns
        self._measure(histogram, super()._handle, message)

    def _place_waiting(self) -> None:
        self._measure(self.other_ns, super()._place_waiting)

    def _check_owners(self) -> None:
        self._measure(self.owners_ns, super()._check_owners)

    def _answer_query(self, query: OwnerQuery) -> None:
        self._measure(self.owners_ns, super()._answer_query, query)

    def _handle_owner_reply(self, owner: HostIdentity, ended: list[int]) -> None:
        self._measure(self.owners_ns, super()._handle_owner_reply, owner, ended)

    def _measure(self, histogram: HdrHistogram, call: Callable[..., None], *values: Any) -> None:
        start_ns = time.perf_counter_ns()
        call(*values)
        elapsed_ns = max(1, time.perf_counter_ns() - start_ns)
        if self._events.now_ms >= self._runner.scenario.warm_up_ms:
            histogram.record_value(elapsed_ns)


@dataclass(frozen=True, slots=True)
class DecisionCost:
    """Handling times in µs.

    ``other`` covers progress, release and the placement of queued requests that they make possible.
    ``owners`` covers the checks of the owners, the answer of an owner to a query and the handling
    of that answer; it grows with the number of engines.
    """

    engines: int
    load: float
    reserve_p50_us: float
    reserve_p99_us: float
    other_p50_us: float
    other_p99_us: float
    owners_p99_us: float


def measure_cost(engines: int, load: float) -> DecisionCost:
    """Runs the scheduler policy with a number of engines and returns its handling times."""
    prefill = max(1, round(engines * 0.15))
    scenario = make_scenario(prefill, engines - prefill, load)
    window_ms = 1_000.0 * MEASURED_REQUESTS / scenario.rate_per_s
    scenario = dataclasses.replace(scenario, warm_up_ms=WARM_UP_MS, window_ms=window_ms)
    limits = GroupLimits()
    policy = TimedSchedulerPolicy(limits)
    Runner(scenario, limits, policy).run()
    return DecisionCost(
        engines,
        load,
        policy.reserve_ns.get_value_at_percentile(50) / 1_000.0,
        policy.reserve_ns.get_value_at_percentile(99) / 1_000.0,
        policy.other_ns.get_value_at_percentile(50) / 1_000.0,
        policy.other_ns.get_value_at_percentile(99) / 1_000.0,
        policy.owners_ns.get_value_at_percentile(99) / 1_000.0,
    )
