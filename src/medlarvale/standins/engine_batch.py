"""Models of continuous batching by priority and of a shared link, without I/O."""

from __future__ import annotations

import msgspec

from medlarvale.scheduling.messages import WorkClass
from medlarvale.standins.engine_memory import HoldKey

# Prefill runs in chunks, so that a live prompt can overtake a long batch prompt between chunks.
PREFILL_CHUNK_TOKENS = 512


class PrefillJob(msgspec.Struct):
    """A prompt in the prefill queue.

    Attributes:
        remaining_tokens: tokens that are not computed yet.
        computed_ms: compute time spent so far.
    """

    key: HoldKey
    priority: WorkClass
    remaining_tokens: int
    started: bool = False
    computed_ms: float = 0.0


class PrefillQueue:
    """Prompts that wait for prefill or are being prefilled.

    Live work runs before batch work; within a class, jobs run in order of arrival.
    """

    def __init__(self) -> None:
        self._jobs: dict[HoldKey, PrefillJob] = {}

    def __len__(self) -> int:
        return len(self._jobs)

    def add(self, job: PrefillJob) -> None:
        """Appends a job."""
        self._jobs[job.key] = job

    def remove(self, key: HoldKey) -> PrefillJob | None:
        """Removes and returns a job, or returns None if it is not queued."""
        return self._jobs.pop(key, None)

    def ordered(self) -> list[PrefillJob]:
        """Returns the jobs in the order in which they may run their next chunk."""
        return sorted(self._jobs.values(), key=lambda job: job.priority is not WorkClass.LIVE)

    def remaining_tokens(self) -> int:
        """Returns the number of tokens that all jobs have yet to compute."""
        return sum(job.remaining_tokens for job in self._jobs.values())


def chunk_tokens(job: PrefillJob) -> int:
    """Returns the number of tokens in the next chunk of a job."""
    return min(job.remaining_tokens, PREFILL_CHUNK_TOKENS)


class StepModel(msgspec.Struct, frozen=True):
    """Duration of a decode step: a base time plus a time for each request in the batch."""

    base_ms: float
    per_request_ms: float

    def step_ms(self, requests: int) -> float:
        """Returns the duration of a step with this number of requests in the batch."""
        return self.base_ms + self.per_request_ms * requests


class DecodeBatch:
    """Requests that decode together; they join and leave the batch between two steps.

    Args:
        limit: maximum number of requests in a step; others wait, live work before batch work.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._members: dict[HoldKey, WorkClass] = {}

    def __len__(self) -> int:
        return len(self._members)

    def join(self, key: HoldKey, priority: WorkClass) -> None:
        """Adds a request to the batch, starting with the next step."""
        self._members[key] = priority

    def leave(self, key: HoldKey) -> None:
        """Removes a request."""
        self._members.pop(key, None)

    def next_step(self) -> list[HoldKey]:
        """Returns the requests of the next step.

        If not all requests fit, those of the same class take turns.
        """
        ranked = sorted(self._members, key=lambda key: self._members[key] is not WorkClass.LIVE)
        chosen = ranked[: self.limit]
        if len(ranked) > self.limit:
            for key in chosen:
                self._members[key] = self._members.pop(key)
        return chosen


class SharedLink:
    """A link whose rate is shared evenly by its transfers.

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
        """Starts a transfer and returns its number; see ``advance`` for ``factor``."""
        self.advance(now_ms, factor)
        self._next_id += 1
        self._remaining[self._next_id] = float(size_bytes)
        return self._next_id

    def stop(self, transfer: int) -> None:
        """Removes a transfer, finished or not."""
        self._remaining.pop(transfer, None)

    def remaining_bytes(self, transfer: int) -> float:
        """Returns the number of bytes that a transfer has yet to move."""
        return self._remaining.get(transfer, 0.0)

    def advance(self, now_ms: float, factor: float = 1.0) -> None:
        """Moves the bytes for the time since the last call.

        Args:
            factor: slowdown of the link relative to its rate; infinite while the link is stalled.
        """
        remaining_ms = (now_ms - self._moved_ms) / factor
        self._moved_ms = now_ms
        while remaining_ms > 0:
            active = [transfer for transfer, size in self._remaining.items() if size > 0]
            if not active:
                return
            share = self.rate_bytes_per_s / 1000.0 / len(active)
            smallest = min(self._remaining[transfer] for transfer in active)
            span_ms = min(remaining_ms, smallest / share)
            for transfer in active:
                remaining = self._remaining[transfer] - span_ms * share
                # Less than one byte is a rounding error.
                self._remaining[transfer] = remaining if remaining >= 1.0 else 0.0
            remaining_ms -= span_ms

    def finish_ms(self, transfer: int) -> float:
        """Returns the time that a transfer still takes if no other transfer starts or ends."""
        active = sum(size > 0 for size in self._remaining.values())
        return self.remaining_bytes(transfer) * active / self.rate_bytes_per_s * 1000.0
