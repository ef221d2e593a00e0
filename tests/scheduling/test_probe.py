"""Tests of the HTTP probe against a test server on a loopback address."""

import unittest

import aiohttp
from aiohttp import web
from aiohttp.test_utils import TestServer

from medlarvale.ids import AttemptNumber, FailureDomain, PoolName, RequestId, ServerId
from medlarvale.membership.servers import BackendServer
from medlarvale.scheduling.errors import ProbeError
from medlarvale.scheduling.probe import HttpEngineProbe
from medlarvale.scheduling.reports import CacheEventKind
from medlarvale.settings.schema import PoolRole
from tests.scheduling.builders import SERVICE, engine_request, owner

REQUEST = {
    "request_id": "r1",
    "attempt": 1,
    "owner": "host-a/1",
    "phase": "",
    "pieces": 2,
    "idle_ms": 0,
}
EVENTS = {"events": [{"n": 4, "kind": "stored", "prefix_hash": 7}], "next": 5}


class HttpEngineProbeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.answers: dict[str, object] = {}
        self.received: list[tuple[str, str, dict]] = []
        application = web.Application()
        application.router.add_route("*", "/v1/{path}", self.answer)
        server = TestServer(application)
        await server.start_server()
        self.addAsyncCleanup(server.close)
        session = aiohttp.ClientSession()
        self.addAsyncCleanup(session.close)
        self.probe = HttpEngineProbe(session, owner())
        address = str(server.make_url("")).rstrip("/")
        domain, pool = FailureDomain("domain"), PoolName("pool")
        self.engine = BackendServer(ServerId("d0"), address, SERVICE, pool, PoolRole.DECODE, domain)

    async def answer(self, request: web.Request) -> web.StreamResponse:
        body = await request.json() if request.can_read_body else {}
        owner_header = request.headers.get("X-Owner", "")
        self.received.append((request.path_qs, owner_header, body))
        answer = self.answers.get(request.match_info["path"])
        if isinstance(answer, bytes):
            return web.Response(body=answer)
        return web.Response(status=500) if answer is None else web.json_response(answer)

    async def test_reads_the_published_shapes(self) -> None:
        """Guards against a probe that expects other fields than the engines publish."""
        load = {"role": "decode", "model": "m", "slots": 20, "slots_used": 3, "pieces": 256}
        load |= {"pieces_used": 9, "queue_ms": 0, "leaving": True, "epoch": 77}
        self.answers = {"load": load, "requests": [REQUEST], "cache-events": EVENTS}
        report = await self.probe.load(self.engine)
        self.assertEqual((report.slots, report.leaving, report.epoch), (20, True, 77))
        self.assertEqual(await self.probe.requests(self.engine), [engine_request("r1")])
        events = await self.probe.cache_events(self.engine, 4)
        self.assertEqual(events.events[0].kind, CacheEventKind.STORED)
        self.assertEqual(self.received[-1][0], "/v1/cache-events?from=4")

    async def test_cancel_names_owner_and_attempt(self) -> None:
        """Guards against cancels that the engine cannot attribute to an owner and attempt."""
        self.answers = {"cancel": {}}
        await self.probe.cancel(self.engine, RequestId("r1"), AttemptNumber(2))
        expected = ("/v1/cancel", "host-a/1", {"request_id": "r1", "attempt": 2})
        self.assertEqual(self.received, [expected])

    async def test_faults_are_translated(self) -> None:
        """Guards against errors of lower layers that abort the poll of all engines."""
        refused = BackendServer(
            ServerId("gone"),
            "http://127.0.0.1:9",
            SERVICE,
            self.engine.pool,
            PoolRole.DECODE,
            self.engine.failure_domain,
        )
        for name, engine, answers in (
            ("status", self.engine, {}),
            ("shape", self.engine, {"load": [1]}),
            ("deep", self.engine, {"load": b'{"future":' + b"[" * 20_000 + b"]" * 20_000 + b"}"}),
            ("connection", refused, {}),
        ):
            with self.subTest(name):
                self.answers = answers
                with self.assertRaises(ProbeError):
                    await self.probe.load(engine)
