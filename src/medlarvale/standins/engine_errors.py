"""Errors of the stand-in engine, sent as ``{"error": {"code", "message"}}``."""

from medlarvale.errors import MedlarvaleError, Outcome


class EngineError(MedlarvaleError):
    """The engine refuses a call."""

    code = "engine_error"
    outcome = Outcome.NOT_RUN
    http_status = 409


class BadRequestError(EngineError):
    """The call is malformed."""

    code = "bad_request"
    http_status = 400


class EngineFullError(EngineError):
    """No slot or too few KV blocks are free."""

    code = "engine_full"


class StaleAttemptError(EngineError):
    """The attempt was cancelled or superseded by a newer attempt of its request."""

    code = "stale_attempt"


class DuplicateAttemptError(EngineError):
    """The attempt already runs on this engine."""

    code = "duplicate_attempt"


class WrongRoleError(EngineError):
    """The engine's role does not support this call."""

    code = "wrong_role"


class WrongModelError(EngineError):
    """The engine has loaded another model."""

    code = "wrong_model"


class NoReservationError(EngineError):
    """The attempt of an import call has no active reservation."""

    code = "no_reservation"


class ReservationTooSmallError(EngineError):
    """The KV cache needs more KV blocks than reserved."""

    code = "reservation_too_small"


class UnknownRequestError(EngineError):
    """The engine has no state for the attempt, which may have expired or been cancelled."""

    code = "unknown_request"
    http_status = 404


class UnknownKvError(EngineError):
    """The KV handle has expired, was imported or never existed."""

    code = "unknown_kv"
    http_status = 404


class PositionError(EngineError):
    """The position is beyond the tokens that the engine can stream."""

    code = "bad_position"


class TransferFailedError(EngineError):
    """The KV cache could not be pulled from the prefill engine."""

    code = "transfer_failed"
    http_status = 502


class AttemptCancelledError(EngineError):
    """The attempt was cancelled or expired while the call was open."""

    code = "cancelled"
    outcome = Outcome.UNKNOWN


class StaleFencingError(EngineError):
    """The fencing number is older than one that was already accepted."""

    code = "stale_fencing"
