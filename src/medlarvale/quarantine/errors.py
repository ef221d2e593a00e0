"""Errors of the quarantine."""

from medlarvale.errors import MedlarvaleError, Outcome


class RequestQuarantinedError(MedlarvaleError):
    """Too many servers were lost while they ran the request; it was not run."""

    code = "request_quarantined"
    outcome = Outcome.NOT_RUN
    http_status = 422
