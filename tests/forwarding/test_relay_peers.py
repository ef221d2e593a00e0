"""Tests of which peers get relayed requests, and of what they may do with them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import unittest
from collections import Counter
from typing import Any

import aiohttp
import msgspec
from aiohttp import web
from multidict import CIMultiDict

from medlarvale.clock import SystemClock
from medlarvale.forwarding.errors import (
    BackendError,
    OutcomeUnknownError,
    OverloadedError,
    RejectedError,
)
from medlarvale.forwarding.fleet_messages import Hello
from medlarvale.forwarding.host import ForwardingHost
from medlarvale.forwarding.interface import BackendAnswer
from medlarvale.forwarding.messages import ClientRequest, RouteKind, Target
from medlarvale.forwarding.peer_sender import HttpPeerSender, PeerSender
from medlarvale.forwarding.reach import ReachDetector
from medlarvale.forwarding.relay_client import Relay
from medlarvale.forwarding.relay_messages import RELAYED_HEADER, RelayCodec, RelayedAnswer
from medlarvale.forwarding.servers import ServerTable
from medlarvale.ids import (
    ConfigVersion,
    FailureDomain,
    HostId,
    HostIdentity,
    Incarnation,
    ServerId,
    ServiceName,
)
from medlarvale.peers.auth import FrameGuard, SharedKeys
from medlarvale.platform.standin import StandinServer
from medlarvale.scheduling.retry_budget import RetryBudget
from tests.forwarding.fakes import APP, HERE, FakeAnswer, FakeSink, make_request, make_route
from tests.forwarding.partitions import IP, PartitionedFleet, PathMode, _bind

OTHER = ServiceName("other")
LIMIT_S = 5.0
# The users' RetryBudgetRatio and BudgetSlack.
BUDGET_RATIO, BUDGET_SLACK = 0.2, 54


class _Fleet(unittest.IsolatedAsyncioTestCase):
    domains = {"a1": "a", "b1": "b"}

    async def asyncSetUp(self) -> None:
        # All hosts, servers and callers share a loop, which asyncio's debug mode slows.
        asyncio.get_running_loop().set_debug(False)
        self.fleet = PartitionedFleet()
        self.fleet.platform.servers["t1"] = StandinServer("t1", OTHER, None)
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start(self.domains)
        self.client = aiohttp.ClientSession()
        self.addAsyncCleanup(self.client.close)

    def host(self, name: str) -> ForwardingHost:
        return self.fleet.hosts[name].host

    async def call(self, path: str, request_id: str) -> tuple[int, bytes]:
        headers = {
            "Host": "callers.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "3000",
            "X-Token-Counts": "100,20",
        }
        port = self.fleet.hosts["a1"].caller_port
        url = f"http://{IP}:{port}{path}"
        async with self.client.post(url, headers=headers, data=b"van") as response:
            return response.status, await response.read()

    async def wait_until(self, condition: Any) -> None:
        async with asyncio.timeout(LIMIT_S):
            while not condition():  # noqa: ASYNC110 - the hosts have no event for it
                await asyncio.sleep(0.01)

    async def wait_until_unreached(self, *services: ServiceName) -> None:
        number = 0
        async with asyncio.timeout(LIMIT_S):
            while not self.host("a1")._context.reach.unreached.issuperset(services):
                number += 1
                await self.call("/look/1", f"w{number}")


class RelayedConfigurationTest(_Fleet):
    async def test_a_relayed_request_is_not_handled_by_an_older_configuration(self) -> None:
        """Guards against a host that has used a configuration and then has a request handled as
        only an older one allows, because the peer doesn't know the newer one yet (CONFIG)."""
        peer = self.host("b1")
        known: list[Any] = []
        # The peer hears of the new version later than this host.
        peer.follower.accept = lambda table, sender=None: known.append(table)  # noqa: B010
        await self.fleet.platform.configure(
            2, look="safe app", book="unsafe other", chat="streaming llm"
        )
        await self.wait_until(lambda: self.host("a1").follower.version == 2)
        self.assertEqual(await self.call("/book/1", "before"), (200, b"ok:van"))
        self.assertEqual(self.fleet.platform.servers["t1"].runs, ["before"])
        await self.fleet.set_paths(["a1"], PathMode.RESET)
        await self.wait_until_unreached(APP)
        for number in range(10):
            await self.call("/book/1", f"n{number}")
        servers = self.fleet.platform.servers
        old = [run for name in ("s1", "s2") for run in servers[name].runs if run[0] == "n"]
        self.assertEqual(old, [], "run by the service of version 1")

    async def test_a_relayed_request_goes_to_the_service_that_was_chosen(self) -> None:
        """Guards against a peer that chooses the service of a route by chance once more, among
        them one that it can't reach, or another one than that which began a stream."""
        for name in ("a1", "b1"):
            follower = self.host(name).follower
            assert follower.index is not None
            table = follower.index.table
            routes = tuple(
                (
                    msgspec.structs.replace(route, targets=(Target(APP, 1.0), Target(OTHER, 1.0)))
                    if route.name == "book"
                    else route
                )
                for route in table.routes
            )
            follower.accept(msgspec.structs.replace(table, routes=routes, version=ConfigVersion(2)))
        for server in ("s1", "s2"):
            await self.fleet.hosts["a1"].paths[ServerId(server)].set_mode(PathMode.RESET)
        await self.fleet.hosts["b1"].paths[ServerId("t1")].set_mode(PathMode.RESET)
        await self.wait_until_unreached(APP)
        statuses = Counter([(await self.call("/book/1", f"n{n}"))[0] for n in range(40)])
        self.assertEqual(statuses, {200: 40})


class RelayBudgetTest(_Fleet):
    domains = {"a1": "a", "b1": "b", "b2": "b", "b3": "b"}

    async def test_relays_to_further_peers_stay_within_the_retry_budget(self) -> None:
        """Guards against arrivals at full servers that no retry budget counts, because each peer
        sends a relayed request once for free (BUDGET)."""
        arrived: Counter[str] = Counter()

        async def reject(request: web.Request, request_id: str) -> web.Response:
            arrived[request_id] += 1
            return web.Response(
                status=503, headers={"X-Request-Id": request_id, "X-Not-Executed": "1"}
            )

        await self.fleet.set_paths(["a1"], PathMode.RESET)
        await self.wait_until_unreached(APP)
        for server in ("s1", "s2"):
            setattr(self.fleet.platform.servers[server], "_plain", reject)  # noqa: B010
        requests = 120
        statuses = Counter([(await self.call("/book/1", f"n{n}"))[0] for n in range(requests)])
        self.assertEqual(statuses, {503: requests})
        extra = sum(count - 1 for count in arrived.values())
        self.assertLessEqual(extra, BUDGET_RATIO * requests + BUDGET_SLACK)


class _Sender(PeerSender):
    """Some peers reject all requests, the others serve them.

    Args:
        rejecting: the peers that reject them.
        lost: number of first requests during which the peer is lost.
    """

    def __init__(self, rejecting: set[str], lost: int = 0) -> None:
        self.rejecting = rejecting
        self.lost = lost
        self.asked: list[str] = []

    async def send(
        self, address: str, frame: bytes, left_ms: float, request: ClientRequest
    ) -> BackendAnswer:
        self.asked.append(address)
        if len(self.asked) <= self.lost:
            request.possible_runs += 1
            raise BackendError("the peer was lost")
        if address in self.rejecting:
            raise RejectedError("no server can be reached")
        return FakeAnswer([b"ok"], event_stream=False)

    async def close(self) -> None:
        """Closes nothing."""


class RelayChoiceTest(unittest.IsolatedAsyncioTestCase):
    def build(self, domains: dict[str, str], addresses: dict[str, str], sender: Any) -> Relay:
        clock = SystemClock()
        identity = HostIdentity(HostId("a1"), Incarnation(1))
        hellos = {
            HostId(name): Hello(
                HostIdentity(HostId(name), Incarnation(1)),
                FailureDomain(domain),
                {},
                ConfigVersion(1),
                True,
                {},
                relay_port=1,
            )
            for name, domain in domains.items()
        }
        budget = RetryBudget(0.2)
        guard = FrameGuard(SharedKeys({"fleet": b"k" * 32}), identity, clock.wall_ms())
        return Relay(
            ReachDetector(ServerTable(HERE, random.Random(1)), clock, random.Random(2)),
            lambda: hellos,
            lambda host: addresses[host],
            HERE,
            RelayCodec(identity, guard),
            sender,
            lambda: ConfigVersion(1),
            lambda service: budget,
            clock,
            random.Random(3),
        )

    async def test_peers_of_another_failure_domain_are_asked_in_time(self) -> None:
        """Guards against requests that are refused because all hosts of a failure domain were cut
        off together, and its peers have not said so yet (RECOVER)."""
        domains = {"a2": "a", "a3": "a", "a4": "a", "a5": "a", "b1": "b", "b2": "b"}
        near = {name for name, domain in domains.items() if domain == HERE}
        sender = _Sender(near)
        relay = self.build(domains, {name: name for name in domains}, sender)
        route = make_route(kind=RouteKind.UNSAFE, targets=(Target(APP, 1.0),))
        try:
            reply = await relay.forward(make_request("q1"), route, APP, FakeSink())
        except OverloadedError:
            self.fail(f"refused after {sender.asked}")
        assert reply is not None
        self.assertEqual((reply.status, reply.body), (200, b"ok"))

    async def test_a_safe_call_goes_on_at_another_peer(self) -> None:
        """Guards against safe calls and streams without an event that fail with the one peer that
        had them, although other peers reach the servers (RECOVER)."""
        table = [
            ("safe", make_route(kind=RouteKind.SAFE, targets=(Target(APP, 1.0),)), True),
            ("stream", make_route(kind=RouteKind.STREAM, targets=(Target(APP, 1.0),)), True),
            ("unsafe", make_route(kind=RouteKind.UNSAFE, targets=(Target(APP, 1.0),)), False),
        ]
        for name, route, repeatable in table:
            with self.subTest(name):
                domains = {"b1": "b", "b2": "b", "b3": "b"}
                sender = _Sender(set(), lost=1)
                relay = self.build(domains, {peer: peer for peer in domains}, sender)
                with contextlib.suppress(OutcomeUnknownError):
                    await relay.forward(make_request("q1"), route, APP, FakeSink())
                self.assertEqual(len(sender.asked), 2 if repeatable else 1)

    async def test_an_answer_without_a_body_is_whole(self) -> None:
        """Guards against a booking that has run and counts as unknown, since its answer has neither
        a length nor chunks: it can't have a body (RFC 9112, section 6.3)."""
        status = 204

        async def answer(request: web.BaseRequest) -> web.Response:
            return web.Response(status=status, headers={RELAYED_HEADER: RelayedAnswer.SERVER.value})

        runner = web.ServerRunner(web.Server(answer))
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, IP, 0).start()
        sender = HttpPeerSender()
        self.addAsyncCleanup(sender.close)
        address = f"{IP}:{runner.addresses[0][1]}"
        relay = self.build({"b1": "b"}, {"b1": address}, sender)
        route = make_route(kind=RouteKind.UNSAFE, targets=(Target(APP, 1.0),))
        for status in (204, 304):
            with self.subTest(status):
                reply = await relay.forward(make_request("q1"), route, APP, FakeSink())
                assert reply is not None
                self.assertEqual((reply.status, reply.body), (status, b""))

    async def test_what_no_peer_has_accepted_in_time_has_not_run(self) -> None:
        """Guards against "may have run" for a booking whose time ended before there was a
        connection to a peer."""
        listener = _bind(0)
        self.addCleanup(listener.close)
        # With a backlog of 0, Linux queues one connection and drops the handshakes of further ones.
        listener.listen(0)
        port = listener.getsockname()[1]
        for _ in range(2):
            filler = _bind(0)
            self.addCleanup(filler.close)
            filler.connect_ex((IP, port))
        sender = HttpPeerSender()
        self.addAsyncCleanup(sender.close)
        relay = self.build({"b1": "b"}, {"b1": f"{IP}:{port}"}, sender)
        route = make_route(kind=RouteKind.UNSAFE, targets=(Target(APP, 1.0),))
        request = make_request("q1", deadline_ms=150.0, headers=CIMultiDict())
        with self.assertRaises(OverloadedError):
            await relay.forward(request, route, APP, FakeSink())


if __name__ == "__main__":
    unittest.main()
