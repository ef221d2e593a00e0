"""Tables, CSV files, plot and target checks of the experiments."""

from __future__ import annotations

import csv
import dataclasses
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from bench.decision_cost import DecisionCost
from bench.figures import Figures

COLUMNS = (
    ("experiment", "experiment", "{}"),
    ("policy", "policy", "{}"),
    ("load", "load", "{:.1f}"),
    ("goodput_per_s", "good/s", "{:.2f}"),
    ("wasted_percent", "waste%", "{:.2f}"),
    ("refused_percent", "refused%", "{:.1f}"),
    ("failed_percent", "failed%", "{:.1f}"),
    ("late_percent", "late%", "{:.1f}"),
    ("ttft_p50_ms", "ttft50", "{:.0f}"),
    ("ttft_p95_ms", "ttft95", "{:.0f}"),
    ("tbt_p95_ms", "tbt95", "{:.0f}"),
    ("tbt_p99_ms", "tbt99", "{:.0f}"),
    ("jain", "jain", "{:.3f}"),
    ("worst_percent", "worst%", "{:.0f}"),
    ("batch_goodput_percent", "batch%", "{:.0f}"),
)


@dataclass(frozen=True, slots=True)
class TargetResult:
    """A measured figure compared with a target of docs/design.md 1.7."""

    target: str
    measured: float
    bound: float
    at_least: bool

    @property
    def passed(self) -> bool:
        """Whether the target is met."""
        return self.measured >= self.bound if self.at_least else self.measured <= self.bound


class Results:
    """Figures by experiment, policy and load."""

    def __init__(self, figures: Sequence[Figures], costs: Sequence[DecisionCost]) -> None:
        self.figures = sorted(figures, key=lambda item: (item.experiment, item.load, item.policy))
        self.costs = costs
        self._by_key = {(item.experiment, item.policy, item.load): item for item in figures}

    def get(self, experiment: str, policy: str, load: float) -> Figures:
        """Returns the figures of one run."""
        return self._by_key[experiment, policy, load]

    def ratio(self, experiment: str, load: float, other: str) -> float:
        """Returns the goodput of the placement scheduler relative to another policy."""
        own = self.get(experiment, "booker", load).goodput_per_s
        return own / max(1e-9, self.get(experiment, other, load).goodput_per_s)

    def goodputs(self, experiment: str, policy: str) -> dict[float, float]:
        """Returns the goodput of a policy by load."""
        return {
            item.load: item.goodput_per_s
            for item in self.figures
            if item.experiment == experiment and item.policy == policy
        }


def evaluate_targets(results: Results) -> list[TargetResult]:
    """Compares the figures with each target."""
    checks = []
    for experiment in ("main", "bursty"):
        for load in (0.9, 1.2):
            share = 100.0 * results.ratio(experiment, load, "oracle")
            name = f"{experiment}: goodput at {load} in % of the oracle's"
            checks.append(TargetResult(name, share, 95.0, True))
        name = f"{experiment}: goodput at 1.2 relative to each host alone"
        checks.append(TargetResult(name, results.ratio(experiment, 1.2, "alone"), 1.5, True))
        goodputs = results.goodputs(experiment, "booker")
        share = 100.0 * goodputs[1.5] / max(goodputs.values())
        checks.append(
            TargetResult(f"{experiment}: goodput at 1.5 in % of its peak", share, 90.0, True)
        )
    for experiment, bound in (("main", 1.0), ("bursty", 1.0), ("faults", 3.0)):
        wasted = max(
            item.wasted_percent
            for item in results.figures
            if item.experiment == experiment and item.policy == "booker"
        )
        checks.append(
            TargetResult(f"{experiment}: wasted prefill in %, worst load", wasted, bound, False)
        )
    for cost in results.costs:
        if cost.engines == 100:
            name = f"decision p99 in µs, 100 engines, load {cost.load}"
            checks.append(TargetResult(name, cost.reserve_p99_us, 100.0, False))
            name = f"other messages p99 in µs, 100 engines, load {cost.load}"
            checks.append(TargetResult(name, cost.other_p99_us, 100.0, False))
    return checks


def print_report(results: Results) -> bool:
    """Prints all figures and target results; returns whether every target is met."""
    rows = [
        [form.format(getattr(item, name)) for name, _, form in COLUMNS] for item in results.figures
    ]
    _print_table([title for _, title, _ in COLUMNS], rows)
    _print_table(
        [field.name for field in dataclasses.fields(DecisionCost)],
        [[f"{value:g}" for value in dataclasses.astuple(cost)] for cost in results.costs],
    )
    print("not judged: booker's goodput at 1.2 relative to other policies")
    for experiment in ("main", "bursty", "faults", "glatfore", "ventilo", "lag-2s"):
        ratios = {
            policy: round(results.ratio(experiment, 1.2, policy), 3)
            for policy in ("alone", "two-choices", "oracle")
        }
        print(f"  {experiment}: {ratios}")
    checks = evaluate_targets(results)
    for check in checks:
        status = "PASS" if check.passed else "FAIL"
        sign = ">=" if check.at_least else "<="
        print(f"{status}  {check.target}: {check.measured:.2f} ({sign} {check.bound:g})")
    return all(check.passed for check in checks)


def write_csv(path: Path, rows: Sequence[Any]) -> None:
    """Writes dataclass instances of one type to a CSV file."""
    names = [field.name for field in dataclasses.fields(rows[0])]
    with path.open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(names)
        writer.writerows([getattr(row, name) for name in names] for row in rows)


def write_plot(path: Path, results: Results) -> None:
    """Plots goodput over load for each policy."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    experiments = ("main", "bursty", "faults")
    figure, axes = pyplot.subplots(1, len(experiments), figsize=(13, 4), sharey=True)
    for axis, experiment in zip(axes, experiments, strict=True):
        for policy in ("alone", "two-choices", "booker", "oracle"):
            goodputs = results.goodputs(experiment, policy)
            axis.plot(list(goodputs), list(goodputs.values()), marker="o", label=policy)
        axis.set(title=experiment, xlabel="load in shares of capacity")
    axes[0].set_ylabel("requests/s within both latency targets")
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=120)


def _print_table(titles: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    widths = [max(len(row[index]) for row in [titles, *rows]) for index in range(len(titles))]
    for row in [titles, *rows]:
        print("  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)))
    print()
