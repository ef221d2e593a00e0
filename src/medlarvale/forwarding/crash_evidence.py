"""Decides which requests crash servers, from the servers lost while requests ran; without I/O."""

from __future__ import annotations

from collections.abc import Iterable

from medlarvale.forwarding.messages import RequestIdentity
from medlarvale.quarantine.messages import Evidence, Loss, LossEvent
from medlarvale.quarantine.suspects import QuarantineLimits, SuspectTable

# An answer that has gone on for this long after its first event shows that the request does not
# crash the server on which it runs.
CLEAN_RUN_MS = 1_000.0
# A request is not blamed for losses up to this long after such an answer. Longer than the restart
# of all servers of a service, so that the requests that wait for it are not blamed together.
CLEAN_WINDOW_MS = 30_000


class CrashEvidence:
    """Losses and clean runs by fingerprint."""

    def __init__(self) -> None:
        self._suspects = SuspectTable(QuarantineLimits())

    def evidence_of(self, fingerprint: int) -> Evidence:
        """Returns the evidence about a fingerprint, which is empty for an unknown one."""
        return self._suspects.evidence_of(fingerprint)

    def record_loss(self, identity: RequestIdentity, event: LossEvent, wall_ms: int) -> list[int]:
        """Records that a server was lost while a request ran on it.

        Returns:
            The fingerprints about which this is new evidence.
        """
        loss = Loss(wall_ms, event)
        return [
            fingerprint
            for fingerprint in identity.fingerprints
            if self._suspects.record_loss(fingerprint, loss)
        ]

    def record_clean_run(self, identity: RequestIdentity, wall_ms: int) -> list[int]:
        """Records that a request ran without crashing its server.

        Returns:
            The fingerprints about which this is new evidence.
        """
        return [
            fingerprint
            for fingerprint in identity.fingerprints
            if self._suspects.crash_count(fingerprint, wall_ms)
            and self._suspects.merge(Evidence(fingerprint, (), wall_ms + CLEAN_WINDOW_MS))
        ]

    def merge(self, evidence: Iterable[Evidence]) -> None:
        """Merges evidence of a peer."""
        for entry in evidence:
            self._suspects.merge(entry)

    def quarantine_left_ms(self, identity: RequestIdentity, wall_ms: int) -> int:
        """Returns the remaining time for which a request is refused; 0 if it may run."""
        return max(
            self._suspects.quarantine_left_ms(fingerprint, wall_ms)
            for fingerprint in identity.fingerprints
        )

    def expire(self, wall_ms: int) -> None:
        """Removes old evidence."""
        self._suspects.expire(wall_ms)
