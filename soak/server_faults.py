"""Faults of servers: crash, kill, silence, answers that say it leaves, 503 with ``Retry-After``."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Sequence
from contextlib import AbstractContextManager, asynccontextmanager

from medlarvale.forwarding.messages import DEFAULT_HEARTBEAT_MS
from medlarvale.ids import HostId
from medlarvale.platform.standin import StandinServer
from medlarvale.standins.link import LinkMode, LinkState
from soak.checks import Promise, Verdict, case_of, shown
from soak.network import Network, RelayedPlatform, Way
from soak.plan import Fault, Trouble
from soak.records import Attempt, AttemptEnd, Disruption, Exchange

# The store removes the entry of a server that has been silent for so many heartbeats.
EXPIRY_S = 3.0 * DEFAULT_HEARTBEAT_MS / 1000.0
RETRY_AFTER_S = (0.3, 2.0)
# A server that leaves serves for this time, and hosts may send it requests for so long.
DRAIN_S = 2.0


class ServerFaults:
    """Faults that happen to servers.

    Args:
        platform: store and servers.
        network: links to the servers.
        add: adds a server like another one.
        disrupted: notes a disruption of a server, and of which kind, while it lasts.
        now_s: returns the time since the start of the run.

    Attributes:
        leavings: servers that have said in their answers that they leave, and since when.
    """

    def __init__(
        self,
        platform: RelayedPlatform,
        network: Network,
        add: Callable[[StandinServer], Awaitable[None]],
        disrupted: Callable[[str, Trouble], AbstractContextManager[None]],
        now_s: Callable[[], float],
    ) -> None:
        self._platform = platform
        self._network = network
        self._add = add
        self._disrupted = disrupted
        self._now_s = now_s
        self._harmed: set[str] = set()
        self.leavings: list[tuple[StandinServer, float]] = []

    def sound(self, server: StandinServer) -> bool:
        """Returns whether a server has started and takes requests."""
        is_ready = server.state == "ready" and server.address != ""
        return is_ready and server.name not in self._harmed

    async def harm(self, fault: Fault) -> None:
        """Lets a fault happen to a server, unless no other of its kind would be sound."""
        draws = random.Random(fault.choice)
        servers = [server for server in self._platform.servers.values() if self.sound(server)]
        kinds = [(server.service, server.stage) for server in servers]
        spare = [server for server in servers if kinds.count((server.service, server.stage)) > 1]
        if not spare:
            return
        server = draws.choice(spare)
        self._harmed.add(server.name)
        if fault.trouble is Trouble.SERVER_CRASH:
            await self._crash(server, fault.lasts_s)
        elif fault.trouble is Trouble.SERVER_KILL:
            await self._kill(server, fault.lasts_s)
        elif fault.trouble is Trouble.SERVER_SILENCE:
            with self._disrupted(server.name, fault.trouble):
                await self._cut_off(server, LinkMode.HOLD, fault.lasts_s)
        elif fault.trouble is Trouble.SERVER_LEAVING:
            await self._leave(server, fault.lasts_s, told=draws.random() < 0.5)
        else:
            server.retry_after = f"{draws.uniform(*RETRY_AFTER_S):.1f}"
            server.turns_holds_away = draws.random() < 0.5
            await asyncio.sleep(fault.lasts_s)
            server.retry_after = None
        self._harmed.discard(server.name)

    async def miss_heartbeats(self, fault: Fault) -> None:
        """Lets a server count no heartbeats for a time, while it serves as before."""
        servers = [server for server in self._platform.servers.values() if self.sound(server)]
        if servers:
            server = random.Random(fault.choice).choice(servers)
            server.stop_heartbeats()
            await asyncio.sleep(fault.lasts_s)
            server.resume_heartbeats()
            # A release or a kill may have taken it away meanwhile.
            if server.name in self._platform.servers and self.sound(server):
                await self._platform.publish(server)

    async def _cut_off(self, server: StandinServer, mode: LinkMode, lasts_s: float) -> None:
        def affects(way: Way) -> bool:
            return way.server == server.name

        async with self._network.disturbed(affects, LinkState(mode)):
            await asyncio.sleep(lasts_s)

    async def _crash(self, server: StandinServer, lasts_s: float) -> None:
        """Ends a server, which starts again under its name and knows nothing of before."""
        async with self._gone(server, Trouble.SERVER_CRASH):
            await self._cut_off(server, LinkMode.CLOSE, lasts_s)
        server.start_anew()
        if server.name in self._platform.servers:
            await self._platform.publish(server)

    async def _kill(self, server: StandinServer, lasts_s: float) -> None:
        """Kills a server, whose connections end in order; it starts again as another process."""
        async with self._gone(server, Trouble.SERVER_KILL):
            await self._platform.kill(server.name)
            await asyncio.sleep(lasts_s)
        # A release may have taken it away meanwhile.
        if server.name in self._platform.servers:
            await self._platform.restart(server.name)

    @asynccontextmanager
    async def _gone(self, server: StandinServer, trouble: Trouble) -> AsyncIterator[None]:
        """Lets a server publish nothing, so that its entry expires."""
        with self._disrupted(server.name, trouble):
            self._platform.crashed.add(server.name)
            expiry = asyncio.create_task(self._expire(server))
            yield
            expiry.cancel()
            self._platform.crashed.discard(server.name)

    async def _expire(self, server: StandinServer) -> None:
        await asyncio.sleep(EXPIRY_S)
        await self._platform.store.delete(f"servers/{server.name}")

    async def _leave(self, server: StandinServer, lasts_s: float, *, told: bool) -> None:
        """Lets a server leave, which may tell the store only when it has left."""
        await self._add(server)
        server.says_leaving = True
        self.leavings.append((server, self._now_s()))
        await asyncio.sleep(lasts_s)
        # A release may have taken it away meanwhile.
        if told and server.name in self._platform.servers:
            await self._platform.drain(server.name)
            await asyncio.sleep(DRAIN_S)
        if server.name in self._platform.servers:
            await self._platform.remove(server.name)


def check_leavings(
    exchanges: Sequence[Exchange],
    leavings: Iterable[tuple[StandinServer, float]],
    disruptions: Sequence[Disruption],
) -> Verdict:
    """Checks rule DRAIN for servers whose answers say that they leave.

    A host has passed such an answer on when a caller has the whole of one to a request that was
    sent since; a restart or a standstill of the host since then excuses it.
    """
    attempts = [attempt for exchange in exchanges for attempt in exchange.attempts]
    checked, broken = 0, []
    for server, from_s in leavings:
        runs = set(server.runs)
        told_at_s: dict[HostId, float] = {}
        for attempt in sorted(attempts, key=lambda attempt: attempt.ended_at_s):
            reached = attempt.request in runs and attempt.sent_at_s >= from_s
            told_s = told_at_s.get(attempt.host)
            if reached and told_s is None and attempt.end is AttemptEnd.COMPLETE:
                told_at_s[attempt.host] = attempt.ended_at_s
            if not reached or told_s is None or _halted(attempt, told_s, disruptions):
                continue
            checked += 1
            if attempt.sent_at_s > told_s + DRAIN_S:
                late = f"{shown(attempt)}: {server.name} said at {told_s:.2f} s that it leaves"
                broken.append(case_of(attempt, late))
    return Verdict(Promise.LEAVINGS, checked, tuple(broken))


def _halted(attempt: Attempt, since_s: float, disruptions: Iterable[Disruption]) -> bool:
    return any(
        item.halts
        and item.host == attempt.host
        and item.from_s <= attempt.ended_at_s
        and item.to_s >= since_s
        for item in disruptions
    )
