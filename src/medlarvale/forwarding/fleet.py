"""Discovers the hosts of the fleet through the seeds and keeps their latest hello messages."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Callable, Iterable

import msgspec

from medlarvale.clock import Clock
from medlarvale.forwarding.fleet_messages import Demand, Hello
from medlarvale.ids import HostId, HostIdentity, ServiceName
from medlarvale.logs import Event, log_info
from medlarvale.peers.errors import PeerError
from medlarvale.peers.pynng_transport import PynngTransport

HELLO_PERIOD_MS = 500.0
HELLO_TIMEOUT_MS = 400.0
# Peers that get a hello per period; with more peers they take turns.
HELLO_FANOUT = 8
# Periods without a hello after which a peer counts as silent.
SILENT_PERIODS = 3
# After the discovery of a host, hellos list all hosts for this time: a few rounds of a large fleet.
ANNOUNCE_HOSTS_MS = 10_000.0
# A host that was silent for this long is removed and no longer counts towards the majority.
FORGET_AFTER_MS = 30_000.0
# A tick that is late by more than this shows that this process was paused.
PROCESS_PAUSE_MS = 1_000.0


def fleet_key(parts: Iterable[str]) -> bytes:
    """Returns the key that authenticates frames between hosts.

    The platform provides no shared secret. The key is derived from settings that are equal on all
    hosts: it rejects frames of another fleet, but does not protect against an attacker on the
    network.
    """
    return hashlib.sha256("\0".join(parts).encode()).digest()


class _Peer(msgspec.Struct):
    identity: HostIdentity
    hello: Hello
    last_hello_ms: float


class FleetView:
    """The peers as one host knows them, without I/O.

    Args:
        identity: this host.
        address: peer address of this host.
        seeds: peer addresses that may belong to hosts.
    """

    def __init__(self, identity: HostIdentity, address: str, seeds: Iterable[str]) -> None:
        self.identity = identity
        self._address = address
        self._seeds = [seed for seed in seeds if seed != address]
        self._known_addresses: dict[HostId, str] = {}
        self._peers: dict[HostId, _Peer] = {}
        self._next_target = 0
        self._newest_host_ms = 0.0
        self._last_tick_ms: float | None = None
        self._unpaused_since_ms = 0.0

    def record_hello(self, sender: HostIdentity, hello: Hello, now_ms: float) -> None:
        """Records a hello unless it is from an older incarnation of the peer."""
        known = self._peers.get(sender.host)
        if known is not None and sender.incarnation < known.identity.incarnation:
            return
        self._peers[sender.host] = _Peer(sender, hello, now_ms)
        for host, address in hello.hosts.items():
            if host != self.identity.host and host not in self._known_addresses:
                self._known_addresses[host] = address
                self._newest_host_ms = now_ms
        if sender.host in hello.hosts:
            self._known_addresses[sender.host] = hello.hosts[sender.host]

    def addresses(self) -> dict[HostId, str]:
        """Returns the peer addresses by host; seeds of unknown hosts are keyed by address."""
        named = set(self._known_addresses.values())
        unnamed = {HostId(seed): seed for seed in self._seeds if seed not in named}
        return {**self._known_addresses, **unnamed}

    def hosts_to_announce(self, now_ms: float) -> dict[HostId, str]:
        """Returns the hosts and peer addresses for a hello, which always include this host.

        Other hosts are listed only for a time after a discovery, because the list would be most of
        the size of a hello.
        """
        own = {self.identity.host: self._address}
        return {**self._known_addresses, **own} if self.is_announcing(now_ms) else own

    def is_announcing(self, now_ms: float) -> bool:
        """Returns whether a host was discovered so recently that others may not know it."""
        return now_ms - self._newest_host_ms <= ANNOUNCE_HOSTS_MS

    def tick(self, now_ms: float) -> list[HostId]:
        """Returns the peers that get a hello now; removes peers that were silent for too long."""
        last_ms, self._last_tick_ms = self._last_tick_ms, now_ms
        if last_ms is None or now_ms - last_ms > HELLO_PERIOD_MS + PROCESS_PAUSE_MS:
            # State from before a pause may be stale.
            self._unpaused_since_ms = now_ms
        for host, peer in list(self._peers.items()):
            if now_ms - peer.last_hello_ms > FORGET_AFTER_MS:
                del self._peers[host]
                self._known_addresses.pop(host, None)
        targets = sorted(self.addresses())
        if len(targets) <= HELLO_FANOUT:
            return targets
        start = self._next_target % len(targets)
        self._next_target += HELLO_FANOUT
        return [targets[(start + step) % len(targets)] for step in range(HELLO_FANOUT)]

    def silent_after_ms(self) -> float:
        """Returns the time without a hello after which a peer counts as silent."""
        rounds = max(1, -(-len(self.addresses()) // HELLO_FANOUT))
        return SILENT_PERIODS * HELLO_PERIOD_MS * rounds

    def live(self, now_ms: float) -> dict[HostId, Hello]:
        """Returns the last hellos of the live peers, without this host."""
        limit_ms = self.silent_after_ms()
        return {
            host: peer.hello
            for host, peer in self._peers.items()
            if now_ms - peer.last_hello_ms <= limit_ms
        }

    def host_count(self) -> int:
        """Returns the number of hosts heard from within ``FORGET_AFTER_MS``, including this one."""
        return len(self._peers) + 1

    def is_coordinator(self, now_ms: float) -> bool:
        """Returns whether the live hosts are a majority and this host is the first by name."""
        live = self.live(now_ms)
        majority = 2 * (len(live) + 1) > self.host_count()
        return majority and all(self.identity.host < host for host in live)

    def unpaused_ms(self, now_ms: float) -> float:
        """Returns the time since the last pause of this process."""
        return now_ms - self._unpaused_since_ms

    def demand(self, service: ServiceName, own: Demand, now_ms: float) -> Demand:
        """Returns the total demand of all live hosts."""
        parts = [own]
        for hello in self.live(now_ms).values():
            part = hello.demand.get(service)
            if part is not None:
                parts.append(part)
        return Demand(
            sum(part.prompt_tokens_per_s for part in parts),
            sum(part.decode_tokens for part in parts),
            sum(part.decode_streams for part in parts),
        )


class FleetTask:
    """Exchanges hello messages with the peers.

    Args:
        view: state of the fleet.
        transport: messages to peers.
        clock: time service.
        hello: returns the hello of this host.
    """

    def __init__(
        self,
        view: FleetView,
        transport: PynngTransport,
        clock: Clock,
        hello: Callable[[], Hello],
    ) -> None:
        self.view = view
        self._transport = transport
        self._clock = clock
        self._build_hello = hello
        self._tasks: set[asyncio.Task[None]] = set()
        self._live: set[HostId] = set()
        self._hello_callbacks: list[Callable[[Hello], None]] = []
        transport.register(Hello, self._answer)

    def on_hello(self, callback: Callable[[Hello], None]) -> None:
        """Registers a callback for each hello of a peer."""
        self._hello_callbacks.append(callback)

    def start(self) -> None:
        """Starts sending hellos."""
        self._tick()
        self._clock.every_ms(HELLO_PERIOD_MS, self._tick)

    def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        targets = self.view.tick(now_ms)
        addresses = self.view.addresses()
        self._transport.set_peers({host: f"tcp://{at}" for host, at in addresses.items()})
        for host in targets:
            task = asyncio.get_running_loop().create_task(self._send_hello(host))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self._note_live(set(self.view.live(now_ms)))

    async def _send_hello(self, host: HostId) -> None:
        try:
            answer = await self._transport.request(host, self._build_hello(), HELLO_TIMEOUT_MS)
        except PeerError:
            # A silent peer is logged once, when its state changes.
            return
        if isinstance(answer, Hello):
            self._record_hello(answer)

    def _record_hello(self, hello: Hello) -> None:
        self.view.record_hello(hello.sender, hello, self._clock.now_ms())
        for callback in self._hello_callbacks:
            callback(hello)

    async def _answer(self, sender: HostIdentity, message: Hello) -> Hello:
        self._record_hello(message)
        return self._build_hello()

    def _note_live(self, live: set[HostId]) -> None:
        for host in sorted(live ^ self._live):
            state = "live" if host in live else "silent"
            log_info(Event.PEER_STATE_CHANGED, peer=host, state=state)
        self._live = live
