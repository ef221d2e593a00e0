"""Background task that keeps the settings of a running host up to date."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from functools import singledispatchmethod
from typing import Any

import msgspec

from medlarvale.clock import Clock, Subscription
from medlarvale.ids import ConfigVersion, HostId, HostIdentity
from medlarvale.logs import Event, log_info, log_warning
from medlarvale.peers.errors import PeerError
from medlarvale.peers.transport import Transport
from medlarvale.settings.errors import SourceBusyError, SourceError
from medlarvale.settings.messages import TreeAnswer, TreeRequest
from medlarvale.settings.propagation import (
    Action,
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
from medlarvale.settings.source import SettingsSource, SourceAnswer
from medlarvale.settings.store import (
    NO_VERSION,
    Accepted,
    Rejected,
    SettingsStore,
    check_version,
)

TICK_MS = 100

Subscriber = Callable[[Accepted], None]
RunCheck = Callable[[SourceAnswer], Awaitable[Accepted | Rejected]]


async def check_in_thread(answer: SourceAnswer) -> Accepted | Rejected:
    """Checks a version in a thread; a tree of 0.9 MB would block the event loop for over 73 ms."""
    return await asyncio.to_thread(check_version, answer.version, answer.text)


class SettingsTask:
    """Keeps the newest settings in force and notifies subscribers of each accepted version.

    Args:
        host: this host.
        transport: messages to and from peers.
        clock: time service.
        source: file or configuration service.
        default: text of the tree used if neither a peer nor the source responds; with None, the
            host serves nothing until one of them does.
        run_check: function that checks the text of a version.
    """

    def __init__(
        self,
        host: HostId,
        transport: Transport,
        clock: Clock,
        source: SettingsSource,
        default: bytes | None = None,
        run_check: RunCheck = check_in_thread,
    ) -> None:
        self._transport = transport
        self._clock = clock
        self._source = source
        self._run_check = run_check
        self._store = SettingsStore()
        self._propagation = VersionPropagation(host, self._store, clock.now_ms(), default)
        self._subscribers: list[Subscriber] = []
        self._running_tasks: set[asyncio.Task[None]] = set()
        self._watch: asyncio.Task[None] | None = None
        self._tick_subscription: Subscription | None = None
        self._source_failed = False
        transport.register(TreeRequest, self._answer_request)

    @property
    def in_force(self) -> Accepted | None:
        """The version in force; None until the first one is accepted."""
        return self._store.in_force

    @property
    def version(self) -> ConfigVersion:
        """The version reported in this host's heartbeats; ``NO_VERSION`` while none is in force."""
        return self._store.version

    @property
    def reaches_service(self) -> bool:
        """Whether the source responded to the last call; reported in this host's heartbeats."""
        return self._propagation.reaches_service

    @property
    def diverged(self) -> dict[HostId, ConfigVersion]:
        """The live peers that run a version which this host rejected."""
        return self._propagation.diverged()

    @property
    def rejections(self) -> list[Rejected]:
        """The latest rejected versions with their errors, oldest first."""
        return self._store.rejections

    def start(self) -> None:
        """Starts to follow new versions."""
        self._tick_subscription = self._clock.every_ms(TICK_MS, self._run_due_actions)
        self._run_due_actions()

    async def close(self) -> None:
        """Cancels all calls in flight."""
        if self._tick_subscription is not None:
            self._tick_subscription.cancel()
        running = list(self._running_tasks)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def subscribe(self, subscriber: Subscriber) -> None:
        """Adds a callback for accepted versions and calls it at once if a version is in force."""
        self._subscribers.append(subscriber)
        if self._store.in_force is not None:
            subscriber(self._store.in_force)

    def set_live_hosts(self, hosts: Iterable[HostId]) -> None:
        """Replaces the live hosts of this host's cell."""
        self._propagation.set_live_hosts(hosts)

    def record_peer_version(
        self, host: HostId, version: ConfigVersion, reaches_service: bool = True
    ) -> None:
        """Records the version in a peer's heartbeat and whether the peer reaches the service."""
        self._propagation.record_peer_version(host, version, reaches_service)

    async def _answer_request(self, sender: HostIdentity, request: TreeRequest) -> TreeAnswer:
        in_force = self._store.in_force
        if in_force is None or in_force.version <= request.newer_than:
            return TreeAnswer(self._store.version)
        return TreeAnswer(in_force.version, in_force.text)

    def _run_due_actions(self) -> None:
        for action in self._propagation.actions(self._clock.now_ms(), self._clock.wall_ms()):
            self._run_action(action)

    @singledispatchmethod
    def _run_action(self, action: Action) -> None:
        raise TypeError(f"unsupported action {type(action).__name__}")

    @_run_action.register
    def _(self, action: Watch) -> None:
        self._watch = self._spawn(self._watch_source(action))

    @_run_action.register
    def _(self, action: CancelWatch) -> None:
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

    @_run_action.register
    def _(self, action: ReadService) -> None:
        self._spawn(self._read_source(action))

    @_run_action.register
    def _(self, action: QueryPeer) -> None:
        self._spawn(self._query_peer(action))

    @_run_action.register
    def _(self, action: Check) -> None:
        self._spawn(self._check(action))

    @_run_action.register
    def _(self, action: ReportDivergence) -> None:
        log_warning(Event.CONFIG_DIVERGED, version=action.version, peers=action.peers)

    @_run_action.register
    def _(self, action: NotifySubscribers) -> None:
        log_info(Event.CONFIG_ACCEPTED, version=action.accepted.version)
        for subscriber in list(self._subscribers):
            try:
                subscriber(action.accepted)
            except Exception as error:
                # A failing subscriber must not prevent the others from being notified.
                log_warning(Event.CONFIG_SUBSCRIBER_FAILED, error=repr(error))

    @_run_action.register
    def _(self, action: ReportRejection) -> None:
        problems = [str(problem) for problem in action.rejected.problems]
        log_warning(Event.CONFIG_REJECTED, version=action.rejected.version, problems=problems)

    async def _watch_source(self, action: Watch) -> None:
        try:
            answer = await self._source.watch(action.after, action.wait_ms)
        except SourceError as error:
            self._record_source_result(error)
            reached = isinstance(error, SourceBusyError)
            self._propagation.watch_failed(self._clock.now_ms(), reached)
        else:
            self._record_source_result(None)
            self._propagation.watch_answered(action.after, answer, self._clock.now_ms())
        self._run_due_actions()

    async def _check(self, action: Check) -> None:
        self._propagation.check_finished(await self._run_check(action.answer))
        self._run_due_actions()

    async def _read_source(self, action: ReadService) -> None:
        answer: SourceAnswer | None
        try:
            if action.after == NO_VERSION:
                answer = await self._source.get()
            else:
                # A watch without wait time returns no tree if there is no newer version.
                answer = await self._source.watch(action.after, 0)
        except SourceError as error:
            self._record_source_result(error)
            reached = isinstance(error, SourceBusyError)
            self._propagation.read_failed(self._clock.now_ms(), reached)
        else:
            self._record_source_result(None)
            self._propagation.read_answered(answer, self._clock.now_ms())
        self._run_due_actions()

    async def _query_peer(self, action: QueryPeer) -> None:
        request = TreeRequest(action.newer_than)
        try:
            reply = await self._transport.request(action.peer, request, action.timeout_ms)
        except (PeerError, msgspec.MsgspecError):
            self._propagation.peer_failed(action.peer, self._clock.now_ms())
        else:
            answer = None
            if isinstance(reply, TreeAnswer) and reply.text:
                answer = SourceAnswer(reply.version, reply.text)
            self._propagation.peer_answered(action.peer, answer, self._clock.now_ms())
        self._run_due_actions()

    def _record_source_result(self, error: SourceError | None) -> None:
        """Logs the first of consecutive failures, so that a long outage does not fill the log."""
        if error is not None and not self._source_failed:
            log_warning(Event.CONFIG_SOURCE_FAILED, code=error.code, error=error.message)
        self._source_failed = error is not None

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._running_tasks.add(task)
        task.add_done_callback(self._running_tasks.discard)
        return task
