"""Tests of streams whose callers read slowly."""

from __future__ import annotations

import asyncio
import unittest

from tests.forwarding.fakes import FakeAnswer, FakeSink
from tests.forwarding.stream_case import SILENCE_S, StreamTestCase, events


class SlowSink(FakeSink):
    """A caller that stops reading for a while."""

    def __init__(self, *, write_s: float = 0.0, finish_s: float = 0.0) -> None:
        super().__init__()
        self._write_s = write_s
        self._finish_s = finish_s
        self.finishes = 0

    async def write(self, data: bytes) -> None:
        await super().write(data)
        await asyncio.sleep(self._write_s)

    async def finish(self) -> None:
        self.finishes += 1
        await asyncio.sleep(self._finish_s)
        await super().finish()


class SlowCallerTest(StreamTestCase):
    async def test_a_caller_that_reads_slowly_is_no_silence_of_the_engine(self) -> None:
        """Guards against a run that is ended, and repeated elsewhere, because its caller does not
        read for a while."""
        self.build("d1", "d2", sink=SlowSink(write_s=SILENCE_S))
        self.answer_in_turn(FakeAnswer([events(1, 4)]), FakeAnswer([]))
        await self.start()
        self.assertEqual((self.sink.data, self.sink.finished), (events(1, 4), True))
        self.assertEqual(len(self.backends.dispatches), 1)
        self.assertEqual(self.context.guard.breaks, [])  # type: ignore[attr-defined]

    async def test_a_stream_whose_end_is_being_written_is_over(self) -> None:
        """Guards against a second end of the body, which is no part of an answer (MIXED)."""
        self.build("d1", "d2", sink=SlowSink(finish_s=SILENCE_S))
        self.answer_in_turn(FakeAnswer([events(1, 4)]), FakeAnswer([]))
        await self.start()
        assert isinstance(self.sink, SlowSink)
        self.assertEqual((len(self.backends.dispatches), self.sink.finishes), (1, 1))


if __name__ == "__main__":
    unittest.main()
