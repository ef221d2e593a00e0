"""Several hosts with view and directory, the platform's list and the network, simulated."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

from medlarvale.clock import ManualClock
from medlarvale.ids import (
    ConfigVersion,
    FailureDomain,
    HostId,
    HostIdentity,
    Incarnation,
    ListVersion,
    PoolName,
    ServerId,
    ServiceName,
)
from medlarvale.membership.messages import EntryHost, Heartbeat, HostList, HostState
from medlarvale.membership.servers import BackendServer, ServerDirectory, ServerState
from medlarvale.membership.task import LIST_READ_PERIOD_MS
from medlarvale.membership.view import (
    CLOCK_BOUND_MS,
    DEAD_LIFE_MS,
    HEARTBEAT_PERIOD_MS,
    SUSPECT_AFTER_MS,
    MembershipView,
)
from medlarvale.settings.schema import PoolRole

SERVERS = [ServerId("s0"), ServerId("s1")]
POLL_MS = 500
CHECK_PERIOD_MS = 100
Event = Callable[[], None]


class SimulatedHost:
    """One life of a host."""

    def __init__(self, identity: HostIdentity, skew_ms: int, clock: ManualClock) -> None:
        self.identity = identity
        self.skew_ms = skew_ms
        self.view = MembershipView(identity)
        self.view.state = HostState.LIVE
        self.directory = ServerDirectory(clock)
        self.numbers = itertools.count(1)
        self.paused = False
        self.woke_ms = clock.now_ms()
        self.inbox: list[Event] = []
        # What the simulation knows of this life's knowledge.
        self.newest_sent: dict[HostIdentity, float] = {}
        self.seen: dict[HostId, Incarnation] = {}
        self.knows_leaving: set[ServerId] = set()


class SimulatedCell:
    """A cell under a random network; ``broken`` collects violated properties."""

    def __init__(self, host_count: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.clock = ManualClock()
        self.loss_percent = 0
        self.max_delay_ms = 5.0
        self.groups: dict[HostId, int] = {}
        self.no_server: set[HostId] = set()
        self.leaving: set[ServerId] = set()
        self.broken: list[str] = []
        self.died_ms: dict[HostIdentity, float] = {}
        self.hosts: dict[HostId, SimulatedHost] = {}
        self.lists: list[HostList] = []
        self.lag: dict[HostId, int | None] = {}
        self._listed: list[HostId] = []
        self._list_leaving: set[ServerId] = set()
        self._names = itertools.count()
        self._lives = itertools.count(1)
        self._order = itertools.count()
        self._events: list[tuple[float, int, Event]] = []
        for _ in range(host_count):
            self.add_host()

    @property
    def now_ms(self) -> float:
        """Simulated time."""
        return self.clock.now_ms()

    def add_host(self) -> None:
        """Starts a host under a new name and lists it."""
        name = HostId(f"h{next(self._names)}")
        self._listed.append(name)
        self.start(name)
        self.publish_list()

    def start(self, name: HostId) -> None:
        """Starts a new life of a host."""
        identity = HostIdentity(name, Incarnation(next(self._lives)))
        skew_ms = self.random.randint(-CLOCK_BOUND_MS // 2, CLOCK_BOUND_MS // 2)
        host = self.hosts[name] = SimulatedHost(identity, skew_ms, self.clock)
        offset_ms = self.random.uniform(0, HEARTBEAT_PERIOD_MS)
        self._repeat(host, offset_ms, HEARTBEAT_PERIOD_MS, lambda: self._beat(host))
        self._repeat(host, offset_ms / 2, LIST_READ_PERIOD_MS, lambda: self._read_list(host))
        self._repeat(host, offset_ms / 3, POLL_MS, lambda: self._poll(host))
        self._repeat(host, offset_ms, CHECK_PERIOD_MS, lambda: self._check(host))

    def crash(self, name: HostId) -> None:
        """Ends the life of a host; messages it sent may still arrive."""
        self.died_ms[self.hosts.pop(name).identity] = self.now_ms

    def replace(self, name: HostId) -> None:
        """Removes a host from the list for good and adds another."""
        self.crash(name)
        self._listed.remove(name)
        self.add_host()

    def wake(self, host: SimulatedHost) -> None:
        """Ends a pause; what waited is handled first, as a process that wakes does."""
        if host.paused:
            host.paused, host.woke_ms = False, self.now_ms
            waiting, host.inbox = host.inbox, []
            for event in waiting:
                event()

    def publish_list(self, leaving: set[ServerId] | None = None) -> None:
        """Publishes the next version of the platform's list.

        Args:
            leaving: servers that the list shows as leaving from now on; None for no change.
        """
        self._list_leaving = self._list_leaving if leaving is None else set(leaving)
        hosts = [EntryHost(name, f"tcp://{name}", FailureDomain("d")) for name in self._listed]
        servers = [
            BackendServer(
                server,
                "http://s",
                ServiceName("chat"),
                PoolName("p"),
                PoolRole.DECODE,
                FailureDomain("d"),
                ServerState.LEAVING if server in self._list_leaving else ServerState.LIVE,
            )
            for server in SERVERS
        ]
        self.lists.append(HostList(ListVersion(len(self.lists) + 1), hosts, servers))

    def heal(self) -> None:
        """Ends all faults, pauses included, and lists the hosts that are there."""
        self.groups.clear()
        self.no_server.clear()
        self.lag.clear()
        self.loss_percent, self.max_delay_ms = 0, 5.0
        for host in list(self.hosts.values()):
            self.wake(host)

    def run(self, duration_ms: float) -> None:
        """Moves the time, handles what falls due, and checks all hosts."""
        end_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            due_ms, _, event = heapq.heappop(self._events)
            self.clock.advance_ms(due_ms - self.now_ms)
            event()
        self.clock.advance_ms(end_ms - self.now_ms)

    def _after(self, delay_ms: float, event: Event) -> None:
        heapq.heappush(self._events, (self.now_ms + delay_ms, next(self._order), event))

    def _repeat(self, host: SimulatedHost, delay_ms: float, period: float, event: Event) -> None:
        def fire() -> None:
            if self.hosts.get(host.identity.host) is host:
                self._repeat(host, period, period, event)
                if not host.paused:
                    event()

        self._after(delay_ms, fire)

    def _send(self, source: HostId, target: HostId, handle: Callable[[SimulatedHost], None]):
        """Delivers late or never; a paused host handles the message when it wakes."""

        def arrive() -> None:
            host = self.hosts.get(target)
            if host is None or self.groups.get(source, 0) != self.groups.get(target, 0):
                return
            if host.paused:
                host.inbox.append(lambda: handle(host))
            else:
                handle(host)

        if self.random.randrange(100) >= self.loss_percent:
            self._after(self.random.uniform(1.0, self.max_delay_ms), arrive)

    def _beat(self, host: SimulatedHost) -> None:
        host.view.tick(self.now_ms)
        for peer in host.view.peer_addresses():
            self._send_heartbeat(host, peer, True)
        newer_at = host.view.newer_list_at(self.now_ms)
        if newer_at is not None:
            self._send(host.identity.host, newer_at, lambda peer: self._give_list(peer, host))

    def _send_heartbeat(self, host: SimulatedHost, peer: HostId, answered: bool) -> None:
        heartbeat = Heartbeat(
            host.identity.incarnation,
            host.view.state,
            ConfigVersion(1),
            host.view.list_version,
            host.directory.self_reported_leaving(),
            number=next(host.numbers),
            sent_wall_ms=self.clock.wall_ms() + host.skew_ms,
        )
        sent_ms = self.now_ms

        def handle(target: SimulatedHost) -> None:
            self._hear(target, host.identity, heartbeat, sent_ms)
            if answered:
                self._send_heartbeat(target, host.identity.host, False)

        self._send(host.identity.host, peer, handle)

    def _hear(
        self, host: SimulatedHost, sender: HostIdentity, heartbeat: Heartbeat, sent_ms: float
    ) -> None:
        wall_ms = self.clock.wall_ms() + host.skew_ms
        host.view.learn_heartbeat(sender, heartbeat, self.now_ms, wall_ms)
        if wall_ms - heartbeat.sent_wall_ms <= SUSPECT_AFTER_MS + CLOCK_BOUND_MS:
            host.directory.mark_told_leaving(heartbeat.leaving_servers)
        host.newest_sent[sender] = max(host.newest_sent.get(sender, 0.0), sent_ms)

    def _give_list(self, peer: SimulatedHost, asker: SimulatedHost) -> None:
        known = peer.view.host_list
        if known is not None:
            self._send(
                peer.identity.host, asker.identity.host, lambda host: self._learn_list(host, known)
            )

    def _read_list(self, host: SimulatedHost) -> None:
        lag = self.lag.get(host.identity.host, 0)
        if lag is not None:
            self._learn_list(host, self.lists[max(0, len(self.lists) - 1 - lag)])

    def _learn_list(self, host: SimulatedHost, host_list: HostList) -> None:
        before = host.view.list_version
        if host.view.learn_list(host_list):
            host.directory.replace(host_list.backend_servers)
        if host.view.list_version < before:
            self.broken.append(f"{host.identity} went back to list {host_list.version}")

    def _poll(self, host: SimulatedHost) -> None:
        if host.identity.host in self.no_server:
            return
        for server in SERVERS:
            host.directory.mark_leaving(server, server in self.leaving)

    def _check(self, host: SimulatedHost) -> None:
        if host.paused:
            return
        answering = host.view.answering_identities(self.now_ms)
        for life in answering:
            if life.incarnation < host.seen.get(life.host, 0):
                self.broken.append(f"{host.identity} takes {life} for live after a later life")
            host.seen[life.host] = life.incarnation
            died_ms = self.died_ms.get(life)
            if died_ms is not None:
                awake_ms = self.now_ms - max(died_ms, host.woke_ms)
                if awake_ms > DEAD_LIFE_MS:
                    self.broken.append(f"{host.identity} takes {life} for live, dead {awake_ms}")
        recent_ms = self.now_ms - SUSPECT_AFTER_MS
        host.newest_sent = {
            life: sent_ms for life, sent_ms in host.newest_sent.items() if sent_ms > recent_ms
        }
        for life in host.newest_sent:
            latest = host.seen.get(life.host, life.incarnation) <= life.incarnation
            if latest and life not in answering:
                self.broken.append(f"{host.identity} dropped {life}, which answers")
        for server in SERVERS:
            if server not in self.leaving:
                host.knows_leaving.discard(server)
            elif not host.directory.accepts_work(server):
                host.knows_leaving.add(server)
            elif server in host.knows_leaving:
                self.broken.append(f"{host.identity} sends work to {server} again")
