"""Property tests of streams under lost engines and callers that leave.

The real forwarders of several hosts run against emulated engines in virtual time.
"""

from __future__ import annotations

import asyncio
import collections
import random
import unittest
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st
from multidict import CIMultiDict

from bench.forwarding.engines import EmulatedBackends, EmulatedEngine, EngineModel
from bench.forwarding.virtual_time import VirtualClock, run_virtual
from medlarvale.forwarding.context import ForwardingContext, RetryLimits
from medlarvale.forwarding.errors import ForwardingError, OverloadedError
from medlarvale.forwarding.messages import ClientRequest, EngineStage, EngineTraits, TokenCounts
from medlarvale.forwarding.servers import ServerTable
from medlarvale.forwarding.stream_versions import versions_without_history
from medlarvale.forwarding.streams import StreamForwarder
from medlarvale.ids import FailureDomain, RequestId, ServerId
from tests.forwarding.fakes import HERE, LLM, FakeGuard, FakeSink, make_route, make_server

HOSTS = 2
RETRY_SHARE, RETRY_RESERVE = 0.2, 4.0
MODEL = EngineModel(memory_tokens=16_000)
TRAITS = EngineTraits(64, MODEL.memory_tokens, 500.0, 2_000.0, 6_000.0)
# Holds expire after 2 s, and a lost engine is available again after at most 2 s.
CLEANUP_S = 5.0
ENGINES = ("p0", "d0", "d1", "d2")


@dataclass(frozen=True, slots=True)
class Call:
    """One caller, which closes its connection ``leaves_ms`` after its start."""

    start_ms: int
    host: int
    prompt: int
    events: int
    hint_events: int
    resumable: bool
    leaves_ms: int | None


@dataclass(frozen=True, slots=True)
class Loss:
    """The loss of an engine for a time."""

    at_ms: int
    engine: str
    duration_ms: int


@dataclass
class Outcome:
    """What a caller received."""

    sink: FakeSink = field(default_factory=FakeSink)
    refused: bool = False


CALLS = st.lists(
    st.builds(
        Call,
        st.integers(0, 2_000),
        st.integers(0, HOSTS - 1),
        st.integers(200, 9_000),
        st.integers(1, 60),
        st.integers(1, 60),
        st.booleans(),
        st.none() | st.integers(0, 1_500),
    ),
    min_size=1,
    max_size=16,
)
LOSSES = st.lists(
    st.builds(Loss, st.integers(0, 2_500), st.sampled_from(ENGINES), st.integers(50, 2_000)),
    max_size=4,
)


class Scenario:
    """Runs calls and losses and records the results at callers and engines."""

    def __init__(self, calls: list[Call], losses: list[Loss]) -> None:
        self.calls = calls
        self.losses = losses
        self.outcomes = [Outcome() for _ in calls]
        self.max_concurrent: collections.Counter[str] = collections.Counter()

    async def run(self) -> None:
        self.engines = {
            ServerId(name): EmulatedEngine(
                name, HERE, EngineStage.PREFILL if name == "p0" else EngineStage.DECODE, MODEL
            )
            for name in ENGINES
        }
        self.outputs: dict[str, int] = {}
        self.hosts = [self._host(number) for number in range(HOSTS)]
        loop = asyncio.get_running_loop()
        for loss in self.losses:
            engine = self.engines[ServerId(loss.engine)]
            loop.call_later(loss.at_ms / 1000.0, engine.crash)
            recovery_s = (loss.at_ms + loss.duration_ms) / 1000.0
            loop.call_later(recovery_s, setattr, engine, "alive", True)
        watch = loop.create_task(self._watch())
        await asyncio.gather(*(self._call(number) for number in range(len(self.calls))))
        await asyncio.sleep(CLEANUP_S)
        watch.cancel()

    def _host(self, number: int) -> StreamForwarder:
        table = ServerTable(HERE, random.Random(number))
        for engine in self.engines.values():
            table.upsert(make_server(engine.name, stage=engine.stage))
        backends = EmulatedBackends(self.engines, FailureDomain("a"), self.outputs)
        clock = VirtualClock()
        context = ForwardingContext(
            backends,
            table,
            clock,
            random.Random(number),
            lambda: RetryLimits(RETRY_SHARE, RETRY_RESERVE),
            FakeGuard(),
            lambda: HOSTS,
            versions_without_history(backends, table, clock),
        )
        return StreamForwarder(context, lambda service: TRAITS)

    async def _watch(self) -> None:
        while True:
            running = collections.Counter(
                name for engine in self.engines.values() for name in engine.running
            )
            for name, count in running.items():
                self.max_concurrent[name] = max(self.max_concurrent[name], count)
            await asyncio.sleep(0.01)

    async def _call(self, number: int) -> None:
        call, outcome = self.calls[number], self.outcomes[number]
        await asyncio.sleep(call.start_ms / 1000.0)
        self.outputs[str(number)] = call.events * MODEL.tokens_per_event
        request = ClientRequest(
            RequestId(str(number)),
            "POST",
            "callers.example",
            "/x",
            CIMultiDict(),
            b"",
            asyncio.get_running_loop().time() * 1000.0,
            5_000.0,
            TokenCounts(call.prompt, 1_000, call.hint_events * MODEL.tokens_per_event),
        )
        route = make_route(resumable=call.resumable)
        forward = self.hosts[call.host].forward(request, route, LLM, outcome.sink)
        left_s = None if call.leaves_ms is None else call.leaves_ms / 1000.0
        try:
            async with asyncio.timeout(left_s):
                await forward
        except OverloadedError:
            outcome.refused = True
        except (ForwardingError, TimeoutError):
            return


class StreamPropertiesTest(unittest.TestCase):
    @settings(deadline=None)
    @given(CALLS, LOSSES)
    def test_streams_run_once_and_release_memory(
        self, calls: list[Call], losses: list[Loss]
    ) -> None:
        """Guards against concurrent runs of one stream, second runs of streams that are not
        resumable, refusals of requests that have run, missing or duplicate events, memory that
        stays reserved for callers that have left, and more retries than the budget allows."""
        scenario = Scenario(calls, losses)
        run_virtual(scenario.run())
        runs = collections.Counter(
            name for engine in scenario.engines.values() for name in engine.counts.started
        )
        for number, (call, outcome) in enumerate(zip(calls, scenario.outcomes, strict=True)):
            name = str(number)
            allowed = 2 if call.resumable else 1
            self.assertLessEqual(runs[name], allowed, "runs of one request")
            self.assertLessEqual(scenario.max_concurrent[name], 1, "runs at once")
            if outcome.refused:
                self.assertEqual(runs[name], 0, "a refused request has run")
            ids = [
                int(line.removeprefix(b"id: "))
                for line in outcome.sink.data.splitlines()
                if line.startswith(b"id: ")
            ]
            self.assertEqual(ids, list(range(1, len(ids) + 1)), "missing or duplicate events")
            if outcome.sink.finished:
                output_tokens = call.events * MODEL.tokens_per_event
                self.assertEqual(ids[-1], MODEL.event_of(output_tokens), "a stream ended early")
        self.assertEqual([engine.used_tokens for engine in scenario.engines.values()], [0] * 4)
        repeats = sum(count - 1 for count in runs.values())
        self.assertLessEqual(repeats, RETRY_SHARE * len(calls) + HOSTS * RETRY_RESERVE)
