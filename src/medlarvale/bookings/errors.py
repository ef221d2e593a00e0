"""Errors of at-most-once calls."""

from medlarvale.errors import MedlarvaleError, Outcome


class BookingError(MedlarvaleError):
    """Base class; the outcome is unknown unless a subclass states another."""

    code = "booking_error"
    outcome = Outcome.UNKNOWN
    http_status = 502


class KeyMalformedError(BookingError):
    """The idempotency key is not valid, so no call ran under it."""

    code = "idempotency_key_malformed"
    outcome = Outcome.NOT_RUN
    http_status = 400


class KeyExpiredError(BookingError):
    """The key is older than the retention time of verdicts."""

    code = "idempotency_key_expired"
    http_status = 422


class KeyFromFutureError(BookingError):
    """The key's time of issue is further in the future than the clock bound allows.

    The outcome is unknown: a host whose clock is ahead may have accepted the key.
    """

    code = "idempotency_key_in_future"
    http_status = 422


class KeyReusedError(BookingError):
    """The key was already used for a different call; this call did not run."""

    code = "idempotency_key_reused"
    outcome = Outcome.NOT_RUN
    http_status = 422


class OwnerUnavailableError(BookingError):
    """No host that holds a lease for the key answered within the deadline."""

    code = "booking_owner_unavailable"
    http_status = 503


class BookingUnknownError(BookingError):
    """The call may have run; it is not retried."""

    code = "booking_outcome_unknown"
    http_status = 502


class BookingNotRunError(BookingError):
    """The call did not run, and will not run under this key."""

    code = "booking_not_run"
    outcome = Outcome.NOT_RUN
    http_status = 503


class LedgerFullError(BookingError):
    """The ledger of the host holds its maximum number of verdicts."""

    code = "booking_ledger_full"
    http_status = 503
