"""Tests of refusals, retry times and what engines are told of the priority."""

from __future__ import annotations

import unittest
from typing import Any

from medlarvale.forwarding.memory_request import MemoryRequest
from medlarvale.forwarding.messages import Server, TokenCounts
from medlarvale.ids import HostId, WorkspaceId
from medlarvale.overload.admission import PEER_WAITING_MS, QueueRules, Refusal, WaitingRequest
from medlarvale.overload.priorities import ConfiguredPriorities
from tests.forwarding.fakes import (
    LLM,
    TRAITS,
    FakeAnswer,
    learned_meter,
    make_request,
    make_route,
)
from tests.forwarding.stream_case import StreamTestCase, events
from tests.overload.test_priorities import make_table

NOW_MS = 10_000.0
CALLER_MS = 14_000.0


def make_rules(*priorities: int) -> QueueRules:
    table = make_table(tuple((priority, False) for priority in priorities), ())
    configured = ConfiguredPriorities(lambda: table)
    meter = learned_meter(now_ms=NOW_MS)
    return QueueRules(LLM, meter.model, lambda: TRAITS, lambda: configured, lambda: 1, lambda: 1)


def make_place(priority: int, *, late: bool = False, urgent: bool = False) -> WaitingRequest:
    target_ms = NOW_MS - 1.0 if late else NOW_MS + 5_000.0
    request = MemoryRequest(
        5_000,
        500,
        target_ms,
        NOW_MS + 9_000.0,
        NOW_MS + CALLER_MS,
        urgent=urgent,
        priority=priority,
    )
    return WaitingRequest(request, NOW_MS)


class QueueRulesTest(unittest.TestCase):
    def test_refused_callers_return_one_by_one_and_urgent_ones_first(self) -> None:
        """Guards against refused callers that all return together, and against urgent ones that
        return behind the others."""
        rules = make_rules(0, 3)
        returns = {
            priority: [
                rules.refuse(make_place(priority), Refusal.TOO_LONG, [], NOW_MS).retry_after_ms or 0
                for _ in range(6)
            ]
            for priority in (3, 0)
        }
        for delays_ms in returns.values():
            self.assertEqual(len(set(delays_ms)), len(delays_ms))
            self.assertLessEqual(max(delays_ms), CALLER_MS / 3.0)
        self.assertLess(max(returns[0]), min(returns[3]))
        self.assertEqual(rules.refused, {Refusal.TOO_LONG: 12})

    def test_callers_that_are_not_distinguished_are_told_the_hold_time(self) -> None:
        """Guards against other retry times in deployments with one priority."""
        rules = make_rules(1)
        delays_ms = {rules.retry_after_ms(make_place(1).request, [], NOW_MS) for _ in range(6)}
        self.assertEqual(len(delays_ms), 1)

    def test_less_urgent_requests_leave_memory_while_it_is_short(self) -> None:
        """Guards against a less urgent request of one host that takes the memory for which a more
        urgent one of another host waits."""
        rules, late_share = make_rules(0, 3), 0.1
        table: list[tuple[WaitingRequest, bool, float]] = [
            (make_place(0), False, 0.0),
            (make_place(3), False, 0.0),
            (make_place(3), True, 0.1),
            (make_place(0), True, 0.0),
            (make_place(3, late=True), True, 0.2),
            (make_place(3, late=True, urgent=True), True, 0.0),
        ]
        for place, short, share in table:
            with self.subTest(place=place, short=short):
                if short:
                    rules.note_engine_refusal(NOW_MS)
                needed = rules.free_memory_needed(place.request, NOW_MS, late_share)
                self.assertEqual(needed, 5_000 + int(share * TRAITS.memory_tokens))

    def test_the_least_urgent_wait_behind_all_others(self) -> None:
        """Guards against an estimate of the wait that counts requests which are served later."""
        rules = make_rules(0, 3)
        waiting = [make_place(0) for _ in range(30)] + [make_place(3) for _ in range(30)]
        urgent_ms, least_ms = (
            rules.expected_wait_ms(make_place(priority).request, waiting, NOW_MS)
            for priority in (0, 3)
        )
        self.assertAlmostEqual(least_ms, 2.0 * urgent_ms)

    def test_requests_that_wait_at_peers_count_as_ahead(self) -> None:
        """Guards against a host with a short queue that lets callers wait in vain behind those of
        other hosts, against numbers of a peer that has long been silent, and against a refusal
        because of them while engines have memory."""
        rules, request = make_rules(0, 3), make_place(3).request
        rules.note_peer_waiting(HostId("h1"), {0: 20, 3: 20, 9: 100}, NOW_MS)
        self.assertEqual(rules.expected_wait_ms(request, [], NOW_MS), 0.0)
        rules.note_engine_refusal(NOW_MS)
        behind_ms = rules.expected_wait_ms(request, [], NOW_MS)
        self.assertGreater(behind_ms, 0.0)
        urgent_ms = rules.expected_wait_ms(make_place(0).request, [], NOW_MS)
        self.assertAlmostEqual(urgent_ms, behind_ms / 3.0)
        self.assertEqual(rules.expected_wait_ms(request, [], NOW_MS + PEER_WAITING_MS + 1.0), 0.0)


class EnginePriorityTest(StreamTestCase):
    async def test_engines_are_told_the_priority_only_if_it_differs(self) -> None:
        """Guards against prompts that engines read in the order of their arrival although they
        differ in priority, and against a header where all streams have the same."""
        table: list[tuple[tuple[int, ...], int | None, int | None]] = [
            ((1,), None, None),
            ((1, 4), None, 1),
            ((1, 4), 4, 4),
        ]
        for configured, of_workspace, expected in table:
            with self.subTest(configured=configured, of_workspace=of_workspace):
                self.build("p1", "d1")
                self.answer_in_turn(FakeAnswer([events(1, 3)]))
                routes = make_table(tuple((priority, False) for priority in configured), ())
                self.context.priorities = ConfiguredPriorities(lambda routes=routes: routes)
                told: list[Any] = []
                prefill = self.backends.prefill

                async def note(server: Server, *call: Any, prefill: Any = prefill) -> Any:
                    told.append(call[-1])  # noqa: B023 - awaited within the iteration
                    return await prefill(server, *call)

                self.backends.prefill = note  # type: ignore[method-assign]
                request = make_request(tokens=TokenCounts(5_000, 100, 80))
                request.priority, request.workspace = of_workspace, WorkspaceId("a")
                await self.forwarder.forward(request, make_route(), LLM, self.sink)
                told += [dispatch.priority for _, dispatch in self.backends.dispatches]
                self.assertEqual(told, [expected, expected])


if __name__ == "__main__":
    unittest.main()
