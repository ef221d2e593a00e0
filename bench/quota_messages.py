"""Measures what three ways of sharing quotas cost, and how exact they are.

Run with ``python -m bench.quota_messages``; ``--hosts`` and ``--workspaces`` choose the sizes. Time
is virtual: the figures depend on the seeds only, not on the machine.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import random

import msgspec
import structlog

from bench.quota_fleet import QuotaFleet, poisson_arrivals, total
from medlarvale.forwarding.messages import Quota, QuotaUnit
from medlarvale.ids import HostId, WorkspaceId
from medlarvale.quotas.messages import WorkspaceNeed
from medlarvale.quotas.ownership import QuotaOwners
from medlarvale.quotas.task import QuotaTask, _Ticket

# The users' typical limit, and the requests per second and host of the planned size.
RATE_PER_S = 126_139.0
REQUESTS_PER_S = 44.0
MEAN_AMOUNT = 2_700.0
WINDOW_MS, OVERAGE, SLACK_TOKENS = 8_000.0, 0.25, 190_000.0
# One workspace asks for six times its usual demand, on a quarter of the hosts.
USUAL_SHARE, HOT_FACTOR, HOT_HOSTS = 0.6, 6.0, 0.25
LOSS = 0.001


class NoOwners(QuotaOwners):
    """Every host decides by its equal share."""

    def ranking(self, workspace: WorkspaceId) -> list[HostId]:
        """Returns no hosts to ask."""
        return []


class NoAdvances(QuotaTask):
    """Asks the owner about each request."""

    def _need(
        self, workspace: WorkspaceId, tickets: list[_Ticket], returned: float, now_ms: float
    ) -> WorkspaceNeed:
        need = super()._need(workspace, tickets, returned, now_ms)
        return msgspec.structs.replace(need, advance=0.0)


WAYS: dict[str, tuple[type[QuotaTask], type[QuotaOwners]]] = {
    "equal shares": (QuotaTask, NoOwners),
    "owner, advances": (QuotaTask, QuotaOwners),
    "owner, no advances": (NoAdvances, QuotaOwners),
}


async def measure(way: str, hosts: int, workspaces: int, measured_ms: float) -> str:
    """Returns a row of the table, for calm hosts and after the loss of half of them."""
    asyncio.get_running_loop().set_debug(False)
    names = [WorkspaceId(f"w{number}") for number in range(workspaces)]
    # The load of a host is that of the planned size, whatever the number of workspaces.
    usual = hosts * REQUESTS_PER_S * MEAN_AMOUNT / workspaces
    quota = Quota(usual / USUAL_SHARE, usual / USUAL_SHARE, QuotaUnit.TOKENS, 200)
    fleet = QuotaFleet(hosts, dict.fromkeys(names, quota), hosts, LOSS, *WAYS[way])
    hot = names[0]
    rates = dict.fromkeys(names, usual) | {hot: HOT_FACTOR * usual}
    some = range(max(1, int(hosts * HOT_HOSTS)))
    on = {name: some if name == hot else range(hosts) for name in names}
    arrive = poisson_arrivals(fleet, rates, on, random.Random(hosts))
    # Hellos reach all hosts.
    await fleet.run(max(5_000.0, hosts / 8 * 500.0))
    await fleet.run(3_000.0, arrive)
    sent = fleet.messages, fleet.bytes
    from_ms = fleet.clock.now_ms()
    await fleet.run(measured_ms, arrive)
    lost_ms = fleet.clock.now_ms()
    messages, octets = fleet.messages - sent[0], fleet.bytes - sent[1]
    fleet.kill(range(0, hosts, 2))
    await fleet.run(measured_ms, arrive)
    seconds = measured_ms / 1000.0
    bound = (quota.rate_per_s * WINDOW_MS / 1000.0 + quota.burst) * (1 + OVERAGE) + SLACK_TOKENS
    highest = max(usage.highest(WINDOW_MS) for usage in fleet.usage.values())
    cells = [
        f"{messages / seconds / hosts:.0f}",
        f"{octets / seconds / hosts / 1000.0:.1f}",
        f"{highest / bound:.2f}",
        *(
            f"{100 * _underuse(fleet, group, start_ms, start_ms + measured_ms):.1f}"
            for start_ms in (from_ms, lost_ms)
            for group in ([hot], names[1:])
        ),
    ]
    await fleet.close()
    return " | ".join([way, str(hosts), str(workspaces), *cells])


def _underuse(fleet: QuotaFleet, names: list[WorkspaceId], from_ms: float, to_ms: float) -> float:
    usages = [fleet.usage[name] for name in names]
    ran = sum(total(usage.runs, from_ms, to_ms) for usage in usages)
    central = sum(total(usage.central_runs, from_ms, to_ms) for usage in usages)
    return 1.0 - ran / central


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, nargs="+", default=[26, 83, 364])
    parser.add_argument("--workspaces", type=int, nargs="+", default=[16, 350])
    parser.add_argument("--measured-ms", type=float, default=WINDOW_MS)
    arguments = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    for hosts in arguments.hosts:
        for workspaces in arguments.workspaces:
            for way in WAYS:
                row = measure(way, hosts, workspaces, arguments.measured_ms)
                print(f"| {asyncio.run(row)} |", flush=True)


if __name__ == "__main__":
    main()
