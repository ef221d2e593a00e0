"""Backend servers: who takes work, through outages of the store and failures."""

from __future__ import annotations

import random
import unittest

from medlarvale.forwarding.messages import EngineStage, ServerState
from medlarvale.forwarding.servers import (
    FIRST_PAUSE_MS,
    MAX_PAUSE_MS,
    MISSING_GRACE_MS,
    ServerTable,
)
from medlarvale.ids import ServerId
from tests.forwarding.fakes import APP, HERE, LLM, make_server


class ServerTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = ServerTable(HERE, random.Random(1))

    def names(self, now_ms: float = 0.0, **choice: object) -> list[str]:
        found = self.table.candidates(APP, now_ms, **choice)  # type: ignore[arg-type]
        return sorted(load.server.server for load in found)

    def test_who_takes_work(self) -> None:
        """Guards against work at servers that leave, serve another stage or another service."""
        self.table.upsert(make_server("ok", service=APP))
        self.table.upsert(make_server("leaving", service=APP, state=ServerState.DRAINING))
        self.table.upsert(make_server("engine", stage=EngineStage.DECODE))
        self.assertEqual(self.names(), ["ok"])
        self.assertEqual(self.names(excluded=[ServerId("ok")]), [])
        decode = self.table.candidates(LLM, 0.0, stage=EngineStage.DECODE)
        self.assertEqual([load.server.server for load in decode], ["engine"])
        self.table.set_changing([ServerId("engine")])
        self.assertEqual(self.table.candidates(LLM, 0.0, stage=EngineStage.DECODE), [])

    def test_entries_that_lapsed_in_an_outage_have_time_to_come_back(self) -> None:
        """Guards against an empty list right after the store's return, and against servers that
        are kept though they are gone."""
        for name in ("back", "gone"):
            self.table.upsert(make_server(name, service=APP))
        self.table.replace_all([], 1_000.0, after_outage=True)
        self.assertEqual(self.names(), ["back", "gone"])
        self.table.upsert(make_server("back", service=APP))
        self.table.expire_missing(1_000.0 + MISSING_GRACE_MS - 1)
        self.assertEqual(self.names(), ["back", "gone"])
        self.table.expire_missing(1_000.0 + MISSING_GRACE_MS + 1)
        self.assertEqual(self.names(), ["back"])
        self.table.replace_all([], 9_000.0, after_outage=False)
        self.assertEqual(self.names(), [])

    def test_a_new_life_starts_without_the_load_of_the_old_one(self) -> None:
        self.table.upsert(make_server("s", service=APP, born_ms=1))
        old = self.table.get(ServerId("s"))
        assert old is not None
        old.in_flight, old.failures = 5, 3
        self.table.upsert(make_server("s", service=APP, born_ms=2))
        new = self.table.get(ServerId("s"))
        assert new is not None
        self.assertEqual((new.in_flight, new.failures), (0, 0))
        self.assertFalse(self.table.takes_work(old))
        self.assertTrue(self.table.takes_work(new))

    def test_pauses_grow_and_end_with_a_success(self) -> None:
        """Guards against a lost packet that takes an engine away for seconds, and against dark
        servers that every request tries."""
        self.table.upsert(make_server("s", service=APP))
        self.table.upsert(make_server("t", service=APP))
        load = self.table.get(ServerId("s"))
        assert load is not None
        pauses = []
        now_ms = 0.0
        for _ in range(8):
            self.table.note_failure(load, now_ms, "silent")
            self.assertEqual(self.names(now_ms), ["t"])
            pauses.append(load.paused_until_ms - now_ms)
            now_ms = load.paused_until_ms
        self.assertEqual(pauses[0], FIRST_PAUSE_MS)
        self.assertEqual(pauses, sorted(pauses))
        self.assertEqual(pauses[-1], MAX_PAUSE_MS)
        self.table.note_success(load, now_ms)
        self.table.note_failure(load, now_ms, "silent")
        self.assertEqual(load.paused_until_ms - now_ms, FIRST_PAUSE_MS)

    def test_all_paused_servers_are_tried_rather_than_none(self) -> None:
        self.table.upsert(make_server("s", service=APP))
        load = self.table.get(ServerId("s"))
        assert load is not None
        self.table.note_failure(load, 0.0, "silent")
        self.assertEqual(self.names(1.0), ["s"])

    def test_order_by_load_place_and_failures(self) -> None:
        """Guards against a grey server that keeps its share of the calls."""
        for name, domain in (("near", "a"), ("far", "b"), ("grey", "a")):
            self.table.upsert(make_server(name, service=APP, domain=domain))
        loads = {load.server.server: load for load in self.table.of_service(APP)}
        for _ in range(10):
            loads[ServerId("grey")].note_answer(failed=True)
        ordered = self.table.order_by_load(list(loads.values()))
        self.assertEqual([load.server.server for load in ordered], ["near", "far", "grey"])
        loads[ServerId("near")].in_flight = 3
        ordered = self.table.order_by_load(list(loads.values()))
        self.assertEqual(ordered[0].server.server, "far")
