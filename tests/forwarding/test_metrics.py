"""Tests of the Prometheus text of the metrics."""

import unittest

from medlarvale.forwarding.metrics import ForwardingMetrics


class ForwardingMetricsTest(unittest.TestCase):
    def test_text_format(self) -> None:
        metrics = ForwardingMetrics(lambda: {"in_flight": 3.0})
        for took_ms in (10.0, 20.0, 1e9):
            metrics.note("safe", "200", took_ms)
        metrics.note("stream", "no_capacity", 5.0)
        text = metrics.render().decode()
        for line in (
            'medlarvale_requests_total{kind="safe",outcome="200"} 3.0',
            'medlarvale_requests_total{kind="stream",outcome="no_capacity"} 1.0',
            'medlarvale_latency_ms{kind="safe",quantile="0.5"} 20.0',
            "medlarvale_in_flight 3.0",
        ):
            with self.subTest(line):
                self.assertIn(line, text)
