"""Signals of a host's process, from the first lines of the program to its end.

The libraries take the longest part of a start to import, so this module imports none of them.
"""

from __future__ import annotations

import faulthandler
import os
import signal
import sys
from collections.abc import Callable, Mapping, Sequence
from types import FrameType

STOPS = (signal.SIGTERM, signal.SIGINT)
# Commands that run a host, with the signals that they handle.
HANDLED: Mapping[str, tuple[signal.Signals, ...]] = {
    "forward": (*STOPS, signal.SIGHUP),
    "serve": STOPS,
}
EXIT_STOPPED = 0


class ProcessSignals:
    """Signals of this process; there is one instance, since handlers belong to the process.

    Until a host takes the signals over, a stop ends the process, which has nothing open yet, and
    other signals are kept for the host.
    """

    def __init__(self) -> None:
        self._kept: list[int] = []
        self._pass_on: Callable[[int], object] | None = None

    def install(self, arguments: Sequence[str]) -> None:
        """Handles the signals of the command in a command line; of other commands, none.

        A fatal signal, as of a fault in a native library, writes the stacks of all threads to
        standard error and ends the process, whatever the command is.
        """
        # None if it was closed before the start.
        if sys.stderr is not None:
            faulthandler.enable()
        for number in HANDLED.get(arguments[0], ()) if arguments else ():
            signal.signal(number, self._receive)
            # Interrupted system calls of libraries go on.
            signal.siginterrupt(number, False)

    def _receive(self, number: int, _frame: FrameType | None) -> None:
        if self._pass_on is not None:
            self._pass_on(number)
        elif number in STOPS:
            # An exception could be caught by a library that is being imported.
            os._exit(EXIT_STOPPED)
        else:
            self._kept.append(number)

    def take_over(
        self,
        call_soon: Callable[[Callable[[], object]], object],
        handlers: Mapping[int, Callable[[], object]],
    ) -> None:
        """Passes signals on from now on, first those that were kept.

        Args:
            call_soon: schedules a call in the event loop and wakes the loop.
            handlers: what to call, by signal.
        """
        self._pass_on = lambda number: call_soon(handlers[number])
        for number in handlers:
            signal.signal(number, self._receive)
            signal.siginterrupt(number, False)
        for number in self._kept:
            self._pass_on(number)
        self._kept.clear()

    def ignore(self, command: str) -> None:
        """Ignores the signals of a command while its process ends."""
        for number in HANDLED[command]:
            signal.signal(number, signal.SIG_IGN)


process_signals = ProcessSignals()
