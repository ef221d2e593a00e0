"""Tests of the joint decision in single situations."""

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
    only_place,
    owner,
    placed_ids,
    progress,
    release,
    reserve,
    scheduler,
)

ONE_SLOT = GroupLimits(slots_per_engine=1)


class PlacementTest(unittest.TestCase):
    def test_prefill_waits_for_a_decode_slot(self) -> None:
        """Guards against prefills that no decode slot is free for."""
        made = scheduler(prefill=2, limits=ONE_SLOT)
        first = reserve("r1")
        only_place(made.reserve(first, 0.0))
        self.assertEqual(made.reserve(reserve("r2"), 1.0), [])
        self.assertEqual(placed_ids(made.release(release(first), 50.0)), ["r2"])

    def test_prefill_waits_for_pieces(self) -> None:
        """Guards against promising pieces that the engine does not have."""
        made = scheduler(prefill=2, limits=GroupLimits(slots_per_engine=4, pieces_per_engine=3))
        only_place(made.reserve(reserve("r1"), 0.0))
        self.assertEqual(made.reserve(reserve("r2"), 1.0), [])

    def test_request_waits_for_a_prefill_engine(self) -> None:
        """Guards against queues at the engine, where the order can't be changed any more."""
        made = scheduler(limits=GroupLimits())
        first = reserve("r1")
        only_place(made.reserve(first, 0.0))
        self.assertEqual(made.reserve(reserve("r2"), 1.0), [])
        self.assertEqual(placed_ids(made.progress(progress(first), 100.0)), ["r2"])

    def test_excluded_leaving_ejected_and_unlisted_engines_get_nothing(self) -> None:
        """Guards against new work on engines that failed the request or may not take any."""
        excluding = reserve("r1", excluded=["d0", "p0"])
        leaving = LoadReport("decode", 2, 0, 256, 0, leaving=True)

        def open_all(made):
            return None

        def leave(made):
            made.observe_load(ServerId("d0"), leaving, 0.0)

        def lose(made):
            made.observe_unreachable(ServerId("d0"), 0.0)

        def unlisted(made):
            made.set_engines(["p0", "p1"], ["d1", "d2"], [], 0.0)
            made.engines.decode["d1"].list_requests([])

        for name, prepare, request, expected in (
            ("excluded", open_all, excluding, "d1"),
            ("leaving", leave, reserve("r1"), "d1"),
            ("unreachable", lose, reserve("r1"), "d1"),
            ("not listed its requests", unlisted, reserve("r1"), "d1"),
        ):
            with self.subTest(name):
                made = scheduler(prefill=2, decode=2)
                prepare(made)
                place = only_place(made.reserve(request, 1.0))
                self.assertEqual(place.decode, expected)
                self.assertNotIn(place.prefill, request.excluded)

    def test_suspects_do_not_share_an_engine(self) -> None:
        """Guards against two requests that may crash servers taking one engine together."""
        made = scheduler(prefill=2, decode=2)
        first = only_place(made.reserve(reserve("r1", isolate=True), 0.0))
        second = only_place(made.reserve(reserve("r2", isolate=True), 0.0))
        self.assertNotEqual(first.decode, second.decode)
        self.assertNotEqual(first.prefill, second.prefill)
        for request in ("r1", "r2"):
            made.progress(progress(reserve(request)), 200.0)
        # Both prefill engines are idle again; the decode engines still run a suspect each.
        self.assertEqual(made.reserve(reserve("r3", isolate=True), 200.0), [])

    def test_prefix_hit_is_weighed_against_queueing(self) -> None:
        """Guards against following the cache into a long queue, and against ignoring it."""
        hashes = list(range(6))
        for name, queue_ms, expected in (("idle", 0.0, "p1"), ("long queue", 400.0, "p0")):
            with self.subTest(name):
                made = scheduler(prefill=2)
                made.prefixes.expect(ServerId("p1"), hashes, 0.0)
                made.engines.prefill[ServerId("p1")].busy_until_ms = queue_ms
                place = only_place(made.reserve(reserve("r", hashes=hashes), 0.0))
                self.assertEqual(place.prefill, expected)

    def test_requests_of_an_earlier_booker_count(self) -> None:
        """Guards against a new booker promising slots that streams of the old one hold."""
        made = scheduler(limits=ONE_SLOT)
        made.observe_requests(ServerId("d0"), [engine_request("old")], 0.0)
        self.assertEqual(made.reserve(reserve("r1"), 1.0), [])
        self.assertEqual(placed_ids(made.release(release(reserve("old")), 2.0)), ["r1"])


class RefusalTest(unittest.TestCase):
    def test_late_first_token_is_refused_at_once(self) -> None:
        """Guards against working on requests that can't meet their deadline."""
        made = scheduler()
        (decision,) = made.reserve(reserve("r1", prompt_tokens=40_000), 0.0)
        self.assertIsInstance(decision.answer, Refused)
        self.assertGreater(decision.answer.retry_after_ms, 0)

    def test_queue_beyond_the_deadline_is_refused_and_names_the_cause(self) -> None:
        """Guards against long queues, and against refusals that don't say who holds the time."""
        made = scheduler(limits=GroupLimits())
        only_place(made.reserve(reserve("r0", workspace="big"), 0.0))
        answers = [
            decision.answer
            for number in range(40)
            for decision in made.reserve(reserve(f"r{number + 1}", workspace="big"), 1.0)
        ]
        refused = [answer for answer in answers if isinstance(answer, Refused)]
        self.assertEqual(refused[0].code, "overloaded")
        self.assertEqual(refused[0].waited_for, ["big"])
        self.assertLess(len(made.waiting), 20)

    def test_queued_request_is_dropped_when_its_time_is_up(self) -> None:
        """Guards against callers that wait without an answer."""
        made = scheduler(limits=ONE_SLOT)
        only_place(made.reserve(reserve("r1", deadline_ms=9_000), 0.0))
        self.assertEqual(made.reserve(reserve("r2", deadline_ms=500), 0.0), [])
        (decision,) = made.tick(450.0)
        self.assertEqual(decision.answer.code, "deadline_unreachable")

    def test_restarts_are_bounded_by_the_retry_budget(self) -> None:
        """Guards against retry storms after the loss of engines."""
        made = scheduler(decode=20, limits=GroupLimits())
        codes = [
            decision.answer.code
            for number in range(60)
            for decision in made.reserve(reserve(f"r{number}", attempt=2, deadline_ms=60_000), 0.0)
            if isinstance(decision.answer, Refused)
        ]
        self.assertEqual(codes, ["retry_budget_spent"] * 40)


class AttemptTest(unittest.TestCase):
    def test_old_messages_change_nothing(self) -> None:
        """Guards against late or foreign messages that end or revive an attempt."""
        first, second = reserve("r1"), reserve("r1", attempt=2)
        stranger = reserve("r1", attempt=3, host=owner("host-b"))
        made = scheduler(decode=2)
        made.reserve(first, 0.0)
        only_place(made.reserve(second, 1.0))
        for name, send in (
            ("release", lambda: made.release(release(first, failed="d0"), 2.0)),
            ("progress", lambda: made.progress(progress(first), 2.0)),
            ("reserve", lambda: made.reserve(first, 2.0)),
            ("release by another owner", lambda: made.release(release(stranger), 2.0)),
        ):
            with self.subTest(name):
                before = [list(engine.held) for engine in made.engines.decode.values()]
                self.assertEqual(placed_ids(send()), [])
                after = [list(engine.held) for engine in made.engines.decode.values()]
                self.assertEqual(before, after)
                self.assertEqual(made.reservations.get("r1").request.attempt, 2)

    def test_release_before_its_reserve_prevents_the_place(self) -> None:
        """Guards against reservations of cancelled requests when messages overtake each other."""
        made = scheduler()
        made.release(release(reserve("r1")), 0.0)
        (decision,) = made.reserve(reserve("r1"), 1.0)
        self.assertEqual(decision.answer.code, "attempt_ended")

    def test_repeated_reserve_gets_the_same_place(self) -> None:
        """Guards against a second slot for a request whose first answer was lost."""
        made = scheduler()
        request = reserve("r1")
        self.assertEqual(made.reserve(request, 0.0), made.reserve(request, 5.0))
        self.assertEqual(made.engines.slots.held_slots, 1)

    def test_reservations_end_with_their_owner(self) -> None:
        """Guards against slots held for a dead entry host, and against ending others."""
        made = scheduler()
        made.reserve(reserve("r1"), 0.0)
        made.reserve(reserve("r2", host=owner("host-b")), 0.0)
        made.progress(progress(reserve("r1"), Phase.DECODING), 100.0)
        made.reserve(reserve("r2", host=owner("host-b")), 100.0)
        for number in range(3):
            made.check_owners({owner("host-b")}, 250.0 * number)
        self.assertEqual(made.engines.slots.held_slots, 2)
        made.check_owners({owner("host-b"), owner("host-a", 2)}, 1_000.0)
        self.assertIsNone(made.reservations.get("r1"))
        self.assertIsNotNone(made.reservations.get("r2"))

    def test_slot_of_a_gone_owner_is_given_to_the_next(self) -> None:
        """Guards against a freed slot that nobody gets before the next tick."""
        made = scheduler(prefill=2, limits=ONE_SLOT)
        made.reserve(reserve("r1"), 0.0)
        made.reserve(reserve("r2", host=owner("host-b")), 1.0)
        checks = [made.check_owners({owner("host-b")}, 250.0 * n) for n in range(MISSED_CHECKS)]
        self.assertEqual([placed_ids(check.decisions) for check in checks], [[], [], [], ["r2"]])

    def test_freed_capacity_is_given_out_in_order(self) -> None:
        """Guards against queued requests that are forgotten, or that change places."""
        made = scheduler(prefill=4, limits=GroupLimits(slots_per_engine=3, place_ahead_ms=1e6))
        for name in ("r1", "r2", "r3"):
            made.reserve(reserve(name), 0.0)
        for name in ("q1", "q2", "q3"):
            self.assertEqual(made.reserve(reserve(name, deadline_ms=60_000), 1.0), [])
        for name in ("r1", "r2", "r3"):
            made.progress(progress(reserve(name)), 200.0)
        gone = [made.check_owners(set(), 250.0 * n).decisions for n in range(1, 5)]
        order = placed_ids(gone[-1])
        while made.more_to_place:
            order += placed_ids(made.place_waiting(1_000.0))
        self.assertEqual(order, ["q1", "q2", "q3"])

    def test_owner_that_answers_no_query_loses_what_was_asked(self) -> None:
        """Guards against a lost release that holds a slot while heartbeats arrive."""
        made = scheduler()
        made.reserve(reserve("r1"), 0.0)
        times_ms = [QUERY_PERIOD_MS * number for number in range(1, UNANSWERED_QUERIES + 1)]
        for at_ms in times_ms:
            (query,) = made.check_owners({owner()}, at_ms).queries
            self.assertEqual(query, OwnerQuery(owner(), [attempt_digest("r1", 1)]))
        made.progress(progress(reserve("r1")), times_ms[-1])
        made.reserve(reserve("r2"), times_ms[-1])
        made.check_owners({owner()}, times_ms[-1] + QUERY_PERIOD_MS)
        self.assertIsNone(made.reservations.get("r1"))
        self.assertIsNotNone(made.reservations.get("r2"))

    def test_reordered_progress_frees_the_prefill_engine(self) -> None:
        """Guards against a prefill engine that stays closed when a report overtakes another."""
        made = scheduler()
        request = reserve("r1")
        made.reserve(request, 0.0)
        made.progress(progress(request, Phase.DECODING), 150.0)
        made.progress(progress(request, Phase.PREFILLED), 160.0)
        self.assertTrue(made.engines.prefill[ServerId("p0")].accepts(5_000.0))


class OrderTest(unittest.TestCase):
    def test_live_goes_before_batch(self) -> None:
        """Guards against batch reports that delay callers who wait."""
        made = scheduler(limits=GroupLimits())
        first = reserve("r0")
        made.reserve(first, 0.0)
        made.reserve(reserve("batch", work_class=WorkClass.BATCH), 1.0)
        made.reserve(reserve("live"), 2.0)
        self.assertEqual(placed_ids(made.progress(progress(first), 100.0)), ["live"])
