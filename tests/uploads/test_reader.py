"""Tests of reading a body within the limits, without a network."""

from __future__ import annotations

import asyncio
import time
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from medlarvale.errors import MedlarvaleError, Outcome
from medlarvale.forwarding.messages import RequestLimits
from medlarvale.uploads.body_budget import BodyBudget, Upload
from medlarvale.uploads.reader import MAX_HEAD_BYTES, PART_BYTES, read_body

LIMITS = RequestLimits(16_384, 1_000_000, 3_000.0, 20.0)
BUDGET_BYTES = 2_000_000
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class _Content:
    """Body whose pieces arrive at once; after them comes its end, or nothing."""

    def __init__(self, pieces: list[bytes], ends: bool, before_end: Callable[[], None]) -> None:
        self.pieces = list(pieces)
        self._ends = ends
        self._before_end = before_end

    async def readany(self) -> bytes:
        if self.pieces:
            return self.pieces.pop(0)
        self._before_end()
        if not self._ends:
            await asyncio.Event().wait()
        return b""


class _Incoming:
    """What a request has that the reader uses."""

    def __init__(self, content: _Content, length: int | None, raw_headers: Any) -> None:
        self.content = content
        self.content_length = length
        self.raw_headers = raw_headers
        self.headers = {"Expect": "100-continue"}
        self.written: list[bytes] = []
        self.writer = self

    async def write(self, data: bytes) -> None:
        self.written.append(data)


@dataclass(frozen=True)
class Case:
    """A request and the status with which it is refused; 0 if its body is read."""

    status: int
    pieces: list[bytes] = field(default_factory=list)
    length: int | None = None
    ends: bool = True
    is_dropped: bool = False
    forwarding_bytes: int = 0
    head_bytes: int = 0


CASES = {
    "empty": Case(0, []),
    "declared": Case(0, [b"a" * 1_000_000], 1_000_000),
    "chunked, large and small pieces": Case(0, [b"a" * PART_BYTES, b"b", b"c" * PART_BYTES, b"d"]),
    "chunked, many small pieces": Case(0, [b"%d" % number for number in range(30_000)]),
    "small beside forwarded ones": Case(0, [b"a"], 1, forwarding_bytes=BUDGET_BYTES),
    "declared beyond the limit": Case(413, [b"a"], 1_000_001),
    "chunked beyond the limit": Case(413, [b"a" * 600_000] * 2),
    "headers too large": Case(431, [b"a"], 1, head_bytes=MAX_HEAD_BYTES),
    "no room for the length": Case(503, [b"a"], 900_000, forwarding_bytes=1_500_000),
    "no room for what arrives": Case(503, [b"a" * 900_000], forwarding_bytes=1_500_000),
    "gives way": Case(503, [b"a" * 900_000], ends=False, is_dropped=True),
    "gives way at its end": Case(503, [b"a" * 900_000], is_dropped=True),
    "stalled": Case(408, [b"a" * 900_000], 1_000_000, ends=False),
    "nothing of it": Case(408, [], 10, ends=False),
}
# Refused by their heads.
UNREAD = {"declared beyond the limit", "headers too large", "no room for the length"}


class ReaderTest(unittest.IsolatedAsyncioTestCase):
    def begin(self, forwarding_bytes: int) -> Upload:
        self.budget = BodyBudget(BUDGET_BYTES, lambda: time.monotonic() * 1000.0)
        others = self.budget.begin(lambda: None)
        others.add(forwarding_bytes)
        others.hand_over()
        return self.budget.begin(lambda: None)

    async def read(self, incoming: _Incoming, upload: Upload) -> bytes | MedlarvaleError:
        try:
            return await read_body(incoming, upload, LIMITS)  # type: ignore[arg-type]
        except MedlarvaleError as error:
            return error

    async def test_bodies_are_read_or_refused(self) -> None:
        """Guards against bodies beyond the limits, and refusals with another status or outcome."""
        for name, case in CASES.items():
            with self.subTest(name):
                upload = self.begin(case.forwarding_bytes)
                drop = upload.drop if case.is_dropped else lambda: None
                content = _Content(case.pieces, case.ends, drop)
                head = [(b"x-long", b"h" * case.head_bytes)]
                incoming = _Incoming(content, case.length, head)
                result = await self.read(incoming, upload)
                if case.status == 0:
                    self.assertEqual(result, b"".join(case.pieces))
                    self.assertEqual(upload.size_bytes, len(b"".join(case.pieces)))
                    continue
                assert isinstance(result, MedlarvaleError)
                self.assertEqual(
                    (result.http_status, result.outcome), (case.status, Outcome.NOT_RUN)
                )
                self.assertEqual(result.retry_after_ms is not None, case.status == 503)
                # No interim response asks for a body that is refused.
                self.assertEqual(incoming.written, [] if name in UNREAD else [CONTINUE])
                if name in UNREAD:
                    self.assertEqual(content.pieces, case.pieces)

    async def test_a_body_that_gives_way_as_its_time_ends_harms_no_other(self) -> None:
        """Guards against an error in the reader of the body that needs the room."""
        loop, upload = asyncio.get_running_loop(), self.begin(0)
        errors: list[Exception] = []

        def drop() -> None:
            try:
                upload.drop()
            except Exception as error:
                errors.append(error)

        def block() -> None:
            loop.call_later(2.0 * LIMITS.idle_timeout_ms / 1000.0, drop)
            # Both times have passed when the loop goes on.
            loop.call_soon(time.sleep, 4.0 * LIMITS.idle_timeout_ms / 1000.0)

        result = await self.read(_Incoming(_Content([b"a"], False, block), None, []), upload)
        self.assertIsInstance(result, MedlarvaleError)
        self.assertEqual(errors, [])

    async def test_a_caller_that_is_gone_ends_the_wait(self) -> None:
        """Guards against a cancellation that is taken for a stall."""
        task = asyncio.ensure_future(
            self.read(_Incoming(_Content([], False, lambda: None), 10, []), self.begin(0))
        )
        await asyncio.sleep(0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task


if __name__ == "__main__":
    unittest.main()
