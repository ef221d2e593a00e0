"""Test case with the callers' interface on loopback, in-memory engines and fake services."""

from __future__ import annotations

import asyncio
import json
import re
import unittest

import aiohttp
from aiohttp import web

from medlarvale.body_memory import DEFAULT_LIMIT_BYTES
from medlarvale.callers.app import CallerServerRunner, build_app
from medlarvale.callers.dependencies import CallerDependencies
from medlarvale.callers.workspaces import WorkspaceDirectory
from medlarvale.clock import SystemClock
from medlarvale.completions.memory_engines import MemoryEngineClient
from medlarvale.completions.runner import CompletionRunner
from medlarvale.ids import BookingKey
from medlarvale.plain.messages import PlainAnswer, PlainCall
from medlarvale.uploads.body_budget import BodyBudget
from tests.completions.fakes import DOMAIN, REGION, FakeSettings, RequestPath

ANSWER = PlainAnswer(201, [("Set-Cookie", "a=1"), ("Set-Cookie", "b=2")], b"done")


class FakePlainServices:
    """Dispatcher and booking service that records and answers every call.

    Attributes:
        release: bookings wait for this event, if there is one.
    """

    def __init__(self) -> None:
        self.idempotent_calls: list[PlainCall] = []
        self.booked: list[tuple[BookingKey, PlainCall]] = []
        self.finished_bookings: list[BookingKey] = []
        self.release: asyncio.Event | None = None
        self.started = asyncio.Event()
        self.error: Exception | None = None
        self.answer = ANSWER

    async def dispatch_idempotent(self, call: PlainCall) -> PlainAnswer:
        self.idempotent_calls.append(call)
        if self.error is not None:
            raise self.error
        return self.answer

    async def dispatch_once(self, call: PlainCall) -> PlainAnswer:
        raise AssertionError("the callers' interface must not dispatch bookings itself")

    async def submit(self, key: BookingKey, call: PlainCall) -> PlainAnswer:
        self.booked.append((key, call))
        self.started.set()
        if self.release is not None:
            await self.release.wait()
        self.finished_bookings.append(key)
        return self.answer


class CallerTestCase(unittest.IsolatedAsyncioTestCase):
    """Serves the callers' interface on loopback."""

    values: dict[str, int] = {}
    upload_limit_bytes = DEFAULT_LIMIT_BYTES

    async def asyncSetUp(self) -> None:
        clock = SystemClock()
        settings = FakeSettings(**self.values)
        self.engines = MemoryEngineClient()
        self.path = RequestPath(self.engines, clock, settings)
        self.runner = CompletionRunner(self.path.dependencies)
        self.plain = FakePlainServices()
        directory = WorkspaceDirectory(settings)
        environment = REGION, DOMAIN, clock, settings, directory, self.runner
        collaborators = self.plain, self.plain, self.path.observer, self.path.tracing.tracer
        self.uploads = BodyBudget(self.upload_limit_bytes, clock.now_ms)
        dependencies = CallerDependencies(*environment, *collaborators, self.uploads)
        self.server = CallerServerRunner(build_app(dependencies), shutdown_timeout_s=1.0)
        await self.server.setup()
        await web.TCPSite(self.server, "127.0.0.1", 0).start()
        self.port = self.server.addresses[0][1]
        self.url = f"http://127.0.0.1:{self.port}"
        self.session = aiohttp.ClientSession(headers={"X-Workspace": "glatfore"})

    async def asyncTearDown(self) -> None:
        await self.session.close()
        await self.server.cleanup()

    async def raw(self, request: bytes) -> tuple[int, dict[str, object]]:
        """Sends bytes unchanged; returns the status and the error object of the response."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(request)
        async with asyncio.timeout(5):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            length = re.search(r"Content-Length: (\d+)", head)
            assert length is not None, head
            body = await reader.readexactly(int(length.group(1)))
        writer.close()
        return int(head.split()[1]), json.loads(body)["error"]

    def assert_nothing_dispatched(self) -> None:
        self.assertEqual(self.engines.contexts, [])
        self.assertEqual(self.path.placement.reserved, [])
        self.assertEqual((self.plain.idempotent_calls, self.plain.booked), ([], []))
