"""Tests of the fitted lines."""

from __future__ import annotations

import statistics
import unittest

from bench.slope_fit import fit


class FitTest(unittest.TestCase):
    def test_line(self) -> None:
        """Guards against swapped axes, and a residual that hides a bend."""
        table = (
            ("straight", [(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)], 2.0, 3.0, 0.0),
            ("bent", [(0.0, 0.0), (1.0, 0.0), (2.0, 6.0)], 3.0, -1.0, 100.0 * 2.0 / 6.0),
        )
        for name, points, slope, intercept, residual in table:
            with self.subTest(name):
                fitted = fit(name, "x", "y", points)
                self.assertAlmostEqual(fitted.slope, slope)
                self.assertAlmostEqual(fitted.intercept, intercept)
                self.assertAlmostEqual(fitted.residual_percent, residual)

    def test_one_point_is_no_line(self) -> None:
        """Guards against a slope that is made up from a single point."""
        with self.assertRaises(statistics.StatisticsError):
            fit("point", "x", "y", [(1.0, 1.0)])


if __name__ == "__main__":
    unittest.main()
