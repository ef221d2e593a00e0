"""Tests of the published state during outages, after lost history and with stale reads."""

from __future__ import annotations

import asyncio
import random
import time
import unittest
from collections.abc import Callable
from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st

from medlarvale.clock import SystemClock
from medlarvale.forwarding.errors import HistoryGoneError, PublishedStateError, WatchCutError
from medlarvale.forwarding.follower import WATCH_INTERVAL_MS, StateFollower
from medlarvale.forwarding.messages import (
    DEFAULT_HEARTBEAT_MS,
    PublishedState,
    RouteTable,
    StateChanges,
    StoreRevision,
)
from medlarvale.forwarding.servers import ServerTable
from medlarvale.ids import ServerId
from tests.forwarding.fakes import APP, HERE, make_route, make_server, make_table


class Delayed(NamedTuple):
    """A result that a source returns after some time."""

    delay_ms: float
    result: PublishedState | StateChanges | Exception


class ScriptedSource:
    """Returns scripted results in order and blocks after the last."""

    def __init__(self, *results: PublishedState | StateChanges | Exception | Delayed) -> None:
        self.results = list(results)
        self.calls: list[object] = []
        self.done = asyncio.Event()

    async def _next(self):  # type: ignore[no-untyped-def]
        if not self.results:
            self.done.set()
            await asyncio.Event().wait()
        result = self.results.pop(0)
        if isinstance(result, Delayed):
            await asyncio.sleep(result.delay_ms / 1000.0)
            result = result.result
        if isinstance(result, Exception):
            raise result
        return result

    async def read(self) -> PublishedState:
        self.calls.append("read")
        return await self._next()

    async def watch(self, after: StoreRevision, wait_ms: int) -> StateChanges:
        self.calls.append(after)
        return await self._next()


class HistorySource:
    """A source whose last change has a revision, and that has dropped the changes up to a floor."""

    def __init__(self, revision: int, floor: int) -> None:
        self.revision, self.floor = revision, floor
        self.calls = 0

    async def read(self) -> PublishedState:
        return PublishedState(None, (), StoreRevision(self.revision))

    async def watch(self, after: StoreRevision, wait_ms: int) -> StateChanges:
        self.calls += 1
        if after < self.floor:
            raise HistoryGoneError("dropped")
        items = tuple(ServerId(str(number)) for number in range(after + 1, self.revision + 1))
        return StateChanges(items, StoreRevision(self.revision))


def published(version: int, *servers: str, revision: int = 10) -> PublishedState:
    entries = tuple(make_server(name, service=APP) for name in servers)
    return PublishedState(
        make_table(make_route(), version=version), entries, StoreRevision(revision)
    )


def changes(revision: int, *items: object) -> StateChanges:
    return StateChanges(tuple(items), StoreRevision(revision))  # type: ignore[arg-type]


class StateFollowerTest(unittest.IsolatedAsyncioTestCase):
    async def follow(
        self,
        *results: PublishedState | StateChanges | Exception | Delayed,
        heartbeat_ms: float = DEFAULT_HEARTBEAT_MS,
    ) -> None:
        self.servers = ServerTable(HERE, random.Random(1))
        self.ready = 0
        self.source = ScriptedSource(*results)
        self.follower = StateFollower(
            self.source, self.servers, SystemClock(), self.note_ready, heartbeat_ms
        )
        self.follower.start()
        await asyncio.wait_for(self.source.done.wait(), 5.0)
        await self.follower.close()

    def note_ready(self) -> None:
        self.ready += 1

    def version(self) -> int:
        assert self.follower.index is not None
        return self.follower.index.table.version

    def listed(self) -> list[str]:
        return sorted(server.server for server in self.servers.all_servers())

    async def test_watch_continues_from_the_last_revision(self) -> None:
        await self.follow(
            published(1, "s1", revision=10),
            changes(12, make_server("s2", service=APP)),
            changes(15, ServerId("s1"), make_table(make_route(), version=4)),
        )
        self.assertEqual(self.source.calls, ["read", 10, 12, 15])
        self.assertEqual((self.listed(), self.version(), self.ready), (["s2"], 4, 1))

    async def test_an_answer_confirms_the_configuration_up_to_its_call(self) -> None:
        """Guards against an answer that was held up, and after which a removed key is accepted for
        too long (REVOKED)."""
        held_up_ms = 200.0
        began_ms = SystemClock().now_ms()
        await self.follow(published(1, revision=10), Delayed(held_up_ms, changes(10)))
        confirmed_ms = self.follower.confirmation.confirmed_ms(self.follower.version)
        # The watch began at least one interval after the read.
        self.assertGreaterEqual(confirmed_ms, began_ms + WATCH_INTERVAL_MS)
        self.assertLessEqual(confirmed_ms, SystemClock().now_ms() - held_up_ms)

    async def test_outages_and_lost_history_lead_to_a_new_read(self) -> None:
        """Guards against changes that are missed during an outage of the store, against servers
        that are removed because their entries expired meanwhile, and against requests to a server
        that has left while the store answered (review/4)."""
        gone, down, cut = HistoryGoneError("410"), PublishedStateError("503"), WatchCutError("cut")
        table = [
            ([gone], ["read", 10, "read", 90], ["s2"]),
            ([cut, gone], ["read", 10, 10, "read", 90], ["s2"]),
            ([down], ["read", 10, "read", 90], ["s1", "s2"]),
            ([cut, down], ["read", 10, 10, "read", 90], ["s1", "s2"]),
            ([down, gone], ["read", 10, "read", "read", 90], ["s1", "s2"]),
        ]
        for errors, calls, listed in table:
            with self.subTest([error.message for error in errors]):
                await self.follow(
                    published(1, "s1", "s2"), *errors, published(2, "s2", revision=90)
                )
                self.assertEqual(self.source.calls, calls)
                self.assertEqual(self.listed(), listed)
                self.assertEqual(self.version(), 2)
                self.assertTrue(self.follower.reachable)

    async def test_a_cut_watch_is_no_outage(self) -> None:
        """Guards against requests to a server whose entry was removed when a watch was cut, as
        often as that happens (review/4)."""
        cut = WatchCutError("cut")
        await self.follow(
            published(1, "s1", "s2", "s3"),
            cut,
            changes(12, ServerId("s1")),
            cut,
            changes(14, ServerId("s2"), make_table(make_route(), version=2)),
        )
        self.assertEqual(self.source.calls, ["read", 10, 10, 12, 12, 14])
        self.assertEqual((self.listed(), self.version()), (["s3"], 2))
        self.assertTrue(self.follower.reachable)

    async def test_entries_may_have_lapsed_after_a_long_silence(self) -> None:
        """Guards against servers that are removed although their entries only expired while the
        store answered nobody."""
        removed, read_again = changes(12, ServerId("s1")), published(2, "s2", revision=90)
        table = [
            (1_000.0, removed, ["read", 10, 10, 12], ["s2"]),
            (20.0, read_again, ["read", 10, "read", 90], ["s1", "s2"]),
        ]
        for heartbeat_ms, answer, calls, listed in table:
            with self.subTest(heartbeat_ms):
                silence = Delayed(100.0, WatchCutError("silent"))
                await self.follow(
                    published(1, "s1", "s2"), silence, answer, heartbeat_ms=heartbeat_ms
                )
                self.assertEqual(self.source.calls, calls)
                self.assertEqual(self.listed(), listed)

    async def test_an_unexpected_error_does_not_end_the_task(self) -> None:
        """Guards against a host that keeps an old configuration until it is restarted."""
        await self.follow(published(1, "s1"), RuntimeError("bug"), published(2, "s1", revision=90))
        self.assertEqual(self.version(), 2)

    async def test_a_host_started_during_an_outage_follows_afterwards(self) -> None:
        """Guards against a host that never gets a configuration if its first reads fail."""
        await self.follow(PublishedStateError("down"), PublishedStateError("down"), published(3))
        self.assertEqual((self.version(), self.ready), (3, 1))


class ConfirmationTest(unittest.IsolatedAsyncioTestCase):
    """Tests of what a host knows of the time at which changes were made."""

    def start(self, *results: PublishedState | StateChanges | Exception | Delayed) -> None:
        self.clock = SystemClock()
        self.servers = ServerTable(HERE, random.Random(1))
        self.source = ScriptedSource(*results)
        self.follower = StateFollower(self.source, self.servers, self.clock, lambda: None)
        self.after_ms: list[float] = []
        self.gaps: list[tuple[float, float]] = []
        self.servers.on_change(lambda: self.after_ms.append(self.follower.left_after_ms()))
        self.follower.on_gap(lambda since_ms, until_ms: self.gaps.append((since_ms, until_ms)))
        self.follower.start()
        self.addAsyncCleanup(self.follower.close)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(5.0):
            while True:
                if condition():
                    return
                await asyncio.sleep(0.01)

    async def test_a_list_is_confirmed_by_an_answer_to_a_later_call(self) -> None:
        """Guards against a take-up at a host that has not heard of new servers, because its watch
        is held up (a report of other operators)."""
        table: list[tuple[str, StateChanges | Exception, bool, list[str]]] = [
            ("news", changes(12, make_server("s2", service=APP)), True, ["s1", "s2"]),
            ("no news", changes(10), True, ["s1"]),
            ("down", PublishedStateError("503"), False, ["s1"]),
        ]
        for name, answer, confirmed, listed in table:
            with self.subTest(name):
                held_up = Delayed(1_000.0, changes(10))
                self.start(published(1, "s1"), held_up, answer)
                await self.wait_until(lambda: len(self.source.calls) == 2)
                at_ms = self.clock.now_ms()
                answers = [self.follower.confirm(at_ms) for _ in range(3)]
                self.assertEqual(await asyncio.gather(*answers), [confirmed] * 3)
                self.assertEqual(len(self.source.calls), 3, "one call for all that wait")
                self.assertEqual(
                    sorted(server.server for server in self.servers.all_servers()), listed
                )
                await self.follower.close()

    async def test_a_take_up_removes_no_servers_after_an_outage(self) -> None:
        """Guards against a host that loses all servers whose entries lapsed in an outage, because a
        caller takes up a stream before the list is read again."""
        self.start(published(1, "s1"), PublishedStateError("down"), changes(12, ServerId("s1")))
        await self.wait_until(lambda: not self.follower.reachable)
        self.assertFalse(await self.follower.confirm(self.clock.now_ms()))
        self.assertEqual([server.server for server in self.servers.all_servers()], ["s1"])

    async def test_the_time_of_a_change_is_known_if_its_answer_came_in_time(self) -> None:
        """Guards against changes that count as made when a host hears of them after a pause."""
        for paused_s in (0.0, 1.0):
            with self.subTest(paused_s):
                self.start(published(1, "s1"), Delayed(500.0, changes(12, ServerId("s1"))))
                await self.wait_until(lambda: len(self.source.calls) == 2)
                watched_ms = self.clock.now_ms()
                time.sleep(paused_s)  # noqa: ASYNC251
                await self.wait_until(lambda: not self.servers.all_servers())
                removed_ms = self.clock.now_ms()
                if paused_s:
                    self.assertLessEqual(self.after_ms[-1], watched_ms)
                else:
                    self.assertAlmostEqual(self.after_ms[-1], removed_ms, delta=200.0)
                await self.follower.close()

    async def test_the_store_is_read_again_if_what_it_lists_is_unknown(self) -> None:
        """Guards against a host that refuses all keys for good after its reader was lost, because
        the store has listed the known version before; and against a read of the whole store by
        each neighbour when a reader is lost."""
        table = [("listed", 1, 10), ("accepted meanwhile", 2, "read")]
        for name, version, call in table:
            with self.subTest(name):
                self.start(published(1, "s1"), Delayed(100.0, changes(10)))
                await self.wait_until(lambda: len(self.source.calls) == 2)
                self.follower.suspend(self.follower.era, StoreRevision(10), self.clock.now_ms())
                self.follower.accept(make_table(make_route(), version=version))
                await asyncio.sleep(0.4)
                self.assertEqual(self.source.calls, ["read", 10])
                self.follower.resume()
                await self.wait_until(lambda: len(self.source.calls) == 3)
                self.assertEqual(self.source.calls[2], call)
                await self.follower.close()

    async def test_a_new_read_leaves_a_gap(self) -> None:
        """Guards against servers that joined and left between two reads of the list."""
        self.start(published(1, "s1"), HistoryGoneError("410"), published(1, "s1", revision=90))
        await asyncio.wait_for(self.source.done.wait(), 5.0)
        self.assertEqual(len(self.gaps), 1)
        since_ms, until_ms = self.gaps[0]
        self.assertLess(since_ms, until_ms)


class VersionTest(unittest.TestCase):
    @given(st.lists(st.integers(1, 30), min_size=1, max_size=20))
    def test_the_configuration_is_never_reverted(self, versions: list[int]) -> None:
        """Guards against a stale read that reverts an accepted configuration."""
        follower = StateFollower(
            ScriptedSource(), ServerTable(HERE, random.Random(1)), SystemClock(), lambda: None
        )
        newest = 0
        for version in versions:
            follower.accept(make_table(make_route(), version=version))
            newest = max(newest, version)
            index = follower.index
            assert index is not None and isinstance(index.table, RouteTable)
            self.assertEqual(index.table.version, newest)


class RecentHistoryTest(unittest.IsolatedAsyncioTestCase):
    async def test_all_changes_that_are_left_are_read(self) -> None:
        """Guards against servers that have left and are not read, and against many calls."""
        table = [(0, 0), (1, 0), (1, 1), (24, 0), (24, 11), (24, 24), (5_000, 4_321), (5_000, 0)]
        for revision, floor in table:
            with self.subTest(revision=revision, floor=floor):
                source = HistorySource(revision, floor)
                servers = ServerTable(HERE, random.Random(1))
                follower = StateFollower(source, servers, SystemClock(), lambda: None)
                history = await follower.recent_history()
                self.assertEqual(history.floor, floor)
                self.assertEqual(len(history.changes.items), revision - floor)
                self.assertLessEqual(source.calls, 2 * revision.bit_length())
