"""Guards against bytes that are no event of a stream and reach its caller within it.

A stream has begun and broken off, and its rest, or its beginning, is no event stream: an error
text, the head of another response, or events that the caller already has.
"""

from __future__ import annotations

import contextlib
import unittest
from typing import NamedTuple

from medlarvale.forwarding.errors import OutcomeUnknownError, StreamBrokenError
from medlarvale.forwarding.messages import EngineStage, TokenCounts
from medlarvale.forwarding.streams import StreamForwarder
from medlarvale.http_bodies import BodyFraming
from tests.forwarding.fakes import (
    LLM,
    TRAITS,
    FakeAnswer,
    FakeBackends,
    FakeSink,
    make_context,
    make_request,
    make_route,
    make_server,
)
from tests.forwarding.test_stream_run import RESET, events

HEAD = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\n"


class Foreign(NamedTuple):
    """The body of a run, and what of it may reach a caller who has the events before."""

    body: bytes
    passed: bytes = b""


FOREIGN: dict[str, Foreign] = {
    "plain text": Foreign(b"internal error\n\n"),
    "the head of another response": Foreign(HEAD + b"full"),
    "a head after events": Foreign(events(4, 5) + HEAD, events(4, 5)),
    "a head and events after events": Foreign(events(4, 5) + HEAD + events(6, 6), events(4, 5)),
    "JSON": Foreign(b'{"error": "full"}\n\n'),
    "a word": Foreign(b"full\n\n"),
    "text like a field": Foreign(b"error: full\n\n"),
    "HTML": Foreign(b"<p>data: none</p>\n\n"),
    "an event without an id": Foreign(b"data: token\n\n" + events(4, 5)),
    "an id that is no number of an event": Foreign(b"id: " + b"9" * 5_000 + b"\ndata: token\n\n"),
    "an id without data": Foreign(b"id: 4\n\n" + events(5, 5)),
    "an id that is no number": Foreign(b"id: four\ndata: token\n\n"),
    "two ids": Foreign(b"id: 4\nid: 5\ndata: token\n\n"),
    "an event that the caller has": Foreign(events(3, 5)),
    "the stream from its beginning": Foreign(events(1, 5)),
    "an earlier event later": Foreign(events(4, 5) + events(4, 6), events(4, 5)),
}
SOUND: dict[str, bytes] = {
    "events": events(4, 6),
    "comments between events": b": wait\n\n" + events(4, 4) + b":\n\n" + events(5, 6),
    "lines that end with CR and LF": events(4, 6).replace(b"\n", b"\r\n"),
    "a change of the weights": b"x-weight-versions: 2\n" + events(4, 6),
    "other fields": b"event: token\nretry: 5\n" + events(4, 6),
}


class StreamEventsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.backends, self.sink = FakeBackends(), FakeSink()
        engines = [make_server(name, stage=EngineStage.DECODE) for name in ("d1", "d2")]
        self.context = make_context(self.backends, *engines)
        self.forwarder = StreamForwarder(self.context, lambda service: TRAITS)

    async def forward(self, *answers: FakeAnswer) -> None:
        remaining = list(answers)
        self.backends.script = lambda server, request, dispatch: remaining.pop(0)
        request = make_request(tokens=TokenCounts(5_000, 100, 80))
        with contextlib.suppress(StreamBrokenError, OutcomeUnknownError):
            await self.forwarder.forward(request, make_route(), LLM, self.sink)
        await self.context.background.finish(500.0)

    async def test_the_rest_of_a_stream_is_only_events_after_the_last(self) -> None:
        for name, foreign in FOREIGN.items():
            for framing in BodyFraming:
                with self.subTest(name, framing=framing.value):
                    self.setUp()
                    await self.forward(
                        FakeAnswer([events(1, 3), RESET]),
                        FakeAnswer([foreign.body], framing=framing),
                    )
                    self.assertEqual(self.sink.data, events(1, 3) + foreign.passed)
                    self.assertFalse(self.sink.finished)

    async def test_the_first_run_of_a_stream_is_only_events(self) -> None:
        for name in ("plain text", "the head of another response", "JSON", "HTML", "two ids"):
            with self.subTest(name):
                self.setUp()
                await self.forward(FakeAnswer([FOREIGN[name].body]), FakeAnswer([events(1, 3)]))
                self.assertEqual(self.sink.data, events(1, 3))
                self.assertTrue(self.sink.finished)

    async def test_a_sound_rest_is_passed_on(self) -> None:
        """Guards against streams that are cut although each event is one."""
        for name, body in SOUND.items():
            for size in (1, 7, len(body)):
                with self.subTest(name, size=size):
                    self.setUp()
                    parts: list[bytes | Exception | float] = [
                        body[start : start + size] for start in range(0, len(body), size)
                    ]
                    await self.forward(FakeAnswer([events(1, 3), RESET]), FakeAnswer(parts))
                    self.assertEqual(self.sink.data, events(1, 3) + body)
                    self.assertTrue(self.sink.finished)

    async def test_another_status_for_the_rest_is_not_passed_on(self) -> None:
        for status in (200, 404, 429, 500, 503):
            with self.subTest(status):
                self.setUp()
                answer = FakeAnswer([b"error text\n\n"], status=status, event_stream=False)
                await self.forward(FakeAnswer([events(1, 3), RESET]), answer)
                self.assertEqual(self.sink.data, events(1, 3))
                self.assertFalse(self.sink.finished)
