"""Tests of the evidence that a configuration is recent.

Each kind of evidence is tested at each age and after each interruption, with the reason of the
decision: a refusal for another reason would hide a fault.
"""

from __future__ import annotations

import itertools
import math
import unittest
from collections.abc import Callable

from hypothesis import given
from hypothesis import strategies as st

from medlarvale.access.confirmation import (
    ACCEPT_SHARE,
    RESTORED_MS,
    UNCONFIRMED_AGE_MS,
    UNKNOWN_KEY_MS,
    WATCH_SHARE,
    ConfigConfirmation,
)
from medlarvale.clock import ManualClock
from medlarvale.forwarding.domain_reader import ANSWER_AFTER_MS
from medlarvale.forwarding.messages import RouteTable, Workspace
from medlarvale.forwarding.peer_state import QUERY_PERIOD_MS
from medlarvale.ids import ConfigVersion, WorkspaceId
from tests.access.support import (
    ACCEPTED,
    KNOWN,
    MAY_LIST,
    REPLACED,
    REVOKE_MS,
    UNKNOWN,
    decide,
    keyed_request,
    keyed_table,
)

VERSION = ConfigVersion(5)
ACCEPT_MS = 4_500.0
# When the evidence was asked for, and the time until its answer arrived.
ASKED_MS, HELD_UP_MS = 10_000.0, 700.0
AGE_MS = 300.0
SAME, OLDER, NEWER = keyed_table(5), keyed_table(4), keyed_table(6)
GIVEN_OUT_AGAIN = keyed_table(5, (Workspace(WorkspaceId("hule930"), (UNKNOWN,)),))

Evidence = Callable[[ConfigConfirmation], None]


def store(table: RouteTable | None) -> Evidence:
    def note(confirmation: ConfigConfirmation) -> None:
        confirmation.note_published(table, SAME)
        confirmation.note_answer(ASKED_MS, VERSION)

    return note


def watch(confirmation: ConfigConfirmation) -> None:
    confirmation.note_published(SAME, SAME)
    confirmation.note_answer(ASKED_MS, VERSION)


def peer(age_ms: float | None, version: int = VERSION, same_era: bool = False) -> Evidence:
    return lambda confirmation: confirmation.note_peer(
        ASKED_MS, age_ms, ConfigVersion(version), VERSION, same_era=same_era
    )


# Kind of evidence, and the confirmation time that it gives.
EVIDENCE: list[tuple[str, Evidence, float]] = [
    ("nothing since the start", lambda confirmation: None, -math.inf),
    ("list of the store", store(SAME), ASKED_MS),
    ("list of a store with an older configuration", store(OLDER), -math.inf),
    ("list of a store without a configuration", store(None), -math.inf),
    ("list of a store that gave out the version again", store(GIVEN_OUT_AGAIN), -math.inf),
    ("list of a store with a newer configuration not accepted here", store(NEWER), -math.inf),
    ("changes of a store", watch, ASKED_MS),
    ("reader", peer(AGE_MS, same_era=True), ASKED_MS - AGE_MS),
    ("reader, confirmed while it waited", peer(-AGE_MS, same_era=True), ASKED_MS + AGE_MS),
    ("peer", peer(AGE_MS), ASKED_MS - AGE_MS),
    ("peer that can't reach the store", peer(4_000.0), ASKED_MS - 4_000.0),
    ("peer that is not confirmed", peer(UNCONFIRMED_AGE_MS), -math.inf),
    ("peer of an earlier build", peer(None, version=0), -math.inf),
    ("peer with an older configuration", peer(AGE_MS, version=4), -math.inf),
    ("peer with a newer configuration not accepted here", peer(AGE_MS, version=6), -math.inf),
]
AGES_MS = (HELD_UP_MS, UNKNOWN_KEY_MS, UNKNOWN_KEY_MS + 1, ACCEPT_MS, ACCEPT_MS + 1, 60_000.0)
INTERRUPTIONS = ("none", "restart", "suspension", "restored store", "newer version heard of")
SUSPENDED_MS = 30_000.0


class EvidenceTest(unittest.TestCase):
    def test_each_evidence_at_each_age_after_each_interruption(self) -> None:
        """Guards against a removed key that is accepted, because the evidence was dated by its end,
        was that of an older store, or did not count a suspension (REVOKED); and against a refusal
        of a key that was added meanwhile (DENIED)."""
        for (name, note, at_ms), age_ms, between in itertools.product(
            EVIDENCE, AGES_MS, INTERRUPTIONS
        ):
            with self.subTest(name, age_ms=age_ms, between=between):
                confirmation, clock = ConfigConfirmation(REVOKE_MS), ManualClock()
                clock.advance_ms(ASKED_MS + HELD_UP_MS)
                note(confirmation)
                if between == "restart":
                    confirmation, at_ms = ConfigConfirmation(REVOKE_MS), -math.inf
                if between == "suspension":
                    clock.advance_ms(SUSPENDED_MS)
                if between == "restored store":
                    # What is known is known; answers of the restored store show nothing yet.
                    confirmation.note_restored(clock.now_ms())
                    confirmation.note_published(SAME, SAME)
                    confirmation.note_answer(clock.now_ms() + RESTORED_MS - 1, VERSION)
                if between == "newer version heard of":
                    heard_ms = ASKED_MS - AGE_MS
                    confirmation.note_heard(ConfigVersion(6), VERSION, heard_ms)
                    at_ms = min(at_ms, heard_ms)
                clock.advance_ms(max(0.0, ASKED_MS + age_ms - clock.now_ms()))
                now_ms = clock.now_ms()
                self.assertEqual(confirmation.confirmed_ms(VERSION), at_ms)
                known = (ACCEPTED, 200) if now_ms - at_ms <= ACCEPT_MS else (REPLACED, 503)
                unknown = ("no workspace has the API key", 401)
                if now_ms - at_ms > UNKNOWN_KEY_MS:
                    unknown = (MAY_LIST, 503)
                self.assertEqual(decide(confirmation, clock, keyed_request(KNOWN)), known)
                self.assertEqual(decide(confirmation, clock, keyed_request(UNKNOWN)), unknown)

    def test_a_restored_store_counts_again(self) -> None:
        """Guards against hosts that refuse all keys for good after a store was restored."""
        table = [
            ("while hosts may name newer ones", RESTORED_MS - 1, SAME, -math.inf),
            ("after that", RESTORED_MS, SAME, ASKED_MS + RESTORED_MS),
            ("with an older configuration", RESTORED_MS, OLDER, -math.inf),
        ]
        for name, after_ms, listed, expected in table:
            with self.subTest(name):
                confirmation = ConfigConfirmation(REVOKE_MS)
                confirmation.note_published(SAME, SAME)
                confirmation.note_restored(ASKED_MS)
                confirmation.note_answer(ASKED_MS + 60_000.0, VERSION)
                self.assertEqual(confirmation.confirmed_ms(VERSION), -math.inf, "not read yet")
                confirmation.note_published(listed, SAME)
                confirmation.note_answer(ASKED_MS + after_ms, VERSION)
                self.assertEqual(confirmation.confirmed_ms(VERSION), expected)

    def test_a_version_that_arrives_ends_its_doubt(self) -> None:
        confirmation = ConfigConfirmation(REVOKE_MS)
        confirmation.note_heard(ConfigVersion(6), VERSION, 1_000.0)
        confirmation.note_heard(ConfigVersion(7), VERSION, 2_000.0)
        confirmation.note_published(NEWER, NEWER)
        confirmation.note_answer(9_000.0, ConfigVersion(6))
        self.assertEqual(confirmation.confirmed_ms(ConfigVersion(6)), 1_000.0)
        self.assertEqual(confirmation.confirmed_ms(ConfigVersion(7)), 9_000.0)

    @given(st.lists(st.tuples(st.integers(0, 60), st.integers(0, 60)), max_size=8))
    def test_the_confirmation_time_is_the_latest_start(self, calls: list[tuple[int, int]]) -> None:
        """Guards against evidence that an answer which arrives later, but was asked for earlier,
        sets back or dates too late."""
        confirmation = ConfigConfirmation(REVOKE_MS)
        confirmation.note_published(SAME, SAME)
        expected = -math.inf
        for started_ms, age_ms in calls:
            confirmation.note_answer(started_ms, VERSION)
            confirmation.note_peer(started_ms, age_ms, VERSION, VERSION)
            expected = max(expected, started_ms)
            self.assertEqual(confirmation.confirmed_ms(VERSION), expected)


class TimingTest(unittest.TestCase):
    def test_a_host_that_the_store_refuses_stays_confirmed(self) -> None:
        """Guards against keyed requests that are refused in normal operation, or after one lost
        query, at a host that knows the configuration only from the neighbour of a reader."""
        for revoke_ms in (1_000.0, 5_000.0, 20_000.0):
            with self.subTest(revoke_ms):
                confirmation = ConfigConfirmation(revoke_ms)
                reader_ms = 2 * min(2_000.0, WATCH_SHARE * revoke_ms)
                neighbour_ms = reader_ms + confirmation.period_ms(ANSWER_AFTER_MS)
                query_ms = confirmation.period_ms(QUERY_PERIOD_MS)
                self.assertLess(neighbour_ms + 2 * query_ms, ACCEPT_SHARE * revoke_ms)

    def test_watches_and_queries_are_early_enough(self) -> None:
        """Guards against evidence that is regularly too old at a host in contact with the store,
        and against calls that a deployment without bounded revocation does not need."""
        table: list[tuple[str, float | None, float, bool, int, bool]] = [
            ("no bound", None, 1e9, True, 2_000, False),
            ("recent", 5_000.0, 0.0, True, 625, False),
            ("up to which no peer is asked", 5_000.0, 2_000.0, True, 625, False),
            ("peers are asked", 5_000.0, 2_001.0, True, 625, True),
            ("the watch does not wait", 5_000.0, 2_501.0, True, 1, True),
            ("a restored store with an older configuration", 5_000.0, 1e9, False, 625, True),
            ("a long time", 60_000.0, 0.0, True, 2_000, False),
        ]
        for name, revoke_ms, age_ms, listed, wait_ms, asks in table:
            with self.subTest(name):
                confirmation = ConfigConfirmation(revoke_ms)
                confirmation.note_published(SAME, SAME)
                confirmation.note_answer(0.0, VERSION)
                confirmation.note_published(SAME if listed else OLDER, SAME)
                self.assertEqual(confirmation.watch_wait_ms(2_000, age_ms, VERSION), wait_ms)
                self.assertEqual(confirmation.asks_peers(age_ms, VERSION), asks)
