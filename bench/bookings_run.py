"""One run of the bookings experiment: hosts, callers, one fault, and the verdicts of callers."""

from __future__ import annotations

import enum
import random
import uuid
from collections.abc import Callable
from dataclasses import dataclass

from bench.bookings_hosts import SHARDS, EventQueue, SimulatedHost
from medlarvale.bookings.lease import LeaseState
from medlarvale.bookings.ledger import Ledger
from medlarvale.bookings.messages import Verdict, VerdictKind, View
from medlarvale.ids import BookingKey, HostId, HostIdentity, Incarnation, ListVersion
from medlarvale.membership.messages import HostState
from medlarvale.membership.view import MembershipView

HOSTS = 5
MESSAGE_DELAY_MS = 1.5
CALLER_DELAY_MS = 1.5
CLOCK_ERROR_MS = 250
START_WALL_MS = 1_750_000_000_000
KEY_MAX_AGE_MS = 600_000
BOOKINGS_PER_S = 100
# Long enough for the hosts to acquire all leases before the fault.
WARM_UP_MS = 5_000.0
CALLERS_BEFORE_FAULT_MS = 5_000.0
WINDOW_MS = 60_000.0
# A caller without an answer resends the same key through a host chosen at random.
REPEAT_AFTER_MS = 1_000.0
DEADLINE_MS = 10_000.0
PAUSE_MS = 3_000.0
CUT_MS = 20_000.0
# A stopping host stays up until the messages of its callers and of the hand-over have ended.
STOP_AFTER_MS = 5_000.0
# Changes reach the host list late, and each host reads the list at its own time.
LIST_LAG_MS = 5_000.0
LIST_READ_PERIOD_MS = 500.0
POLL_MS = 5.0


class Fault(enum.Enum):
    """Fault of the host with the most shards; ``TWO_LOST`` also affects the second one."""

    LOSS = "one owner lost"
    STOP = "planned stop"
    PAUSE = "pause of 3 s"
    REPLACE = "lost and replaced"
    CUT = "one host cut off"
    TWO_LOST = "two lost at once"


class Policy(enum.Enum):
    """Rule that decides which host may run a key."""

    KEY_TIME = "key-time leases"
    # A key without a timestamp may already have run if the new holder has no record of it. The
    # new holder must assume so until its lease is older than the oldest key that is accepted.
    # Leases over wall-clock time need the same for every key, so one run represents both.
    WALL_CLOCK = "wall clock, or timeless keys"
    BOUND_KEYS = "keys bound to hosts"


@dataclass
class Booking:
    """One new booking from the point of view of its caller."""

    key: BookingKey
    issued_ms: float
    ended_ms: float | None = None
    verdict: VerdictKind | None = None
    sends: int = 0


@dataclass(frozen=True)
class Outcome:
    """Figures of one run, over the bookings that were issued or ended in the window."""

    fault: str
    policy: str
    seed: int
    shards_affected: int
    bookings: int
    refused_or_unknown: int
    percent: float
    new_holder_ms: float
    longest_wait_ms: float
    run_twice: int


class BookingRun:
    """Simulation of hosts, callers and one fault, reproducible from a seed."""

    def __init__(self, fault: Fault, policy: Policy, seed: int) -> None:
        self.fault = fault
        self.policy = policy
        self.seed = seed
        self.random = random.Random(seed)
        self.events = EventQueue()
        self.hosts: dict[HostId, SimulatedHost] = {}
        self.list_members: tuple[HostId, ...] = ()
        self.isolated: set[HostId] = set()
        self.bookings: list[Booking] = []
        self.runs: dict[BookingKey, int] = {}
        self.affected: set[HostId] = set()
        self.new_holder_ms = -1.0
        self.shards_affected = 0
        # After a cold start, keys without a timestamp are unknown for the maximum age of a key.
        cold_start_ms = KEY_MAX_AGE_MS if policy is Policy.WALL_CLOCK else 0
        self.fault_ms = WARM_UP_MS + cold_start_ms + CALLERS_BEFORE_FAULT_MS

    def wall_ms(self) -> float:
        """Returns the wall-clock time without clock errors."""
        return START_WALL_MS + self.events.now_ms

    def count_run(self, key: BookingKey) -> None:
        """Counts one run of a key at the backend server."""
        self.runs[key] = self.runs.get(key, 0) + 1

    def send(
        self, sender: HostId, receiver: HostId, action: Callable[[SimulatedHost], None]
    ) -> None:
        """Runs an action at another host after the message delay; a partition drops the message."""
        linked = (sender in self.isolated) == (receiver in self.isolated)
        host = self.hosts.get(receiver)
        if linked and host is not None:
            self.events.after(MESSAGE_DELAY_MS, lambda: host.execute(lambda: action(host)))

    def add_host(self, name: HostId) -> SimulatedHost:
        """Adds a host with a random clock error."""
        skew_ms = self.random.randint(-CLOCK_ERROR_MS, CLOCK_ERROR_MS)
        started_ms = int(self.wall_ms()) + skew_ms
        identity = HostIdentity(name, Incarnation((started_ms << 16) | len(self.hosts)))
        leases = LeaseState(identity, started_ms)
        ledger = Ledger(leases, lambda: KEY_MAX_AGE_MS)
        host = SimulatedHost(self, identity, skew_ms, leases, ledger, MembershipView(identity))
        self.hosts[name] = host
        return host

    def publish_list(self, version: int, receivers: list[SimulatedHost]) -> None:
        """Publishes the host list; each host reads it within one period."""
        view = View(ListVersion(version), self.list_members)
        for host in receivers:
            delay_ms = self.random.uniform(0.0, LIST_READ_PERIOD_MS)
            host.after(delay_ms, lambda host=host: host.learn_list(view))

    def execute(self) -> Outcome:
        """Runs the warm-up, the fault, the measured window and the remaining calls."""
        names = [HostId(f"entry{self.seed}-{number}") for number in range(HOSTS)]
        self.list_members = tuple(names)
        for name in names:
            self.add_host(name)
        for host in self.hosts.values():
            host.start(self.random)
        self.publish_list(1, list(self.hosts.values()))
        self.events.at(self.fault_ms - CALLERS_BEFORE_FAULT_MS, self._issue)
        self.events.at(self.fault_ms, self._apply_fault)
        self.events.run_until(self.fault_ms + WINDOW_MS + 2 * DEADLINE_MS)
        return self._outcome()

    def _issue(self) -> None:
        if self.events.now_ms >= self.fault_ms + WINDOW_MS:
            return
        self.events.after(1_000.0 / BOOKINGS_PER_S, self._issue)
        error_ms = self.random.randint(-CLOCK_ERROR_MS, CLOCK_ERROR_MS)
        bits = self.random.getrandbits(74)
        issued_ms = int(self.wall_ms()) + error_ms
        version = 4 if self.policy is Policy.WALL_CLOCK else 7
        value = (issued_ms << 80) | (version << 76) | ((bits >> 62) << 64)
        value |= (2 << 62) | (bits & ((1 << 62) - 1))
        key = BookingKey(f"firm/comptoir/{uuid.UUID(int=value)}")
        booking = Booking(key, self.events.now_ms)
        self.bookings.append(booking)
        self._send_booking(booking, self.events.now_ms + DEADLINE_MS)

    def _send_booking(self, booking: Booking, end_ms: float) -> None:
        if booking.verdict is not None:
            return
        if self.events.now_ms >= end_ms:
            self._complete(booking, VerdictKind.NOT_OWNER)
            return
        booking.sends += 1
        host = self.hosts[self.random.choice(self._balanced_hosts())]

        def answer(verdict: Verdict) -> None:
            self.events.after(CALLER_DELAY_MS, lambda: self._complete(booking, verdict.kind))

        self.events.after(
            CALLER_DELAY_MS,
            lambda: host.execute(lambda: host.submit(booking.key, end_ms, answer)),
        )
        self.events.after(REPEAT_AFTER_MS, lambda: self._send_booking(booking, end_ms))

    def _balanced_hosts(self) -> list[HostId]:
        """Returns the hosts behind the load balancer, which drops lost hosts after a delay."""
        if self.events.now_ms < self.fault_ms + LIST_LAG_MS:
            return list(self.list_members)
        return [name for name in self.list_members if self.hosts[name].alive]

    def _complete(self, booking: Booking, verdict: VerdictKind) -> None:
        if booking.verdict is None:
            booking.verdict = verdict
            booking.ended_ms = self.events.now_ms

    def _apply_fault(self) -> None:
        owned = {name: len(self._held(host)) for name, host in self.hosts.items()}
        by_shards = sorted(owned, key=lambda name: (-owned[name], name))
        count = 2 if self.fault is Fault.TWO_LOST else 1
        self.affected = set(by_shards[:count])
        self.shards_affected = sum(owned[name] for name in self.affected)
        for name in self.affected:
            host = self.hosts[name]
            match self.fault:
                case Fault.LOSS | Fault.TWO_LOST:
                    host.alive = False
                case Fault.REPLACE:
                    host.alive = False
                    self.events.after(LIST_LAG_MS, lambda name=name: self._replace(name))
                case Fault.STOP:
                    host.state = HostState.LEAVING
                    host.send_heartbeats(repeat=False)
                    self.events.after(STOP_AFTER_MS, lambda name=name: self._remove_stopped(name))
                case Fault.PAUSE:
                    host.paused_until_ms = self.events.now_ms + PAUSE_MS
                case Fault.CUT:
                    self.isolated = {name}
                    self.events.after(CUT_MS, self.isolated.clear)
        self._poll_holders()

    def _replace(self, name: HostId) -> None:
        replacement = self.add_host(HostId(f"{name}-new"))
        self.list_members = tuple(
            sorted({*self.list_members, replacement.name}.difference(self.affected))
        )
        replacement.start(self.random)
        self.publish_list(2, [host for host in self.hosts.values() if host.alive])

    def _remove_stopped(self, name: HostId) -> None:
        self.hosts[name].alive = False
        self.list_members = tuple(member for member in self.list_members if member != name)
        self.publish_list(2, [host for host in self.hosts.values() if host.alive])

    def _held(self, host: SimulatedHost) -> list[int]:
        return [int(shard) for shard in host.leases.held_shards(host.wall_ms())]

    def _poll_holders(self) -> None:
        held: set[int] = set()
        for name, host in self.hosts.items():
            if name not in self.affected and host.alive:
                held.update(self._held(host))
        if len(held) == len(SHARDS):
            self.new_holder_ms = self.events.now_ms - self.fault_ms
        else:
            self.events.after(POLL_MS, self._poll_holders)

    def _outcome(self) -> Outcome:
        end_ms = self.fault_ms + WINDOW_MS
        counted = [
            booking
            for booking in self.bookings
            if booking.issued_ms < end_ms
            and (booking.ended_ms is None or booking.ended_ms >= self.fault_ms)
        ]
        return summarize(self, counted, sum(1 for count in self.runs.values() if count > 1))


def summarize(run: BookingRun, counted: list[Booking], run_twice: int) -> Outcome:
    """Returns the figures of the counted bookings; those without an answer count as unknown."""
    failed = [booking for booking in counted if booking.verdict is not VerdictKind.ANSWERED]
    waits = [
        booking.ended_ms - booking.issued_ms for booking in counted if booking.ended_ms is not None
    ]
    return Outcome(
        run.fault.value,
        run.policy.value,
        run.seed,
        run.shards_affected,
        len(counted),
        len(failed),
        100.0 * len(failed) / len(counted),
        run.new_holder_ms,
        max(waits),
        run_twice,
    )


class BoundKeysRun:
    """Baseline: keys that only the issuing incarnation of an entry host may run.

    Args:
        hold_ms: mean time between the issue of a key to a caller and its use.
    """

    def __init__(self, fault: Fault, seed: int, hold_ms: float) -> None:
        self.fault = fault
        self.seed = seed
        self.hold_ms = hold_ms

    def execute(self) -> Outcome:
        """Counts the bookings whose issuing host is unreachable when they are sent."""
        generator = random.Random(self.seed)
        outage_ms = {Fault.PAUSE: PAUSE_MS, Fault.CUT: CUT_MS, Fault.STOP: 0.0}.get(self.fault)
        lost = 2 if self.fault is Fault.TWO_LOST else 1
        total = int(WINDOW_MS / 1_000.0 * BOOKINGS_PER_S)
        failed = 0
        longest_ms = 0.0
        for number in range(total):
            sent_ms = number * 1_000.0 / BOOKINGS_PER_S
            issued_ms = sent_ms - generator.expovariate(1.0 / self.hold_ms)
            # A host that is down issues no keys.
            if issued_ms > 0.0 or generator.randrange(HOSTS) >= lost:
                continue
            recovered_ms = float("inf") if outage_ms is None else outage_ms
            wait_ms = max(0.0, recovered_ms - sent_ms)
            if wait_ms > DEADLINE_MS:
                failed += 1
            longest_ms = max(longest_ms, min(wait_ms, DEADLINE_MS))
        name = f"{Policy.BOUND_KEYS.value}, held {self.hold_ms / 1_000.0:g} s"
        percent = 100.0 * failed / total
        return Outcome(
            self.fault.value, name, self.seed, 0, total, failed, percent, -1.0, longest_ms, 0
        )
