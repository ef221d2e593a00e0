"""Permits by which the owner of a fingerprint lets one copy of a suspect run at a time."""

from __future__ import annotations

import msgspec

from medlarvale.ids import HostIdentity
from medlarvale.quarantine.messages import Evidence, PermitAnswer, PermitId, PermitVerdict
from medlarvale.quarantine.suspects import SuspectTable

# A holder renews every 500 ms; a permit outlives three lost renewals, and a dead holder by 2 s.
PERMIT_MS = 2_000.0


class Permit(msgspec.Struct, frozen=True):
    """A running copy and the monotonic time up to which the owner takes it to run."""

    holder: HostIdentity
    token: int
    until_ms: float


class PermitTable:
    """Permits that this host has given as owner, one for each fingerprint.

    Args:
        started_ms: monotonic time from which this host has received renewals.
    """

    def __init__(self, started_ms: float) -> None:
        self._permits: dict[int, Permit] = {}
        self._settled_at_ms = started_ms + PERMIT_MS

    def unsettle(self, now_ms: float) -> None:
        """Gives no new permits for one permit time.

        After a change of the live hosts a fingerprint may have moved here while its holder still
        runs; within this time the holder's renewal arrives.
        """
        self._settled_at_ms = now_ms + PERMIT_MS

    def acquire(self, permit: PermitId, holder: HostIdentity, now_ms: float) -> bool:
        """Gives the permit if no other copy has it; repeating the call changes nothing."""
        current = self._current(permit.fingerprint, now_ms)
        if current is None:
            if now_ms < self._settled_at_ms:
                return False
        elif (current.holder, current.token) != (holder, permit.token):
            return False
        self._permits[permit.fingerprint] = Permit(holder, permit.token, now_ms + PERMIT_MS)
        return True

    def renew(self, permit: PermitId, holder: HostIdentity, now_ms: float) -> None:
        """Prolongs a permit, or takes it over from an earlier owner if none is known."""
        current = self._current(permit.fingerprint, now_ms)
        if current is None or (current.holder, current.token) == (holder, permit.token):
            self._permits[permit.fingerprint] = Permit(holder, permit.token, now_ms + PERMIT_MS)

    def release(self, permit: PermitId, holder: HostIdentity) -> None:
        """Ends a permit; a late or repeated call does not touch another copy's permit."""
        current = self._permits.get(permit.fingerprint)
        if current is not None and (current.holder, current.token) == (holder, permit.token):
            del self._permits[permit.fingerprint]

    def expire(self, now_ms: float) -> None:
        """Drops permits that were not renewed."""
        for fingerprint in [f for f, held in self._permits.items() if held.until_ms <= now_ms]:
            del self._permits[fingerprint]

    def _current(self, fingerprint: int, now_ms: float) -> Permit | None:
        current = self._permits.get(fingerprint)
        return current if current is not None and current.until_ms > now_ms else None


def answer_acquire(
    book: SuspectTable,
    table: PermitTable,
    permit: PermitId,
    holder: HostIdentity,
    evidence: Evidence,
    now_ms: float,
    wall_ms: int,
) -> PermitAnswer:
    """Returns the owner's answer to a host that wants to run a suspect.

    Args:
        evidence: what the asking host knows; it is merged first.
    """
    book.merge(evidence)
    if book.quarantine_left_ms(permit.fingerprint, wall_ms) > 0:
        verdict = PermitVerdict.QUARANTINED
    elif table.acquire(permit, holder, now_ms):
        verdict = PermitVerdict.GRANTED
    else:
        verdict = PermitVerdict.BUSY
    return PermitAnswer(verdict, book.evidence_of(permit.fingerprint))
