"""Errors of the model request path."""

from __future__ import annotations

from medlarvale.errors import MedlarvaleError, Outcome
from medlarvale.ids import ServerId


class CompletionError(MedlarvaleError):
    """A model request ended without a complete answer."""

    code = "completion_failed"
    http_status = 502


class RestartsExhaustedError(CompletionError):
    """All permitted attempts failed."""

    code = "restarts_exhausted"


class RestartRefusedError(CompletionError):
    """A later attempt could not be placed after an earlier one had run in part."""

    code = "restart_refused"
    http_status = 503


class DeadlineExceededError(CompletionError):
    """The caller's deadline passed while an engine worked on the request."""

    code = "deadline_exceeded"
    http_status = 504


class DeadlineBeforeStartError(CompletionError):
    """The caller's deadline passed before anything was sent to an engine."""

    code = "deadline_before_start"
    outcome = Outcome.NOT_RUN
    http_status = 504


class CallerGoneError(CompletionError):
    """The caller closed its connection or stopped reading; nobody receives this error."""

    code = "caller_gone"
    http_status = 499


class SequenceConflictError(CompletionError):
    """An engine sent a token or an end that contradicts what it sent before."""

    code = "sequence_conflict"


class EngineFaultError(CompletionError):
    """A call to an engine failed and ended the attempt; the request may be attempted again.

    Attributes:
        server: the engine.
        counts_against_server: the placement scheduler counts the failure against the engine.
        server_lost: the engine's process may have ended while it ran the request.
        exclude: later attempts of the request avoid the engine.
    """

    code = "engine_fault"
    counts_against_server = True
    server_lost = False
    exclude = True

    def __init__(self, server: ServerId, message: str = "") -> None:
        super().__init__(f"{server}: {message or self.code}")
        self.server = server


class EngineUnreachableError(EngineFaultError):
    """No connection to the engine could be established."""

    code = "engine_unreachable"
    server_lost = True


class EngineLostError(EngineFaultError):
    """The connection to the engine broke during a call or a stream."""

    code = "engine_lost"
    server_lost = True


class EngineStalledError(EngineFaultError):
    """The engine made no progress within the limit of the watchdog."""

    code = "engine_stalled"


class EngineProtocolError(EngineFaultError):
    """The engine's answer does not follow the protocol."""

    code = "engine_protocol_error"


class EngineFullError(EngineFaultError):
    """The decode engine has no free slot or too few free KV blocks."""

    code = "engine_full"
    counts_against_server = False
    exclude = False


class EngineLeavingError(EngineFaultError):
    """The engine is leaving and accepts no new work; nothing was sent to it."""

    code = "engine_leaving"
    counts_against_server = False


class EngineRefusedError(EngineFaultError):
    """The engine answered a call with an error status."""

    code = "engine_refused"


class TransferFailedError(EngineFaultError):
    """The decode engine could not fetch the KV cache; ``server`` is the prefill engine.

    The cause may be the link, an expired handle or the prefill engine, so the failure
    does not count against an engine.
    """

    code = "transfer_failed"
    counts_against_server = False
