"""Tests of the accounting of finished requests."""

import tracemalloc
import unittest

from medlarvale.clock import ManualClock
from medlarvale.errors import Outcome
from medlarvale.operators.accounting import MAX_GROUPS, MAX_REASONS, Dimension, Figures
from tests.operators.reports_data import new_accounting, report


class AccountingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.accounting = new_accounting(self.clock)

    def find(self, dimension: Dimension, name: str, window: str) -> Figures | None:
        self.clock.advance_ms(1_000)
        for figures in self.accounting.figures():
            if (figures.dimension, figures.name, figures.window) == (dimension, name, window):
                return figures
        return None

    def test_refused_and_late_requests_are_not_goodput(self) -> None:
        """Guards against goodput that counts fast refusals or late answers."""
        cases = [
            # changes, good, refused, unknown, long_requests, long_good
            ({}, 1, 0, 0, 0, 0),
            ({"within_targets": False}, 0, 0, 0, 0, 0),
            ({"prompt_tokens": 9_000}, 1, 0, 0, 1, 1),
            ({"output_tokens": 2_000, "within_targets": False}, 0, 0, 0, 1, 0),
            ({"outcome": Outcome.NOT_RUN, "code": "overloaded"}, 0, 1, 0, 0, 0),
            ({"outcome": Outcome.UNKNOWN, "code": "engine_lost"}, 0, 0, 1, 0, 0),
        ]
        for changes, *expected in cases:
            with self.subTest(changes=changes):
                self.setUp()
                self.accounting.request_finished(report(**changes))
                found = self.find(Dimension.WORKSPACE, "w1", "now")
                assert found is not None
                self.assertEqual(
                    [
                        found.good,
                        found.refused,
                        found.unknown,
                        found.long_requests,
                        found.long_good,
                    ],
                    expected,
                )

    def test_each_group_counts_requests_and_causes(self) -> None:
        """Guards against groups that lack requests or name the wrong cause of a failure."""
        lost = {"outcome": Outcome.UNKNOWN, "code": "engine_lost", "within_targets": False}
        self.accounting.request_finished(report(**lost))
        refused = {"outcome": Outcome.NOT_RUN, "code": "overloaded", "waited_for": ["w9"]}
        self.accounting.request_finished(report(**refused, wasted_prefill_ms=40.0))
        groups = [
            (Dimension.ALL, "all"),
            (Dimension.REGION, "bretagne"),
            (Dimension.FAILURE_DOMAIN, "armor"),
            (Dimension.SERVICE, "redacteur"),
            (Dimension.POOL, "redacteur/decode"),
            (Dimension.WORKSPACE, "w1"),
        ]
        for dimension, name in groups:
            with self.subTest(dimension=dimension):
                found = self.find(dimension, name, "1m")
                assert found is not None
                self.assertEqual(found.reasons, {"engine_lost": 1, "overloaded": 1})
                self.assertEqual(found.waited_for, {"w9": 1})
                self.assertEqual(found.faults, {"engine_lost at d1": 1})
                self.assertEqual((found.prefill_ms, found.wasted_prefill_ms), (200.0, 40.0))

    def test_windows_drop_old_requests(self) -> None:
        """Guards against old figures that hide that no request is being answered."""
        self.accounting.request_finished(report())
        cases = [(0, "now", 1), (50_000, "now", 0), (0, "1m", 1), (60_000, "1m", 0)]
        cases += [(0, "5m", 1), (250_000, "5m", 0)]
        for later_ms, window, expected in cases:
            with self.subTest(later_ms=later_ms, window=window):
                self.clock.advance_ms(later_ms)
                found = self.find(Dimension.ALL, "all", window)
                self.assertEqual(found.requests if found else 0, expected)
        self.assertEqual(self.accounting.totals()[0].requests, 1)

    def test_percentiles(self) -> None:
        """Guards against wrong latency percentiles."""
        for number in range(1, 101):
            self.accounting.request_finished(report(ttft_ms=number * 10.0, tbt_p95_ms=number))
        found = self.find(Dimension.SERVICE, "redacteur", "1m")
        assert found is not None
        self.assertAlmostEqual(found.ttft_p50_ms, 500, delta=10)
        self.assertAlmostEqual(found.ttft_p95_ms, 950, delta=10)
        self.assertAlmostEqual(found.tbt_p95_ms, 95, delta=1)

    def test_memory_is_bounded(self) -> None:
        """Guards against accounting that grows with the number of names or error codes.

        350 workspaces and 10 models have to fit into 32 MB, half of the 64 MB of a node.
        """
        tracemalloc.start()
        for _ in range(18):
            for number in range(350):
                service, domain = f"model-{number % 10}", f"domain-{number % 8}"
                changed = report(workspace=f"w{number}", service=service, failure_domain=domain)
                self.accounting.request_finished(changed)
            self.clock.advance_ms(20_000)
        used_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self.assertLess(used_bytes, 32_000_000)
        for number in range(2 * MAX_GROUPS):
            code = f"code-{number}"
            self.accounting.request_finished(report(workspace=code, code=code))
        self.assertLessEqual(len(self.accounting.totals()), MAX_GROUPS)
        for figures in self.accounting.totals():
            self.assertLessEqual(len(figures.reasons), MAX_REASONS + 1)
