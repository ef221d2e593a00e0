"""Discrete-event queue of the placement experiments."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any


class EventQueue:
    """Calls functions in the order of their simulated times."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, due_ms: float, function: Callable[..., None], *arguments: Any) -> None:
        """Schedules a call; a time in the past means now."""
        due_ms = max(due_ms, self.now_ms)
        heapq.heappush(self._events, (due_ms, next(self._order), function, arguments))

    def after(self, delay_ms: float, function: Callable[..., None], *arguments: Any) -> None:
        """Schedules a call after a delay."""
        self.at(self.now_ms + delay_ms, function, *arguments)

    def every(self, period_ms: float, function: Callable[[], None], start_ms: float = 0.0) -> None:
        """Schedules a periodic call, first at a given time."""

        def fire() -> None:
            function()
            self.after(period_ms, fire)

        self.at(start_ms, fire)

    def run(self, until_ms: float, done: Callable[[], bool]) -> None:
        """Runs events until a time, or until ``done`` returns True."""
        while self._events and self._events[0][0] <= until_ms and not done():
            self.now_ms, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
