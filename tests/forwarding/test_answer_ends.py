"""Tests of answers that end with their connection, before whole hosts and servers on loopback."""

from __future__ import annotations

import asyncio
from typing import NamedTuple
from unittest import mock

import aiohttp

from medlarvale.forwarding.answer_ends import MAX_UNANSWERED, TRUSTED_ENDS, still_serves
from medlarvale.forwarding.errors import (
    BackendError,
    NotSentError,
    OutcomeUnknownError,
    ServerDownError,
)
from medlarvale.forwarding.messages import EngineStage, RouteKind, ServerState, Target
from medlarvale.forwarding.plain import PlainForwarder
from medlarvale.http_bodies import BodyFraming
from medlarvale.ids import ServerId
from medlarvale.platform.standin import EVENT_COUNT, stream_body
from tests.forwarding.fakes import APP, FakeAnswer, make_request, make_route, make_server
from tests.forwarding.stream_case import StreamTestCase
from tests.forwarding.test_host import IP, HostTestCase

DEADLINE_MS = 3_000
LIMIT_S = 5.0
# Shorter than the streams of engines with a pause between their events.
ROUTE_TIMEOUT_MS = 1_000
DEADLINES = 40
EVENT_S = 0.1
# Enough that the server is killed in the middle of its stream.
FEW_EVENTS = 3


class Answered(NamedTuple):
    """What a caller has received; ``complete`` if its connection did not break off."""

    status: int
    body: bytes
    complete: bool


class AnswerEndsTest(HostTestCase):
    """The connections of servers that are killed end in order, without a reset."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.continues: dict[str, str] = {}
        self.engines = [server for server in self.servers.values() if server.stage == "decode"]
        for server in self.servers.values():
            server.framing = BodyFraming.CLOSE

    async def start(self, *, resumable: bool = True) -> None:
        """Publishes a configuration."""
        self.platform.resumable = resumable
        await self.configure()

    async def call(self, route: str, name: str = "q1") -> Answered:
        headers = {
            "Host": "callers.example",
            "X-Request-Id": name,
            "X-Deadline-Ms": str(DEADLINE_MS),
            "X-Token-Counts": "100,30",
            **self.continues,
        }
        url = f"http://{IP}:{self.caller_port}/{route}/1"
        body = b""
        async with (
            asyncio.timeout(LIMIT_S),
            self.client.post(url, headers=headers, data=b"x") as response,
        ):
            try:
                async for part in response.content.iter_any():
                    body += part
            except aiohttp.ClientPayloadError:
                return Answered(response.status, body, False)
            return Answered(response.status, body, True)

    async def test_a_stream_that_ends_between_events_is_not_passed_on_as_complete(self) -> None:
        """Guards against rule ORDER: the connection of an engine ends in order before the last
        event, and the caller gets a shorter stream that looks whole."""
        for events in (1, FEW_EVENTS, EVENT_COUNT - 1):
            with self.subTest(events=events):
                await self.asyncSetUp()
                await self.platform.remove("d2")
                self.platform.max_attempts = 3
                await self.start()
                self.servers["d1"].end_after = events
                self.assertEqual(await self.call("chat"), (200, stream_body("q1"), True))
                self.assertEqual(len(self.servers["d1"].runs), 3)

    async def test_a_caller_that_has_the_last_event_gets_an_empty_rest(self) -> None:
        """Guards against callers who lost their connection after the last event and can't learn
        that it was the last, as the answer to their next attempt has neither events nor chunks."""
        await self.start()
        self.continues = {"Resumes": "q1", "Last-Event-Id": str(EVENT_COUNT)}
        self.assertEqual(await self.call("chat", "q2"), (200, b"", True))

    async def test_a_stream_that_may_not_be_continued_again_is_cut(self) -> None:
        """Guards against rule ORDER: the stream went on after the end of a connection, so the next
        such end shows nothing, and another run would be one too many."""
        await self.start()
        self.servers["d1"].end_after = self.servers["d2"].end_after = FEW_EVENTS
        answered = await self.call("chat")
        if answered.complete:
            self.assertEqual(answered.body, stream_body("q1"))
        self.assertEqual(sum(len(engine.runs) for engine in self.engines), 2)

    async def test_streams_of_engines_that_never_delimit_them_are_served(self) -> None:
        """Guards against refusals, and against a second run of each stream, because nothing in
        the answers of some software marks their end."""
        await self.start()
        names = [f"whole-{number}" for number in range(40)]
        for name in names:
            self.assertEqual(await self.call("chat", name), (200, stream_body(name), True))
        runs = sum(len(engine.runs) for engine in self.engines)
        self.assertLessEqual(runs, len(names) + TRUSTED_ENDS)
        for name in ("look", "book"):
            self.assertEqual(await self.call(name), (200, b"ok:x", True))

    async def test_a_stream_of_an_engine_that_is_killed_does_not_look_complete(self) -> None:
        """Guards against rule ORDER: an engine is killed while it writes a stream, which can't be
        resumed or has to go on at another engine."""
        for resumable in (True, False):
            with self.subTest(resumable=resumable):
                await self.asyncSetUp()
                await self.start(resumable=resumable)
                for engine in self.engines:
                    engine.delay_s = EVENT_S
                call = asyncio.create_task(self.call("chat"))
                await self.wait_until(lambda: any(engine.runs for engine in self.engines))
                await asyncio.sleep(FEW_EVENTS * EVENT_S)
                await self.platform.kill(next(e.name for e in self.engines if e.runs))
                answered = await call
                self.assertEqual(answered.complete, resumable, answered)
                if resumable:
                    self.assertEqual(answered.body, stream_body("q1"))

    async def test_a_stream_that_its_engine_ends_at_the_deadline_does_not_look_complete(
        self,
    ) -> None:
        """Guards against rule ORDER: an engine stops at the deadline that it was given, which comes
        up to a millisecond before the end of the caller's time."""
        self.platform.timeout_ms = ROUTE_TIMEOUT_MS
        await self.start()
        for engine in self.engines:
            engine.framing, engine.stops_in_time = BodyFraming.CHUNKED, True
            engine.delay_s = 2.0 * EVENT_S
        calls = []
        for number in range(DEADLINES):
            calls.append(asyncio.create_task(self.call("chat", f"late-{number}")))
            await asyncio.sleep(0.0103)
        streams = [answered for answered in await asyncio.gather(*calls) if answered.status == 200]
        self.assertGreater(len(streams), DEADLINES / 4)
        self.assertEqual([stream for stream in streams if stream.complete], [])


class KilledServersTest(StreamTestCase):
    """Answers whose connection ends in order, of servers that can't be reached afterwards."""

    async def test_a_server_that_is_silent_for_a_while_is_not_gone(self) -> None:
        """Guards against whole answers that are thrown away because their server, which is sound,
        does not answer at once when it is asked whether it is still there."""
        silent, down = NotSentError("timeout"), ServerDownError("connection refused")
        table: list[tuple[str, list[BackendError], bool]] = [
            ("answers", [], True),
            ("silent for a while", [silent, silent], True),
            ("silent", [silent] * MAX_UNANSWERED, False),
            ("down", [down], False),
        ]
        for name, errors, serves in table:
            for stage in (None, EngineStage.DECODE):
                with self.subTest(name, stage=stage):
                    self.build()
                    probe = mock.AsyncMock(side_effect=[*errors, True])
                    self.backends.probe = self.backends.is_same_instance = probe
                    server = make_server("s1", stage=stage)
                    self.assertEqual(await still_serves(self.backends, server), serves)

    async def test_a_plain_answer_of_a_server_that_is_gone_does_not_look_complete(self) -> None:
        """Guards against rule MIXED: a server was killed in the middle of an answer without a
        length or chunks, and the caller gets what had been written as a whole answer."""
        gone = ServerDownError("connection refused")
        table = [
            ("it answers", RouteKind.UNSAFE, BodyFraming.CLOSE, None, 200),
            ("gone", RouteKind.UNSAFE, BodyFraming.CLOSE, gone, None),
            ("gone, repeated elsewhere", RouteKind.SAFE, BodyFraming.CLOSE, gone, 200),
            ("gone, but the answer has a length", RouteKind.UNSAFE, BodyFraming.LENGTH, gone, 200),
        ]
        for name, kind, framing, error, status in table:
            with self.subTest(name):
                self.build()
                for server in ("s1", "s2"):
                    self.context.servers.upsert(make_server(server, service=APP))
                self.backends.script = lambda server, request, dispatch, framing=framing: (
                    FakeAnswer([b"body"], event_stream=False, framing=framing)
                )
                if error is not None:
                    self.backends.probe_errors = {ServerId("s1"): error}
                    self.context.servers.upsert(
                        make_server("s2", service=APP, state=ServerState.DRAINING)
                    )
                    self.backends.on_send(
                        lambda server: self.context.servers.upsert(make_server("s2", service=APP))
                    )
                route = make_route(kind=kind, targets=(Target(APP, 1.0),))
                try:
                    reply = await PlainForwarder(self.context).forward(make_request(), route, APP)
                    self.assertEqual(reply.status, status)
                except OutcomeUnknownError:
                    self.assertIsNone(status)
