"""An event loop whose time jumps to the next timer, and the clock of the product on it."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from medlarvale.clock import SystemClock

WALL_START_MS = 1_750_000_000_000

Result = TypeVar("Result")


class _JumpingSelector(selectors.SelectSelector):
    """Moves the time of its loop instead of waiting; nothing is ever ready."""

    now_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        self.now_s += max(0.0, timeout or 0.0)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers in their order without waiting for them.

    A run takes as long as its computations do, and equal runs are equal in every step.
    """

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Returns the virtual time in s."""
        return self._jumping.now_s


class VirtualClock(SystemClock):
    """The clock of the product in virtual time."""

    def now_ms(self) -> float:
        """Returns the time of the running loop in ms."""
        return asyncio.get_running_loop().time() * 1000.0

    def wall_ms(self) -> int:
        """Returns a wall-clock time that moves with the loop."""
        return WALL_START_MS + int(self.now_ms())


def run_virtual(main: Coroutine[Any, Any, Result]) -> Result:
    """Runs a coroutine to its end in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
