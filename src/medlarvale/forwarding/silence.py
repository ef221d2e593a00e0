"""Lets another engine take over from one that has fallen silent.

A silent engine may go on at any moment, and its run is the only answer that the caller can get. So
a run ends only when another engine is ready to take over, and goes on if it is heard of before.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterator
from typing import Generic, TypeVar

from medlarvale.clock import Clock
from medlarvale.forwarding.errors import SilentEngineError
from medlarvale.logs import Event, log_warning

# Silence after which a server is checked with a new connection. Round trips take a few ms, and
# sound streams pause for 300 ms at most.
CHECK_AFTER_MS = 400.0
# Delay before another search for a substitute.
SEARCH_PERIOD_MS = 200.0

# Shorter sleeps may not advance a clock of floating-point numbers.
MIN_SLEEP_MS = 1.0

Result = TypeVar("Result")
Substitute = TypeVar("Substitute")


class SilenceWatch(Generic[Substitute]):
    """Watches one run for silence.

    Attributes:
        substitute: what takes over from a run that was ended; None while it goes on.

    Args:
        clock: time service.
        limit_ms: returns the silence after which a substitute is sought.
        check: called when the engine has been silent for a while.
        find: returns a substitute, or None if there is none at present.
        discard: releases a substitute that is not needed.
    """

    def __init__(
        self,
        clock: Clock,
        limit_ms: Callable[[], float],
        check: Callable[[], None],
        find: Callable[[], Awaitable[Substitute | None]],
        discard: Callable[[Substitute], None],
    ) -> None:
        self._clock = clock
        self._limit_ms = limit_ms
        self._check = check
        self._find = find
        self._discard = discard
        self._heard_ms = clock.now_ms()
        self._search: asyncio.Task[Substitute | None] | None = None
        self._paused = False
        self._stopped = False
        self._scope = asyncio.timeout(None)
        self._watching: asyncio.Task[None] | None = None
        self.substitute: Substitute | None = None

    def note_heard(self) -> None:
        """Records an event of the engine, which ends the search for a substitute.

        A substitute that was found right before is not needed: a run whose event is being passed on
        can't be ended, since the substitute would go on after that event.
        """
        self._heard_ms = self._clock.now_ms()
        if self._search is not None:
            self._search.cancel()
        if self.substitute is not None and not self._scope.expired():
            self._scope.reschedule(None)
            self._discard(self.substitute)
            self.substitute = None
            self._start_watching()

    @contextlib.contextmanager
    def paused(self) -> Iterator[None]:
        """Suspends the watch while an event is passed on: its caller may read slowly."""
        began_ms, self._paused = self._clock.now_ms(), True
        try:
            yield
        finally:
            self._paused = False
            self._heard_ms += self._clock.now_ms() - began_ms

    def stop(self) -> None:
        """Ends the watch, because the answer has ended or can't be taken over."""
        self._stopped = True
        self.note_heard()

    async def run(self, steps: Awaitable[Result]) -> Result:
        """Waits for the steps of a run.

        Raises:
            SilentEngineError: the engine was silent and ``substitute`` takes over.
        """
        taken_over = False
        try:
            async with self._scope:
                self._start_watching()
                try:
                    return await steps
                finally:
                    if self._watching is not None:
                        self._watching.cancel()
        except TimeoutError as error:
            if not self._scope.expired():
                raise
            taken_over = True
            raise SilentEngineError(f"no event for {self._silent_ms():.0f} ms") from error
        finally:
            if self.substitute is not None and not taken_over:
                self._discard(self.substitute)
                self.substitute = None

    def _silent_ms(self) -> float:
        return self._clock.now_ms() - self._heard_ms

    def _start_watching(self) -> None:
        self._watching = asyncio.get_running_loop().create_task(self._watch())

    async def _watch(self) -> None:
        while not self._stopped:
            if self._paused:
                await self._clock.sleep_ms(SEARCH_PERIOD_MS)
                continue
            silent_ms, limit_ms = self._silent_ms(), self._limit_ms()
            if silent_ms < CHECK_AFTER_MS:
                await self._clock.sleep_ms(max(MIN_SLEEP_MS, CHECK_AFTER_MS - silent_ms))
                continue
            self._check()
            if silent_ms < limit_ms:
                left_ms = max(MIN_SLEEP_MS, limit_ms - silent_ms)
                await self._clock.sleep_ms(min(SEARCH_PERIOD_MS, left_ms))
                continue
            substitute = await self._search_once()
            if substitute is not None and not self._stopped:
                self.substitute = substitute
                self._scope.reschedule(asyncio.get_running_loop().time())
                return
            await self._clock.sleep_ms(SEARCH_PERIOD_MS)

    async def _search_once(self) -> Substitute | None:
        """Returns a substitute; None if there is none or the engine was heard of."""
        searched_ms = self._clock.now_ms()
        search = asyncio.ensure_future(self._find())
        self._search = search
        try:
            await asyncio.wait({search})
            found = None if search.cancelled() else search.result()
            if found is None or self._heard_ms < searched_ms:
                return found
            self._discard(found)
        except asyncio.CancelledError:
            if not search.done():
                search.cancel()
            elif not search.cancelled() and search.exception() is None:
                found = search.result()
                if found is not None:
                    self._discard(found)
            raise
        except Exception as error:  # The run still goes on, and another search may succeed.
            log_warning(Event.TASK_FAILED, task="find a substitute", error=repr(error))
        finally:
            self._search = None
        return None
