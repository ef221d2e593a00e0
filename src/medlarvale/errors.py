"""Base of all errors that carry a stable code and say what became of the request."""

from __future__ import annotations

import enum


class Outcome(enum.Enum):
    """What is true of a request when its caller receives an answer or an error."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class MedlarvaleError(Exception):
    """An error with a stable code.

    Subclasses set the class attributes. ``outcome`` defaults to ``UNKNOWN``: only a subclass
    raised where nothing was dispatched may claim ``NOT_RUN``.

    Attributes:
        code: stable identifier, listed in docs/errors.md.
        outcome: what is true of the request.
        http_status: status of the HTTP answer to the caller.
        retry_after_ms: when a new try is worth while, if known.
    """

    code: str = "internal_error"
    outcome: Outcome = Outcome.UNKNOWN
    http_status: int = 500

    def __init__(self, message: str = "", *, retry_after_ms: int | None = None) -> None:
        super().__init__(message or self.code)
        self.message = message or self.code
        self.retry_after_ms = retry_after_ms
