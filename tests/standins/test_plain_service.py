"""Run counts, faults and fencing check of the plain service."""

import asyncio
from typing import Any
from unittest.mock import Mock

from medlarvale.clock import SystemClock
from medlarvale.errors import MedlarvaleError
from medlarvale.standins.plain_service import PlainService, PlainSettings
from tests.standins.support import LOAD_FIELDS, Client, StandinTestCase


class PlainServiceTest(StandinTestCase):
    async def start_plain(self, **changes: Any) -> Client:
        settings = PlainSettings("app-1", "udlaan-app", **{"report_lag_ms": 0, **changes})
        return await self.start(
            PlainService(settings, SystemClock(), crash=Mock(side_effect=MedlarvaleError)).build()
        )

    async def send(self, client: Client, key: str, method: str = "POST", **headers: str) -> int:
        """Sends a call and returns the status of its answer."""
        sent = {"Idempotency-Key": key, **headers}
        async with client.session.request(
            method, client.address + "/reservations?day=1", data=b"cleats", headers=sent
        ) as response:
            return response.status

    async def test_runs_are_counted_by_key(self) -> None:
        """Guards against a double run that other tests would miss."""
        client = await self.start_plain()
        for key in ("k1", "k2", "k1"):
            self.assertEqual(await self.send(client, key), 200)
        self.assertEqual(await self.send(client, "k2", "GET"), 200)
        report = await client.get("/test/runs")
        self.assertEqual(report["runs"], {"k1": 2, "k2": 1})
        self.assertEqual((report["total"], report["calls"]), (3, 4))

    async def test_call_runs_although_its_caller_disconnects(self) -> None:
        """Guards against a call that is dropped, since a real service runs what it received."""
        client = await self.start_plain(delay_ms=50)
        call = asyncio.create_task(self.send(client, "k1"))
        await client.wait_until("/v1/load", lambda load: load["slots_used"] == 1)
        call.cancel()
        await client.wait_until("/test/runs", lambda report: report["runs"] == {"k1": 1})

    async def test_faults_around_the_run(self) -> None:
        """Guards against crashes on the wrong side of the run."""
        cases = (
            ({"kind": "crash_before"}, 500, {}),
            ({"kind": "crash_after"}, 500, {"k1": 1}),
            ({"kind": "poison", "word": "leat"}, 500, {}),
            ({"kind": "poison", "word": "other"}, 200, {"k1": 1}),
            ({"kind": "none"}, 200, {"k1": 1}),
        )
        for fault, status, runs in cases:
            with self.subTest(fault=fault):
                client = await self.start_plain()
                await client.call("/fault", fault)
                self.assertEqual(await self.send(client, "k1"), status)
                self.assertEqual((await client.get("/test/runs"))["runs"], runs)

    async def test_late_answer_comes_after_the_run(self) -> None:
        """Guards against a delay of the run instead of its answer."""
        client = await self.start_plain()
        await client.call("/fault", {"kind": "late", "duration_ms": 60_000})
        call = asyncio.create_task(self.send(client, "k1"))
        await client.wait_until("/test/runs", lambda report: report["runs"] == {"k1": 1})
        self.assertFalse(call.done())
        call.cancel()

    async def test_calls_with_older_fencing_numbers(self) -> None:
        """Guards against services that ignore the setting ``check_fencing``."""
        for check_fencing, status, total in ((True, 409, 2), (False, 200, 3)):
            with self.subTest(check_fencing=check_fencing):
                client = await self.start_plain(check_fencing=check_fencing)
                for number, expected in (("5", 200), ("5", 200), ("4", status)):
                    got = await self.send(client, "k", **{"X-Fencing": number})
                    self.assertEqual(got, expected)
                self.assertEqual((await client.get("/test/runs"))["total"], total)

    async def test_load_and_leaving(self) -> None:
        """Guards against a load report whose fields differ from those of the engines."""
        client = await self.start_plain(slots=7)
        load = await client.get("/test/load")
        self.assertEqual(" ".join(load), LOAD_FIELDS)
        self.assertEqual(load["slots"], 7)
        await client.call("/test/leaving", {"leaving": True})
        self.assertTrue((await client.get("/v1/load"))["leaving"])
        await self.send(client, "k1")
        report = await client.get("/test/runs")
        self.assertGreaterEqual(report["latest_work_after_leaving_ms"], 0)
