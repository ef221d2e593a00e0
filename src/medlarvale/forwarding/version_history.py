"""Works out from the published state and its history which engines served before a host started.

The store doesn't date its changes. The entry of a server tells when it was written: its start plus
the heartbeats since then. A removal lies between the dated changes around it.
"""

from __future__ import annotations

import math
from collections.abc import Iterator

import msgspec

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

# Heartbeats by which a change may have been made before or after its date: servers send them about,
# not exactly, in time.
EARLIER_HEARTBEATS = 1.0
LATER_HEARTBEATS = 0.25


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

    def written_ms(self, server: Server) -> float | None:
        """Returns the monotonic time at which a server wrote an entry; None if unknown."""
        if not server.born_ms:
            return None
        heartbeats = max(0, server.heartbeats - 1)
        age_ms = self.wall_ms - (server.born_ms + heartbeats * self.heartbeat_ms)
        return self.now_ms - max(0.0, age_ms)


def known_since_ms(history: RecentHistory, read: ReadingTime) -> float:
    """Returns the monotonic time from which a history is complete.

    If the store has dropped a change that is younger than its history should be, it has dropped it
    early, and so perhaps others that were made later.
    """
    if not history.floor:
        return -math.inf
    dropped = {
        history.state.server_revisions[server.server]: read.written_ms(server)
        for server in history.state.servers
        if history.state.server_revisions.get(server.server, math.inf) <= history.floor
    }
    oldest_ms = math.inf if read.history_ms is None else read.now_ms - read.history_ms
    last = max(dropped, default=None)
    last_ms = dropped[last] if last is not None else None
    newest_ms = max((date for date in dropped.values() if date is not None), default=-math.inf)
    if newest_ms <= oldest_ms + read.heartbeat_ms and oldest_ms < math.inf:
        return oldest_ms
    if last is None or last_ms is None:
        return math.inf
    known = set(dropped) | history.state.other_revisions
    later = range(last + 1, history.floor + 1)
    return last_ms if all(StoreRevision(revision) in known for revision in later) else math.inf


def spells(history: RecentHistory, read: ReadingTime) -> Iterator[Spell]:
    """Yields the times during which engines could begin streams."""
    changed = {
        change if isinstance(change, str) else change.server
        for change in history.changes.items
        if not isinstance(change, RouteTable)
    }
    open_spells = {
        server.server: Spell(engine_key(server), _date(server, read, -math.inf))
        for server in history.state.servers
        if server.server not in changed and can_begin_streams(server)
    }
    seen: set[ServerId] = set()
    last_ms = -math.inf
    for number, change in enumerate(history.changes.items):
        if isinstance(change, RouteTable):
            continue
        if isinstance(change, Server):
            last_ms = max(last_ms, _date(change, read, last_ms))
            # The start of a server is known exactly, a later change less so.
            first = change.born_ms != 0 and change.heartbeats <= 1
            earliest_ms = last_ms - (0.0 if first else EARLIER_HEARTBEATS * read.heartbeat_ms)
            latest_ms = last_ms + (0.0 if first else LATER_HEARTBEATS * read.heartbeat_ms)
            if change.server not in seen and not first:
                yield from _before_first_change(change, read, earliest_ms)
            yield from _end(open_spells, change.server, earliest_ms)
            if earliest_ms < latest_ms:
                yield Spell(engine_key(change), earliest_ms, latest_ms, certain=False)
            if can_begin_streams(change):
                open_spells[change.server] = Spell(engine_key(change), latest_ms)
            seen.add(change.server)
            continue
        until_ms = _next_date(history, number, read)
        if change not in seen:
            yield Spell(unknown_engine(change), -math.inf, until_ms, certain=False)
        spell = open_spells.get(change)
        if spell is not None:
            yield Spell(spell.engine, last_ms, until_ms, certain=False)
        yield from _end(open_spells, change, last_ms)
    yield from open_spells.values()


def _before_first_change(server: Server, read: ReadingTime, at_ms: float) -> Iterator[Spell]:
    """Yields the time before the first known change of a server in which it may have served."""
    started_ms = -math.inf
    if server.born_ms:
        started_ms = read.now_ms - (read.wall_ms - server.born_ms)
    if server.state is ServerState.DRAINING:
        if server.stage is not EngineStage.PREFILL:
            yield Spell(engine_key(server), started_ms, at_ms)
    else:
        # The stage before a change is not known.
        yield Spell(engine_key(server), started_ms, at_ms, certain=False)


def _date(server: Server, read: ReadingTime, default_ms: float) -> float:
    written_ms = read.written_ms(server)
    return written_ms if written_ms is not None else default_ms


def _next_date(history: RecentHistory, number: int, read: ReadingTime) -> float:
    """Returns the date of the first dated change after a change."""
    for change in history.changes.items[number + 1 :]:
        written_ms = read.written_ms(change) if isinstance(change, Server) else None
        if written_ms is not None:
            return written_ms
    return read.now_ms


def _end(open_spells: dict[ServerId, Spell], server: ServerId, at_ms: float) -> Iterator[Spell]:
    spell = open_spells.pop(server, None)
    if spell is not None:
        spell.until_ms = at_ms
        yield spell
