"""Several hosts with store and spread, the service and the network between them, simulated."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

import xxhash

from medlarvale.ids import ConfigVersion, HostId
from medlarvale.settings.errors import Problem
from medlarvale.settings.propagation import (
    Announce,
    AskPeer,
    Check,
    ReadService,
    ReportDivergence,
    ReportRejection,
    StopWatch,
    VersionPropagation,
    Watch,
)
from medlarvale.settings.source import GET_TIMEOUT_MS, WATCH_SLACK_MS, SourceAnswer
from medlarvale.settings.store import NO_VERSION, Rejected, SettingsStore, check_version
from medlarvale.settings.task import TICK_MS
from tests.settings.trees import tree_text

HEARTBEAT_MS = 250
SUSPECT_AFTER_MS = 1_000
# A tree of 0.9 MB takes about 255 ms.
CHECK_MS = 300
SERVICE = HostId("service")

Event = Callable[[], None]


class SimulatedHost:
    """One life of a host."""

    def __init__(self, name: HostId, life: int, now_ms: float) -> None:
        self.name = name
        self.life = life
        self.store = SettingsStore()
        self.propagation = VersionPropagation(name, self.store, now_ms)
        self.highest = NO_VERSION
        self.heard: dict[HostId, float] = {}
        self.lives: dict[HostId, int] = {}
        self.calls: set[int] = set()
        self.watch_call: int | None = None


class SimulatedCell:
    """A cell of hosts under a random network; ``broken`` collects violated properties."""

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
        self.refusals: set[tuple[HostId, ConfigVersion]] = set()
        self.diverged: set[tuple[HostId, ConfigVersion]] = set()
        self.waiting: dict[int, Event] = {}
        self.most_waiting = 0
        self.reads = 0
        self.broken: list[str] = []
        self._order = itertools.count(1)
        self._events: list[tuple[float, int, Event]] = []
        names = [HostId(f"h{index}") for index in range(host_count)]
        self.hosts = {name: SimulatedHost(name, 0, 0.0) for name in names}
        for offset, name in enumerate(names):
            self._repeat(offset * 7.0, TICK_MS, lambda name=name: self._act(self.hosts[name]))
            self._repeat(offset * 11.0, HEARTBEAT_MS, lambda name=name: self._heartbeat(name))

    @property
    def newest(self) -> ConfigVersion:
        """The version published last."""
        return max(self.published, default=NO_VERSION)

    def publish(self, valid: bool) -> None:
        """Publishes the next version; an invalid one has to be rejected by every host."""
        version = ConfigVersion(self.newest + 1 if self.published else 1)
        self.published[version] = tree_text(version) if valid else b'{"version": %d}' % version
        if valid:
            self.valid.add(version)
        self.service_changed()

    def service_changed(self) -> None:
        """Lets the waiting watches look at the service again."""
        for recheck in list(self.waiting.values()):
            recheck()

    def restart(self, name: HostId) -> None:
        """Starts a new life of a host with empty memory."""
        old = self.hosts[name]
        self.hosts[name] = SimulatedHost(name, old.life + 1, self.now_ms)
        for call in old.calls:
            self.waiting.pop(call, None)

    def heal(self) -> None:
        """Ends all faults; messages in flight stay in flight."""
        self.groups.clear()
        self.cut_off.clear()
        self.loss_percent = self.duplicate_percent = 0
        self.max_delay_ms = 5.0
        self.down = False
        self.stale_version = None
        self.service_changed()

    def run(self, duration_ms: float) -> None:
        """Moves the time and handles what falls due."""
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
        """Delivers once, several times, late or never."""

        def arrive() -> None:
            cut = SERVICE in (source, target) and {source, target} & self.cut_off
            if not cut and self.groups.get(source, 0) == self.groups.get(target, 0):
                deliver()

        copies = 2 if self.random.randrange(100) < self.duplicate_percent else 1
        for _ in range(copies):
            if self.random.randrange(100) >= self.loss_percent:
                self._after(self.random.uniform(1.0, self.max_delay_ms), arrive)

    def _heartbeat(self, name: HostId) -> None:
        host = self.hosts[name]
        life, version, reaches = host.life, host.store.version, host.propagation.reaches_service

        def deliver_to(peer: HostId) -> Event:
            return lambda: self._heard(self.hosts[peer], name, life, version, reaches)

        for peer in self.hosts:
            if peer != name:
                self._send(name, peer, deliver_to(peer))

    def _heard(
        self, host: SimulatedHost, peer: HostId, life: int, version: ConfigVersion, reaches: bool
    ) -> None:
        if life < host.lives.get(peer, 0):
            return
        host.lives[peer] = life
        host.heard[peer] = self.now_ms
        host.propagation.record_peer_version(peer, version, reaches)

    def _act(self, host: SimulatedHost) -> None:
        live = {peer for peer, at in host.heard.items() if self.now_ms - at < SUSPECT_AFTER_MS}
        host.propagation.set_live(live)
        for action in host.propagation.actions(self.now_ms, int(self.now_ms)):
            if isinstance(action, Watch):
                self._watch(host, action)
            elif isinstance(action, StopWatch):
                self._end_call(host, host.watch_call)
            elif isinstance(action, ReadService):
                self._read(host, action)
            elif isinstance(action, AskPeer):
                self._ask(host, action)
            elif isinstance(action, Check):
                self._check_text(host, action)
            elif isinstance(action, ReportDivergence):
                self.diverged.add((host.name, action.version))
            elif isinstance(action, ReportRejection) and action.rejected.version in self.valid:
                if (host.name, action.rejected.version) not in self.refusals:
                    self.broken.append(f"valid version {action.rejected.version} rejected")
            elif isinstance(action, Announce) and action.accepted is not host.store.in_force:
                self.broken.append(f"{host.name} announced what is not in force")
        self._check(host)

    def _check_text(self, host: SimulatedHost, action: Check) -> None:
        version = action.answer.version
        verdict = check_version(version, action.answer.text)
        if (host.name, version) in self.refusals:
            digest = xxhash.xxh3_64_intdigest(action.answer.text)
            verdict = Rejected(version, digest, (Problem("", "other software"),))

        def finish() -> None:
            if self.hosts[host.name] is host:
                host.propagation.check_finished(verdict)
                self._act(host)

        self._after(CHECK_MS, finish)

    def _check(self, host: SimulatedHost) -> None:
        in_force = host.store.in_force
        version = host.store.version
        if version < host.highest:
            self.broken.append(f"{host.name} went from {host.highest} back to {version}")
        host.highest = max(host.highest, version)
        if in_force is not None and version not in self.valid:
            self.broken.append(f"{host.name} runs the rejected version {version}")
        if in_force is not None and in_force.text != self.published[version]:
            self.broken.append(f"{host.name} runs other text as version {version}")

    def _start_call(self, host: SimulatedHost, timeout_ms: float, failed: Event) -> int:
        call = next(self._order)
        host.calls.add(call)
        self._after(timeout_ms, lambda: self._finish(host, call, failed))
        return call

    def _end_call(self, host: SimulatedHost, call: int | None) -> None:
        if call is not None:
            host.calls.discard(call)
            self.waiting.pop(call, None)

    def _finish(self, host: SimulatedHost, call: int, handle: Event) -> None:
        """Ends a call once, unless the host was restarted meanwhile."""
        if call in host.calls and self.hosts[host.name] is host:
            self._end_call(host, call)
            handle()
            self._act(host)

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

        def serve() -> None:
            self.reads += 1
            answer = self._service_answer()
            if answer is None:
                self._reply(SERVICE, host, call, fail)
            else:
                newer = answer if answer.version > action.after else None
                self._reply(
                    SERVICE, host, call, lambda: host.propagation.read_answered(newer, self.now_ms)
                )

        call = self._start_call(host, GET_TIMEOUT_MS, fail)
        self._send(host.name, SERVICE, serve)

    def _watch(self, host: SimulatedHost, action: Watch) -> None:
        def fail() -> None:
            host.propagation.watch_failed(self.now_ms)

        def answer_with(answer: SourceAnswer | None) -> None:
            self.waiting.pop(call, None)
            self._reply(
                SERVICE,
                host,
                call,
                lambda: host.propagation.watch_answered(action.after, answer, self.now_ms),
            )

        def recheck() -> None:
            answer = self._service_answer()
            if self.down:
                self.waiting.pop(call, None)
                self._reply(SERVICE, host, call, fail)
            elif answer is not None and answer.version > action.after:
                answer_with(answer)

        def wait_over() -> None:
            if call in self.waiting:
                answer_with(None)

        def serve() -> None:
            if call in host.calls:
                self.waiting[call] = recheck
                recheck()
                self._after(action.wait_ms, wait_over)
                self.most_waiting = max(self.most_waiting, len(self.waiting))

        call = self._start_call(host, action.wait_ms + WATCH_SLACK_MS, fail)
        host.watch_call = call
        self._send(host.name, SERVICE, serve)

    def _ask(self, host: SimulatedHost, action: AskPeer) -> None:
        def fail() -> None:
            host.propagation.peer_failed(action.peer, self.now_ms)

        def serve() -> None:
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
        self._send(host.name, action.peer, serve)
