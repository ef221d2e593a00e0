"""Tests of requests that a host relays to a peer, and of what the peer accepts."""

from __future__ import annotations

import asyncio
import unittest
from collections import Counter
from typing import Any
from unittest import mock

import aiohttp
import msgspec
from multidict import CIMultiDict

from medlarvale.forwarding.host import ForwardingHost
from medlarvale.forwarding.relay_messages import (
    RELAY_PATH,
    RELAYED_HEADER,
    RelayCodec,
    RelayedAnswer,
)
from medlarvale.ids import HostId, HostIdentity, Incarnation, ServiceName
from medlarvale.platform.standin import stream_body
from tests.forwarding.fakes import make_request
from tests.forwarding.partitions import IP, PartitionedFleet, PathMode

SERVICES = frozenset({ServiceName("app"), ServiceName("llm")})
DETECTED_S = 3.0
WAIT_S = 5.0
# Three events arrive before a cut after this time, and the stream ends well after it.
EVENT_S = 0.3
CUT_AFTER_S = 0.8


class RelayTestCase(unittest.IsolatedAsyncioTestCase):
    domains = {"a1": "a", "b1": "b"}

    async def asyncSetUp(self) -> None:
        self.fleet = PartitionedFleet()
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start(self.domains)
        self.client = aiohttp.ClientSession()
        self.addAsyncCleanup(self.client.close)

    def host(self, name: str = "a1") -> ForwardingHost:
        return self.fleet.hosts[name].host

    def call(
        self, path: str, request_id: str = "q1", deadline_ms: int = 3_000, host: str = "a1"
    ) -> Any:
        headers = {
            "Host": "callers.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            "X-Token-Counts": "100,20",
            "X-Custom": "kept",
        }
        port = self.fleet.hosts[host].caller_port
        return self.client.post(f"http://{IP}:{port}{path}", headers=headers, data=b"van")

    async def wait_until(self, condition: Any, limit_s: float = WAIT_S) -> None:
        async with asyncio.timeout(limit_s):
            while not condition():  # noqa: ASYNC110 - the hosts have no event for it
                await asyncio.sleep(0.01)

    async def cut_off(self, mode: PathMode = PathMode.RESET, host: str = "a1") -> None:
        """Cuts a host off and waits until it knows, while callers send requests."""
        await self.fleet.set_paths([host], mode)
        number = 0
        async with asyncio.timeout(DETECTED_S):
            while self.host(host)._context.reach.unreached != SERVICES:
                for path in ("/look/1", "/chat/1"):
                    number += 1
                    async with self.call(path, f"w{number}", host=host) as response:
                        await response.read()


class RelayTest(RelayTestCase):
    async def test_requests_are_served_by_a_peer(self) -> None:
        """Guards against a relayed request that is changed, answered without the server's headers
        or run twice."""
        await self.cut_off()
        table = [
            ("/look/1", b"ok:van"),
            ("/book/1?x=%2F", b"ok:van"),
            ("/chat/1", stream_body("q1")),
        ]
        for path, expected in table:
            with self.subTest(path):
                async with self.call(path) as response:
                    self.assertEqual((response.status, await response.read()), (200, expected))
                    self.assertIn("X-Response-Signature", response.headers)
                    self.assertEqual(response.headers["X-Request-Id"], "q1")
                    self.assertNotIn(RELAYED_HEADER, response.headers)
        self.assertEqual(self.fleet.platform.runs()["q1"], len(table))

    async def test_a_host_that_knows_tries_no_server_first(self) -> None:
        """Guards against calls that reach a peer only after attempts at servers that the host is
        cut off from: they take longer, and what hangs there may be lost."""
        for mode in (PathMode.RESET, PathMode.HANG):
            with self.subTest(mode):
                await self.fleet.set_paths(["a1"], PathMode.OPEN)
                await self.wait_until(lambda: not self.host()._context.reach.unreached)
                await self.cut_off(mode)
                backends = self.host()._context.backends
                with mock.patch.object(backends, "send", wraps=backends.send) as send:
                    for path in ("/look/1", "/book/1", "/chat/1"):
                        async with self.call(path, f"{mode.value}{path}") as response:
                            self.assertEqual(response.status, 200)
                            await response.read()
                self.assertEqual(send.call_count, 0)

    async def test_the_host_serves_itself_again(self) -> None:
        """Guards against relays that go on after the partition has healed."""
        await self.cut_off()
        await self.fleet.set_paths(["a1"], PathMode.OPEN)
        await self.wait_until(lambda: not self.host()._context.reach.unreached, 2.0)
        await self.fleet.set_paths(["b1"], PathMode.RESET)
        async with self.call("/book/1") as response:
            self.assertEqual(response.status, 200)

    async def test_a_stream_in_progress_goes_on_at_a_peer(self) -> None:
        """Guards against streams that are cut because their host is cut off from their engine, and
        against events that are missing or come twice."""
        for mode in (PathMode.HANG, PathMode.RESET):
            with self.subTest(mode):
                await self.fleet.set_paths(["a1"], PathMode.OPEN)
                for server in self.fleet.platform.servers.values():
                    server.delay_s = 0.0
                await self.wait_until(lambda: not self.host()._context.reach.unreached)
                for engine in ("d1", "d2"):
                    self.fleet.platform.servers[engine].delay_s = EVENT_S
                stream = asyncio.create_task(self._read("/chat/1", mode.value))
                await asyncio.sleep(CUT_AFTER_S)
                await self.fleet.set_paths(["a1"], mode)
                for engine in ("d1", "d2"):
                    self.fleet.platform.servers[engine].delay_s = 0.0
                calls = [asyncio.create_task(self._read("/look/1", f"l{n}")) for n in range(4)]
                self.assertEqual(await stream, (200, stream_body(mode.value)))
                await asyncio.gather(*calls)

    async def _read(self, path: str, request_id: str) -> tuple[int, bytes]:
        async with self.call(path, request_id, 6_000) as response:
            return response.status, await response.read()

    async def test_what_no_peer_serves_is_refused_as_not_run(self) -> None:
        """Guards against relays in a circle, and against "may have run" for a request that no
        server has received."""
        await self.cut_off()
        await self.fleet.set_paths(["b1"], PathMode.RESET)
        for number in range(10):
            async with self.call("/book/1", f"n{number}") as response:
                self.assertEqual(response.status, 503)
                self.assertIn("Retry-After", response.headers)
        self.assertEqual(self.fleet.platform.runs()["n1"], 0)

    async def test_a_caller_that_leaves_cancels_the_run_at_the_peer(self) -> None:
        """Guards against servers that work for callers that have left (GONE)."""
        await self.cut_off()
        for engine in ("d1", "d2"):
            self.fleet.platform.servers[engine].delay_s = EVENT_S
        async with self.call("/chat/1", "left") as response:
            await response.content.readany()
            response.close()
        servers = self.fleet.platform.servers
        await self.wait_until(lambda: "left" in servers["d1"].cancelled + servers["d2"].cancelled)
        await self.wait_until(lambda: self.host("b1").relay_server.in_flight == 0)

    async def test_a_peer_that_is_lost_does_not_look_complete(self) -> None:
        """Guards against a stream that ends as whole because the peer's connection ended."""
        await self.cut_off()
        for engine in ("d1", "d2"):
            self.fleet.platform.servers[engine].delay_s = EVENT_S
        with self.assertRaises(aiohttp.ClientPayloadError):
            async with self.call("/chat/1", "lost") as response:
                await response.content.readany()
                self.host("b1").relay_server.abort()
                await response.read()


class UnreachingPeerTest(RelayTestCase):
    domains = {"a1": "a", "a2": "a", "b1": "b"}

    async def test_nothing_is_relayed_to_a_peer_that_is_cut_off_too(self) -> None:
        """Guards against requests that go first to a neighbour that can only refuse them."""
        await self.cut_off()
        await self.cut_off(host="a2")
        view, sender = self.host().fleet.view, self.host()._peer_sender

        def neighbour_is_cut_off() -> bool:
            hello = view.live(self.host().clock.now_ms()).get(HostId("a2"))
            return hello is not None and hello.unreached == SERVICES

        await self.wait_until(neighbour_is_cut_off)
        with mock.patch.object(sender, "send", wraps=sender.send) as send:
            for path in ("/look/1", "/book/1", "/chat/1"):
                async with self.call(path) as response:
                    self.assertEqual(response.status, 200)
                    await response.read()
        addresses = {call.args[0] for call in send.call_args_list}
        self.assertEqual(addresses, {view.relay_address(HostId("b1"))})


class RelayServerTest(RelayTestCase):
    async def post(self, frame: bytes) -> tuple[int, str | None]:
        port = self.host("b1")._relay_port
        async with self.client.post(f"http://{IP}:{port}{RELAY_PATH}", data=frame) as response:
            await response.read()
            return response.status, response.headers.get(RELAYED_HEADER)

    async def test_only_fresh_requests_of_peers_are_accepted(self) -> None:
        """Guards against a booking that runs twice because its frame arrives twice, and against
        requests of a process that is no host of the fleet."""
        peer, sender = self.host("b1"), self.host()
        wall_ms = sender.clock.wall_ms()
        headers = CIMultiDict({"X-Request-Id": "r1"})
        request = make_request("r1", path="/book/1", headers=headers)
        codec = RelayCodec(
            HostIdentity(HostId("a1"), Incarnation(wall_ms)),
            sender._new_guard(sender.fleet.view.identity),
        )
        receiver = peer.fleet.view.identity.host
        valid = codec.encode(request, 3_000.0, receiver, wall_ms)
        nested = msgspec.msgpack.encode(None) + b"\x91" * 50_000 + b"\x01"
        table = [
            ("valid", valid, (200, RelayedAnswer.SERVER.value)),
            ("repeated", valid, (503, RelayedAnswer.NOT_RUN.value)),
            (
                "stale",
                codec.encode(request, 3_000.0, receiver, wall_ms - 60_000),
                (503, RelayedAnswer.NOT_RUN.value),
            ),
            (
                "for another host",
                codec.encode(request, 3_000.0, HostId("c1"), wall_ms),
                (503, RelayedAnswer.NOT_RUN.value),
            ),
            ("changed", valid[:-1] + b"\x00", (503, RelayedAnswer.NOT_RUN.value)),
            ("no frame", b"POST", (503, RelayedAnswer.NOT_RUN.value)),
            ("empty", b"", (503, RelayedAnswer.NOT_RUN.value)),
            ("nested", nested, (503, RelayedAnswer.NOT_RUN.value)),
        ]
        for name, frame, expected in table:
            with self.subTest(name):
                self.assertEqual(await self.post(frame), expected)
        self.assertEqual(self.fleet.platform.runs(), Counter({"r1": 1}))


if __name__ == "__main__":
    unittest.main()
