"""Prometheus text format of a node's status."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from medlarvale.operators.accounting import Accounting, Figures, Window
from medlarvale.operators.status import NodeStatus

GROUP_LABELS = ["dimension", "name"]
COUNTERS = (
    ("requests", "requests", "Finished requests"),
    ("good_requests", "good", "Requests answered within both latency targets"),
    ("not_run_requests", "refused", "Requests answered with outcome not_run"),
    ("unknown_requests", "unknown", "Requests answered with outcome unknown"),
    ("prefill_ms", "prefill_ms", "Prefill time spent"),
    ("wasted_prefill_ms", "wasted_prefill_ms", "Prefill time whose result was never used"),
    ("output_tokens", "output_tokens", "Tokens sent to callers"),
)
QUANTILES = (
    ("ttft_ms", "0.5", "ttft_p50_ms"),
    ("ttft_ms", "0.95", "ttft_p95_ms"),
    ("tbt_ms", "0.95", "tbt_p95_ms"),
)


class StatusCollector(Collector):
    """Builds metric families from accounting and status at each scrape."""

    def __init__(self, accounting: Accounting, status: Callable[[], NodeStatus]) -> None:
        self._accounting = accounting
        self._status = status

    def collect(self) -> Iterable[Metric]:
        """Yields the metric families."""
        totals = self._accounting.totals()
        for name, field, text in COUNTERS:
            yield _counter(name, field, text, totals)
        yield _reasons(totals)
        status = self._status()
        yield from _latencies(status.figures)
        yield from _node_gauges(status)
        yield _pool_use(status)


def _counter(name: str, field: str, text: str, totals: list[Figures]) -> Metric:
    family = CounterMetricFamily(f"medlarvale_{name}", text, labels=GROUP_LABELS)
    for figures in totals:
        family.add_metric([figures.dimension.value, figures.name], getattr(figures, field))
    return family


def _reasons(totals: list[Figures]) -> Metric:
    family = CounterMetricFamily(
        "medlarvale_errors", "Refused and failed requests by code", labels=[*GROUP_LABELS, "code"]
    )
    for figures in totals:
        for code, number in figures.reasons.items():
            family.add_metric([figures.dimension.value, figures.name, code], number)
    return family


def _latencies(figures: list[Figures]) -> Iterable[Metric]:
    families = {
        name: GaugeMetricFamily(
            f"medlarvale_{name}",
            "Latency percentile over the last minute",
            labels=[*GROUP_LABELS, "quantile"],
        )
        for name in ("ttft_ms", "tbt_ms")
    }
    for group in figures:
        if group.window == Window.ONE_MINUTE.label:
            for name, quantile, field in QUANTILES:
                labels = [group.dimension.value, group.name, quantile]
                families[name].add_metric(labels, getattr(group, field))
    return families.values()


def _node_gauges(status: NodeStatus) -> Iterable[Metric]:
    gauges = {
        "config_version": status.config_version,
        "host_list_version": status.list_version,
        "booking_shards_held": status.lease.shards_held,
        "leaving_servers": len(status.leaving_servers),
        "config_rejected": int(status.rejected_config is not None),
    }
    for name, value in (gauges | status.counts).items():
        yield GaugeMetricFamily(f"medlarvale_{name}", name.replace("_", " "), value=value)
    peers = GaugeMetricFamily("medlarvale_peers", "Peers by state", labels=["state"])
    for state in sorted({peer.state for peer in status.peers}):
        peers.add_metric([state], sum(1 for peer in status.peers if peer.state == state))
    yield peers


def _pool_use(status: NodeStatus) -> Metric:
    family = GaugeMetricFamily(
        "medlarvale_pool_used_share",
        "Larger of the used shares of slots and engine memory",
        labels=["service", "pool", "failure_domain"],
    )
    for pool in status.pools:
        family.add_metric([pool.service, pool.pool, pool.failure_domain], pool.used_share)
    return family


class Metrics:
    """Renders the metrics.

    Args:
        accounting: counts and latencies of requests.
        status: returns the status of this node.
    """

    def __init__(self, accounting: Accounting, status: Callable[[], NodeStatus]) -> None:
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(StatusCollector(accounting, status))

    def render(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        return generate_latest(self._registry)
