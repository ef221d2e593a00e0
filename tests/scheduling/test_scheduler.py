"""Tests of single decisions of the placement scheduler."""

import unittest

from medlarvale.ids import ServerId
from medlarvale.scheduling.limits import GroupLimits
from medlarvale.scheduling.messages import Phase, Refused, WorkClass, attempt_digest
from medlarvale.scheduling.owners import (
    MISSED_CHECKS,
    QUERY_PERIOD_MS,
    UNANSWERED_QUERIES,
    OwnerQuery,
)
from medlarvale.scheduling.reports import LoadReport
from tests.scheduling.builders import (
    engine_request,
    make_scheduler,
    only_placement,
    owner,
    placed_ids,
    progress,
    release,
    reserve,
)

ONE_SLOT = GroupLimits(slots_per_engine=1)


class PlacementTest(unittest.TestCase):
    def test_prefill_waits_for_a_decode_slot(self) -> None:
        """Guards against prefills without a free decode slot."""
        scheduler = make_scheduler(prefill=2, limits=ONE_SLOT)
        first = reserve("r1")
        only_placement(scheduler.reserve(first, 0.0))
        self.assertEqual(scheduler.reserve(reserve("r2"), 1.0), [])
        self.assertEqual(placed_ids(scheduler.release(release(first), 50.0)), ["r2"])

    def test_prefill_waits_for_kv_blocks(self) -> None:
        """Guards against reserving KV blocks that the engine does not have."""
        scheduler = make_scheduler(
            prefill=2, limits=GroupLimits(slots_per_engine=4, pieces_per_engine=3)
        )
        only_placement(scheduler.reserve(reserve("r1"), 0.0))
        self.assertEqual(scheduler.reserve(reserve("r2"), 1.0), [])

    def test_request_waits_for_a_prefill_engine(self) -> None:
        """Guards against queues at the engine, where the order can no longer be changed."""
        scheduler = make_scheduler(limits=GroupLimits())
        first = reserve("r1")
        only_placement(scheduler.reserve(first, 0.0))
        self.assertEqual(scheduler.reserve(reserve("r2"), 1.0), [])
        self.assertEqual(placed_ids(scheduler.progress(progress(first), 100.0)), ["r2"])

    def test_excluded_leaving_ejected_and_unlisted_engines_get_nothing(self) -> None:
        """Guards against new work on engines that failed the request or must not get any."""
        excluding = reserve("r1", excluded=["d0", "p0"])
        leaving = LoadReport("decode", 2, 0, 256, 0, leaving=True)

        def change_nothing(scheduler):
            return None

        def leave(scheduler):
            scheduler.observe_load(ServerId("d0"), leaving, 0.0)

        def probe_unanswered(scheduler):
            scheduler.observe_unreachable(ServerId("d0"), 0.0)

        def unlisted(scheduler):
            scheduler.set_engines(["p0", "p1"], ["d1", "d2"], [], 0.0)
            scheduler.engines.decode["d1"].replace_foreign([])

        for name, prepare, request, expected in (
            ("excluded", change_nothing, excluding, "d1"),
            ("leaving", leave, reserve("r1"), "d1"),
            ("unreachable", probe_unanswered, reserve("r1"), "d1"),
            ("not listed or without reported requests", unlisted, reserve("r1"), "d1"),
        ):
            with self.subTest(name):
                scheduler = make_scheduler(prefill=2, decode=2)
                prepare(scheduler)
                placed = only_placement(scheduler.reserve(request, 1.0))
                self.assertEqual(placed.decode, expected)
                self.assertNotIn(placed.prefill, request.excluded)

    def test_suspects_do_not_share_an_engine(self) -> None:
        """Guards against placing two requests that may crash servers on one engine."""
        scheduler = make_scheduler(prefill=2, decode=2)
        first = only_placement(scheduler.reserve(reserve("r1", isolate=True), 0.0))
        second = only_placement(scheduler.reserve(reserve("r2", isolate=True), 0.0))
        self.assertNotEqual(first.decode, second.decode)
        self.assertNotEqual(first.prefill, second.prefill)
        for request in ("r1", "r2"):
            scheduler.progress(progress(reserve(request)), 200.0)
        # Both prefill engines are idle again; each decode engine still runs a suspect.
        self.assertEqual(scheduler.reserve(reserve("r3", isolate=True), 200.0), [])

    def test_prefix_hit_is_weighed_against_queue_time(self) -> None:
        """Guards against choosing a cached prefix despite a long queue, and against ignoring it."""
        hashes = list(range(6))
        for name, queue_ms, expected in (("idle", 0.0, "p1"), ("long queue", 400.0, "p0")):
            with self.subTest(name):
                scheduler = make_scheduler(prefill=2)
                scheduler.prefixes.record_expected(ServerId("p1"), hashes, 0.0)
                scheduler.engines.prefill[ServerId("p1")].busy_until_ms = queue_ms
                placed = only_placement(scheduler.reserve(reserve("r", hashes=hashes), 0.0))
                self.assertEqual(placed.prefill, expected)

    def test_requests_of_an_earlier_scheduler_count(self) -> None:
        """Guards against a new scheduler that reserves slots held by streams of the old one."""
        scheduler = make_scheduler(limits=ONE_SLOT)
        scheduler.observe_requests(ServerId("d0"), [engine_request("old")], 0.0)
        self.assertEqual(scheduler.reserve(reserve("r1"), 1.0), [])
        self.assertEqual(placed_ids(scheduler.release(release(reserve("old")), 2.0)), ["r1"])


class RefusalTest(unittest.TestCase):
    def test_late_first_token_is_refused_at_once(self) -> None:
        """Guards against work on requests that cannot meet their deadline."""
        scheduler = make_scheduler()
        (decision,) = scheduler.reserve(reserve("r1", prompt_tokens=40_000), 0.0)
        self.assertIsInstance(decision.answer, Refused)
        self.assertGreater(decision.answer.retry_after_ms, 0)

    def test_queue_beyond_the_deadline_is_refused_and_names_the_cause(self) -> None:
        """Guards against long queues, and against refusals that do not name the cause."""
        scheduler = make_scheduler(limits=GroupLimits())
        only_placement(scheduler.reserve(reserve("r0", workspace="big"), 0.0))
        answers = [
            decision.answer
            for number in range(40)
            for decision in scheduler.reserve(reserve(f"r{number + 1}", workspace="big"), 1.0)
        ]
        refused = [answer for answer in answers if isinstance(answer, Refused)]
        self.assertEqual(refused[0].code, "overloaded")
        self.assertEqual(refused[0].waited_for, ["big"])
        self.assertLess(len(scheduler.waiting), 20)

    def test_queued_request_is_dropped_at_its_deadline(self) -> None:
        """Guards against callers that wait without an answer."""
        scheduler = make_scheduler(limits=ONE_SLOT)
        only_placement(scheduler.reserve(reserve("r1", deadline_ms=9_000), 0.0))
        self.assertEqual(scheduler.reserve(reserve("r2", deadline_ms=500), 0.0), [])
        (decision,) = scheduler.tick(450.0)
        self.assertEqual(decision.answer.code, "deadline_unreachable")

    def test_restarts_are_bounded_by_the_retry_budget(self) -> None:
        """Guards against retry storms after the loss of engines."""
        scheduler = make_scheduler(decode=20, limits=GroupLimits())
        codes = [
            decision.answer.code
            for number in range(60)
            for decision in scheduler.reserve(
                reserve(f"r{number}", attempt=2, deadline_ms=60_000), 0.0
            )
            if isinstance(decision.answer, Refused)
        ]
        self.assertEqual(codes, ["retry_budget_spent"] * 40)


class AttemptTest(unittest.TestCase):
    def test_old_messages_change_nothing(self) -> None:
        """Guards against messages that wrongly end or restore an attempt.

        They arrive late or come from another owner.
        """
        first, second = reserve("r1"), reserve("r1", attempt=2)
        of_other_owner = reserve("r1", attempt=3, host=owner("host-b"))
        scheduler = make_scheduler(decode=2)
        scheduler.reserve(first, 0.0)
        only_placement(scheduler.reserve(second, 1.0))
        for name, send in (
            ("release", lambda: scheduler.release(release(first, failed="d0"), 2.0)),
            ("progress", lambda: scheduler.progress(progress(first), 2.0)),
            ("reserve", lambda: scheduler.reserve(first, 2.0)),
            ("release by another owner", lambda: scheduler.release(release(of_other_owner), 2.0)),
        ):
            with self.subTest(name):
                before = [list(engine.held) for engine in scheduler.engines.decode.values()]
                self.assertEqual(placed_ids(send()), [])
                after = [list(engine.held) for engine in scheduler.engines.decode.values()]
                self.assertEqual(before, after)
                self.assertEqual(scheduler.reservations.get("r1").request.attempt, 2)

    def test_release_before_its_reserve_prevents_the_placement(self) -> None:
        """Guards against reservations of cancelled requests when messages arrive out of order."""
        scheduler = make_scheduler()
        scheduler.release(release(reserve("r1")), 0.0)
        (decision,) = scheduler.reserve(reserve("r1"), 1.0)
        self.assertEqual(decision.answer.code, "attempt_ended")

    def test_repeated_reserve_gets_the_same_placement(self) -> None:
        """Guards against a second slot for a request whose first answer was lost."""
        scheduler = make_scheduler()
        request = reserve("r1")
        self.assertEqual(scheduler.reserve(request, 0.0), scheduler.reserve(request, 5.0))
        self.assertEqual(scheduler.engines.slots.held_slots, 1)

    def test_reservations_end_with_their_owner(self) -> None:
        """Guards against slots held for a dead host, and against ending other reservations."""
        scheduler = make_scheduler()
        scheduler.reserve(reserve("r1"), 0.0)
        scheduler.reserve(reserve("r2", host=owner("host-b")), 0.0)
        scheduler.progress(progress(reserve("r1"), Phase.DECODING), 100.0)
        scheduler.reserve(reserve("r2", host=owner("host-b")), 100.0)
        for number in range(3):
            scheduler.check_owners({owner("host-b")}, 250.0 * number)
        self.assertEqual(scheduler.engines.slots.held_slots, 2)
        scheduler.check_owners({owner("host-b"), owner("host-a", 2)}, 1_000.0)
        self.assertIsNone(scheduler.reservations.get("r1"))
        self.assertIsNotNone(scheduler.reservations.get("r2"))

    def test_slot_of_a_gone_owner_goes_to_the_next_request(self) -> None:
        """Guards against a freed slot that stays unused until the next tick."""
        scheduler = make_scheduler(prefill=2, limits=ONE_SLOT)
        scheduler.reserve(reserve("r1"), 0.0)
        scheduler.reserve(reserve("r2", host=owner("host-b")), 1.0)
        checks = [
            scheduler.check_owners({owner("host-b")}, 250.0 * n) for n in range(MISSED_CHECKS)
        ]
        self.assertEqual([placed_ids(check.decisions) for check in checks], [[], [], [], ["r2"]])

    def test_freed_capacity_is_assigned_in_queue_order(self) -> None:
        """Guards against queued requests that are lost or reordered."""
        scheduler = make_scheduler(
            prefill=4, limits=GroupLimits(slots_per_engine=3, place_ahead_ms=1e6)
        )
        for name in ("r1", "r2", "r3"):
            scheduler.reserve(reserve(name), 0.0)
        for name in ("q1", "q2", "q3"):
            self.assertEqual(scheduler.reserve(reserve(name, deadline_ms=60_000), 1.0), [])
        for name in ("r1", "r2", "r3"):
            scheduler.progress(progress(reserve(name)), 200.0)
        gone = [scheduler.check_owners(set(), 250.0 * n).decisions for n in range(1, 5)]
        order = placed_ids(gone[-1])
        while scheduler.more_to_place:
            order += placed_ids(scheduler.place_waiting(1_000.0))
        self.assertEqual(order, ["q1", "q2", "q3"])

    def test_owner_without_replies_loses_the_queried_reservations(self) -> None:
        """Guards against a slot held after a lost release while heartbeats still arrive."""
        scheduler = make_scheduler()
        scheduler.reserve(reserve("r1"), 0.0)
        times_ms = [QUERY_PERIOD_MS * number for number in range(1, UNANSWERED_QUERIES + 1)]
        for at_ms in times_ms:
            (query,) = scheduler.check_owners({owner()}, at_ms).queries
            self.assertEqual(query, OwnerQuery(owner(), [attempt_digest("r1", 1)]))
        scheduler.progress(progress(reserve("r1")), times_ms[-1])
        scheduler.reserve(reserve("r2"), times_ms[-1])
        scheduler.check_owners({owner()}, times_ms[-1] + QUERY_PERIOD_MS)
        self.assertIsNone(scheduler.reservations.get("r1"))
        self.assertIsNotNone(scheduler.reservations.get("r2"))

    def test_reordered_progress_frees_the_prefill_engine(self) -> None:
        """Guards against a prefill engine that stays blocked after reordered progress messages."""
        scheduler = make_scheduler()
        request = reserve("r1")
        scheduler.reserve(request, 0.0)
        scheduler.progress(progress(request, Phase.DECODING), 150.0)
        scheduler.progress(progress(request, Phase.PREFILLED), 160.0)
        self.assertTrue(scheduler.engines.prefill[ServerId("p0")].accepts(5_000.0))


class OrderTest(unittest.TestCase):
    def test_live_goes_before_batch(self) -> None:
        """Guards against batch work that delays waiting callers."""
        scheduler = make_scheduler(limits=GroupLimits())
        first = reserve("r0")
        scheduler.reserve(first, 0.0)
        scheduler.reserve(reserve("batch", work_class=WorkClass.BATCH), 1.0)
        scheduler.reserve(reserve("live"), 2.0)
        self.assertEqual(placed_ids(scheduler.progress(progress(first), 100.0)), ["live"])
