"""Which software version begins a stream, and which could have begun an earlier one, without I/O.

While engines of several versions serve a service, the version of a new stream follows from the id
of the attempt by rendezvous hashing over the engines. A host that knows which engines served at
that time can compute the version again. This is the last resort, if no host remembers the stream:
the host that began it may have known other engines.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

import msgspec

from medlarvale.forwarding.messages import Server
from medlarvale.hashing import weight
from medlarvale.ids import RequestId, ServerId, ServiceName, SoftwareVersion


class EngineKey(msgspec.Struct, frozen=True):
    """One incarnation of an engine; its software never changes."""

    server: ServerId
    born_ms: int
    service: ServiceName
    software: SoftwareVersion


class Spell(msgspec.Struct):
    """A time during which an engine could begin streams, in monotonic ms.

    Attributes:
        certain: whether it served all the time; otherwise it left at some time of the spell.
    """

    engine: EngineKey
    since_ms: float
    until_ms: float = math.inf
    certain: bool = True


# Version of an engine of which only the id is known.
UNKNOWN_VERSION = SoftwareVersion("?")
ANY_SERVICE = ServiceName("")


# Stands for any engines that may have joined and left unseen.
UNSEEN = ServerId("")


def unknown_engine(server: ServerId) -> EngineKey:
    """Returns the key of an engine of which only the id is known."""
    return EngineKey(server, 0, ANY_SERVICE, UNKNOWN_VERSION)


def engine_key(server: Server) -> EngineKey:
    """Returns the key of the incarnation that a server entry describes."""
    return EngineKey(server.server, server.born_ms, server.service, server.software)


class VersionTimeline:
    """The engines that could begin streams, now and in the recent past.

    Attributes:
        known_since_ms: time from which all engines are known; infinite before the first update.

    Args:
        retain_ms: time for which engines that have left are remembered.
    """

    def __init__(self, retain_ms: float) -> None:
        self._retain_ms = retain_ms
        self._open: dict[EngineKey, Spell] = {}
        self._closed: list[Spell] = []
        self.known_since_ms = self._observed_since_ms = math.inf

    def update(
        self,
        engines: Iterable[Server],
        now_ms: float,
        left_after_ms: float = math.inf,
        joined_after_ms: Callable[[Server], float] | None = None,
    ) -> None:
        """Records the engines that can begin streams from now on.

        Args:
            engines: the engines.
            now_ms: monotonic time.
            left_after_ms: time after which the engines that are gone have left; by default now.
            joined_after_ms: returns the time after which a new engine has joined; by default
                ``left_after_ms``.
        """
        first = self.known_since_ms == math.inf
        self.known_since_ms = min(self.known_since_ms, now_ms)
        self._observed_since_ms = min(self._observed_since_ms, now_ms)
        present = {engine_key(engine): engine for engine in engines}
        for key in [known for known in self._open if known not in present]:
            spell = self._open.pop(key)
            spell.until_ms = max(spell.since_ms, min(left_after_ms, now_ms))
            self._closed.append(spell)
            self._note_uncertain(key, spell.until_ms, now_ms)
        for key in present.keys() - self._open.keys():
            self._open[key] = Spell(key, now_ms)
            after_ms = joined_after_ms(present[key]) if joined_after_ms else left_after_ms
            if not first:
                self._note_uncertain(key, max(after_ms, self.known_since_ms), now_ms)
        horizon_ms = now_ms - self._retain_ms
        dropped_ms = [spell.until_ms for spell in self._closed if spell.until_ms < horizon_ms]
        self._closed = [spell for spell in self._closed if spell.until_ms >= horizon_ms]
        self.known_since_ms = max(self.known_since_ms, *dropped_ms, -math.inf)

    def note_unseen(self, since_ms: float, until_ms: float) -> None:
        """Records a time in which engines may have joined and left unseen."""
        self._note_uncertain(unknown_engine(UNSEEN), max(since_ms, self.known_since_ms), until_ms)

    def _note_uncertain(self, engine: EngineKey, since_ms: float, until_ms: float) -> None:
        if since_ms < until_ms:
            self._closed.append(Spell(engine, since_ms, until_ms, certain=False))

    def extend(self, spells: Iterable[Spell], known_since_ms: float) -> None:
        """Adds what was read about the time before the first update.

        Args:
            spells: the engines of that time.
            known_since_ms: time from which the spells are complete.
        """
        if known_since_ms >= self.known_since_ms:
            return
        observed_since_ms = self.known_since_ms
        for earlier in spells:
            known = self._open.get(earlier.engine)
            if known is not None and earlier.until_ms == math.inf:
                known.since_ms = min(known.since_ms, earlier.since_ms)
            elif earlier.since_ms < observed_since_ms:
                earlier.until_ms = min(earlier.until_ms, observed_since_ms)
                self._closed.append(earlier)
        self.known_since_ms = known_since_ms

    def versions(self, service: ServiceName, since_ms: float) -> set[SoftwareVersion]:
        """Returns the versions that serve, or have served since some time."""
        return {
            spell.engine.software for spell in self._spells(service) if spell.until_ms >= since_ms
        }

    def choose(
        self, service: ServiceName, attempt: RequestId, at_ms: float
    ) -> SoftwareVersion | None:
        """Returns the version that begins the stream of an attempt; None without engines.

        Args:
            service: its service.
            attempt: the attempt.
            at_ms: time as of which it is chosen; at the earliest the first update, since others
                may date what was read of the time before differently.
        """
        at_ms = max(at_ms, self._observed_since_ms)
        serving = [
            spell.engine
            for spell in self._spells(service)
            if spell.since_ms <= at_ms < spell.until_ms
        ]
        first = max(serving, key=lambda engine: weight(attempt, engine.server), default=None)
        return first.software if first is not None else None

    def possible(
        self,
        service: ServiceName,
        attempt: RequestId | None,
        from_ms: float,
        to_ms: float,
        lag_ms: float = 0.0,
    ) -> set[SoftwareVersion] | None:
        """Returns the versions that a host may have chosen at some time of a span.

        At each time, the list of a host has all engines that have served since ``lag_ms`` before,
        and may have those that have served at some time since then.

        Args:
            service: the service.
            attempt: the attempt that began the stream; None if it is unknown.
            from_ms: begin of the span.
            to_ms: end of the span.
            lag_ms: age of the oldest list.

        Returns:
            The versions, with ``UNKNOWN_VERSION`` for engines of which only the id is known; None
            if the engines of the whole span are not known.
        """
        if from_ms - lag_ms < self.known_since_ms:
            return None
        listed = [
            spell
            for spell in (*self._spells(service), *self._spells(ANY_SERVICE))
            if spell.since_ms <= to_ms and spell.until_ms > from_ms - lag_ms
        ]
        if attempt is None:
            return {spell.engine.software for spell in listed}
        listed.sort(key=lambda spell: _rank(attempt, spell.engine), reverse=True)
        versions = set()
        # Times at which no engine with a larger weight is in every list.
        open_spans = [(from_ms, to_ms)]
        for spell in listed:
            until_ms = spell.until_ms + lag_ms
            if any(spell.since_ms <= end and until_ms > begin for begin, end in open_spans):
                versions.add(spell.engine.software)
            if spell.certain:
                open_spans = _without(open_spans, spell.since_ms + lag_ms, spell.until_ms)
            if not open_spans:
                break
        return versions

    def _spells(self, service: ServiceName) -> Iterable[Spell]:
        for spell in (*self._open.values(), *self._closed):
            if spell.engine.service == service:
                yield spell


def _rank(attempt: RequestId, engine: EngineKey) -> float:
    """Returns the weight of an engine; that of engines that nobody has seen may be any."""
    return math.inf if engine.server == UNSEEN else weight(attempt, engine.server)


def _without(
    spans: Iterable[tuple[float, float]], since_ms: float, until_ms: float
) -> list[tuple[float, float]]:
    """Returns what is left of some spans, which include their ends, beside another time."""
    left = []
    for begin_ms, end_ms in spans:
        if until_ms <= since_ms or until_ms <= begin_ms or since_ms > end_ms:
            left.append((begin_ms, end_ms))
            continue
        if begin_ms < since_ms:
            left.append((begin_ms, since_ms))
        if until_ms <= end_ms:
            left.append((until_ms, end_ms))
    return left
