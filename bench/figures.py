"""Computes the figures of one run."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from bench.runner import Runner, Scenario
from bench.workload import Request
from medlarvale.scheduling.messages import WorkClass

TBT_TARGET_MS = 73.0
MAX_LATENCY_MS = 600_000


@dataclass(frozen=True, slots=True)
class Figures:
    """Results of a policy in a scenario.

    Attributes:
        goodput_per_s: requests per second that met both latency targets.
        wasted_percent: share of the prefill time that was spent on attempts without an answer.
        jain: Jain's fairness index over each workspace's goodput relative to its max-min fair
            share, which is its demand at most.
        worst_percent: lowest of these relative goodputs.
        batch_goodput_percent: share of the batch requests that met their targets.
    """

    experiment: str
    policy: str
    load: float
    goodput_per_s: float
    offered_per_s: float
    wasted_percent: float
    refused_percent: float
    failed_percent: float
    late_percent: float
    ttft_p50_ms: float
    ttft_p95_ms: float
    ttft_p99_ms: float
    tbt_p50_ms: float
    tbt_p95_ms: float
    tbt_p99_ms: float
    jain: float
    worst_percent: float
    batch_goodput_percent: float
    engine_refusals: int


def is_good(request: Request) -> bool:
    """Returns whether a request was answered within both latency targets."""
    return (
        request.outcome == "answered"
        and request.ttft_ms <= request.ttft_target_ms
        and request.tbt_ms <= TBT_TARGET_MS
    )


def summarize(
    experiment: str, policy: str, scenario: Scenario, runner: Runner, requests: list[Request]
) -> Figures:
    """Returns the figures of the measured window of a run."""
    seconds = scenario.window_ms / 1000.0
    total = max(1, len(requests))
    good = sum(is_good(request) for request in requests)
    answered = [request for request in requests if request.outcome == "answered"]
    live = [request for request in answered if request.work_class is WorkClass.LIVE]
    ttft = _histogram(request.ttft_ms for request in live)
    tbt = _histogram(request.tbt_ms for request in answered)
    shares = _fair_shares(requests)
    batch = [request for request in requests if request.work_class is WorkClass.BATCH]
    return Figures(
        experiment=experiment,
        policy=policy,
        load=scenario.load,
        goodput_per_s=good / seconds,
        offered_per_s=total / seconds,
        wasted_percent=100.0 * runner.wasted_ms / max(1e-9, runner.prefill_ms),
        refused_percent=100.0 * sum(item.outcome == "refused" for item in requests) / total,
        failed_percent=100.0 * sum(item.outcome == "failed" for item in requests) / total,
        late_percent=100.0 * (len(answered) - good) / total,
        ttft_p50_ms=ttft.get_value_at_percentile(50),
        ttft_p95_ms=ttft.get_value_at_percentile(95),
        ttft_p99_ms=ttft.get_value_at_percentile(99),
        tbt_p50_ms=tbt.get_value_at_percentile(50),
        tbt_p95_ms=tbt.get_value_at_percentile(95),
        tbt_p99_ms=tbt.get_value_at_percentile(99),
        jain=_jain(shares),
        worst_percent=100.0 * min(shares, default=0.0),
        batch_goodput_percent=100.0 * sum(is_good(item) for item in batch) / max(1, len(batch)),
        engine_refusals=runner.engine_refusals,
    )


def _histogram(values_ms: Iterable[float]) -> HdrHistogram:
    histogram = HdrHistogram(1, MAX_LATENCY_MS, 3)
    for value_ms in values_ms:
        histogram.record_value(max(1, min(MAX_LATENCY_MS, round(value_ms))))
    return histogram


def _fair_shares(requests: list[Request]) -> list[float]:
    """Returns the goodput of each workspace relative to its max-min fair share."""
    demand: dict[str, int] = defaultdict(int)
    good: dict[str, int] = defaultdict(int)
    for request in requests:
        demand[request.workspace] += 1
        good[request.workspace] += is_good(request)
    remaining = float(sum(good.values()))
    shares = []
    by_demand = sorted(demand, key=lambda workspace: demand[workspace])
    for index, workspace in enumerate(by_demand):
        fair_share = min(float(demand[workspace]), remaining / (len(by_demand) - index))
        remaining -= fair_share
        shares.append(min(1.0, good[workspace] / fair_share) if fair_share else 1.0)
    return shares


def _jain(shares: list[float]) -> float:
    squares = sum(share * share for share in shares)
    return sum(shares) ** 2 / (len(shares) * squares) if squares else 0.0
