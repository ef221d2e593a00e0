"""Interface through which the request path stops requests that crash servers."""

from __future__ import annotations

from typing import Protocol

from medlarvale.ids import ServerId


class CrashGuard(Protocol):
    """Admits requests by fingerprint and records the loss of servers."""

    async def admit(self, fingerprint: int) -> bool:
        """Returns whether the request has to be isolated from other suspects.

        A suspect waits here until no other copy of it runs in the cell. Called before each
        placement, including those after a restart; one call of ``ended`` follows each return.

        Raises:
            RequestQuarantinedError: the request crashed too many servers; this attempt was not
                run. After a restart the caller must still get the outcome ``UNKNOWN``, because an
                earlier attempt of its request did run.
        """

    def started(self, fingerprint: int, server: ServerId) -> None:
        """Records that the request now runs on a server."""

    def finished(self, fingerprint: int, server: ServerId, *, server_lost: bool) -> None:
        """Records that a run on a server ended, and whether because the server was lost."""

    def ended(self, fingerprint: int, *, answered: bool) -> None:
        """Records the end of an admitted attempt.

        Only a complete answer clears a suspect: a request may complete on the prefill
        engine and still crash the decode engine.

        Args:
            answered: the attempt produced its complete answer.
        """
