"""Measures the cost of each part as a function of its load and fits a line to the points.

``docs/CAPACITY.md`` derives the planned size from these slopes.
"""

from __future__ import annotations

import argparse
import contextlib
import io
import logging
import re
import sys
import time
from collections.abc import Callable
from pathlib import Path

import structlog
import uvloop

from bench import relay
from bench.report import write_csv
from bench.slope_fit import Slope, fit
from bench.slopes_control import (
    decision_slopes,
    heartbeat_slopes,
    lease_slopes,
    ledger_slopes,
    peer_slopes,
    status_slopes,
)
from bench.slopes_memory import process_slopes, state_slopes
from bench.slopes_versions import list_slopes, settings_slopes

OUTPUT = Path("out")
CHUNK_TOKENS = (1, 2, 4, 8)
RELAY_ANSWER_TOKENS = 1_000
RELAY_STREAMS = 16
_FULL_COST = re.compile(r"full: ([0-9.]+) us/token")


def relay_cost_us(chunk_tokens: int) -> float:
    """Returns the CPU time per token of the relay for a number of tokens per chunk."""
    plan = relay.Plan(RELAY_STREAMS, RELAY_STREAMS, RELAY_ANSWER_TOKENS, chunk_tokens, 4.0)
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        uvloop.run(relay.measure(plan, 1))
    match = _FULL_COST.search(printed.getvalue())
    if match is None:
        raise ValueError(f"bench.relay printed no cost: {printed.getvalue()!r}")
    return float(match.group(1))


def relay_slopes() -> list[Slope]:
    """Fits the CPU time per token of the relay to the chunks per token; the slope is per chunk.

    The intercept is the part that does not depend on the chunks. It includes the calls before a
    stream, divided by its tokens.
    """
    points = [(1.0 / tokens, relay_cost_us(tokens)) for tokens in CHUNK_TOKENS]
    return [fit("relay, per token by chunks per token", "chunk", "µs", points)]


def print_slopes(slopes: list[Slope]) -> None:
    """Prints one line per slope."""
    print(f"{'measured':<44} {'slope':>10} {'intercept':>11}  {'unit':<24} {'residual':>8}  points")
    for slope in slopes:
        unit = f"{slope.unit} per {slope.per}"
        print(
            f"{slope.name:<44} {slope.slope:>10.4g} {slope.intercept:>11.5g}  {unit:<24}"
            f" {slope.residual_percent:>7.1f}%  {slope.points}",
            flush=True,
        )


PARTS: dict[str, Callable[[], list[Slope]]] = {
    "heartbeats": heartbeat_slopes,
    "peers": peer_slopes,
    "leases": lease_slopes,
    "ledger": ledger_slopes,
    "decisions": decision_slopes,
    "settings": settings_slopes,
    "lists": list_slopes,
    "status": status_slopes,
    "relay": relay_slopes,
    "state": state_slopes,
    "process": lambda: process_slopes(OUTPUT / "slopes.log"),
}


def main() -> int:
    """Measures all parts, or the selected one."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", choices=PARTS, help="measure one part only")
    arguments = parser.parse_args()
    # Suppress log lines about peers that join and leave; writing them would be measured as well.
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    OUTPUT.mkdir(exist_ok=True)
    start_s = time.monotonic()
    slopes: list[Slope] = []
    for name in [arguments.only] if arguments.only else PARTS:
        slopes += PARTS[name]()
    print_slopes(slopes)
    name = f"slopes-{arguments.only}.csv" if arguments.only else "slopes.csv"
    write_csv(OUTPUT / name, slopes)
    print(f"measured in {time.monotonic() - start_s:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
