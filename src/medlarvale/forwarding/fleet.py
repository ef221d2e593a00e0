"""Which hosts there are, found over the seeds, and what they told last."""

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
# Peers greeted in one period; with more peers they are greeted in turns.
HELLO_FANOUT = 8
# Periods without a greeting after which a peer counts as silent.
SILENT_PERIODS = 3
# Time after a new host in which greetings carry all hosts: a few rounds of a large fleet.
TELL_HOSTS_MS = 10_000.0
# A host that was not heard of for this long no longer counts for a majority.
FORGET_AFTER_MS = 30_000.0
# A longer gap between two ticks means that this process was paused.
PAUSE_MS = 1_000.0


def fleet_key(parts: Iterable[str]) -> bytes:
    """Returns the key of the frames between hosts.

    The platform gives hosts no secret in common. The key is derived from settings that are equal on
    all hosts: it keeps frames of another fleet out, not an intruder on the network.
    """
    return hashlib.sha256("\0".join(parts).encode()).digest()


class _Peer(msgspec.Struct):
    identity: HostIdentity
    hello: Hello
    heard_ms: float


class FleetView:
    """Peers of one host, without I/O.

    Args:
        identity: this host.
        address: peer address of this host.
        seeds: peer addresses at which some hosts may be.
    """

    def __init__(self, identity: HostIdentity, address: str, seeds: Iterable[str]) -> None:
        self.identity = identity
        self._address = address
        self._seeds = [seed for seed in seeds if seed != address]
        self._known: dict[HostId, str] = {}
        self._peers: dict[HostId, _Peer] = {}
        self._turn = 0
        self._newest_host_ms = 0.0
        self._last_tick_ms: float | None = None
        self._steady_since_ms = 0.0

    def record_hello(self, sender: HostIdentity, hello: Hello, now_ms: float) -> None:
        """Takes over what a peer told."""
        known = self._peers.get(sender.host)
        if known is not None and sender.incarnation < known.identity.incarnation:
            return
        self._peers[sender.host] = _Peer(sender, hello, now_ms)
        for host, address in hello.hosts.items():
            if host != self.identity.host and host not in self._known:
                self._known[host] = address
                self._newest_host_ms = now_ms
        if sender.host in hello.hosts:
            self._known[sender.host] = hello.hosts[sender.host]

    def addresses(self) -> dict[HostId, str]:
        """Returns the peer addresses by host; a seed whose host is unknown goes by its address."""
        named = set(self._known.values())
        unnamed = {HostId(seed): seed for seed in self._seeds if seed not in named}
        return {**self._known, **unnamed}

    def hosts_to_tell(self, now_ms: float) -> dict[HostId, str]:
        """Returns the hosts and peer addresses for a greeting, this host's always.

        All of them are told only for a time after one was new: the list is most of a greeting.
        """
        own = {self.identity.host: self._address}
        fresh = now_ms - self._newest_host_ms <= TELL_HOSTS_MS
        return {**self._known, **own} if fresh else own

    def tick(self, now_ms: float) -> list[HostId]:
        """Returns the peers to greet now."""
        last_ms, self._last_tick_ms = self._last_tick_ms, now_ms
        if last_ms is None or now_ms - last_ms > HELLO_PERIOD_MS + PAUSE_MS:
            # What was known before a pause may no longer hold.
            self._steady_since_ms = now_ms
        for host, peer in list(self._peers.items()):
            if now_ms - peer.heard_ms > FORGET_AFTER_MS:
                del self._peers[host]
                self._known.pop(host, None)
        targets = sorted(self.addresses())
        if len(targets) <= HELLO_FANOUT:
            return targets
        start = self._turn % len(targets)
        self._turn += HELLO_FANOUT
        return [targets[(start + step) % len(targets)] for step in range(HELLO_FANOUT)]

    def silent_after_ms(self) -> float:
        """Returns the time after which a peer that is not heard counts as silent."""
        rounds = max(1, -(-len(self.addresses()) // HELLO_FANOUT))
        return SILENT_PERIODS * HELLO_PERIOD_MS * rounds

    def live(self, now_ms: float) -> dict[HostId, Hello]:
        """Returns the peers heard lately, without this host."""
        limit_ms = self.silent_after_ms()
        return {
            host: peer.hello
            for host, peer in self._peers.items()
            if now_ms - peer.heard_ms <= limit_ms
        }

    def host_count(self) -> int:
        """Returns the number of hosts heard within the forgetting time, this host included."""
        return len(self._peers) + 1

    def leads(self, now_ms: float) -> bool:
        """Tells whether this host is the first by name of those heard, which are a majority."""
        live = self.live(now_ms)
        majority = 2 * (len(live) + 1) > self.host_count()
        return majority and all(self.identity.host < host for host in live)

    def steady_ms(self, now_ms: float) -> float:
        """Returns how long this process has run without a pause."""
        return now_ms - self._steady_since_ms

    def demand(self, service: ServiceName, own: Demand, now_ms: float) -> Demand:
        """Returns the demand of all live hosts together."""
        parts = [own]
        for hello in self.live(now_ms).values():
            part = hello.demand.get(service)
            if part is not None:
                parts.append(part)
        return Demand(
            sum(part.prompt_tokens_per_s for part in parts),
            sum(part.decode_tokens for part in parts),
        )


class FleetTask:
    """Greets peers and answers their greetings.

    Args:
        view: the decisions.
        transport: messages to peers.
        clock: time service.
        hello: returns what this host tells.
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
        self._hello = hello
        self._tasks: set[asyncio.Task[None]] = set()
        self._live: set[HostId] = set()
        self._hello_callbacks: list[Callable[[Hello], None]] = []
        transport.register(Hello, self._answer)

    def on_hello(self, callback: Callable[[Hello], None]) -> None:
        """Calls back with each greeting of a peer."""
        self._hello_callbacks.append(callback)

    def start(self) -> None:
        """Starts greeting."""
        self._tick()
        self._clock.every_ms(HELLO_PERIOD_MS, self._tick)

    def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        targets = self.view.tick(now_ms)
        addresses = self.view.addresses()
        self._transport.set_peers({host: f"tcp://{at}" for host, at in addresses.items()})
        for host in targets:
            task = asyncio.get_running_loop().create_task(self._greet(host))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self._note_live(set(self.view.live(now_ms)))

    async def _greet(self, host: HostId) -> None:
        try:
            answer = await self._transport.request(host, self._hello(), HELLO_TIMEOUT_MS)
        except PeerError:
            # A silent peer is logged once, when it no longer counts as live.
            return
        if isinstance(answer, Hello):
            self._learn(answer)

    def _learn(self, hello: Hello) -> None:
        self.view.record_hello(hello.sender, hello, self._clock.now_ms())
        for callback in self._hello_callbacks:
            callback(hello)

    async def _answer(self, sender: HostIdentity, message: Hello) -> Hello:
        self._learn(message)
        return self._hello()

    def _note_live(self, live: set[HostId]) -> None:
        for host in sorted(live ^ self._live):
            state = "live" if host in live else "silent"
            log_info(Event.PEER_STATE_CHANGED, peer=host, state=state)
        self._live = live
