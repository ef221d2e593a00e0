"""Tests of which engine takes over from a silent one, and of what becomes of its reservation."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from medlarvale.clock import SystemClock
from medlarvale.forwarding.errors import NotSentError, RejectedError, SilentEngineError
from medlarvale.forwarding.host import PLAIN_TRAITS
from medlarvale.forwarding.silence import SilenceWatch
from medlarvale.ids import ServerId
from tests.forwarding.fakes import LLM, TRAITS, FakeAnswer
from tests.forwarding.stream_case import SILENCE_S, StreamTestCase, events

WAIT_S = 5.0


class SubstituteTest(StreamTestCase):
    async def test_a_silent_engine_is_no_substitute_for_itself(self) -> None:
        """Guards against a run that ends although no other engine takes over. An engine that grants
        a reservation is not silent: then only the connection of its run is."""
        for name, traits in (("with reservations", TRAITS), ("without", PLAIN_TRAITS)):
            with self.subTest(name):
                self.build("d1", traits=traits)
                self.answer_in_turn(
                    FakeAnswer([events(1, 2), SILENCE_S, events(3, 4)]), FakeAnswer([events(3, 4)])
                )
                running = self.start()
                await asyncio.sleep(0.05)
                self.backends.hold_errors[ServerId("d1")] = NotSentError("silent")
                await running
                self.assertEqual((self.sink.data, self.sink.finished), (events(1, 4), True))
                self.assertEqual(len(self.backends.dispatches), 1)

    async def test_a_run_does_not_end_for_a_substitute_that_rejects_it(self) -> None:
        """Guards against a caller's connection that is cut because of a silence, although the
        engine goes on, when the engine that took over rejects the request (LOST)."""
        # Half of the reserve: one retry.
        self.build("d1", "d2", reserve=2.0)
        answers: list[Any] = [
            FakeAnswer([events(1, 2), SILENCE_S, events(3, 4)]),
            RejectedError("the memory can't be had", full=True),
        ]
        self.backends.script = lambda server, request, dispatch: answers.pop(0)
        running = self.start()
        await asyncio.sleep(0.05)
        silent = self.backends.dispatches[0][0]
        self.backends.hold_errors[silent] = NotSentError("silent")
        self.backends.probe_errors[silent] = NotSentError("silent")
        await running
        self.assertEqual((self.sink.data, self.sink.finished), (events(1, 4), True))

    async def test_a_substitute_with_an_unexpected_error_is_released(self) -> None:
        """Guards against memory that stays reserved, and a run that ends, because the search for
        a substitute failed in a way that nobody expected."""
        self.build("d1", "d2")
        answers: list[Any] = [
            FakeAnswer([events(1, 2), SILENCE_S, events(3, 4)]),
            *(ValueError("not a URL") for _ in range(10)),
        ]
        self.backends.script = lambda server, request, dispatch: answers.pop(0)
        await self.start()
        await self.context.background.finish(500.0)
        self.assertEqual((self.sink.data, self.sink.finished), (events(1, 4), True))
        for load in self.context.servers.of_service(LLM):
            self.assertEqual((load.tokens, load.in_flight), (0, 0), load.server.server)

    async def leave_after(self, turns: int) -> tuple[bool, list[str], str | None]:
        """Returns whether a run was taken over, and its released and its remaining substitute."""
        released: list[str] = []
        leaving: list[asyncio.Task[None]] = []

        async def leave() -> None:
            for _ in range(turns):
                await asyncio.sleep(0)
            handler.cancel()

        async def find() -> str:
            leaving.append(asyncio.create_task(leave()))
            return "substitute"

        watch = SilenceWatch(SystemClock(), lambda: 0.0, lambda: None, find, released.append)
        handler = asyncio.create_task(watch.run(asyncio.sleep(5.0)))
        await asyncio.wait({handler})
        # A search that is cancelled releases what it has found.
        await asyncio.gather(*leaving)
        await asyncio.sleep(0.01)
        taken_over = not handler.cancelled() and isinstance(handler.exception(), SilentEngineError)
        return taken_over, released, watch.substitute

    async def test_a_substitute_is_released_if_the_caller_leaves_as_the_run_ends(self) -> None:
        """Guards against memory of an engine that stays reserved for good."""
        for turns in range(10):
            with self.subTest("turns of the loop until the caller leaves", turns=turns):
                taken_over, released, left = await self.leave_after(turns)
                if taken_over:
                    self.assertEqual((released, left), ([], "substitute"))
                else:
                    self.assertEqual((released, left), (["substitute"], None))

    async def test_a_search_ends_as_soon_as_the_engine_is_heard(self) -> None:
        """Guards against a search that goes on, with a place in the memory queue, after its engine
        has gone on."""
        ended: list[bool] = []

        async def find() -> None:
            try:
                await asyncio.sleep(1.0)
            except asyncio.CancelledError:
                ended.append(True)
                raise

        watch: SilenceWatch[None] = SilenceWatch(
            SystemClock(), lambda: 0.0, lambda: None, find, lambda _: None
        )

        async def steps() -> None:
            await asyncio.sleep(0.6)
            watch.note_heard()
            await asyncio.sleep(0.05)
            self.assertEqual(ended, [True])

        await watch.run(steps())

    async def test_a_watch_sleeps_until_its_limit(self) -> None:
        """Guards against a watch that takes all processor time because its sleeps are too short to
        advance the clock."""
        sleeps: list[float] = []

        class Clock(SystemClock):
            def now_ms(self) -> float:
                return sum(sleeps)

            async def sleep_ms(self, duration_ms: float) -> None:
                # A sleep may end a little early.
                sleeps.append(duration_ms - 1e-9)
                await asyncio.sleep(0)

        async def find() -> None:
            raise AssertionError

        watch: SilenceWatch[None] = SilenceWatch(
            Clock(), lambda: 1_500.0, lambda: None, find, lambda _: None
        )
        running = asyncio.create_task(watch.run(asyncio.sleep(WAIT_S)))
        for _ in range(20):
            await asyncio.sleep(0)
        running.cancel()
        self.assertGreater(sum(sleeps), 1_500.0)


if __name__ == "__main__":
    unittest.main()
