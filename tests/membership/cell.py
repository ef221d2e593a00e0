"""Simulation of several hosts with view and directory, the platform's list and the network."""

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
    HEARTBEAT_PERIOD_MS,
    MAX_CRASH_DETECTION_MS,
    SUSPECT_AFTER_MS,
    MembershipView,
)
from medlarvale.settings.schema import PoolRole

SERVERS = [ServerId("s0"), ServerId("s1")]
POLL_MS = 500
CHECK_PERIOD_MS = 100
Event = Callable[[], None]


class SimulatedHost:
    """One incarnation of a host."""

    def __init__(self, identity: HostIdentity, skew_ms: int, clock: ManualClock) -> None:
        self.identity = identity
        self.skew_ms = skew_ms
        self.view = MembershipView(identity)
        self.view.state = HostState.LIVE
        self.directory = ServerDirectory(clock)
        self.numbers = itertools.count(1)
        self.paused = False
        self.resumed_ms = clock.now_ms()
        self.inbox: list[Event] = []
        # What the simulation expects this incarnation to know.
        self.newest_sent: dict[HostIdentity, float] = {}
        self.seen: dict[HostId, Incarnation] = {}
        self.known_leaving: set[ServerId] = set()


class SimulatedCell:
    """A cell with a random network; ``violations`` collects the violated properties."""

    def __init__(self, host_count: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.clock = ManualClock()
        self.loss_percent = 0
        self.max_delay_ms = 5.0
        self.groups: dict[HostId, int] = {}
        self.without_servers: set[HostId] = set()
        self.leaving: set[ServerId] = set()
        self.violations: list[str] = []
        self.crashed_ms: dict[HostIdentity, float] = {}
        self.hosts: dict[HostId, SimulatedHost] = {}
        self.lists: list[HostList] = []
        self.lag: dict[HostId, int | None] = {}
        self._listed: list[HostId] = []
        self._list_leaving: set[ServerId] = set()
        self._names = itertools.count()
        self._incarnations = itertools.count(1)
        self._order = itertools.count()
        self._events: list[tuple[float, int, Event]] = []
        for _ in range(host_count):
            self.add_host()

    @property
    def now_ms(self) -> float:
        """Simulated time."""
        return self.clock.now_ms()

    def add_host(self) -> None:
        """Starts a host with a new name and lists it."""
        name = HostId(f"h{next(self._names)}")
        self._listed.append(name)
        self.start(name)
        self.publish_list()

    def start(self, name: HostId) -> None:
        """Starts a new incarnation of a host."""
        identity = HostIdentity(name, Incarnation(next(self._incarnations)))
        skew_ms = self.random.randint(-CLOCK_BOUND_MS // 2, CLOCK_BOUND_MS // 2)
        host = self.hosts[name] = SimulatedHost(identity, skew_ms, self.clock)
        offset_ms = self.random.uniform(0, HEARTBEAT_PERIOD_MS)
        self._repeat(host, offset_ms, HEARTBEAT_PERIOD_MS, lambda: self._send_heartbeats(host))
        self._repeat(host, offset_ms / 2, LIST_READ_PERIOD_MS, lambda: self._read_list(host))
        self._repeat(host, offset_ms / 3, POLL_MS, lambda: self._poll_servers(host))
        self._repeat(host, offset_ms, CHECK_PERIOD_MS, lambda: self._check_properties(host))

    def crash(self, name: HostId) -> None:
        """Ends the incarnation of a host; messages that it sent may still arrive."""
        self.crashed_ms[self.hosts.pop(name).identity] = self.now_ms

    def replace(self, name: HostId) -> None:
        """Removes a host from the list permanently and adds another."""
        self.crash(name)
        self._listed.remove(name)
        self.add_host()

    def resume(self, host: SimulatedHost) -> None:
        """Ends a pause; waiting messages are handled first, as in a resumed process."""
        if host.paused:
            host.paused, host.resumed_ms = False, self.now_ms
            waiting, host.inbox = host.inbox, []
            for event in waiting:
                event()

    def publish_list(self, leaving: set[ServerId] | None = None) -> None:
        """Publishes the next version of the platform's list.

        Args:
            leaving: servers that the list marks as leaving from now on; None for no change.
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
        """Ends all network and list faults and all pauses."""
        self.groups.clear()
        self.without_servers.clear()
        self.lag.clear()
        self.loss_percent, self.max_delay_ms = 0, 5.0
        for host in list(self.hosts.values()):
            self.resume(host)

    def run(self, duration_ms: float) -> None:
        """Advances the time and handles the events that become due, including checks."""
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
        """Delivers a message late or never; a paused host handles it when it resumes."""

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

    def _send_heartbeats(self, host: SimulatedHost) -> None:
        host.view.tick(self.now_ms)
        for peer in host.view.peer_addresses():
            self._send_heartbeat(host, peer, True)
        peer_ahead = host.view.peer_with_newer_list(self.now_ms)
        if peer_ahead is not None:
            self._send(host.identity.host, peer_ahead, lambda peer: self._send_list(peer, host))

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
            self._receive_heartbeat(target, host.identity, heartbeat, sent_ms)
            if answered:
                self._send_heartbeat(target, host.identity.host, False)

        self._send(host.identity.host, peer, handle)

    def _receive_heartbeat(
        self, host: SimulatedHost, sender: HostIdentity, heartbeat: Heartbeat, sent_ms: float
    ) -> None:
        wall_ms = self.clock.wall_ms() + host.skew_ms
        host.view.learn_heartbeat(sender, heartbeat, self.now_ms, wall_ms)
        if wall_ms - heartbeat.sent_wall_ms <= SUSPECT_AFTER_MS + CLOCK_BOUND_MS:
            host.directory.mark_leaving_by_peer(heartbeat.leaving_servers)
        host.newest_sent[sender] = max(host.newest_sent.get(sender, 0.0), sent_ms)

    def _send_list(self, peer: SimulatedHost, requester: SimulatedHost) -> None:
        known = peer.view.host_list
        if known is not None:
            self._send(
                peer.identity.host,
                requester.identity.host,
                lambda host: self._learn_list(host, known),
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
            self.violations.append(f"{host.identity} reverted to list {host_list.version}")

    def _poll_servers(self, host: SimulatedHost) -> None:
        if host.identity.host in self.without_servers:
            return
        for server in SERVERS:
            host.directory.mark_leaving(server, server in self.leaving)

    def _check_properties(self, host: SimulatedHost) -> None:
        if host.paused:
            return
        answering = host.view.answering_identities(self.now_ms)
        for identity in answering:
            if identity.incarnation < host.seen.get(identity.host, 0):
                self.violations.append(
                    f"{host.identity} considers {identity} live after a later incarnation"
                )
            host.seen[identity.host] = identity.incarnation
            crashed_ms = self.crashed_ms.get(identity)
            if crashed_ms is not None:
                awake_ms = self.now_ms - max(crashed_ms, host.resumed_ms)
                if awake_ms > MAX_CRASH_DETECTION_MS:
                    self.violations.append(
                        f"{host.identity} considers crashed {identity} live after {awake_ms} ms"
                    )
        recent_ms = self.now_ms - SUSPECT_AFTER_MS
        host.newest_sent = {
            identity: sent_ms
            for identity, sent_ms in host.newest_sent.items()
            if sent_ms > recent_ms
        }
        for identity in host.newest_sent:
            latest = host.seen.get(identity.host, identity.incarnation) <= identity.incarnation
            if latest and identity not in answering:
                self.violations.append(f"{host.identity} dropped {identity}, which answers")
        for server in SERVERS:
            if server not in self.leaving:
                host.known_leaving.discard(server)
            elif not host.directory.accepts_work(server):
                host.known_leaving.add(server)
            elif server in host.known_leaving:
                self.violations.append(f"{host.identity} sends work to {server} again")
