"""Record of the parts of prompts that this host has sent to each engine, and when."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

import msgspec
import xxhash

from medlarvale.forwarding.messages import PromptPartId

# Sent parts that are remembered, of all engines together. Each takes about 250 bytes, so all take
# about 4 MB; ``tests/prompt_cache`` measures it.
MAX_RECORDS = 16_384
# Parts at the beginning of a prompt that are considered; a header has room for 2,000.
MAX_PARTS = 64
_HASH_BITS = 64


class PromptPart(msgspec.Struct, frozen=True, gc=False):
    """A part of a prompt; ``tokens`` is 0 if its size is unknown."""

    part: PromptPartId
    tokens: int


class SentPart(msgspec.Struct, frozen=True, gc=False):
    """A part that was sent to an engine ``age_ms`` ago."""

    tokens: int
    age_ms: float


def prompt_parts(
    shared: Sequence[PromptPartId], last: PromptPartId | None, tokens: Sequence[int]
) -> tuple[PromptPart, ...]:
    """Returns the parts of a prompt in order; none if their sizes are unknown.

    Args:
        shared: the parts before the last.
        last: the last part, if it is named.
        tokens: sizes of the shared parts, then of the last one.
    """
    if len(tokens) != len(shared) + 1:
        return ()
    parts = (*shared, last) if last is not None else tuple(shared)
    return tuple(map(PromptPart, parts[:MAX_PARTS], tokens))


class SentParts:
    """Bounded record of sent parts; the ones that were sent least recently are dropped first.

    An engine is given as the number of its instance, which changes when it starts again, leaves or
    changes its stage or version. Records of earlier instances are never looked up again.

    Args:
        max_records: number of records.
    """

    def __init__(self, max_records: int = MAX_RECORDS) -> None:
        self._max_records = max_records
        # Time of the last send by instance and hash of the part, the oldest first.
        self._sent_ms: OrderedDict[int, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._sent_ms)

    def note(self, instance: int, parts: Sequence[PromptPart], now_ms: float) -> None:
        """Records that a prompt has been sent to an engine.

        Args:
            instance: number of the engine's instance.
            parts: parts of the prompt, in order.
            now_ms: monotonic time.
        """
        # The first part is needed for all others, so it is dropped after them.
        for part in reversed(parts):
            key = _key(instance, part.part)
            self._sent_ms[key] = now_ms
            self._sent_ms.move_to_end(key)
        while len(self._sent_ms) > self._max_records:
            self._sent_ms.popitem(last=False)

    def beginning(
        self, instance: int, parts: Sequence[PromptPart], now_ms: float
    ) -> tuple[SentPart, ...]:
        """Returns the parts at the beginning of a prompt that were all sent to an engine.

        Args:
            instance: number of the engine's instance.
            parts: parts of the prompt, in order.
            now_ms: monotonic time.
        """
        sent = []
        for part in parts:
            sent_ms = self._sent_ms.get(_key(instance, part.part))
            if sent_ms is None:
                break
            sent.append(SentPart(part.tokens, max(0.0, now_ms - sent_ms)))
        return tuple(sent)


def _key(instance: int, part: PromptPartId) -> int:
    digest = xxhash.xxh3_64_intdigest(part.encode("utf-8", "surrogateescape"))
    return instance << _HASH_BITS | digest
