"""Tests of a complete host on loopback with a stand-in platform, as callers and servers see it."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import socket
import unittest
from typing import Any
from unittest import mock

import aiohttp
from multidict import CIMultiDict

from medlarvale.forwarding.host import MIN_DRAIN_MS, ForwardingHost
from medlarvale.forwarding.interface import StateSource
from medlarvale.forwarding.memory import MemoryQueue
from medlarvale.forwarding.messages import (
    HostParameters,
    PublishedState,
    StateChanges,
    StoreRevision,
)
from medlarvale.forwarding.plain import PlainForwarder, Reply
from medlarvale.ids import FailureDomain, HostId, ServerId
from medlarvale.platform.backends import HttpBackends
from medlarvale.platform.connections import BackendConnection, new_session
from medlarvale.platform.incoming import decode_incoming
from medlarvale.platform.standin import SENDER, StandinPlatform, stream_body
from medlarvale.platform.store import PlatformStore

IP = "127.0.0.1"
WAIT_S = 5.0
# Below the ports that the system chooses.
FIRST_PORT = 20_000
PORTS = 12_000
_given_ports: set[int] = set()
# More than the sockets of a connection buffer.
LONG_ANSWER_BYTES = 16 * 1024 * 1024
# Time between two calls to a host that stops.
CALL_PERIOD_S = 0.05
# Time between two heartbeats of a server, short so that tests needn't wait long for several.
HEARTBEAT_S = 0.1
# Time for which the store keeps its history.
HISTORY_MS = 20_000.0


def free_port() -> int:
    """Returns a port that is free and that no outgoing connection takes before it is bound."""
    while True:
        port = FIRST_PORT + secrets.randbelow(PORTS)
        if port in _given_ports:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((IP, port))
            _given_ports.add(port)
            return port


class HoldableSource:
    """The store as one host reads it, whose answers can be held back.

    Args:
        source: the store.
    """

    def __init__(self, source: StateSource) -> None:
        self._source = source
        self._open = asyncio.Event()
        self._open.set()

    def hold(self) -> None:
        """Holds back all answers from now on."""
        self._open.clear()

    async def read(self) -> PublishedState:
        """Returns the published state."""
        state = await self._source.read()
        await self._open.wait()
        return state

    async def watch(self, after: StoreRevision, wait_ms: int) -> StateChanges:
        """Returns the changes after a revision."""
        changes = await self._source.watch(after, wait_ms)
        await self._open.wait()
        return changes


class HostTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a host and opens a caller's session."""

    revoke_ms: float | None = None

    async def asyncSetUp(self) -> None:
        self.platform = StandinPlatform()
        self.platform.heartbeat_s = HEARTBEAT_S
        await self.platform.start()
        self.addAsyncCleanup(self.platform.close)
        self.servers = self.platform.servers
        self.hosts: list[ForwardingHost] = []
        self.sources: dict[HostId, HoldableSource] = {}
        self.host = await self.start_host()
        self.client = aiohttp.ClientSession()
        self.addAsyncCleanup(self.client.close)

    async def start_host(
        self, name: str = "a1", seeds: tuple[str, ...] = (), announced_ip: str | None = None
    ) -> ForwardingHost:
        self.caller_port, self.ready_port, control_port = free_port(), free_port(), free_port()
        self.parameters = HostParameters(
            host=HostId(name),
            failure_domain=FailureDomain("a"),
            listen_caller=f"{IP}:{self.caller_port}",
            listen_ready=f"{IP}:{self.ready_port}",
            listen_control=f"{IP}:{control_port}",
            seed_addresses=seeds,
            platform_address=self.platform.address,
            grace_ms=4_000.0,
            retry_share=0.2,
            retry_reserve=54.0,
            lease_ms=3_000.0,
            heartbeat_ms=self.platform.heartbeat_s * 1000.0,
            history_ms=HISTORY_MS,
            announced_control=f"{announced_ip}:{control_port}" if announced_ip else None,
            revoke_ms=self.revoke_ms,
        )
        session, calls = new_session(), new_session(BackendConnection)
        for opened in (session, calls):
            opened.headers[SENDER] = name
        store = HoldableSource(PlatformStore(session, self.parameters.platform_address))
        self.sources[HostId(name)] = store
        host = ForwardingHost(
            self.parameters, store, HttpBackends(session, calls), decode_incoming, free_port(), dict
        )
        await host.start()
        self.addAsyncCleanup(session.close)
        self.addAsyncCleanup(calls.close)
        self.addAsyncCleanup(host.close)
        self.hosts.append(host)
        return host

    async def configure(self, version: int = 1, **routes: str) -> None:
        chosen = routes or {"look": "safe app", "book": "unsafe app", "chat": "streaming llm"}
        await self.platform.configure(version, **chosen)
        await self.wait_until(lambda: self.version() == version)
        await self.wait_until(lambda: len(self.host.servers) == len(self.servers))

    def version(self) -> int:
        index = self.host.follower.index
        return index.table.version if index is not None else 0

    async def wait_until(self, condition: Any, limit_s: float = WAIT_S) -> None:
        async with asyncio.timeout(limit_s):
            while not condition():
                await asyncio.sleep(0.01)

    def call(self, path: str, request_id: str = "q1", **options: Any) -> Any:
        headers = {
            "Host": "callers.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "3000",
            "X-Token-Counts": "100,20",
        } | options.pop("headers", {})
        return self.client.request(
            options.pop("method", "POST"),
            f"http://{IP}:{self.caller_port}{path}",
            headers=headers,
            **options,
        )

    async def status(self, path: str, request_id: str = "q1", **options: Any) -> int:
        async with self.call(path, request_id, **options) as response:
            await response.read()
            return response.status

    async def ready(self) -> int:
        async with self.client.get(f"http://{IP}:{self.ready_port}/ready") as response:
            return response.status


class ServingTest(HostTestCase):
    async def test_calls_and_streams_are_forwarded(self) -> None:
        await self.configure()
        self.assertEqual(await self.ready(), 200)
        async with self.call("/book/1?x=%2F", data=b"van") as response:
            self.assertEqual((response.status, await response.read()), (200, b"ok:van"))
            self.assertIn("X-Response-Signature", response.headers)
        async with self.call("/chat/1", "q2") as response:
            self.assertEqual(await response.read(), stream_body("q2"))
            self.assertTrue(response.headers["X-Response-Signature"].endswith(".q2"))
        self.assertEqual(self.servers["p1"].prefills, 1)
        self.assertEqual(self.servers["p1"].handles, set())
        self.assertEqual(self.servers["d1"].holds | self.servers["d2"].holds, set())

    async def test_requests_before_the_first_configuration_are_refused(self) -> None:
        """Guards against a 404 for a route that has not been received yet (DENIED)."""
        self.assertEqual(await self.ready(), 503)
        async with self.call("/book/1") as response:
            self.assertEqual(response.status, 503)
            self.assertIn("Retry-After", response.headers)
        await self.configure()
        self.assertEqual(await self.ready(), 200)

    async def test_refused_requests_do_not_run(self) -> None:
        await self.configure()
        table = [("/none/1", b"", 404), ("/book/1", b"x" * 2_000, 413)]
        for path, body, expected in table:
            with self.subTest(path):
                self.assertEqual(await self.status(path, data=body), expected)
        self.assertEqual(self.servers["s1"].runs + self.servers["s2"].runs, [])

    async def test_odd_numbers_in_a_request_are_no_failure_of_the_host(self) -> None:
        """Guards against a 500 for numbers of a caller that can't be converted."""
        await self.configure()
        for name in ("X-Deadline-Ms", "X-Token-Counts", "X-Length-Hint", "Last-Event-Id"):
            for text in ("9" * 19, "9" * 30, "9" * 5_000, "\u00b2", "-1", "nan"):
                value = f"{text},{text}" if name == "X-Token-Counts" and len(text) < 4_000 else text
                for path in ("/book/1", "/chat/1"):
                    with self.subTest(name=name, text=text[:40], path=path):
                        status = await self.status(path, headers={name: value})
                        self.assertNotEqual(status, 500)

    async def test_a_change_of_the_configuration_takes_effect(self) -> None:
        """Guards against requests that are routed by an older version (CONFIG)."""
        await self.configure()
        await self.configure(5, look="safe app", new="unsafe app")
        self.assertEqual(await self.status("/new/1"), 200)
        self.assertEqual(await self.status("/chat/1"), 404)

    async def test_a_draining_server_gets_no_new_work(self) -> None:
        """Guards against new work at a server that is known to drain (DRAIN)."""
        await self.configure()
        leaving = self.servers["s1"]
        leaving.state = "draining"
        await self.platform.publish(leaving)
        await self.platform.store.delete("servers/d1")
        await self.wait_until(lambda: len(self.host.servers) == len(self.servers) - 1)
        for number in range(6):
            await self.status("/book/1", f"b{number}")
            await self.status("/chat/1", f"c{number}")
        self.assertEqual(leaving.runs + self.servers["d1"].runs, [])
        self.assertEqual(len(self.servers["s2"].runs), 6)

    async def test_requests_are_served_during_an_outage_of_the_store(self) -> None:
        await self.configure()
        await self.platform.store.set_down(True)
        await self.wait_until(lambda: not self.host.follower.reachable)
        self.assertEqual(await self.status("/book/1"), 200)
        self.assertEqual(await self.ready(), 200)

    async def test_a_broken_stream_resumes_in_the_same_answer(self) -> None:
        """Guards against missing, duplicate or incomplete events (ORDER)."""
        await self.configure()
        for engine in ("d1", "d2"):
            self.servers[engine].break_after = 3
        async with self.call("/chat/1", "q3") as response:
            self.assertEqual(await response.read(), stream_body("q3"))

    async def test_a_stream_that_can_not_resume_does_not_look_complete(self) -> None:
        """Guards against a truncated answer that looks complete to the caller (MIXED)."""
        await self.configure()
        for engine in ("d1", "d2"):
            self.servers[engine].break_after = 3
            self.servers[engine].holds.clear()
        first = self.servers["d1"]
        original = first._decode

        async def always_cut(request: Any, request_id: str) -> Any:
            first.break_after = 3
            return await original(request, request_id)

        for engine in ("d1", "d2"):
            self.servers[engine]._decode = always_cut  # type: ignore[method-assign]
        with self.assertRaises(aiohttp.ClientPayloadError):
            async with self.call("/chat/1", "q4") as response:
                await response.read()

    async def test_a_stream_of_a_plain_service(self) -> None:
        """Guards against events that are buffered until the answer is complete."""
        await self.configure(look="streaming app")
        async with self.call("/look/1", "q8") as response:
            self.assertEqual((response.status, await response.read()), (200, b"ok:"))

    async def test_the_work_is_cancelled_when_the_caller_leaves(self) -> None:
        """Guards against engines that run requests of callers that have left (GONE)."""
        await self.configure()
        for engine in ("d1", "d2"):
            self.servers[engine].delay_s = 0.05
        async with self.call("/chat/1", "q5") as response:
            await response.content.readany()
            response.close()
        await self.wait_until(
            lambda: self.servers["d1"].cancelled + self.servers["d2"].cancelled == ["q5"]
        )
        await self.wait_until(lambda: self.host.caller_server.in_flight == 0)

    async def test_metrics(self) -> None:
        await self.configure()
        await self.status("/book/1")
        ip, _, port = self.host._metrics_address.rpartition(":")
        async with self.client.get(f"http://{ip}:{port}/metrics") as response:
            text = await response.text()
        self.assertIn('medlarvale_requests_total{kind="unsafe",outcome="200"} 1.0', text)


class StopTest(HostTestCase):
    async def test_a_planned_stop_loses_no_request(self) -> None:
        """Guards against requests that a stop aborts or leaves unanswered (LOST): aiohttp's own
        shutdown leaves idle connections open without a reader."""
        await self.configure()
        for server in self.servers.values():
            server.delay_s = 0.1
        idle = await asyncio.open_connection(IP, self.caller_port)
        await self.status("/look/1")
        under_way = asyncio.create_task(self._stream("q6"))
        await asyncio.sleep(0.1)
        drain = asyncio.create_task(self.host.drain())
        self.assertEqual(
            await asyncio.wait_for(idle[0].read(), 1.0), b"", "idle connections are closed at once"
        )
        self.assertEqual(await self.ready(), 503)
        async with self.call("/look/2", "q7") as response:
            self.assertEqual(response.status, 200)
            self.assertEqual(response.headers["Connection"].lower(), "close")
        self.assertEqual(await under_way, stream_body("q6"))
        await drain

    async def test_requests_at_the_end_of_a_planned_stop_are_refused_or_answered(self) -> None:
        """Guards against a request that is accepted after the last check for work in progress: it
        ran, and the end of the process cut it off without an answer."""
        await self.configure()
        self.servers["s1"].delay_s = self.servers["s2"].delay_s = 0.3
        draining = asyncio.create_task(self.host.drain())
        await asyncio.sleep(0.1)
        reader, writer = await asyncio.open_connection(IP, self.caller_port)
        await draining
        writer.write(
            b"POST /book/1 HTTP/1.1\r\nHost: callers.example\r\nX-Request-Id: q1\r\n"
            b"X-Deadline-Ms: 500\r\nContent-Length: 0\r\n\r\n"
        )
        await asyncio.sleep(0.05)
        await self.host.close()
        async with asyncio.timeout(WAIT_S):
            answer = await reader.read()
        self.assertEqual(self.servers["s1"].runs + self.servers["s2"].runs, [])
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer)
        self.assertIn(b"Retry-After", answer)
        writer.close()

    async def test_a_request_that_has_arrived_when_a_stop_begins_is_answered(self) -> None:
        """Guards against connections that are closed as idle although their request has been read:
        a caller may not repeat it."""
        await self.configure()
        for steps in range(3):
            with self.subTest(steps=steps):
                host = await self.start_host(f"stop{steps}")
                await self.wait_until(
                    lambda host=host: host.ready() and len(host.servers) == len(self.servers)
                )
                reader, writer = await asyncio.open_connection(IP, self.caller_port)
                http_server = host.caller_server._server
                assert http_server is not None
                await self.wait_until(lambda server=http_server: len(server.connections) == 1)
                http_server.connections[0].data_received(
                    b"POST /book/1 HTTP/1.1\r\nHost: callers.example\r\nX-Request-Id: q1\r\n"
                    b"X-Deadline-Ms: 500\r\nContent-Length: 0\r\n\r\n"
                )
                # The request is handled some steps of the loop after it was parsed.
                for _ in range(steps):
                    await asyncio.sleep(0)
                now_ms = host.clock.now_ms()
                host.caller_server.begin_closing(now_ms, now_ms + 3_000.0)
                answer = await asyncio.wait_for(reader.read(), WAIT_S)
                writer.close()
                self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
                self.assertIn(b"connection: close", answer.lower())

    async def test_a_planned_stop_waits_until_answers_are_sent(self) -> None:
        """Guards against a process that ends while a part of an answer is still in its buffer,
        because the handler of the request has ended."""
        await self.configure()
        reply = Reply(200, CIMultiDict(), b"x" * LONG_ANSWER_BYTES, ServerId("s1"))
        with mock.patch.object(PlainForwarder, "forward", mock.AsyncMock(return_value=reply)):
            reader, writer = await asyncio.open_connection(IP, self.caller_port)
            writer.transport.pause_reading()
            writer.write(
                b"POST /book/1 HTTP/1.1\r\nHost: callers.example\r\nX-Request-Id: q1\r\n"
                b"X-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n"
            )
            await asyncio.sleep(0.2)
            draining = asyncio.create_task(self.host.drain())
            await asyncio.sleep(MIN_DRAIN_MS / 1000.0 + 0.2)
            self.assertFalse(draining.done(), "a part of the answer has not been sent")
            writer.transport.resume_reading()
            answer = await asyncio.wait_for(reader.read(), WAIT_S)
            await asyncio.wait_for(draining, 0.5)
        writer.close()
        self.assertEqual(len(answer.partition(b"\r\n\r\n")[2]), LONG_ANSWER_BYTES)

    async def test_late_requests_in_a_planned_stop_are_refused_or_answered(self) -> None:
        """Guards against requests on new connections that a stopping host passes on although they
        can't end within its grace period (LOST)."""
        await self.configure()
        for run_s in (0.3, 0.8, 1.5):
            with self.subTest(run_s=run_s):
                self.servers["s1"].delay_s = self.servers["s2"].delay_s = run_s
                await self._call_until_closed(f"late-{run_s}")

    async def _call_until_closed(self, prefix: str) -> None:
        """Sends calls throughout a planned stop; each is answered, or refused and not run."""
        host = await self.start_host(prefix)
        await self.wait_until(lambda: host.ready() and len(host.servers) == len(self.servers))
        stop = asyncio.create_task(self._stop(host))
        answers: dict[str, asyncio.Task[tuple[int, str | None] | None]] = {}
        while not stop.done():
            request_id = f"{prefix}-{len(answers)}"
            answers[request_id] = asyncio.create_task(self._answer(request_id))
            await asyncio.sleep(CALL_PERIOD_S)
        await asyncio.gather(*answers.values())
        runs = self.platform.runs()
        results = {request_id: task.result() for request_id, task in answers.items()}
        cut = [name for name, result in results.items() if result is None and runs[name]]
        self.assertEqual(cut, [], "requests that ran and have no answer")
        refused = {name: result for name, result in results.items() if result and result[0] != 200}
        self.assertEqual({status for status, _ in refused.values()}, {503})
        self.assertNotIn(None, [retry_after for _, retry_after in refused.values()])
        self.assertEqual([name for name in refused if runs[name]], [])
        self.assertIn((200, None), results.values())

    async def _stop(self, host: ForwardingHost) -> None:
        await host.drain()
        await host.close()

    async def _answer(
        self, request_id: str, path: str = "/book/1", **headers: str
    ) -> tuple[int, str | None] | None:
        """Returns the status and ``Retry-After`` of an answer; None if there is none."""
        try:
            async with self.call(path, request_id, headers=headers) as response:
                await response.read()
                return response.status, response.headers.get("Retry-After")
        except aiohttp.ClientError:
            return None

    async def test_requests_in_flight_at_the_end_of_a_planned_stop_are_answered(self) -> None:
        """Guards against connections that the end of the grace period cuts without an answer: plain
        calls in progress, streams that wait for memory and requests whose body is arriving."""
        self.platform.timeout_ms = 30_000
        await self.configure()
        for server in self.servers.values():
            server.delay_s = 60.0
        with mock.patch.object(MemoryQueue, "acquire", lambda queue, request: asyncio.sleep(60.0)):
            headers = {"X-Deadline-Ms": "20000"}
            calls = {
                path: asyncio.create_task(self._answer(path, path, **headers))
                for path in ("/look/1", "/book/1", "/chat/1")
            }
            reader, writer = await asyncio.open_connection(IP, self.caller_port)
            writer.write(
                b"POST /book/2 HTTP/1.1\r\nHost: callers.example\r\nX-Request-Id: partial\r\n"
                b"X-Deadline-Ms: 20000\r\nContent-Length: 10\r\n\r\nhalf"
            )
            await self.wait_until(lambda: self.host.caller_server.in_flight == 4)
            await self.wait_until(lambda: len(self.platform.runs()) == 2)
            await self._stop(self.host)
            answers = {path: await call for path, call in calls.items()}
        partial = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), WAIT_S)
        writer.close()
        with self.subTest("calls that ran"):
            self.assertEqual([answers["/look/1"], answers["/book/1"]], [(504, None)] * 2)
        with self.subTest("stream that was not sent"):
            self.assertEqual(answers["/chat/1"], (503, "0.1"))
        with self.subTest("body that is arriving"):
            self.assertTrue(partial.startswith(b"HTTP/1.1 503"), partial)
            self.assertIn(b"Retry-After", partial)
        self.assertNotIn("partial", self.platform.runs())

    async def test_engine_memory_is_released_at_the_end_of_the_grace_period(self) -> None:
        """Guards against calls on a closed session, which resulted in a 500, and against engine
        memory that stays reserved for callers of a stopped host."""
        await self.configure()
        for server in self.servers.values():
            server.delay_s = 5.0
        cut = asyncio.create_task(self._stream("q9"))
        await self.wait_until(lambda: self.host.caller_server.in_flight == 1)
        await asyncio.sleep(0.1)
        await self.host.close()
        with self.assertRaises(aiohttp.ClientError):
            await cut
        await self.wait_until(
            lambda: self.servers["d1"].cancelled + self.servers["d2"].cancelled == ["q9"]
        )
        self.assertEqual(self.servers["d1"].holds | self.servers["d2"].holds, set())

    async def _stream(self, request_id: str) -> bytes:
        async with self.call("/chat/1", request_id) as response:
            return await response.read()
