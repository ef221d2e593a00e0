"""``make soak``: plays seeds with hosts as real processes and checks what callers saw."""

from __future__ import annotations

import argparse
import asyncio
import logging
import shutil
import signal
import sys
from collections import Counter
from collections.abc import Awaitable, Sequence
from pathlib import Path

from medlarvale.ids import HostId
from scripts.forward_hosts import SOURCE
from soak.arrivals import check_budget, check_gone
from soak.callers import Callers
from soak.checks import (
    Promise,
    Verdict,
    check_answers,
    check_asked,
    check_order,
    check_planned_stops,
    check_processes,
    check_recovery,
    check_runs,
    check_take_ups,
)
from soak.fleet import SERVICES, Fleet
from soak.plan import EVENT_COUNT, SoakPlan, Trouble, draw_plan
from soak.planned_work import check_configurations, check_signals
from soak.records import Exchange, Route
from soak.regressions import load_regressions
from soak.server_faults import check_leavings
from soak.timeline import Timeline, draw_timeline

OUTPUT = Path("out/soak")
DURATION_S = 25.0


async def _at(start_s: float, action: Awaitable[None]) -> None:
    await asyncio.sleep(start_s)
    await action


async def play(
    plan: SoakPlan, folder: Path, sources: list[Path]
) -> tuple[list[Exchange], Timeline]:
    """Plays one plan; returns what callers saw, and what happened and was checked."""
    # A host that leaves while the stand-in answers is no fault.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    task = asyncio.current_task()
    assert task is not None
    # The hosts must end with this process.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    fleet = Fleet(plan.seed, folder, sources, plan.troubles)
    async with fleet.running():
        callers = Callers(fleet, f"s{plan.seed}")
        try:
            async with asyncio.TaskGroup() as tasks:
                for release in plan.releases:
                    tasks.create_task(_at(release.start_s, fleet.release(release)))
                for fault in plan.faults:
                    tasks.create_task(_at(fault.start_s, fleet.harm(fault)))
                for exchange in plan.exchanges:
                    tasks.create_task(_at(exchange.start_s, callers.exchange(exchange)))
        finally:
            await callers.close()
    streams = [exchange for exchange in callers.exchanges if exchange.route is Route.CHAT]
    calls = [exchange for exchange in callers.exchanges if exchange.route is not Route.CHAT]
    verdicts = [
        check_order(streams, EVENT_COUNT),
        check_take_ups(streams),
        check_answers(calls),
        *check_runs(calls, fleet.runs()),
        check_asked(callers.exchanges, fleet.runs()),
        check_planned_stops(callers.exchanges, fleet.disruptions, fleet.runs()),
        check_signals(callers.exchanges, fleet.reloads, fleet.disruptions, fleet.runs()),
        *check_configurations(callers.exchanges, fleet.reloads.configurations, fleet.disruptions),
        check_leavings(callers.exchanges, fleet.server_faults.leavings, fleet.disruptions),
        check_gone(callers.exchanges, fleet.arrivals(), fleet.disruptions),
        check_budget(callers.exchanges, fleet.arrivals(), SERVICES),
        check_recovery(callers.exchanges, fleet.disruptions),
        check_processes(fleet.own_ends()),
        Verdict(Promise.STOPS_IN_TIME, fleet.planned_stops, tuple(fleet.late_stops)),
    ]
    hosts = [HostId(host.name) for host in fleet.hosts]
    return callers.exchanges, Timeline(hosts, fleet.disruptions, [*fleet.spells.values()], verdicts)


def summary(exchanges: Sequence[Exchange]) -> str:
    """Returns how the attempts ended, by kind."""
    ends = Counter(attempt.end.value for exchange in exchanges for attempt in exchange.attempts)
    return ", ".join(f"{number} {end}" for end, number in ends.most_common())


def print_table(verdicts: Sequence[Verdict]) -> None:
    """Prints how often each promise was checked, held and broken."""
    print(f"{'promise':28}{'checked':>9}{'held':>9}{'broken':>9}")
    for promise in dict.fromkeys(verdict.promise for verdict in verdicts):
        same = [verdict for verdict in verdicts if verdict.promise == promise]
        checked = sum(verdict.checked for verdict in same)
        broken = sum(len(verdict.broken) for verdict in same)
        print(f"{promise:28}{checked:9}{checked - broken:9}{broken:9}")


def play_seed(seed: int, options: argparse.Namespace) -> list[Verdict]:
    """Plays a seed and prints what broke; keeps the hosts' logs only then."""
    plan = draw_plan(seed, options.duration_s, options.troubles, options.hosts)
    folder = options.output / f"seed-{seed}"
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    of_source = plan.host_count if options.source_hosts is None else options.source_hosts
    sources = [options.source] * of_source + [SOURCE] * plan.host_count
    exchanges, timeline = asyncio.run(play(plan, folder, sources[: plan.host_count]))
    verdicts = timeline.verdicts
    troubles = " ".join(kind.value for kind in Trouble if kind in plan.troubles)
    title = f"seed {seed} ({plan.host_count} hosts, {troubles or 'no trouble'})"
    print(f"{title}: {summary(exchanges)}", flush=True)
    for verdict in verdicts:
        if verdict.note:
            print(f"  {verdict.promise}: {verdict.note}")
    broken = [f"{verdict.promise}: {case.text}" for verdict in verdicts for case in verdict.broken]
    for line in broken:
        print(f"  {line}")
    if broken or options.keep_logs:
        (folder / "broken.txt").write_text("\n".join(broken) + "\n")
        draw_timeline(folder / "timeline.png", timeline, title)
        print(f"  logs and timeline.png in {folder}", flush=True)
    else:
        shutil.rmtree(folder)
    return verdicts


def main() -> int:
    """Plays the seeds; returns 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3, help="number of seeds")
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--duration-s", type=float, default=DURATION_S, help="time of a seed")
    parser.add_argument(
        "--troubles", type=Trouble, nargs="*", help="kinds of trouble, instead of drawn ones"
    )
    parser.add_argument("--hosts", type=int, help="number of hosts, instead of a drawn one")
    parser.add_argument(
        "--source", type=Path, default=SOURCE, help="directory of the packages that hosts run"
    )
    parser.add_argument(
        "--source-hosts", type=int, help="number of hosts that run it; all if not given"
    )
    parser.add_argument("--output", type=Path, default=OUTPUT, help="directory of the logs")
    parser.add_argument(
        "--regressions", action="store_true", help="play the list of seeds that broke a promise"
    )
    parser.add_argument("--keep-logs", action="store_true", help="also if nothing broke")
    options = parser.parse_args()
    verdicts = []
    if options.regressions:
        for case in load_regressions():
            options.hosts, options.troubles = case.hosts, case.troubles
            verdicts += play_seed(case.seed, options)
    else:
        for seed in range(options.first_seed, options.first_seed + options.seeds):
            verdicts += play_seed(seed, options)
    print_table(verdicts)
    return 1 if any(verdict.broken for verdict in verdicts) else 0


if __name__ == "__main__":
    sys.exit(main())
