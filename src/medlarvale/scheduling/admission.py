"""Admission control: queues a request, or refuses it at once if it cannot meet its deadline."""

from __future__ import annotations

import enum

import msgspec

from medlarvale.ids import HostIdentity
from medlarvale.scheduling.candidates import usable_cached_tokens
from medlarvale.scheduling.engines import EngineTable
from medlarvale.scheduling.estimates import WaitEstimate
from medlarvale.scheduling.fairness import WaitRecord
from medlarvale.scheduling.messages import Placed, Refused, Reserve, WorkClass
from medlarvale.scheduling.prefixes import PrefixIndex
from medlarvale.scheduling.retry_budget import RetryBudget
from medlarvale.scheduling.waiting import AttemptQueues, QueuedAttempt

MIN_RETRY_AFTER_MS = 100
MAX_QUEUED = 10_000


class RefusalCode(enum.Enum):
    """Why a request is refused; the values are the error codes that callers see."""

    OVERLOADED = "overloaded"
    DEADLINE = "deadline_unreachable"
    RETRY_BUDGET = "retry_budget_spent"
    ATTEMPT_ENDED = "attempt_ended"


class Decision(msgspec.Struct, frozen=True):
    """An answer of the scheduler to the entry host that owns the request."""

    owner: HostIdentity
    answer: Placed | Refused


class Admission:
    """Admits new requests by their estimated wait and builds refusals.

    Args:
        engines: engines of the group.
        waiting: queued requests.
        prefixes: expected contents of the prefix caches.
    """

    def __init__(self, engines: EngineTable, waiting: AttemptQueues, prefixes: PrefixIndex) -> None:
        self._engines = engines
        self._limits = engines.limits
        self._waiting = waiting
        self._prefixes = prefixes
        self.retries = RetryBudget(self._limits.retry_budget_share)
        self.estimate = WaitEstimate()
        self.waits = WaitRecord()

    def admit(self, request: Reserve, now_ms: float) -> QueuedAttempt | Decision:
        """Returns the entry to queue, or a refusal if the request cannot be served in time."""
        if request.attempt > 1:
            if not self.retries.spend_retry():
                return self.refuse(request, RefusalCode.RETRY_BUDGET, now_ms)
        else:
            self.retries.record_request()
        if len(self._waiting) >= MAX_QUEUED:
            return self.refuse(request, RefusalCode.OVERLOADED, now_ms)
        entry = self._new_entry(request, now_ms)
        # Batch work tolerates delay, and its share of prefill time makes its wait hard to
        # estimate. It is queued and dropped later if its deadline can no longer be met.
        if request.work_class is WorkClass.BATCH:
            return entry
        if self._expected_wait_ms(request) + entry.min_first_token_ms > request.deadline_ms:
            since_ms = now_ms - request.deadline_ms
            return self.refuse(request, RefusalCode.OVERLOADED, now_ms, since_ms)
        return entry

    def refuse(
        self, request: Reserve, code: RefusalCode, now_ms: float, since_ms: float | None = None
    ) -> Decision:
        """Returns a refusal that names the workspaces served most since ``since_ms``."""
        retry_after_ms = max(MIN_RETRY_AFTER_MS, int(self._expected_wait_ms(request)))
        refused = Refused(
            request_id=request.request_id,
            attempt=request.attempt,
            code=code.value,
            retry_after_ms=retry_after_ms,
            waited_for=self.waits.waited_for(now_ms if since_ms is None else since_ms),
        )
        return Decision(request.owner, refused)

    def _new_entry(self, request: Reserve, now_ms: float) -> QueuedAttempt:
        blocks = self._prefixes.longest_prefix_blocks(request.prefix_hashes)
        tokens = request.prompt_tokens - usable_cached_tokens(request, blocks)
        cost_ms = 1000.0 * tokens / self._limits.prefill_tokens_per_s
        transfer_ms = self._limits.transfer_ms(request.prompt_tokens)
        return QueuedAttempt(
            request=request,
            arrived_ms=now_ms,
            due_ms=now_ms + request.deadline_ms,
            min_first_token_ms=self._limits.message_delay_ms + cost_ms + transfer_ms,
            cost_ms=cost_ms,
            last_polled_ms=now_ms,
        )

    def _expected_wait_ms(self, request: Reserve) -> float:
        if not self._waiting:
            ahead_ms = ahead = 0.0
        else:
            ahead_ms = self._waiting.ahead_ms(request)
            ahead = len(self._waiting) * min(1.0, ahead_ms / self._waiting.total_ms())
        slots_needed = ahead + 1 - self._engines.slots.free_slots
        return max(
            ahead_ms / max(1, self._engines.open_prefill()),
            self.estimate.slot_wait_ms(slots_needed, self._engines.slots.held_slots),
        )
