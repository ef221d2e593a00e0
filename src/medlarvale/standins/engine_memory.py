"""Memory of a stand-in engine: slots, pieces, reservations with an end, and the prefix cache.

Pure: the time is passed in, and what was released is returned.
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
FENCE_KEEP_MS = 600_000


class HoldKey(msgspec.Struct, frozen=True, order=True):
    """One attempt of one request."""

    request_id: RequestId
    attempt: AttemptNumber


class Holding(msgspec.Struct):
    """What one attempt holds.

    Attributes:
        owner: entry host and incarnation that asked for it.
        uses_slot: whether it occupies a decode slot.
        ends_at_ms: when it expires, or None while an open connection holds it.
        touched_ms: when its client last called or read.
    """

    key: HoldKey
    owner: str
    phase: HoldPhase
    pieces: int
    uses_slot: bool
    ends_at_ms: float | None
    touched_ms: float


class AttemptFence(msgspec.Struct):
    """Attempts up to ``refused_through`` are refused."""

    refused_through: int
    changed_ms: float


class EngineMemory:
    """Accounts for slots and pieces by attempt.

    Args:
        slots: requests that may decode at once.
        pieces: pieces of KV cache memory.
        tokens_per_piece: tokens whose KV cache fills one piece.
    """

    def __init__(self, slots: int, pieces: int, tokens_per_piece: int) -> None:
        self.slots = slots
        self.pieces = pieces
        self.tokens_per_piece = tokens_per_piece
        self._holdings: dict[HoldKey, Holding] = {}
        self._fences: dict[RequestId, AttemptFence] = {}

    @property
    def slots_used(self) -> int:
        """Slots held now."""
        return sum(holding.uses_slot for holding in self._holdings.values())

    @property
    def pieces_used(self) -> int:
        """Pieces held now."""
        return sum(holding.pieces for holding in self._holdings.values())

    def pieces_for(self, tokens: int) -> int:
        """Returns the pieces that the KV cache of ``tokens`` fills."""
        return -(-tokens // self.tokens_per_piece)

    def find(self, key: HoldKey) -> Holding | None:
        """Returns what an attempt holds, or None."""
        return self._holdings.get(key)

    def holdings(self) -> list[Holding]:
        """Returns all holdings in order of their start."""
        return list(self._holdings.values())

    def count(self, *phases: HoldPhase) -> int:
        """Returns the number of holdings in any of the phases."""
        return sum(holding.phase in phases for holding in self._holdings.values())

    def check_attempt(self, key: HoldKey) -> None:
        """Refuses attempts that were cancelled or that a newer attempt replaced.

        Raises:
            StaleAttemptError: the attempt is refused.
        """
        fence = self._fences.get(key.request_id)
        if fence is not None and key.attempt <= fence.refused_through:
            raise StaleAttemptError(f"attempt {key.attempt} of {key.request_id} is refused")

    def supersede(self, key: HoldKey, now_ms: float) -> list[Holding]:
        """Releases the older attempts of a request, which are refused from now on.

        Raises:
            StaleAttemptError: the attempt itself is refused.
        """
        self.check_attempt(key)
        return self._refuse_through(key.request_id, key.attempt - 1, now_ms)

    def hold(self, holding: Holding) -> None:
        """Adds a holding.

        Raises:
            StaleAttemptError: the attempt is refused.
            DuplicateAttemptError: the attempt holds something already.
            EngineFullError: no slot or too few pieces are free.
        """
        self.check_attempt(holding.key)
        if holding.key in self._holdings:
            raise DuplicateAttemptError(f"attempt {holding.key.attempt} already runs here")
        if holding.uses_slot and self.slots_used >= self.slots:
            raise EngineFullError("no slot is free")
        self._require_pieces(holding.pieces)
        self._holdings[holding.key] = holding

    def resize(self, holding: Holding, pieces: int) -> None:
        """Changes the pieces of a holding.

        Raises:
            EngineFullError: too few pieces are free.
        """
        self._require_pieces(pieces - holding.pieces)
        holding.pieces = pieces

    def release(self, key: HoldKey) -> Holding | None:
        """Ends a holding and returns it, or None if there is none."""
        return self._holdings.pop(key, None)

    def cancel(self, key: HoldKey, now_ms: float) -> list[Holding]:
        """Releases an attempt and all older ones; they are refused from now on."""
        return self._refuse_through(key.request_id, key.attempt, now_ms)

    def expire(self, now_ms: float) -> list[Holding]:
        """Releases and returns the holdings whose end has come."""
        for request_id in [
            request_id
            for request_id, fence in self._fences.items()
            if fence.changed_ms + FENCE_KEEP_MS <= now_ms
        ]:
            del self._fences[request_id]
        return self._release_all(
            holding.key
            for holding in self._holdings.values()
            if holding.ends_at_ms is not None and holding.ends_at_ms <= now_ms
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

    def _require_pieces(self, pieces: int) -> None:
        if pieces > self.pieces - self.pieces_used:
            raise EngineFullError("not enough pieces are free")


class PrefixChange(msgspec.Struct, frozen=True):
    """A block that entered (``stored``) or left (``evicted``) the prefix cache."""

    kind: str
    prefix_hash: int


class PrefixCache:
    """Least-recently-used cache of prompt blocks, apart from the pieces of running requests.

    Args:
        capacity_blocks: blocks that fit.
        block_tokens: tokens of one block.
    """

    def __init__(self, capacity_blocks: int, block_tokens: int) -> None:
        self.capacity_blocks = capacity_blocks
        self.block_tokens = block_tokens
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._blocks)

    def cached_tokens(self, hashes: Sequence[int]) -> int:
        """Returns the tokens of the longest cached prefix and marks its blocks as used."""
        blocks = 0
        for prefix_hash in hashes:
            if prefix_hash not in self._blocks:
                break
            self._blocks.move_to_end(prefix_hash)
            blocks += 1
        return blocks * self.block_tokens

    def add(self, hashes: Sequence[int]) -> list[PrefixChange]:
        """Adds the blocks of a prompt and returns what entered and left the cache.

        A prompt larger than the cache keeps its start, since only prefixes can be reused.
        """
        changes: list[PrefixChange] = []
        # The start of the prompt is touched last and so evicted last.
        for prefix_hash in reversed(hashes[: self.capacity_blocks]):
            if prefix_hash not in self._blocks:
                changes.append(PrefixChange("stored", prefix_hash))
            self._blocks[prefix_hash] = None
            self._blocks.move_to_end(prefix_hash)
        while len(self._blocks) > self.capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            changes.append(PrefixChange("evicted", evicted))
        return changes
