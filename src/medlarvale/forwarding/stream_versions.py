"""Decides which software version begins a stream, and finds out which one began an earlier one."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

from medlarvale.clock import Clock
from medlarvale.forwarding.cache_holders import CacheHolderFinder
from medlarvale.forwarding.errors import (
    HistoryGoneError,
    PublishedStateError,
    VersionUnknownError,
)
from medlarvale.forwarding.fleet import FleetView
from medlarvale.forwarding.fleet_messages import FLEET_MESSAGES, StreamQuestion
from medlarvale.forwarding.interface import Backends
from medlarvale.forwarding.messages import DEFAULT_HEARTBEAT_MS, ClientRequest, Server
from medlarvale.forwarding.servers import ServerTable
from medlarvale.forwarding.stream_records import StreamRecords
from medlarvale.forwarding.version_evidence import (
    MAX_LIST_AGE_MS,
    RETAIN_MS,
    Statement,
    both,
    count,
    find_version,
    is_one,
    may_be_isolated,
)
from medlarvale.forwarding.version_history import (
    ReadingTime,
    RecentHistory,
    counts_are_wrong,
    known_since_ms,
    spells,
)
from medlarvale.forwarding.version_timeline import VersionTimeline
from medlarvale.ids import (
    FailureDomain,
    HostId,
    HostIdentity,
    Incarnation,
    RequestId,
    ServerId,
    ServiceName,
    SoftwareVersion,
)
from medlarvale.logs import Event, log_info, log_warning
from medlarvale.peers.transport import MemoryNetwork, MemoryTransport, MessageCodec

# Time for which engines that have left are remembered: a failure domain may be cut off from the
# others and from the store for minutes, and goes on beginning streams by the list that it had.
REMEMBERED_ENGINES_MS = 600_000.0
# Time after which streams of a version that has left are no longer in progress.
MIXED_MS = 120_000.0
# Callers give an attempt up that a host has not read after this time.
UNREAD_MS = 1_000.0
# Delay before a caller whose stream may be known later should try again.
RETRY_AFTER_MS = 1_000
# Time between two reads of the history, if one does not reach back far enough.
HISTORY_PERIOD_MS = 1_000.0

HistoryReader = Callable[[], Awaitable[RecentHistory]]


class ServerView(Protocol):
    """How current the list of servers is; implemented by ``PublishedView``."""

    def age_ms(self) -> float:
        """Returns the age of the newest answer from which the list is known to be complete."""

    def left_after_ms(self) -> float:
        """Returns the time after which the servers that are gone from the list have left."""

    def joined_after_ms(self, server: Server) -> float:
        """Returns the time after which a server that is new in the list has joined."""

    def on_gap(self, callback: Callable[[float, float], None]) -> None:
        """Registers a callback for the begin and end of each time that was not all seen."""

    async def is_current(self, at_ms: float) -> bool:
        """Returns whether no peer may know of a server that served at some time and is unlisted."""


class CurrentView:
    """View of a host whose list changes as soon as servers do."""

    def age_ms(self) -> float:
        """Returns 0."""
        return 0.0

    def left_after_ms(self) -> float:
        """Returns infinity: the servers have left just now."""
        return math.inf

    def joined_after_ms(self, server: Server) -> float:
        """Returns infinity: the server has joined just now."""
        return math.inf

    def on_gap(self, callback: Callable[[float, float], None]) -> None:
        """Never calls back."""

    async def is_current(self, at_ms: float) -> bool:
        """Returns that the list is current."""
        return True


class StreamOrigin(msgspec.Struct, frozen=True):
    """When and by which attempt a stream was begun.

    Attributes:
        attempt: the attempt that received its first event; None if the caller doesn't name it.
        from_ms: earliest monotonic time at which its version was chosen.
        to_ms: latest such time.
    """

    attempt: RequestId | None
    from_ms: float
    to_ms: float


class StreamVersions:
    """Software versions of the streams of one host.

    Args:
        servers: published engines.
        clock: time service.
        cache_holders: finds engines that have prompts cached.
        read_history: reads the history of the published state.
        heartbeat_ms: time between two heartbeats of an engine.
        history_ms: time for which the published state keeps its history; None if unknown.
        records: the versions of streams that this host and its peers have seen begin.
        view: tells how current the list of servers is.
    """

    def __init__(
        self,
        servers: ServerTable,
        clock: Clock,
        cache_holders: CacheHolderFinder,
        read_history: HistoryReader,
        heartbeat_ms: float,
        history_ms: float | None,
        records: StreamRecords,
        view: ServerView | None = None,
    ) -> None:
        self._servers = servers
        self._clock = clock
        self._cache_holders = cache_holders
        self._read_history = read_history
        self._heartbeat_ms = heartbeat_ms
        self._history_ms = history_ms
        self._view = view or CurrentView()
        self._timeline = VersionTimeline(REMEMBERED_ENGINES_MS)
        self._records = records
        # Services of which streams of several versions may be in progress.
        self._mixed: set[ServiceName] = set()
        self._history: asyncio.Task[None] | None = None
        self._history_read_ms = -math.inf
        # Time from which this host has followed the engines itself.
        self._own_since_ms = math.inf
        self._update()
        servers.on_change(self._update)
        records.on_question(self._answer_question)
        self._view.on_gap(self._timeline.note_unseen)

    def _update(self) -> None:
        engines = self._servers.stream_engines()
        if engines or self._timeline.known_since_ms < math.inf:
            self._timeline.update(
                engines,
                self._clock.now_ms(),
                self._view.left_after_ms(),
                self._view.joined_after_ms,
            )
            self._own_since_ms = min(self._own_since_ms, self._clock.now_ms())
            self._note_mixed()

    def choose(
        self, service: ServiceName, attempt: RequestId, choice_ms: float
    ) -> SoftwareVersion | None:
        """Returns the version that begins a stream.

        The version is chosen as of a time that follows from the deadline, which all attempts of a
        request have in common. If that version no longer serves, one that does is chosen.

        Args:
            service: its service.
            attempt: id of the caller's attempt.
            choice_ms: monotonic time as of which the version is chosen.

        Returns:
            The version; None if the service has no engine.
        """
        served = self._servers.stream_versions(service)
        if len(served) <= 1:
            return next(iter(served), None)
        chosen = self._timeline.choose(service, attempt, choice_ms)
        if chosen is not None and chosen in served:
            return chosen
        present = self._timeline.choose(service, attempt, self._clock.now_ms())
        return present if present in served else min(served)

    async def find_cache_holder(
        self, service: ServiceName, request: ClientRequest, software: SoftwareVersion
    ) -> tuple[int, ServerId | None]:
        """Returns the most cached tokens of a prompt at engines of a version, and the engine."""
        if request.prompt_part is None:
            return 0, None
        now_ms = self._clock.now_ms()
        return await self._cache_holders.find(service, request.prompt_part, now_ms, software)

    def list_age_ms(self) -> float:
        """Returns the age of the newest answer from which the list of servers is complete."""
        return self._view.age_ms()

    async def note_began(self, attempt: RequestId, software: SoftwareVersion) -> None:
        """Records which version wrote the first event of a stream, before it is passed on.

        A peer has the record before, unless none answers.
        """
        self._records.note(attempt, software)
        await self._records.keep(attempt, software)

    def note_continued(self, attempt: RequestId, software: SoftwareVersion) -> None:
        """Records which version a stream goes on at, as which its caller may take it up again."""
        self._records.note(attempt, software)

    def _note_mixed(self) -> None:
        """Lets peers keep what was begun before a service got servers of another version."""
        services = {engine.service for engine in self._servers.stream_engines()} | self._mixed
        since_ms = self._clock.now_ms() - MIXED_MS
        mixed = {
            service for service in services if len(self._timeline.versions(service, since_ms)) > 1
        }
        if mixed - self._mixed:
            self._records.send_own(RETAIN_MS)
        self._mixed = mixed

    async def find(
        self, service: ServiceName, request: ClientRequest, origin: StreamOrigin
    ) -> SoftwareVersion:
        """Returns the version that began the stream that a request continues.

        Raises:
            VersionUnknownError: if more than one version may have begun it.
        """
        from_ms = origin.from_ms - UNREAD_MS
        found = await self._records.find(origin.attempt, from_ms)
        testimonies, possible = found.testimonies, None
        if not found.versions:
            isolated = may_be_isolated(testimonies)
            possible = await self._possible(service, origin.attempt, from_ms, isolated=isolated)
            if not is_one(possible):
                age_ms = self._clock.now_ms() - from_ms
                question = StreamQuestion(service, origin.attempt, age_ms)
                for computed in await self._records.ask_possible(question, testimonies):
                    possible = both(possible, computed)
        finding = find_version(testimonies, possible)
        if finding.named_by is not None:
            log_info(
                Event.STREAM_VERSION_KNOWN,
                request=request.request_id,
                began_as=origin.attempt,
                software=finding.software,
                peer=finding.named_by.host,
            )
        else:
            log_info(
                Event.STREAM_VERSION_SOUGHT,
                request=request.request_id,
                began_as=origin.attempt,
                possible=sorted(finding.possible) if finding.possible is not None else None,
                software=finding.software,
                silent=count(testimonies, Statement.SILENT),
                cannot_tell=count(testimonies, Statement.CANNOT_TELL),
                denies=count(testimonies, Statement.DENIES),
                age_ms=int(self._clock.now_ms() - origin.to_ms),
                from_age_ms=whole_ms(self._clock.now_ms() - origin.from_ms),
                list_age_ms=whole_ms(self.list_age_ms()),
            )
        if finding.software is None:
            raise VersionUnknownError(
                "more than one version may have begun the stream",
                retry_after_ms=RETRY_AFTER_MS if finding.may_be_known_later else None,
            )
        return finding.software

    async def _possible(
        self, service: ServiceName, attempt: RequestId | None, from_ms: float, *, isolated: bool
    ) -> set[SoftwareVersion] | None:
        """Returns the versions that may have begun a stream; None if the engines are not known.

        Args:
            service: its service.
            attempt: the attempt that began it; None if it is not known.
            from_ms: earliest time at which its version was chosen.
            isolated: whether the host that began it may have had a list of any age.
        """
        since_ms, known_ms = from_ms, from_ms - MAX_LIST_AGE_MS
        if isolated:
            if self._records.remembers(from_ms):
                since_ms = self._records.in_touch_ms(from_ms)
                known_ms = since_ms - MAX_LIST_AGE_MS
            if math.isinf(since_ms) or not self._records.remembers(from_ms):
                since_ms, known_ms = -math.inf, from_ms - RETAIN_MS
        known_from_ms = await self._known_from_ms(known_ms)
        if known_ms < known_from_ms:
            return None
        now_ms = self._clock.now_ms()
        remembered_ms = max(known_from_ms + MAX_LIST_AGE_MS, now_ms - REMEMBERED_ENGINES_MS)
        # The host that began it may have chosen the version by each list since then.
        return self._timeline.possible(
            service, attempt, max(since_ms, min(from_ms, remembered_ms)), now_ms, MAX_LIST_AGE_MS
        )

    async def _answer_question(self, question: StreamQuestion) -> set[SoftwareVersion] | None:
        """Returns for a peer which versions may have begun a stream, if this host remembers."""
        from_ms = self._clock.now_ms() - question.age_ms
        if not self._records.remembers(from_ms):
            return None
        return await self._possible(question.service, question.attempt, from_ms, isolated=True)

    async def _known_from_ms(self, from_ms: float) -> float:
        """Returns the time from which all engines are known until now; infinite if none is.

        Args:
            from_ms: time from which they are wanted.
        """
        if not await self._view.is_current(self._clock.now_ms()):
            return math.inf
        if from_ms < self._own_since_ms:
            await self._extend(from_ms)
        return self._timeline.known_since_ms

    async def _extend(self, from_ms: float) -> None:
        """Reads the history of the published state if more of it is needed."""
        now_ms = self._clock.now_ms()
        if self._history is None or self._history.done():
            recently = now_ms - self._history_read_ms < HISTORY_PERIOD_MS
            if recently or from_ms >= self._timeline.known_since_ms:
                return
            self._history_read_ms = now_ms
            self._history = asyncio.get_running_loop().create_task(self._read())
        await asyncio.shield(self._history)

    async def _read(self) -> None:
        try:
            self._add(await self._read_history())
        except PublishedStateError as error:
            log_warning(Event.SERVER_HISTORY_FAILED, error=error.message)
        except Exception as error:  # The caches may still tell the version.
            log_warning(Event.TASK_FAILED, task="read the store's history", error=repr(error))

    def _add(self, history: RecentHistory) -> None:
        """Adds to the timeline what a history tells about the time before this host started."""
        now_ms = self._clock.now_ms()
        read = ReadingTime(now_ms, self._clock.wall_ms(), self._heartbeat_ms, self._history_ms)
        since_ms = known_since_ms(history, read)
        self._timeline.extend(spells(history, read), since_ms)
        log_info(
            Event.SERVER_HISTORY_READ,
            changes=len(history.changes.items),
            floor=history.floor,
            known_ms=int(now_ms - since_ms) if math.isfinite(since_ms) else str(since_ms),
            counts_are_wrong=counts_are_wrong(history, read),
        )


def whole_ms(time_ms: float) -> int | None:
    """Returns a time for the log in whole ms; None if it is not finite."""
    return int(time_ms) if math.isfinite(time_ms) else None


def versions_without_history(
    backends: Backends, servers: ServerTable, clock: Clock
) -> StreamVersions:
    """Returns the versions of a host that has no store whose history it could read."""

    async def read_history() -> RecentHistory:
        raise HistoryGoneError("there is no store")

    cache_holders = CacheHolderFinder(backends, servers)
    records = records_without_peers(clock)
    return StreamVersions(
        servers, clock, cache_holders, read_history, DEFAULT_HEARTBEAT_MS, None, records
    )


def records_without_peers(clock: Clock) -> StreamRecords:
    """Returns the records of a host that has no peers."""
    nobody = FleetView(HostIdentity(HostId(""), Incarnation(0)), "", [])
    transport = MemoryTransport(nobody.identity, MemoryNetwork(MessageCodec(FLEET_MESSAGES)))
    return StreamRecords(FailureDomain(""), nobody, transport, clock)
