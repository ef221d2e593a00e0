"""Tests of the bounds on connections, without a network."""

from __future__ import annotations

import asyncio
import time
import unittest
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from medlarvale.forwarding.messages import RequestLimits
from medlarvale.uploads.body_budget import BodyBudget
from medlarvale.uploads.bounds import Uploads
from medlarvale.uploads.connection_table import (
    DEFAULT_CONNECTIONS,
    ConnectionTable,
    max_caller_connections,
)
from medlarvale.uploads.connections import HEAD_COPIES, CallerConnection
from medlarvale.uploads.reader import MAX_HEAD_BYTES
from medlarvale.uploads.servers import CallerConnectionServer

HEADER_TIMEOUT_MS = 30.0
LIMITS = RequestLimits(16_384, 1_000_000, HEADER_TIMEOUT_MS, HEADER_TIMEOUT_MS)
EVENT_LIMIT_S = 10.0
HEAD = b"POST /x HTTP/1.1\r\nHost: callers.example\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LONG_LINE = b"X-Long: " + b"x" * (MAX_HEAD_BYTES // 3) + b"\r\n"
LARGE_BYTES = 300_000


class TableTest(unittest.TestCase):
    def test_which_connection_is_closed(self) -> None:
        """Guards against closing a connection that serves, or one that has served lately."""
        # Steps on connections before one is opened beyond the bound, and the one that is closed.
        cases: dict[str, tuple[list[tuple[str, str]], str]] = {
            "the first": ([], "a"),
            "the one that served longest ago": ([("begin", "a"), ("end", "a")], "b"),
            "none that is served": ([("begin", "a"), ("begin", "b")], "c"),
            "one that was served again": (
                [("begin", "b"), ("end", "b"), ("begin", "a"), ("end", "a"), ("begin", "c")],
                "b",
            ),
            "the new one, if all are served": ([("begin", name) for name in "abc"], "d"),
        }
        for name, (steps, closed) in cases.items():
            with self.subTest(name):
                table: ConnectionTable[str] = ConnectionTable(3)
                for connection in "abc":
                    self.assertIsNone(table.open(connection))
                for step, connection in steps:
                    getattr(table, step)(connection)
                self.assertEqual(table.open("d"), closed)
                self.assertEqual(len(table), 3)

    def test_what_was_closed_takes_no_place(self) -> None:
        """Guards against connections that count after their end."""
        table: ConnectionTable[int] = ConnectionTable(2)
        for connection in range(10):
            self.assertIsNone(table.open(connection))
            table.begin(connection)
            table.close(connection)
            table.end(connection)
        self.assertEqual(len(table), 0)

    def test_bounds_by_descriptors(self) -> None:
        """Guards against connections that leave no descriptors for files and servers."""
        cases = {None: DEFAULT_CONNECTIONS, 1_638: 1_078, 300: 75, 100: 1}
        for max_descriptors, connections in cases.items():
            with self.subTest(max_descriptors):
                self.assertEqual(max_caller_connections(max_descriptors), connections)


class RecordingTransport(asyncio.Transport):
    """Transport that records what is written and whether it was closed."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.unread_bytes = 0
        self.begun = asyncio.Event()
        self.ended = asyncio.Event()
        self.aborted = asyncio.Event()
        self.paused = False
        self.resumed = asyncio.Event()

    def write(self, data: Any) -> None:
        self.written += data
        self.begun.set()

    def get_write_buffer_size(self) -> int:
        return self.unread_bytes

    def is_closing(self) -> bool:
        return self.ended.is_set()

    def close(self) -> None:
        self.ended.set()

    def abort(self) -> None:
        self.ended.set()
        self.aborted.set()

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False
        self.resumed.set()


@dataclass(frozen=True)
class Sent:
    """What a caller sends, and whether its connection is then closed by the host."""

    parts: list[bytes]
    is_closed: bool
    refusal: bytes = b""


CASES = {
    "nothing": Sent([], False),
    "a part of a head": Sent([HEAD], True),
    "line breaks before a head": Sent([b"\r\n", b"\r\n"], False),
    "line breaks and a part of a head": Sent([b"\r\n", HEAD], True),
    "line breaks without an end": Sent([b"\r\n" * MAX_HEAD_BYTES], True, b"HTTP/1.1 431 "),
    "a head in two parts": Sent([HEAD, b"Content-Length: 0\r\n\r\n"], False),
    "a head too large": Sent([HEAD, *[LONG_LINE] * 4], True, b"HTTP/1.1 431 "),
    "a part of a body": Sent([HEAD + b"Content-Length: 9\r\n\r\n", b"a"], False),
    "trailers": Sent([CHUNKED, b"1\r\na\r\n0\r\n", *[LONG_LINE] * 4], True),
    "a chunk extension": Sent([CHUNKED, b"1;", *[b"e" * 10_000] * 4], True),
    "many chunks": Sent([CHUNKED, *[b"1\r\na\r\n" * 1_000] * 20], False),
    "a large body": Sent(
        [HEAD + b"Content-Length: 900000\r\n\r\n", *[b"a" * LARGE_BYTES] * 2], False
    ),
}


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    def build(self, limit_bytes: int = 1_000_000, max_connections: int = 2) -> None:
        budget = BodyBudget(limit_bytes, lambda: time.monotonic() * 1000.0)
        self.uploads = Uploads(budget, max_connections)
        self.handled = asyncio.Event()
        self.may_answer = asyncio.Event()

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            self.handled.set()
            await self.may_answer.wait()
            return web.Response(body=b"a" * LARGE_BYTES)

        self.server = CallerConnectionServer(
            handle,
            self.uploads,
            lambda: LIMITS,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
        )

    async def connect(self) -> tuple[CallerConnection, RecordingTransport]:
        connection, transport = self.server.new_connection(), RecordingTransport()
        connection.connection_made(transport)
        self.addCleanup(connection.connection_lost, None)
        await asyncio.sleep(0)
        return connection, transport

    async def feed(self, connection: CallerConnection, parts: list[bytes]) -> None:
        for part in parts:
            connection.data_received(part)
            await asyncio.sleep(0)

    async def test_what_callers_leave_open(self) -> None:
        """Guards against heads and trailers without an end, and connections closed without need."""
        for name, sent in CASES.items():
            with self.subTest(name):
                self.build()
                connection, transport = await self.connect()
                await self.feed(connection, sent.parts)
                if sent.is_closed:
                    await asyncio.wait_for(transport.ended.wait(), EVENT_LIMIT_S)
                else:
                    await asyncio.sleep(3.0 * HEADER_TIMEOUT_MS / 1000.0)
                    self.assertFalse(transport.ended.is_set())
                self.assertEqual(transport.written[: len(b"HTTP/1.1 431 ")], sent.refusal)

    async def test_requests_behind_one_that_is_answered_late_are_counted(self) -> None:
        """Guards against bodies that nobody reads yet and nobody counts."""
        self.build(limit_bytes=LARGE_BYTES)
        connection, transport = await self.connect()
        await self.feed(connection, [HEAD + b"Content-Length: 0\r\n\r\n"])
        await asyncio.wait_for(self.handled.wait(), EVENT_LIMIT_S)
        behind = HEAD + b"Content-Length: 900000\r\n\r\n" + b"a" * 100_000
        connection.data_received(behind)
        self.assertEqual(self.uploads.budget.held_bytes, len(behind))
        connection.data_received(b"a" * LARGE_BYTES)
        self.assertTrue(transport.ended.is_set())

    async def test_an_answer_counts_until_it_is_taken(self) -> None:
        """Guards against answers that callers do not read and that take memory without a bound."""
        self.build()
        connection, transport = await self.connect()
        connection.pause_writing()
        self.may_answer.set()
        transport.unread_bytes = LARGE_BYTES
        await self.feed(connection, [HEAD + b"Content-Length: 0\r\n\r\n"])
        await asyncio.wait_for(self.handled.wait(), EVENT_LIMIT_S)
        await asyncio.wait_for(transport.begun.wait(), EVENT_LIMIT_S)
        self.assertEqual(self.uploads.budget.held_bytes, LARGE_BYTES)
        # Nothing of it is taken for the idle timeout.
        await asyncio.wait_for(transport.ended.wait(), EVENT_LIMIT_S)

    async def test_a_closed_connection_whose_answer_is_not_taken_ends(self) -> None:
        """Guards against sockets that stay open for good, since closing waits for the caller."""
        for name, next_bytes in {"the answer closes": b"", "the next head does": HEAD}.items():
            with self.subTest(name):
                self.build()
                connection, transport = await self.connect()
                transport.unread_bytes = 1_000
                self.may_answer.set()
                line = b"" if next_bytes else b"Connection: close\r\n"
                await self.feed(connection, [HEAD + line + b"Content-Length: 0\r\n\r\n"])
                await asyncio.wait_for(transport.begun.wait(), EVENT_LIMIT_S)
                await self.feed(connection, [next_bytes])
                await asyncio.wait_for(transport.aborted.wait(), EVENT_LIMIT_S)

    async def test_a_connection_that_is_being_closed_can_be_aborted(self) -> None:
        """Guards against connections beyond the bound that are closed and stay open."""
        self.build()
        connection, transport = await self.connect()
        connection.force_close()
        connection.abort()
        self.assertTrue(transport.aborted.is_set())

    async def test_a_connection_whose_refusal_is_not_taken_ends(self) -> None:
        """Guards against sockets that stay open for good after something else than an answer."""
        self.build()
        connection, transport = await self.connect()
        transport.unread_bytes = 1_000
        connection.force_close()
        self.assertFalse(transport.aborted.is_set())
        await asyncio.wait_for(transport.aborted.wait(), EVENT_LIMIT_S)

    async def test_incomplete_heads_are_bounded_together(self) -> None:
        """Guards against heads that each stay below their bound and take all memory together."""
        self.build(limit_bytes=HEAD_COPIES * MAX_HEAD_BYTES, max_connections=100)
        connections = [await self.connect() for _ in range(10)]
        for connection, _ in connections:
            connection.data_received(HEAD + LONG_LINE)
            connection.data_received(LONG_LINE)
        self.assertLessEqual(self.uploads.head_bytes, HEAD_COPIES * MAX_HEAD_BYTES)
        closed = [transport.ended.is_set() for _, transport in connections]
        # One is left: two take more than the limit.
        self.assertEqual(closed, [True] * 9 + [False])

    async def test_connections_beyond_the_bound(self) -> None:
        """Guards against idle connections that shut others out."""
        self.build()
        transports = [(await self.connect())[1] for _ in range(3)]
        self.assertEqual([t.ended.is_set() for t in transports], [True, False, False])
        self.assertEqual(self.uploads.gauges()["caller_connections_closed"], 1)


if __name__ == "__main__":
    unittest.main()
