"""What the request path needs to stop requests that crash servers."""

from __future__ import annotations

from typing import Protocol

from medlarvale.ids import ServerId


class CrashGuard(Protocol):
    """Admits requests by their fingerprint and learns of lost servers."""

    async def admit(self, fingerprint: int) -> bool:
        """Returns whether the request has to be isolated from other suspects.

        A suspect waits here until no other copy of it runs in the cell.

        Raises:
            RequestQuarantinedError: the request crashed too many servers; nothing was run.
        """

    def started(self, fingerprint: int, server: ServerId) -> None:
        """Records that the request now runs on a server."""

    def finished(self, fingerprint: int, server: ServerId, *, server_lost: bool) -> None:
        """Records that the request left a server, and whether the server was lost under it."""
