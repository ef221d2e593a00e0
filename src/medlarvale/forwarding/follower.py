"""Follows the published configuration and backend servers, including outages of the platform."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from medlarvale.access.confirmation import ConfigConfirmation
from medlarvale.clock import Clock
from medlarvale.forwarding.background_tasks import end_tasks
from medlarvale.forwarding.errors import HistoryGoneError, PublishedStateError, WatchCutError
from medlarvale.forwarding.interface import NO_WAIT_MS, StateSource
from medlarvale.forwarding.list_gaps import ListGaps, PauseDetector
from medlarvale.forwarding.messages import (
    DEFAULT_HEARTBEAT_MS,
    RouteTable,
    Server,
    StateChanges,
    StoreEra,
    StoreRevision,
)
from medlarvale.forwarding.routes import RouteIndex
from medlarvale.forwarding.servers import ServerTable
from medlarvale.forwarding.version_history import (
    LAPSE_HEARTBEATS,
    RecentHistory,
    read_recent_history,
)
from medlarvale.ids import ConfigVersion, HostId, ServerId
from medlarvale.logs import Event, log_info, log_warning

# A watch on a dead connection must end well within 2 s, because a change must take effect by then.
WATCH_WAIT_MS = 2_000
# A watch waits for no longer than this many heartbeats: if it is cut at its end, no entry can have
# lapsed since the answer before it.
WATCH_HEARTBEATS = 2.0
# Minimum time between two watches: many servers register at once when a deployment starts.
WATCH_INTERVAL_MS = 250.0
RETRY_FIRST_MS = 50.0
RETRY_MAX_MS = 500.0
EXPIRY_PERIOD_MS = 100.0
# An answer that takes longer than its wait and this time may tell of changes long after they were
# made. So may one that arrives after a pause of the process, which is a gap of this length beyond
# the period between two ticks.
LATE_ANSWER_MS = 300.0


class StateFollower:
    """Keeps the newest configuration and the list of backend servers.

    A configuration whose version is not higher than the known one is ignored, so that a stale read
    never reverts a change.

    Attributes:
        index: routes of the newest configuration; None before the first.
        reachable: whether the last call to the source succeeded, or another host reads it for this
            one.
        watching: whether the last watch was answered when it was due; otherwise changes may be
            missing.
        revision: revision of the source up to which changes are known.
        era: era of the source to which the revision belongs.
        gaps: times of which not all changes were seen.
        confirmation: whether the configuration is known to be recent.

    Args:
        source: published state.
        servers: updated from the source.
        clock: time service.
        on_ready: called once, with the first configuration.
        heartbeat_ms: time between two heartbeats of a backend server.
        confirmation: whether the configuration is known to be recent.
    """

    def __init__(
        self,
        source: StateSource,
        servers: ServerTable,
        clock: Clock,
        on_ready: Callable[[], None],
        heartbeat_ms: float = DEFAULT_HEARTBEAT_MS,
        confirmation: ConfigConfirmation | None = None,
    ) -> None:
        self.confirmation = confirmation or ConfigConfirmation()
        self._source = source
        self._servers = servers
        self._clock = clock
        self._on_ready = on_ready
        self._task: asyncio.Task[None] | None = None
        self._lapse_ms = LAPSE_HEARTBEATS * heartbeat_ms
        self._watch_wait_ms = int(min(WATCH_WAIT_MS, WATCH_HEARTBEATS * heartbeat_ms))
        # Time of the last answer of the source, or of the last report of another host.
        self._contact_ms: float | None = None
        # Time up to which all changes are known.
        self._current_ms = -math.inf
        # Time of the first list of servers, which may come from a peer.
        self._listed_ms = math.inf
        # Time at which an answer arrived that is being applied and came in time.
        self._applied_ms: float | None = None
        self._pauses = PauseDetector(clock, EXPIRY_PERIOD_MS + LATE_ANSWER_MS)
        self._confirmation: asyncio.Task[bool] | None = None
        self._confirming_ms = -math.inf
        self.gaps = ListGaps()
        # Whether entries may be missing because their servers could not write to the source.
        self._may_have_lapsed = False
        self.reachable = True
        self.watching = True
        self.index: RouteIndex | None = None
        self.revision = StoreRevision(0)
        self.era = StoreEra(0)
        self._contact_callbacks: list[Callable[[], None]] = []
        self._accept_callbacks: list[Callable[[], None]] = []
        self._silence_callbacks: list[Callable[[], None]] = []
        servers.on_change(self._note_listed)
        self._reading = asyncio.Event()
        self._reading.set()

    @property
    def version(self) -> ConfigVersion:
        """Version of the active configuration; 0 before the first."""
        return self.index.table.version if self.index is not None else ConfigVersion(0)

    def on_contact(self, callback: Callable[[], None]) -> None:
        """Registers a callback for each answer of the source."""
        self._contact_callbacks.append(callback)

    def on_accept(self, callback: Callable[[], None]) -> None:
        """Registers a callback for each new configuration."""
        self._accept_callbacks.append(callback)

    def on_silence(self, callback: Callable[[], None]) -> None:
        """Registers a callback for each time that the source ceases to tell of changes."""
        self._silence_callbacks.append(callback)

    def on_gap(self, callback: Callable[[float, float], None]) -> None:
        """Registers a callback for the begin and end of each time that was not all seen."""
        self.gaps.on_gap(callback)

    def _note_listed(self) -> None:
        self._listed_ms = min(self._listed_ms, self._clock.now_ms())

    def _note_current(self, since_ms: float) -> None:
        """Records that changes are known from some time on, but not those before it."""
        known_ms = self._current_ms if self._current_ms > -math.inf else self._listed_ms
        if known_ms < since_ms:
            self.gaps.note(known_ms, since_ms)

    def start(self) -> None:
        """Starts following."""
        self._task = asyncio.get_running_loop().create_task(self._follow())
        self._pauses.tick()
        self._clock.every_ms(EXPIRY_PERIOD_MS, self._tick)

    def _tick(self) -> None:
        self._pauses.tick()
        self._servers.expire_missing(self._clock.now_ms())

    def age_ms(self) -> float:
        """Returns the time since which changes may be unknown; infinite before the first answer."""
        return self._clock.now_ms() - self._current_ms

    def left_after_ms(self) -> float:
        """Returns the time after which the removals that are being applied were made."""
        return self._current_ms if self._applied_ms is None else self._applied_ms

    def joined_after_ms(self, server: Server) -> float:
        """Returns the time after which a server that is new in the list has joined.

        It is seldom known exactly: an answer may be held up on its way without a sign of it.
        """
        if self._applied_ms is None or not server.born_ms:
            return self._current_ms
        born_ms = self._clock.now_ms() - self._clock.wall_ms() + server.born_ms
        return max(self._current_ms, min(self._applied_ms, born_ms))

    async def confirm(self, at_ms: float) -> bool:
        """Returns whether all changes up to some time are known, after a call if they weren't.

        Only the answer to a call that began then or later shows it: one to an earlier call may have
        been given before that time, and held up on its way.

        Args:
            at_ms: monotonic time, not in the future.
        """
        while self.confirmation.answered_ms < at_ms:
            starts = self._confirmation is None or self._confirmation.done()
            if self._confirmation is None or starts:
                self._confirming_ms = self._clock.now_ms()
                self._confirmation = asyncio.get_running_loop().create_task(self._catch_up())
            began_ms = self._confirming_ms
            await asyncio.shield(self._confirmation)
            if starts or began_ms >= at_ms:
                break
        return self.confirmation.answered_ms >= at_ms

    async def _catch_up(self) -> bool:
        if self._may_have_lapsed or self._silent_ms() >= self._lapse_ms:
            # Changes alone would remove the servers whose entries have lapsed; the list is read
            # anew soon.
            return False
        try:
            await self._watch(NO_WAIT_MS, suspended=not self._reading.is_set())
        except PublishedStateError as error:
            log_info(Event.STORE_NOT_CONFIRMED, reason=error.message)
            return False
        return True

    def is_ahead_of(self, era: StoreEra, revision: StoreRevision) -> bool:
        """Returns whether this host knows changes after a revision of an era."""
        return (self.era, self.revision) > (era, revision)

    def suspend(self, era: StoreEra, revision: StoreRevision, current_ms: float) -> None:
        """Stops reading the source, because another host reports its changes.

        Args:
            era: era of the source that the other host reads.
            revision: revision up to which the other host has reported them.
            current_ms: monotonic time up to which it has reported all changes.
        """
        if not self.is_ahead_of(era, revision):
            self._note_era(era)
            self.revision = revision
        self._contact_ms = self._clock.now_ms()
        self.watching = True
        if self._current_ms == -math.inf:
            self._note_current(current_ms)
        self._current_ms = max(self._current_ms, current_ms)
        self._reading.clear()

    def note_reader(self) -> None:
        """Records that another host reads the source for this one, whose own last call may have
        failed.
        """
        self._note_reachable(True, "")

    def resume(self) -> None:
        """Reads the source again, from the last known revision on."""
        self._reading.set()

    async def close(self) -> None:
        """Stops following."""
        if self._task is not None:
            await end_tasks([self._task])

    def _accept_published(self, table: RouteTable | None) -> None:
        if table is not None:
            self.accept(table)
        self.confirmation.note_published(table, self.index.table if self.index else None)

    def accept(self, table: RouteTable, peer: HostId | None = None) -> bool:
        """Activates a configuration if it is newer; returns whether it, or a newer one, is known.

        Args:
            table: the configuration.
            peer: the peer that has sent it; None if the source has. A peer of an earlier build does
                not tell whether there are workspaces.
        """
        previous = self.version
        first = self.index is None
        if not first and table.version <= previous:
            return True
        if peer is not None and table.workspaces is None:
            log_info(Event.PEER_TABLE_REFUSED, peer=peer, version=table.version)
            return False
        self.index = RouteIndex(table)
        log_info(Event.CONFIG_ACCEPTED, version=table.version, previous=previous, peer=peer or "")
        if first:
            self._on_ready()
        for callback in self._accept_callbacks:
            callback()
        return True

    def differs_from(self, table: RouteTable) -> bool:
        """Returns whether another configuration of the same version is active."""
        if self.index is None or table.workspaces is None:
            return False
        return self.version == table.version and self.index.table != table

    async def _follow(self) -> None:
        synchronized = False
        retry_ms = RETRY_FIRST_MS
        while True:
            if not self._reading.is_set():
                await self._reading.wait()
                # Changes alone would not show what the store lists.
                synchronized = synchronized and self.confirmation.lists(self.version)
            started_ms = self._clock.now_ms()
            try:
                if synchronized:
                    synchronized = await self._watch_on()
                if not synchronized:
                    await self._read_all()
                synchronized = True
                retry_ms = RETRY_FIRST_MS
                self._note_contact()
                if self.index is not None:
                    next_ms = started_ms + WATCH_INTERVAL_MS
                    await self._clock.sleep_ms(max(0.0, next_ms - self._clock.now_ms()))
                continue
            except HistoryGoneError:
                synchronized = False
            except PublishedStateError as error:
                self._note_reachable(False, error.message)
                # Entries that expire during an outage are registered again; a watch alone would
                # miss them.
                self._may_have_lapsed = True
                synchronized = False
            except Exception as error:  # One unusable change must not end the task.
                log_warning(Event.TASK_FAILED, task="follow the store", error=repr(error))
                synchronized = False
            await self._clock.sleep_ms(retry_ms)
            retry_ms = min(RETRY_MAX_MS, retry_ms * 2)

    async def _watch_on(self) -> bool:
        """Waits for changes, on a second connection if the first one is cut.

        Returns:
            Whether all changes since the last answer are known.
        """
        started_ms = self._clock.now_ms()
        wait_ms = self.confirmation.watch_wait_ms(self._watch_wait_ms, started_ms, self.version)
        try:
            await self._watch(wait_ms)
            return True
        except WatchCutError as error:
            reason = error.message
        if self._clock.now_ms() - started_ms > wait_ms:
            # An answer was due, and the next one may take as long.
            self._note_silence()
        silent_ms = self._silent_ms()
        if silent_ms >= self._lapse_ms:
            self._may_have_lapsed = True
            return False
        await self._watch(NO_WAIT_MS)
        log_info(Event.WATCH_RESUMED, silent_ms=int(silent_ms), reason=reason)
        return True

    async def _read_all(self) -> None:
        started_ms = self._clock.now_ms()
        published = await self._source.read()
        restored = published.era != self.era
        self._note_era(published.era)
        self._accept_published(published.table)
        after_outage = (
            restored or self._may_have_lapsed or self._silent_ms() >= self._lapse_ms
        ) and len(self._servers) > 0
        self._servers.replace_all(
            published.servers, self._clock.now_ms(), after_outage=after_outage
        )
        self._may_have_lapsed = False
        self.revision = published.revision
        self._note_current(started_ms)
        self._current_ms = started_ms
        self.confirmation.note_answer(started_ms, self.version)

    async def _watch(self, wait_ms: int, *, suspended: bool = False) -> None:
        started_ms = self._clock.now_ms()
        changes = await self._source.watch(self.revision, wait_ms)
        if changes.era != self.era:
            # The revisions have been given out again, so changes may be missing.
            raise HistoryGoneError(f"the store is in era {changes.era}, not {self.era}")
        if self._reading.is_set() is suspended:
            # The other host may have reported newer changes while this call was in progress.
            return
        now_ms = self._clock.now_ms()
        is_paused = self._pauses.has_paused_since(started_ms)
        is_late = now_ms - started_ms > wait_ms + LATE_ANSWER_MS or is_paused
        self._applied_ms = None if is_late else now_ms
        try:
            # Another call that ended first may have told of these changes.
            if changes.revision > self.revision:
                self._apply(changes)
        finally:
            self._applied_ms = None
        self._current_ms = max(self._current_ms, started_ms if is_late else now_ms)
        self.confirmation.note_answer(started_ms, self.version)

    def _apply(self, changes: StateChanges) -> None:
        for item in changes.items:
            if isinstance(item, RouteTable):
                self._accept_published(item)
            elif isinstance(item, Server):
                self._servers.upsert(item)
            else:
                self._servers.remove(ServerId(item))
        self.revision = changes.revision

    def _silent_ms(self) -> float:
        """Returns the time since the source last answered; infinite before its first answer."""
        return math.inf if self._contact_ms is None else self._clock.now_ms() - self._contact_ms

    def _note_contact(self) -> None:
        self._contact_ms = self._clock.now_ms()
        self.watching = True
        self._note_reachable(True, "")
        for callback in self._contact_callbacks:
            callback()

    async def recent_history(self) -> RecentHistory:
        """Reads the published state with the changes that the source still has.

        Raises:
            PublishedStateError: if they can't be read.
        """
        return await read_recent_history(self._source)

    def _note_era(self, era: StoreEra) -> None:
        if era != self.era and self.index is not None:
            log_warning(Event.STORE_RESTORED, era=era, before=self.era, revision=self.revision)
            self.confirmation.note_restored(self._clock.now_ms())
        self.era = era

    def _note_reachable(self, reachable: bool, reason: str) -> None:
        if reachable == self.reachable:
            return
        self.reachable = reachable
        if reachable:
            log_info(Event.STORE_REGAINED)
        else:
            log_warning(Event.STORE_LOST, reason=reason)
            self._note_silence()

    def _note_silence(self) -> None:
        self.watching = False
        for callback in self._silence_callbacks:
            callback()
