"""Tests of the bounds on reservations whose owner is gone or whose release was lost."""

import unittest

from medlarvale.ids import AttemptNumber, HostId, HostIdentity, RequestId
from medlarvale.scheduling.messages import attempt_digest
from medlarvale.scheduling.owned import OwnedRequests
from medlarvale.scheduling.owners import OwnerTable
from tests.scheduling.builders import SERVICE, owner

# Specified bounds, independent of the code: after the last heartbeat, and after a lost release.
GONE_OWNER_MS = 2_000
LOST_RELEASE_MS = 2_250
HEARTBEAT_MS = 250
# A heartbeat is valid for this time.
SUSPECT_AFTER_MS = 1_000
CHECKS_TO_END = 4
STEP_MS = 50
# Longer than each specified bound, so that a reservation that is kept for good is noticed.
WATCHED_MS = 10_000
SCHEDULER_HOST = HostId("scheduler")
ENDED, SERVED = RequestId("ended"), RequestId("served")
ATTEMPT = AttemptNumber(1)


def add_reservation(table: OwnerTable, identity: HostIdentity, request: RequestId) -> None:
    table.add(identity, request, attempt_digest(request, ATTEMPT), 0.0)


class LostReleaseTest(unittest.TestCase):
    def hold_time_ms(
        self, ended_ms: int, *, other_owners: int = 0, delay_ms: int = 0, lost_queries: int = 0
    ) -> float:
        """Returns how long a reservation is held after its request has ended without a release.

        Args:
            ended_ms: time at which the request ends.
            other_owners: owners that were added before, each with one reservation.
            delay_ms: time that a query needs, and that its reply needs.
            lost_queries: number of lost queries after the end; time counts from the last of them.
        """
        table, owned = OwnerTable(), OwnedRequests()
        live = {owner(f"other-{number}") for number in range(other_owners)}
        for identity in sorted(live):
            add_reservation(table, identity, RequestId(f"request of {identity}"))
        live.add(owner())
        for request in (ENDED, SERVED):
            add_reservation(table, owner(), request)
            owned.add(request, ATTEMPT, SERVICE)
            owned.set_scheduler_host(request, SCHEDULER_HOST)
        queries: dict[int, list[int]] = {}
        replies: dict[int, list[int]] = {}
        since_ms = ended_ms
        for now_ms in range(0, ended_ms + WATCHED_MS, STEP_MS):
            if now_ms == ended_ms:
                owned.remove(ENDED)
            if now_ms % HEARTBEAT_MS == 0:
                findings = table.check(live, float(now_ms))
                self.assertEqual(findings.gone, [], "a live owner lost a reservation")
                sent = [query for query in findings.queries if query.owner == owner()]
                for query in sent:
                    if now_ms >= ended_ms and lost_queries:
                        lost_queries -= 1
                        since_ms = now_ms
                    else:
                        queries[now_ms + delay_ms] = query.digests
            if now_ms in queries:
                digests = owned.ended_digests(SCHEDULER_HOST, queries.pop(now_ms))
                replies[now_ms + delay_ms] = digests
            if now_ms in replies:
                ended = table.apply_reply(owner(), replies.pop(now_ms))
                self.assertNotIn(SERVED, ended, "a reservation that its owner serves was ended")
                if ended:
                    self.assertEqual((ended, lost_queries), ([ENDED], 0))
                    return now_ms - since_ms
        return float("inf")

    def test_reservation_ends_in_time_after_a_lost_release(self) -> None:
        """Guards against slots held for good, or too long, because owners are queried rarely.

        The end of the request falls before, at and after queries of several periods.
        """
        for ended_ms in range(0, 6_000, STEP_MS):
            for delay_ms in (0, 200):
                with self.subTest(ended_ms=ended_ms, delay_ms=delay_ms):
                    held_ms = self.hold_time_ms(ended_ms, delay_ms=delay_ms)
                    self.assertLessEqual(held_ms, LOST_RELEASE_MS + 2 * delay_ms)

    def test_reservation_of_a_late_owner_ends_in_time(self) -> None:
        """Guards against a first query that is put off the further the more owners there are."""
        for other_owners in range(1, 20):
            for ended_ms in (0, 2_050):
                with self.subTest(other_owners=other_owners, ended_ms=ended_ms):
                    held_ms = self.hold_time_ms(ended_ms, other_owners=other_owners)
                    self.assertLessEqual(held_ms, LOST_RELEASE_MS)

    def test_lost_query_is_repeated_in_time(self) -> None:
        """Guards against a reservation that is held for good after a lost query."""
        for lost_queries in (1, 2):
            for ended_ms in (0, 250, 300, 2_200):
                with self.subTest(lost_queries=lost_queries, ended_ms=ended_ms):
                    held_ms = self.hold_time_ms(ended_ms, lost_queries=lost_queries)
                    self.assertLessEqual(held_ms, LOST_RELEASE_MS)


class GoneOwnerTest(unittest.TestCase):
    def test_reservations_of_a_gone_owner_end_in_time(self) -> None:
        """Guards against slots held for a dead host or for its incarnation before a restart.

        The last heartbeat arrives at various times relative to the checks.
        """
        others = {owner("host-b"), owner("host-a", 2)}
        for last_heartbeat_ms in range(0, 3 * HEARTBEAT_MS, STEP_MS):
            with self.subTest(last_heartbeat_ms=last_heartbeat_ms):
                table = OwnerTable()
                add_reservation(table, owner(), ENDED)
                add_reservation(table, owner("host-b"), SERVED)
                gone: list[RequestId] = []
                for now_ms in range(0, last_heartbeat_ms + GONE_OWNER_MS + 1, HEARTBEAT_MS):
                    recent = now_ms - last_heartbeat_ms <= SUSPECT_AFTER_MS
                    live = others | {owner()} if recent else others
                    gone = table.check(live, float(now_ms)).gone
                    if gone:
                        break
                self.assertEqual(gone, [ENDED])

    def test_owner_keeps_reservations_until_enough_checks_are_missed(self) -> None:
        """Guards against reservations ended by a scheduler that was paused.

        It has only old heartbeats at first and reads newer ones before this number of checks.
        """
        for missed in range(CHECKS_TO_END + 1):
            with self.subTest(missed=missed):
                table = OwnerTable()
                add_reservation(table, owner(), SERVED)
                checks = [False] * (CHECKS_TO_END - 1) + [True] + [False] * missed
                gone: list[RequestId] = []
                for number, recent in enumerate(checks):
                    live = {owner()} if recent else set()
                    gone = table.check(live, float(number * HEARTBEAT_MS)).gone
                    if recent:
                        self.assertEqual(gone, [])
                self.assertEqual(gone, [SERVED] if missed >= CHECKS_TO_END else [])
