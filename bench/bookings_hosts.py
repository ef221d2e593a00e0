"""Entry hosts of the bookings experiment: the decision modules behind simulated timers.

The handlers mirror ``medlarvale.bookings.task`` and use its timeouts. Events on a heap replace
sockets, tasks and clocks.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from medlarvale.bookings.keys import SHARD_COUNT, shard_of
from medlarvale.bookings.lease import RENEW_PERIOD_MS, LeaseState
from medlarvale.bookings.ledger import Ledger
from medlarvale.bookings.messages import HandOver, LeaseRequest, Record, Verdict, VerdictKind, View
from medlarvale.bookings.task import (
    ANSWER_MARGIN_MS,
    HAND_OVER_TIMEOUT_MS,
    LOOKUP_TIMEOUT_MS,
    OWNER_RETRY_MS,
    SUBMIT_WAIT_MS,
)
from medlarvale.hashing import choose
from medlarvale.ids import BookingKey, ConfigVersion, HostId, HostIdentity, ListVersion, ShardId
from medlarvale.membership.messages import Heartbeat, HostState
from medlarvale.membership.view import HEARTBEAT_PERIOD_MS, MembershipView

if TYPE_CHECKING:
    from bench.bookings_run import BookingRun

RUNNING = Verdict(VerdictKind.RUNNING)
UNKNOWN = Verdict(VerdictKind.UNKNOWN)
NOT_OWNER = Verdict(VerdictKind.NOT_OWNER)
ANSWERED = Verdict(VerdictKind.ANSWERED)
FINGERPRINT = 1
BACKEND_DELAY_MS = 1.5
BACKEND_WORK_MS = 20.0
SHARDS = tuple(ShardId(number) for number in range(SHARD_COUNT))

Reply = Callable[[Verdict], None]


class EventQueue:
    """Simulated clock with a queue of scheduled actions."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = 0

    def at(self, time_ms: float, action: Callable[[], None]) -> None:
        """Schedules an action; actions due at the same time run in the order of scheduling."""
        self._serial += 1
        heapq.heappush(self._events, (time_ms, self._serial, action))

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedules an action after a delay."""
        self.at(self.now_ms + delay_ms, action)

    def run_until(self, end_ms: float) -> None:
        """Runs all actions due before a time and advances the clock to it."""
        while self._events and self._events[0][0] < end_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        self.now_ms = end_ms


class OneShotReply:
    """Forwards only the first verdict, because replies race with a timeout."""

    def __init__(self, reply: Reply) -> None:
        self._reply: Reply | None = reply

    def __call__(self, verdict: Verdict) -> None:
        reply, self._reply = self._reply, None
        if reply is not None:
            reply(verdict)


@dataclass
class SimulatedHost:
    """One incarnation of an entry host."""

    run: BookingRun
    identity: HostIdentity
    skew_ms: int
    leases: LeaseState
    ledger: Ledger
    view: MembershipView
    state: HostState = HostState.LIVE
    alive: bool = True
    paused_until_ms: float = 0.0
    waiting: dict[BookingKey, list[Reply]] = field(default_factory=dict)
    handing_over: set[ShardId] = field(default_factory=set)
    handed_to: dict[ShardId, HostId] = field(default_factory=dict)
    preferred: dict[tuple[HostId, ...], dict[ShardId, HostId | None]] = field(default_factory=dict)

    @property
    def name(self) -> HostId:
        return self.identity.host

    def wall_ms(self) -> int:
        """Returns the wall-clock time of this host, including its clock error."""
        return int(self.run.wall_ms() + self.skew_ms)

    def execute(self, action: Callable[[], None]) -> None:
        """Runs an action of this host; drops it if the host is lost, delays it during a pause."""
        if not self.alive:
            return
        if self.paused_until_ms > self.run.events.now_ms:
            self.run.events.at(self.paused_until_ms, lambda: self.execute(action))
        else:
            action()

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Starts a timer of this host."""
        self.run.events.after(delay_ms, lambda: self.execute(action))

    def start(self, generator: random.Random) -> None:
        """Starts the timers with random phases."""
        self.view.state = self.state
        self.after(generator.uniform(0.0, HEARTBEAT_PERIOD_MS), self.send_heartbeats)
        self.after(generator.uniform(0.0, RENEW_PERIOD_MS), self.renew_and_repeat)

    def send_heartbeats(self, repeat: bool = True) -> None:
        """Sends the state of this host to all members of the host list."""
        self.view.state = self.state
        self.view.tick(self.run.events.now_ms)
        heartbeat = Heartbeat(
            self.identity.incarnation, self.state, ConfigVersion(1), ListVersion(1), []
        )
        for name in self.run.list_members:
            if name != self.name:
                self.run.send(self.name, name, lambda peer: peer.learn_heartbeat(self, heartbeat))
        if repeat:
            self.after(HEARTBEAT_PERIOD_MS, self.send_heartbeats)

    def learn_heartbeat(self, sender: SimulatedHost, heartbeat: Heartbeat) -> None:
        """Applies a heartbeat to the membership view."""
        self.view.learn_heartbeat(sender.identity, heartbeat, self.run.events.now_ms)

    def learn_list(self, view: View) -> None:
        """Applies a version of the host list to the lease state."""
        self.leases.learn_list(view)

    def renew_and_repeat(self) -> None:
        """Renews the leases now and then periodically."""
        self.renew()
        self.after(RENEW_PERIOD_MS, self.renew_and_repeat)

    def renew(self) -> None:
        """Requests leases from all members for the shards that this host holds or should hold."""
        wall_ms = self.wall_ms()
        held = set(self.leases.held_shards(wall_ms))
        preferred = self._preferred_shards()
        for shard in sorted(held - self.handing_over):
            target = preferred[shard]
            if target is not None and target != self.name:
                self.handing_over.add(shard)
                self.after(0.0, lambda shard=shard, target=target: self._hand_over(shard, target))
        wanted = held | {shard for shard, host in preferred.items() if host == self.name}
        request = self.leases.start_round(wanted - self.handing_over, wall_ms)
        for member in self.leases.views.members():
            if member != self.name:
                self.run.send(
                    self.name, member, lambda peer: peer.handle_lease_request(self, request)
                )

    def _preferred_shards(self) -> dict[ShardId, HostId | None]:
        views = self.leases.views
        members = set(views.newest.members) if views.newest is not None else set()
        live = tuple(
            host
            for host in self.view.live_hosts(self.run.events.now_ms)
            if host in members and views.has_joined(host)
        )
        cached = self.preferred.get(live)
        if cached is None:
            cached = {shard: choose(f"shard-{shard}", live) for shard in SHARDS}
            self.preferred[live] = cached
        return cached

    def handle_lease_request(self, sender: SimulatedHost, request: LeaseRequest) -> None:
        """Grants the requested leases and sends the reply."""
        reply = self.leases.handle_request(sender.identity, request, self.wall_ms())
        self.run.send(
            self.name, sender.name, lambda peer: peer.leases.handle_reply(self.identity, reply)
        )

    def _hand_over(self, shard: ShardId, target: HostId) -> None:
        interval = self.leases.release_lease(shard)
        if interval is None:
            self.handing_over.discard(shard)
            return
        records = self.ledger.hand_over(shard, self.name)
        offer = HandOver(shard, interval[0], interval[1], records)

        def done(accepted: bool | None) -> None:
            if shard not in self.handing_over:
                return
            self.handing_over.discard(shard)
            if accepted is False:
                self.leases.reclaim(shard, *interval)
            else:
                self.handed_to[shard] = target
            if not self.handing_over:
                self.renew()

        self.run.send(self.name, target, lambda peer: peer.handle_hand_over(self, offer, done))
        self.after(HAND_OVER_TIMEOUT_MS, lambda: done(None))

    def handle_hand_over(
        self, sender: SimulatedHost, offer: HandOver, done: Callable[[bool | None], None]
    ) -> None:
        """Takes over a shard if this host is live, and replies whether it did."""
        accepted = self.state is HostState.LIVE
        accepted = accepted and self.leases.take_over(sender.identity, offer)
        if accepted:
            self.handed_to.pop(offer.shard, None)
            self.ledger.take_over(offer.records)
        self.run.send(self.name, sender.name, lambda peer: done(accepted))

    def submit(self, key: BookingKey, end_ms: float, answer: Reply) -> None:
        """Submits a key to its holder, with retries until a final verdict or the deadline."""

        def handle_verdict(verdict: Verdict) -> None:
            if verdict.kind is VerdictKind.NOT_OWNER:
                self.after(OWNER_RETRY_MS, lambda: self.submit(key, end_ms, answer))
            elif verdict.kind is VerdictKind.RUNNING:
                self.submit(key, end_ms, answer)
            else:
                answer(verdict)

        left_ms = end_ms - self.run.events.now_ms
        if left_ms <= 0.0:
            answer(NOT_OWNER)
            return
        holder = self.leases.holder_of(shard_of(key), self.wall_ms())
        if holder is None:
            handle_verdict(NOT_OWNER)
            return
        wait_ms = min(left_ms, SUBMIT_WAIT_MS)
        if holder.host == self.name:
            self.decide(key, wait_ms, handle_verdict)
            return
        once = OneShotReply(handle_verdict)
        self.run.send(
            self.name,
            holder.host,
            lambda peer: peer.decide(key, wait_ms, self._reply_through(peer, once)),
        )
        self.after(wait_ms + ANSWER_MARGIN_MS, lambda: once(NOT_OWNER))

    def _reply_through(self, peer: SimulatedHost, reply: Reply) -> Reply:
        """Returns a callback that sends the verdict of a peer back to this host."""
        return lambda verdict: self.run.send(peer.name, self.name, lambda _: reply(verdict))

    def decide(self, key: BookingKey, wait_ms: float, reply: Reply) -> None:
        """Decides on a submitted key as the holder of its shard."""
        acceptance = self.ledger.accept(key, FINGERPRINT, self.wall_ms())
        if acceptance.dispatch:
            self._dispatch(key)
        if acceptance.lookup:
            self._query_peers(key, reply)
        elif acceptance.verdict.kind is not VerdictKind.RUNNING:
            reply(acceptance.verdict)
        elif acceptance.running_at is not None and acceptance.running_at != self.name:
            self._query([acceptance.running_at], key, wait_ms, lambda found: reply(found[0]))
        else:
            self._await_verdict(key, wait_ms, reply)

    def _dispatch(self, key: BookingKey) -> None:
        # The call reaches the backend server even if this host is lost after sending it.
        self.run.events.after(BACKEND_DELAY_MS, lambda: self.run.count_run(key))
        self.after(2 * BACKEND_DELAY_MS + BACKEND_WORK_MS, lambda: self._settle(key))

    def _settle(self, key: BookingKey) -> None:
        self.ledger.record_verdict(key, ANSWERED)
        self._reply_to_waiters(key)
        target = self.handed_to.get(shard_of(key))
        if target is not None:
            self.run.send(self.name, target, lambda peer: peer.handle_result(key))

    def handle_result(self, key: BookingKey) -> None:
        """Records the verdict of a call that ran at the previous holder."""
        self.ledger.record_verdict(key, ANSWERED)
        self._reply_to_waiters(key)

    def _reply_to_waiters(self, key: BookingKey) -> None:
        for reply in self.waiting.pop(key, []):
            reply(ANSWERED)

    def _await_verdict(self, key: BookingKey, wait_ms: float, reply: Reply) -> None:
        once = OneShotReply(reply)
        self.waiting.setdefault(key, []).append(once)
        self.after(wait_ms, lambda: once(RUNNING))

    def _query_peers(self, key: BookingKey, reply: Reply) -> None:
        peers = [host for host in self.leases.views.members() if host != self.name]

        def combine(verdicts: list[Verdict]) -> None:
            found = [verdict for verdict in verdicts if verdict.kind is not VerdictKind.UNKNOWN]
            final = [verdict for verdict in found if verdict.kind is not VerdictKind.RUNNING]
            reply(next(iter(final or found), UNKNOWN))

        self._query(peers, key, LOOKUP_TIMEOUT_MS, combine)

    def _query(
        self,
        peers: list[HostId],
        key: BookingKey,
        wait_ms: float,
        combine: Callable[[list[Verdict]], None],
    ) -> None:
        verdicts: list[Verdict] = []

        def collect(verdict: Verdict) -> None:
            verdicts.append(verdict)
            if len(verdicts) == len(peers):
                combine(verdicts)

        for name in peers:
            once = OneShotReply(collect)
            self.run.send(
                self.name,
                name,
                lambda peer, once=once: peer.handle_lookup(
                    key, wait_ms, self._reply_through(peer, once)
                ),
            )
            self.after(wait_ms + ANSWER_MARGIN_MS, lambda once=once: once(UNKNOWN))

    def handle_lookup(self, key: BookingKey, wait_ms: float, reply: Reply) -> None:
        """Replies with the recorded verdict; never dispatches the call."""
        record: Record | None = self.ledger.record(key)
        if record is None:
            reply(UNKNOWN)
        elif record.verdict.kind is VerdictKind.RUNNING and record.running_at is None:
            self._await_verdict(key, wait_ms, reply)
        else:
            reply(record.verdict)
