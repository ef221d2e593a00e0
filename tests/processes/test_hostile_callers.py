"""One process of each interface while a crowd sends what no well-behaved client sends, and goes on.

The checks don't depend on speed: the process lives, its memory and its descriptors stay within the
limits of its settings, and an ordinary request is answered while the crowd still sends.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import re
import resource
import secrets
import signal
import sys
import tempfile
import unittest
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

import aiohttp
import msgspec

from medlarvale.platform.standin import StandinPlatform
from scripts.deployment import REPOSITORY
from scripts.forward_hosts import IP, ForwardHost
from scripts.held_ports import HeldPort
from tests.processes import crowd
from tests.processes.test_open_uploads import ROUTE_TIMEOUT_MS, UploadServer

# A hang fails the test instead of blocking the run; no assertion depends on these limits.
EVENT_LIMIT_S = 60.0
CROWD_LIMIT_S = 40.0
POLL_S = 0.05
# Memory of the smallest machines.
MEMORY_MB = 136
# Descriptors of the smallest machines, and those of a process for a small crowd.
MACHINE_DESCRIPTORS = 1_638
FEW_DESCRIPTORS = 300
SMALL_CROWD = 40
# Size of a body in chunks of one byte.
LEGAL_BYTES = 500_000
# Ten times as many connections.
LARGE_CROWD = 400
# Most bytes that a process reads between the sending of an ordinary request and its answer. It
# counts work that goes before the request without regard to the speed of the machine.
MAX_READ_BYTES = 32 * 1024 * 1024
EXAMPLE = REPOSITORY / "examples" / "ventilo-breizh.yaml"
API_KEY = "demo-key-ventilo-leon"
# Ports of ``medlarvale serve``; those of ``forward`` are named as in ``ForwardHost``.
SERVE_PORTS = ("caller", "peer", "operators")


class Subject(Protocol):
    """A process under test."""

    @property
    def process_id(self) -> int | None:
        """Its id; None if it has ended."""

    def address(self, port: str) -> str:
        """Returns the address of one of its ports."""

    async def ordinary(self, session: aiohttp.ClientSession, port: str) -> tuple[int, bytes]:
        """Sends an ordinary request; returns status and body of the answer."""


class ForwardSubject:
    """A host of ``medlarvale forward``."""

    def __init__(self, host: ForwardHost) -> None:
        self._host = host
        self._number = 0

    @property
    def process_id(self) -> int | None:
        return self._host.process_id

    def address(self, port: str) -> str:
        return str(getattr(self._host, port))

    async def ordinary(self, session: aiohttp.ClientSession, port: str) -> tuple[int, bytes]:
        self._number += 1
        if port in ("ready", "metrics"):
            async with session.get(f"http://{self.address(port)}/") as response:
                await response.read()
                if response.status != 200:
                    return response.status, b""
        headers = {
            "Host": "callers.example",
            "X-Request-Id": f"ordinary-{self._number}",
            "X-Deadline-Ms": str(ROUTE_TIMEOUT_MS),
        }
        url = f"http://{self._host.front}/look/1"
        async with session.post(url, headers=headers, data=b"o" * 100) as response:
            return response.status, await response.read()


class ServeSubject:
    """A host of ``medlarvale serve`` without peers and engines."""

    def __init__(self, folder: Path) -> None:
        self._ports = {kind: HeldPort(IP) for kind in SERVE_PORTS}
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None

    @property
    def process_id(self) -> int | None:
        process = self._process
        return process.pid if process is not None and process.returncode is None else None

    def address(self, port: str) -> str:
        return self._ports[port].address

    async def start(self, session: aiohttp.ClientSession, descriptors: int) -> None:
        """Starts the process and waits until it is ready."""
        (self._folder / "keys").write_text(f"first {secrets.token_hex(32)}\n")
        (self._folder / "token").write_text(secrets.token_hex(16))
        flags = {f"--listen-{kind}": port.address for kind, port in self._ports.items()} | {
            "--host": "h1",
            "--region": "bretagne",
            "--failure-domain": "finistere",
            "--peer-key-file": str(self._folder / "keys"),
            "--operator-token-file": str(self._folder / "token"),
            "--settings-file": str(self._write_tree()),
        }
        environment = {"PYTHONPATH": "src", "MEDLARVALE_MEMORY_MB": str(MEMORY_MB)}

        def limit_descriptors() -> None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

        with (self._folder / "log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "medlarvale", "serve"),
                *(word for flag in flags.items() for word in flag),
                env=os.environ | environment,
                cwd=REPOSITORY,
                stdout=log,
                stderr=log,
                preexec_fn=limit_descriptors,
            )
        async with asyncio.timeout(EVENT_LIMIT_S):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    if (await self.ordinary(session, "operators"))[0] == 200:
                        return
                await asyncio.sleep(POLL_S)

    def _write_tree(self) -> Path:
        tree = msgspec.yaml.decode(EXAMPLE.read_bytes())
        tree["values"]["max_body_bytes"] = crowd.LEGAL_BYTES
        file = self._folder / "tree.json"
        file.write_bytes(msgspec.json.encode(tree))
        return file

    async def ordinary(self, session: aiohttp.ClientSession, port: str) -> tuple[int, bytes]:
        if port == "operators":
            async with session.get(f"http://{self.address(port)}/readyz") as response:
                if response.status != 200:
                    return response.status, await response.read()
        url = f"http://{self.address('caller')}/v1/models"
        headers = {"Authorization": f"Bearer {API_KEY}"}
        async with session.get(url, headers=headers) as response:
            return response.status, await response.read()

    async def stop(self) -> None:
        """Kills the process."""
        if self.process_id is not None and self._process is not None:
            self._process.kill()
            await self._process.wait()
        for port in self._ports.values():
            port.release()


@dataclass(frozen=True)
class Case:
    """A crowd at a port.

    Attributes:
        port: one of ``forward``, or of ``SERVE_PORTS``.
        kind: what each connection sends, of ``tests.processes.crowd``.
    """

    port: str
    kind: str
    connections: int = SMALL_CROWD


ALL_KINDS = (
    *("header-value", "header-name", "method", "request-line", "header-lines", "empty-lines"),
    *("random-bytes", "large-heads", "legal-heads", "pipelined", "upgrade", "connect"),
    *("declared-short", "declared-too-large", "chunks-short", "chunks"),
    *("tiny-chunks-short", "tiny-chunks", "chunk-size", "chunk-size-2-63"),
    *("chunk-extension", "trailers", "trailer-value"),
)
# Kinds of another cause each, for the other ports and for ten times the connections.
SOME_KINDS = ("header-value", "request-line", "empty-lines", "random-bytes", "declared-short")
LARGE_KINDS = ("header-value", "header-lines", "legal-heads", "declared-short", "chunks-short")
PROCESSOR_KINDS = ("tiny-chunks-short", "tiny-chunks")
CASES = [
    *(Case(port, kind) for port in ("front", "caller") for kind in ALL_KINDS),
    *(Case(port, kind) for port in ("ready", "metrics", "operators") for kind in SOME_KINDS),
    *(Case(port, kind) for port in ("control", "peer") for kind in ("random-bytes", "peer-frame")),
    *(
        Case(port, kind, LARGE_CROWD)
        for port in ("front", "caller")
        for kind in (*LARGE_KINDS, *PROCESSOR_KINDS)
    ),
]


class HostileCallersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        timeout = aiohttp.ClientTimeout(total=EVENT_LIMIT_S)
        connector = aiohttp.TCPConnector(force_close=True)
        self.session = await self.enterAsyncContext(
            aiohttp.ClientSession(timeout=timeout, connector=connector)
        )
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))

    async def _start_forward(self, descriptors: int) -> Subject:
        platform = StandinPlatform()
        platform.timeout_ms = ROUTE_TIMEOUT_MS
        servers = [UploadServer(name) for name in ("s1", "s2")]
        platform.servers.update({server.name: server for server in servers})
        await platform.start()
        self.addAsyncCleanup(platform.close)
        for server in servers:
            server.answers.set()
        await platform.configure(1, look="safe app")
        config = msgspec.json.decode(platform.store.items["op/config"][0])
        config["Limits"]["MaxBodyBytes"] = crowd.LEGAL_BYTES
        await platform.store.put("op/config", config | {"Version": 2})
        host = ForwardHost("a1", self.folder, keep_log=True)
        host.write_settings(platform.address, [host.control])
        settings = self.folder / "a1.conf"
        limits = f"Limits.MemoryMb={MEMORY_MB}\nLimits.MaxFds={descriptors}\n"
        settings.write_text(settings.read_text() + limits)
        await host.start()
        self.addAsyncCleanup(host.stop, signal.SIGKILL)
        await host.wait_until_ready(self.session)
        return ForwardSubject(host)

    async def _start_serve(self, descriptors: int) -> Subject:
        subject = ServeSubject(self.folder)
        self.addAsyncCleanup(subject.stop)
        await subject.start(self.session, descriptors)
        return subject

    @contextlib.asynccontextmanager
    async def _crowd(self, subject: Subject, case: Case) -> AsyncIterator[str]:
        """Runs a crowd; yields what it says of itself once it presses."""
        kind = f"{case.kind}@serve" if case.port in SERVE_PORTS else case.kind
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "tests.processes.crowd"),
            *(subject.address(case.port), kind, str(case.connections)),
            cwd=REPOSITORY,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert process.stdin is not None and process.stdout is not None
        try:
            async with asyncio.timeout(CROWD_LIMIT_S):
                line = (await process.stdout.readline()).decode().strip()
            self.assertNotEqual(line, "", "the crowd has ended by itself")
            yield line
            self.assertIsNone(process.returncode, "the crowd has ended by itself")
        finally:
            process.stdin.close()
            await process.wait()

    async def _answered(self, subject: Subject, port: str) -> tuple[int, bytes]:
        """Sends ordinary requests, each after a refusal, until one is served or time is up."""
        status, body, end_s = 0, b"", asyncio.get_running_loop().time() + EVENT_LIMIT_S
        while status != 200 and asyncio.get_running_loop().time() < end_s:
            if subject.process_id is None:
                return 0, b"the process has ended"
            try:
                status, body = await subject.ordinary(self.session, port)
            except (aiohttp.ClientError, TimeoutError) as error:
                status, body = 0, repr(error).encode()
                await asyncio.sleep(POLL_S)
        return status, body

    async def check(self, case: Case) -> None:
        """Plays a crowd against a process of its own."""
        large = case.connections > SMALL_CROWD
        descriptors = MACHINE_DESCRIPTORS if large else FEW_DESCRIPTORS
        start = self._start_serve if case.port in SERVE_PORTS else self._start_forward
        subject = await start(descriptors)
        expected = await self._answered(subject, case.port)
        self.assertEqual(expected[0], 200)
        before_kb = memory_kb(subject, "VmHWM")
        async with self._crowd(subject, case) as said:
            read_before = read_bytes(subject)
            answer = await self._answered(subject, case.port)
            self.assertIsNotNone(subject.process_id, "the process has ended")
            meanwhile_bytes = read_bytes(subject) - read_before
            highest_kb, open_descriptors = memory_kb(subject, "VmHWM"), count_descriptors(subject)
        print(
            f"{case.port} {case.kind} x{case.connections}: before {before_kb / 1000:.0f} MB,"
            f" highest {highest_kb / 1000:.0f} MB, {open_descriptors} descriptors,"
            f" status {answer[0]}, read {meanwhile_bytes / 1e6:.1f} MB meanwhile; {said}",
            flush=True,
        )
        with self.subTest("memory"):
            self.assertLessEqual(highest_kb * 1024, MEMORY_MB * 1_000_000)
        with self.subTest("descriptors"):
            self.assertLessEqual(open_descriptors, descriptors)
        with self.subTest("ordinary request"):
            self.assertEqual(answer, expected)
        if case.kind in PROCESSOR_KINDS:
            with self.subTest("processor"):
                self.assertLessEqual(meanwhile_bytes, MAX_READ_BYTES)

    async def test_one_legal_body_in_tiny_chunks_is_served(self) -> None:
        """Guards against bounds that a single request inside the limits meets."""
        body = b"{" + b" " * LEGAL_BYTES + b"}"
        requests = {"front": crowd.POST, "caller": crowd.CHAT}
        for port, head in requests.items():
            start = self._start_forward if port == "front" else self._start_serve
            subject = await start(FEW_DESCRIPTORS)
            whole = head + b"Content-Length: %d\r\n\r\n" % len(body) + body
            chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n"
            chunked = head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks
            answers = [await exchange(subject.address(port), sent) for sent in (whole, chunked)]
            with self.subTest(port):
                self.assertEqual(answers[0], answers[1])
                # The other interface has no engines: it refuses a body that it has read.
                expected = b"ok:%d" % len(body) if port == "front" else b'"code":"bad_value"'
                self.assertIn(expected, answers[1])


async def exchange(address: str, request: bytes) -> bytes:
    """Sends a request; returns the body of its answer without the id of the request."""
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        async with asyncio.timeout(EVENT_LIMIT_S):
            writer.write(request)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"Content-Length: (\d+)", head)
            assert length is not None, head
            body = await reader.readexactly(int(length.group(1)))
    finally:
        writer.close()
    return re.sub(rb'"request_id":"[0-9a-f]+"', b"", body)


def memory_kb(subject: Subject, name: str) -> int:
    """Returns a figure of a process in kB from its status file."""
    for line in Path(f"/proc/{subject.process_id}/status").read_text().splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1])
    raise AssertionError(f"no {name}")


def read_bytes(subject: Subject) -> int:
    """Returns the bytes that a process has read from sockets and files."""
    return int(Path(f"/proc/{subject.process_id}/io").read_text().split()[1])


def count_descriptors(subject: Subject) -> int:
    """Returns the number of open descriptors of a process."""
    return len(list(Path(f"/proc/{subject.process_id}/fd").iterdir()))


def _add_case(case: Case) -> None:
    async def test(self: HostileCallersTest) -> None:
        await self.check(case)

    name = f"{case.port}_{case.kind.replace('-', '_')}_x{case.connections}"
    test.__doc__ = f"Guards against a process that a crowd exhausts: {name}."
    setattr(HostileCallersTest, f"test_{name}", test)


for _case in CASES:
    _add_case(_case)


if __name__ == "__main__":
    unittest.main()
