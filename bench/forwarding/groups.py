"""Groups of callers of a load, and what became of each of their requests."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass

from medlarvale.ids import WorkspaceId


@dataclass(frozen=True, slots=True)
class CallerGroup:
    """Callers of one workspace.

    Attributes:
        workspace: None if the configuration lists no workspaces.
        priority: 0 is the most urgent.
        rate_per_s: streams per second outside bursts.
        bursts: start in s, duration in s and factor on the rate of each burst.
        prompt_factor: prompt tokens, relative to the load's.
        events_factor: events of an answer, relative to the load's.
        attempts: number of attempts of each request.
        returns_at_once: whether callers retry immediately, whatever they are told.
        leaving_share: share of the callers that disconnect at a random time.
    """

    workspace: WorkspaceId | None
    priority: int
    rate_per_s: float
    bursts: tuple[tuple[float, float, float], ...] = ()
    prompt_factor: float = 1.0
    events_factor: float = 1.0
    attempts: int = 2
    returns_at_once: bool = False
    leaving_share: float = 0.0

    def rate_at(self, now_s: float) -> float:
        """Returns the streams per second at a time."""
        rate = self.rate_per_s
        for start_s, duration_s, factor in self.bursts:
            if start_s <= now_s < start_s + duration_s:
                rate *= factor
        return rate


class Outcome(enum.Enum):
    """What became of a request."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"


@dataclass(slots=True)
class CallerRecord:
    """One request of a caller.

    Attributes:
        tokens: prompt and output.
        reasons: texts of the refusals of its attempts.
        refused_after_ms: time from the start of each refused attempt to its refusal.
        retry_after_ms: what the refused attempts were told.
    """

    group: CallerGroup
    arrived_ms: float
    tokens: int
    outcome: Outcome
    ended_ms: float
    reasons: tuple[str, ...] = ()
    refused_after_ms: tuple[float, ...] = ()
    retry_after_ms: tuple[float, ...] = ()


def served_share(records: Iterable[CallerRecord], *, in_time: bool = False) -> float:
    """Returns the share of the requests that were served; callers that left don't count."""
    wanted = {Outcome.IN_TIME} if in_time else {Outcome.IN_TIME, Outcome.LATE}
    counted = [record for record in records if record.outcome is not Outcome.LEFT]
    return sum(record.outcome in wanted for record in counted) / max(1, len(counted))


def largest_tenth(records: Iterable[CallerRecord]) -> list[CallerRecord]:
    """Returns the tenth of the requests that has most tokens."""
    ordered = sorted(records, key=lambda record: record.tokens)
    return ordered[-max(1, len(ordered) // 10) :]
