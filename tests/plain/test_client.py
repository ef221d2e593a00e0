"""Tests of calls to plain services; a call that may not be repeated reaches at most one server."""

import asyncio
import socket
import struct
import sys
import unittest

import msgspec

from medlarvale.clock import SystemClock
from medlarvale.errors import MedlarvaleError, Outcome
from medlarvale.ids import WorkspaceId
from medlarvale.membership.servers import ServerDirectory
from medlarvale.plain.budget import RetryBudget
from medlarvale.plain.client import PlainClient, new_plain_session
from medlarvale.plain.messages import PlainAnswer, PlainCall
from medlarvale.settings.schema import PoolRole
from medlarvale.tracing import Tracing
from tests.completions.fakes import DOMAIN, PLAIN_SERVICE, REGION, FakeGuard, FakeSettings, server

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-A: 1\r\nConnection: x-hop\r\nX-Hop: 1\r\n\r\nok"
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
MOVED = b"HTTP/1.1 307 Moved\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n"
HALF = b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf"
UNTIL_CLOSE = b"HTTP/1.1 200 OK\r\n\r\nok"
EMPTY = b"HTTP/1.1 204 No Content\r\n\r\n"
# Writes a part of an answer and is killed. The system takes some ms to end its many connections,
# and its listener accepts meanwhile.
KILLED_SERVER = r"""
import os, signal, socket
listener = socket.create_server(("127.0.0.1", 0), backlog=400)
clients = [socket.create_connection(listener.getsockname()) for _ in range(400)]
kept = [listener.accept() for _ in clients]
print(listener.getsockname()[1], flush=True)
connection, _ = listener.accept()
connection.recv(65536)
connection.sendall(b"HTTP/1.1 200 OK\r\n\r\nha")
os.kill(os.getpid(), signal.SIGKILL)
"""
KILLS = 5


class RawServer:
    """Server on a plain socket that accepts, reads the head of one request, answers and closes.

    With ``answer`` None it sends no answer, with ``read`` False it closes without reading, and with
    ``keep`` it keeps the connection open. With ``reset`` it closes with a reset. With ``gone`` it
    stops to listen before it closes, as a server that is killed does.
    """

    def __init__(
        self,
        answer: bytes | None = OK,
        *,
        read: bool = True,
        keep: bool = False,
        reset: bool = False,
        gone: bool = False,
    ) -> None:
        self.answer, self.read, self.keep, self.reset = answer, read, keep, reset
        self.gone = gone
        self.connections = 0
        self.heads: list[bytes] = []

    async def start(self) -> str:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return f"http://127.0.0.1:{self.port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while self.read:
                self.heads.append(await reader.readuntil(b"\r\n\r\n"))
                if self.answer is None:
                    await reader.read()
                writer.write(self.answer or b"")
                await writer.drain()
                if not self.keep:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            if self.gone:
                self.server.close()
            if self.reset:
                linger = struct.pack("ii", 1, 0)
                connection = writer.get_extra_info("socket")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.close()


def call(method: str = "POST", deadline_ms: int = 5_000) -> PlainCall:
    headers = [("X-Test", "1"), ("traceparent", f"00-{'a' * 32}-{'b' * 16}-01")]
    workspace, path = WorkspaceId("glatfore"), "/stock%20x?a=1"
    return PlainCall(PLAIN_SERVICE, workspace, method, path, headers, b"", deadline_ms)


class PlainClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.directory = ServerDirectory()
        self.guard = FakeGuard()
        self.session = new_plain_session()
        self.client = PlainClient(
            session=self.session,
            directory=self.directory,
            settings=FakeSettings(),
            region=REGION,
            failure_domain=DOMAIN,
            guard=self.guard,
            clock=SystemClock(),
            tracer=Tracing("entry-1").tracer,
        )
        self.servers: list[RawServer] = []

    async def asyncTearDown(self) -> None:
        await self.session.close()
        for raw in self.servers:
            raw.server.close()
            await raw.server.wait_closed()

    async def use(self, *servers: RawServer | None) -> None:
        """Lists servers s0, s1, ...; None stands for an address without a listener."""
        listed = []
        for number, raw in enumerate(servers):
            address = await (raw or RawServer()).start() if raw else "http://127.0.0.1:1"
            listed.append(server(f"s{number}", PoolRole.PLAIN, PLAIN_SERVICE, address))
            if raw:
                self.servers.append(raw)
        self.directory.replace(listed)

    async def outcome(self, work: object) -> tuple[Outcome, str]:
        try:
            answer = await work  # type: ignore[misc]
        except MedlarvaleError as error:
            return error.outcome, error.code
        assert isinstance(answer, PlainAnswer)
        return Outcome.ANSWERED, str(answer.status)

    async def test_once_reaches_one_server_only(self) -> None:
        """Guards against a second dispatch after the first may have been written.

        aiohttp by itself repeats GET, PUT and DELETE when a connection closes without an answer.
        """
        unknown = (Outcome.UNKNOWN, "plain_outcome_unknown")
        table = [
            ("answers", OK, True, (Outcome.ANSWERED, "200")),
            ("busy", BUSY, True, (Outcome.ANSWERED, "503")),
            ("redirects", MOVED, True, (Outcome.ANSWERED, "307")),
            ("reads and closes", b"", True, unknown),
            ("closes at once", b"", False, unknown),
            ("closes in the answer", HALF, True, unknown),
        ]
        for name, answer, read, expected in table:
            for method in ("POST", "GET", "PUT", "DELETE"):
                with self.subTest(name=name, method=method):
                    pair = RawServer(answer, read=read), RawServer(answer, read=read)
                    await self.use(*pair)
                    result = await self.outcome(self.client.dispatch_once(call(method)))
                    self.assertEqual(result, expected)
                    self.assertEqual(pair[0].connections + pair[1].connections, 1)

    async def test_a_reset_does_not_end_an_answer_without_a_length(self) -> None:
        """Guards against an answer that broke off and reaches the caller as a complete success."""
        table = [
            ("closes", False, (Outcome.ANSWERED, "200")),
            ("resets", True, (Outcome.UNKNOWN, "plain_outcome_unknown")),
        ]
        for name, reset, expected in table:
            with self.subTest(name):
                await self.use(RawServer(UNTIL_CLOSE, reset=reset))
                for work in (self.client.dispatch_once, self.client.dispatch_idempotent):
                    self.assertEqual(await self.outcome(work(call("GET"))), expected)

    async def test_an_answer_without_a_length_needs_its_server(self) -> None:
        """Guards against a part of an answer of a killed server that passes for the whole.

        The system ends the connections of a killed process in order.
        """
        unknown, served = (Outcome.UNKNOWN, "plain_outcome_unknown"), (Outcome.ANSWERED, "200")
        once, again = self.client.dispatch_once, self.client.dispatch_idempotent
        table = [
            ("still there", UNTIL_CLOSE, False, once, served, 0),
            ("gone", UNTIL_CLOSE, True, once, unknown, 0),
            ("gone, repeated elsewhere", UNTIL_CLOSE, True, again, served, 1),
            ("gone after a length", OK, True, once, served, 0),
            ("gone after an answer without a body", EMPTY, True, once, (served[0], "204"), 0),
        ]
        for name, answer, gone, work, expected, repeats in table:
            with self.subTest(name):
                first, other = RawServer(answer, gone=gone), RawServer()
                await self.use(first, other)
                while not first.connections:
                    other.connections = 0
                    result = await self.outcome(work(call("GET")))
                self.assertEqual((result, other.connections), (expected, repeats))

    async def test_a_killed_process_does_not_end_an_answer(self) -> None:
        """Guards against a listener that still accepts while the system ends a killed process."""
        for _ in range(KILLS):
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-c", KILLED_SERVER, stdout=asyncio.subprocess.PIPE
            )
            assert process.stdout is not None
            address = f"http://127.0.0.1:{int(await process.stdout.readline())}"
            self.directory.replace([server("s0", PoolRole.PLAIN, PLAIN_SERVICE, address)])
            result = await self.outcome(self.client.dispatch_once(call("GET")))
            await process.wait()
            self.assertEqual(result, (Outcome.UNKNOWN, "plain_outcome_unknown"))

    async def test_once_uses_a_new_connection_each_time(self) -> None:
        """Guards against a reused connection, whose failure does not show what was written."""
        raw = RawServer(OK, keep=True)
        await self.use(raw)
        for number in range(1, 4):
            await self.client.dispatch_once(call())
            self.assertEqual((raw.connections, len(raw.heads)), (number, number))

    async def test_once_retries_only_if_nothing_was_written(self) -> None:
        """Guards against refusals while another server could run the call, and wrong outcomes."""
        for _ in range(4):
            raw = RawServer()
            await self.use(None, raw)
            result = await self.outcome(self.client.dispatch_once(call()))
            self.assertEqual(result, (Outcome.ANSWERED, "200"))
            self.assertEqual(raw.connections, 1)
        await self.use(None, None)
        result = await self.outcome(self.client.dispatch_once(call()))
        self.assertEqual(result, (Outcome.NOT_RUN, "plain_unreachable"))
        await self.use()
        result = await self.outcome(self.client.dispatch_once(call()))
        self.assertEqual(result, (Outcome.NOT_RUN, "no_plain_server"))
        silent = RawServer(None)
        await self.use(silent)
        result = await self.outcome(self.client.dispatch_once(call(deadline_ms=200)))
        self.assertEqual(result, (Outcome.UNKNOWN, "plain_timeout"))

    async def test_idempotent_call_is_retried_on_another_server(self) -> None:
        """Guards against an idempotent call that fails while another server could answer it."""
        table = [("unreachable", None), ("closes", RawServer(b"")), ("busy", RawServer(BUSY))]
        for name, bad in table:
            for _ in range(2):
                with self.subTest(name=name):
                    await self.use(bad, RawServer())
                    result = await self.outcome(self.client.dispatch_idempotent(call("GET")))
                    self.assertEqual(result, (Outcome.ANSWERED, "200"))
        await self.use(RawServer(b""), None)
        result = await self.outcome(self.client.dispatch_idempotent(call("GET")))
        self.assertEqual(result, (Outcome.UNKNOWN, "plain_outcome_unknown"))
        self.assertIn("s0", self.guard.lost)
        self.assertEqual(self.guard.running, [])

    async def test_retries_stay_within_the_budget(self) -> None:
        """Guards against retries that multiply an overload."""
        pair = RawServer(BUSY), RawServer(BUSY)
        await self.use(*pair)
        for _ in range(100):
            await self.client.dispatch_idempotent(call("GET"))
        attempts = pair[0].connections + pair[1].connections
        self.assertTrue(100 < attempts <= 100 + 10 + 10, attempts)

    async def test_leaving_servers_receive_nothing(self) -> None:
        """Guards against new work for a leaving server, on first attempts and on retries."""
        leaving, staying = RawServer(), RawServer(BUSY)
        await self.use(leaving, staying)
        self.directory.mark_leaving(self.directory.all_servers()[0].server, True)
        for _ in range(3):
            await self.outcome(self.client.dispatch_idempotent(call("GET")))
            await self.outcome(self.client.dispatch_once(call()))
        self.assertEqual((leaving.connections, staying.connections), (0, 6))

    async def test_path_is_unchanged_and_headers_are_filtered(self) -> None:
        """Guards against changed paths, lost trace contexts and forwarded hop-by-hop headers."""
        raw = RawServer()
        await self.use(raw)
        answer = await self.client.dispatch_idempotent(call("GET"))
        self.assertEqual(answer.headers, [("X-A", "1")])
        msgspec.msgpack.encode(answer)
        head = raw.heads[0].decode()
        self.assertIn("GET /stock%20x?a=1 HTTP/1.1\r\n", head)
        self.assertIn("X-Test: 1\r\n", head)
        self.assertEqual(head.count("traceparent"), 1)
        self.assertIn(f"00-{'a' * 32}-", head)
        self.assertNotIn("b" * 16, head)


class RetryBudgetTest(unittest.TestCase):
    def test_retries_are_limited_to_the_configured_share(self) -> None:
        """Guards against a share other than the configured one."""
        for percent, expected in [(0, 10), (10, 10 + 100), (100, 1_000)]:
            with self.subTest(percent=percent):
                budget = RetryBudget()
                retries = 0
                for _ in range(1_000):
                    budget.record_call(PLAIN_SERVICE, percent)
                    retries += budget.spend_retry(PLAIN_SERVICE)
                self.assertAlmostEqual(retries, expected, delta=2)
