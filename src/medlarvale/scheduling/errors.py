"""Errors of the placement of model requests."""

from __future__ import annotations

from medlarvale.errors import MedlarvaleError, Outcome
from medlarvale.ids import WorkspaceId


class PlacementRefusedError(MedlarvaleError):
    """The placement scheduler refused an attempt, so the attempt did not run.

    The outcome is that of this attempt only: after a restart the request path has to take into
    account that an earlier attempt ran.

    Attributes:
        waited_for: workspaces whose work used the capacity, largest share first.
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
    """An engine did not answer a probe; it is unknown whether a cancel reached it."""

    code = "probe_failed"
    outcome = Outcome.UNKNOWN
    http_status = 502
