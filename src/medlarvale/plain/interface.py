"""Interfaces through which the callers' API sends calls to plain services."""

from __future__ import annotations

from typing import Protocol

from medlarvale.ids import BookingKey
from medlarvale.plain.messages import PlainAnswer, PlainCall


class PlainDispatcher(Protocol):
    """Sends calls to servers of plain services."""

    async def dispatch_idempotent(self, call: PlainCall) -> PlainAnswer:
        """Runs an idempotent call; retries it on another server if one fails.

        Raises:
            MedlarvaleError: no server answered; the error's outcome shows whether the call ran.
        """

    async def dispatch_once(self, call: PlainCall) -> PlainAnswer:
        """Runs a call that may not be repeated.

        It tries another server only if no connection was made, because nothing was written then.

        Raises:
            MedlarvaleError: outcome ``NOT_RUN`` only if no byte reached any server, else
                ``UNKNOWN``.
        """


class BookingService(Protocol):
    """Runs calls at most once for each key, at the host that owns the key."""

    async def submit(self, key: BookingKey, call: PlainCall) -> PlainAnswer:
        """Returns the one answer for ``key``; runs the call only if no host can have run it yet.

        Raises:
            MedlarvaleError: the verdict for the key; the error's outcome shows whether the call
                ran.
        """
