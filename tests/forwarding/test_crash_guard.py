"""Tests that requests that crash their servers are refused at every host."""

from __future__ import annotations

import asyncio
import unittest

import msgspec

from medlarvale.clock import SystemClock
from medlarvale.forwarding.crash_evidence import fingerprint_of_request
from medlarvale.forwarding.crash_guard import PROBE_DELAY_MS, CrashGuard
from medlarvale.forwarding.errors import (
    BackendError,
    CrashingRequestError,
    NotSentError,
    ServerDownError,
)
from medlarvale.forwarding.messages import Target
from medlarvale.ids import HostId, HostIdentity, Incarnation, ServerId, ServiceName
from medlarvale.peers.transport import MemoryNetwork, MemoryTransport, MessageCodec
from medlarvale.quarantine.messages import QUARANTINE_MESSAGES, Evidence, Loss, LossEvent
from tests.forwarding.fakes import APP, FakeBackends, make_request, make_server


class EarlierShareEvidence(msgspec.Struct, tag="share_evidence", frozen=True):
    """The message of builds up to 71cf027."""

    evidence: tuple[Evidence, ...]
    digest: int | None = None


class Accepted(msgspec.Struct, tag="quarantine_accepted", frozen=True):
    """The answer of these builds."""


class CrashGuardTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.backends = FakeBackends()
        self.network = MemoryNetwork(MessageCodec(QUARANTINE_MESSAGES))
        self.guards = {name: self.make_guard(name) for name in ("a", "b")}

    def make_guard(self, name: str) -> CrashGuard:
        identity = HostIdentity(HostId(name), Incarnation(1))
        others = [HostId(other) for other in ("a", "b") if other != name]
        return CrashGuard(
            self.backends, MemoryTransport(identity, self.network), lambda: others, SystemClock()
        )

    async def break_runs(self, guard: CrashGuard, *servers: str) -> None:
        identity = guard.identify(make_request(body=b"poison"), APP)
        for name in servers:
            guard.note_broken_run(identity, make_server(name, service=APP), events=0)
        await asyncio.sleep(PROBE_DELAY_MS / 1000.0 + 0.05)

    async def test_a_request_is_refused_after_crashes_of_several_servers(self) -> None:
        """Guards against a request that crashes all servers one after the other, and against
        refusals because answers were lost or servers are behind a partition."""
        table: list[tuple[str, Exception | None, list[str], bool]] = [
            ("three servers are gone", ServerDownError(), ["s1", "s2", "s3"], True),
            ("two servers are gone", ServerDownError(), ["s1", "s2"], False),
            ("one server, three broken runs", ServerDownError(), ["s1", "s1", "s1"], False),
            ("the servers still answer", None, ["s1", "s2", "s3"], False),
            ("the servers are unreachable", NotSentError(), ["s1", "s2", "s3"], False),
            ("the servers answer with errors", BackendError("odd"), ["s1", "s2", "s3"], False),
        ]
        for name, probe, servers, refused in table:
            with self.subTest(name):
                self.setUp()
                if probe is not None:
                    self.backends.probe_errors = {ServerId(server): probe for server in servers}
                await self.break_runs(self.guards["a"], *servers)
                for guard in self.guards.values():
                    guard.check(guard.identify(make_request(body=b"other"), APP))
                    if refused:
                        with self.assertRaises(CrashingRequestError):
                            guard.check(guard.identify(make_request(body=b"poison"), APP))
                    else:
                        guard.check(guard.identify(make_request(body=b"poison"), APP))

    async def test_an_answer_that_goes_on_is_no_complete_one(self) -> None:
        """Guards against a request that is never refused, because each of its answers goes on for
        a while before the server crashes (review/3)."""
        table = [("goes on", False, True), ("ends", True, False)]
        for name, complete, refused in table:
            with self.subTest(name):
                self.setUp()
                guard = self.guards["a"]
                identity = guard.identify(make_request(body=b"poison"), APP)
                for server in ("s1", "s2", "s3"):
                    self.backends.probe_errors[ServerId(server)] = ServerDownError()
                    guard.note_clean_run(identity, complete=complete)
                    guard.note_broken_run(
                        identity, make_server(server, service=APP), events=9, went_on=True
                    )
                await asyncio.sleep(PROBE_DELAY_MS / 1000.0 + 0.05)
                for other in self.guards.values():
                    self.assertEqual(self.refuses(other), refused)

    def refuses(self, guard: CrashGuard) -> bool:
        try:
            guard.check(guard.identify(make_request(body=b"poison"), APP))
        except CrashingRequestError:
            return True
        return False

    async def test_hosts_of_two_builds_count_together(self) -> None:
        """Guards against a request that crashes three servers for each build of a mixed fleet.

        Earlier builds know evidence by service only, and an entry of a request's own that they
        don't know would explain its losses to them."""
        poison, other = make_request(body=b"poison"), ServiceName("other")
        targets = (Target(APP, 1.0), Target(other, 1.0))
        told: list[EarlierShareEvidence] = []

        async def receive(sender: HostIdentity, message: EarlierShareEvidence) -> Accepted:
            told.append(message)
            return Accepted()

        self.network.codec = MessageCodec([EarlierShareEvidence, Accepted])
        transport = MemoryTransport(HostIdentity(HostId("b"), Incarnation(2)), self.network)
        transport.register(EarlierShareEvidence, receive)
        guard = self.guards["a"]
        identity = guard.identify(poison, APP, targets)
        self.backends.probe_errors[ServerId("s1")] = ServerDownError()
        guard.note_broken_run(identity, make_server("s1", service=APP), events=0)
        await asyncio.sleep(PROBE_DELAY_MS / 1000.0 + 0.05)
        by_service = fingerprint_of_request(poison, APP)
        self.assertEqual([entry.fingerprint for entry in told[0].evidence], [by_service])
        wall_ms = SystemClock().wall_ms()
        losses = tuple(Loss(wall_ms, LossEvent(ServerId(name), 0, 0)) for name in ("o1", "o2"))
        earlier = Evidence(fingerprint_of_request(poison, other), losses)
        self.network.codec = MessageCodec(QUARANTINE_MESSAGES)
        await transport.request(HostId("a"), EarlierShareEvidence((earlier,)), 500.0)
        for service in (APP, other):
            with self.subTest(service), self.assertRaises(CrashingRequestError):
                guard.check(guard.identify(poison, service, targets))

    async def test_a_probe_that_gets_no_answer_is_repeated(self) -> None:
        """Guards against a crash that counts for nothing because packets of the probe were lost."""
        guard = self.guards["a"]
        for name in ("s1", "s2", "s3"):
            self.backends.probe_errors[ServerId(name)] = NotSentError("lost")
            guard.note_broken_run(
                guard.identify(make_request(body=b"poison"), APP),
                make_server(name, service=APP),
                events=0,
            )
        await asyncio.sleep(1.5 * PROBE_DELAY_MS / 1000.0)
        self.backends.probe_errors = {
            ServerId(name): ServerDownError() for name in ("s1", "s2", "s3")
        }
        await asyncio.sleep(2.0 * PROBE_DELAY_MS / 1000.0)
        with self.assertRaises(CrashingRequestError):
            guard.check(guard.identify(make_request(body=b"poison"), APP))

    async def test_a_replaced_host_learns_what_its_peers_refuse(self) -> None:
        """Guards against a restarted host that crashes three more servers to learn what its peers
        have refused all along."""
        self.backends.probe_errors = {
            ServerId(name): ServerDownError() for name in ("s1", "s2", "s3")
        }
        await self.break_runs(self.guards["a"], "s1", "s2", "s3")
        # The first host has not started its comparisons while the second one asks.
        for asks in ("b", "a"):
            with self.subTest(asks=asks):
                replaced = self.make_guard("b")
                (self.guards["a"] if asks == "a" else replaced).start()
                await self.wait_until_refused(replaced)

    async def wait_until_refused(self, replaced: CrashGuard) -> None:
        async with asyncio.timeout(5.0):
            while True:
                if self.refuses(replaced):
                    break
                await asyncio.sleep(0.05)
