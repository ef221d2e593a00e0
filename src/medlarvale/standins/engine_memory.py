"""Memory of a stand-in engine: slots, KV blocks, reservations that expire, and the prefix cache.

The module does no I/O: callers pass in the time, and methods return the holdings that they release.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence

import msgspec

from medlarvale.ids import AttemptNumber, RequestId
from medlarvale.standins.engine_errors import (
    DuplicateAttemptError,
    EngineFullError,
    StaleAttemptError,
)
from medlarvale.standins.engine_messages import HoldPhase

# Longer than any request may run, so that a late call of a cancelled attempt is still refused.
FENCE_TTL_MS = 600_000


class HoldKey(msgspec.Struct, frozen=True, order=True):
    """One attempt of one request."""

    request_id: RequestId
    attempt: AttemptNumber


class Holding(msgspec.Struct):
    """Memory held by an attempt.

    Attributes:
        owner: entry host and incarnation that made the call.
        uses_slot: whether the holding occupies a decode slot.
        expires_at_ms: when the holding expires, or None while an open connection keeps it.
        last_active_ms: when the client last made a call or read data.
    """

    key: HoldKey
    owner: str
    phase: HoldPhase
    kv_blocks: int
    uses_slot: bool
    expires_at_ms: float | None
    last_active_ms: float


class AttemptFence(msgspec.Struct):
    """Refuses the attempts of a request up to ``refused_through``."""

    refused_through: int
    changed_ms: float


class EngineMemory:
    """Accounts for slots and KV blocks by attempt.

    Args:
        slots: number of requests that may decode at the same time.
        kv_blocks: number of KV blocks.
        tokens_per_kv_block: number of tokens whose KV cache fills one KV block.
    """

    def __init__(self, slots: int, kv_blocks: int, tokens_per_kv_block: int) -> None:
        self.slots = slots
        self.kv_blocks = kv_blocks
        self.tokens_per_kv_block = tokens_per_kv_block
        self._holdings: dict[HoldKey, Holding] = {}
        self._fences: dict[RequestId, AttemptFence] = {}

    @property
    def slots_used(self) -> int:
        """Number of slots in use."""
        return sum(holding.uses_slot for holding in self._holdings.values())

    @property
    def kv_blocks_used(self) -> int:
        """Number of KV blocks in use."""
        return sum(holding.kv_blocks for holding in self._holdings.values())

    def kv_blocks_for(self, tokens: int) -> int:
        """Returns the number of KV blocks that the KV cache of a number of tokens needs."""
        return -(-tokens // self.tokens_per_kv_block)

    def find(self, key: HoldKey) -> Holding | None:
        """Returns the holding of an attempt, or None."""
        return self._holdings.get(key)

    def holdings(self) -> list[Holding]:
        """Returns all holdings in the order in which they were added."""
        return list(self._holdings.values())

    def count(self, *phases: HoldPhase) -> int:
        """Returns the number of holdings in any of the phases."""
        return sum(holding.phase in phases for holding in self._holdings.values())

    def check_attempt(self, key: HoldKey) -> None:
        """Refuses an attempt that was cancelled or superseded by a newer attempt.

        Raises:
            StaleAttemptError: the attempt is refused.
        """
        fence = self._fences.get(key.request_id)
        if fence is not None and key.attempt <= fence.refused_through:
            raise StaleAttemptError(f"attempt {key.attempt} of {key.request_id} is refused")

    def supersede(self, key: HoldKey, now_ms: float) -> list[Holding]:
        """Releases the older attempts of a request and refuses their later calls.

        Raises:
            StaleAttemptError: the attempt itself is refused.
        """
        self.check_attempt(key)
        return self._refuse_through(key.request_id, key.attempt - 1, now_ms)

    def hold(self, holding: Holding) -> None:
        """Adds a holding.

        Raises:
            StaleAttemptError: the attempt is refused.
            DuplicateAttemptError: the attempt already has a holding.
            EngineFullError: no slot or too few KV blocks are free.
        """
        self.check_attempt(holding.key)
        if holding.key in self._holdings:
            raise DuplicateAttemptError(
                f"attempt {holding.key.attempt} already runs on this engine"
            )
        if holding.uses_slot and self.slots_used >= self.slots:
            raise EngineFullError("no slot is free")
        self._require_kv_blocks(holding.kv_blocks)
        self._holdings[holding.key] = holding

    def resize(self, holding: Holding, kv_blocks: int) -> None:
        """Changes the number of KV blocks of a holding.

        Raises:
            EngineFullError: too few KV blocks are free.
        """
        self._require_kv_blocks(kv_blocks - holding.kv_blocks)
        holding.kv_blocks = kv_blocks

    def release(self, key: HoldKey) -> Holding | None:
        """Removes and returns a holding, or returns None if there is none."""
        return self._holdings.pop(key, None)

    def cancel(self, key: HoldKey, now_ms: float) -> list[Holding]:
        """Releases an attempt and all older ones and refuses their later calls."""
        return self._refuse_through(key.request_id, key.attempt, now_ms)

    def expire(self, now_ms: float) -> list[Holding]:
        """Releases and returns the expired holdings; also forgets expired fences."""
        for request_id in [
            request_id
            for request_id, fence in self._fences.items()
            if fence.changed_ms + FENCE_TTL_MS <= now_ms
        ]:
            del self._fences[request_id]
        return self._release_all(
            holding.key
            for holding in self._holdings.values()
            if holding.expires_at_ms is not None and holding.expires_at_ms <= now_ms
        )

    def _refuse_through(self, request_id: RequestId, attempt: int, now_ms: float) -> list[Holding]:
        fence = self._fences.setdefault(request_id, AttemptFence(attempt, now_ms))
        fence.refused_through = max(fence.refused_through, attempt)
        fence.changed_ms = now_ms
        return self._release_all(
            key for key in self._holdings if key.request_id == request_id and key.attempt <= attempt
        )

    def _release_all(self, keys: Iterable[HoldKey]) -> list[Holding]:
        return [self._holdings.pop(key) for key in list(keys)]

    def _require_kv_blocks(self, kv_blocks: int) -> None:
        if kv_blocks > self.kv_blocks - self.kv_blocks_used:
            raise EngineFullError("not enough KV blocks are free")


class PrefixChange(msgspec.Struct, frozen=True):
    """A prompt block that was ``stored`` in or ``evicted`` from the prefix cache."""

    kind: str
    prefix_hash: int


class PrefixCache:
    """LRU cache of prompt blocks, which are separate from the KV blocks of running requests.

    Args:
        capacity_blocks: maximum number of prompt blocks.
        block_tokens: number of tokens in a prompt block.
    """

    def __init__(self, capacity_blocks: int, block_tokens: int) -> None:
        self.capacity_blocks = capacity_blocks
        self.block_tokens = block_tokens
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._blocks)

    def cached_tokens(self, hashes: Sequence[int]) -> int:
        """Returns the token count of the longest cached prefix and marks its blocks as used."""
        blocks = 0
        for prefix_hash in hashes:
            if prefix_hash not in self._blocks:
                break
            self._blocks.move_to_end(prefix_hash)
            blocks += 1
        return blocks * self.block_tokens

    def add(self, hashes: Sequence[int]) -> list[PrefixChange]:
        """Adds the blocks of a prompt and returns the changes of the cache.

        If a prompt is larger than the cache, its first blocks are kept, because only prefixes can
        be reused.
        """
        changes: list[PrefixChange] = []
        # The first blocks of the prompt are used last, so that they are evicted last.
        for prefix_hash in reversed(hashes[: self.capacity_blocks]):
            if prefix_hash not in self._blocks:
                changes.append(PrefixChange("stored", prefix_hash))
            self._blocks[prefix_hash] = None
            self._blocks.move_to_end(prefix_hash)
        while len(self._blocks) > self.capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            changes.append(PrefixChange("evicted", evicted))
        return changes
