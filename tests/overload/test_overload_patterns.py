"""Tests of overload with emulated engines in virtual time: who is served, and who is refused.

The bounds are those of docs/design/callers-and-overload.md, section 4.
"""

from __future__ import annotations

import dataclasses
import logging
import unittest
from collections import Counter

import structlog

from bench.forwarding.groups import CallerGroup, CallerRecord, Outcome, largest_tenth, served_share
from bench.forwarding.load import run_pattern
from bench.forwarding.patterns import CALM
from medlarvale.ids import WorkspaceId
from medlarvale.overload.admission import Refusal

SEEDS = (1, 2, 3)
DURATION_S = 8.0
# A less urgent class may be served more often by this share.
MORE_OFTEN = 1.05
# No class and no workspace may be served less than this share as often as all.
LEAST_SHARE = 0.25
# The same for the largest tenth of a class, compared with the class.
LEAST_LARGE_SHARE = 0.5
# Share of the capacity that is served in time under twice the load.
IN_TIME_SHARE = 0.9
# About what the engines of the pattern serve in time: 9.2 of 10 streams per second.
CAPACITY_PER_S = 9.2

URGENT = CallerGroup(WorkspaceId("urgent"), 0, 3.0)
USUAL = CallerGroup(WorkspaceId("usual"), 1, 3.0)
LEAST = CallerGroup(WorkspaceId("least"), 3, 3.0)
BURST = ((2.0, 4.0, 5.0),)
OVERLOADED = {Refusal.TOO_LONG, Refusal.BECAME_TOO_LONG, Refusal.NO_MEMORY}


def run(*groups: CallerGroup, hosts: int = 4, release: bool = False) -> list[CallerRecord]:
    """Returns the requests of a load; in a release the engines drain one by one."""
    drains = (("d0", 1.0, 3.0), ("d1", 3.5, 5.5)) if release else ()
    pattern = dataclasses.replace(
        CALM, groups=groups, hosts=hosts, duration_s=DURATION_S, drains=drains
    )
    return [record for seed in SEEDS for record in run_pattern(pattern, seed).records]


def of(records: list[CallerRecord], *groups: CallerGroup) -> list[CallerRecord]:
    names = {group.workspace for group in groups}
    return [record for record in records if record.group.workspace in names]


class OverloadPatternTest(unittest.TestCase):
    def setUp(self) -> None:
        # Suppress thousands of log lines about refused requests.
        config = structlog.get_config()
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
        self.addCleanup(structlog.configure, **config)

    def check_shares(self, records: list[CallerRecord], *most_urgent_first: CallerGroup) -> None:
        """Checks who is served, and that all refusals are due to the overload."""
        everyone = served_share(records)
        shares = [served_share(of(records, group)) for group in most_urgent_first]
        for more, less in zip(shares, shares[1:], strict=False):
            self.assertLessEqual(less, MORE_OFTEN * more)
        for share in shares:
            self.assertGreaterEqual(share, LEAST_SHARE * everyone)
        reasons = Counter(reason for record in records for reason in record.reasons)
        self.assertLessEqual(set(reasons), {reason.value for reason in OVERLOADED})

    def test_burst_of_the_least_urgent_class(self) -> None:
        """Guards against urgent requests that wait behind a burst of others, at any host."""
        for hosts in (4, 26):
            with self.subTest(hosts=hosts):
                burst = dataclasses.replace(LEAST, bursts=BURST)
                records = run(URGENT, USUAL, burst, hosts=hosts)
                self.check_shares(records, URGENT, USUAL, burst)
                urgent = of(records, URGENT)
                self.assertGreater(served_share(urgent), 0.95)
                refused = [r for r in records if r.outcome is Outcome.REFUSED]
                self.assertTrue(refused)
                self.assertGreater(len(of(refused, burst)), 0.8 * len(refused))

    def test_one_workspace_at_many_times_its_load(self) -> None:
        """Guards against a workspace that takes the memory of others of its priority."""
        others = tuple(CallerGroup(WorkspaceId(f"w{n}"), 1, 1.5) for n in range(4))
        flood = CallerGroup(WorkspaceId("flood"), 1, 2.0, bursts=((1.0, 6.0, 6.0),))
        records = run(*others, flood)
        self.check_shares(records, flood)
        for group in others:
            self.assertGreater(served_share(of(records, group)), served_share(of(records, flood)))
        refused = [r for r in records if r.outcome is Outcome.REFUSED]
        self.assertGreater(len(of(refused, flood)), 0.5 * len(refused))

    def test_long_prompts_and_long_outputs_alternate(self) -> None:
        """Guards against large requests that starve behind smaller ones."""
        phases = ((0.0, 2.0, 4.0), (4.0, 2.0, 4.0)), ((2.0, 2.0, 4.0), (6.0, 2.0, 4.0))
        prompts = CallerGroup(WorkspaceId("p"), 1, 3.0, phases[0], prompt_factor=1.8)
        outputs = CallerGroup(WorkspaceId("o"), 1, 3.0, phases[1], events_factor=2.0)
        records = run(prompts, outputs)
        for group in (prompts, outputs):
            self.assertGreater(served_share(of(records, group)), 0.5 * served_share(records))
        large = served_share(largest_tenth(records))
        self.assertGreaterEqual(large, LEAST_LARGE_SHARE * served_share(records))

    def test_callers_that_retry_immediately(self) -> None:
        """Guards against impatient callers that get more than those who wait as they are told."""
        impatient = CallerGroup(WorkspaceId("i"), 1, 9.0, attempts=6, returns_at_once=True)
        patient = CallerGroup(WorkspaceId("q"), 1, 5.0)
        records = run(URGENT, impatient, patient)
        self.check_shares(records, URGENT, patient)
        self.assertGreater(served_share(of(records, patient)), LEAST_SHARE * served_share(records))
        self.assertGreater(served_share(of(records, URGENT)), 0.95)

    def test_callers_that_disconnect(self) -> None:
        """Guards against memory that callers keep after they have left."""
        leaving = dataclasses.replace(USUAL, rate_per_s=14.0, leaving_share=0.7)
        records = run(URGENT, leaving)
        self.check_shares(records, URGENT, leaving)
        self.assertTrue(any(record.outcome is Outcome.LEFT for record in records))
        self.assertGreater(served_share(of(records, URGENT)), 0.9)

    def test_all_at_once_during_a_release(self) -> None:
        """Guards against an order that holds only as long as nothing else happens."""
        groups = (
            URGENT,
            dataclasses.replace(USUAL, leaving_share=0.3),
            dataclasses.replace(LEAST, bursts=BURST, attempts=4, returns_at_once=True),
        )
        records = run(*groups, release=True)
        self.check_shares(records, *groups)

    def test_twice_the_capacity_is_served_in_time_as_far_as_it_fits(self) -> None:
        """Guards against an overload that makes all requests late."""
        doubled = tuple(
            dataclasses.replace(group, rate_per_s=2.0 * CAPACITY_PER_S / 3.0)
            for group in (URGENT, USUAL, LEAST)
        )
        for hosts in (4, 26):
            with self.subTest(hosts=hosts):
                records = run(*doubled, hosts=hosts)
                self.check_shares(records, *doubled)
                in_time = sum(record.outcome is Outcome.IN_TIME for record in records)
                per_s = in_time / len(SEEDS) / DURATION_S
                self.assertGreaterEqual(per_s, IN_TIME_SHARE * CAPACITY_PER_S)
                for group in doubled:
                    mine = of(records, group)
                    large = served_share(largest_tenth(mine))
                    self.assertGreaterEqual(large, LEAST_LARGE_SHARE * served_share(mine))


if __name__ == "__main__":
    unittest.main()
