"""Tests that a request goes on at a server that falls silent for a while.

A sound server may be silent for a second or so. Until another one takes over, what has been passed
on to it is the caller's only answer.
"""

from __future__ import annotations

import asyncio
import socket
import unittest
from collections.abc import Callable
from typing import Any

from medlarvale.forwarding.errors import BackendError, NotSentError, OverloadedError
from medlarvale.forwarding.messages import (
    ClientRequest,
    Dispatch,
    EngineStage,
    RouteKind,
    Server,
    TokenCounts,
)
from medlarvale.forwarding.plain import PlainForwarder
from medlarvale.forwarding.rechecks import RecheckTask
from medlarvale.forwarding.streams import StreamForwarder
from medlarvale.ids import ServerId
from medlarvale.platform.connections import new_session
from tests.forwarding.fakes import (
    APP,
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

D1, D2 = ServerId("d1"), ServerId("d2")
# Longer than a third of the callers' patience, which is 3.6 s on the routes of these tests.
SILENCE_S = 1.5
LONGEST_SILENCE_MS = 1_500.0
SHORT_SILENCE_S = 0.5
FREE_TOKENS = 6_000
WAIT_S = 5.0
# A run may go on for this long after another one has been sent.
ALLOWED_OVERLAP_S = 0.4


def events(first: int, last: int) -> bytes:
    return b"".join(b"id: %d\ndata: token\n\n" % number for number in range(first, last + 1))


class SilentEngineTest(unittest.IsolatedAsyncioTestCase):
    def build(self, versions: dict[str, str], *, reserve: float = 10.0) -> None:
        self.backends, self.sink = FakeBackends(), FakeSink()
        self.context = make_context(
            self.backends,
            *(
                make_server(name, stage=EngineStage.DECODE, software=version)
                for name, version in versions.items()
            ),
            reserve=reserve,
        )
        RecheckTask(self.context.servers, self.backends, self.context.clock).start()
        self.forwarder = StreamForwarder(self.context, lambda service: TRAITS)

    def answer_in_turn(self, *answers: FakeAnswer) -> None:
        remaining = list(answers)

        def script(server: Server, request: ClientRequest, dispatch: Dispatch) -> Any:
            return remaining.pop(0)

        self.backends.script = script

    def silence(self) -> None:
        """Makes the engine of the last send answer no reservations and accept no connections."""
        engine = self.backends.dispatches[-1][0]
        self.backends.hold_errors[engine] = NotSentError("silent")
        self.backends.probe_errors[engine] = NotSentError("silent")

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(WAIT_S):
            while not condition():  # noqa: ASYNC110 - the fakes have no event for it
                await asyncio.sleep(0.01)

    async def forward(self, **route: Any) -> None:
        request = make_request(tokens=TokenCounts(5_000, 100, 80))
        running = asyncio.create_task(
            self.forwarder.forward(request, make_route(**route), LLM, self.sink)
        )
        await self.wait_until(lambda: bool(self.backends.dispatches))
        self.silence()
        await running
        await self.context.background.finish(500.0)

    async def test_a_stream_goes_on_at_an_engine_that_was_silent(self) -> None:
        """Guards against a caller's connection that is cut because of a silence, although the
        engine goes on (LOST)."""
        same, two = {"d1": "v1", "d2": "v1"}, {"d1": "v1"}
        table: list[tuple[str, dict[str, str], float, dict[ServerId, int], dict[str, Any]]] = [
            ("no other engine", two, 10.0, {}, {}),
            ("no memory elsewhere", same, 10.0, {D1: FREE_TOKENS, D2: 0}, {}),
            ("no retry budget", same, 0.0, {}, {}),
            ("no attempt left", same, 10.0, {}, {"max_attempts": 1}),
            ("not resumable", same, 10.0, {}, {"resumable": False}),
        ]
        heads: list[tuple[str, list[Any]]] = [
            ("after an event", [events(1, 2), SILENCE_S, events(3, 4)]),
            ("before the first event", [SILENCE_S, events(1, 4)]),
            (
                "inside an event",
                [events(1, 2) + b"id: 3\nda", SILENCE_S, b"ta: token\n\n" + events(4, 4)],
            ),
        ]
        for name, versions, reserve, free_tokens, route in table:
            for head, chunks in heads:
                with self.subTest(name, head=head):
                    self.build(versions, reserve=reserve)
                    self.backends.free_tokens = dict(free_tokens)
                    self.answer_in_turn(FakeAnswer(chunks))
                    await self.forward(**route)
                    self.assertEqual((self.sink.data, self.sink.finished), (events(1, 4), True))
                    for load in self.context.servers.of_service(LLM):
                        self.assertEqual((load.tokens, load.in_flight), (0, 0))

    async def test_a_stream_waits_for_silent_engines_that_accept_connections(self) -> None:
        """Guards against streams that are refused at once, as if this host were cut off, because
        the engines of a small service answer no reservation for a moment."""
        for names in (["d1"], ["d1", "d2"]):
            with self.subTest(engines=names):
                self.build(dict.fromkeys(names, "v1"))
                self.context.reach.start()
                self.answer_in_turn(FakeAnswer([events(1, 4)]))
                engines = [ServerId(name) for name in names]
                self.backends.hold_errors = dict.fromkeys(engines, BackendError("no answer"))
                asyncio.get_running_loop().call_later(
                    SHORT_SILENCE_S, self.backends.hold_errors.clear
                )
                request = make_request(tokens=TokenCounts(5_000, 100, 80))
                try:
                    await self.forwarder.forward(request, make_route(), LLM, self.sink)
                except OverloadedError as error:
                    waited_ms = self.context.clock.now_ms() - request.received_ms
                    self.fail(f"refused after {waited_ms:.0f} ms: {error.message}")
                self.assertEqual((self.sink.data, self.sink.finished), (events(1, 4), True))

    async def test_another_engine_takes_over_from_a_silent_one(self) -> None:
        """Guards against callers that wait for a dead engine until they leave, and against two runs
        at once (TWICE)."""
        self.build({"d1": "v1", "d2": "v1"})
        loop, ended_s, sent_s = asyncio.get_running_loop(), [], []

        class Silent(FakeAnswer):
            def close(self) -> None:
                super().close()
                ended_s.append(loop.time())

        silent = Silent([events(1, 2), 30.0, events(3, 4)])
        self.answer_in_turn(silent, FakeAnswer([events(3, 4)]))
        self.backends.on_send(lambda server: sent_s.append(loop.time()))
        await self.forward()
        self.assertEqual((self.sink.data, self.sink.finished), (events(1, 4), True))
        self.assertLess(ended_s[0] - sent_s[1], ALLOWED_OVERLAP_S)
        first, second = (server for server, _ in self.backends.dispatches)
        self.assertNotEqual(first, second)

    async def test_a_search_for_another_engine_ends_with_the_silence(self) -> None:
        """Guards against memory that stays reserved after an engine has gone on, and against a run
        that is ended although its engine has gone on."""
        self.build({"d1": "v1", "d2": "v1"})
        self.backends.hold_delays_s = {D1: 0.0, D2: 0.0}
        self.answer_in_turn(FakeAnswer([events(1, 2), SILENCE_S, events(3, 3), 0.2, events(4, 4)]))
        request = make_request(tokens=TokenCounts(5_000, 100, 80))
        running = asyncio.create_task(self.forwarder.forward(request, make_route(), LLM, self.sink))
        await asyncio.sleep(0.05)
        # Reservations take longer than the rest of the silence.
        self.backends.hold_delays_s = {D1: 0.5, D2: 0.5}
        await running
        await self.context.background.finish(1_000.0)
        self.assertEqual((self.sink.data, self.sink.finished), (events(1, 4), True))
        self.assertEqual(len(self.backends.dispatches), 1)
        self.assertEqual(self.backends.held, 1, "the reservation of the run itself")


class SilentPlainServerTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_call_waits_for_a_silent_server(self) -> None:
        """Guards against a booking that is given up because its server is silent, and against a
        server behind a partition that goes on getting calls."""
        for name, reachable in (("sound", True), ("unreachable", False)):
            with self.subTest(name):
                backends = FakeBackends()
                context = make_context(
                    backends, make_server("s1", service=APP), make_server("s2", service=APP)
                )
                RecheckTask(context.servers, backends, context.clock).start()
                used: list[ServerId] = []
                backends.on_send(used.append)
                backends.script = lambda server, request, dispatch: FakeAnswer(
                    [SILENCE_S, b"booked"], event_stream=False
                )
                route = make_route(kind=RouteKind.UNSAFE, target_latency_ms=400.0)
                running = asyncio.create_task(
                    PlainForwarder(context).forward(make_request(), route, APP)
                )
                await asyncio.sleep(0.05)
                if not reachable:
                    backends.probe_errors[used[0]] = NotSentError("silent")
                await asyncio.sleep(0.6)
                load = context.servers.get(used[0])
                assert load is not None
                self.assertEqual(load.suspect, not reachable)
                reply = await running
                self.assertEqual((reply.body, len(used)), (b"booked", 1))


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_transport_ends_no_connection_because_of_a_silence(self) -> None:
        """Guards against ``TCP_USER_TIMEOUT``, which ends a connection whose bytes are not
        acknowledged, and after which a single unanswered keep-alive probe does so too."""

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
            await reader.read()
            writer.close()

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with new_session() as session, session.get(f"http://127.0.0.1:{port}/") as response:
            assert response.connection is not None and response.connection.transport is not None
            sock = response.connection.transport.get_extra_info("socket")
            user_timeout_ms = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            self.assertTrue(
                user_timeout_ms == 0 or user_timeout_ms > 2 * LONGEST_SILENCE_MS, user_timeout_ms
            )
            if sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE):
                probes = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT)
                interval_s = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
                self.assertGreater(1000.0 * probes * interval_s, 2 * LONGEST_SILENCE_MS)
        server.close()
        await server.wait_closed()


if __name__ == "__main__":
    unittest.main()
