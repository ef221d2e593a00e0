"""Tests of the rotation of the keys shared by the entry hosts."""

from __future__ import annotations

import asyncio
import socket
import tempfile
import unittest
from pathlib import Path

import msgspec
from structlog.testing import capture_logs

from medlarvale.clock import SystemClock
from medlarvale.file_watch import FileWatch
from medlarvale.ids import HostId, HostIdentity, Incarnation
from medlarvale.logs import Event
from medlarvale.peers.auth import STALE_FRAME_MS, FrameGuard, SharedKeys
from medlarvale.peers.errors import FrameRejectedError
from medlarvale.peers.key_file import read_key_file, watched_key_file
from medlarvale.peers.pynng_transport import PynngTransport
from medlarvale.peers.transport import MessageCodec

OLD, NEW = f"old {'11' * 32}\n", f"new {'22' * 32}\n"


class Echo(msgspec.Struct, tag="echo"):
    """Request whose reply has the same number."""

    number: int


class Node:
    """Host with its own key file, which the test polls."""

    def __init__(self, name: str, folder: Path) -> None:
        self.clock = SystemClock()
        self.file = folder / name
        self.file.write_text(OLD)
        identity = HostIdentity(HostId(name), Incarnation(1))
        self.keys = SharedKeys(read_key_file(self.file))
        self.watch = FileWatch(self.clock, [watched_key_file(self.keys, self.file, self.clock)])
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = f"tcp://127.0.0.1:{probe.getsockname()[1]}"
        guard = FrameGuard(self.keys, identity, self.clock.wall_ms())
        codec = MessageCodec([Echo])
        self.transport = PynngTransport(identity, self.address, guard, codec, self.clock)
        self.transport.register(Echo, self._answer)

    async def _answer(self, _sender: HostIdentity, message: Echo) -> Echo:
        return message

    def rewrite(self, text: str) -> None:
        self.file.write_text(text)
        self.watch.poll()


class KeyRotationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.nodes = [Node(name, folder) for name in ("a", "b")]
        for node in self.nodes:
            node.transport.set_peers({HostId(n.file.name): n.address for n in self.nodes})
            node.transport.start()
            self.addAsyncCleanup(node.transport.close)

    async def send_both_ways(self) -> None:
        """Sends frames in both directions; a dropped one causes a timeout and is counted."""
        for node, peer in (self.nodes, self.nodes[::-1]):
            target = HostId(peer.file.name)
            requests = (node.transport.request(target, Echo(n), 3_000) for n in range(20))
            self.assertEqual(await asyncio.gather(*requests), [Echo(n) for n in range(20)])
        self.assertEqual([node.transport.dropped_frames for node in self.nodes], [0, 0])

    async def test_no_frame_is_dropped_during_rotation(self) -> None:
        # Hosts change their keys one after the other, so frames are exchanged between hosts with
        # different key files.
        await self.send_both_ways()
        for step in (OLD + NEW, NEW + OLD, NEW):
            for node in self.nodes:
                node.rewrite(step)
                await self.send_both_ways()
        signed = self.nodes[0].keys.sign(b"")
        self.assertEqual(signed[1:4], b"new", "the old key still signs")

    async def test_malformed_file_keeps_the_keys(self) -> None:
        # An editing error must not disconnect a host from its peers.
        cases = ["", "new\n", "new xyz\n", "new 1122\n", NEW + NEW, f"old {'33' * 32}\n"]
        for text in cases:
            with self.subTest(text), capture_logs() as logged:
                self.nodes[0].rewrite(text)
                self.nodes[0].watch.poll()
                events = [entry["event_number"] for entry in logged]
                self.assertEqual(events, [Event.FILE_RELOAD_FAILED.number])
                self.assertEqual(self.nodes[0].watch.failed_load_count, 1)
                await self.send_both_ways()
        self.nodes[0].rewrite(NEW + OLD)
        self.assertEqual(self.nodes[0].watch.failed_load_count, 0)


class RemovedKeyTest(unittest.TestCase):
    def test_removed_key_is_valid_until_its_frames_are_stale(self) -> None:
        # Frames in transit still need a removed key, but a leaked secret must not stay valid.
        keys = SharedKeys({"old": b"1" * 32, "new": b"2" * 32})
        signed = keys.sign(b"x")
        keys.replace({"new": b"2" * 32}, 1_000)
        keys.discard_expired_keys(1_000 + STALE_FRAME_MS)
        self.assertEqual(keys.verify(signed), b"x")
        keys.discard_expired_keys(1_001 + STALE_FRAME_MS)
        with self.assertRaises(FrameRejectedError):
            keys.verify(signed)
