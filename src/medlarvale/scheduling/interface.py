"""What the request path needs from the scheduler."""

from __future__ import annotations

from typing import Protocol

from medlarvale.scheduling.messages import Placed, Progress, Release, Reserve


class Placement(Protocol):
    """Places attempts on engines, through the booker of the engine group."""

    async def reserve(self, request: Reserve) -> Placed:
        """Returns a place; waits while the request is queued within its deadline.

        Raises:
            MedlarvaleError: refused, with outcome ``NOT_RUN`` and a retry-after.
        """

    def report(self, progress: Progress) -> None:
        """Tells the booker how far an attempt has come; does not wait."""

    def release(self, release: Release) -> None:
        """Ends the reservation of an attempt; does not wait."""
