"""Tests of the selection of backend servers during outages of the store and failures."""

from __future__ import annotations

import random
import unittest

from structlog.testing import capture_logs

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

    def test_candidates_are_ready_servers_of_service_and_stage(self) -> None:
        """Guards against work at servers that drain, serve another stage or another service."""
        self.table.upsert(make_server("ok", service=APP))
        self.table.upsert(make_server("leaving", service=APP, state=ServerState.DRAINING))
        self.table.upsert(make_server("engine", stage=EngineStage.DECODE))
        self.assertEqual(self.names(), ["ok"])
        self.assertEqual(self.names(excluded=[ServerId("ok")]), [])
        decode = self.table.candidates(LLM, 0.0, stage=EngineStage.DECODE)
        self.assertEqual([load.server.server for load in decode], ["engine"])
        self.table.set_changing([ServerId("engine")])
        self.assertEqual(self.table.candidates(LLM, 0.0, stage=EngineStage.DECODE), [])

    def test_entries_that_expired_in_an_outage_have_a_grace_period(self) -> None:
        """Guards against an empty list right after the recovery of the store, and against servers
        that stay listed although they are gone."""
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

    def test_each_pause_is_logged_once(self) -> None:
        """Guards against logs in which thousands of retries at servers that are all down hide the
        events before them."""
        self.table.upsert(make_server("s", service=APP))
        load = self.table.get(ServerId("s"))
        assert load is not None
        with capture_logs() as lines:
            for now_ms in range(0, 1_000, 20):
                self.table.note_failure(load, float(now_ms), "refused")
            self.table.note_failure(load, 1_000.0 + MAX_PAUSE_MS, "refused")
        self.assertEqual([line["failures"] for line in lines], [1, 51])

    def test_a_new_incarnation_starts_without_the_load_of_the_old_one(self) -> None:
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

    def test_pauses_grow_until_a_success(self) -> None:
        """Guards against one lost packet that pauses an engine for seconds, and against unreachable
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

    def test_paused_servers_are_used_if_there_are_no_others(self) -> None:
        self.table.upsert(make_server("s", service=APP))
        load = self.table.get(ServerId("s"))
        assert load is not None
        self.table.note_failure(load, 0.0, "silent")
        self.assertEqual(self.names(1.0), ["s"])

    def test_order_by_load_failure_domain_and_error_share(self) -> None:
        """Guards against a partially failing server that still gets its share of the calls."""
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
