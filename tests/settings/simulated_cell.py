"""Simulation of a cell: hosts with store and propagation, the service and the network."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

import xxhash

from medlarvale.ids import ConfigVersion, HostId
from medlarvale.settings.errors import Problem
from medlarvale.settings.propagation import (
    CancelWatch,
    Check,
    NotifySubscribers,
    QueryPeer,
    ReadService,
    ReportDivergence,
    ReportRejection,
    VersionPropagation,
    Watch,
)
from medlarvale.settings.source import GET_TIMEOUT_MS, WATCH_SLACK_MS, SourceAnswer
from medlarvale.settings.store import NO_VERSION, Rejected, SettingsStore, check_version
from medlarvale.settings.task import TICK_MS
from tests.settings.trees import tree_text

HEARTBEAT_MS = 250
SUSPECT_AFTER_MS = 1_000
# Checking a tree of 0.9 MB takes about 255 ms.
CHECK_MS = 300
SERVICE = HostId("service")

Event = Callable[[], None]


class SimulatedHost:
    """One incarnation of a host."""

    def __init__(self, name: HostId, incarnation: int, now_ms: float) -> None:
        self.name = name
        self.incarnation = incarnation
        self.store = SettingsStore()
        self.propagation = VersionPropagation(name, self.store, now_ms)
        self.highest = NO_VERSION
        self.last_heartbeat_ms: dict[HostId, float] = {}
        self.incarnations: dict[HostId, int] = {}
        self.calls: set[int] = set()
        self.watch_call: int | None = None


class SimulatedCell:
    """Cell of hosts on a network that randomly loses, repeats and delays messages.

    Attributes:
        groups: partition of each host; hosts in different partitions do not reach each other, and
            only partition 0, the default, reaches the service.
        valid: published versions that every host must accept.
        down: the configuration service does not answer with a version.
        stale_version: older version with which the service answers instead of the newest one.
        cut_off: hosts that do not reach the service but still reach their peers.
        forced_rejections: valid versions that a host rejects, as hosts with other software may.
        diverged: versions of which a host reported different texts.
        violations: the violated properties.
    """

    def __init__(self, host_count: int, seed: int) -> None:
        self.now_ms = 0.0
        self.random = random.Random(seed)
        self.loss_percent = 0
        self.duplicate_percent = 0
        self.max_delay_ms = 5.0
        self.groups: dict[HostId, int] = {}
        self.published: dict[ConfigVersion, bytes] = {}
        self.valid: set[ConfigVersion] = set()
        self.down = False
        self.stale_version: ConfigVersion | None = None
        self.cut_off: set[HostId] = set()
        self.forced_rejections: set[tuple[HostId, ConfigVersion]] = set()
        self.diverged: set[tuple[HostId, ConfigVersion]] = set()
        self.waiting_watches: dict[int, Event] = {}
        self.peak_waiting_watches = 0
        self.read_count = 0
        self.violations: list[str] = []
        self._order = itertools.count(1)
        self._events: list[tuple[float, int, Event]] = []
        names = [HostId(f"h{index}") for index in range(host_count)]
        self.hosts = {name: SimulatedHost(name, 0, 0.0) for name in names}
        for offset, name in enumerate(names):
            self._repeat(
                offset * 7.0, TICK_MS, lambda name=name: self._run_actions(self.hosts[name])
            )
            self._repeat(offset * 11.0, HEARTBEAT_MS, lambda name=name: self._heartbeat(name))

    @property
    def newest(self) -> ConfigVersion:
        """The highest published version."""
        return max(self.published, default=NO_VERSION)

    def publish(self, valid: bool) -> None:
        """Publishes the next version; every host must reject an invalid one."""
        version = ConfigVersion(self.newest + 1 if self.published else 1)
        self.published[version] = tree_text(version) if valid else b'{"version": %d}' % version
        if valid:
            self.valid.add(version)
        self.service_changed()

    def service_changed(self) -> None:
        """Makes the waiting watches check the service again."""
        for recheck in list(self.waiting_watches.values()):
            recheck()

    def restart(self, name: HostId) -> None:
        """Starts a new incarnation of a host without state."""
        old = self.hosts[name]
        self.hosts[name] = SimulatedHost(name, old.incarnation + 1, self.now_ms)
        for call in old.calls:
            self.waiting_watches.pop(call, None)

    def clear_faults(self) -> None:
        """Ends all faults; messages in flight stay in flight."""
        self.groups.clear()
        self.cut_off.clear()
        self.loss_percent = self.duplicate_percent = 0
        self.max_delay_ms = 5.0
        self.down = False
        self.stale_version = None
        self.service_changed()

    def run(self, duration_ms: float) -> None:
        """Advances the time and handles the events that are due."""
        end_ms = self.now_ms + duration_ms
        while self._events[0][0] <= end_ms:
            self.now_ms, _, event = heapq.heappop(self._events)
            event()
        self.now_ms = end_ms

    def _after(self, delay_ms: float, event: Event) -> None:
        heapq.heappush(self._events, (self.now_ms + delay_ms, next(self._order), event))

    def _repeat(self, delay_ms: float, period_ms: float, event: Event) -> None:
        def fire() -> None:
            self._repeat(period_ms, period_ms, event)
            event()

        self._after(delay_ms, fire)

    def _send(self, source: HostId, target: HostId, deliver: Event) -> None:
        """Delivers a message once, twice, late or never."""

        def arrive() -> None:
            link_cut = SERVICE in (source, target) and {source, target} & self.cut_off
            if not link_cut and self.groups.get(source, 0) == self.groups.get(target, 0):
                deliver()

        copies = 2 if self.random.randrange(100) < self.duplicate_percent else 1
        for _ in range(copies):
            if self.random.randrange(100) >= self.loss_percent:
                self._after(self.random.uniform(1.0, self.max_delay_ms), arrive)

    def _heartbeat(self, name: HostId) -> None:
        host = self.hosts[name]
        incarnation, version, reaches = (
            host.incarnation,
            host.store.version,
            host.propagation.reaches_service,
        )

        def deliver_to(peer: HostId) -> Event:
            return lambda: self._receive_heartbeat(
                self.hosts[peer], name, incarnation, version, reaches
            )

        for peer in self.hosts:
            if peer != name:
                self._send(name, peer, deliver_to(peer))

    def _receive_heartbeat(
        self,
        host: SimulatedHost,
        peer: HostId,
        incarnation: int,
        version: ConfigVersion,
        reaches: bool,
    ) -> None:
        if incarnation < host.incarnations.get(peer, 0):
            return
        host.incarnations[peer] = incarnation
        host.last_heartbeat_ms[peer] = self.now_ms
        host.propagation.record_peer_version(peer, version, reaches)

    def _run_actions(self, host: SimulatedHost) -> None:
        live = {
            peer
            for peer, at in host.last_heartbeat_ms.items()
            if self.now_ms - at < SUSPECT_AFTER_MS
        }
        host.propagation.set_live_hosts(live)
        for action in host.propagation.actions(self.now_ms, int(self.now_ms)):
            if isinstance(action, Watch):
                self._watch(host, action)
            elif isinstance(action, CancelWatch):
                self._end_call(host, host.watch_call)
            elif isinstance(action, ReadService):
                self._read(host, action)
            elif isinstance(action, QueryPeer):
                self._query_peer(host, action)
            elif isinstance(action, Check):
                self._check_text(host, action)
            elif isinstance(action, ReportDivergence):
                self.diverged.add((host.name, action.version))
            elif isinstance(action, ReportRejection) and action.rejected.version in self.valid:
                if (host.name, action.rejected.version) not in self.forced_rejections:
                    self.violations.append(f"valid version {action.rejected.version} rejected")
            elif (
                isinstance(action, NotifySubscribers) and action.accepted is not host.store.in_force
            ):
                self.violations.append(f"{host.name} announced a version that is not in force")
        self._check_invariants(host)

    def _check_text(self, host: SimulatedHost, action: Check) -> None:
        version = action.answer.version
        verdict = check_version(version, action.answer.text)
        if (host.name, version) in self.forced_rejections:
            digest = xxhash.xxh3_64_intdigest(action.answer.text)
            verdict = Rejected(version, digest, (Problem("", "other software"),))

        def finish() -> None:
            if self.hosts[host.name] is host:
                host.propagation.check_finished(verdict)
                self._run_actions(host)

        self._after(CHECK_MS, finish)

    def _check_invariants(self, host: SimulatedHost) -> None:
        in_force = host.store.in_force
        version = host.store.version
        if version < host.highest:
            self.violations.append(f"{host.name} reverted from {host.highest} to {version}")
        host.highest = max(host.highest, version)
        if in_force is not None and version not in self.valid:
            self.violations.append(f"{host.name} runs the rejected version {version}")
        if in_force is not None and in_force.text != self.published[version]:
            self.violations.append(f"{host.name} runs a different text as version {version}")

    def _start_call(self, host: SimulatedHost, timeout_ms: float, failed: Event) -> int:
        call = next(self._order)
        host.calls.add(call)
        self._after(timeout_ms, lambda: self._finish(host, call, failed))
        return call

    def _end_call(self, host: SimulatedHost, call: int | None) -> None:
        if call is not None:
            host.calls.discard(call)
            self.waiting_watches.pop(call, None)

    def _finish(self, host: SimulatedHost, call: int, handle: Event) -> None:
        """Ends a call at most once, and not if the host has been restarted."""
        if call in host.calls and self.hosts[host.name] is host:
            self._end_call(host, call)
            handle()
            self._run_actions(host)

    def _reply(self, source: HostId, host: SimulatedHost, call: int, handle: Event) -> None:
        self._send(source, host.name, lambda: self._finish(host, call, handle))

    def _service_answer(self) -> SourceAnswer | None:
        version = self.newest if self.stale_version is None else self.stale_version
        if self.down or version not in self.published:
            return None
        return SourceAnswer(version, self.published[version])

    def _read(self, host: SimulatedHost, action: ReadService) -> None:
        def fail() -> None:
            host.propagation.read_failed(self.now_ms)

        def handle_call() -> None:
            self.read_count += 1
            answer = self._service_answer()
            if answer is None:
                self._reply(SERVICE, host, call, fail)
            else:
                newer = answer if answer.version > action.after else None
                self._reply(
                    SERVICE, host, call, lambda: host.propagation.read_answered(newer, self.now_ms)
                )

        call = self._start_call(host, GET_TIMEOUT_MS, fail)
        self._send(host.name, SERVICE, handle_call)

    def _watch(self, host: SimulatedHost, action: Watch) -> None:
        def fail() -> None:
            host.propagation.watch_failed(self.now_ms)

        def answer_with(answer: SourceAnswer | None) -> None:
            self.waiting_watches.pop(call, None)
            self._reply(
                SERVICE,
                host,
                call,
                lambda: host.propagation.watch_answered(action.after, answer, self.now_ms),
            )

        def recheck() -> None:
            answer = self._service_answer()
            if self.down:
                self.waiting_watches.pop(call, None)
                self._reply(SERVICE, host, call, fail)
            elif answer is not None and answer.version > action.after:
                answer_with(answer)

        def wait_over() -> None:
            if call in self.waiting_watches:
                answer_with(None)

        def handle_call() -> None:
            if call in host.calls:
                self.waiting_watches[call] = recheck
                recheck()
                self._after(action.wait_ms, wait_over)
                self.peak_waiting_watches = max(
                    self.peak_waiting_watches, len(self.waiting_watches)
                )

        call = self._start_call(host, action.wait_ms + WATCH_SLACK_MS, fail)
        host.watch_call = call
        self._send(host.name, SERVICE, handle_call)

    def _query_peer(self, host: SimulatedHost, action: QueryPeer) -> None:
        def fail() -> None:
            host.propagation.peer_failed(action.peer, self.now_ms)

        def handle_call() -> None:
            in_force = self.hosts[action.peer].store.in_force
            answer = None
            if in_force is not None and in_force.version > action.newer_than:
                answer = SourceAnswer(in_force.version, in_force.text)
            self._reply(
                action.peer,
                host,
                call,
                lambda: host.propagation.peer_answered(action.peer, answer, self.now_ms),
            )

        call = self._start_call(host, action.timeout_ms, fail)
        self._send(host.name, action.peer, handle_call)
