"""One host while many callers leave uploads, heads or idle connections open.

The checks don't depend on speed: the process lives, its memory and its descriptors stay within the
limits of its settings, and an ordinary request is answered while the crowd is still connected.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import tempfile
import unittest
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import msgspec
from aiohttp import web

from medlarvale.platform.standin import StandinPlatform, StandinServer
from scripts.forward_hosts import ForwardHost

# A hang fails the test instead of blocking the run; no assertion depends on this limit.
EVENT_LIMIT_S = 60.0
POLL_S = 0.05
# Memory of the smallest machines.
MEMORY_MB = 136
# Enough for the host itself, its files and a few dozen connections.
MAX_DESCRIPTORS = 300
MAX_BODY_BYTES = 4_194_304
ROUTE_TIMEOUT_MS = 120_000
PIECE_BYTES = 65_536
# Bodies up to this size are answered at once, larger ones not before the end of the test.
ORDINARY_BYTES = 10_000


class UploadServer(StandinServer):
    """Plain server that counts bodies without keeping them, and answers large ones late.

    Attributes:
        answers: set when large bodies may be answered.
        large: large bodies that have arrived completely.
    """

    def __init__(self, name: str) -> None:
        super().__init__(name, "app", None)
        self.answers = asyncio.Event()
        self.large = 0

    async def _plain(self, request: web.Request, request_id: str) -> web.Response:
        self.runs.append(request_id)
        size_bytes = 0
        async for piece in request.content.iter_any():
            size_bytes += len(piece)
        if size_bytes > ORDINARY_BYTES:
            self.large += 1
            await self.answers.wait()
        return web.Response(body=b"ok:%d" % size_bytes, headers=self._signed(request_id))


def head(number: int, *lines: str) -> bytes:
    """Returns the head of an upload."""
    common = (
        "POST /look/1 HTTP/1.1",
        "Host: callers.example",
        f"X-Request-Id: upload-{number}",
        f"X-Deadline-Ms: {ROUTE_TIMEOUT_MS}",
        *lines,
    )
    return "\r\n".join((*common, "", "")).encode()


def declared(length_bytes: int, sent_bytes: int) -> Callable[[int], Iterator[bytes]]:
    """Returns the bytes of an upload with a declared length."""

    def parts(number: int) -> Iterator[bytes]:
        yield head(number, f"Content-Length: {length_bytes}")
        for start in range(0, sent_bytes, PIECE_BYTES):
            yield b"u" * min(PIECE_BYTES, sent_bytes - start)

    return parts


def chunked(sent_bytes: int) -> Callable[[int], Iterator[bytes]]:
    """Returns the bytes of a chunked upload without its end."""

    def parts(number: int) -> Iterator[bytes]:
        yield head(number, "Transfer-Encoding: chunked")
        for start in range(0, sent_bytes, PIECE_BYTES):
            size_bytes = min(PIECE_BYTES, sent_bytes - start)
            yield b"%x\r\n" % size_bytes + b"u" * size_bytes + b"\r\n"

    return parts


def long_trailers(number: int) -> Iterator[bytes]:
    """Yields a chunked upload whose trailers do not end."""
    yield head(number, "Transfer-Encoding: chunked")
    yield b"1\r\nu\r\n0\r\n"
    for line in range(100):
        yield b"T-%d: " % line + b"t" * 15_000 + b"\r\n"


def part_of_long_head(number: int) -> Iterator[bytes]:
    """Yields a head with many long lines, without its end."""
    yield head(number)[:-2]
    for line in range(100):
        yield b"X-%d: " % line + b"h" * 15_000 + b"\r\n"


def part_of_short_head(number: int) -> Iterator[bytes]:
    """Yields the first lines of a head."""
    yield head(number)[:-2]


def pipelined(number: int) -> Iterator[bytes]:
    """Yields a request that is answered late, and most of a further one behind it."""
    yield from declared(20_000, 20_000)(number)
    yield from declared(MAX_BODY_BYTES, 3_900_000)(number)


def idle(number: int) -> Iterator[bytes]:
    """Yields nothing."""
    return iter(())


@dataclass(frozen=True)
class Case:
    """What each connection of a crowd sends before it stays open."""

    connections: int
    parts: Callable[[int], Iterator[bytes]]


CASES = {
    "declared length, last bytes missing": Case(30, declared(4_000_000, 3_900_000)),
    "chunked, end missing": Case(30, chunked(3_900_000)),
    "whole bodies, answered late": Case(30, declared(3_900_000, 3_900_000)),
    "pipelined bodies behind a late answer": Case(60, pipelined),
    "declared length beyond the limit": Case(30, declared(8_000_000, 7_900_000)),
    "parts of long heads": Case(80, part_of_long_head),
    "trailers without an end": Case(80, long_trailers),
    "parts of short heads": Case(350, part_of_short_head),
    "idle connections": Case(350, idle),
}


@dataclass
class Crowd:
    """Connections that send what a case says and stay open until the end of the test."""

    address: str
    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    async def send(self, case: Case) -> None:
        """Sends until everything is sent or the host has closed or stopped reading."""
        await asyncio.gather(
            *(self._send_one(case.parts(number)) for number in range(case.connections))
        )

    async def _send_one(self, parts: Iterator[bytes]) -> None:
        ip, _, port = self.address.rpartition(":")
        # The host may refuse the connection, close it, or read no more than it has room for.
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(EVENT_LIMIT_S / 4.0):
                _, writer = await asyncio.open_connection(ip, int(port))
                self.writers.append(writer)
                for part in parts:
                    writer.write(part)
                    await writer.drain()

    def close(self) -> None:
        """Closes the connections."""
        for writer in self.writers:
            writer.transport.abort()


class OpenUploadsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.platform = StandinPlatform()
        self.platform.timeout_ms = ROUTE_TIMEOUT_MS
        self.servers = [UploadServer(name) for name in ("s1", "s2")]
        self.platform.servers.update({server.name: server for server in self.servers})
        await self.platform.start()
        self.addAsyncCleanup(self.platform.close)
        await self.platform.configure(1, look="safe app")
        config = msgspec.json.decode(self.platform.store.items["op/config"][0])
        config["Limits"]["MaxBodyBytes"] = MAX_BODY_BYTES
        await self.platform.store.put("op/config", config | {"Version": 2})
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())

    async def _start_host(self, folder: str) -> ForwardHost:
        host = ForwardHost("a1", Path(folder), keep_log=True)
        host.write_settings(self.platform.address, [host.control])
        settings = Path(folder) / "a1.conf"
        limits = f"Limits.MemoryMb={MEMORY_MB}\nLimits.MaxFds={MAX_DESCRIPTORS}\n"
        settings.write_text(settings.read_text() + limits)
        await host.start()
        await host.wait_until_ready(self.session)
        return host

    @contextlib.asynccontextmanager
    async def host(self):  # type: ignore[no-untyped-def]
        """Runs a host."""
        with tempfile.TemporaryDirectory() as folder:
            host = await self._start_host(folder)
            try:
                yield host
            finally:
                for server in self.servers:
                    server.answers.set()
                await host.stop(signal.SIGKILL)

    async def _post(self, host: ForwardHost, request_id: str, size_bytes: int) -> tuple[int, bytes]:
        """Sends a request on a connection of its own; returns status and body of the answer."""
        headers = {
            "Host": "callers.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(ROUTE_TIMEOUT_MS),
            "Connection": "close",
        }
        url = f"http://{host.front}/look/1"
        async with (
            asyncio.timeout(EVENT_LIMIT_S),
            self.session.post(url, headers=headers, data=b"o" * size_bytes) as response,
        ):
            return response.status, await response.read()

    async def _answered(self, host: ForwardHost) -> tuple[int, bytes]:
        """Sends ordinary requests, each after a refusal, until one is served or time is up.

        Callers send a refused request again.
        """
        status, body, end_s = 0, b"", asyncio.get_running_loop().time() + EVENT_LIMIT_S
        number = 0
        while status != 200 and asyncio.get_running_loop().time() < end_s and host.running:
            number += 1
            try:
                status, body = await self._post(host, f"ordinary-{number}", 100)
            except (aiohttp.ClientError, TimeoutError) as error:
                status, body = 0, repr(error).encode()
            if status != 200:
                await asyncio.sleep(POLL_S)
        return status, body

    async def _check(self, case: Case) -> None:
        async with self.host() as host:
            await self._answered(host)
            crowd = Crowd(host.front)
            try:
                before_kb = memory_kb(host, "VmHWM")
                await crowd.send(case)
                # The host has read what it was sent before this request.
                status, body = await self._answered(host)
                self.assertEqual(host.own_ends, [])
                self.assertTrue(host.running)
                highest_kb, open_descriptors = memory_kb(host, "VmHWM"), descriptors(host)
                print(
                    f"before {before_kb / 1000:.0f} MB, highest {highest_kb / 1000:.0f} MB,"
                    f" {open_descriptors} descriptors, status {status}",
                    flush=True,
                )
                with self.subTest("memory"):
                    self.assertLessEqual(highest_kb * 1024, MEMORY_MB * 1_000_000)
                with self.subTest("descriptors"):
                    self.assertLessEqual(open_descriptors, MAX_DESCRIPTORS)
                with self.subTest("ordinary request"):
                    self.assertEqual((status, body), (200, b"ok:100"))
            finally:
                crowd.close()

    async def test_a_body_just_within_the_limit_is_served_in_calm(self) -> None:
        """Guards against a bound on bodies in which a single legal one has no room."""
        for server in self.servers:
            server.answers.set()
        async with self.host() as host:
            answer = await self._post(host, "large", MAX_BODY_BYTES)
        self.assertEqual(answer, (200, b"ok:%d" % MAX_BODY_BYTES))


def memory_kb(host: ForwardHost, name: str) -> int:
    """Returns a figure of the process in kB from its status file."""
    for line in Path(f"/proc/{host.process_id}/status").read_text().splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1])
    raise AssertionError(f"no {name}")


def descriptors(host: ForwardHost) -> int:
    """Returns the number of open descriptors of the process."""
    return len(list(Path(f"/proc/{host.process_id}/fd").iterdir()))


def _add_case(name: str, case: Case) -> None:
    async def test(self: OpenUploadsTest) -> None:
        await self._check(case)

    test.__doc__ = f"Guards against a host that a crowd exhausts: {name}."
    slug = name.replace(",", "").replace(" ", "_")
    setattr(OpenUploadsTest, f"test_crowd_{slug}", test)


for _name, _case in CASES.items():
    _add_case(_name, _case)


if __name__ == "__main__":
    unittest.main()
