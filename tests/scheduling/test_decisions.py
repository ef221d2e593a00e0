"""Tests of prefix index, fair queue, engine health, retry budget and fallback."""

import random
import unittest

from medlarvale.ids import ServerId, WorkspaceId
from medlarvale.scheduling.fairness import FairQueue, WaitRecord
from medlarvale.scheduling.fallback import MAX_REPORT_AGE_MS, LoadTable, place_locally
from medlarvale.scheduling.health import HealthTable
from medlarvale.scheduling.limits import GroupLimits
from medlarvale.scheduling.messages import Placed
from medlarvale.scheduling.prefixes import MAX_PREFIXES_PER_ENGINE, PrefixIndex
from medlarvale.scheduling.reports import CacheEvent, CacheEventKind, CacheEvents, LoadReport
from medlarvale.scheduling.retry_budget import INITIAL_RETRIES, RetryBudget
from tests.scheduling.builders import reserve

P0, P1 = ServerId("p0"), ServerId("p1")


def stored(*hashes: int, start: int = 0) -> CacheEvents:
    events = [
        CacheEvent(start + index, CacheEventKind.STORED, prefix)
        for index, prefix in enumerate(hashes)
    ]
    return CacheEvents(events, start + len(events))


class PrefixIndexTest(unittest.TestCase):
    def test_longest_prefix_by_engine(self) -> None:
        """Guards against reporting a shorter or longer prefix than an engine caches."""
        index = PrefixIndex()
        index.apply(P0, stored(1, 2, 3), 0.0)
        index.apply(P1, stored(1), 0.0)
        for hashes, expected in (
            ([1, 2, 3, 4], {P0: 3, P1: 1}),
            ([2, 3], {P0: 2}),
            ([9, 1], {}),
            ([], {}),
        ):
            with self.subTest(hashes):
                self.assertEqual(index.cached_blocks(hashes), expected)

    def test_evicted_entries_and_those_before_a_gap_are_not_used(self) -> None:
        """Guards against using entries whose eviction was lost in a gap of the events, and against
        a repeated event that restores an evicted entry."""
        index = PrefixIndex()
        index.apply(P0, stored(1, 2), 0.0)
        index.apply(P0, CacheEvents([CacheEvent(2, CacheEventKind.EVICTED, 2)], 3), 1.0)
        self.assertEqual(index.cached_blocks([1, 2]), {P0: 1})
        index.apply(P0, stored(1, 2), 2.0)
        self.assertEqual(index.cached_blocks([1, 2]), {P0: 1})
        index.apply(P0, stored(7, start=9), 10_000.0)
        self.assertEqual(index.cached_blocks([1]), {})
        self.assertEqual(index.cached_blocks([7]), {P0: 1})

    def test_state_is_bounded(self) -> None:
        """Guards against memory that grows with the number of prompts."""
        index = PrefixIndex()
        index.record_expected(P0, range(3 * MAX_PREFIXES_PER_ENGINE), 0.0)
        self.assertLessEqual(len(index._holders), MAX_PREFIXES_PER_ENGINE)
        index.forget(P0)
        self.assertEqual(index._holders, {})


class FairQueueTest(unittest.TestCase):
    def serve(self, queue: FairQueue, count: int) -> dict[str, float]:
        served: dict[str, float] = {}
        for _ in range(count):
            workspace, cost_ms = next(queue.heads())
            queue.pop_head(workspace, cost_ms)
            served[workspace] = served.get(workspace, 0.0) + cost_ms
        return served

    def test_shares_follow_weights_and_not_request_sizes(self) -> None:
        """Guards against a workspace that gets a larger share by many or by long requests."""
        for name, weights, costs, expected in (
            ("short against long", {}, (10.0, 100.0), 1.0),
            ("weights", {WorkspaceId("b"): 3}, (50.0, 50.0), 3.0),
        ):
            with self.subTest(name):
                queue: FairQueue = FairQueue(weights)
                for _ in range(2_000):
                    for workspace, cost_ms in zip("ab", costs, strict=True):
                        queue.push(WorkspaceId(workspace), (workspace, cost_ms), cost_ms)
                served = self.serve(queue, 400)
                self.assertAlmostEqual(served["b"] / served["a"], expected, delta=0.2)

    def test_waits_are_attributed(self) -> None:
        """Guards against attributing waits to the wrong workspaces."""
        record = WaitRecord()
        record.record_served(WorkspaceId("big"), 300.0, 0.0)
        record.record_served(WorkspaceId("small"), 100.0, 10.0)
        record.record_wait(WorkspaceId("late"), 0.0, 400.0)
        self.assertEqual(record.waited_ms["late"], {"big": 300.0, "small": 100.0})
        self.assertEqual(record.waited_for(0.0), ["big", "small"])


class HealthTest(unittest.TestCase):
    def test_failed_engine_is_ejected_and_reenters_slowly(self) -> None:
        """Guards against full load on an engine that has just failed."""
        health = HealthTable()
        self.assertFalse(health.record_failure(P0, 0.0, 10))
        self.assertEqual(health.share_allowed(P0, 0.0), 1.0)
        self.assertTrue(health.record_failure(P0, 1.0, 10))
        shares = [health.share_allowed(P0, at_ms) for at_ms in (2.0, 2_002.0, 4_500.0, 8_000.0)]
        self.assertEqual(shares[0], 0.0)
        self.assertAlmostEqual(shares[1], 0.2, delta=0.01)
        self.assertAlmostEqual(shares[2], 0.6, delta=0.01)
        self.assertEqual(shares[3], 1.0)

    def test_unreachable_engine_stays_out_until_it_answers(self) -> None:
        """Guards against an ejection that ends while the engine is still unreachable."""
        health = HealthTable()
        health.record_unreachable(P0, 0.0, 2)
        self.assertEqual(health.share_allowed(P0, 50_000.0), 0.0)
        health.record_reachable(P0, 50_000.0)
        self.assertAlmostEqual(health.share_allowed(P0, 50_000.0), 0.2)

    def test_failures_do_not_eject_most_of_a_group(self) -> None:
        """Guards against one faulty request that ejects all engines."""
        health = HealthTable()
        servers = [ServerId(f"d{index}") for index in range(4)]
        for server in servers * 2:
            health.record_failure(server, 0.0, 4)
        self.assertEqual([health.share_allowed(s, 1.0) for s in servers].count(0.0), 2)


class RetryBudgetTest(unittest.TestCase):
    def test_retries_are_a_share_of_requests(self) -> None:
        """Guards against more retries than a tenth of the requests in the long run."""
        budget = RetryBudget(0.1)
        spent = 0
        for _ in range(10_000):
            budget.record_request()
            spent += budget.spend_retry()
        self.assertLessEqual(spent, 1_000 + INITIAL_RETRIES)
        self.assertGreaterEqual(spent, 1_000)


class FallbackTest(unittest.TestCase):
    def place(self, table: LoadTable, now_ms: float = 0.0, excluded: tuple[str, ...] = ()):
        request = reserve("r", excluded=excluded)
        limits, generator = GroupLimits(), random.Random(1)
        return place_locally(request, [P0], ["d0", "d1"], table, limits, generator, now_ms)

    def table(self, free: int) -> LoadTable:
        table = LoadTable()
        table.observe(P0, LoadReport("prefill", 0, 0, 0, 0), 0.0)
        for server in ("d0", "d1"):
            table.observe(ServerId(server), LoadReport("decode", 20, 20 - free, 256, 0), 0.0)
        return table

    def test_places_only_on_reported_free_slots(self) -> None:
        """Guards against prefills without a free decode slot in the load reports."""
        for name, free, now_ms, excluded, placed in (
            ("free slot", 1, 0.0, (), True),
            ("full", 0, 0.0, (), False),
            ("old reports", 5, MAX_REPORT_AGE_MS + 1, (), False),
            ("all excluded", 5, 0.0, ("d0", "d1"), False),
        ):
            with self.subTest(name):
                answer = self.place(self.table(free), now_ms, excluded)
                self.assertEqual(isinstance(answer, Placed), placed)

    def test_counts_what_it_sent_since_the_report(self) -> None:
        """Guards against a host that overloads an engine between two reports."""
        table = self.table(free=1)
        answers = [self.place(table) for _ in range(3)]
        self.assertEqual([isinstance(answer, Placed) for answer in answers], [True, True, False])
