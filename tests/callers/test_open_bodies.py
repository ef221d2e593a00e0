"""Tests of many bodies that stay open at the callers' interface."""

from __future__ import annotations

import asyncio
import unittest

from tests.callers.support import CallerTestCase

BODY_BYTES = 100_000
EVENT_LIMIT_S = 10.0
HEAD = (
    b"POST /services/udlaan-app/stock HTTP/1.1\r\nHost: x\r\nX-Workspace: glatfore\r\n"
    b"Idempotency-Key: key-%d\r\nContent-Length: %d\r\n\r\n"
)


class OpenBodiesTest(CallerTestCase):
    values = {"max_body_bytes": BODY_BYTES}
    upload_limit_bytes = 2 * BODY_BYTES

    async def open_body(self, number: int) -> asyncio.StreamReader:
        """Sends all of a body but its last byte."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        writer.write(HEAD % (number, BODY_BYTES) + b"b" * (BODY_BYTES - 1))
        await writer.drain()
        return reader

    async def test_stalled_bodies_give_way(self) -> None:
        """Guards against bodies that together take memory without a bound."""
        readers = [await self.open_body(number) for number in range(5)]
        heads = [asyncio.create_task(reader.readuntil(b"\r\n\r\n")) for reader in readers]
        async with asyncio.timeout(EVENT_LIMIT_S):
            while sum(head.done() for head in heads) < 3:
                await asyncio.wait(
                    [head for head in heads if not head.done()],
                    return_when=asyncio.FIRST_COMPLETED,
                )
        refused = [head.result() for head in heads if head.done()]
        for head in heads:
            head.cancel()
        self.assertGreaterEqual(len(refused), 3)
        for head_bytes in refused:
            self.assertTrue(head_bytes.startswith(b"HTTP/1.1 503 "), head_bytes)
            self.assertIn(b"X-Outcome: not_run", head_bytes)
            self.assertIn(b"Connection: close", head_bytes)
        self.assertLessEqual(self.uploads.held_bytes, 2 * BODY_BYTES)
        self.assert_nothing_dispatched()

    async def test_what_has_ended_is_not_counted(self) -> None:
        """Guards against an interface that refuses bodies because of requests that have ended."""
        for number in range(5):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(HEAD % (number, BODY_BYTES) + b"b" * BODY_BYTES)
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), EVENT_LIMIT_S)
            writer.close()
            self.assertTrue(head.startswith(b"HTTP/1.1 201 "), head)
        self.assertEqual(self.uploads.held_bytes, 0)


if __name__ == "__main__":
    unittest.main()
