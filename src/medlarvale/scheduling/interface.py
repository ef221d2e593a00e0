"""Interface of the placement scheduler for the request path."""

from __future__ import annotations

from typing import Protocol

from medlarvale.scheduling.messages import Placed, Progress, Release, Reserve


class Placement(Protocol):
    """Places attempts on engines through the placement scheduler of the engine group."""

    async def reserve(self, request: Reserve) -> Placed:
        """Returns a placement; waits while the request is queued, up to its deadline.

        Raises:
            MedlarvaleError: the request is refused; outcome ``NOT_RUN``, with a retry-after time.
        """

    def report(self, progress: Progress) -> None:
        """Reports the progress of an attempt to the scheduler; does not wait."""

    def release(self, release: Release) -> None:
        """Ends the reservation of an attempt; does not wait."""
