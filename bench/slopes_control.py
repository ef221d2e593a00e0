"""Slopes of control traffic: heartbeats, leases, bookings, decisions, status, peer messages."""

from __future__ import annotations

import asyncio
import itertools
import socket
import time
import uuid
from collections.abc import Iterator

import msgspec

from bench.decision_cost import measure_cost
from bench.slope_fit import REPEATS, Slope, fit, processor_us
from medlarvale.bookings.lease import LeaseState
from medlarvale.bookings.ledger import Ledger
from medlarvale.bookings.messages import LeaseReply, LeaseRequest, Verdict, VerdictKind, View
from medlarvale.clock import SystemClock
from medlarvale.errors import Outcome
from medlarvale.ids import (
    BookingKey,
    ConfigVersion,
    FailureDomain,
    HostId,
    HostIdentity,
    Incarnation,
    ListVersion,
    RegionName,
    RequestId,
    ServiceName,
    ShardId,
    WorkspaceId,
    new_incarnation,
)
from medlarvale.membership.messages import EntryHost, Heartbeat, HostList, HostState
from medlarvale.membership.servers import ServerDirectory
from medlarvale.membership.task import MembershipTask
from medlarvale.membership.view import MembershipView
from medlarvale.operators.accounting import CACHE_MS, Accounting
from medlarvale.operators.fleet import StatusReply
from medlarvale.operators.reports import RequestReport
from medlarvale.operators.status import FiguresPart, collect_status
from medlarvale.peers.auth import FrameGuard, SharedKeys
from medlarvale.peers.pynng_transport import PynngTransport
from medlarvale.peers.transport import MessageCodec

KEYS = SharedKeys({"bench": b"0123456789abcdef0123456789abcdef"})
PEER_COUNTS = (4, 8, 16, 32, 48)
HEARTBEAT_ROUNDS = 20
REPLY_SIZES_BYTES = (100, 4_000, 16_000, 64_000)
REPLY_COUNT = 200
SHARD_COUNTS = (8, 16, 32, 64)
MEMBER_COUNTS = (3, 5, 7, 9)
ENGINE_COUNTS = (20, 50, 100, 200)
WORKSPACE_COUNTS = (10, 50, 150, 350)
RECORD_COUNTS = (1_000, 10_000, 50_000)
START_MS = 1_750_000_000_000


class Blob(msgspec.Struct, tag="blob", frozen=True):
    """Message of a chosen size."""

    data: bytes


class StaticListSource:
    """Host list source that never reports a change."""

    async def read(self) -> HostList:
        await asyncio.Event().wait()
        raise AssertionError


_LISTENERS = itertools.count(1)


def free_address() -> str:
    """Returns a free address on a separate loopback IP.

    Outgoing connections use 127.0.0.1, so they can't occupy the port in the meantime.
    """
    number = next(_LISTENERS)
    ip = f"127.0.{100 + number // 250}.{1 + number % 250}"
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return f"tcp://{ip}:{probe.getsockname()[1]}"


def new_transport(name: str, codec: MessageCodec) -> PynngTransport:
    """Returns a transport that listens at a free address."""
    clock = SystemClock()
    identity = HostIdentity(HostId(name), new_incarnation(clock.wall_ms()))
    guard = FrameGuard(KEYS, identity, clock.wall_ms())
    return PynngTransport(identity, free_address(), guard, codec, clock)


async def _heartbeat_round(peers: int) -> tuple[float, float]:
    """Returns CPU time in µs of both ends, and bytes sent and received, of one round."""
    codec = MessageCodec((Heartbeat,))
    transports = [new_transport(f"entry{number}", codec) for number in range(peers + 1)]
    sender = transports[0]

    async def answer(peer: HostIdentity, beat: Heartbeat) -> Heartbeat:
        return beat

    entries = []
    for transport in transports:
        entries.append(EntryHost(transport._identity.host, transport._address, FailureDomain("d")))
        transport.register(Heartbeat, answer)
        transport.start()
    view = MembershipView(sender._identity)
    task = MembershipTask(
        view,
        ServerDirectory(),
        sender,
        sender,
        StaticListSource(),
        SystemClock(),
        lambda: ConfigVersion(1),
    )
    view.state = HostState.LIVE
    view.learn_list(HostList(ListVersion(1), entries, []))
    sender.set_peers(view.peer_addresses())

    async def exchange() -> None:
        task.send_heartbeats()
        while task._tasks:
            await asyncio.gather(*task._tasks, return_exceptions=True)

    try:
        for _ in range(5):
            await exchange()
            await asyncio.sleep(0.02)
        bytes_before = sender.sent_bytes + sender.received_bytes
        used_us = float("inf")
        for _ in range(REPEATS):
            start_s = time.process_time()
            for _ in range(HEARTBEAT_ROUNDS):
                await exchange()
            used_s = (time.process_time() - start_s) / HEARTBEAT_ROUNDS
            used_us = min(used_us, used_s * 1e6)
        size = sender.sent_bytes + sender.received_bytes - bytes_before
        size /= REPEATS * HEARTBEAT_ROUNDS
        return used_us, size
    finally:
        await task.close()
        for transport in transports:
            await transport.close()


def heartbeat_slopes() -> list[Slope]:
    """Measures heartbeat rounds over pynng by the number of peers.

    A node sends one heartbeat to each peer and answers one from each, so the CPU time of both ends
    in a round equals that of a node in one period.
    """
    figures = [(peers, asyncio.run(_heartbeat_round(peers))) for peers in PEER_COUNTS]
    return [
        fit("heartbeat period, both ends", "peer", "µs", [(n, us) for n, (us, _) in figures]),
        fit("heartbeat and answer", "peer", "bytes", [(n, size) for n, (_, size) in figures]),
    ]


async def _peer_replies(size_bytes: int) -> tuple[float, float]:
    """Returns CPU time and elapsed time in µs of a request and its reply, run sequentially."""
    codec = MessageCodec((Blob,))
    client, responder = new_transport("a", codec), new_transport("b", codec)
    reply = Blob(b"x" * size_bytes)

    async def answer(peer: HostIdentity, message: Blob) -> Blob:
        return reply

    responder.register(Blob, answer)
    client.start()
    responder.start()
    client.set_peers({HostId("b"): responder._address})
    empty_request = Blob(b"")
    try:
        for _ in range(20):
            await client.request(HostId("b"), empty_request, 2_000)
        start_s, used_s = time.perf_counter(), time.process_time()
        for _ in range(REPLY_COUNT):
            await client.request(HostId("b"), empty_request, 2_000)
        used_us = (time.process_time() - used_s) * 1e6 / REPLY_COUNT
        return used_us, (time.perf_counter() - start_s) * 1e6 / REPLY_COUNT
    finally:
        await client.close()
        await responder.close()


def peer_slopes() -> list[Slope]:
    """Measures request and reply over pynng on loopback by the size of the reply."""
    figures = [(size / 1_000, asyncio.run(_peer_replies(size))) for size in REPLY_SIZES_BYTES]
    return [
        fit("peer request, processor, both ends", "KB", "µs", [(x, us) for x, (us, _) in figures]),
        fit("peer request, elapsed", "KB", "µs", [(x, us) for x, (_, us) in figures]),
    ]


def new_cell(members: int) -> list[LeaseState]:
    """Returns hosts with the same active view, long enough after their start to hold leases."""
    identities = [
        HostIdentity(HostId(f"entry{n}"), Incarnation((START_MS << 16) + n)) for n in range(members)
    ]
    hosts = [LeaseState(identity, START_MS - 60_000) for identity in identities]
    view = View(ListVersion(1), tuple(identity.host for identity in identities))
    for host in hosts:
        host.learn_list(view)
    for _ in range(2):
        for host in hosts:
            for other in hosts:
                other.views.learn_report(host.identity, host.views.report())
    return hosts


def lease_round(hosts: list[LeaseState], codec: MessageCodec, shards: int, wall_ms: int) -> int:
    """Runs a lease round of the first host with all others; returns the message bytes."""
    holder = hosts[0]
    request = holder.start_round([ShardId(number) for number in range(shards)], wall_ms)
    size = 0
    for grantor in hosts[1:]:
        sent = codec.encode(request)
        received = codec.decode(sent)
        assert isinstance(received, LeaseRequest)
        answered = codec.encode(grantor.handle_request(holder.identity, received, wall_ms))
        reply = codec.decode(answered)
        assert isinstance(reply, LeaseReply)
        holder.handle_reply(grantor.identity, reply)
        size += len(sent) + len(answered)
    assert len(holder.held_shards(wall_ms)) == shards, "some shards were not granted"
    return size


def lease_slopes() -> list[Slope]:
    """Measures lease rounds by shards and members, with decisions and codec of both ends."""
    codec = MessageCodec((LeaseRequest, LeaseReply))

    def measure(members: int, shards: int) -> tuple[float, int]:
        hosts = new_cell(members)
        size = lease_round(hosts, codec, shards, START_MS)
        used = processor_us(lambda: lease_round(hosts, codec, shards, START_MS), 40)
        return used, size

    by_shards = [(shards, measure(5, shards)) for shards in SHARD_COUNTS]
    by_members = [(members - 1, measure(members, 64 // members)) for members in MEMBER_COUNTS]
    return [
        fit("lease round, 5 members", "shard", "µs", [(x, us) for x, (us, _) in by_shards]),
        fit("lease round, 5 members", "shard", "bytes", [(x, size) for x, (_, size) in by_shards]),
        fit(
            "lease round, 64/members shards held",
            "peer",
            "µs",
            [(x, u) for x, (u, _) in by_members],
        ),
        fit(
            "lease round, 64/members shards held",
            "peer",
            "bytes",
            [(x, size) for x, (_, size) in by_members],
        ),
    ]


def booking_key(number: int) -> BookingKey:
    """Returns a UUIDv7 key that was issued at the start time."""
    value = (START_MS << 80) | (7 << 76) | (2 << 62) | number
    return BookingKey(f"firm/comptoir/{uuid.UUID(int=value)}")


def ledger_slopes() -> list[Slope]:
    """Measures accepting a new key and recording its verdict, by the size of the ledger."""
    points = []
    for count in RECORD_COUNTS:
        leases = new_cell(3)
        lease_round(leases, MessageCodec((LeaseRequest, LeaseReply)), 64, START_MS)
        ledger = Ledger(leases[0], 600_000)
        serial = itertools.count()

        def accept_and_settle(ledger: Ledger = ledger, serial: Iterator[int] = serial) -> None:
            key = booking_key(next(serial))
            assert ledger.accept(key, 1, START_MS).dispatch
            ledger.record_verdict(key, Verdict(VerdictKind.ANSWERED))

        for _ in range(count):
            accept_and_settle()
        points.append((count / 1_000.0, processor_us(accept_and_settle, 500)))
    return [fit("booking accepted and settled", "1,000 records", "µs", points)]


def decision_slopes() -> list[Slope]:
    """Measures placement decisions by the number of engines."""
    costs = [measure_cost(engines, 0.9) for engines in ENGINE_COUNTS]
    return [
        fit(
            "reserve decision, median",
            "engine",
            "µs",
            [(c.engines, c.reserve_p50_us) for c in costs],
        ),
        fit(
            "reserve decision, p99", "engine", "µs", [(c.engines, c.reserve_p99_us) for c in costs]
        ),
        fit(
            "progress or release, median",
            "engine",
            "µs",
            [(c.engines, c.other_p50_us) for c in costs],
        ),
    ]


def status_slopes() -> list[Slope]:
    """Measures the status answer of a node by the number of workspaces with traffic."""
    codec = MessageCodec((StatusReply,))
    identity = HostIdentity(HostId("entry0"), Incarnation(1))
    times, sizes = [], []
    for workspaces in WORKSPACE_COUNTS:
        accounting = new_accounting(workspaces)

        def answer(accounting: Accounting = accounting) -> bytes:
            return codec.encode(StatusReply(collect_status(identity, [FiguresPart(accounting)])))

        times.append((workspaces, processor_us(answer, 1, 3)))
        sizes.append((workspaces, float(len(answer()))))
    return [
        fit("status answer, not cached", "workspace", "µs", times),
        fit("status answer", "workspace", "bytes", sizes),
    ]


class CacheExpiringClock(SystemClock):
    """Clock that passes the cache time with each reading, so that no answer is cached."""

    def __init__(self) -> None:
        self._now_ms = 0.0

    def now_ms(self) -> float:
        """Returns the previous time plus the cache time and 100 ms."""
        self._now_ms += CACHE_MS + 100.0
        return self._now_ms


class FrozenClock(SystemClock):
    """Clock whose time does not advance while reports are counted."""

    def now_ms(self) -> float:
        """Returns 0 always."""
        return 0.0


def new_accounting(workspaces: int) -> Accounting:
    """Returns accounting with reports of a number of workspaces."""
    accounting = Accounting(FrozenClock(), lambda domain: RegionName("r"), lambda server: None)
    for number in range(workspaces * 4):
        accounting.request_finished(
            RequestReport(
                RequestId(str(number)),
                ServiceName("llm"),
                WorkspaceId(f"firm-{number % workspaces:04d}"),
                FailureDomain("d"),
                Outcome.ANSWERED,
                within_targets=True,
                ttft_ms=100.0 + number,
                tbt_p95_ms=40.0,
                output_tokens=350,
            )
        )
    accounting._clock = CacheExpiringClock()
    return accounting
