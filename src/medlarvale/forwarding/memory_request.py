"""Requests for the memory of decode engines, and what they are given."""

from __future__ import annotations

import msgspec

from medlarvale.forwarding.messages import HoldId, Route
from medlarvale.forwarding.servers import ServerLoad
from medlarvale.ids import ServerId, SoftwareVersion, WorkspaceId

# KV cache memory is allocated in blocks of this many tokens.
BLOCK_TOKENS = 16
# Callers abandon a stream after a gap of four times the target latency or eight times the target
# gap, but at least 2 s.
PATIENCE_TARGETS = 4.0
PATIENCE_GAPS = 8.0
MIN_PATIENCE_MS = 2_000.0


def in_blocks(tokens: int) -> int:
    """Returns a size in tokens rounded up to whole blocks."""
    return -(-tokens // BLOCK_TOKENS) * BLOCK_TOKENS


def patience_ms(route: Route) -> float:
    """Returns how long a caller waits for the first or the next event of a stream."""
    return max(
        MIN_PATIENCE_MS,
        PATIENCE_TARGETS * route.target_latency_ms,
        PATIENCE_GAPS * route.gap_target_ms,
    )


class Reservation(msgspec.Struct):
    """Memory reserved at a decode engine.

    Attributes:
        load: the engine.
        tokens: size in tokens.
        hold: None if engines don't support reservations; only this host's own load is known then.
    """

    load: ServerLoad
    tokens: int
    hold: HoldId | None


class MemoryRequest(msgspec.Struct, frozen=True):
    """Requirements of a request for decode memory.

    Attributes:
        tokens: size in tokens.
        output_tokens: part of ``tokens`` that is expected to be generated.
        first_event_target_ms: time by which the caller expects the first event.
        end_ms: time at which the request is refused.
        caller_end_ms: time until which the caller waits for the whole answer.
        excluded: engines on which the request must not run.
        preferred: engine that is tried first, because it holds the request's KV cache.
        cached_tokens: part of ``tokens`` that the preferred engine has cached. Memory reserved for
            it would evict the KV cache of other requests that are about to resume.
        urgent: whether the caller has received part of the stream and waits for the next event.
        software: version of the software that the engine must run; None for any.
        priority: 0 is the most urgent.
        workspace: None without one.
    """

    tokens: int
    output_tokens: int
    first_event_target_ms: float
    end_ms: float
    caller_end_ms: float
    excluded: frozenset[ServerId] = frozenset()
    preferred: ServerId | None = None
    cached_tokens: int = 0
    urgent: bool = False
    software: SoftwareVersion | None = None
    priority: int = 0
    workspace: WorkspaceId | None = None
