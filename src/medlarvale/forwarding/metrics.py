"""Request counters and latency histograms of a forwarding host, in Prometheus text format."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from aiohttp import web
from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from medlarvale.uploads.bounds import Uploads
from medlarvale.uploads.servers import CallerConnectionServer

# Latencies from 1 ms to 1 min with two significant digits.
LOWEST_MS, HIGHEST_MS, DIGITS = 1, 60_000, 2
QUANTILES = (0.5, 0.9, 0.99)


class ForwardingMetrics:
    """Counts finished requests by kind and outcome and records their latencies.

    Args:
        gauges: returns current values by name.
    """

    def __init__(self, gauges: Callable[[], Mapping[str, float]]) -> None:
        self._gauges = gauges
        self._finished: Counter[tuple[str, str]] = Counter()
        self._latencies: dict[str, HdrHistogram] = {}
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(_ForwardingCollector(self))

    def note(self, kind: str, outcome: str, took_ms: float) -> None:
        """Counts a finished request.

        Args:
            kind: kind of its route, or ``none``.
            outcome: HTTP status of the answer, an error code, or ``caller_gone``.
            took_ms: time from the receipt of the request to the end of the answer.
        """
        self._finished[kind, outcome] += 1
        histogram = self._latencies.get(kind)
        if histogram is None:
            histogram = self._latencies[kind] = HdrHistogram(LOWEST_MS, HIGHEST_MS, DIGITS)
        histogram.record_value(min(HIGHEST_MS, max(LOWEST_MS, int(took_ms))))

    def families(self) -> Iterable[Metric]:
        """Yields the metric families."""
        finished = CounterMetricFamily(
            "medlarvale_requests", "Finished requests", labels=["kind", "outcome"]
        )
        for (kind, outcome), number in sorted(self._finished.items()):
            finished.add_metric([kind, outcome], number)
        yield finished
        latency = GaugeMetricFamily(
            "medlarvale_latency_ms", "Time to the end of an answer", labels=["kind", "quantile"]
        )
        for kind, histogram in sorted(self._latencies.items()):
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile * 100)
                latency.add_metric([kind, str(quantile)], value)
        yield latency
        for name, value in sorted(self._gauges().items()):
            yield GaugeMetricFamily(f"medlarvale_{name}", name.replace("_", " "), value=value)

    def render(self) -> bytes:
        """Returns the Prometheus text format."""
        return generate_latest(self._registry)

    def build_server(self, uploads: Uploads) -> web.Server:
        """Returns the server of the metrics address.

        Args:
            uploads: bounds what callers hold of this host.
        """

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            return web.Response(body=self.render(), content_type="text/plain")

        return CallerConnectionServer(handle, uploads, access_log=None)


class _ForwardingCollector(Collector):
    def __init__(self, metrics: ForwardingMetrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterable[Metric]:
        """Yields the metric families."""
        return self._metrics.families()
