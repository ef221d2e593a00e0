"""Cost and latency of one model request."""

from __future__ import annotations

from array import array

from medlarvale.completions.attempt import Attempt
from medlarvale.errors import Outcome
from medlarvale.ids import FailureDomain, RequestId, ServerId, ServiceName, WorkspaceId
from medlarvale.operators.reports import RequestReport


class LatencyTargets:
    """Latency targets of a service in ms."""

    def __init__(self, ttft_ms: int, tbt_ms: int) -> None:
        self.ttft_ms = ttft_ms
        self.tbt_ms = tbt_ms


class RequestAccount:
    """Times and costs of one request over all its attempts.

    A chunk of n tokens that arrives g ms after the previous one counts as n gaps of g / n ms.
    Time spent waiting for a slow caller to read does not count.
    """

    def __init__(self, started_ms: float) -> None:
        self._started_ms = started_ms
        self._gap_started_ms = started_ms
        self._gap_ms = array("d")
        self._gap_tokens = array("l")
        self.ttft_ms = 0.0
        self.prefill_ms = 0.0
        self.wasted_prefill_ms = 0.0
        self.attempts = 0
        self.servers: list[ServerId] = []
        self.waited_for: list[WorkspaceId] = []

    def record_sent(self, count: int, arrived_ms: float, sent_ms: float) -> None:
        """Records tokens sent to the caller; the next gap starts at ``sent_ms``."""
        if not self.ttft_ms:
            self.ttft_ms = arrived_ms - self._started_ms
            count -= 1
        if count:
            self._gap_ms.append((arrived_ms - self._gap_started_ms) / count)
            self._gap_tokens.append(count)
        self._gap_started_ms = sent_ms

    def add_attempt(self, attempt: Attempt) -> None:
        """Adds the cost of an ended attempt."""
        self.attempts += 1
        self.prefill_ms += attempt.prefill_ms
        self.wasted_prefill_ms += attempt.wasted_prefill_ms
        self.servers.extend(attempt.engines())

    def tbt_p95_ms(self) -> float:
        """Returns the 95th percentile of the time between tokens in ms."""
        remaining = sum(self._gap_tokens) * 0.05
        for gap_ms, count in sorted(zip(self._gap_ms, self._gap_tokens, strict=True), reverse=True):
            remaining -= count
            if remaining < 0:
                return gap_ms
        return 0.0

    def report(
        self,
        *,
        request_id: RequestId,
        service: ServiceName,
        workspace: WorkspaceId,
        failure_domain: FailureDomain,
        outcome: Outcome,
        code: str,
        prompt_tokens: int,
        output_tokens: int,
        now_ms: float,
        targets: LatencyTargets,
    ) -> RequestReport:
        """Returns the report of the request for operators."""
        tbt_p95_ms = self.tbt_p95_ms()
        return RequestReport(
            request_id=request_id,
            service=service,
            workspace=workspace,
            failure_domain=failure_domain,
            outcome=outcome,
            code=code,
            within_targets=(
                not code and self.ttft_ms <= targets.ttft_ms and tbt_p95_ms <= targets.tbt_ms
            ),
            ttft_ms=self.ttft_ms,
            tbt_p95_ms=tbt_p95_ms,
            total_ms=now_ms - self._started_ms,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            prefill_ms=self.prefill_ms,
            wasted_prefill_ms=self.wasted_prefill_ms,
            attempts=self.attempts,
            servers=self.servers,
            waited_for=self.waited_for,
        )
