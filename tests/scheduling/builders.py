"""Builders of messages and placement schedulers for the tests."""

from __future__ import annotations

from collections.abc import Sequence

from medlarvale.ids import (
    AttemptNumber,
    HostId,
    HostIdentity,
    Incarnation,
    RequestId,
    ServerId,
    ServiceName,
    WorkspaceId,
)
from medlarvale.scheduling.admission import Decision
from medlarvale.scheduling.limits import GroupLimits
from medlarvale.scheduling.messages import Phase, Placed, Progress, Release, Reserve, WorkClass
from medlarvale.scheduling.reports import EngineRequest
from medlarvale.scheduling.scheduler import PlacementScheduler

SERVICE = ServiceName("model")


def owner(name: str = "host-a", incarnation: int = 1) -> HostIdentity:
    """Returns the identity of an entry host."""
    return HostIdentity(HostId(name), Incarnation(incarnation))


def reserve(
    request: str,
    attempt: int = 1,
    host: HostIdentity | None = None,
    workspace: str = "w",
    work_class: WorkClass = WorkClass.LIVE,
    prompt_tokens: int = 2_000,
    deadline_ms: int = 1_900,
    hashes: Sequence[int] = (),
    excluded: Sequence[str] = (),
    isolate: bool = False,
) -> Reserve:
    """Returns a placement request; 2,000 tokens take 100 ms of prefill."""
    return Reserve(
        request_id=RequestId(request),
        attempt=AttemptNumber(attempt),
        owner=host or owner(),
        service=SERVICE,
        workspace=WorkspaceId(workspace),
        work_class=work_class,
        prompt_tokens=prompt_tokens,
        expected_output_tokens=100,
        prefix_hashes=list(hashes),
        deadline_ms=deadline_ms,
        excluded=[ServerId(server) for server in excluded],
        isolate=isolate,
    )


def progress(request: Reserve, phase: Phase = Phase.PREFILLED) -> Progress:
    """Returns the message that an attempt has entered a phase."""
    return Progress(request.request_id, request.attempt, request.owner, SERVICE, phase)


def release(request: Reserve, failed: str | None = None) -> Release:
    """Returns the message that an attempt has ended."""
    server = ServerId(failed) if failed else None
    return Release(request.request_id, request.attempt, request.owner, SERVICE, server)


def engine_request(
    request: str, host: HostIdentity | str = "host-a/1", attempt: int = 1, idle_ms: float = 0.0
) -> EngineRequest:
    """Returns an entry of the request list of an engine."""
    return EngineRequest(RequestId(request), AttemptNumber(attempt), str(host), "", 2, idle_ms)


def make_scheduler(
    prefill: int = 1, decode: int = 1, limits: GroupLimits | None = None
) -> PlacementScheduler:
    """Returns a scheduler whose decode engines have reported empty request lists."""
    scheduler = PlacementScheduler(limits or GroupLimits(slots_per_engine=2))
    scheduler.set_engines(
        [ServerId(f"p{index}") for index in range(prefill)],
        [ServerId(f"d{index}") for index in range(decode)],
        [],
        0.0,
    )
    for index in range(decode):
        scheduler.observe_requests(ServerId(f"d{index}"), [], 0.0)
    return scheduler


def placed_ids(decisions: Sequence[Decision]) -> list[str]:
    """Returns the ids of the requests that decisions place."""
    return [item.answer.request_id for item in decisions if isinstance(item.answer, Placed)]


def only_placement(decisions: Sequence[Decision]) -> Placed:
    """Returns the placement in the only decision."""
    (decision,) = decisions
    assert isinstance(decision.answer, Placed), decision.answer
    return decision.answer
