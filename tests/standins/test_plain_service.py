"""The plain service's counts, faults and fencing check."""

import asyncio
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import aiohttp

from medlarvale.clock import SystemClock
from medlarvale.errors import MedlarvaleError
from medlarvale.standins.plain_service import PlainService, PlainSettings, RunRecord
from medlarvale.standins.serving import serve
from tests.standins.running import LOOPBACK, Client


class CrashedError(MedlarvaleError):
    """Stands for the end of the process."""

    code = "crashed"


def crash() -> None:
    """Ends the call instead of the process."""
    raise CrashedError


@asynccontextmanager
async def plain(**changes: Any) -> AsyncIterator[Client]:
    """Runs a plain service and yields its client."""
    settings = PlainSettings("app-1", "udlaan-app", **{"report_lag_ms": 0, **changes})
    service = PlainService(settings, SystemClock(), crash=crash)
    async with serve(service.build(), LOOPBACK) as bound, aiohttp.ClientSession() as session:
        yield Client(session, f"http://{bound}")


class PlainServiceTest(unittest.IsolatedAsyncioTestCase):
    async def send(self, client: Client, key: str, method: str = "POST", **headers: str) -> int:
        """Sends a call and returns the status of its answer."""
        sent = {"Idempotency-Key": key, **headers}
        async with client.session.request(
            method, client.address + "/reservations?day=1", data=b"cleats", headers=sent
        ) as response:
            return response.status

    async def test_runs_are_counted_by_key(self) -> None:
        """Guards against a double run that the tests could not see."""
        async with plain() as client:
            for key in ("k1", "k2", "k1"):
                self.assertEqual(await self.send(client, key), 200)
            self.assertEqual(await self.send(client, "k2", "GET"), 200)
            report = await client.get("/test/runs")
            self.assertEqual(report["runs"], {"k1": 2, "k2": 1})
            self.assertEqual((report["total"], report["calls"]), (3, 4))

    async def test_call_runs_although_its_caller_is_gone(self) -> None:
        """Guards against a stand-in kinder than a real service, which runs what it received."""
        async with plain(delay_ms=50) as client:
            call = asyncio.create_task(self.send(client, "k1"))
            await client.wait_until("/v1/load", lambda load: load["slots_used"] == 1)
            call.cancel()
            await client.wait_until("/test/runs", lambda report: report["runs"] == {"k1": 1})

    async def test_faults_around_the_run(self) -> None:
        """Guards against crashes that run too much or too little."""
        cases = (
            ({"kind": "crash_before"}, 500, {}),
            ({"kind": "crash_after"}, 500, {"k1": 1}),
            ({"kind": "poison", "word": "leat"}, 500, {}),
            ({"kind": "poison", "word": "other"}, 200, {"k1": 1}),
            ({"kind": "late", "duration_ms": 5}, 200, {"k1": 1}),
            ({"kind": "none"}, 200, {"k1": 1}),
        )
        for fault, status, runs in cases:
            with self.subTest(fault=fault):
                async with plain() as client:
                    await client.call("/fault", fault)
                    self.assertEqual(await self.send(client, "k1"), status)
                    self.assertEqual((await client.get("/test/runs"))["runs"], runs)

    async def test_late_answer_comes_after_the_run(self) -> None:
        """Guards against a late answer whose run is late too."""
        async with plain() as client:
            await client.call("/fault", {"kind": "late", "duration_ms": 60_000})
            call = asyncio.create_task(self.send(client, "k1"))
            await client.wait_until("/test/runs", lambda report: report["runs"] == {"k1": 1})
            self.assertFalse(call.done())
            call.cancel()

    async def test_fencing(self) -> None:
        """Guards against services that all check the number, or none."""
        for check_fencing, status, total in ((True, 409, 2), (False, 200, 3)):
            with self.subTest(check_fencing=check_fencing):
                async with plain(check_fencing=check_fencing) as client:
                    for number, expected in (("5", 200), ("5", 200), ("4", status)):
                        headers = {"X-Fencing": number}
                        self.assertEqual(await self.send(client, "k", **headers), expected)
                    self.assertEqual((await client.get("/test/runs"))["total"], total)

    async def test_load_and_leaving(self) -> None:
        """Guards against a load report that differs from the engines'."""
        async with plain(slots=7) as client:
            load = await client.get("/test/load")
            names = "role model slots slots_used pieces pieces_used queue_ms leaving epoch"
            self.assertEqual(set(load), set(names.split()))
            self.assertEqual((load["role"], load["slots"]), ("plain", 7))
            await client.call("/test/leaving", {"leaving": True})
            self.assertTrue((await client.get("/v1/load"))["leaving"])
            await self.send(client, "k1")
            report = await client.get("/test/runs")
            self.assertGreaterEqual(report["latest_work_after_leaving_ms"], 0)


class RunRecordTest(unittest.TestCase):
    def test_runs_outlive_a_restart(self) -> None:
        """Guards against a restart that hides an earlier run."""
        with TemporaryDirectory() as directory:
            path = Path(directory) / "runs"
            self.assertEqual([RunRecord(path).add("k1\n") for _ in range(3)], [1, 2, 3])
            self.assertEqual(RunRecord(path).runs, {"k1\n": 3})
