"""Continuous batching by priority, and a shared link; pure."""

from __future__ import annotations

import msgspec

from medlarvale.scheduling.messages import WorkClass
from medlarvale.standins.engine_memory import HoldKey

# Prefill runs in chunks, so that a live prompt overtakes a long batch prompt between two.
PREFILL_CHUNK_TOKENS = 512


class PrefillJob(msgspec.Struct):
    """A prompt on its way through the prefill queue.

    Attributes:
        remaining_tokens: tokens still to be computed.
        computed_ms: compute time spent so far.
    """

    key: HoldKey
    priority: WorkClass
    remaining_tokens: int
    started: bool = False
    computed_ms: float = 0.0


class PrefillQueue:
    """Prompts that wait for or are in prefill; live work runs first, each class in order."""

    def __init__(self) -> None:
        self._jobs: dict[HoldKey, PrefillJob] = {}

    def __len__(self) -> int:
        return len(self._jobs)

    def add(self, job: PrefillJob) -> None:
        """Appends a job."""
        self._jobs[job.key] = job

    def remove(self, key: HoldKey) -> PrefillJob | None:
        """Removes and returns a job, or returns None."""
        return self._jobs.pop(key, None)

    def ordered(self) -> list[PrefillJob]:
        """Returns the jobs in the order in which they may run their next chunk."""
        return sorted(self._jobs.values(), key=lambda job: job.priority is not WorkClass.LIVE)

    def remaining_tokens(self) -> int:
        """Returns the tokens still to be computed for all jobs."""
        return sum(job.remaining_tokens for job in self._jobs.values())


def chunk_tokens(job: PrefillJob) -> int:
    """Returns the tokens of a job's next chunk."""
    return min(job.remaining_tokens, PREFILL_CHUNK_TOKENS)


class StepModel(msgspec.Struct, frozen=True):
    """Time of one decode step: a base, and a little for each request of the batch."""

    base_ms: float
    per_request_ms: float

    def step_ms(self, requests: int) -> float:
        """Returns the time of a step with ``requests`` in the batch."""
        return self.base_ms + self.per_request_ms * requests


class DecodeBatch:
    """Requests that decode together; each joins and leaves between two steps.

    Args:
        limit: most requests in one step; further ones wait, batch work behind live work.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._members: dict[HoldKey, WorkClass] = {}

    def __len__(self) -> int:
        return len(self._members)

    def join(self, key: HoldKey, priority: WorkClass) -> None:
        """Adds a request from the next step on."""
        self._members[key] = priority

    def leave(self, key: HoldKey) -> None:
        """Removes a request."""
        self._members.pop(key, None)

    def next_step(self) -> list[HoldKey]:
        """Returns the requests of the next step.

        Those of the same class take turns when not all fit.
        """
        ranked = sorted(self._members, key=lambda key: self._members[key] is not WorkClass.LIVE)
        chosen = ranked[: self.limit]
        if len(ranked) > self.limit:
            for key in chosen:
                self._members[key] = self._members.pop(key)
        return chosen


class SharedLink:
    """A link whose rate is shared evenly by the transfers on it.

    Args:
        rate_bytes_per_s: rate of the whole link.
    """

    def __init__(self, rate_bytes_per_s: float) -> None:
        self.rate_bytes_per_s = rate_bytes_per_s
        self._remaining: dict[int, float] = {}
        self._next_id = 0
        self._moved_ms = 0.0

    def __len__(self) -> int:
        return len(self._remaining)

    def start(self, size_bytes: int, now_ms: float, factor: float = 1.0) -> int:
        """Starts a transfer and returns its number; ``factor`` as for ``advance``."""
        self.advance(now_ms, factor)
        self._next_id += 1
        self._remaining[self._next_id] = float(size_bytes)
        return self._next_id

    def stop(self, transfer: int) -> None:
        """Removes a transfer, finished or not."""
        self._remaining.pop(transfer, None)

    def remaining_bytes(self, transfer: int) -> float:
        """Returns the bytes that a transfer has still to move."""
        return self._remaining.get(transfer, 0.0)

    def advance(self, now_ms: float, factor: float = 1.0) -> None:
        """Moves bytes for the time since the last call.

        Args:
            factor: by how much the link is slower than its rate; infinite while it is stalled.
        """
        left_ms = (now_ms - self._moved_ms) / factor
        self._moved_ms = now_ms
        while left_ms > 0:
            active = [transfer for transfer, size in self._remaining.items() if size > 0]
            if not active:
                return
            share = self.rate_bytes_per_s / 1000.0 / len(active)
            smallest = min(self._remaining[transfer] for transfer in active)
            span_ms = min(left_ms, smallest / share)
            for transfer in active:
                rest = self._remaining[transfer] - span_ms * share
                # Below one byte only rounding is left.
                self._remaining[transfer] = rest if rest >= 1.0 else 0.0
            left_ms -= span_ms

    def finish_ms(self, transfer: int) -> float:
        """Returns the time that a transfer needs if no other starts or ends."""
        active = sum(size > 0 for size in self._remaining.values())
        return self.remaining_bytes(transfer) * active / self.rate_bytes_per_s * 1000.0
