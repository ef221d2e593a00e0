"""Errors of calls to plain services."""

from __future__ import annotations

from medlarvale.errors import MedlarvaleError, Outcome


class PlainCallError(MedlarvaleError):
    """A call to a plain service failed without an answer."""

    code = "plain_call_failed"
    http_status = 502


class NoPlainServerError(PlainCallError):
    """No server of the service accepts work, so nothing was sent."""

    code = "no_plain_server"
    outcome = Outcome.NOT_RUN
    http_status = 503


class PlainUnreachableError(PlainCallError):
    """No connection to any server of the service could be made, so nothing was sent."""

    code = "plain_unreachable"
    outcome = Outcome.NOT_RUN


class PlainOutcomeUnknownError(PlainCallError):
    """The connection failed after the call may have reached a server."""

    code = "plain_outcome_unknown"


class PlainTimeoutError(PlainCallError):
    """The deadline passed after the call may have reached a server."""

    code = "plain_timeout"
    http_status = 504


class PlainNotSentError(PlainCallError):
    """The deadline passed before a connection to a server was made, so nothing was sent."""

    code = "plain_not_sent"
    outcome = Outcome.NOT_RUN
    http_status = 504


class PlainAnswerTooLargeError(PlainCallError):
    """The server's answer exceeds the size that this host forwards; the call has run."""

    code = "plain_answer_too_large"
