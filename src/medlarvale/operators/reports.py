"""Reports that the request paths make for each finished request."""

from __future__ import annotations

from typing import Protocol

import msgspec

from medlarvale.errors import Outcome
from medlarvale.ids import FailureDomain, RequestId, ServerId, ServiceName, WorkspaceId


class RequestReport(msgspec.Struct, frozen=True):
    """One finished request.

    Attributes:
        code: error code, empty for an answered request.
        within_targets: whether both latency targets were met; False for errors of plain services.
        ttft_ms: time to the first token (model services) or to the whole answer (plain services).
        tbt_p95_ms: 95th percentile of the time between tokens; 0 with fewer than two tokens.
        prefill_ms: prefill time spent on all attempts.
        wasted_prefill_ms: part of ``prefill_ms`` whose result was never used.
        attempts: number of placements.
        waited_for: workspaces whose work occupied the capacity, largest first.
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
