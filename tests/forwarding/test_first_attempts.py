"""Callers that come back after a refusal are told from those that ask for the first time."""

from __future__ import annotations

import unittest

from medlarvale.forwarding.first_attempts import REMEMBERED, FirstAttemptEstimator


class ReturnEstimatorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.estimator = FirstAttemptEstimator()

    def learn(self, *deadlines_ms: float) -> None:
        for deadline_ms in deadlines_ms:
            self.estimator.elapsed_ms(deadline_ms)

    def test_known_deadlines(self) -> None:
        table: list[tuple[str, list[float], float, float]] = [
            ("first request", [], 14_000.0, 0.0),
            ("came back", [14_000.0] * 5, 10_500.0, 3_500.0),
            ("longer than usual", [14_000.0] * 5, 20_000.0, 0.0),
            ("on its way for some ms", [14_000.0] * 5, 13_970.0, 0.0),
            ("no usual deadline", [1_000.0 * n for n in range(1, 20)], 1_000.0, 0.0),
        ]
        for name, before, deadline_ms, expected in table:
            with self.subTest(name):
                self.estimator = FirstAttemptEstimator()
                self.learn(*before)
                self.assertEqual(self.estimator.elapsed_ms(deadline_ms), expected)

    def test_a_new_usual_deadline_is_learnt(self) -> None:
        """Guards against requests that all count as late after callers changed their deadline."""
        self.learn(*[14_000.0] * REMEMBERED, *[9_000.0] * REMEMBERED)
        self.assertEqual(self.estimator.elapsed_ms(9_000.0), 0.0)
        self.assertEqual(self.estimator.elapsed_ms(14_000.0), 0.0)
