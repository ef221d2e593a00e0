"""Tests of requests whose caller has disconnected."""

from __future__ import annotations

import asyncio
import gzip
import random
import unittest
from typing import Any

from aiohttp import web
from multidict import CIMultiDict

from medlarvale.clock import SystemClock
from medlarvale.forwarding.caller_server import CallerServer
from medlarvale.forwarding.messages import ClientRequest
from medlarvale.forwarding.routes import RouteIndex
from tests.forwarding.fakes import make_request, make_route, make_table


class _Follower:
    def __init__(self) -> None:
        self.index = RouteIndex(make_table(make_route()))
        self.version = 1


class _ResetStreams:
    """Writes an event to a connection that the caller has reset."""

    async def forward(self, request: Any, route: Any, service: Any, sink: Any) -> None:
        await sink.start(200, CIMultiDict())
        sink.response._req.transport.abort()
        await sink.write(b"id: 1\ndata: token\n\n")


class CallerGoneTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_connection_reset_during_a_write_counts_as_caller_gone(self) -> None:
        """Guards against an error in the log, without a request id, for each connection that a
        caller resets during a stream."""
        finished: list[tuple[str, str]] = []
        server = CallerServer(
            _Follower(),  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            _ResetStreams(),  # type: ignore[arg-type]
            lambda incoming, body, received_ms: make_request(),
            SystemClock(),
            random.Random(1),
            lambda: True,
        )
        server.on_finished(lambda kind, outcome, took_ms: finished.append((kind, outcome)))
        runner = web.ServerRunner(server.build())
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        assert site._server is not None
        address = site._server.sockets[0].getsockname()  # type: ignore[attr-defined]
        with self.assertNoLogs("aiohttp.server"):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"GET /x HTTP/1.1\r\nHost: callers.example\r\n\r\n")
            await asyncio.wait_for(reader.readline(), 2.0)
            writer.close()
        await runner.cleanup()
        self.assertEqual(finished, [("stream", "caller_gone")])


class _EmptyStreams:
    """Answers each request with an empty stream."""

    async def forward(self, request: Any, route: Any, service: Any, sink: Any) -> None:
        await sink.start(200, CIMultiDict())
        await sink.finish()


class EncodedBodyTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_compressed_body_stays_as_it_is(self) -> None:
        """Guards against a server that gets a plain body under the header of a compressed one, and
        against small bodies that take much memory here."""
        compressed = gzip.compress(b"a" * 1_000_000)
        bodies: list[bytes] = []

        def decode(incoming: web.BaseRequest, body: bytes, received_ms: float) -> ClientRequest:
            bodies.append(body)
            return make_request()

        server = CallerServer(
            _Follower(),  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            _EmptyStreams(),  # type: ignore[arg-type]
            decode,
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
        head = "POST /x HTTP/1.1\r\nHost: callers.example\r\nContent-Encoding: gzip\r\n"
        head += f"Content-Length: {len(compressed)}"
        writer.write(head.encode() + b"\r\nConnection: close\r\n\r\n" + compressed)
        await asyncio.wait_for(reader.read(), 5.0)
        writer.close()
        self.assertEqual(list(map(len, bodies)), [len(compressed)])
        self.assertTrue(bodies == [compressed])
