"""Tells whether this host still reaches anything outside its failure domain."""

from __future__ import annotations

from medlarvale.ids import ServerId

# Servers of other failure domains that have to fail one after the other: one alone may be at fault.
FAILED_SERVERS = 2
# Contacts that are under way when a partition begins still end well.
RECENT_CONTACT_MS = 300.0
# Peers are greeted every 500 ms, so this silence is no coincidence.
SILENT_MS = 2_500.0


class IsolationDetector:
    """Last contact with other failure domains, and the failures since then."""

    def __init__(self) -> None:
        self._contact_ms: float | None = None
        self._failed: set[ServerId] = set()

    def note_contact(self, now_ms: float) -> None:
        """Records an answer from a server, peer or store outside the failure domain."""
        self._contact_ms = now_ms
        self._failed.clear()

    def note_failure(self, server: ServerId) -> None:
        """Records that a server outside could not be reached."""
        self._failed.add(server)

    def isolated(self, now_ms: float) -> bool:
        """Tells whether the failure domain seems cut off; False before the first contact."""
        if self._contact_ms is None:
            return False
        silent_ms = now_ms - self._contact_ms
        failing = len(self._failed) >= FAILED_SERVERS and silent_ms > RECENT_CONTACT_MS
        return failing or silent_ms > SILENT_MS
