"""What the callers' interface needs for plain services."""

from __future__ import annotations

from typing import Protocol

from medlarvale.ids import BookingKey
from medlarvale.plain.messages import PlainAnswer, PlainCall


class PlainDispatcher(Protocol):
    """Sends calls to backend servers."""

    async def dispatch_idempotent(self, call: PlainCall) -> PlainAnswer:
        """Runs an idempotent call, on another server if one fails.

        Raises:
            MedlarvaleError: no server answered; the error's outcome says what is true.
        """

    async def dispatch_once(self, call: PlainCall) -> PlainAnswer:
        """Runs a call that may not be repeated.

        It tries another server only where connecting failed, so that nothing was written.

        Raises:
            MedlarvaleError: outcome ``NOT_RUN`` only if no byte reached any server, else
                ``UNKNOWN``.
        """


class BookingService(Protocol):
    """Runs calls at most once for each key, at whichever host owns the key."""

    async def submit(self, key: BookingKey, call: PlainCall) -> PlainAnswer:
        """Returns the one answer for ``key``, running the call if no host may have run it yet.

        Raises:
            MedlarvaleError: the verdict for the key; the error's outcome says what is true.
        """
