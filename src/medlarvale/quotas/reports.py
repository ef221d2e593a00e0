"""Log events and gauges about quotas."""

from __future__ import annotations

import msgspec

from medlarvale.clock import Clock
from medlarvale.ids import HostId, WorkspaceId
from medlarvale.logs import Event, log_info, log_warning

# A workspace without a refusal for this time is no longer over its limit.
OVER_LIMIT_MS = 3_000.0
# Time between two reports of a workspace that stays over its limit.
REPORT_PERIOD_MS = 10_000.0
# Time between two reports that the same host does not reply.
SILENT_PERIOD_MS = 10_000.0


class _Usage(msgspec.Struct):
    """What a workspace over its limit has asked of this host since the last report."""

    reported_ms: float
    refused_ms: float
    refused: int = 0
    asked_amount: float = 0.0
    refused_amount: float = 0.0


class QuotaReports:
    """Counts the decisions of one host.

    Args:
        clock: time service.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._over: dict[WorkspaceId, _Usage] = {}
        self._silent_ms: dict[HostId, float] = {}
        self._local: dict[WorkspaceId, int] = {}
        self._local_reported_ms = float("-inf")
        self._scale = 1.0
        self.refused = 0

    def gauges(self) -> dict[str, float]:
        """Returns the gauges of the metrics."""
        return {"quota_refusals": self.refused, "quota_workspaces_over_limit": len(self._over)}

    def note(self, workspace: WorkspaceId, amount: float, *, refused: bool) -> None:
        """Counts a request."""
        now_ms = self._clock.now_ms()
        usage = self._over.get(workspace)
        if refused:
            self.refused += 1
            if usage is None:
                usage = self._over[workspace] = _Usage(now_ms, now_ms)
                log_warning(Event.QUOTA_EXCEEDED, workspace=workspace, amount=int(amount))
            usage.refused_ms = now_ms
            usage.refused += 1
            usage.refused_amount += amount
        if usage is not None:
            usage.asked_amount += amount

    def note_silent(self, host: HostId, reason: str) -> None:
        """Notes that the owner of a bucket did not reply."""
        now_ms = self._clock.now_ms()
        if now_ms - self._silent_ms.get(host, float("-inf")) >= SILENT_PERIOD_MS:
            self._silent_ms[host] = now_ms
            log_warning(Event.QUOTA_OWNER_SILENT, peer=host, error=reason)

    def note_local(self, workspace: WorkspaceId) -> None:
        """Counts a request that was decided by the share of this host alone."""
        self._local[workspace] = self._local.get(workspace, 0) + 1

    def tick(self, scale: float) -> None:
        """Logs what has changed.

        Args:
            scale: share of the quotas that this host grants as an owner.
        """
        now_ms = self._clock.now_ms()
        for workspace, usage in list(self._over.items()):
            ended = now_ms - usage.refused_ms > OVER_LIMIT_MS
            if ended:
                del self._over[workspace]
            if ended or now_ms - usage.reported_ms > REPORT_PERIOD_MS:
                log_info(
                    Event.QUOTA_USE,
                    workspace=workspace,
                    over_limit=not ended,
                    refused=usage.refused,
                    refused_amount=int(usage.refused_amount),
                    asked_amount=int(usage.asked_amount),
                    during_ms=int(now_ms - usage.reported_ms),
                )
                if not ended:
                    self._over[workspace] = _Usage(now_ms, usage.refused_ms)
        if self._local and now_ms - self._local_reported_ms > REPORT_PERIOD_MS:
            log_info(Event.QUOTA_DECIDED_LOCALLY, requests=dict(sorted(self._local.items())))
            self._local.clear()
            self._local_reported_ms = now_ms
        if (scale < 1.0) != (self._scale < 1.0):
            log_info(Event.QUOTA_SCALED, scale=round(scale, 3))
        self._scale = scale
        for host, at_ms in list(self._silent_ms.items()):
            if now_ms - at_ms > SILENT_PERIOD_MS:
                del self._silent_ms[host]
