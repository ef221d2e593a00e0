"""Errors of the forwarding path."""

from __future__ import annotations

from medlarvale.errors import MedlarvaleError, Outcome


class ForwardingError(MedlarvaleError):
    """Base of the errors that end a forwarded request."""

    code = "forwarding_failed"


class NotReadyError(ForwardingError):
    """No configuration is known yet."""

    code = "not_ready"
    outcome = Outcome.NOT_RUN
    http_status = 503


class NoRouteError(ForwardingError):
    """No route leads from the host name and path."""

    code = "no_route"
    outcome = Outcome.NOT_RUN
    http_status = 404


class BodyTooLargeError(ForwardingError):
    """The body is larger than the configuration allows."""

    code = "forwarded_body_too_large"
    outcome = Outcome.NOT_RUN
    http_status = 413


class OverloadedError(ForwardingError):
    """No backend server has room, or will have it in time; the request has not run."""

    code = "no_capacity"
    outcome = Outcome.NOT_RUN
    http_status = 503


class CrashingRequestError(ForwardingError):
    """The request was on several servers when they were lost; it has not run again."""

    code = "crashing_request"
    outcome = Outcome.NOT_RUN
    http_status = 503


class OutcomeUnknownError(ForwardingError):
    """A backend server may have run the request, but its answer is lost."""

    code = "answer_lost"
    http_status = 502


class RequestTimeoutError(ForwardingError):
    """The time of the route or of the caller is over after the request was sent."""

    code = "route_timeout"
    http_status = 504


class StreamBrokenError(ForwardingError):
    """A stream that has begun can't go on; its connection is closed without an end."""

    code = "stream_broken"


class BackendError(ForwardingError):
    """A call to a backend server failed."""

    code = "backend_failed"
    http_status = 502


class NotSentError(BackendError):
    """No connection was made, so the server has not seen the request."""

    code = "backend_unreachable"
    outcome = Outcome.NOT_RUN


class RejectedError(BackendError):
    """The backend server says that it has not run the request.

    Attributes:
        full: whether the server has no room; otherwise it is another one or of another stage.
    """

    code = "backend_rejected"
    outcome = Outcome.NOT_RUN

    def __init__(self, message: str = "", *, full: bool = True) -> None:
        super().__init__(message)
        self.full = full


class PublishedStateError(ForwardingError):
    """The platform's state could not be read."""

    code = "published_state_failed"


class HistoryGoneError(PublishedStateError):
    """The changes since a revision are no longer known; everything has to be read again."""

    code = "published_history_gone"
