"""Index of the prompt prefixes that prefill engines are expected to cache.

Engines publish cache events late and with gaps, so an entry is only a hint. A wrong entry costs the
prefill time of the missing tokens.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

import msgspec

from medlarvale.ids import ServerId
from medlarvale.scheduling.reports import CacheEventKind, CacheEvents

# 1,024 hashes use about 100 KB per engine; a control budget of 64 MB holds them for 64 engines.
MAX_PREFIXES_PER_ENGINE = 1_024
# Considering more cache holders of a prefix makes the choice slower but no better.
MAX_CACHE_HOLDERS = 4
# After a gap in the events, older entries are dropped: the lost events may have evicted them.
MAX_AGE_AFTER_GAP_MS = 5_000.0


class EnginePrefixes(msgspec.Struct):
    """Prefixes expected to be cached at one engine, least recently seen first.

    Attributes:
        next_event: number of the next cache event to request.
    """

    seen_at_ms: OrderedDict[int, float] = msgspec.field(default_factory=OrderedDict)
    next_event: int = 0


class PrefixIndex:
    """Finds the engines that cache the longest prefix of a prompt."""

    def __init__(self) -> None:
        self._engines: dict[ServerId, EnginePrefixes] = {}
        # A dict is ordered, so that runs with the same inputs make the same choices.
        self._holders: dict[int, dict[ServerId, None]] = {}

    def next_event(self, server: ServerId) -> int:
        """Returns the number of the next cache event to request from an engine."""
        engine = self._engines.get(server)
        return engine.next_event if engine else 0

    def apply(self, server: ServerId, answer: CacheEvents, now_ms: float) -> None:
        """Applies cache events; events already seen are skipped."""
        engine = self._engines.setdefault(server, EnginePrefixes())
        for event in answer.events:
            if event.n < engine.next_event:
                continue
            if event.n > engine.next_event:
                self._drop_stale(server, engine, now_ms)
            engine.next_event = event.n + 1
            if event.kind is CacheEventKind.STORED:
                self._store(server, engine, event.prefix_hash, now_ms)
            else:
                self._drop(server, engine, event.prefix_hash)
        if answer.next > engine.next_event:
            self._drop_stale(server, engine, now_ms)
            engine.next_event = answer.next

    def record_expected(self, server: ServerId, hashes: Sequence[int], now_ms: float) -> None:
        """Records prefixes that a placed prefill will cache."""
        engine = self._engines.setdefault(server, EnginePrefixes())
        for prefix in hashes:
            self._store(server, engine, prefix, now_ms)

    def longest_prefix_blocks(self, hashes: Sequence[int]) -> int:
        """Returns the length in blocks of the longest prefix that any engine caches."""
        holders = self._holders
        blocks = 0
        for prefix in hashes:
            if prefix not in holders:
                break
            blocks += 1
        return blocks

    def cached_blocks(self, hashes: Sequence[int]) -> dict[ServerId, int]:
        """Returns the engines with the longest cached prefixes, with the lengths in blocks."""
        found: dict[ServerId, int] = {}
        for blocks in range(self.longest_prefix_blocks(hashes), 0, -1):
            for server in self._holders[hashes[blocks - 1]]:
                found.setdefault(server, blocks)
            if len(found) >= MAX_CACHE_HOLDERS:
                break
        return found

    def forget(self, server: ServerId) -> None:
        """Drops all entries of an engine that restarted or left."""
        engine = self._engines.pop(server, None)
        if engine is not None:
            for prefix in list(engine.seen_at_ms):
                self._drop(server, engine, prefix)

    def _store(self, server: ServerId, engine: EnginePrefixes, prefix: int, now_ms: float) -> None:
        seen_at_ms = engine.seen_at_ms
        if prefix in seen_at_ms:
            seen_at_ms.move_to_end(prefix)
        else:
            self._holders.setdefault(prefix, {})[server] = None
        seen_at_ms[prefix] = now_ms
        if len(seen_at_ms) > MAX_PREFIXES_PER_ENGINE:
            self._drop(server, engine, next(iter(seen_at_ms)))

    def _drop(self, server: ServerId, engine: EnginePrefixes, prefix: int) -> None:
        engine.seen_at_ms.pop(prefix, None)
        holders = self._holders.get(prefix)
        if holders is not None:
            holders.pop(server, None)
            if not holders:
                del self._holders[prefix]

    def _drop_stale(self, server: ServerId, engine: EnginePrefixes, now_ms: float) -> None:
        while engine.seen_at_ms:
            oldest = next(iter(engine.seen_at_ms))
            if engine.seen_at_ms[oldest] > now_ms - MAX_AGE_AFTER_GAP_MS:
                return
            self._drop(server, engine, oldest)
