"""Errors of the quarantine."""

from medlarvale.errors import MedlarvaleError, Outcome


class RequestQuarantinedError(MedlarvaleError):
    """The request was on too many servers when they were lost; it was not run."""

    code = "request_quarantined"
    outcome = Outcome.NOT_RUN
    http_status = 422
