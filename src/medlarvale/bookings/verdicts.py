"""What a caller is told for each verdict."""

from __future__ import annotations

from medlarvale.bookings.errors import (
    BookingNotRunError,
    BookingUnknownError,
    KeyExpiredError,
    KeyFromFutureError,
    KeyReusedError,
    LedgerFullError,
    OwnerUnavailableError,
)
from medlarvale.bookings.messages import Verdict, VerdictKind
from medlarvale.errors import MedlarvaleError
from medlarvale.plain.messages import PlainAnswer

_ERRORS: dict[VerdictKind, type[MedlarvaleError]] = {
    VerdictKind.RUNNING: BookingUnknownError,
    VerdictKind.UNKNOWN: BookingUnknownError,
    VerdictKind.NOT_RUN: BookingNotRunError,
    VerdictKind.KEY_REUSED: KeyReusedError,
    VerdictKind.KEY_EXPIRED: KeyExpiredError,
    VerdictKind.KEY_FROM_FUTURE: KeyFromFutureError,
    VerdictKind.LEDGER_FULL: LedgerFullError,
    VerdictKind.NOT_OWNER: OwnerUnavailableError,
}

_DETAILS = {
    VerdictKind.RUNNING: "the call still runs; repeat it with the same key for its answer",
    VerdictKind.UNKNOWN: "the call may have run; it is not run again under this key",
    VerdictKind.NOT_RUN: "the call did not run and will not run under this key",
    VerdictKind.KEY_REUSED: "the idempotency key already names another call",
    VerdictKind.KEY_EXPIRED: "the idempotency key is older than verdicts are kept",
    VerdictKind.KEY_FROM_FUTURE: "the idempotency key's time of issue lies in the future",
    VerdictKind.LEDGER_FULL: "the owner of the idempotency key keeps too many verdicts",
    VerdictKind.NOT_OWNER: "no host that may run the idempotency key answered in time",
}


def answer_of(verdict: Verdict) -> PlainAnswer:
    """Returns the answer of a verdict.

    Raises:
        MedlarvaleError: for any verdict but ``ANSWERED``.
    """
    if verdict.kind is VerdictKind.ANSWERED and verdict.answer is not None:
        return verdict.answer
    raise _ERRORS[verdict.kind](verdict.detail or _DETAILS[verdict.kind])
