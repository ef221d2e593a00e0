"""Decides whether an engine that may have cached a prompt is worth the wait there."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

# Expected gain below which the choice stays as it is without caches. A shared part of 200 tokens
# saves 4 to 7 ms, less than the error of the estimated waits.
MIN_GAIN_MS = 20.0


class Candidate(msgspec.Struct, frozen=True, gc=False):
    """An engine.

    Attributes:
        cost_ms: expected wait there, with the costs of its failure domain.
        own_queue_ms: part of the wait that requests of this host cause.
        saving_ms: expected prefill time saved there by cached parts.
    """

    cost_ms: float
    own_queue_ms: float = 0.0
    saving_ms: float = 0.0


def gain_ms(candidate: Candidate, usual: Candidate) -> float:
    """Returns the expected time gained at an engine instead of the usual choice.

    Waits of other hosts may hide the requests of this one, which would then all go to one engine,
    so the extra wait is at least the difference of this host's own queues.
    """
    extra_ms = max(
        candidate.cost_ms - usual.cost_ms, candidate.own_queue_ms - usual.own_queue_ms, 0.0
    )
    return candidate.saving_ms - usual.saving_ms - extra_ms


def choose(candidates: Sequence[Candidate], usual: int) -> int:
    """Returns the index of the engine to use.

    Args:
        candidates: all engines that may be used.
        usual: index of the one that is chosen without regard to caches.
    """
    best, best_gain_ms = usual, MIN_GAIN_MS
    for index, candidate in enumerate(candidates):
        gain = gain_ms(candidate, candidates[usual])
        if gain > best_gain_ms:
            best, best_gain_ms = index, gain
    return best


def extra_allowed_wait_ms(prefill_saving_ms: float, decode_saving_ms: float) -> float:
    """Returns by how much longer a prompt may wait for a prefill engine than without caches.

    Args:
        prefill_saving_ms: expected saving at the prefill engine.
        decode_saving_ms: expected saving if the decode engine prefills the prompt itself.
    """
    difference_ms = prefill_saving_ms - decode_saving_ms
    return difference_ms if abs(difference_ms) > MIN_GAIN_MS else 0.0
