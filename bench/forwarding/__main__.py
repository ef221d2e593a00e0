"""Runs all load patterns, once with the hosts of the deployment and once with a single host.

A single host knows all requests in flight, so the difference is what several hosts lose because
each knows only its own requests.
"""

from __future__ import annotations

import argparse
import dataclasses
import multiprocessing
import statistics

from bench.forwarding.load import Figures, LoadPattern, run_pattern
from bench.forwarding.patterns import PATTERNS


def _run_job(job: tuple[LoadPattern, int]) -> Figures:
    return run_pattern(*job)


def _line(name: str, runs: list[Figures]) -> str:
    requests = sum(run.requests for run in runs)
    first_event_ms = sorted(time_ms for run in runs for time_ms in run.first_event_ms)
    value_share = statistics.mean(run.value_share for run in runs)
    error = statistics.pstdev(run.value_share for run in runs) / len(runs) ** 0.5
    shares = " ".join(
        f"{kind} {sum(getattr(run, kind) for run in runs) / requests:.3f}"
        for kind in ("in_time", "late", "refused", "failed", "pauses", "preempted")
    )
    return (
        f"{name:48} worth {value_share:.3f} ±{error:.3f} {shares}"
        f" first event p50 {first_event_ms[len(first_event_ms) // 2]:.0f} ms"
        f" p90 {first_event_ms[len(first_event_ms) * 9 // 10]:.0f} ms"
    )


def main() -> None:
    """Runs the patterns and prints one line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=8, help="runs of each pattern")
    parser.add_argument("--workers", type=int, default=4, help="processes")
    arguments = parser.parse_args()
    variants = [
        variant
        for pattern in PATTERNS
        for variant in (pattern, dataclasses.replace(pattern, hosts=1))
    ]
    jobs = [(pattern, seed) for pattern in variants for seed in range(arguments.seeds)]
    with multiprocessing.Pool(arguments.workers) as pool:
        figures = pool.map(_run_job, jobs, chunksize=1)
    for number, pattern in enumerate(variants):
        runs = figures[number * arguments.seeds : (number + 1) * arguments.seeds]
        suffix = ", one host" if pattern.hosts == 1 else ""
        print(_line(pattern.name + suffix, runs))


if __name__ == "__main__":
    main()
