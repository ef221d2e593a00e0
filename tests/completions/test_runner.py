"""Tests that a request gets a complete answer or an error and frees all engine memory."""

import asyncio
import unittest

from medlarvale.clock import ManualClock
from medlarvale.completions.errors import CallerGoneError
from medlarvale.completions.memory_engines import EngineFault, MemoryEngineClient, answer_tokens
from medlarvale.completions.request import TokenCollector
from medlarvale.completions.runner import CompletionRunner
from medlarvale.errors import MedlarvaleError, Outcome
from medlarvale.ids import AttemptNumber, RequestId, ServerId
from tests.completions.fakes import MODEL_SERVICE, FakeSettings, RequestPath, model_request

PROMPT = [11, 12, 13]
TRACEPARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


class DisconnectingSink(TokenCollector):
    """Sink of a caller that disconnects after the first delivery."""

    async def deliver(self, tokens: list[int]) -> None:
        if self.tokens:
            raise CallerGoneError
        await super().deliver(tokens)


class RunnerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.engines = MemoryEngineClient()
        self.sink = TokenCollector()
        self.build()

    def build(self, **values: int) -> None:
        self.path = RequestPath(self.engines, self.clock, FakeSettings(**values))
        self.runner = CompletionRunner(self.path.dependencies)

    async def run_event_loop(self, count: int = 60, advance_ms: float = 0.0) -> None:
        for _ in range(count):
            await asyncio.sleep(0)
            if advance_ms:
                self.clock.advance_ms(advance_ms)

    async def run_with_clock(
        self, advance_ms: float = 50.0, **changes: object
    ) -> MedlarvaleError | None:
        """Runs a request while the clock advances; returns its error or None."""
        task = asyncio.ensure_future(self.runner.run(model_request(**changes), self.sink))
        for _ in range(4_000):
            if task.done():
                break
            await self.run_event_loop(1, advance_ms)
        await asyncio.wait_for(self.runner.drain(), 5)
        error = task.exception()
        assert error is None or isinstance(error, MedlarvaleError)
        return error

    def assert_nothing_held(self) -> None:
        self.assertEqual(self.engines.held, {})
        self.assertEqual(self.engines.open_streams, 0)
        self.assertEqual(self.path.guard.running, [])
        self.assertEqual(self.runner.count(), 0)
        self.assertEqual(len(self.path.placement.released), len(self.path.placement.reserved))

    async def test_each_token_is_delivered_once_at_boundaries(self) -> None:
        """Guards against lost or repeated tokens between prefill, chunks and the length limit."""
        for limit in (1, 2, 4, 5, 20, 40, 60):
            with self.subTest(limit=limit):
                self.sink = TokenCollector()
                self.assertIsNone(await self.run_with_clock(0, max_tokens=limit))
                self.assertEqual(self.sink.tokens, answer_tokens(PROMPT, min(limit, 40)))
                report = self.path.observer.reports[-1]
                self.assertEqual((report.code, report.output_tokens), ("", min(limit, 40)))
                self.assertEqual((report.prefill_ms, report.wasted_prefill_ms), (3.0, 0.0))
                self.assert_nothing_held()

    async def test_request_survives_the_fault_of_one_engine(self) -> None:
        """Guards against a fault of one engine that reaches the caller or blames another engine."""
        table = [
            ("p1", EngineFault.UNREACHABLE, "p1", True),
            ("p1", EngineFault.LOST_IN_PREFILL, "p1", True),
            ("p1", EngineFault.STALL_IN_PREFILL, "p1", False),
            ("d1", EngineFault.UNREACHABLE, "d1", False),
            ("d1", EngineFault.STALL_IN_TRANSFER, None, False),
            ("d1", EngineFault.LOST_IN_DECODE, "d1", True),
            ("d1", EngineFault.STALL_IN_DECODE, "d1", False),
            ("d1", EngineFault.END_EARLY, "d1", True),
            ("d1", EngineFault.WRONG_TOKEN, "d1", False),
        ]
        for name, fault, blamed, lost in table:
            with self.subTest(fault=fault, name=name):
                self.setUp()
                self.engines.faults[ServerId(name)] = fault
                if fault is EngineFault.STALL_IN_TRANSFER:
                    self.engines.faults = {ServerId("d1"): fault}
                    asyncio.get_running_loop().call_soon(self._heal_after_first_attempt)
                error = await self.run_with_clock()
                self.assertIsNone(error)
                self.assertEqual(self.sink.tokens, answer_tokens(PROMPT, 20))
                self.assertEqual(self.path.observer.reports[0].attempts, 2)
                self.assertEqual(self.path.placement.released[0].failed, blamed)
                self.assertEqual(self.path.guard.lost, [name] if lost else [])
                self.assert_nothing_held()
                first = [call for call in self.engines.cancelled if call[2] == 1]
                self.assertEqual({call[0] for call in first}, {"p1", "d1"})

    def _heal_after_first_attempt(self) -> None:
        if self.path.placement.released:
            self.engines.faults.clear()
        else:
            asyncio.get_running_loop().call_soon(self._heal_after_first_attempt)

    async def test_only_unused_prefill_counts_as_wasted(self) -> None:
        """Guards against counting a prefill as wasted although a decode engine used it, and against
        not counting one that none used."""
        table = [
            (EngineFault.FULL, 3.0 + 4.0, 4.0 + 3.0),
            (EngineFault.LOST_IN_DECODE, 3.0, 0.0),
        ]
        for fault, first_ms, wasted_ms in table:
            with self.subTest(fault=fault):
                self.setUp()
                self.engines.faults[ServerId("d1")] = fault
                self.build(max_restarts=1)
                await self.run_with_clock()
                report = self.path.observer.reports[0]
                self.assertEqual(report.wasted_prefill_ms, wasted_ms)
                self.assertGreaterEqual(report.prefill_ms, first_ms)

    async def test_attempts_are_limited(self) -> None:
        """Guards against endless attempts, and against ``NOT_RUN`` after tokens were computed."""
        for name in ("d1", "d2", "d3"):
            self.engines.faults[ServerId(name)] = EngineFault.LOST_IN_DECODE
        error = await self.run_with_clock()
        assert error is not None
        self.assertEqual((error.code, error.outcome), ("restarts_exhausted", Outcome.UNKNOWN))
        self.assertEqual(self.path.observer.reports[0].attempts, 3)
        self.assertEqual(
            self.sink.tokens, answer_tokens(PROMPT, len(self.sink.tokens)), "a prefix of the answer"
        )
        self.assert_nothing_held()

    async def test_refused_restart_has_unknown_outcome(self) -> None:
        """Guards against ``NOT_RUN`` for a request whose first attempt ran."""
        table = [(1, "overloaded", Outcome.NOT_RUN), (2, "restart_refused", Outcome.UNKNOWN)]
        for attempt, code, outcome in table:
            with self.subTest(attempt=attempt):
                self.setUp()
                self.engines.faults[ServerId("d1")] = EngineFault.LOST_IN_DECODE
                self.path.placement.refuse_from_attempt = attempt
                error = await self.run_with_clock()
                assert error is not None
                self.assertEqual((error.code, error.outcome), (code, outcome))
                self.assertEqual(error.retry_after_ms, 1_500)
                self.assertEqual(self.engines.contexts == [], outcome is Outcome.NOT_RUN)

    async def test_request_ends_at_its_deadline(self) -> None:
        """Guards against requests that keep running on an engine after their deadline."""
        self.engines.faults = {
            ServerId(name): EngineFault.STALL_IN_PREFILL for name in ("p1", "p2", "p3")
        }
        error = await self.run_with_clock(deadline_ms=1_000)
        assert error is not None
        self.assertEqual((error.code, error.outcome), ("deadline_exceeded", Outcome.UNKNOWN))
        self.assert_nothing_held()

    async def test_engine_memory_is_released_after_disconnect(self) -> None:
        """Guards against engine memory that stays occupied after the caller disconnected."""
        self.engines.faults[ServerId("d1")] = EngineFault.STALL_IN_DECODE
        task = asyncio.ensure_future(self.runner.run(model_request(), self.sink))
        await self.run_event_loop()
        self.assertEqual(self.engines.open_streams, 1)
        self.assertTrue(self.runner.is_running(RequestId("r1"), AttemptNumber(1)))
        self.assertEqual(self.runner.running(MODEL_SERVICE), ["r1"])
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        await self.runner.drain()
        self.assertEqual({call[0] for call in self.engines.cancelled}, {"p1", "d1"})
        self.assertEqual(self.path.observer.reports[0].code, "caller_gone")
        self.assert_nothing_held()
        self.sink = DisconnectingSink()
        error = await self.run_with_clock(0)
        self.assertIsInstance(error, CallerGoneError)
        self.assert_nothing_held()

    async def test_leaving_engine_receives_no_work(self) -> None:
        """Guards against work for a leaving engine if the placement scheduler's view is stale."""
        self.path.directory.mark_leaving(ServerId("d1"), True)
        self.assertIsNone(await self.run_with_clock(0))
        self.assertNotIn("d1", {call[0] for call in self.engines.contexts})
        self.assertIsNone(self.path.placement.released[0].failed)

    async def test_each_stage_has_one_span_in_the_trace_of_the_caller(self) -> None:
        """Guards against lost trace contexts and against a span per token."""
        await self.run_with_clock(0, traceparent=TRACEPARENT)
        spans = self.path.tracing.ring.spans()
        names = ["reserve", "prefill", "transfer", "decode", "caller request"]
        self.assertEqual([span.name for span in spans], names)
        trace_ids = {span.context.trace_id for span in spans if span.context}
        self.assertEqual(trace_ids, {int(TRACEPARENT.split("-")[1], 16)})
        for _, context in self.engines.contexts:
            self.assertIn(TRACEPARENT.split("-")[1], context.traceparent)
