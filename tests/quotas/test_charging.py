"""Tests of requests of callers that are charged to the quota of their workspace."""

from __future__ import annotations

import asyncio
import random
import unittest
from typing import Any

import aiohttp
import msgspec
from aiohttp import web
from multidict import CIMultiDict

from medlarvale.clock import ManualClock, SystemClock
from medlarvale.forwarding.caller_server import CallerServer
from medlarvale.forwarding.errors import OutcomeUnknownError, OverloadedError
from medlarvale.forwarding.fleet import FleetView
from medlarvale.forwarding.messages import ClientRequest, Quota, QuotaUnit, TokenCounts, Workspace
from medlarvale.forwarding.routes import RouteIndex
from medlarvale.ids import HostId, HostIdentity, Incarnation, WorkspaceId
from medlarvale.quotas.charging import RequestCharges, amount_of
from tests.forwarding.fakes import make_request, make_route, make_table

PAID = WorkspaceId("paid")
QUOTA = Quota(1_000.0, 8_000.0, QuotaUnit.TOKENS, 300)


class _Follower:
    version = 1

    def __init__(self) -> None:
        self.index = RouteIndex(
            msgspec.structs.replace(
                make_table(make_route()),
                workspaces=(Workspace(PAID, (), None, QUOTA), Workspace(WorkspaceId("free"), ())),
            )
        )


class _OpenGate:
    """Accepts each request with the workspace that the test has set."""

    def admit(self, request: Any, route: Any, table: Any) -> None:
        pass


class _NoTransport:
    """Fails on any message; the host under test is the only one."""

    def register(self, message_type: Any, handler: Any) -> None:
        pass

    async def request(self, peer: Any, message: Any, timeout_ms: float) -> Any:
        raise AssertionError("a message was sent")


class _Streams:
    """Counts what is sent, and fails as the test wants."""

    def __init__(self) -> None:
        self.sent = 0
        self.error: Exception | None = None
        self.runs = 0
        self.hang = False

    async def forward(self, request: Any, route: Any, service: Any, sink: Any) -> None:
        self.sent += 1
        request.possible_runs += self.runs
        if self.hang:
            await asyncio.sleep(60.0)
        if self.error is not None:
            raise self.error
        await sink.start(200, CIMultiDict())
        await sink.finish()


class ChargingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.streams = _Streams()
        self.workspace: WorkspaceId | None = PAID
        self.prompt_tokens = 2_500
        view = FleetView(HostIdentity(HostId("a"), Incarnation(1)), "a:1", [])
        follower: Any = _Follower()
        self.clock = ManualClock()
        # Time passes only in steps of the test, so that nothing accrues between two requests.
        self.charges = RequestCharges(
            follower, view, _NoTransport(), self.clock, random.Random(1), 0.25
        )
        server = CallerServer(
            follower,
            None,  # type: ignore[arg-type]
            self.streams,  # type: ignore[arg-type]
            lambda incoming, body, received_ms: self._request(),
            SystemClock(),
            random.Random(1),
            lambda: True,
            gate=_OpenGate(),  # type: ignore[arg-type]
            quotas=self.charges,
        )
        self.runner = web.ServerRunner(server.build())
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        self.url = f"http://127.0.0.1:{self.runner.addresses[0][1]}/x"
        self.session = aiohttp.ClientSession()

    async def asyncTearDown(self) -> None:
        await self.session.close()
        await self.runner.cleanup()

    def _request(self) -> ClientRequest:
        return make_request(
            workspace=self.workspace,
            received_ms=self.clock.now_ms(),
            tokens=TokenCounts(self.prompt_tokens, 500),
        )

    async def _statuses(self, number: int) -> list[int]:
        statuses = []
        for _ in range(number):
            async with self.session.get(self.url) as response:
                await response.read()
                statuses.append(response.status)
        return statuses

    async def test_a_workspace_over_its_quota_gets_429_and_nothing_is_sent(self) -> None:
        """Guards against requests that run beyond the quota, and against a refusal that does not
        tell its caller that it has not run and when to return."""
        # Half of the burst, then a request may go below zero by a quarter of the burst.
        self.assertEqual(await self._statuses(2), [200, 200])
        async with self.session.get(self.url) as response:
            self.assertEqual(response.status, 429)
            self.assertEqual(await response.text(), "quota_exceeded")
            self.assertLessEqual(float(response.headers["Retry-After"]), 5.0 / 3.0)
            self.assertGreater(float(response.headers["Retry-After"]), 0.0)
        self.assertEqual(self.streams.sent, 2)
        self.assertEqual(self.charges.gauges()["quota_refusals"], 1)

    async def test_a_request_that_no_quota_can_hold(self) -> None:
        """Guards against token counts of a caller that block its workspace for hours, or that give
        its later requests a whole window at once when they are credited."""
        self.streams.error = OverloadedError("full")
        for self.prompt_tokens in (10**12, 10**18):
            with self.subTest(self.prompt_tokens):
                self.assertEqual(await self._statuses(1), [429])
                self.assertEqual(self.streams.sent, 0)
        self.streams.error, self.prompt_tokens = None, 2_500
        self.assertEqual(await self._statuses(2), [200, 200])

    async def test_requests_without_a_quota_are_not_counted(self) -> None:
        """Guards against any cost or refusal where the configuration has no quota."""
        for self.workspace in (None, WorkspaceId("free"), WorkspaceId("unlisted")):
            with self.subTest(self.workspace):
                self.assertEqual(await self._statuses(5), [200] * 5)
        self.assertEqual(self.charges.gauges()["quota_grants"], 0)

    async def test_quota_of_requests_that_did_not_run_is_given_back(self) -> None:
        """Guards against a workspace that pays for requests that were refused later, and against
        quota given back for a request that may have run."""
        table = [
            ("refused", OverloadedError("full"), 0, 503, True),
            ("refused by a server", OverloadedError("full"), 1, 503, True),
            ("unknown", OutcomeUnknownError("lost"), 1, 502, False),
        ]
        for name, error, runs, status, given_back in table:
            with self.subTest(name):
                await self.asyncTearDown()
                await self.asyncSetUp()
                self.streams.error, self.streams.runs = error, runs
                expected = [status] * 6 if given_back else [status] * 2 + [429] * 4
                self.assertEqual(await self._statuses(6), expected)

    async def test_a_caller_that_leaves_before_its_request_is_sent_pays_nothing(self) -> None:
        """Guards against callers that disconnect and use up the quota of their workspace."""
        self.streams.hang = True
        for _ in range(4):
            with self.assertRaises(TimeoutError):
                await self.session.get(self.url, timeout=aiohttp.ClientTimeout(0.1))
        self.streams.hang = False
        self.assertEqual(await self._statuses(1), [200])

    def test_amounts(self) -> None:
        """Guards against a request that is counted in the wrong unit."""
        table = [
            (QUOTA, TokenCounts(2_000, 500, 30), 2_500.0),
            (QUOTA, None, 300.0),
            (Quota(5.0, 5.0), TokenCounts(2_000, 500), 1.0),
            (Quota(5.0, 5.0), None, 1.0),
        ]
        for quota, tokens, amount in table:
            with self.subTest(quota=quota, tokens=tokens):
                self.assertEqual(amount_of(quota, make_request(tokens=tokens)), amount)
