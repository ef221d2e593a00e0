"""Order in which waiting requests get decode memory."""

from __future__ import annotations

import heapq
from collections.abc import Sequence

import msgspec

from medlarvale.ids import WorkspaceId
from medlarvale.scheduling.fairness import HISTORY_MS, WaitRecord

# Share of the time in which a request can be served after which it goes before shorter ones of its
# workspace. Without it, the longest answers wait until they can't be served any more.
AGED_SHARE = 0.5
# Workspace of the requests that have none, in the accounts.
NO_WORKSPACE = WorkspaceId("")


class Standing(msgspec.Struct, frozen=True):
    """What decides the place of a waiting request.

    Attributes:
        started: whether the caller has received part of the stream.
        late: whether it would miss the target of its first event if it were served now.
        output_tokens: expected output.
        priority: 0 is the most urgent.
        workspace: None if there is none.
        cost_ms: expected use: the share of an engine's memory times the time for which it is held.
        aged: whether it has waited for more than ``AGED_SHARE`` of its time.
    """

    started: bool
    late: bool
    output_tokens: int
    priority: int = 0
    workspace: WorkspaceId | None = None
    cost_ms: float = 0.0
    aged: bool = False


class WaitingOrder:
    """Order of the waiting requests of a service, and what its workspaces were given."""

    def __init__(self) -> None:
        self.served = WaitRecord()

    def note_served(self, standing: Standing, now_ms: float) -> None:
        """Charges a request that got memory to its workspace."""
        workspace = standing.workspace or NO_WORKSPACE
        self.served.record_served(workspace, standing.cost_ms, now_ms)

    def arrange(
        self, standings: Sequence[Standing], now_ms: float, *, distinguish: bool
    ) -> list[int]:
        """Returns the indices of the requests in the order in which they get memory.

        Equal requests stay in the order in which they are given.

        Args:
            standings: the waiting requests, in the order of their arrival.
            now_ms: monotonic time.
            distinguish: whether priorities or workspaces of the service differ.
        """
        numbers = range(len(standings))
        if not distinguish:
            return sorted(numbers, key=lambda number: _shortest_first(standings[number]))
        classes: dict[tuple[bool, bool, int], list[int]] = {}
        for number in numbers:
            standing = standings[number]
            key = not standing.started, standing.late, standing.priority
            classes.setdefault(key, []).append(number)
        used_ms = self.served.served_by_workspace(now_ms - HISTORY_MS)
        ordered: list[int] = []
        for key in sorted(classes):
            ordered += _in_turn(standings, classes[key], used_ms)
        return ordered


def _shortest_first(standing: Standing) -> tuple[bool, bool, float]:
    return not standing.started, standing.late, standing.output_tokens


def _in_turn(
    standings: Sequence[Standing], members: list[int], used_ms: dict[WorkspaceId, float]
) -> list[int]:
    """Returns the requests of one class: next is always the workspace that has got least.

    Args:
        standings: all requests.
        members: indices of the requests of the class.
        used_ms: recent use by workspace; the use of this class is added to it.
    """
    queues: dict[WorkspaceId, list[int]] = {}
    for number in members:
        queues.setdefault(standings[number].workspace or NO_WORKSPACE, []).append(number)
    for queue in queues.values():
        # Taken from the end; equal requests in the order of their arrival.
        queue.sort(key=lambda number: (*_aged_first(standings[number]), number), reverse=True)
    turns = [(used_ms.get(workspace, 0.0), workspace) for workspace in queues]
    heapq.heapify(turns)
    ordered: list[int] = []
    while turns:
        given_ms, workspace = heapq.heappop(turns)
        number = queues[workspace].pop()
        ordered.append(number)
        used_ms[workspace] = given_ms + standings[number].cost_ms
        if queues[workspace]:
            heapq.heappush(turns, (used_ms[workspace], workspace))
    return ordered


def _aged_first(standing: Standing) -> tuple[bool, float]:
    return not standing.aged, 0.0 if standing.aged else standing.output_tokens
