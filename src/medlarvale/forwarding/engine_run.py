"""One run of a stream on an engine: its reservation, its prefilled prompt and its answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from medlarvale.forwarding.errors import NotSentError, RejectedError
from medlarvale.forwarding.interface import BackendAnswer
from medlarvale.forwarding.memory_request import Reservation
from medlarvale.forwarding.messages import PrefillResult
from medlarvale.forwarding.peer_continuation import PeerContinuation
from medlarvale.forwarding.servers import ServerLoad
from medlarvale.forwarding.silence import SilenceWatch


class EngineRun:
    """A run from its reservation on; ``close`` ends it and frees what it holds.

    Attributes:
        reservation: its memory.
        reserved_ms: monotonic time at which it was reserved.
        source: engine and handle of the prefilled prompt; None if the engine prefills it itself.
        resume_after: number of the last event that the caller had received when it was sent.
        sent_ms: monotonic time of the send.
        heard_ms: time of its last event; None before the first.
        watch: ends it when another run takes over; None before its answer is passed on.

    Args:
        release: frees the reservation; gets whether no run has used it.
        release_handle: frees a prefilled prompt that no run has used.
    """

    def __init__(
        self,
        reservation: Reservation,
        reserved_ms: float,
        release: Callable[[Reservation, bool], None],
        release_handle: Callable[[PrefillResult], None],
    ) -> None:
        self.reservation = reservation
        self.reserved_ms = reserved_ms
        self.source: PrefillResult | None = None
        self.resume_after: int | None = None
        self.sent_ms = reserved_ms
        self.heard_ms: float | None = None
        self.watch: SilenceWatch[EngineRun | PeerContinuation] | None = None
        self._release = release
        self._release_handle = release_handle
        self._sending: asyncio.Task[BackendAnswer] | None = None
        self._closed = False

    @property
    def load(self) -> ServerLoad:
        """The engine."""
        return self.reservation.load

    def silent_ms(self, now_ms: float) -> float:
        """Returns the time since the send or the last event."""
        return now_ms - (self.sent_ms if self.heard_ms is None else self.heard_ms)

    def send(
        self, sending: Coroutine[Any, Any, BackendAnswer], resume_after: int | None, now_ms: float
    ) -> None:
        """Starts to send the request."""
        self.resume_after, self.sent_ms = resume_after, now_ms
        self._sending = asyncio.get_running_loop().create_task(sending)

    async def answer(self) -> BackendAnswer:
        """Waits for the head of the answer.

        Raises:
            BackendError: there is none.
        """
        assert self._sending is not None
        return await self._sending

    async def wait_for_answer(self, limit_ms: float) -> None:
        """Waits for the head of the answer for a time.

        Raises:
            BackendError: there is none.
        """
        assert self._sending is not None
        done, _ = await asyncio.wait({self._sending}, timeout=limit_ms / 1000.0)
        if done:
            self._sending.result()

    def close(self) -> None:
        """Ends the run: closes its connection and frees what it has not used."""
        if self._closed:
            return
        self._closed = True
        sending, answered, lost = self._sending, False, False
        if sending is not None and sending.done() and not sending.cancelled():
            error = sending.exception()
            answered = error is None
            lost = error is not None and not isinstance(error, NotSentError | RejectedError)
        if sending is not None and answered:
            sending.result().close()
        elif sending is not None:
            sending.cancel()
        self._release(self.reservation, not answered)
        if self.source is not None and not answered and not lost:
            self._release_handle(self.source)
