"""The answer or error that a caller receives for each verdict."""

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
    VerdictKind.RUNNING: "the call is still running; repeat it with the same key to get its answer",
    VerdictKind.UNKNOWN: "the call may have run; it will not run again under this key",
    VerdictKind.NOT_RUN: "the call did not run and will not run under this key",
    VerdictKind.KEY_REUSED: "the idempotency key was already used for a different call",
    VerdictKind.KEY_EXPIRED: "the idempotency key is older than the retention time of verdicts",
    VerdictKind.KEY_FROM_FUTURE: "the idempotency key's time of issue is in the future",
    VerdictKind.LEDGER_FULL: "the verdict ledger of the idempotency key's owner is full",
    VerdictKind.NOT_OWNER: "no host that holds a lease for the idempotency key answered in time",
}


def answer_or_raise(verdict: Verdict) -> PlainAnswer:
    """Returns the answer of an ``ANSWERED`` verdict.

    Raises:
        MedlarvaleError: for any other verdict.
    """
    if verdict.kind is VerdictKind.ANSWERED and verdict.answer is not None:
        return verdict.answer
    raise _ERRORS[verdict.kind](verdict.detail or _DETAILS[verdict.kind])
