"""Errors of the stand-in engine, answered as ``{"error": {"code", "message"}}``."""

from medlarvale.errors import MedlarvaleError, Outcome


class EngineError(MedlarvaleError):
    """A call that the engine refuses."""

    code = "engine_error"
    outcome = Outcome.NOT_RUN
    http_status = 409


class BadRequestError(EngineError):
    """The call is malformed."""

    code = "bad_request"
    http_status = 400


class EngineFullError(EngineError):
    """No slot or not enough pieces are free."""

    code = "engine_full"


class StaleAttemptError(EngineError):
    """The attempt was cancelled, or a newer attempt of the request is known."""

    code = "stale_attempt"


class DuplicateAttemptError(EngineError):
    """The attempt already runs here."""

    code = "duplicate_attempt"


class WrongRoleError(EngineError):
    """The engine's role does not serve this call."""

    code = "wrong_role"


class WrongModelError(EngineError):
    """The engine has loaded another model."""

    code = "wrong_model"


class NoReservationError(EngineError):
    """Import without a live reservation of the same attempt."""

    code = "no_reservation"


class ReservationTooSmallError(EngineError):
    """The KV cache needs more pieces than reserved."""

    code = "reservation_too_small"


class UnknownRequestError(EngineError):
    """The engine holds nothing for the attempt; it may have expired or been cancelled."""

    code = "unknown_request"
    http_status = 404


class UnknownKvError(EngineError):
    """The KV handle has expired, was imported or never existed."""

    code = "unknown_kv"
    http_status = 404


class PositionError(EngineError):
    """The position lies beyond the tokens that the engine can stream."""

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
    """The order carries an older fencing number than one already obeyed."""

    code = "stale_fencing"
