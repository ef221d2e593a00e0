"""Detects that this host can't reach anything outside its failure domain."""

from __future__ import annotations

from medlarvale.ids import ServerId

# Number of servers in other failure domains that must fail without a contact in between: a single
# one may be down.
MIN_FAILED_SERVERS = 2
# Calls in progress at the start of a partition may still succeed.
RECENT_CONTACT_MS = 300.0
# Peers get a hello every 500 ms, so a silence of this length is not caused by a single lost
# message.
SILENT_MS = 2_500.0


class IsolationDetector:
    """Tracks the last contact with other failure domains and the failures since then."""

    def __init__(self) -> None:
        self._contact_ms: float | None = None
        self._failed: set[ServerId] = set()

    def note_contact(self, now_ms: float) -> None:
        """Records an answer from a server, peer or store outside the failure domain."""
        self._contact_ms = now_ms
        self._failed.clear()

    def note_failure(self, server: ServerId) -> None:
        """Records that a server outside the failure domain was unreachable."""
        self._failed.add(server)

    def is_isolated(self, now_ms: float) -> bool:
        """Returns whether the failure domain seems isolated; False before the first contact."""
        if self._contact_ms is None:
            return False
        silent_ms = now_ms - self._contact_ms
        failing = len(self._failed) >= MIN_FAILED_SERVERS and silent_ms > RECENT_CONTACT_MS
        return failing or silent_ms > SILENT_MS
