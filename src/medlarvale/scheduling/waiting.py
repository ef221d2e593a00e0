"""Queues of the placement scheduler: the order of requests and the work ahead of a new one."""

from __future__ import annotations

import msgspec

from medlarvale.ids import RequestId
from medlarvale.scheduling.fairness import FairQueue
from medlarvale.scheduling.limits import GroupLimits
from medlarvale.scheduling.messages import Reserve, WorkClass

# An entry whose host has not repeated its request for this time is dropped, because no caller is
# waiting for the answer.
ABANDONED_AFTER_MS = 1_500.0
# Limits the burst of batch work after a time in which no engine had capacity for it.
MAX_BATCH_CREDIT_MS = 2_000.0


class QueuedAttempt(msgspec.Struct, eq=False):
    """One queued attempt.

    Attributes:
        due_ms: time at which the first token is due.
        min_first_token_ms: time from a placement on idle engines to the first token.
        cost_ms: expected prefill time.
        last_polled_ms: time of the last request by the entry host.
    """

    request: Reserve
    arrived_ms: float
    due_ms: float
    min_first_token_ms: float
    cost_ms: float
    last_polled_ms: float


class AttemptQueues:
    """One queue for each class: restarts first, then live work, then batch work with its share."""

    def __init__(self, limits: GroupLimits) -> None:
        self._batch_share = limits.batch_share
        self._by_request: dict[RequestId, QueuedAttempt] = {}
        self.restarts: FairQueue[QueuedAttempt] = FairQueue(limits.weights)
        self.live: FairQueue[QueuedAttempt] = FairQueue(limits.weights)
        self.batch: FairQueue[QueuedAttempt] = FairQueue(limits.weights)
        self._batch_credit_ms = 0.0

    def __len__(self) -> int:
        return len(self._by_request)

    def get(self, request: RequestId) -> QueuedAttempt | None:
        """Returns the queued attempt of a request, or None."""
        return self._by_request.get(request)

    def entries(self) -> list[QueuedAttempt]:
        """Returns all queued attempts."""
        return list(self._by_request.values())

    def queue_of(self, request: Reserve) -> FairQueue[QueuedAttempt]:
        """Returns the queue that a request belongs to."""
        if request.work_class is WorkClass.BATCH:
            return self.batch
        # The caller of a restart has part of its answer already; the retry budget limits restarts.
        return self.restarts if request.attempt > 1 else self.live

    def push(self, entry: QueuedAttempt) -> None:
        """Queues an attempt."""
        self._by_request[entry.request.request_id] = entry
        self.queue_of(entry.request).push(entry.request.workspace, entry, entry.cost_ms)

    def remove(self, entry: QueuedAttempt) -> None:
        """Removes an attempt without serving it."""
        del self._by_request[entry.request.request_id]
        self.queue_of(entry.request).remove(entry.request.workspace, entry)

    def serve(self, entry: QueuedAttempt, charged_ms: float) -> None:
        """Removes an attempt and charges its prefill time to its workspace and class."""
        request = entry.request
        queue = self.queue_of(request)
        if not queue.is_head(request.workspace, entry):
            raise ValueError(f"request {request.request_id} is not the first of its workspace")
        queue.pop_head(request.workspace, charged_ms)
        del self._by_request[request.request_id]
        self._count_share(request.work_class, charged_ms)

    def queues_in_order(self) -> list[FairQueue[QueuedAttempt]]:
        """Returns the queues in the current order of service."""
        first = next(self.batch.heads(), None)
        if first and self._batch_credit_ms >= min(first.cost_ms, MAX_BATCH_CREDIT_MS):
            return [self.batch, self.restarts, self.live]
        return [self.restarts, self.live, self.batch]

    def ahead_ms(self, request: Reserve) -> float:
        """Returns the prefill time that would be served before a new request."""
        ahead_ms = self.queue_of(request).ahead_ms(request.workspace)
        if request.work_class is WorkClass.BATCH:
            return ahead_ms + self.live.total_ms + self.restarts.total_ms
        return ahead_ms + self.restarts.total_ms

    def total_ms(self) -> float:
        """Returns the prefill time of all queued attempts."""
        return self.restarts.total_ms + self.live.total_ms + self.batch.total_ms

    def _count_share(self, work_class: WorkClass, charged_ms: float) -> None:
        if work_class is WorkClass.BATCH:
            self._batch_credit_ms = max(0.0, self._batch_credit_ms - charged_ms)
            return
        if not self.batch:
            # Without queued batch work none is delayed, so no credit accrues.
            self._batch_credit_ms = 0.0
            return
        earned_ms = charged_ms * self._batch_share / max(0.01, 1.0 - self._batch_share)
        self._batch_credit_ms = min(MAX_BATCH_CREDIT_MS, self._batch_credit_ms + earned_ms)
