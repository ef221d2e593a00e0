"""Tests of the linear fits."""

from __future__ import annotations

import statistics
import unittest

from bench.slope_fit import fit


class FitTest(unittest.TestCase):
    def test_line_is_fitted_by_least_squares(self) -> None:
        """Guards against swapped axes and a residual that hides a nonlinear relation."""
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

    def test_single_point_raises_statistics_error(self) -> None:
        """Guards against a slope that is derived from a single point."""
        with self.assertRaises(statistics.StatisticsError):
            fit("point", "x", "y", [(1.0, 1.0)])


if __name__ == "__main__":
    unittest.main()
