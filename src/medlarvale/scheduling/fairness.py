"""Fair shares of prefill time between workspaces, and attribution of waits.

Deficit round robin: Shreedhar and Varghese, "Efficient fair queueing using deficit round robin"
(1995).
"""

from __future__ import annotations

import math
from collections import defaultdict, deque
from collections.abc import Iterator, Mapping
from operator import itemgetter
from typing import Generic, TypeVar

from medlarvale.ids import WorkspaceId

EntryT = TypeVar("EntryT")

# About the prefill time of an average prompt, so that one turn is enough for most entries.
QUANTUM_MS = 100.0
BUCKET_MS = 500.0
# Waits are attributed over at most this time; live requests wait for less.
HISTORY_MS = 5_000.0
WAITED_FOR_LIMIT = 3
# Shorter waits are caused by message delays, not by the work of other workspaces.
SHORTEST_WAIT_MS = 20.0


class FairQueue(Generic[EntryT]):
    """Queued entries of one class, served by deficit round robin over their prefill time.

    Args:
        weights: relative shares of the workspaces; 1 for workspaces not listed.
    """

    def __init__(self, weights: Mapping[WorkspaceId, int]) -> None:
        self._weights = weights
        self._queues: dict[WorkspaceId, deque[tuple[EntryT, float]]] = {}
        self._ring: deque[WorkspaceId] = deque()
        self._deficit_ms: dict[WorkspaceId, float] = {}
        self._queued_ms: dict[WorkspaceId, float] = {}
        self._active_weight = 0
        self._count = 0
        self.total_ms = 0.0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[EntryT]:
        for queue in self._queues.values():
            for entry, _ in queue:
                yield entry

    def weight(self, workspace: WorkspaceId) -> int:
        """Returns the relative share of a workspace."""
        return self._weights.get(workspace, 1)

    def push(self, workspace: WorkspaceId, entry: EntryT, cost_ms: float) -> None:
        """Appends an entry to the queue of its workspace."""
        queue = self._queues.get(workspace)
        if queue is None:
            queue = self._queues[workspace] = deque()
            self._ring.append(workspace)
            self._deficit_ms[workspace] = 0.0
            self._queued_ms[workspace] = 0.0
            self._active_weight += self.weight(workspace)
        queue.append((entry, cost_ms))
        self._queued_ms[workspace] += cost_ms
        self._count += 1
        self.total_ms += cost_ms

    def heads(self) -> Iterator[EntryT]:
        """Yields the entry whose turn it is, then the first entry of each other workspace.

        The queue must not be changed during the iteration.
        """
        if self._ring:
            self._advance()
        for workspace in self._ring:
            yield self._queues[workspace][0][0]

    def is_head(self, workspace: WorkspaceId, entry: EntryT) -> bool:
        """Returns whether an entry is the first of its workspace."""
        queue = self._queues.get(workspace)
        return queue is not None and queue[0][0] is entry

    def pop_head(self, workspace: WorkspaceId, charged_ms: float) -> None:
        """Removes the first entry of a workspace and charges its prefill time to the workspace."""
        self._deficit_ms[workspace] -= charged_ms
        _, cost_ms = self._queues[workspace].popleft()
        self._record_removal(workspace, cost_ms)

    def remove(self, workspace: WorkspaceId, entry: EntryT) -> bool:
        """Removes an entry without a charge; returns False if it is not queued."""
        queue = self._queues.get(workspace, deque())
        for index, (queued, cost_ms) in enumerate(queue):
            if queued is entry:
                del queue[index]
                self._record_removal(workspace, cost_ms)
                return True
        return False

    def ahead_ms(self, workspace: WorkspaceId) -> float:
        """Returns the prefill time that would be served before a new entry of a workspace."""
        own_ms = self._queued_ms.get(workspace)
        weight = self.weight(workspace)
        if own_ms is None:
            return min(self.total_ms, QUANTUM_MS * self._active_weight)
        return min(self.total_ms, (own_ms + QUANTUM_MS) * self._active_weight / weight)

    def _record_removal(self, workspace: WorkspaceId, cost_ms: float) -> None:
        self._count -= 1
        self.total_ms = max(0.0, self.total_ms - cost_ms) if self._count else 0.0
        self._queued_ms[workspace] -= cost_ms
        if not self._queues[workspace]:
            # A workspace must not accumulate credit while it has no queued work.
            self._ring.remove(workspace)
            del self._queues[workspace]
            del self._deficit_ms[workspace]
            del self._queued_ms[workspace]
            self._active_weight -= self.weight(workspace)

    def _can_afford_head(self, workspace: WorkspaceId) -> bool:
        return self._deficit_ms[workspace] >= self._queues[workspace][0][1]

    def _advance(self) -> None:
        for _ in range(2):
            for _ in range(len(self._ring)):
                if self._can_afford_head(self._ring[0]):
                    return
                self._ring.rotate(-1)
            # Adds at once the quanta of all rounds in which no workspace could be served.
            rounds = min(
                math.ceil(
                    (self._queues[workspace][0][1] - self._deficit_ms[workspace])
                    / (QUANTUM_MS * self.weight(workspace))
                )
                for workspace in self._ring
            )
            for workspace in self._ring:
                self._deficit_ms[workspace] += rounds * QUANTUM_MS * self.weight(workspace)


ShareMs = defaultdict[WorkspaceId, float]


class WaitRecord:
    """Prefill time served to each workspace, and the waits that it caused for the others."""

    def __init__(self) -> None:
        self._buckets: deque[tuple[float, ShareMs]] = deque()
        self.waited_ms: dict[WorkspaceId, ShareMs] = {}
        self.served_ms: ShareMs = defaultdict(float)

    def record_served(self, workspace: WorkspaceId, prefill_ms: float, now_ms: float) -> None:
        """Records prefill time served to a workspace."""
        self.served_ms[workspace] += prefill_ms
        if not self._buckets or now_ms - self._buckets[-1][0] >= BUCKET_MS:
            self._buckets.append((now_ms, defaultdict(float)))
            while now_ms - self._buckets[0][0] > HISTORY_MS:
                self._buckets.popleft()
        self._buckets[-1][1][workspace] += prefill_ms

    def waited_for(self, since_ms: float) -> list[WorkspaceId]:
        """Returns the workspaces that were served most since ``since_ms``, largest first."""
        return [workspace for workspace, _ in self._served_since(since_ms)]

    def record_wait(self, workspace: WorkspaceId, since_ms: float, now_ms: float) -> None:
        """Attributes a wait to the workspaces served most during it, by their prefill time."""
        if now_ms - since_ms < SHORTEST_WAIT_MS:
            return
        served = self._served_since(since_ms)
        total_ms = sum(prefill_ms for _, prefill_ms in served)
        record = self.waited_ms.setdefault(workspace, defaultdict(float))
        for other, prefill_ms in served:
            record[other] += (now_ms - since_ms) * prefill_ms / max(1e-9, total_ms)

    def served_by_workspace(self, since_ms: float) -> ShareMs:
        """Returns the time served to each workspace since ``since_ms``, to whole buckets."""
        total_ms: ShareMs = defaultdict(float)
        for start_ms, served in reversed(self._buckets):
            if start_ms + BUCKET_MS < since_ms:
                break
            for workspace, prefill_ms in served.items():
                total_ms[workspace] += prefill_ms
        return total_ms

    def _served_since(self, since_ms: float) -> list[tuple[WorkspaceId, float]]:
        total_ms = self.served_by_workspace(since_ms)
        most_first = sorted(total_ms.items(), key=itemgetter(1), reverse=True)
        return most_first[:WAITED_FOR_LIMIT]
