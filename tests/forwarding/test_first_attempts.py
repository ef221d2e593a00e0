"""Tests that retries after a refusal are distinguished from first attempts."""

from __future__ import annotations

import unittest

from medlarvale.forwarding.first_attempts import WINDOW_REQUESTS, FirstAttemptEstimator


class FirstAttemptEstimatorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.estimator = FirstAttemptEstimator()

    def record(self, *deadlines_ms: float) -> None:
        for deadline_ms in deadlines_ms:
            self.estimator.first_attempt_age_ms(deadline_ms)

    def test_first_attempt_age_for_a_usual_deadline(self) -> None:
        table: list[tuple[str, list[float], float, float]] = [
            ("first request", [], 14_000.0, 0.0),
            ("retry", [14_000.0] * 5, 10_500.0, 3_500.0),
            ("longer than usual", [14_000.0] * 5, 20_000.0, 0.0),
            ("delayed by some ms", [14_000.0] * 5, 13_970.0, 0.0),
            ("no usual deadline", [1_000.0 * n for n in range(1, 20)], 1_000.0, 0.0),
        ]
        for name, before, deadline_ms, expected in table:
            with self.subTest(name):
                self.estimator = FirstAttemptEstimator()
                self.record(*before)
                self.assertEqual(self.estimator.first_attempt_age_ms(deadline_ms), expected)

    def test_a_new_usual_deadline_is_detected(self) -> None:
        """Guards against all requests counting as late after callers changed their deadline."""
        self.record(*[14_000.0] * WINDOW_REQUESTS, *[9_000.0] * WINDOW_REQUESTS)
        self.assertEqual(self.estimator.first_attempt_age_ms(9_000.0), 0.0)
        self.assertEqual(self.estimator.first_attempt_age_ms(14_000.0), 0.0)
