"""Property tests: whatever happens to hosts and links, no window exceeds its bound.

Each run is compared with a bucket that counts centrally.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from collections.abc import Collection

from hypothesis import given, settings
from hypothesis import strategies as st

from bench.quota_fleet import QuotaFleet, poisson_arrivals
from medlarvale.forwarding.messages import Quota, QuotaUnit
from medlarvale.ids import WorkspaceId

WINDOW_MS = 8_000.0
# Bounds.QuotaOverage and Bounds.QuotaSlack.
OVERAGE, SLACK_TOKENS = 0.25, 190_000.0
HOT, SECOND = WorkspaceId("hot"), WorkspaceId("second")
HOSTS = 9
JOINED_MS = 5_000.0
LOSS = 0.02
# Few and large requests keep the runs short.
AMOUNTS = (3_000.0, 11_000.0)


def bound(quota: Quota) -> float:
    amount = quota.rate_per_s * WINDOW_MS / 1000.0 + quota.burst
    return amount * (1.0 + OVERAGE) + SLACK_TOKENS


def tokens(rate_per_s: float, burst: float | None = None) -> Quota:
    return Quota(rate_per_s, rate_per_s if burst is None else burst, QuotaUnit.TOKENS, 200)


class Scenario:
    """Applies drawn events to a fleet under load far above its limits."""

    def __init__(self, fleet: QuotaFleet, hot_hosts: Collection[int]) -> None:
        self.fleet = fleet
        rates = {HOT: 3.0 * fleet.quotas[HOT].rate_per_s, SECOND: fleet.quotas[SECOND].rate_per_s}
        hosts = {HOT: hot_hosts, SECOND: range(fleet.size)}
        self.arrive = poisson_arrivals(fleet, rates, hosts, random.Random(1), AMOUNTS)

    def apply(self, event: str, number: int) -> None:
        fleet, size = self.fleet, self.fleet.size
        alive = {int(name[1:]) for name in fleet.hosts}
        domain = range(number % 3, size, 3)
        groups: dict[str, Collection[int]] = {
            "one": [number],
            "two": [number, (number + 1) % size],
            "domain": domain,
            "half": range(number % 2, size, 2),
        }
        action, _, group = event.partition(" ")
        chosen = groups.get(group, ())
        if action == "kill" and len(alive - set(chosen)) >= 2:
            fleet.kill(alive & set(chosen))
        elif action == "restart":
            for missing in set(range(size)) - alive:
                fleet.start(missing)
        elif action == "cut":
            fleet.cut([chosen])
        elif action == "heal":
            fleet.cut([])
        elif action in ("freeze", "wake") and number in alive:
            fleet.freeze(number, frozen=action == "freeze")
        elif action == "credit":
            for host, charge in fleet.charges[-20:]:
                host.quotas.credit(charge)
                fleet.usage[charge.workspace].runs.remove((charge.taken_ms, charge.amount))
            del fleet.charges[-20:]


EVENTS = [
    *(f"{action} {group}" for action in ("kill", "cut") for group in ("one", "two", "domain")),
    *("kill half", "cut half", "heal", "restart", "freeze", "wake", "credit", "wait"),
]
STEPS = st.lists(
    st.tuples(
        st.sampled_from(EVENTS),
        st.integers(0, HOSTS - 1),
        st.sampled_from([300.0, 1_500.0, 4_000.0]),
    ),
    min_size=2,
    max_size=7,
)


async def run_steps(
    steps: list[tuple[str, int, float]], rate_per_s: float, few: bool, seed: int
) -> QuotaFleet:
    asyncio.get_running_loop().set_debug(False)
    quotas = {HOT: tokens(rate_per_s), SECOND: tokens(47_000.0)}
    fleet = QuotaFleet(HOSTS, quotas, seed, LOSS)
    scenario = Scenario(fleet, range(3) if few else range(HOSTS))
    await fleet.run(JOINED_MS)
    await fleet.run(3_000.0, scenario.arrive)
    for event, number, duration_ms in steps:
        scenario.apply(event, number)
        await fleet.run(duration_ms, scenario.arrive)
    await fleet.close()
    return fleet


class BoundTest(unittest.TestCase):
    @settings(max_examples=12)
    @given(
        STEPS, st.sampled_from([60_000.0, 126_139.0, 300_000.0]), st.booleans(), st.integers(0, 9)
    )
    def test_no_window_exceeds_its_bound(
        self, steps: list[tuple[str, int, float]], rate_per_s: float, few: bool, seed: int
    ) -> None:
        """Guards against more than the quota, in whatever way hosts and links fail."""
        fleet = asyncio.run(run_steps(steps, rate_per_s, few, seed))
        for workspace, usage in fleet.usage.items():
            self.assertLessEqual(usage.highest(WINDOW_MS), bound(usage.quota), workspace)
