"""Tests of which requests a stopping host still takes."""

from __future__ import annotations

import math
import unittest
from typing import NamedTuple

from medlarvale.forwarding.errors import OverloadedError
from medlarvale.forwarding.messages import ClientRequest, Route, RouteKind, TokenCounts
from medlarvale.forwarding.recent_durations import MIN_DURATIONS
from medlarvale.forwarding.stop_admission import DURATION_FACTOR, StopAdmission
from medlarvale.forwarding.streams import StreamForwarder
from medlarvale.ids import ServiceName
from tests.forwarding.fakes import (
    APP,
    LLM,
    TRAITS,
    FakeBackends,
    make_context,
    make_request,
    make_route,
)

STOP_MS = 1_000.0
INFORMED_MS = 3_000.0
END_MS = 8_000.0


class _Clock:
    def __init__(self) -> None:
        self.time_ms = 0.0

    def now_ms(self) -> float:
        return self.time_ms


class _Streams:
    """Gives the same estimate for every stream."""

    def __init__(self, longest_ms: float) -> None:
        self._longest_ms = longest_ms

    def longest_ms(self, request: ClientRequest, route: Route, service: ServiceName) -> float:
        return self._longest_ms


class Case(NamedTuple):
    """A request, what was measured on its route, and whether it is taken."""

    taken: bool
    at_ms: float
    timeout_ms: float
    measured_ms: float = math.inf
    deadline_ms: float = 60_000.0
    kind: RouteKind = RouteKind.UNSAFE
    resumable: bool = True


CASES: dict[str, Case] = {
    "ends in time": Case(True, STOP_MS, 7_000.0),
    "may end too late": Case(False, STOP_MS, 7_001.0),
    "deadline before the end": Case(True, STOP_MS, 60_000.0, deadline_ms=7_000.0),
    "usually short": Case(True, STOP_MS, 60_000.0, 100.0),
    "short after callers were informed": Case(False, INFORMED_MS, 60_000.0, 100.0),
    "short with a short timeout": Case(True, INFORMED_MS, 5_000.0, 100.0),
    "longest may be exceeded": Case(False, STOP_MS, 60_000.0, 7_000.0 / DURATION_FACTOR + 1.0),
    "stream of unknown duration": Case(True, STOP_MS, 60_000.0, kind=RouteKind.STREAM),
    "the same, which can't go on elsewhere": Case(
        False, STOP_MS, 60_000.0, kind=RouteKind.STREAM, resumable=False
    ),
    "short stream": Case(True, STOP_MS, 60_000.0, 100.0, kind=RouteKind.STREAM),
    "stream that just fits": Case(True, STOP_MS, 60_000.0, 6_900.0, kind=RouteKind.STREAM),
    "the same, if it can't go on elsewhere": Case(
        False, STOP_MS, 60_000.0, 6_900.0, kind=RouteKind.STREAM, resumable=False
    ),
    "long stream": Case(False, STOP_MS, 60_000.0, 7_100.0, kind=RouteKind.STREAM),
    "late short stream": Case(False, INFORMED_MS, 60_000.0, 100.0, kind=RouteKind.STREAM),
}


class StopAdmissionTest(unittest.TestCase):
    def test_requests_that_may_not_end_in_time_are_refused(self) -> None:
        """Guards against a stopping host that passes on what it can't see to its end, and against
        one that refuses what it could still answer."""
        for name, case in CASES.items():
            with self.subTest(name):
                self.assertEqual(self._takes(case), case.taken)

    def _takes(self, case: Case) -> bool:
        clock = _Clock()
        admission = StopAdmission(clock, _Streams(case.measured_ms))  # type: ignore[arg-type]
        route = make_route(kind=case.kind, timeout_ms=case.timeout_ms, resumable=case.resumable)
        if case.measured_ms < math.inf:
            for _ in range(MIN_DURATIONS):
                admission.note_plain_call(route, case.measured_ms)
        clock.time_ms = case.at_ms
        request = make_request(deadline_ms=case.deadline_ms, received_ms=case.at_ms)
        admission.check(request, route, APP)
        admission.begin_stop(INFORMED_MS, END_MS)
        try:
            admission.check(request, route, APP)
        except OverloadedError as error:
            self.assertIsNotNone(error.retry_after_ms)
            return False
        return True


class StreamEstimateTest(unittest.IsolatedAsyncioTestCase):
    async def test_long_outputs_take_longer(self) -> None:
        """Guards against an estimate that ignores the output which a caller announces, and against
        one without any measurement."""
        streams = StreamForwarder(make_context(FakeBackends()), lambda service: TRAITS)
        route = make_route()
        short, long = (
            make_request(tokens=TokenCounts(100, 4_000, output)) for output in (100, 2_000)
        )
        self.assertEqual(streams.longest_ms(short, route, LLM), math.inf)
        now_ms = streams.context.clock.now_ms()
        for output in (100, 200, 400, 800, 1_600) * MIN_DURATIONS:
            streams.note_first_event(route, 300.0)
            streams.meter(LLM).model.note_events(8, 80.0, now_ms)
            streams.meter(LLM).model.note_output(output, output, now_ms)
        short_ms, long_ms = (streams.longest_ms(request, route, LLM) for request in (short, long))
        self.assertGreaterEqual(short_ms, 300.0 + 100 * 10.0)
        self.assertGreaterEqual(long_ms, 300.0 + 2_000 * 10.0)
        self.assertLess(short_ms, long_ms)
