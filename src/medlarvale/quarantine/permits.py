"""Permits from a fingerprint's owner, which let one copy of a suspect run at a time."""

from __future__ import annotations

import msgspec

from medlarvale.ids import HostIdentity
from medlarvale.quarantine.messages import Evidence, PermitAnswer, PermitId, PermitVerdict
from medlarvale.quarantine.suspects import SuspectTable

# A holder renews every 500 ms, so a permit survives three lost renewals and expires 2 s after the
# last renewal of a crashed holder.
PERMIT_MS = 2_000.0


class Permit(msgspec.Struct, frozen=True):
    """A running copy and the monotonic time until which the owner assumes that it runs."""

    holder: HostIdentity
    token: int
    until_ms: float


class PermitTable:
    """Permits that this host has granted as owner, at most one per fingerprint.

    Args:
        started_ms: monotonic time since which this host receives renewals.
    """

    def __init__(self, started_ms: float) -> None:
        self._permits: dict[int, Permit] = {}
        self._grants_resume_at_ms = started_ms + PERMIT_MS

    def suspend_grants(self, now_ms: float) -> None:
        """Grants no new permits for ``PERMIT_MS``.

        After a change of the live hosts this host may have become the owner of a fingerprint whose
        permit holder still runs; within this time the holder's renewal arrives.
        """
        self._grants_resume_at_ms = now_ms + PERMIT_MS

    def acquire(self, permit: PermitId, holder: HostIdentity, now_ms: float) -> bool:
        """Grants the permit if no other copy holds it; a repeated call is idempotent."""
        current = self._current(permit.fingerprint, now_ms)
        if current is None:
            if now_ms < self._grants_resume_at_ms:
                return False
        elif (current.holder, current.token) != (holder, permit.token):
            return False
        self._permits[permit.fingerprint] = Permit(holder, permit.token, now_ms + PERMIT_MS)
        return True

    def renew(self, permit: PermitId, holder: HostIdentity, now_ms: float) -> None:
        """Extends a permit, or adopts one that an earlier owner granted if none is known."""
        current = self._current(permit.fingerprint, now_ms)
        if current is None or (current.holder, current.token) == (holder, permit.token):
            self._permits[permit.fingerprint] = Permit(holder, permit.token, now_ms + PERMIT_MS)

    def release(self, permit: PermitId, holder: HostIdentity) -> None:
        """Ends a permit; a late or repeated call does not end the permit of another copy."""
        current = self._permits.get(permit.fingerprint)
        if current is not None and (current.holder, current.token) == (holder, permit.token):
            del self._permits[permit.fingerprint]

    def expire(self, now_ms: float) -> None:
        """Removes permits that were not renewed."""
        for fingerprint in [f for f, held in self._permits.items() if held.until_ms <= now_ms]:
            del self._permits[fingerprint]

    def _current(self, fingerprint: int, now_ms: float) -> Permit | None:
        current = self._permits.get(fingerprint)
        return current if current is not None and current.until_ms > now_ms else None


def answer_acquire(
    suspects: SuspectTable,
    table: PermitTable,
    permit: PermitId,
    holder: HostIdentity,
    evidence: Evidence,
    now_ms: float,
    wall_ms: int,
) -> PermitAnswer:
    """Returns the owner's answer to a host that wants to run a suspect.

    Args:
        evidence: evidence of the requesting host, which is merged first.
    """
    suspects.merge(evidence)
    if suspects.quarantine_left_ms(permit.fingerprint, wall_ms) > 0:
        verdict = PermitVerdict.QUARANTINED
    elif table.acquire(permit, holder, now_ms):
        verdict = PermitVerdict.GRANTED
    else:
        verdict = PermitVerdict.BUSY
    return PermitAnswer(verdict, suspects.evidence_of(permit.fingerprint))
