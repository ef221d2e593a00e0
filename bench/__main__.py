"""Runs the placement and bookings experiments and checks them against the targets."""

from __future__ import annotations

import argparse
import multiprocessing
import sys
from pathlib import Path

from bench import bookings
from bench.decision_cost import COST_LOADS, ENGINE_COUNTS, measure_cost
from bench.experiments import all_runs, execute
from bench.report import Results, print_report, write_csv, write_plot

OUTPUT = Path("out")


def main() -> int:
    """Runs all experiments and returns the exit status, which is 1 if a target is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, default=4, help="processes for the experiments")
    arguments = parser.parse_args()
    # Start the slowest runs first, so that the other workers don't idle while one finishes them.
    runs = sorted(
        all_runs(), key=lambda run: (not run.policy.startswith("oracle"), -run.scenario.load)
    )
    with multiprocessing.Pool(arguments.workers) as pool:
        figures = pool.map(execute, runs, chunksize=1)
    # Measure timings after the pool has ended, so that its processes don't distort them.
    costs = [measure_cost(engines, load) for engines in ENGINE_COUNTS for load in COST_LOADS]
    results = Results(figures, costs)
    OUTPUT.mkdir(exist_ok=True)
    write_csv(OUTPUT / "placement.csv", results.figures)
    write_csv(OUTPUT / "decision_cost.csv", costs)
    write_plot(OUTPUT / "placement.png", results)
    placement_passed = print_report(results)
    bookings_passed = bookings.run(arguments.workers)
    return 0 if placement_passed and bookings_passed else 1


if __name__ == "__main__":
    sys.exit(main())
