"""State machine of one attempt to run a request on a prefill and a decode engine."""

from __future__ import annotations

import enum
from typing import Any

from transitions import Machine

from medlarvale.ids import AttemptNumber, ServerId


class AttemptState(enum.Enum):
    """Progress of an attempt."""

    QUEUED = "queued"
    PREFILLING = "prefilling"
    TRANSFERRING = "transferring"
    DECODING = "decoding"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


class AttemptEvent(enum.Enum):
    """Event that changes the state of an attempt."""

    PLACED = "placed"
    PREFILLED = "prefilled"
    TRANSFERRED = "transferred"
    FINISHED = "finished"
    FAULT = "fault"
    CALLER_GONE = "caller_gone"


ACTIVE_STATES = [
    AttemptState.QUEUED,
    AttemptState.PREFILLING,
    AttemptState.TRANSFERRING,
    AttemptState.DECODING,
]

# An answer of one token is complete after the prefill, so PREFILLING may go directly to DONE.
TRANSITIONS: list[list[Any]] = [
    [AttemptEvent.PLACED.value, AttemptState.QUEUED, AttemptState.PREFILLING],
    [AttemptEvent.PREFILLED.value, AttemptState.PREFILLING, AttemptState.TRANSFERRING],
    [AttemptEvent.TRANSFERRED.value, AttemptState.TRANSFERRING, AttemptState.DECODING],
    [
        AttemptEvent.FINISHED.value,
        [AttemptState.PREFILLING, AttemptState.DECODING],
        AttemptState.DONE,
    ],
    [AttemptEvent.FAULT.value, ACTIVE_STATES, AttemptState.FAILED],
    [AttemptEvent.CALLER_GONE.value, ACTIVE_STATES, AttemptState.CANCELLED],
]

# All attempts share one machine, because building one per request takes about 60 us.
_MACHINE = Machine(
    model=None,
    states=AttemptState,
    transitions=TRANSITIONS,
    initial=AttemptState.QUEUED,
    auto_transitions=False,
)


class Attempt:
    """State and engines of one attempt.

    Attributes:
        prefill: the prefill engine, once placed.
        decode: the decode engine, once placed.
        prefill_ms: prefill time spent by the attempt.
        prefill_used: the decode engine produced tokens from the prefill, or the prefill completed
            the answer.
        admitted: the crash guard admitted the attempt and has to be notified of its end.
        freed_by_engine: the engine ended the answer itself, so it holds no memory for it.
    """

    def __init__(self, number: AttemptNumber) -> None:
        self.number = number
        self.state = AttemptState.QUEUED
        self.prefill: ServerId | None = None
        self.decode: ServerId | None = None
        self.prefill_ms = 0.0
        self.prefill_used = False
        self.admitted = False
        self.freed_by_engine = False

    def handle(self, event: AttemptEvent) -> None:
        """Applies an event to the state.

        Raises:
            transitions.MachineError: the event is not possible in this state.
        """
        _MACHINE.events[event.value].trigger(self)

    @property
    def running(self) -> bool:
        """Whether the attempt may still hold work or memory on an engine."""
        return self.state in ACTIVE_STATES

    @property
    def wasted_prefill_ms(self) -> float:
        """Prefill time in ms whose result was never used."""
        return 0.0 if self.prefill_used else self.prefill_ms

    def engines(self) -> list[ServerId]:
        """Returns the engines that may have received the attempt."""
        return [server for server in (self.prefill, self.decode) if server is not None]
