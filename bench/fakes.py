"""Simulated engines: queue, slots, network links and prefix cache, without a protocol."""

from __future__ import annotations

import heapq
import math
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass

from bench.events import EventQueue
from bench.workload import BLOCK_TOKENS, Request
from medlarvale.scheduling.limits import GroupLimits

STEP_BASE_MS = 15.0
STEP_PER_REQUEST_MS = 1.5
CACHE_BLOCKS = 512


def step_ms(batch: int) -> float:
    """Returns the duration of a decode step, which generates a token per request of the batch."""
    return STEP_BASE_MS + STEP_PER_REQUEST_MS * batch


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to serve a request, with the prefill time spent on it.

    Attributes:
        start_tokens: output tokens sent by earlier attempts, which the prefill has to include.
    """

    request: Request
    number: int
    start_tokens: int
    due_ms: float
    prefill: FakePrefill | None = None
    decode: FakeDecode | None = None
    prefilled: bool = False
    ended: bool = False
    prefill_ms: float = 0.0
    kv_end_ms: float = 0.0
    start_virtual: float = 0.0

    @property
    def prompt_tokens(self) -> int:
        """Number of tokens that the prefill has to compute."""
        return self.request.prompt_tokens + self.start_tokens

    @property
    def key(self) -> str:
        """Request id in messages."""
        return f"r{self.request.number}"


class FakePrefill:
    """Prefill engine that computes one prompt at a time and keeps a prefix cache."""

    def __init__(self, server: str, limits: GroupLimits, events: EventQueue) -> None:
        self.server = server
        self._limits = limits
        self._events = events
        self._queue: deque[tuple[Attempt, Callable[[Attempt], None]]] = deque()
        self._running: Attempt | None = None
        self._running_from_ms = 0.0
        self._running_until_ms = 0.0
        self.link_free_ms = 0.0
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.published: list[tuple[float, int, bool]] = []

    def duration_ms(self, attempt: Attempt) -> float:
        """Returns the actual duration of a prefill that starts now."""
        blocks = 0
        for prefix in attempt.request.hashes:
            if prefix not in self.cache:
                break
            blocks += 1
        tokens = attempt.prompt_tokens - min(blocks * BLOCK_TOKENS, attempt.prompt_tokens - 1)
        nominal_ms = 1000.0 * tokens / self._limits.prefill_tokens_per_s
        return nominal_ms * attempt.request.prefill_noise

    def queue_ms(self) -> float:
        """Returns the actual time until a new prefill can start."""
        running_ms = max(0.0, self._running_until_ms - self._events.now_ms) if self._running else 0
        return running_ms + sum(self.duration_ms(attempt) for attempt, _ in self._queue)

    def jobs(self) -> list[Attempt]:
        """Returns the running attempt and the queued ones."""
        queued = [attempt for attempt, _ in self._queue]
        return [self._running, *queued] if self._running is not None else queued

    def submit(self, attempt: Attempt, done: Callable[[Attempt], None]) -> None:
        """Queues a prefill; ``done`` is called at its end."""
        self._queue.append((attempt, done))
        self._start_next()

    def cancel(self, attempt: Attempt) -> None:
        """Cancels a prefill; the time already spent is added to the attempt."""
        self._queue = deque(item for item in self._queue if item[0] is not attempt)
        if self._running is attempt:
            attempt.prefill_ms += self._events.now_ms - self._running_from_ms
            self._running = None
            self._start_next()

    def _start_next(self) -> None:
        if self._running is not None or not self._queue:
            return
        attempt, done = self._queue.popleft()
        self._running = attempt
        self._running_from_ms = self._events.now_ms
        self._running_until_ms = self._events.now_ms + self.duration_ms(attempt)
        self._events.at(self._running_until_ms, self._finish, attempt, done)

    def _finish(self, attempt: Attempt, done: Callable[[Attempt], None]) -> None:
        if self._running is not attempt:
            return
        self._running = None
        attempt.prefill_ms += self._events.now_ms - self._running_from_ms
        attempt.kv_end_ms = self._events.now_ms + self._limits.kv_ttl_ms
        for prefix in attempt.request.hashes:
            self._store(prefix)
        self._start_next()
        done(attempt)

    def _store(self, prefix: int) -> None:
        now_ms = self._events.now_ms
        if prefix not in self.cache:
            self.published.append((now_ms, prefix, True))
        self.cache[prefix] = None
        self.cache.move_to_end(prefix)
        if len(self.cache) > CACHE_BLOCKS:
            evicted, _ = self.cache.popitem(last=False)
            self.published.append((now_ms, evicted, False))


class FakeDecode:
    """Decode engine with continuous batching: requests join and leave between steps.

    Progress is tracked as virtual time in tokens, which advances by one per decode step.
    """

    def __init__(self, server: str, limits: GroupLimits, events: EventQueue) -> None:
        self.server = server
        self.limits = limits
        self._events = events
        self.alive = True
        self.epoch = 0
        self.link_free_ms = 0.0
        self.reserved: dict[Attempt, int] = {}
        self.active: dict[Attempt, int] = {}
        self._virtual = 0.0
        self._advanced_ms = 0.0
        self._finishes: list[tuple[float, int, Attempt, Callable[[Attempt], None]]] = []
        self._version = 0
        self._sorted: list[float] = []
        self._sorted_version = -1

    @property
    def slots_used(self) -> int:
        """Number of slots that are reserved or in use."""
        return len(self.reserved) + len(self.active)

    @property
    def kv_blocks_used(self) -> int:
        """Number of KV blocks that are reserved or in use."""
        return sum(self.reserved.values()) + sum(self.active.values())

    def reserve(self, attempt: Attempt, kv_blocks: int) -> bool:
        """Reserves a slot and KV blocks; returns False if the engine is full or lost."""
        full = (
            not self.alive
            or self.slots_used >= self.limits.slots_per_engine
            or self.kv_blocks_used + kv_blocks > self.limits.pieces_per_engine
        )
        if not full:
            self.reserved[attempt] = kv_blocks
        return not full

    def free(self, attempt: Attempt) -> None:
        """Releases the reservation or the stream of an attempt."""
        self._advance()
        self.reserved.pop(attempt, None)
        if self.active.pop(attempt, None) is not None:
            self._schedule()

    def start(self, attempt: Attempt, done: Callable[[Attempt], None]) -> None:
        """Starts the stream of an attempt that has a reservation."""
        self._advance()
        self.active[attempt] = self.reserved.pop(attempt)
        attempt.start_virtual = self._virtual
        remaining = attempt.request.output_tokens - attempt.start_tokens
        finish = (self._virtual + remaining, attempt.request.number, attempt, done)
        heapq.heappush(self._finishes, finish)
        self._schedule()

    def sent_tokens(self, attempt: Attempt) -> int:
        """Returns the tokens that a running attempt has generated."""
        self._advance()
        return int(self._virtual - attempt.start_virtual)

    def remaining_ms(self, rank: int) -> float:
        """Returns the actual time until ``rank`` of the running streams have ended."""
        if self._sorted_version != self._version:
            self._sorted = sorted(
                finish for finish, _, attempt, _ in self._finishes if attempt in self.active
            )
            self._sorted_version = self._version
        if rank > len(self._sorted):
            return math.inf
        self._advance()
        return (self._sorted[rank - 1] - self._virtual) * step_ms(len(self.active))

    def crash(self) -> list[Attempt]:
        """Takes the engine down and drops its state; returns the attempts that were on it."""
        self._advance()
        for attempt in self.active:
            attempt.request.sent_tokens = attempt.start_tokens + int(
                self._virtual - attempt.start_virtual
            )
        lost = [*self.reserved, *self.active]
        self.alive = False
        self.reserved, self.active, self._finishes = {}, {}, []
        self._version += 1
        return lost

    def restart(self) -> None:
        """Restarts a lost engine without state."""
        self.alive = True
        self.epoch += 1

    def _advance(self) -> None:
        now_ms = self._events.now_ms
        if self.active:
            self._virtual += (now_ms - self._advanced_ms) / step_ms(len(self.active))
        self._advanced_ms = now_ms

    def _schedule(self) -> None:
        self._version += 1
        while self._finishes and self._finishes[0][2] not in self.active:
            heapq.heappop(self._finishes)
        if self._finishes:
            left = max(0.0, self._finishes[0][0] - self._virtual)
            due_ms = self._events.now_ms + left * step_ms(len(self.active))
            self._events.at(due_ms, self._finish_first, self._version)

    def _finish_first(self, version: int) -> None:
        if version != self._version:
            return
        self._advance()
        _, _, attempt, done = heapq.heappop(self._finishes)
        del self.active[attempt]
        self._schedule()
        done(attempt)
