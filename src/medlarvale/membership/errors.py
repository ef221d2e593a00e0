"""Errors of the membership layer."""

from medlarvale.errors import MedlarvaleError, Outcome


class HostListError(MedlarvaleError):
    """The platform's host list could not be read or is malformed."""

    code = "host_list_unavailable"
    outcome = Outcome.NOT_RUN
    http_status = 503
