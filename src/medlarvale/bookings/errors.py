"""Errors of calls that may run at most once."""

from medlarvale.errors import MedlarvaleError, Outcome


class BookingError(MedlarvaleError):
    """Base of the errors of this layer; the outcome is unknown unless a subclass knows it."""

    code = "booking_error"
    outcome = Outcome.UNKNOWN
    http_status = 502


class KeyMalformedError(BookingError):
    """The idempotency key can't name any call, so nothing ran under it."""

    code = "idempotency_key_malformed"
    outcome = Outcome.NOT_RUN
    http_status = 400


class KeyExpiredError(BookingError):
    """The key is older than the time for which verdicts are kept."""

    code = "idempotency_key_expired"
    http_status = 422


class KeyFromFutureError(BookingError):
    """The key's time of issue is further ahead than the clock bound.

    The outcome is unknown: a host whose clock is ahead may have accepted the key.
    """

    code = "idempotency_key_in_future"
    http_status = 422


class KeyReusedError(BookingError):
    """The key already names another call; this one did not run."""

    code = "idempotency_key_reused"
    outcome = Outcome.NOT_RUN
    http_status = 422


class OwnerUnavailableError(BookingError):
    """No host with a lease for the key answered within the deadline."""

    code = "booking_owner_unavailable"
    http_status = 503


class BookingUnknownError(BookingError):
    """The call may have run; it is not run again."""

    code = "booking_outcome_unknown"
    http_status = 502


class BookingNotRunError(BookingError):
    """The call did not run, and will not run under this key."""

    code = "booking_not_run"
    outcome = Outcome.NOT_RUN
    http_status = 503


class LedgerFullError(BookingError):
    """The host keeps as many verdicts as it may."""

    code = "booking_ledger_full"
    http_status = 503
