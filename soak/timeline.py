"""One page of a run: faults, software versions that served, and broken promises, by host."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from medlarvale.ids import HostId
from soak.checks import Promise, Verdict
from soak.records import Case, Disruption, Span

if TYPE_CHECKING:
    from matplotlib.axes import Axes

STORE, SERVERS = "store", "servers"
MARKERS = "ovs^D*XP"
# Distance between the marks of two promises on the row of a host.
MARK_STEP = 0.1


class Timeline(msgspec.Struct):
    """What happened in a run, and what was checked."""

    hosts: Sequence[HostId]
    disruptions: Sequence[Disruption]
    spells: Sequence[Span]
    verdicts: list[Verdict]


def draw_timeline(path: Path, timeline: Timeline, title: str) -> None:
    """Draws a timeline to a file, whose suffix names the format."""
    # It takes a second to load, and most runs need no page.
    from matplotlib.figure import Figure

    faults = [Span(_row(it), it.kind, it.from_s, it.to_s) for it in timeline.disruptions]
    bars = [*timeline.spells, *faults]
    broken = {item.promise: item.broken for item in timeline.verdicts if item.broken}
    times_s = [time_s for bar in bars for time_s in (bar.from_s, bar.to_s)]
    times_s += [case.at_s for cases in broken.values() for case in cases]
    end_s = max(filter(math.isfinite, times_s), default=1.0)
    rows = [*dict.fromkeys(spell.row for spell in timeline.spells), STORE, SERVERS]
    rows += timeline.hosts
    figure = Figure(figsize=(16.0, 2.0 + 0.4 * len(rows)), layout="constrained")
    axes = figure.subplots()
    _draw_bars(axes, rows, bars, end_s)
    _draw_cases(axes, rows, broken, end_s)
    axes.set_yticks(range(len(rows)), labels=rows)
    axes.invert_yaxis()
    axes.set(title=title, xlabel="time since the start in s", xlim=(0.0, 1.02 * end_s))
    if bars or broken:
        figure.legend(loc="outside right upper")
    figure.savefig(path, dpi=100)


def _row(disruption: Disruption) -> str:
    return disruption.host or (STORE if disruption.server is None else SERVERS)


def _draw_bars(axes: Axes, rows: list[str], bars: Sequence[Span], end_s: float) -> None:
    for number, kind in enumerate(dict.fromkeys(bar.kind for bar in bars)):
        same = [bar for bar in bars if bar.kind == kind]
        places = [rows.index(bar.row) for bar in same]
        lasted_s = [min(bar.to_s, end_s) - bar.from_s for bar in same]
        from_s = [bar.from_s for bar in same]
        axes.barh(places, lasted_s, left=from_s, color=f"C{number % 10}", alpha=0.5, label=kind)


def _draw_cases(
    axes: Axes, rows: list[str], broken: Mapping[Promise, Sequence[Case]], end_s: float
) -> None:
    """Marks the cases whose host is known; those whose time is not known are at the end."""
    for number, (promise, cases) in enumerate(broken.items()):
        placed = [case for case in cases if case.host is not None]
        times_s = [min(case.at_s, end_s) for case in placed]
        heights = [rows.index(str(case.host)) + MARK_STEP * (number % 7 - 3) for case in placed]
        label = f"broken: {promise} ({len(cases)})"
        axes.plot(times_s, heights, MARKERS[number % len(MARKERS)], color="red", label=label)
