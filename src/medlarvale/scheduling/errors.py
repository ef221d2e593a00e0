"""Errors of the placement of model requests."""

from __future__ import annotations

from medlarvale.errors import MedlarvaleError, Outcome
from medlarvale.ids import WorkspaceId


class PlacementRefusedError(MedlarvaleError):
    """The booker refused an attempt, so the attempt did not run.

    The outcome is that of the attempt: after a restart the request path has to remember that an
    earlier attempt ran.

    Attributes:
        waited_for: workspaces whose work held the capacity, most first.
    """

    code = "overloaded"
    outcome = Outcome.NOT_RUN
    http_status = 503

    def __init__(
        self, code: str, retry_after_ms: int, waited_for: list[WorkspaceId] | None = None
    ) -> None:
        super().__init__(code, retry_after_ms=retry_after_ms)
        self.code = code
        self.waited_for = waited_for or []


class ProbeError(MedlarvaleError):
    """An engine did not answer a probe; whether a cancel reached it is unknown."""

    code = "probe_failed"
    outcome = Outcome.UNKNOWN
    http_status = 502
