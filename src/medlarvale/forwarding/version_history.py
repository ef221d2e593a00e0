"""Works out from the published state and its history which engines served before a host started.

The store doesn't date its changes. The first entry of a server was written at its start or, while
the store was slow or down, some heartbeats later. A later entry was written about as many
heartbeats after the start as it counts, and those that the server missed. Each change, and so each
removal, lies between those before and after it.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterator, Sequence

import msgspec

from medlarvale.forwarding.errors import HistoryGoneError, PublishedStateError
from medlarvale.forwarding.interface import NO_WAIT_MS, StateSource
from medlarvale.forwarding.messages import (
    EngineStage,
    PublishedState,
    RouteTable,
    Server,
    ServerState,
    StateChanges,
    StoreRevision,
)
from medlarvale.forwarding.servers import can_begin_streams
from medlarvale.forwarding.version_timeline import Spell, engine_key, unknown_engine
from medlarvale.ids import ServerId

# Share of the time since the start of a server by which its heartbeats may be early or late.
HEARTBEAT_DRIFT = 0.1
# The entry of a server lapses after this many silent heartbeats, so one that is kept may have
# missed almost as many, and its next entry, or its first, may be late by that.
LAPSE_HEARTBEATS = 3.0


class RecentHistory(msgspec.Struct, frozen=True):
    """The published state with the changes that led to it.

    Attributes:
        state: the state.
        changes: all changes after ``floor``.
        floor: revision up to which the store no longer has the changes.
    """

    state: PublishedState
    changes: StateChanges
    floor: StoreRevision


async def read_recent_history(source: StateSource) -> RecentHistory:
    """Reads the published state with the changes that the source still has.

    Raises:
        PublishedStateError: if they can't be read.
    """
    state = await source.read()
    changes = StateChanges((), state.revision, state.era)
    available, gone, step = int(state.revision), -1, 1
    while available - gone > 1:
        # Goes back in growing steps, and then halves the gap to what is no longer available.
        after = max(available - step, 0) if gone < 0 else (available + gone) // 2
        try:
            changes = await source.watch(StoreRevision(after), NO_WAIT_MS)
        except HistoryGoneError:
            gone = after
            continue
        if changes.era != state.era:
            raise PublishedStateError("the store came back from a copy while it was read")
        available, step = after, step * 2
    return RecentHistory(state, changes, StoreRevision(available))


class ReadingTime(msgspec.Struct, frozen=True):
    """When a history was read, and what its dates depend on.

    Attributes:
        now_ms: monotonic time.
        wall_ms: wall-clock time in ms since the Unix epoch.
        heartbeat_ms: time between two heartbeats of a server.
        history_ms: time for which the store keeps its history unless it drops it early; None if
            unknown.
    """

    now_ms: float
    wall_ms: float
    heartbeat_ms: float
    history_ms: float | None

    def written_ms(self, server: Server) -> tuple[float, float]:
        """Returns the earliest and latest monotonic time at which a server wrote an entry."""
        if not server.born_ms:
            return -math.inf, self.now_ms
        started_ms = min(self.now_ms, self.now_ms - (self.wall_ms - server.born_ms))
        late_ms = LAPSE_HEARTBEATS * self.heartbeat_ms
        if server.heartbeats <= 1:
            return started_ms, min(self.now_ms, started_ms + late_ms)
        age_ms = (server.heartbeats - 1) * self.heartbeat_ms
        drift_ms = HEARTBEAT_DRIFT * age_ms + self.heartbeat_ms
        earliest_ms = min(self.now_ms, max(started_ms, started_ms + age_ms - drift_ms))
        return earliest_ms, min(self.now_ms, started_ms + age_ms + drift_ms + late_ms)


def known_since_ms(history: RecentHistory, read: ReadingTime) -> float:
    """Returns the monotonic time from which a history is complete; infinite if it isn't known.

    If the store has dropped a change that is younger than its history should be, it has dropped it
    early, and so perhaps others that were made later.
    """
    if counts_are_wrong(history, read):
        return math.inf
    if not history.floor:
        return -math.inf
    dropped = {
        history.state.server_revisions[server.server]: read.written_ms(server)
        for server in history.state.servers
        if history.state.server_revisions.get(server.server, math.inf) <= history.floor
    }
    oldest_ms = math.inf if read.history_ms is None else read.now_ms - read.history_ms
    last = max(dropped, default=None)
    # A change was dropped early only if even its earliest date is younger than the history.
    newest_ms = max((earliest_ms for earliest_ms, _ in dropped.values()), default=-math.inf)
    if newest_ms <= oldest_ms + read.heartbeat_ms and oldest_ms < math.inf:
        return oldest_ms
    if last is None:
        return math.inf
    last_ms = dropped[last][1]
    known = set(dropped) | history.state.other_revisions
    later = range(last + 1, history.floor + 1)
    return last_ms if all(StoreRevision(revision) in known for revision in later) else math.inf


def counts_are_wrong(history: RecentHistory, read: ReadingTime) -> bool:
    """Returns whether the order of changes contradicts the counted heartbeats of most entries.

    The heartbeats then take longer than assumed, so other dates by them, which nothing contradicts,
    may be too early. One engine with a wrong start may cause that too, among few others.
    """
    changes = history.changes.items
    counted = [
        latest_ms < floor_ms
        for change, (_, latest_ms), floor_ms in zip(
            changes, _own_dates(changes, read), _floors(changes, read), strict=True
        )
        if isinstance(change, Server) and change.heartbeats > 1
    ]
    return 2 * sum(counted) >= max(1, len(counted))


def spells(history: RecentHistory, read: ReadingTime) -> Iterator[Spell]:
    """Yields the times during which engines could begin streams."""
    changed = {
        change if isinstance(change, str) else change.server
        for change in history.changes.items
        if not isinstance(change, RouteTable)
    }
    open_spells: dict[ServerId, Spell] = {}
    for entry in history.state.servers:
        if entry.server not in changed and can_begin_streams(entry):
            earliest_ms, latest_ms = read.written_ms(entry)
            open_spells[entry.server] = Spell(engine_key(entry), latest_ms)
            if earliest_ms < latest_ms:
                yield Spell(engine_key(entry), earliest_ms, latest_ms, certain=False)
    seen: set[ServerId] = set()
    for change, (earliest_ms, latest_ms) in zip(
        history.changes.items, _dates(history.changes.items, read), strict=True
    ):
        if isinstance(change, RouteTable):
            continue
        server = change.server if isinstance(change, Server) else change
        spell = open_spells.pop(server, None)
        if spell is not None:
            spell.until_ms = earliest_ms
            yield spell
        if isinstance(change, Server):
            engine = engine_key(change)
            before: list[Spell] = []
            if server not in seen and change.heartbeats != 1:
                before = _before_first_change(change, read, earliest_ms)
                yield from before
            if can_begin_streams(change):
                open_spells[server] = Spell(engine, latest_ms)
            elif spell is None and not before:
                earliest_ms = latest_ms
        elif server not in seen:
            engine = unknown_engine(server)
            yield Spell(engine, -math.inf, earliest_ms, certain=False)
        elif spell is not None:
            engine = spell.engine
        else:
            continue
        if earliest_ms < latest_ms:
            yield Spell(engine, earliest_ms, latest_ms, certain=False)
        seen.add(server)
    yield from open_spells.values()


def _dates(
    changes: Sequence[RouteTable | Server | ServerId], read: ReadingTime
) -> list[tuple[float, float]]:
    """Returns the earliest and latest time of each change, which are in order."""
    dates = [
        # If a date contradicts one before it, either may be wrong.
        (
            (max(earliest_ms, floor_ms), latest_ms)
            if latest_ms >= floor_ms
            else (earliest_ms, read.now_ms)
        )
        for (earliest_ms, latest_ms), floor_ms in zip(
            _own_dates(changes, read), _floors(changes, read), strict=True
        )
    ]
    ceilings = list(itertools.accumulate((latest_ms for _, latest_ms in reversed(dates)), min))
    return [
        (min(earliest_ms, ceiling_ms), max(earliest_ms, ceiling_ms))
        for (earliest_ms, _), ceiling_ms in zip(dates, reversed(ceilings), strict=True)
    ]


def _own_dates(
    changes: Sequence[RouteTable | Server | ServerId], read: ReadingTime
) -> list[tuple[float, float]]:
    """Returns the earliest and latest time of each change by what it says itself."""
    return [
        read.written_ms(change) if isinstance(change, Server) else (-math.inf, read.now_ms)
        for change in changes
    ]


def _floors(changes: Sequence[RouteTable | Server | ServerId], read: ReadingTime) -> list[float]:
    """Returns the earliest time of each change by what it and those before it say."""
    earliest = (earliest_ms for earliest_ms, _ in _own_dates(changes, read))
    return list(itertools.accumulate(earliest, max))


def _before_first_change(server: Server, read: ReadingTime, until_ms: float) -> list[Spell]:
    """Returns the time before the first known change of a server in which it may have served."""
    engine = engine_key(server)
    first_ms, registered_ms = -math.inf, math.inf
    if server.born_ms:
        first_ms, registered_ms = read.written_ms(msgspec.structs.replace(server, heartbeats=1))
    if server.state is not ServerState.DRAINING or registered_ms >= until_ms:
        # The stage before a change, or whether it was registered, is not known.
        return [Spell(engine, first_ms, until_ms, certain=False)]
    if server.stage is not EngineStage.PREFILL:
        return [
            Spell(engine, first_ms, registered_ms, certain=False),
            Spell(engine, registered_ms, until_ms),
        ]
    return []
