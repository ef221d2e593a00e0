"""Faults that tests inject into a stand-in engine through ``POST /fault``."""

from __future__ import annotations

import enum
import math
import os
import time
from collections.abc import Callable

import msgspec

from medlarvale.standins.engine_model import token_of_word

CRASH_STATUS = 70
MAX_PAUSE_MS = 60_000


class FaultKind(enum.Enum):
    """Kind of a fault."""

    CRASH = "crash"
    PAUSE = "pause"
    STALL = "stall"
    SLOW = "slow"
    POISON = "poison"
    NONE = "none"


class StallTarget(enum.Enum):
    """Activity that a stall stops."""

    TRANSFERS = "transfers"
    STREAMS = "streams"
    ALL = "all"


class Fault(msgspec.Struct, frozen=True):
    """A fault to inject.

    Attributes:
        duration_ms: duration of a pause or stall; a stall of 0 lasts until ``none``.
        target: activity that a stall stops.
        factor: factor by which ``slow`` lengthens prefill, decode steps and transfers.
        word: marker word of ``poison``; a prompt that contains it crashes the engine.
    """

    kind: FaultKind
    duration_ms: int = 0
    target: StallTarget = StallTarget.ALL
    factor: float = 1.0
    word: str = ""


def exit_immediately() -> None:
    """Ends the process without any cleanup."""
    os._exit(CRASH_STATUS)


def block_process(duration_ms: float) -> None:
    """Blocks the event loop: no call is answered and no connection closed, but time passes."""
    time.sleep(duration_ms / 1000.0)


class FaultState:
    """Active faults.

    Args:
        poison_word: marker word that crashes the engine from its start on, or "".
        crash: function that ends the process.
    """

    def __init__(self, poison_word: str = "", crash: Callable[[], None] = exit_immediately) -> None:
        self.crash = crash
        self.factor = 1.0
        self._poison_token: int | None = None
        self._stalled_until_ms = dict.fromkeys(StallTarget, 0.0)
        self._set_poison(poison_word)

    def apply(self, fault: Fault, now_ms: float) -> None:
        """Applies a fault other than a pause, which the application handles itself."""
        match fault.kind:
            case FaultKind.CRASH:
                self.crash()
            case FaultKind.STALL:
                until_ms = now_ms + fault.duration_ms if fault.duration_ms else math.inf
                self._stalled_until_ms[fault.target] = until_ms
            case FaultKind.SLOW:
                self.factor = fault.factor
            case FaultKind.POISON:
                self._set_poison(fault.word)
            case FaultKind.NONE:
                self.factor = 1.0
                self._stalled_until_ms = dict.fromkeys(StallTarget, 0.0)
                self._set_poison("")

    def is_stalled(self, target: StallTarget, now_ms: float) -> bool:
        """Returns whether transfers or streams are stalled."""
        until_ms = self._stalled_until_ms
        return now_ms < max(until_ms[target], until_ms[StallTarget.ALL])

    def transfer_factor(self, now_ms: float) -> float:
        """Returns the slowdown factor of the link; infinite while transfers are stalled."""
        return math.inf if self.is_stalled(StallTarget.TRANSFERS, now_ms) else self.factor

    def is_poisoned(self, prompt_tokens: list[int]) -> bool:
        """Returns whether a prompt contains the marker word."""
        return self._poison_token is not None and self._poison_token in prompt_tokens

    def _set_poison(self, word: str) -> None:
        self._poison_token = token_of_word(word) if word else None
