"""Errors of the forwarding path."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarvale.errors import MedlarvaleError, Outcome
from medlarvale.forwarding.messages import ClientRequest
from medlarvale.ids import SoftwareVersion

if TYPE_CHECKING:
    from medlarvale.forwarding.interface import BackendAnswer


class ForwardingError(MedlarvaleError):
    """Base of the errors that end a forwarded request."""

    code = "forwarding_failed"


class UnexpectedError(ForwardingError):
    """An error that nothing else handles ended the request."""

    code = "unexpected_error"


class CallerGoneError(ForwardingError):
    """The caller reset its connection while the answer was being written."""

    code = "caller_reset"


class NotReadyError(ForwardingError):
    """No configuration is known yet."""

    code = "not_ready"
    outcome = Outcome.NOT_RUN
    http_status = 503


class NoRouteError(ForwardingError):
    """No route matches the host name and path."""

    code = "no_route"
    outcome = Outcome.NOT_RUN
    http_status = 404


class RequestIdMissingError(ForwardingError):
    """The request has no id, so that its answer could not be told from those of others."""

    code = "request_id_missing"
    outcome = Outcome.NOT_RUN
    http_status = 400


class BodyTooLargeError(ForwardingError):
    """The body is larger than the configuration allows."""

    code = "forwarded_body_too_large"
    outcome = Outcome.NOT_RUN
    http_status = 413


class OverloadedError(ForwardingError):
    """No backend server has capacity now or in time; the request has not run."""

    code = "no_capacity"
    outcome = Outcome.NOT_RUN
    http_status = 503


class VersionGoneError(OverloadedError):
    """No backend server runs the software version that began the stream; nothing has run."""

    code = "version_gone"


class VersionUnknownError(OverloadedError):
    """More than one software version may have begun the stream; the rest has not run."""

    code = "version_unknown"


class CrashingRequestError(ForwardingError):
    """The request was running on several servers when they crashed; it has not run again."""

    code = "crashing_request"
    outcome = Outcome.NOT_RUN
    http_status = 503


class OutcomeUnknownError(ForwardingError):
    """A backend server may have run the request, but its answer is lost."""

    code = "answer_lost"
    http_status = 502


class RequestTimeoutError(ForwardingError):
    """The deadline of the route or the caller passed after the request was sent."""

    code = "route_timeout"
    http_status = 504


class HandOverError(ForwardingError):
    """The engines of a stream can't be reached from this host; a peer may be able to go on.

    Attributes:
        rest: the request for what the caller has not received yet.
        software: version of the software that began the stream; None if nothing was sent.
        answer: the answer with which a peer has accepted it; None if none was asked yet.
    """

    code = "stream_handed_over"

    def __init__(
        self,
        rest: ClientRequest,
        software: SoftwareVersion | None,
        answer: BackendAnswer | None = None,
    ) -> None:
        super().__init__("the engines can't be reached from this host")
        self.rest = rest
        self.software = software
        self.answer = answer


class HostStoppedError(ForwardingError):
    """The grace period of this host ended before the answer, and the request may have run."""

    code = "host_stopped"
    http_status = 504


class StreamBrokenError(ForwardingError):
    """A started stream can't continue; its connection is closed without an end of the body."""

    code = "stream_broken"


class BackendError(ForwardingError):
    """A call to a backend server failed."""

    code = "backend_failed"
    http_status = 502


class NotSentError(BackendError):
    """No connection was established, so the server has not received the request."""

    code = "backend_unreachable"
    outcome = Outcome.NOT_RUN


class ServerDownError(NotSentError):
    """The server's host answers, but no process accepts connections at its address."""

    code = "backend_down"


class LateAnswerError(BackendError):
    """The time of the request ended before the head of the answer; the server may be sound."""

    code = "backend_late"
    http_status = 504


class UnprovenEndError(BackendError):
    """A connection ended in order, and nothing shows that the answer on it was whole."""

    code = "end_unproven"


class SilentEngineError(BackendError):
    """An engine was silent for too long, and another one takes over."""

    code = "engine_silent"


class RejectedError(BackendError):
    """The backend server reports that it has not run the request.

    Attributes:
        full: whether the server has no capacity; otherwise the server was replaced or serves
            another stage.
    """

    code = "backend_rejected"
    outcome = Outcome.NOT_RUN

    def __init__(
        self, message: str = "", *, full: bool = True, retry_after_ms: int | None = None
    ) -> None:
        super().__init__(message, retry_after_ms=retry_after_ms)
        self.full = full


class EngineWithdrawnError(RejectedError):
    """An engine drains or wants no requests for a time; the one it has memory for was not sent."""

    code = "engine_withdrawn"

    def __init__(self, message: str) -> None:
        super().__init__(message, full=False)


class RelayRefusedError(ForwardingError):
    """A relayed request can't be accepted; it has not run."""

    code = "relay_refused"
    outcome = Outcome.NOT_RUN
    http_status = 503


class PublishedStateError(ForwardingError):
    """The platform's state could not be read."""

    code = "published_state_failed"


class WatchCutError(PublishedStateError):
    """The connection of a waiting watch ended or fell silent, which doesn't show an outage."""

    code = "published_watch_cut"


class HistoryGoneError(PublishedStateError):
    """The changes since a revision are no longer available; the full state must be read again."""

    code = "published_history_gone"


class FiguresError(MedlarvaleError):
    """The engine figures of a peer can't be decoded or can't be those of any measurements."""

    code = "figures_invalid"
