"""Tests that each request that was read gets an answer, whatever ends its handler."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from multidict import CIMultiDict

from medlarvale.clock import SystemClock
from medlarvale.forwarding.caller_server import CallerServer
from medlarvale.forwarding.routes import RouteIndex
from tests.forwarding.fakes import make_request, make_route, make_table

EVENT = b"id: 1\ndata: token\n\n"
WAIT_S = 2.0
Step = Callable[[], Awaitable[None]]


async def _raise(error: BaseException) -> None:
    raise error


async def _wait_for_a_cancelled_task() -> None:
    """Waits for a task of another request that is cancelled."""
    task = asyncio.ensure_future(asyncio.sleep(WAIT_S))
    asyncio.get_running_loop().call_later(0.05, task.cancel)
    await task


class _Streams:
    """Sends an event, if asked to, and then fails."""

    def __init__(self, step: Step, *, begins: bool) -> None:
        self._step = step
        self._begins = begins

    async def forward(self, request: Any, route: Any, service: Any, sink: Any) -> None:
        if self._begins:
            await sink.start(200, CIMultiDict())
            await sink.write(EVENT)
        await self._step()


class _Follower:
    def __init__(self) -> None:
        self.index = RouteIndex(make_table(make_route()))
        self.version = 1


class UnexpectedEndTest(unittest.IsolatedAsyncioTestCase):
    async def call(self, streams: _Streams) -> bytes:
        """Returns all that a caller receives until its connection ends or is kept."""
        server = CallerServer(
            _Follower(),  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            streams,  # type: ignore[arg-type]
            lambda incoming, body, received_ms: make_request(),
            SystemClock(),
            random.Random(1),
            lambda: True,
        )
        runner = web.ServerRunner(server.build())
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        assert site._server is not None
        address = site._server.sockets[0].getsockname()  # type: ignore[attr-defined]
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"GET /x HTTP/1.1\r\nHost: callers.example\r\nConnection: close\r\n\r\n")
        received = b""
        try:
            async with asyncio.timeout(WAIT_S):
                while chunk := await reader.read(65_536):
                    received += chunk
        except ConnectionResetError:
            pass
        writer.close()
        return received

    async def test_a_handler_that_fails_answers(self) -> None:
        """Guards against a request that was read and ends with neither an answer nor a refusal
        (LOST), and against an error that looks like a success (MIXED)."""
        table: list[tuple[str, Step]] = [
            ("unexpected error", lambda: _raise(KeyError("service"))),
            ("recursion", lambda: _raise(RecursionError())),
            ("a task shared by requests is cancelled", _wait_for_a_cancelled_task),
            ("time-out of something else", lambda: _raise(TimeoutError())),
            ("connection error of something else", lambda: _raise(ConnectionResetError("store"))),
        ]
        for name, step in table:
            with self.subTest(name):
                answer = await self.call(_Streams(step, begins=False))
                self.assertTrue(answer.startswith(b"HTTP/1.1 500 "), answer)
                self.assertTrue(answer.endswith(b"\r\n\r\nunexpected_error"), answer)
            with self.subTest(name, begins=True):
                answer = await self.call(_Streams(step, begins=True))
                self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer)
                self.assertIn(EVENT, answer)
                self.assertNotIn(b"\r\n0\r\n", answer, "the stream must not look complete")


if __name__ == "__main__":
    unittest.main()
