"""What the request path needs to stop requests that crash servers."""

from __future__ import annotations

from typing import Protocol

from medlarvale.ids import ServerId


class CrashGuard(Protocol):
    """Admits requests by their fingerprint and learns of lost servers."""

    async def admit(self, fingerprint: int) -> bool:
        """Returns whether the request has to be isolated from other suspects.

        A suspect waits here until no other copy of it runs in the cell. Called before each
        placement, those after a restart included; each return is followed by one ``ended``.

        Raises:
            RequestQuarantinedError: the request crashed too many servers; this attempt was not
                run. After a restart the caller must hear ``UNKNOWN`` all the same, since an
                earlier attempt of its request did run.
        """

    def started(self, fingerprint: int, server: ServerId) -> None:
        """Records that the request now runs on a server."""

    def finished(self, fingerprint: int, server: ServerId, *, server_lost: bool) -> None:
        """Records that the request left a server, and whether the server was lost under it."""

    def ended(self, fingerprint: int, *, answered: bool) -> None:
        """Records the end of an admitted attempt.

        Leaving one server unharmed proves nothing, since a request may pass the prefill engine
        and crash the decode engine; only a whole answer clears a suspect.

        Args:
            answered: the attempt ran to the end of its answer.
        """
