"""Guards against propagation actions that the task does not carry out."""

from __future__ import annotations

import asyncio
import threading
import unittest
from unittest import mock

from structlog.testing import capture_logs

from medlarvale.clock import ManualClock
from medlarvale.ids import ConfigVersion, HostId, HostIdentity, Incarnation
from medlarvale.logs import Event
from medlarvale.peers.transport import MemoryNetwork, MemoryTransport, MessageCodec
from medlarvale.settings.messages import MESSAGE_TYPES
from medlarvale.settings.source import MemorySource, SourceAnswer
from medlarvale.settings.store import NO_VERSION, Accepted, Rejected, check_version
from medlarvale.settings.task import SettingsTask, check_in_thread
from tests.settings.trees import tree_text

NAMES = [HostId(f"h{index}") for index in range(4)]


async def check_at_once(answer: SourceAnswer) -> Accepted | Rejected:
    return check_version(answer.version, answer.text)


class SettingsTaskTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.logged = self.enterContext(capture_logs())
        self.clock = ManualClock()
        self.network = MemoryNetwork(MessageCodec(MESSAGE_TYPES))
        self.sources = {name: MemorySource(self.clock) for name in NAMES}
        self.tasks: dict[HostId, SettingsTask] = {}

    def start(self, name: HostId, default: bytes | None = None) -> SettingsTask:
        transport = MemoryTransport(HostIdentity(name, Incarnation(1)), self.network)
        source = self.sources[name]
        task = SettingsTask(name, transport, self.clock, source, default, check_at_once)
        task.set_live_hosts(NAMES)
        self.tasks[name] = task
        self.addAsyncCleanup(task.close)
        task.start()
        return task

    async def run_for(self, duration_ms: int) -> None:
        """Advances the clock in steps, each followed by heartbeats between all tasks."""
        for _ in range(duration_ms // 50):
            self.clock.advance_ms(50)
            for _ in range(10):
                await asyncio.sleep(0)
            for name, task in self.tasks.items():
                for other in self.tasks.values():
                    other.record_peer_version(name, task.version)

    async def test_new_version_reaches_hosts_without_access_to_the_service(self) -> None:
        """Only h0 reaches its source, so the others have to obtain each version from peers."""
        notified: list[int] = []
        for name in NAMES:
            self.start(name).subscribe(lambda accepted: notified.append(accepted.version))
            self.sources[name].down = name != NAMES[0]
        for version in (1, 2):
            self.sources[NAMES[0]].publish(ConfigVersion(version), tree_text(version))
            await self.run_for(15_000)
            self.assertEqual({task.version for task in self.tasks.values()}, {version})
        self.assertEqual(notified, [1] * len(NAMES) + [2] * len(NAMES))

    async def test_rejected_version_is_recorded_and_logged_once(self) -> None:
        task = self.start(NAMES[0])
        self.sources[NAMES[0]].publish(ConfigVersion(3), b"{}")
        await self.run_for(2_000)
        self.assertIsNone(task.in_force)
        self.assertEqual([rejected.version for rejected in task.rejections], [3])
        numbers = [entry["event_number"] for entry in self.logged]
        self.assertEqual(numbers.count(Event.CONFIG_REJECTED.number), 1)

    async def test_default_is_used_only_if_configured(self) -> None:
        without_default, with_default = self.start(NAMES[0]), self.start(NAMES[1], tree_text(7))
        del self.tasks[NAMES[1]]  # The other host receives no heartbeats from it.
        await self.run_for(5_000)
        self.assertEqual((without_default.version, with_default.version), (NO_VERSION, 0))

    async def test_failing_subscriber_does_not_affect_others(self) -> None:
        task = self.start(NAMES[0])

        def fail(accepted: Accepted) -> None:
            raise RuntimeError("subscriber")

        notified: list[int] = []
        task.subscribe(fail)
        task.subscribe(lambda accepted: notified.append(accepted.version))
        self.sources[NAMES[0]].publish(ConfigVersion(1), tree_text(1))
        await self.run_for(2_000)
        # A late subscriber is called at once with the version in force.
        with self.assertRaises(RuntimeError):
            task.subscribe(fail)
        self.assertEqual(notified, [1])

    async def test_check_runs_off_the_event_loop(self) -> None:
        """Guards against a check on the event loop that delays the tokens of every stream."""
        threads = []

        def check(version: ConfigVersion, text: bytes) -> Accepted | Rejected:
            threads.append(threading.get_ident())
            return check_version(version, text)

        with mock.patch("medlarvale.settings.task.check_version", check):
            verdict = await check_in_thread(SourceAnswer(ConfigVersion(1), tree_text(1)))
        self.assertIsInstance(verdict, Accepted)
        self.assertNotIn(threading.get_ident(), threads)
