"""Hosts that share quotas in virtual time, over links that lose messages and can be cut."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Any

import msgspec

from bench.control_bytes import frame_bytes
from medlarvale.clock import ManualClock
from medlarvale.forwarding.fleet import HELLO_PERIOD_MS, FleetView
from medlarvale.forwarding.fleet_messages import Hello
from medlarvale.forwarding.messages import Quota
from medlarvale.ids import (
    ConfigVersion,
    FailureDomain,
    HostId,
    HostIdentity,
    Incarnation,
    WorkspaceId,
)
from medlarvale.peers.auth import FrameKind
from medlarvale.peers.errors import PeerTimeoutError
from medlarvale.peers.transport import Handler, MessageCodec
from medlarvale.quotas.errors import QuotaExceededError
from medlarvale.quotas.messages import QUOTA_MESSAGES, QuotaReply
from medlarvale.quotas.ownership import QuotaOwners
from medlarvale.quotas.task import Charge, QuotaTask

STEP_MS = 5.0
# Turns of the event loop after which all tasks of a step have settled.
TURNS_PER_STEP = 8
# Key id, names, nonces, times and MAC of a frame between hosts, from ``bench.control_bytes``.
FRAME_BYTES = frame_bytes(QuotaReply(()), FrameKind.REQUEST)
LEFT_MS = 3_000.0


class Usage:
    """Amounts that one workspace has run, and what a central bucket would have granted.

    Args:
        quota: its quota.
    """

    def __init__(self, quota: Quota) -> None:
        self.quota = quota
        self.runs: list[tuple[float, float]] = []
        self.central_runs: list[tuple[float, float]] = []
        self._level = quota.burst
        self._at_ms = 0.0

    def ask(self, amount: float, now_ms: float) -> None:
        """Lets the central bucket decide about a request."""
        self._level += (now_ms - self._at_ms) * self.quota.rate_per_s / 1000.0
        self._level = min(self._level, self.quota.burst)
        self._at_ms = now_ms
        if self._level > 0.0:
            self._level -= amount
            self.central_runs.append((now_ms, amount))

    def credit(self, amount: float) -> None:
        """Gives an amount back to the central bucket."""
        self._level = min(self._level + amount, self.quota.burst)

    def highest(self, window_ms: float) -> float:
        """Returns the highest amount that ran in a window of a given length."""
        inside: deque[tuple[float, float]] = deque()
        total = highest = 0.0
        for at_ms, amount in sorted(self.runs):
            inside.append((at_ms, amount))
            total += amount
            while at_ms - inside[0][0] > window_ms:
                total -= inside.popleft()[1]
            highest = max(highest, total)
        return highest


def total(runs: Iterable[tuple[float, float]], from_ms: float, to_ms: float) -> float:
    """Returns the amount that ran from one time to another."""
    return sum(amount for at_ms, amount in runs if from_ms <= at_ms < to_ms)


class QuotaHost:
    """One host; also its transport."""

    def __init__(
        self,
        fleet: QuotaFleet,
        number: int,
        incarnation: int,
        task_type: type[QuotaTask],
        owners_type: type[QuotaOwners],
    ) -> None:
        self.fleet = fleet
        self.name = HostId(f"h{number:03}")
        # As in a deployment of three failure domains, whose hosts are numbered in turn.
        self.domain = number % 3
        self.identity = HostIdentity(self.name, Incarnation(incarnation))
        seeds = [f"h{seed:03}:1" for seed in range(min(3, fleet.size))]
        self.view = FleetView(self.identity, f"{self.name}:1", seeds, random.Random(number))
        self.handlers: dict[type[Any], Handler] = {}
        self.frozen = False
        self.tasks: set[asyncio.Task[None]] = set()
        owners = owners_type(self.view, fleet.clock, fleet.overage)
        rng = random.Random(number)
        self.quotas = task_type(owners, fleet.find_quota, self, fleet.clock, rng)

    def hello(self) -> Hello:
        """Returns the hello of this host."""
        now_ms = self.fleet.clock.now_ms()
        return Hello(
            self.identity,
            FailureDomain(str(self.domain)),
            self.view.hosts_to_announce(now_ms),
            ConfigVersion(1),
            True,
            {},
            heard=self.view.heard(now_ms),
            grants_quotas=self.quotas.owners.grants,
        )

    def register(self, message_type: type[msgspec.Struct], handler: Handler) -> None:
        """Sets a handler; see ``Transport``."""
        self.handlers[message_type] = handler

    async def request(
        self, peer: HostId, message: msgspec.Struct, timeout_ms: float
    ) -> msgspec.Struct:
        """Sends a message; see ``Transport``."""
        fleet = self.fleet
        sent_ms = fleet.clock.now_ms()
        received = fleet.encode(message)
        target = fleet.hosts.get(peer)
        if target is not None and fleet.passes(self.name, peer):
            await fleet.clock.sleep_ms(fleet.latency_ms)
            if not target.frozen and fleet.hosts.get(peer) is target:
                reply = await target.handlers[type(received)](self.identity, received)
                encoded = fleet.encode(reply)
                await fleet.clock.sleep_ms(fleet.latency_ms)
                if fleet.passes(peer, self.name):
                    return encoded
        await fleet.clock.sleep_ms(sent_ms + timeout_ms - fleet.clock.now_ms())
        raise PeerTimeoutError("no reply")


class QuotaFleet:
    """Hosts, their links and the requests of all workspaces.

    Args:
        size: number of hosts.
        quotas: quotas by workspace.
        seed: seed of the losses.
        loss: share of the messages that is lost in each direction.
    """

    overage = 0.25

    def __init__(
        self,
        size: int,
        quotas: Mapping[WorkspaceId, Quota],
        seed: int = 1,
        loss: float = 0.0,
        task_type: type[QuotaTask] = QuotaTask,
        owners_type: type[QuotaOwners] = QuotaOwners,
    ) -> None:
        self.size = size
        self.quotas = dict(quotas)
        self.usage = {name: Usage(quota) for name, quota in quotas.items()}
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.loss = loss
        self.latency_ms = 1.0
        self.hosts: dict[HostId, QuotaHost] = {}
        self.sides: dict[HostId, int] = {}
        self.messages = self.bytes = 0
        self.refusals: list[tuple[float, WorkspaceId, QuotaExceededError]] = []
        self.charges: list[tuple[QuotaHost, Charge]] = []
        self.pending: set[asyncio.Task[None]] = set()
        self._codec = MessageCodec(QUOTA_MESSAGES)
        self._types = (task_type, owners_type)
        self._incarnations = 0
        self._hello_ms = 0.0
        for number in range(size):
            self.start(number)

    def find_quota(self, workspace: WorkspaceId) -> Quota | None:
        """Returns the quota of a workspace."""
        return self.quotas.get(workspace)

    def start(self, number: int) -> None:
        """Starts a host, or starts it again without its state."""
        self._incarnations += 1
        host = QuotaHost(self, number, self._incarnations, *self._types)
        self.hosts[host.name] = host
        host.quotas.start()

    def kill(self, numbers: Iterable[int]) -> None:
        """Ends hosts and the requests that wait there."""
        for number in numbers:
            host = self.hosts.pop(HostId(f"h{number:03}"))
            if host.quotas._subscription is not None:
                host.quotas._subscription.cancel()
            for task in [*host.tasks, *host.quotas._senders]:
                task.cancel()

    def freeze(self, number: int, *, frozen: bool) -> None:
        """Pauses a host: it takes no messages and no requests, and its timers wait."""
        host = self.hosts[HostId(f"h{number:03}")]
        host.frozen = frozen
        if frozen and host.quotas._subscription is not None:
            host.quotas._subscription.cancel()
        elif not frozen:
            host.quotas.start()

    def cut(self, groups: Iterable[Collection[int]]) -> None:
        """Cuts groups of hosts off from the others and from each other."""
        self.sides = {
            HostId(f"h{number:03}"): side
            for side, group in enumerate(groups, start=1)
            for number in group
        }

    def passes(self, sender: HostId, receiver: HostId) -> bool:
        """Returns whether the next message between two hosts arrives."""
        same = self.sides.get(sender, 0) == self.sides.get(receiver, 0)
        return same and self.rng.random() >= self.loss

    def encode(self, message: msgspec.Struct) -> msgspec.Struct:
        """Counts a message and returns it as its receiver decodes it."""
        data = self._codec.encode(message)
        self.messages += 1
        self.bytes += len(data) + FRAME_BYTES
        return self._codec.decode(data)

    def ask(self, number: int, workspace: WorkspaceId, amount: float) -> None:
        """Lets a caller send a request to a host; the callers of dead hosts go to others."""
        host = self.hosts.get(HostId(f"h{number:03}"))
        if host is None:
            host = self.rng.choice(list(self.hosts.values()))
        if host.frozen:
            return
        self.usage[workspace].ask(amount, self.clock.now_ms())
        task = asyncio.get_running_loop().create_task(self._run(host, workspace, amount))
        for tasks in (host.tasks, self.pending):
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    async def _run(self, host: QuotaHost, workspace: WorkspaceId, amount: float) -> None:
        try:
            charge = await host.quotas.take(workspace, amount, LEFT_MS)
        except QuotaExceededError as error:
            self.refusals.append((self.clock.now_ms(), workspace, error))
            return
        self.usage[workspace].runs.append((self.clock.now_ms(), amount))
        if charge is not None:
            self.charges.append((host, charge))

    async def run(self, duration_ms: float, arrive: Callable[[], None] | None = None) -> None:
        """Advances the time; ``arrive`` sends the requests of each step."""
        # The debug mode of tests doubles the time of a run.
        asyncio.get_running_loop().set_debug(False)
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            if self.clock.now_ms() >= self._hello_ms:
                self._hello_ms += HELLO_PERIOD_MS
                self._exchange_hellos()
            if arrive is not None:
                arrive()
            self.clock.advance_ms(STEP_MS)
            for _ in range(TURNS_PER_STEP):
                await asyncio.sleep(0)

    def _exchange_hellos(self) -> None:
        now_ms = self.clock.now_ms()
        hellos = {name: host.hello() for name, host in self.hosts.items() if not host.frozen}
        for name in hellos:
            for target in self.hosts[name].view.tick(now_ms):
                receiver = HostId(target.partition(":")[0])
                if receiver not in hellos or not self.passes(name, receiver):
                    continue
                self.hosts[receiver].view.record_hello(
                    self.hosts[name].identity, hellos[name], now_ms
                )
                if self.passes(receiver, name):
                    self.hosts[name].view.record_hello(
                        self.hosts[receiver].identity, hellos[receiver], now_ms
                    )

    async def close(self) -> None:
        """Ends all tasks."""
        for name in list(self.hosts):
            self.kill([int(name[1:])])
        for task in self.pending:
            task.cancel()
        await asyncio.gather(*self.pending, return_exceptions=True)


def poisson_arrivals(
    fleet: QuotaFleet,
    rates_per_s: Mapping[WorkspaceId, float],
    hosts: Mapping[WorkspaceId, Collection[int]],
    rng: random.Random,
    amounts: tuple[float, float] = (200.0, 11_000.0),
) -> Callable[[], None]:
    """Returns a source of independent requests for ``QuotaFleet.run``.

    Args:
        fleet: the hosts.
        rates_per_s: amount per second by workspace.
        hosts: hosts that get the requests of each workspace.
        rng: draws times, amounts and hosts.
        amounts: smallest and largest amount; their logarithms are drawn evenly.
    """
    low, high = amounts
    drawn = [low * (high / low) ** ((number + 0.5) / 1_000) for number in range(1_000)]
    mean = sum(drawn) / len(drawn)
    choices = {workspace: list(numbers) for workspace, numbers in hosts.items()}
    names = list(rates_per_s)
    weights = [rates_per_s[name] for name in names]
    per_step = sum(weights) / mean * STEP_MS / 1000.0

    def arrive() -> None:
        left = rng.expovariate(1.0)
        while left < per_step:
            workspace = rng.choices(names, weights)[0]
            fleet.ask(rng.choice(choices[workspace]), workspace, rng.choice(drawn))
            left += rng.expovariate(1.0)

    return arrive
