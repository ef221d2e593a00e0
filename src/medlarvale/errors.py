"""Base class of all errors that have a stable code and the outcome of the request."""

from __future__ import annotations

import enum

import msgspec

# Besides its own errors, msgspec raises RecursionError for deep nesting, also in ignored fields.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


class Outcome(enum.Enum):
    """Outcome of a request at the time its caller receives an answer or an error."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class MedlarvaleError(Exception):
    """An error with a stable code.

    Subclasses set the class attributes. ``outcome`` defaults to ``UNKNOWN``, because only an error
    that is raised where nothing was dispatched may state ``NOT_RUN``.

    Attributes:
        code: stable identifier, listed in docs/errors.md.
        outcome: outcome of the request.
        http_status: status of the HTTP response to the caller.
        retry_after_ms: time after which a retry may succeed, None if unknown.
    """

    code: str = "internal_error"
    outcome: Outcome = Outcome.UNKNOWN
    http_status: int = 500

    def __init__(self, message: str = "", *, retry_after_ms: int | None = None) -> None:
        super().__init__(message or self.code)
        self.message = message or self.code
        self.retry_after_ms = retry_after_ms
