"""Refusals of uploads; all are raised before a backend server has been sent anything."""

from __future__ import annotations

from medlarvale.errors import Outcome
from medlarvale.forwarding.errors import ForwardingError

# Stalled bodies give way at once, and whole ones go with the end of their requests.
ROOM_RETRY_MS = 500


class NoRoomError(ForwardingError):
    """The bodies of requests in progress take too much memory; the request has not run."""

    code = "upload_dropped"
    outcome = Outcome.NOT_RUN
    http_status = 503

    def __init__(self, message: str) -> None:
        super().__init__(message, retry_after_ms=ROOM_RETRY_MS)


class UploadStalledError(ForwardingError):
    """Nothing of the rest of a body has arrived for the idle timeout."""

    code = "upload_stalled"
    outcome = Outcome.NOT_RUN
    http_status = 408


class MalformedHttpError(ForwardingError):
    """A request is not well-formed HTTP/1.1."""

    code = "malformed_http"
    outcome = Outcome.NOT_RUN
    http_status = 400


class HeadTooLargeError(ForwardingError):
    """The headers of a request are larger than the host accepts."""

    code = "head_too_large"
    outcome = Outcome.NOT_RUN
    http_status = 431
