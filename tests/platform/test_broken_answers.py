"""Guards against answers that broke off on the way and reach their callers as complete."""

from __future__ import annotations

import asyncio
import random
import sys
import unittest
from typing import NamedTuple

from aiohttp import web
from multidict import CIMultiDict

from medlarvale.clock import SystemClock
from medlarvale.forwarding.answer_ends import still_serves
from medlarvale.forwarding.caller_server import CallerServer
from medlarvale.forwarding.messages import (
    ClientRequest,
    Dispatch,
    EngineStage,
    RouteKind,
    Server,
    Target,
)
from medlarvale.forwarding.plain import PlainForwarder
from medlarvale.forwarding.routes import RouteIndex
from medlarvale.forwarding.streams import StreamForwarder
from medlarvale.http_bodies import BodyFraming
from medlarvale.platform.backends import HttpBackends, HttpResponse
from medlarvale.platform.connections import new_session
from medlarvale.platform.headers import decode_request
from tests.forwarding.fakes import (
    APP,
    LLM,
    TRAITS,
    FakeBackends,
    make_context,
    make_request,
    make_route,
    make_server,
    make_table,
)
from tests.plain.test_client import KILLED_SERVER, KILLS
from tests.platform.test_backends import SIGNED, RawServer, server_at

EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
HALF_EVENT = b"id: 3\ndata: to"
LIMIT_S = 10.0


class Break(NamedTuple):
    """An answer and how its connection ends."""

    framing: bytes
    body: bytes
    reset: bool = False


# Answers that look complete if only the end of their connection is considered.
BROKEN: dict[str, Break] = {
    "ends inside an event": Break(b"", EVENTS + HALF_EVENT),
    "ends before the blank line of an event": Break(b"", EVENTS[:-1]),
    "reset": Break(b"", EVENTS, reset=True),
    "shorter than its length": Break(b"Content-Length: 60\r\n", EVENTS),
    "no last chunk": Break(
        b"Transfer-Encoding: chunked\r\n", b"%x\r\n%s\r\n" % (len(EVENTS), EVENTS)
    ),
    "last chunk inside an event": Break(
        b"Transfer-Encoding: chunked\r\n", b"%x\r\n%s\r\n0\r\n\r\n" % (len(HALF_EVENT), HALF_EVENT)
    ),
    "length up to the middle of an event": Break(b"Content-Length: 13\r\n", HALF_EVENT),
}
# Codings without a final "chunked", after which the body ends with its connection.
RESET_CODINGS: dict[str, Break] = {
    "identity": Break(b"Transfer-Encoding: identity\r\n", EVENTS, reset=True),
    "empty": Break(b"Transfer-Encoding: \r\n", EVENTS, reset=True),
    "chunked is not last": Break(b"Transfer-Encoding: chunked, gzip\r\n", EVENTS, reset=True),
}
NO_EVENT: dict[str, Break] = {
    "only a head": Break(b"", b""),
    "only a comment": Break(b"", b": ping\n\n"),
}
WHOLE: dict[str, Break] = {
    "ends with its connection": Break(b"", EVENTS),
    "has a length": Break(b"Content-Length: %d\r\n" % len(EVENTS), EVENTS),
    "in chunks": Break(
        b"Transfer-Encoding: chunked\r\n", b"%x\r\n%s\r\n0\r\n\r\n" % (len(EVENTS), EVENTS)
    ),
    "reset after the last chunk": Break(
        b"Transfer-Encoding: gzip, chunked\r\n",
        b"%x\r\n%s\r\n0\r\n\r\n" % (len(EVENTS), EVENTS),
        reset=True,
    ),
}


class _Backends(FakeBackends):
    """Sends requests over HTTP to one address; all other calls are in memory."""

    def __init__(self, backends: HttpBackends, send_to: Server) -> None:
        super().__init__()
        self._backends, self._send_to = backends, send_to

    async def send(  # type: ignore[override]
        self, server: Server, request: ClientRequest, dispatch: Dispatch
    ) -> HttpResponse:
        return await self._backends.send(self._send_to, request, dispatch)


class _Follower:
    def __init__(self, kind: RouteKind) -> None:
        service = LLM if kind is RouteKind.STREAM else APP
        route = make_route(
            kind=kind, max_attempts=1, resumable=False, targets=(Target(service, 1.0),)
        )
        self.index = RouteIndex(make_table(route))
        self.version = 1


class Received(NamedTuple):
    """What a caller has received: body with its framing, and whether the connection was reset."""

    head: bytes
    rest: bytes
    reset: bool

    @property
    def complete(self) -> bool:
        """Whether the caller takes the answer for a complete success."""
        if not self.head.split(b" ")[1].startswith(b"2"):
            return False
        if b"chunked" in self.head:
            return self.rest.endswith(b"0\r\n\r\n")
        for line in self.head.split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                return len(self.rest) == int(value)
        return not self.reset


class BrokenAnswersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.session = new_session()
        self.addAsyncCleanup(self.session.close)

    async def call(self, answer: Break, kind: RouteKind, version: bytes = b"1.1") -> Received:
        """Sends a request through a host to a server that gives the answer."""
        head = b"HTTP/1.1 200 OK\r\n" + SIGNED + b"Content-Type: text/event-stream\r\n"
        raw_server = RawServer(
            head + answer.framing + b"\r\n" + answer.body, reset=answer.reset, close=True
        )
        target = await raw_server.start()
        self.addCleanup(raw_server.server.close)
        context = make_context(
            _Backends(HttpBackends(self.session, self.session), target),
            make_server("p1", stage=EngineStage.PREFILL),
            make_server("d1", stage=EngineStage.DECODE),
            make_server("s1", service=APP),
        )
        server = CallerServer(
            _Follower(kind),  # type: ignore[arg-type]
            PlainForwarder(context),
            StreamForwarder(context, lambda service: TRAITS),
            lambda incoming, body, received_ms: decode_request(
                incoming.method, incoming.raw_path, incoming.headers, body, received_ms
            ),
            SystemClock(),
            random.Random(1),
            lambda: True,
        )
        runner = web.ServerRunner(server.build())
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        assert site._server is not None
        address = site._server.sockets[0].getsockname()  # type: ignore[attr-defined]
        try:
            async with asyncio.timeout(LIMIT_S):
                return await self.read(address, version)
        finally:
            await runner.cleanup()

    async def read(self, address: tuple[str, int], version: bytes) -> Received:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(
            b"GET /x HTTP/" + version + b"\r\nHost: callers.example\r\nConnection: close\r\n"
            b"X-Request-Id: q1\r\nX-Deadline-Ms: 5000\r\nX-Token-Counts: 5000,100\r\n\r\n"
        )
        received, reset = b"", False
        try:
            while part := await reader.read(65_536):
                received += part
        except ConnectionResetError:
            reset = True
        writer.close()
        head, _, rest = received.partition(b"\r\n\r\n")
        return Received(head, rest, reset)

    async def check(
        self,
        kind: RouteKind,
        broken: dict[str, Break],
        whole: dict[str, Break],
        version: bytes = b"1.1",
    ) -> None:
        for complete, table in ((False, broken), (True, whole)):
            for name, answer in table.items():
                with self.subTest(name, kind=kind):
                    received = await self.call(answer, kind, version)
                    self.assertEqual(received.complete, complete, received)
                    if complete:
                        self.assertIn(b"id: 2\ndata: b\n\n", received.rest)

    async def test_broken_streams_do_not_look_complete(self) -> None:
        await self.check(RouteKind.STREAM, BROKEN, WHOLE)

    async def test_answers_that_cannot_have_a_body_are_whole(self) -> None:
        """Guards against a booking that has run and counts as unknown, since its server is gone
        after an answer without a body."""
        table = [
            ("POST", 204, True),
            ("POST", 304, True),
            ("HEAD", 200, True),
            ("POST", 200, False),
        ]
        for method, status, whole in table:
            with self.subTest(method=method, status=status):
                head = b"HTTP/1.1 %d Status\r\n" % status
                raw_server = RawServer(head + SIGNED + b"\r\n", reset=True, close=True)
                target = await raw_server.start()
                self.addCleanup(raw_server.server.close)
                request = make_request(method=method, headers=CIMultiDict({"X-Request-Id": "q1"}))
                backends = HttpBackends(self.session, self.session)
                answer = await backends.send(target, request, Dispatch(5_000.0))
                self.assertEqual(answer.framing is not BodyFraming.CLOSE, whole)

    async def test_a_killed_process_does_not_still_serve(self) -> None:
        """Guards against a listener that still accepts while the system ends a killed process, so
        that a part of its answer passes for the whole."""
        backends = HttpBackends(self.session, self.session)
        for _ in range(KILLS):
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-c", KILLED_SERVER, stdout=asyncio.subprocess.PIPE
            )
            assert process.stdout is not None
            port = int(await process.stdout.readline())
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET / HTTP/1.1\r\n\r\n")
            await reader.read()
            serves = await still_serves(backends, server_at(port))
            writer.close()
            await process.wait()
            self.assertFalse(serves)

    async def test_resets_under_any_transfer_coding_break_an_answer(self) -> None:
        """Guards against a reset that counts as the end of an answer which declares neither a
        length nor chunks but some other transfer coding."""
        for kind in RouteKind:
            await self.check(kind, RESET_CODINGS, {})

    async def test_connections_that_end_before_the_first_event_break_a_stream(self) -> None:
        """Guards against an engine that is lost before its first event and whose empty stream
        counts as a complete answer."""
        await self.check(RouteKind.STREAM, NO_EVENT, {})

    async def test_broken_event_streams_of_plain_routes_do_not_look_complete(self) -> None:
        """Guards against event streams that are checked on stream routes only."""
        for kind in (RouteKind.SAFE, RouteKind.UNSAFE):
            await self.check(kind, BROKEN | NO_EVENT, WHOLE)

    async def test_broken_streams_do_not_look_complete_to_callers_with_http_1_0(self) -> None:
        """Guards against callers that take the end of the connection for the end of a stream, and
        against streams that such callers can't get at all."""
        await self.check(RouteKind.STREAM, BROKEN, WHOLE, b"1.0")
