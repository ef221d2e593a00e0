"""Tests of calls to plain services: retries, at-most-once execution and errors for callers."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from medlarvale.forwarding.errors import (
    BackendError,
    NotSentError,
    OutcomeUnknownError,
    OverloadedError,
    RejectedError,
    RequestTimeoutError,
)
from medlarvale.forwarding.messages import ClientRequest, Dispatch, RouteKind, Server
from medlarvale.forwarding.plain import PlainForwarder, Reply
from medlarvale.ids import ServerId
from tests.forwarding.fakes import (
    APP,
    FakeAnswer,
    FakeBackends,
    make_context,
    make_request,
    make_route,
    make_server,
)

Outcomes = list[FakeAnswer | Exception]


def ok(body: bytes = b"done", *, status: int = 200, signed: bool = True) -> FakeAnswer:
    return FakeAnswer([body], status=status, signed=signed, event_stream=False)


class PlainForwarderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.backends = FakeBackends()
        servers = [make_server(name, service=APP) for name in ("s1", "s2", "s3")]
        self.context = make_context(self.backends, *servers)

    def answer(self, outcomes: Outcomes) -> None:
        remaining = list(outcomes)

        def script(server: Server, request: ClientRequest, dispatch: Dispatch) -> Any:
            return remaining.pop(0)

        self.backends.script = script

    async def forward(self, kind: RouteKind, max_attempts: int = 2, **route: Any) -> Reply:
        made = make_route(kind=kind, max_attempts=max_attempts, **route)
        return await PlainForwarder(self.context).forward(make_request(), made, APP)

    async def test_calls_wait_for_a_limit_or_are_refused(self) -> None:
        """Guards against refusals of calls that the only server takes a moment later, and against
        calls that wait although its limit admits them too late."""
        table = [("soon", 10.0, 200), ("too late", 0.5, 503)]
        for name, limit_per_s, expected in table:
            with self.subTest(name):
                self.backends = FakeBackends()
                self.context = make_context(self.backends, make_server("s1", service=APP))
                self.answer([ok()])
                now_ms = self.context.clock.now_ms()
                self.context.servers.limits.note(ServerId("s1"), limit_per_s, now_ms)
                # The limit has just been named, so the next request has to wait.
                if expected == 200:
                    await self.forward(RouteKind.UNSAFE, target_latency_ms=900.0)
                    waited_ms = self.context.clock.now_ms() - now_ms
                    self.assertGreaterEqual(waited_ms, 1000.0 / limit_per_s - 1.0)
                    continue
                with self.assertRaises(OverloadedError) as raised:
                    await self.forward(RouteKind.UNSAFE, target_latency_ms=900.0)
                self.assertEqual(self.backends.count("send"), 0)
                self.assertGreater(raised.exception.retry_after_ms or 0, 900)

    async def test_only_safe_or_unrun_calls_are_retried(self) -> None:
        """Guards against a booking that runs twice, and a lookup that fails although a retry is
        possible."""
        lost = BackendError("reset")
        table: list[tuple[str, RouteKind, int, Outcomes, int | type[Exception], int]] = [
            ("safe, answer lost", RouteKind.SAFE, 2, [lost, ok()], 200, 2),
            ("safe, server error", RouteKind.SAFE, 2, [ok(status=500), ok()], 200, 2),
            ("safe, all fail", RouteKind.SAFE, 2, [ok(status=500), ok(status=500)], 500, 2),
            ("safe, one attempt", RouteKind.SAFE, 1, [lost], OutcomeUnknownError, 1),
            ("unsafe, answer lost", RouteKind.UNSAFE, 3, [lost], OutcomeUnknownError, 1),
            ("unsafe, server error", RouteKind.UNSAFE, 3, [ok(status=500)], 500, 1),
            ("unsafe, not run", RouteKind.UNSAFE, 2, [RejectedError(), ok()], 200, 2),
            ("unsafe, one unreachable", RouteKind.UNSAFE, 1, [NotSentError(), ok()], 200, 2),
            ("unsafe, one full", RouteKind.UNSAFE, 1, [RejectedError(), ok()], 200, 2),
            ("unsafe, all full", RouteKind.UNSAFE, 1, [RejectedError()] * 3, OverloadedError, 3),
            (
                "unsafe, all unreachable",
                RouteKind.UNSAFE,
                1,
                [NotSentError()] * 3,
                OverloadedError,
                3,
            ),
            ("no signature", RouteKind.UNSAFE, 2, [ok(signed=False)], OutcomeUnknownError, 1),
            (
                "full, then lost",
                RouteKind.UNSAFE,
                2,
                [RejectedError(), lost],
                OutcomeUnknownError,
                2,
            ),
        ]
        for name, kind, attempts, outcomes, expected, sends in table:
            with self.subTest(name):
                self.setUp()
                self.answer(outcomes)
                if isinstance(expected, int):
                    self.assertEqual((await self.forward(kind, attempts)).status, expected)
                else:
                    with self.assertRaises(expected):
                        await self.forward(kind, attempts)
                self.assertEqual(self.backends.count("send"), sends)

    async def test_an_exhausted_budget_prevents_retries(self) -> None:
        """Guards against retries that amplify an overload."""
        self.context = make_context(
            self.backends, *(make_server(n, service=APP) for n in ("s1", "s2")), reserve=0.0
        )
        self.answer([ok(status=500), ok()])
        self.assertEqual((await self.forward(RouteKind.SAFE)).status, 500)

    async def test_a_slow_safe_call_is_sent_to_a_second_server(self) -> None:
        """Guards against a lookup that waits for a hanging server, and against discarding a late
        answer of the first server."""
        table = [("second is faster", [2.0, 0.0], b"1"), ("first is faster", [0.15, 2.0], b"0")]
        for name, delays, expected in table:
            with self.subTest(name):
                self.setUp()
                chunks = [[delay_s, b"%d" % number] for number, delay_s in enumerate(delays)]
                self.answer([FakeAnswer(part, event_stream=False) for part in chunks])
                reply = await self.forward(RouteKind.SAFE, target_latency_ms=100.0)
                self.assertEqual(reply.body, expected)
                self.assertEqual(self.backends.count("send"), 2)

    async def test_the_route_timeout_ends_a_call(self) -> None:
        """Guards against callers that wait longer than the configured timeout."""
        self.answer([FakeAnswer([9.0, b"late"])])
        with self.assertRaises(RequestTimeoutError):
            await self.forward(RouteKind.UNSAFE, 1, timeout_ms=150.0)

    async def test_attempts_are_cancelled_when_the_caller_leaves(self) -> None:
        answer = FakeAnswer([9.0, b"late"])
        self.answer([answer])
        task = asyncio.create_task(self.forward(RouteKind.UNSAFE, 1))
        await asyncio.sleep(0.02)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(0)
        self.assertTrue(answer.closed)
        self.assertEqual(
            [load.in_flight for load in self.context.servers.of_service(APP)], [0, 0, 0]
        )
