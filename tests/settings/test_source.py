"""Guards against a file source that misses a change."""

from __future__ import annotations

import asyncio
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import aiohttp
from aiohttp import web
from aiohttp.test_utils import TestServer

from medlarvale.clock import SystemClock
from medlarvale.ids import ConfigVersion
from medlarvale.settings import source as source_module
from medlarvale.settings.errors import SourceError
from medlarvale.settings.source import FileSource, PlatformSource


def write(path: Path, text: bytes, changed_ms: int) -> None:
    """Writes a file and sets its modification time."""
    path.write_bytes(text)
    os.utime(path, ns=(0, changed_ms * 1_000_000))


class FileSourceTest(unittest.IsolatedAsyncioTestCase):
    async def test_version_is_the_modification_time(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "tree.yaml")
            source = FileSource(path, SystemClock())
            with self.assertRaises(SourceError):
                await source.get()
            write(path, b"a: 1", 5)
            first = await source.get()
            self.assertEqual((first.version, first.text), (5, b"a: 1"))
            self.assertIsNone(await source.watch(first.version, 1))
            write(path, b"a: 2", 6)
            changed = await source.watch(first.version, 1)
            self.assertEqual(changed and (changed.version, changed.text), (6, b"a: 2"))


class PlatformSourceTest(unittest.IsolatedAsyncioTestCase):
    async def test_malformed_answers_raise_source_error(self) -> None:
        """Guards against an answer that ends the task that follows the settings."""
        deep = b'{"future":' + b"[" * 20_000 + b"]" * 20_000 + b"}"
        bodies = [b"", b"[]", b"\xff", deep]
        answers = list(bodies)

        async def answer(request: web.Request) -> web.Response:
            return web.Response(body=answers.pop(0))

        app = web.Application()
        app.router.add_route("*", "/{path:.*}", answer)
        async with TestServer(app) as server, aiohttp.ClientSession() as session:
            source = PlatformSource(session, str(server.make_url("")).rstrip("/"))
            for body in bodies:
                with self.subTest(body[:40]), self.assertRaises(SourceError):
                    await source.get()

    async def test_a_tree_that_arrives_slowly_is_read_to_its_end(self) -> None:
        """Guards against a host that never gets a large tree over a narrow link, and against one
        that waits for the rest of an answer for ever."""
        body = b'{"version":7,"tree":{"a":1}}'
        stops = False

        async def answer(request: web.Request) -> web.StreamResponse:
            response = web.StreamResponse(headers={"Content-Length": str(len(body))})
            await response.prepare(request)
            for first in range(len(body) - stops):
                await asyncio.sleep(0.0 if stops else 0.05)
                await response.write(body[first : first + 1])
            if stops:
                await asyncio.Event().wait()
            return response

        app = web.Application()
        app.router.add_route("*", "/{path:.*}", answer)
        async with (
            TestServer(app) as server,
            aiohttp.ClientSession() as session,
            asyncio.timeout(30.0),
        ):
            source = PlatformSource(session, str(server.make_url("")).rstrip("/"))
            with (
                mock.patch.object(source_module, "GET_TIMEOUT_MS", 1_000),
                mock.patch.object(source_module, "WATCH_SLACK_MS", 1_000),
                mock.patch.object(source_module, "MAX_BODY_MS", 3_600_000, create=True),
            ):
                watched = await source.watch(ConfigVersion(6), 1)
                self.assertEqual(
                    [watched and watched.version, (await source.get()).version], [7, 7]
                )
                stops = True
                with self.assertRaises(SourceError):
                    await source.get()
                with self.assertRaises(SourceError):
                    await source.watch(ConfigVersion(6), 1)
