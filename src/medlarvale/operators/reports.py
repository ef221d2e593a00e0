"""What the request paths report of each finished request."""

from __future__ import annotations

from typing import Protocol

import msgspec

from medlarvale.errors import Outcome
from medlarvale.ids import FailureDomain, RequestId, ServerId, ServiceName, WorkspaceId


class RequestReport(msgspec.Struct, frozen=True):
    """One finished request.

    Attributes:
        code: error code, empty for an answered request.
        within_targets: both latency targets were met; False for plain services' errors.
        ttft_ms: time to the first token (model services) or to the whole answer (plain ones).
        tbt_p95_ms: 95th percentile of the time between tokens; 0 without two tokens.
        prefill_ms: prefill time spent on all attempts.
        wasted_prefill_ms: the part of it whose result was never used.
        attempts: number of placements.
        waited_for: workspaces whose work held the capacity, most first.
    """

    request_id: RequestId
    service: ServiceName
    workspace: WorkspaceId
    failure_domain: FailureDomain
    outcome: Outcome
    code: str = ""
    within_targets: bool = False
    ttft_ms: float = 0.0
    tbt_p95_ms: float = 0.0
    total_ms: float = 0.0
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefill_ms: float = 0.0
    wasted_prefill_ms: float = 0.0
    attempts: int = 1
    servers: list[ServerId] = []
    waited_for: list[WorkspaceId] = []


class RequestObserver(Protocol):
    """Receives reports of finished requests."""

    def request_finished(self, report: RequestReport) -> None:
        """Counts one finished request."""
