"""Tests of connections on which the parser has failed, without a network."""

from __future__ import annotations

import asyncio
import gc
import re
import time
import unittest
from dataclasses import dataclass

from aiohttp import web

from medlarvale.forwarding.messages import RequestLimits
from medlarvale.uploads.body_budget import BodyBudget
from medlarvale.uploads.bounds import Uploads
from medlarvale.uploads.connections import FREE_FRAMING_BYTES, CallerConnection
from medlarvale.uploads.errors import MalformedHttpError
from medlarvale.uploads.reader import MAX_HEAD_BYTES, read_body
from medlarvale.uploads.servers import CallerConnectionServer
from tests.uploads.test_connections import CHUNKED, HEAD, RecordingTransport

LIMITS = RequestLimits(16_384, 1_000_000, 60_000.0, 60_000.0)
EVENT_LIMIT_S = 10.0
PIECE = b"h" * MAX_HEAD_BYTES


class _Bytes(bytes):
    """Bytes that tell when they are freed."""

    freed = 0

    def __del__(self) -> None:
        type(self).freed += 1


@dataclass(frozen=True)
class Failure:
    """What a caller sends before the parser fails, and the status of the refusal."""

    parts: list[bytes]
    status: int


FAILURES = {
    "a header value": Failure([HEAD + b"X: ", PIECE], 431),
    "a header name": Failure([HEAD, PIECE], 431),
    "a request line": Failure([b"GET /", PIECE], 431),
    "a method": Failure([PIECE], 400),
    "no HTTP": Failure([bytes(range(256)) * 16], 400),
    "the size of a chunk": Failure([CHUNKED, b"8000000000000000000\r\n"], 400),
    "a chunk without its end": Failure([CHUNKED, b"1\r\naa"], 400),
}


def statuses(written: bytes) -> list[int]:
    """Returns the statuses of all answers."""
    return [int(status) for status in re.findall(rb"HTTP/1\.[01] (\d+) ", written)]


class RefusedConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.uploads = Uploads(BodyBudget(1_000_000, lambda: time.monotonic() * 1000.0), 10)
        self.handled: list[str] = []

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            connection = request.protocol
            assert isinstance(connection, CallerConnection)
            try:
                body = await read_body(request, connection.upload, LIMITS)
            except MalformedHttpError as error:
                response = connection.refusal(error)
                response.force_close()
                return response
            self.handled.append(request.path)
            return web.Response(body=body)

        self.server = CallerConnectionServer(
            handle,
            self.uploads,
            lambda: LIMITS,
            max_line_size=LIMITS.max_header_bytes,
            max_field_size=LIMITS.max_header_bytes,
            access_log=None,
        )

    async def connect(self) -> tuple[CallerConnection, RecordingTransport]:
        connection, transport = self.server.new_connection(), RecordingTransport()
        connection.connection_made(transport)
        self.addCleanup(connection.connection_lost, None)
        await asyncio.sleep(0)
        return connection, transport

    async def test_one_refusal_and_nothing_after_it(self) -> None:
        """Guards against a parser that fails again with each further piece, against memory that
        stays until a garbage collection, and against a refused request that is still handled."""
        for name, failure in FAILURES.items():
            with self.subTest(name):
                connection, transport = await self.connect()
                refused_before = self.uploads.heads_refused
                for part in failure.parts:
                    connection.data_received(part)
                gc.collect()
                gc.disable()
                try:
                    _Bytes.freed = 0
                    for _ in range(100):
                        connection.data_received(_Bytes(PIECE))
                        await asyncio.sleep(0)
                    # The last piece may still wait for its turn.
                    await asyncio.sleep(0.01)
                    self.assertEqual(_Bytes.freed, 100)
                finally:
                    gc.enable()
                await asyncio.wait_for(transport.ended.wait(), EVENT_LIMIT_S)
                self.assertEqual(statuses(transport.written), [failure.status])
                self.assertEqual(self.uploads.heads_refused - refused_before, 1)
                # What the caller sent is not repeated.
                self.assertLess(len(transport.written), 500)
                self.assertEqual(self.handled, [])

    async def test_the_piece_that_fails_is_freed(self) -> None:
        """Guards against an error whose traceback keeps what was read until a collection."""
        for name, failure in FAILURES.items():
            with self.subTest(name):
                connection, _ = await self.connect()
                *first, last = failure.parts
                for part in first:
                    connection.data_received(part)
                gc.collect()
                gc.disable()
                try:
                    _Bytes.freed = 0
                    connection.data_received(_Bytes(last))
                    self.assertEqual(_Bytes.freed, 1)
                finally:
                    gc.enable()

    async def test_requests_before_the_error_are_answered(self) -> None:
        """Guards against a refusal that overtakes the answer of an earlier request."""
        connection, transport = await self.connect()
        connection.data_received(b"GET /first HTTP/1.1\r\nHost: a\r\n\r\n")
        connection.data_received(b"\x00")
        await asyncio.wait_for(transport.ended.wait(), EVENT_LIMIT_S)
        self.assertEqual((statuses(transport.written), self.handled), ([200, 400], ["/first"]))

    async def test_many_tiny_chunks_wait_for_turns(self) -> None:
        """Guards against one body that takes the event loop, and against losing a part of it."""
        connection, transport = await self.connect()
        connection.data_received(CHUNKED)
        count, chunks = 0, b"1\r\na\r\n" * 500
        while not self.uploads.pacer.waiting:
            self.assertLessEqual(5 * (count - 500), FREE_FRAMING_BYTES)
            await asyncio.sleep(0)
            connection.data_received(chunks)
            count += 500
        self.assertTrue(transport.paused)
        transport.resumed.clear()
        await asyncio.wait_for(transport.resumed.wait(), EVENT_LIMIT_S)
        connection.data_received(b"0\r\n\r\n")
        await asyncio.wait_for(transport.begun.wait(), EVENT_LIMIT_S)
        self.assertTrue(transport.written.endswith(b"a" * count))


if __name__ == "__main__":
    unittest.main()
