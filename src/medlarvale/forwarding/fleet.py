"""Discovers the hosts of the fleet through the seeds and keeps their latest hello messages."""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections.abc import Callable, Iterable

import msgspec

from medlarvale.clock import Clock, Subscription
from medlarvale.forwarding.fleet_messages import Demand, Hello
from medlarvale.forwarding.host_contacts import HostContacts
from medlarvale.hashing import weight
from medlarvale.ids import HostId, HostIdentity, ServiceName
from medlarvale.logs import Event, log_info
from medlarvale.peers.errors import PeerError
from medlarvale.peers.pynng_transport import PynngTransport

HELLO_PERIOD_MS = 500.0
HELLO_TIMEOUT_MS = 400.0
# Peers that get a hello per period; with more peers they take turns.
HELLO_FANOUT = 8
# Periods without evidence of life after which a peer counts as silent: in a fleet whose hosts all
# get a hello in each period, and in a larger one.
SILENT_PERIODS = 3
SILENT_PERIODS_IN_TURNS = 6
# A peer of a large fleet counts as silent after this many times the mean time between two pieces of
# evidence: a live one is then silent for that long with a probability of e^-14.
SILENT_INTERVALS = 14.0
# After the discovery of a host, hellos list some hosts for this time: a few rounds of a large
# fleet.
ANNOUNCE_HOSTS_MS = 10_000.0
ANNOUNCED_HOSTS = 8
# A peer counts as heard recently for at least this time, and for this many times the mean time
# between two pieces of evidence: a live one is then missing with a probability of e^-2.5.
RECENT_MS = 1_000.0
RECENT_INTERVALS = 2.5
# A host that was silent for this long is removed and no longer counts towards the majority.
FORGET_AFTER_MS = 30_000.0
# Time for which is remembered when a host was in touch.
REMEMBERED_CONTACTS_MS = 600_000.0
# A tick that is late by more than this shows that this process was paused.
PROCESS_PAUSE_MS = 1_000.0


def fleet_key(parts: Iterable[str]) -> bytes:
    """Returns the key that authenticates frames between hosts.

    The platform provides no shared secret. The key is derived from settings that are equal on all
    hosts: it rejects frames of another fleet, but does not protect against an attacker on the
    network.
    """
    return hashlib.sha256("\0".join(parts).encode()).digest()


def host_digest(host: HostId) -> int:
    """Returns a 32-bit digest of a host name, to name hosts in hellos."""
    return weight("heard", host) & 0xFFFFFFFF


class _Peer(msgspec.Struct):
    """What is known of a peer.

    Attributes:
        hello: its last hello.
        last_hello_ms: time of its last hello.
        alive_ms: last time at which it is known to have lived, from its own hellos or from hosts
            that have received one.
    """

    identity: HostIdentity
    hello: Hello
    last_hello_ms: float
    alive_ms: float


class FleetView:
    """The peers as one host knows them, without I/O.

    Args:
        identity: this host.
        address: peer address of this host.
        seeds: peer addresses that may belong to hosts.
        rng: selects the hosts to announce.
    """

    def __init__(
        self,
        identity: HostIdentity,
        address: str,
        seeds: Iterable[str],
        rng: random.Random | None = None,
    ) -> None:
        self._rng = rng or random.Random(0)
        self._digests: dict[int, HostId] = {}
        self.identity = identity
        self._address = address
        self._seeds: list[str] = []
        self.set_seeds(seeds)
        self._known_addresses: dict[HostId, str] = {}
        self._peers: dict[HostId, _Peer] = {}
        self._waiting_targets: list[HostId] = []
        self._has_met_peer = False
        self._newest_host_ms = 0.0
        self._last_tick_ms: float | None = None
        self._unpaused_since_ms = 0.0
        self._contacts = HostContacts(REMEMBERED_CONTACTS_MS)

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replaces the seeds; hosts that are known already are kept."""
        self._seeds = [seed for seed in seeds if seed != self._address]

    def record_hello(self, sender: HostIdentity, hello: Hello, now_ms: float) -> None:
        """Records a hello unless it is from an older incarnation of the peer."""
        self._has_met_peer = True
        known = self._peers.get(sender.host)
        if known is not None and sender.incarnation < known.identity.incarnation:
            return
        if known is None or sender.incarnation > known.identity.incarnation:
            self._newest_host_ms = now_ms
        self._peers[sender.host] = _Peer(sender, hello, now_ms, now_ms)
        self._contacts.learn(sender.host)
        if hello.store_reachable and self._reads_in_time(now_ms):
            self._contacts.note(sender.host, now_ms)
        self._digests[host_digest(sender.host)] = sender.host
        self._note_heard(hello.heard, now_ms)
        for host, address in hello.hosts.items():
            if host != self.identity.host and host not in self._known_addresses:
                self._known_addresses[host] = address
                self._contacts.learn(host)
                self._newest_host_ms = now_ms
        if sender.host in hello.hosts:
            self._known_addresses[sender.host] = hello.hosts[sender.host]

    def _reads_in_time(self, now_ms: float) -> bool:
        """Returns whether hellos are read soon after their arrival, as after no pause."""
        if self._last_tick_ms is None:
            return False
        late_ms = now_ms - self._last_tick_ms
        is_paused = late_ms > HELLO_PERIOD_MS + PROCESS_PAUSE_MS
        return not is_paused and self.unpaused_ms(now_ms) >= PROCESS_PAUSE_MS

    def in_touch_ms(self, at_ms: float) -> float:
        """Returns the time since which, as of some time, a host may have been out of touch.

        Returns:
            A time up to ``at_ms``; minus infinity if it is unknown.
        """
        return self._contacts.in_touch_ms(at_ms)

    def _note_heard(self, heard: tuple[int, ...], now_ms: float) -> None:
        """Records that the sender of a hello has itself heard from some hosts recently."""
        for digest in heard:
            peer = self._peers.get(self._digests.get(digest, self.identity.host))
            if peer is not None:
                peer.alive_ms = max(peer.alive_ms, now_ms - HELLO_PERIOD_MS)

    def heard(self, now_ms: float) -> tuple[int, ...]:
        """Returns digests of the hosts from which this host got a hello in the last period.

        Only direct evidence is passed on, so that a dead host can't be kept alive by rumours.
        """
        if len(self._peers) <= HELLO_FANOUT:
            return ()
        return tuple(
            host_digest(host)
            for host, peer in self._peers.items()
            if now_ms - peer.last_hello_ms <= HELLO_PERIOD_MS
        )

    def addresses(self) -> dict[HostId, str]:
        """Returns the peer addresses by host; seeds of unknown hosts are keyed by address."""
        named = set(self._known_addresses.values())
        unnamed = {HostId(seed): seed for seed in self._seeds if seed not in named}
        return {**self._known_addresses, **unnamed}

    def hosts_to_announce(self, now_ms: float) -> dict[HostId, str]:
        """Returns the hosts and peer addresses for a hello, which always include this host.

        Other hosts are listed only for a time after a discovery, and only a few in each hello,
        because the whole list would be most of the traffic of a large fleet.
        """
        own = {self.identity.host: self._address}
        if not self.is_announcing(now_ms):
            return own
        others = sorted(self._known_addresses.items())
        announced = self._rng.sample(others, min(ANNOUNCED_HOSTS, len(others)))
        return {**dict(announced), **own}

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
            if now_ms - peer.alive_ms > FORGET_AFTER_MS:
                del self._peers[host]
                self._digests.pop(host_digest(host), None)
                self._known_addresses.pop(host, None)
        targets = sorted(self.addresses())
        if len(targets) <= HELLO_FANOUT:
            return targets
        # In an order of its own for each host, so that not all send to the same peers at once.
        known = set(targets)
        waiting = [target for target in self._waiting_targets if target in known]
        if len(waiting) < HELLO_FANOUT:
            others = [target for target in targets if target not in waiting]
            waiting += self._rng.sample(others, len(others))
        self._waiting_targets = waiting[HELLO_FANOUT:]
        return waiting[:HELLO_FANOUT]

    def silent_after_ms(self) -> float:
        """Returns the time without a hello after which a peer counts as silent."""
        hosts = len(self.addresses())
        if hosts <= HELLO_FANOUT:
            return SILENT_PERIODS * HELLO_PERIOD_MS
        evidence = self._evidence(hosts)
        shortest_ms = SILENT_PERIODS_IN_TURNS * HELLO_PERIOD_MS
        # Evidence that is passed on is up to a period old.
        return max(shortest_ms, HELLO_PERIOD_MS * (1.0 + SILENT_INTERVALS / evidence))

    @staticmethod
    def _evidence(hosts: int) -> float:
        """Returns the mean number of pieces of evidence of a live host in a period."""
        # Each period, a host sends and receives HELLO_FANOUT hellos, and as many answers. Each
        # names the hosts from which its sender got one in the period before.
        messages = 2 * HELLO_FANOUT
        return messages * (1 + min(messages, hosts)) / hosts

    def recently_heard(self, now_ms: float) -> set[HostId]:
        """Returns the peers that gave evidence of life recently, sooner than ``live`` notices.

        In a large fleet a small share of the live peers is missing.
        """
        hosts = max(1, len(self.addresses()))
        interval_ms = HELLO_PERIOD_MS / self._evidence(hosts)
        limit_ms = max(RECENT_MS, HELLO_PERIOD_MS + RECENT_INTERVALS * interval_ms)
        return {host for host, peer in self._peers.items() if now_ms - peer.alive_ms <= limit_ms}

    def live(self, now_ms: float) -> dict[HostId, Hello]:
        """Returns the last hellos of the live peers, without this host."""
        limit_ms = self.silent_after_ms()
        return {
            host: peer.hello
            for host, peer in self._peers.items()
            if now_ms - peer.alive_ms <= limit_ms
        }

    def hello_of(self, host: HostId) -> Hello | None:
        """Returns the last hello of a peer, live or not; None if there is none."""
        peer = self._peers.get(host)
        return peer.hello if peer is not None else None

    def relay_address(self, host: HostId) -> str | None:
        """Returns the ``ip:port`` of a peer for relayed requests; None if it takes none."""
        peer, address = self._peers.get(host), self._known_addresses.get(host)
        if peer is None or address is None or not peer.hello.relay_port:
            return None
        return f"{address.rpartition(':')[0]}:{peer.hello.relay_port}"

    def host_count(self) -> int:
        """Returns the number of hosts heard from within ``FORGET_AFTER_MS``, including this one."""
        return len(self._peers) + 1

    def is_coordinator(self, now_ms: float) -> bool:
        """Returns whether the live hosts are a majority and this host is the first by name.

        A host that hears nobody can't tell a fleet of one from a fleet that it can't hear, so it is
        a majority only if there has never been a sign of another host.
        """
        live = self.live(now_ms)
        if not live:
            return self.is_alone()
        majority = 2 * (len(live) + 1) > self.host_count()
        return majority and all(self.identity.host < host for host in live)

    def is_alone(self) -> bool:
        """Returns whether there has never been a sign of another host."""
        return not self._seeds and not self._has_met_peer

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
        self._subscription: Subscription | None = None
        self._live: set[HostId] = set()
        self._addresses: dict[HostId, str] = {}
        self._hello_callbacks: list[Callable[[Hello], None]] = []
        transport.register(Hello, self._answer)

    def on_hello(self, callback: Callable[[Hello], None]) -> None:
        """Registers a callback for each hello of a peer."""
        self._hello_callbacks.append(callback)

    def start(self) -> None:
        """Starts sending hellos."""
        self._tick()
        self._subscription = self._clock.every_ms(HELLO_PERIOD_MS, self._tick)

    async def close(self) -> None:
        """Stops sending hellos."""
        if self._subscription is not None:
            self._subscription.cancel()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        targets = self.view.tick(now_ms)
        self._set_peers()
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

    def _set_peers(self) -> None:
        self._addresses = self.view.addresses()
        self._transport.set_peers({host: f"tcp://{at}" for host, at in self._addresses.items()})

    def _record_hello(self, hello: Hello) -> None:
        self.view.record_hello(hello.sender, hello, self._clock.now_ms())
        if hello.sender.host not in self._addresses:
            # A host that has just started would not be able to ask its peers until the next tick.
            self._set_peers()
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
