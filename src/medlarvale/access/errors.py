"""Errors of requests that are refused because of their API key; none of them has run."""

from __future__ import annotations

from medlarvale.errors import Outcome
from medlarvale.forwarding.errors import ForwardingError


class KeyMissingError(ForwardingError):
    """The route is not public, and the request has no API key."""

    code = "forwarded_key_missing"
    outcome = Outcome.NOT_RUN
    http_status = 401


class KeyUnknownError(ForwardingError):
    """The configuration lists no workspace with the API key."""

    code = "forwarded_key_unknown"
    outcome = Outcome.NOT_RUN
    http_status = 401


class ConfigUnconfirmedError(ForwardingError):
    """This host can't tell whether a newer configuration accepts the API key."""

    code = "config_unconfirmed"
    outcome = Outcome.NOT_RUN
    http_status = 503
