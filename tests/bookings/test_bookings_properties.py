"""Properties of at-most-once calls under random faults.

Messages between hosts may be lost, repeated, delayed and reordered. Hosts pause (they are not
scheduled), crash, restart without their state and are replaced. Clocks differ, links are cut, and
a dispatched call reaches the backend server at any later time.
"""

from __future__ import annotations

import unittest
import uuid

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from medlarvale.bookings.keys import SHARD_COUNT, shard_of
from medlarvale.bookings.lease import CLOCK_BOUND_MS, LeaseState
from medlarvale.bookings.ledger import Ledger
from medlarvale.bookings.messages import (
    HandOver,
    LeaseReply,
    LeaseRequest,
    Verdict,
    VerdictKind,
    View,
)
from medlarvale.hashing import choose
from medlarvale.ids import BookingKey, HostId, HostIdentity, Incarnation, ListVersion, ShardId

KEY_MAX_AGE_MS = 20_000
START_MS = 1_750_000_000_000
# A few shards, so that the hosts compete for them and the runs stay short.
SHARDS = [ShardId(number) for number in range(3)]
HOST_INDEX = st.integers(0, 6)
ANY_INDEX = st.integers(0, 1_000)
# Limits the cost of a run; older waiting messages count as lost.
MAX_WAITING = 60


class Host:
    """One incarnation of a host with its own clock error."""

    def __init__(self, identity: HostIdentity, wall_ms: int, skew_ms: int) -> None:
        self.identity = identity
        self.skew_ms = skew_ms
        self.leases = LeaseState(identity, wall_ms + skew_ms)
        self.ledger = Ledger(self.leases, lambda: KEY_MAX_AGE_MS)


class Message(msgspec.Struct):
    """A message in transit."""

    sender: HostIdentity
    receiver: HostId
    body: LeaseRequest | LeaseReply | HandOver


class Write(msgspec.Struct):
    """A dispatched call that has not reached the backend server yet."""

    host: HostIdentity
    key: BookingKey


def make_key(issued_ms: int, serial: int) -> BookingKey:
    """Returns a UUIDv7 key of one of the shards in use."""
    while True:
        value = (issued_ms << 80) | (7 << 76) | (2 << 62) | (serial & ((1 << 62) - 1))
        key = BookingKey(f"w/s/{uuid.UUID(int=value)}")
        if shard_of(key) in SHARDS:
            return key
        serial += 1_000_003


class BookingMachine(RuleBasedStateMachine):
    """Runs the lease and ledger decisions of several hosts."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = START_MS
        self.serial = 0
        self.hosts: dict[HostId, Host] = {}
        self.version = 0
        self.messages: list[Message] = []
        self.writes: list[Write] = []
        self.runs: dict[BookingKey, int] = {}
        self.accepted: dict[BookingKey, HostIdentity] = {}
        self.keys: list[BookingKey] = []
        self.cut: set[HostId] = set()
        self.held: dict[tuple[ShardId, HostIdentity], list[tuple[int, int]]] = {}

    @initialize(count=st.integers(3, 5), skews=st.lists(st.integers(-250, 250), min_size=5))
    def start(self, count: int, skews: list[int]) -> None:
        for number in range(count):
            self.start_host(HostId(f"host{number}"), skews[number])
        self.publish_list(list(self.hosts))
        self.run_quietly(16)

    def start_host(self, name: HostId, skew_ms: int) -> None:
        self.serial += 1
        identity = HostIdentity(name, Incarnation((self.now_ms << 16) | self.serial))
        self.hosts[name] = Host(identity, self.now_ms, skew_ms)

    def publish_list(self, receivers: list[HostId]) -> None:
        self.version += 1
        self.view = View(ListVersion(self.version), tuple(sorted(self.hosts)))
        for name in receivers:
            self.hosts[name].leases.learn_list(self.view)

    def wall_ms(self, host: Host) -> int:
        return self.now_ms + host.skew_ms

    def pick(self, index: int) -> Host:
        return self.hosts[sorted(self.hosts)[index % len(self.hosts)]]

    def linked(self, one: HostId, other: HostId) -> bool:
        return (one in self.cut) == (other in self.cut)

    def renew(self, host: Host, live: list[HostId]) -> None:
        held = set(host.leases.held_shards(self.wall_ms(host)))
        preferred = {
            shard for shard in SHARDS if choose(f"shard-{shard}", live) == host.identity.host
        }
        request = host.leases.start_round(held | preferred, self.wall_ms(host))
        for member in host.leases.views.members():
            if member != host.identity.host:
                self.messages.append(Message(host.identity, member, request))

    def deliver(self, message: Message) -> None:
        host = self.hosts.get(message.receiver)
        # Messages over a cut link are lost.
        if host is None or not self.linked(message.sender.host, message.receiver):
            return
        match message.body:
            case LeaseRequest() as request:
                reply = host.leases.handle_request(message.sender, request, self.wall_ms(host))
                self.messages.append(Message(host.identity, message.sender.host, reply))
            case LeaseReply() as reply:
                host.leases.handle_reply(message.sender, reply)
            case HandOver() as offer:
                if host.leases.take_over(message.sender, offer):
                    host.ledger.take_over(offer.records)
                    # The sender's key times belong to the receiver from now on.
                    self.held.pop((offer.shard, message.sender), None)

    def run_quietly(self, rounds: int, paused: frozenset[HostId] = frozenset()) -> None:
        """Renews the leases of all hosts except the paused ones, whose incoming messages wait."""
        for _ in range(rounds):
            self.now_ms += 250
            awake = [name for name in sorted(self.hosts) if name not in paused]
            for name in awake:
                live = [other for other in awake if self.linked(name, other)]
                self.renew(self.hosts[name], live)
            waiting = []
            while self.messages:
                message = self.messages.pop(0)
                if message.receiver in paused:
                    waiting.append(message)
                else:
                    self.deliver(message)
            self.messages = waiting[-MAX_WAITING:]

    @rule(duration_ms=st.sampled_from([10, 100, 250, 600, 1_500, 5_000]))
    def pass_time(self, duration_ms: int) -> None:
        self.now_ms += duration_ms

    @rule(index=HOST_INDEX, gone=HOST_INDEX)
    def renew_leases(self, index: int, gone: int) -> None:
        host = self.pick(index)
        live = [name for name in sorted(self.hosts) if name != self.pick(gone).identity.host]
        self.renew(host, live or [host.identity.host])

    @rule(rounds=st.integers(1, 12))
    def settle_all(self, rounds: int) -> None:
        self.run_quietly(rounds)

    @rule(names=st.sets(HOST_INDEX, min_size=1, max_size=2), rounds=st.integers(4, 12))
    def run_while_paused(self, names: set[int], rounds: int) -> None:
        self.run_quietly(rounds, frozenset(self.pick(index).identity.host for index in names))

    @precondition(lambda self: self.accepted)
    @rule(rounds=st.integers(4, 12), key_index=st.integers(0, 2))
    def run_while_owner_paused(self, rounds: int, key_index: int) -> None:
        owner = list(self.accepted.values())[-1 - key_index % len(self.accepted)]
        self.run_quietly(rounds, frozenset([owner.host]))

    @precondition(lambda self: self.accepted)
    @rule(key_index=st.integers(0, 2))
    def cut_off_owner(self, key_index: int) -> None:
        owner = list(self.accepted.values())[-1 - key_index % len(self.accepted)]
        self.cut = {owner.host}

    @precondition(lambda self: self.messages)
    @rule(index=ANY_INDEX, repeat=st.booleans())
    def deliver_one(self, index: int, repeat: bool) -> None:
        position = index % len(self.messages)
        message = self.messages[position]
        # Handovers pass the transport's replay check, which drops repeated frames.
        if not repeat or isinstance(message.body, HandOver):
            del self.messages[position]
        self.deliver(message)

    @precondition(lambda self: self.messages)
    @rule(index=ANY_INDEX)
    def lose_one(self, index: int) -> None:
        del self.messages[index % len(self.messages)]

    @rule(names=st.sets(HOST_INDEX, max_size=3))
    def partition(self, names: set[int]) -> None:
        self.cut = {self.pick(index).identity.host for index in names}

    @rule()
    def heal(self) -> None:
        self.cut = set()

    @rule(index=HOST_INDEX, skew_ms=st.integers(-250, 250))
    def crash_and_restart(self, index: int, skew_ms: int) -> None:
        host = self.pick(index)
        self.now_ms += 5
        self.start_host(host.identity.host, skew_ms)
        self.hosts[host.identity.host].leases.learn_list(self.view)
        self.messages = [
            message for message in self.messages if message.receiver != host.identity.host
        ]

    @precondition(lambda self: len(self.hosts) <= 6)
    @rule(skew_ms=st.integers(-250, 250), updated=st.sets(HOST_INDEX))
    def add_host(self, skew_ms: int, updated: set[int]) -> None:
        self.serial += 1
        name = HostId(f"host{self.serial + 10}")
        self.start_host(name, skew_ms)
        self.publish_list([name, *(self.pick(index).identity.host for index in updated)])

    @precondition(lambda self: len(self.hosts) > 3)
    @rule(index=HOST_INDEX, updated=st.sets(HOST_INDEX))
    def remove_host(self, index: int, updated: set[int]) -> None:
        del self.hosts[self.pick(index).identity.host]
        self.publish_list([self.pick(other).identity.host for other in updated])

    @rule(index=HOST_INDEX, age_ms=st.integers(-CLOCK_BOUND_MS, 1_000), routed=st.booleans())
    def submit_new(self, index: int, age_ms: int, routed: bool) -> None:
        self.serial += 1
        key = make_key(self.now_ms - age_ms, self.serial)
        self.keys.append(key)
        self.submit(self.route(index, key) if routed else self.pick(index), key)

    @precondition(lambda self: self.keys)
    @rule(index=HOST_INDEX, key_index=st.integers(0, 3), routed=st.booleans())
    def submit_again(self, index: int, key_index: int, routed: bool) -> None:
        key = self.keys[-1 - key_index % len(self.keys)]
        self.submit(self.route(index, key) if routed else self.pick(index), key)

    @rule()
    def submit_fresh_everywhere(self) -> None:
        self.serial += 1
        key = make_key(self.now_ms, self.serial)
        self.keys.append(key)
        for host in list(self.hosts.values()):
            self.submit(host, key)

    @precondition(lambda self: self.keys)
    @rule()
    def submit_all_everywhere(self) -> None:
        for key in self.keys:
            for host in list(self.hosts.values()):
                self.submit(host, key)

    def route(self, index: int, key: BookingKey) -> Host:
        """Returns the host to which the picked host would forward the key."""
        entry = self.pick(index)
        holder = entry.leases.holder_of(shard_of(key), self.wall_ms(entry))
        return self.hosts.get(holder.host, entry) if holder is not None else entry

    def submit(self, host: Host, key: BookingKey) -> None:
        acceptance = host.ledger.accept(key, 1, self.wall_ms(host))
        if acceptance.dispatch:
            assert key not in self.accepted, f"{key} accepted by {self.accepted[key]} as well"
            self.accepted[key] = host.identity
            self.writes.append(Write(host.identity, key))
        if acceptance.verdict.kind is VerdictKind.NOT_RUN:
            assert self.runs.get(key, 0) == 0, "verdict NOT_RUN, but the call ran"
            assert all(
                write.key != key for write in self.writes
            ), "verdict NOT_RUN, but the call will run"

    @precondition(lambda self: self.writes)
    @rule(index=ANY_INDEX, connects=st.booleans())
    def write_to_server(self, index: int, connects: bool) -> None:
        write = self.writes.pop(index % len(self.writes))
        kind = VerdictKind.ANSWERED if connects else VerdictKind.NOT_RUN
        if connects:
            self.runs[write.key] = self.runs.get(write.key, 0) + 1
        host = self.hosts.get(write.host.host)
        if host is not None and host.identity == write.host:
            host.ledger.record_verdict(write.key, Verdict(kind))

    @rule(index=HOST_INDEX, to_index=HOST_INDEX, shard=st.sampled_from(SHARDS))
    def hand_over(self, index: int, to_index: int, shard: ShardId) -> None:
        holder, receiver = self.pick(index), self.pick(to_index)
        if holder is receiver:
            return
        interval = holder.leases.release_lease(shard)
        if interval is None:
            return
        records = holder.ledger.hand_over(shard, holder.identity.host)
        offer = HandOver(shard, interval[0], interval[1], records)
        self.messages.append(Message(holder.identity, receiver.identity.host, offer))

    @rule()
    def expire_records(self) -> None:
        for host in self.hosts.values():
            host.ledger.expire(self.wall_ms(host))

    @invariant()
    def intervals_are_disjoint(self) -> None:
        """No key time of a shard was ever held by two incarnations of hosts."""
        for host in self.hosts.values():
            for shard in SHARDS:
                interval = host.leases.interval(shard)
                if interval is not None:
                    self.record_held(shard, host.identity, interval)

    def record_held(
        self, shard: ShardId, identity: HostIdentity, interval: tuple[int, int]
    ) -> None:
        own = self.held.setdefault((shard, identity), [])
        if own and own[-1] == interval:
            return
        if own and own[-1][0] == interval[0]:
            own.pop()
        own.append(interval)
        for (other_shard, other), intervals in self.held.items():
            if other_shard != shard or other == identity:
                continue
            for above_ms, until_ms in intervals:
                overlap = max(above_ms, interval[0]) < min(until_ms, interval[1])
                assert not overlap, f"{identity} and {other} both hold key times of {shard}"

    @invariant()
    def runs_at_most_once(self) -> None:
        assert all(count <= 1 for count in self.runs.values()), self.runs


class BookingProperties(unittest.TestCase):
    """Guards against a booking that runs twice and against a wrong ``NOT_RUN`` verdict."""

    def test_at_most_once(self) -> None:
        assert len(SHARDS) < SHARD_COUNT
        run_state_machine_as_test(BookingMachine, settings=settings())


if __name__ == "__main__":
    unittest.main()
