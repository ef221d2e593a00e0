"""Cell of hosts with quarantine tasks; the test loses, repeats and delays their messages."""

from __future__ import annotations

import asyncio

import msgspec

from medlarvale.clock import ManualClock
from medlarvale.ids import HostId, HostIdentity, Incarnation, ServerId
from medlarvale.peers.errors import PeerTimeoutError
from medlarvale.peers.transport import MemoryNetwork, MemoryTransport, MessageCodec
from medlarvale.quarantine.messages import QUARANTINE_MESSAGES, AcquirePermit
from medlarvale.quarantine.suspects import QuarantineLimits
from medlarvale.quarantine.task import QuarantineTask

TURNS_UNTIL_IDLE = 40


class FaultyTransport(MemoryTransport):
    """Applies the cell's next delivery mode to each message."""

    def __init__(self, identity: HostIdentity, network: MemoryNetwork, cell: Cell) -> None:
        super().__init__(identity, network)
        self.cell = cell

    async def request(
        self, peer: HostId, message: msgspec.Struct, timeout_ms: float
    ) -> msgspec.Struct:
        mode = self.cell.delivery_modes.pop(0) if self.cell.delivery_modes else "deliver"
        is_acquire = isinstance(message, AcquirePermit)
        if mode == "duplicate":
            await super().request(peer, message, timeout_ms)
        elif mode != "deliver":
            self.cell.lost += 1
            if mode == "lose_reply":
                await super().request(peer, message, timeout_ms)
            elif mode == "delay":
                self.cell.delayed.append((self, peer, message))
            if is_acquire:
                self.cell.unanswered.add(asyncio.current_task())
            raise PeerTimeoutError
        reply = await super().request(peer, message, timeout_ms)
        self.cell.unanswered.discard(asyncio.current_task())
        return reply


class Cell:
    """Hosts that share one clock and one list of the live hosts."""

    def __init__(self, size: int = 3, limits: QuarantineLimits | None = None) -> None:
        self.clock = ManualClock()
        self.network = MemoryNetwork(MessageCodec(QUARANTINE_MESSAGES))
        self.hosts = [HostIdentity(HostId(f"h{n}"), Incarnation(1)) for n in range(size)]
        self.live = set(self.hosts)
        self.epochs: dict[ServerId, int] = {}
        self.delivery_modes: list[str] = []
        self.delayed: list[tuple[FaultyTransport, HostId, msgspec.Struct]] = []
        self.unanswered: set[asyncio.Task | None] = set()
        self.lost = 0
        self.guards = [
            QuarantineTask(
                host,
                FaultyTransport(host, self.network, self),
                self.clock,
                lambda: self.live,
                lambda: limits or QuarantineLimits(),
                lambda server: self.epochs.get(server, 0),
            )
            for host in self.hosts
        ]
        for guard in self.guards:
            guard.start()

    async def settle(self) -> None:
        """Runs all tasks until they wait for the clock."""
        for _ in range(TURNS_UNTIL_IDLE):
            await asyncio.sleep(0)

    async def advance_ms(self, duration_ms: float) -> None:
        """Advances the clock in steps; messages of one timer are handled before the next fires."""
        for _ in range(int(duration_ms / 125)):
            self.clock.advance_ms(125)
            await self.settle()

    async def deliver_delayed(self, index: int) -> None:
        """Delivers one delayed message; its reply is lost."""
        sender, peer, message = self.delayed.pop(index % len(self.delayed))
        await MemoryTransport.request(sender, peer, message, 1_000)
        await self.settle()

    async def close(self) -> None:
        """Closes all tasks."""
        for guard in self.guards:
            await guard.close()
