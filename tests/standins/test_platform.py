"""The platform stand-in, and the settings client against it.

These tests guard against a stand-in that is more lenient than the real platform.
"""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

import aiohttp
from aiohttp.test_utils import TestServer

from medlarvale.clock import ManualClock, SystemClock
from medlarvale.ids import ConfigVersion
from medlarvale.settings.errors import SourceBusyError, SourceError
from medlarvale.settings.source import PlatformSource
from medlarvale.standins.platform import (
    CallLimiter,
    PlatformServer,
    PlatformState,
    PublishHosts,
    SetFaults,
)


class SignallingClock(SystemClock):
    """Signals when a watch begins to wait."""

    def __init__(self) -> None:
        self.sleeping = asyncio.Event()

    async def sleep_ms(self, duration_ms: float) -> None:
        self.sleeping.set()
        await super().sleep_ms(duration_ms)


class CallLimiterTest(unittest.TestCase):
    def test_waiting_watch_counts_until_a_second_after_its_end(self) -> None:
        """Guards against a call limit that ignores waiting watches."""
        limiter = CallLimiter(calls_per_s=2)
        self.assertTrue(limiter.start(0))
        self.assertTrue(limiter.start(0))
        limiter.end(0)
        self.assertFalse(limiter.start(999))
        self.assertTrue(limiter.start(1_000))
        self.assertFalse(limiter.start(60_000))


class PlatformStateTest(unittest.TestCase):
    def test_host_list_lags(self) -> None:
        """Guards against host lists that become visible before their lag has passed."""
        state, clock = PlatformState(), ManualClock()
        state.apply(SetFaults(list_lag_ms=500), clock.now_ms())
        for at_ms in (0, 100):
            state.apply(PublishHosts([], []), at_ms)
        shown = [state.hosts(now_ms) for now_ms in (499, 500, 599, 600)]
        self.assertEqual([listed and listed.version for listed in shown], [None, 1, 1, 2])


class PlatformServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = SignallingClock()
        self.server = TestServer(PlatformServer(PlatformState(), self.clock).app())
        await self.server.start_server()
        self.addAsyncCleanup(self.server.close)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        self.source = PlatformSource(self.session, str(self.server.make_url("/")))

    async def control(self, **call: Any) -> int:
        """Returns the HTTP status of a control call."""
        async with self.session.post(self.server.make_url("/control"), json=call) as response:
            return response.status

    async def publish(self, number: int, **more: Any) -> int:
        return await self.control(kind="publish_tree", tree={"n": number}, **more)

    async def test_read_and_watch(self) -> None:
        """Guards against watches that miss a new version, and against older versions."""
        with self.assertRaises(SourceError):
            await self.source.get()
        await self.publish(1)
        answer = await self.source.get()
        self.assertEqual((answer.version, answer.text), (1, b'{"n": 1}'))
        self.assertIsNone(await self.source.watch(ConfigVersion(1), 1))
        self.clock.sleeping.clear()
        watch = asyncio.create_task(self.source.watch(ConfigVersion(1), 60_000))
        await self.clock.sleeping.wait()
        await self.publish(9, version=9)
        newer = await watch
        self.assertEqual(newer and newer.version, 9)
        self.assertEqual(await self.publish(3, version=3), 400)

    async def test_faults(self) -> None:
        """Guards against faults that have no effect or cannot be switched off."""
        await self.publish(1)
        await self.publish(2)
        await self.control(kind="set_faults", stale_version=1)
        self.assertEqual((await self.source.get()).version, 1)
        await self.control(kind="set_faults", down=True)
        with self.assertRaises(SourceError):
            await self.source.get()
        await self.control(kind="set_faults", calls_per_s=0)
        with self.assertRaises(SourceBusyError):
            await self.source.get()
        await self.control(kind="set_faults")
        self.assertEqual((await self.source.get()).version, 2)
        self.assertEqual(await self.control(kind="set_faults", stale_version=7), 400)
