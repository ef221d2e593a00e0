"""Event loop whose time jumps to the next timer, and a product clock based on it."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from medlarvale.clock import SystemClock

WALL_START_MS = 1_750_000_000_000

Result = TypeVar("Result")


class _JumpingSelector(selectors.SelectSelector):
    """Advances the time of its loop instead of waiting; no file is ever ready."""

    now_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        self.now_s += max(0.0, timeout or 0.0)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers in the order of their due times without waiting for them.

    A run takes only the time of its computations, and runs with equal input are identical.
    """

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Returns the virtual time in s."""
        return self._jumping.now_s


class VirtualClock(SystemClock):
    """Product clock that reads the virtual time of the running loop."""

    def now_ms(self) -> float:
        """Returns the time of the running loop in ms."""
        return asyncio.get_running_loop().time() * 1000.0

    def wall_ms(self) -> int:
        """Returns a wall-clock time that advances with the loop."""
        return WALL_START_MS + int(self.now_ms())


def run_virtual(main: Coroutine[Any, Any, Result]) -> Result:
    """Runs a coroutine to completion in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
