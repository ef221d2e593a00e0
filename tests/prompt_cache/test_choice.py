"""Tests that caches decide only among engines that may be used and are still there."""

from __future__ import annotations

import unittest
from collections.abc import Callable

from medlarvale.forwarding.context import ForwardingContext
from medlarvale.forwarding.demand import DemandMeter
from medlarvale.forwarding.guarded_run import GuardedRun
from medlarvale.forwarding.messages import EngineStage, PromptPartId
from medlarvale.forwarding.prefill import DECODE_PREFILL_SPEED, PrefillDispatcher
from medlarvale.forwarding.servers import ServerLoad
from medlarvale.ids import ServerId
from medlarvale.prompt_cache.records import prompt_parts
from medlarvale.prompt_cache.speed import MIN_SAMPLES
from tests.forwarding.fakes import (
    LLM,
    FakeBackends,
    FakeGuard,
    make_context,
    make_request,
    make_route,
    make_server,
)

SHARED, LAST = PromptPartId("s1"), PromptPartId("r1")
SIZES = (13_300, 700)
TOKENS_PER_MS = 50.0
DRAWS = 24


class ChoiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.context: ForwardingContext = make_context(
            FakeBackends(),
            make_server("p1", stage=EngineStage.PREFILL),
            make_server("p2", stage=EngineStage.PREFILL),
            make_server("d1", stage=EngineStage.DECODE),
        )
        self.now_ms = self.context.clock.now_ms()
        self.meter = DemandMeter()
        self.request = make_request(prompt_part=LAST, shared_parts=(SHARED,), part_tokens=SIZES)
        self.parts = prompt_parts((SHARED,), LAST, SIZES)
        for _ in range(2 * MIN_SAMPLES):
            self.meter.model.note_prefill(1_000, 1_000.0 / TOKENS_PER_MS, self.now_ms)
            for stage, share in (
                (EngineStage.PREFILL, 1.0),
                (EngineStage.DECODE, DECODE_PREFILL_SPEED),
            ):
                self.learn(stage, TOKENS_PER_MS * share)

    def learn(self, stage: EngineStage, speed: float) -> None:
        caches, tokens = self.context.prompt_caches, sum(SIZES)
        caches.note_prefill(LLM, stage, (), SIZES[0], tokens, tokens / speed, self.now_ms)
        caches.note_sent(-1, self.parts, self.now_ms)
        sent = caches.sent(-1, self.parts[:1], self.now_ms)
        caches.note_prefill(LLM, stage, sent, SIZES[0], tokens, SIZES[1] / speed, self.now_ms)

    def load(self, name: str) -> ServerLoad:
        load = self.context.servers.get(ServerId(name))
        assert load is not None
        return load

    def chosen(self, tried: set[ServerId]) -> set[str | None]:
        """Returns all engines that are chosen; None stands for the decode engine."""
        guarded = GuardedRun(
            FakeGuard(), self.context.clock, self.request, make_route(), LLM  # type: ignore[arg-type]
        )
        dispatcher = PrefillDispatcher(
            self.context, self.request, LLM, sum(SIZES), self.meter, guarded
        )
        loads = [dispatcher._choose(self.load("d1"), 0.0, tried) for _ in range(DRAWS)]
        return {load.server.server if load is not None else None for load in loads}

    def test_caches_override_nothing_else(self) -> None:
        def restart(name: str, **changes: object) -> None:
            server = make_server(name, stage=EngineStage.PREFILL, **changes)  # type: ignore[arg-type]
            self.context.servers.upsert(server)

        def switch_stage() -> None:
            self.context.servers.upsert(make_server("p1", stage=EngineStage.DECODE))
            restart("p1")

        def leave() -> None:
            self.context.servers.remove(ServerId("p1"))
            restart("p1")

        both = {"p1", "p2"}
        table: list[tuple[str, Callable[[], object], set[str], set[str | None]]] = [
            ("cached", lambda: None, set(), {"p1"}),
            ("tried", lambda: None, {"p1"}, {"p2"}),
            ("paused", lambda: self.load("p1").pause_after_failure(self.now_ms), set(), {"p2"}),
            ("long queue", lambda: setattr(self.load("p1"), "tokens", 28_000), set(), {"p2"}),
            ("restarted", lambda: restart("p1", born_ms=2), set(), both),
            ("stage", switch_stage, set(), both),  # type: ignore[list-item]
            ("left", leave, set(), both),  # type: ignore[list-item]
            ("version", lambda: restart("p1", software="v2"), set(), {"p2"}),
            ("decode engine", lambda: self.note_sent("d1"), {"p1"}, {None}),
        ]
        for name, change, tried, expected in table:
            with self.subTest(name):
                self.setUp()
                self.note_sent("p1")
                change()
                self.assertEqual(self.chosen({ServerId(each) for each in tried}), expected)

    def note_sent(self, name: str) -> None:
        self.context.prompt_caches.note_sent(self.load(name).instance, self.parts, self.now_ms)
