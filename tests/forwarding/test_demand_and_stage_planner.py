"""Tests that engines change between prefill and decode with the load, without oscillating.

Load patterns: long answers with a shortage of decode memory (Ventilo Breizh), short bursts, long
prompts.
"""

from __future__ import annotations

import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from medlarvale.forwarding.demand import DemandMeter
from medlarvale.forwarding.engine_figures import MIN_EVIDENCE
from medlarvale.forwarding.fleet_messages import Demand
from medlarvale.forwarding.messages import EngineStage, Server, ServerState
from medlarvale.forwarding.stage_planner import (
    DECODE_UTILIZATION,
    MIN_CAPACITY_DURING_CHANGE,
    PREFILL_UTILIZATION,
    SETTLE_MS,
    SUSTAIN_MS,
    EngineCapacity,
    StageChange,
    StageCounts,
    StagePlanner,
    capacity,
    choose_donors,
    plan_change,
)
from medlarvale.ids import ServerId
from tests.forwarding.fakes import make_server

SPEED_PER_S = 45_000.0
MEMORY = 60_000
ENGINE = EngineCapacity(SPEED_PER_S, MEMORY, slots=64)
SWITCH_MS = 6_000.0
HOLD_MS = 3_000.0
PREFILL, DECODE = EngineStage.PREFILL, EngineStage.DECODE


def engines(prefill: int, decode: int) -> list[Server]:
    return [make_server(f"p{n}", stage=PREFILL) for n in range(prefill)] + [
        make_server(f"d{n}", stage=DECODE) for n in range(decode)
    ]


class CapacityTest(unittest.TestCase):
    def test_the_scarcer_stage_limits_capacity(self) -> None:
        load = Demand(SPEED_PER_S * PREFILL_UTILIZATION, 2 * MEMORY * DECODE_UTILIZATION)
        table: list[tuple[str, StageCounts, float]] = [
            ("decode memory", StageCounts(3, 2), 1.0),
            ("both", StageCounts(1, 2), 1.0),
            ("part of the prompts prefilled by decode engines", StageCounts(1, 6), 7.6 / 3.6),
            ("all prompts prefilled by decode engines", StageCounts(0, 6), 6 / 3.6),
        ]
        for name, counts, expected in table:
            with self.subTest(name):
                self.assertAlmostEqual(capacity(counts, load, ENGINE), expected)

    def test_slots_limit_capacity_like_memory(self) -> None:
        """Pattern: engines with few slots and much memory. Guards against a division of the engines
        that leaves requests without slots although there is memory."""
        few_slots = EngineCapacity(SPEED_PER_S, MEMORY, slots=10)
        load = Demand(SPEED_PER_S * PREFILL_UTILIZATION, MEMORY, 2 * 10 * DECODE_UTILIZATION)
        self.assertAlmostEqual(capacity(StageCounts(3, 2), load, few_slots), 1.0)

    def test_no_change_is_planned_on_unmeasured_figures(self) -> None:
        """Pattern: a cold start. Guards against orders that follow from the speed of other
        engines than these."""
        unmeasured = EngineCapacity(None, MEMORY, slots=64)
        table = [
            ("speed", unmeasured, Demand(200_000.0, 400_000.0, 60.0)),
            ("hold times", ENGINE, Demand(200_000.0, 0.0, 0.0)),
        ]
        for name, engine, load in table:
            with self.subTest(name):
                self.assertIsNone(plan_change(StageCounts(3, 3), load, engine))

    def test_capacity_is_infinite_without_load(self) -> None:
        self.assertEqual(capacity(StageCounts(1, 1), Demand(0.0, 0.0), ENGINE), math.inf)


class PlanChangeTest(unittest.TestCase):
    def test_planned_changes(self) -> None:
        table: list[tuple[str, StageCounts, Demand, StageChange | None]] = [
            (
                "shortage of decode memory",
                StageCounts(3, 3),
                Demand(33_000, 131_000),
                StageChange(DECODE, 2),
            ),
            ("bursts ahead", StageCounts(2, 3), Demand(33_000, 131_000), StageChange(DECODE, 1)),
            ("already optimal", StageCounts(1, 4), Demand(33_000, 131_000), None),
            ("idle", StageCounts(3, 3), Demand(1_000, 5_000), None),
            (
                "prompts far too long",
                StageCounts(1, 4),
                Demand(160_000, 30_000),
                StageChange(PREFILL, 1),
            ),
            ("last prefill engine stays", StageCounts(1, 2), Demand(10_000, 300_000), None),
            ("last decode engine stays", StageCounts(2, 1), Demand(300_000, 30_000), None),
            ("no engine of a stage", StageCounts(0, 3), Demand(9_000, 9_000), None),
            ("a gain of a twentieth", StageCounts(2, 2), Demand(60_000, 120_000), None),
            (
                "a large fleet",
                StageCounts(16, 29),
                Demand(260_000, 1_300_000),
                StageChange(DECODE, 6),
            ),
        ]
        for name, counts, demand, expected in table:
            with self.subTest(name):
                self.assertEqual(plan_change(counts, demand, ENGINE), expected)

    @given(
        st.integers(1, 20),
        st.integers(1, 20),
        st.floats(0, 600_000),
        st.floats(0, 900_000),
    )
    def test_a_change_gains_capacity_and_is_not_reverted(
        self, prefill: int, decode: int, prompts: float, memory: float
    ) -> None:
        """Guards against stages that oscillate under a constant load, and against changes that
        leave too few engines available during the switch."""
        counts, demand = StageCounts(prefill, decode), Demand(prompts, memory)
        change = plan_change(counts, demand, ENGINE)
        if change is None:
            return
        now = capacity(counts, demand, ENGINE)
        meanwhile = counts.during_change(change.stage, change.count)
        if change.count > 1:
            cached = capacity(meanwhile, demand, ENGINE)
            self.assertGreaterEqual(cached, MIN_CAPACITY_DURING_CHANGE * now)
        changed = counts.after_change(change.stage, change.count)
        self.assertGreaterEqual(min(changed.prefill, changed.decode), 1)
        back = plan_change(changed, demand, ENGINE)
        if back is not None:
            self.assertIs(back.stage, change.stage)
        else:
            self.assertGreater(capacity(changed, demand, ENGINE), now)


class StagePlannerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.planner = StagePlanner()

    def decide(self, now_ms: float, demand: Demand, counts: tuple[int, int] = (3, 3)):  # type: ignore[no-untyped-def]
        return self.planner.decide(engines(*counts), demand, ENGINE, now_ms)

    def test_a_gain_must_persist(self) -> None:
        """Guards against a switch for a few requests, which takes longer than the requests."""
        short, calm = Demand(33_000, 131_000), Demand(3_000, 10_000)
        self.assertIsNone(self.decide(0.0, short))
        self.assertIsNone(self.decide(SUSTAIN_MS[DECODE] / 2, calm))
        self.assertIsNone(self.decide(SUSTAIN_MS[DECODE], short))
        self.assertEqual(self.decide(2 * SUSTAIN_MS[DECODE], short), StageChange(DECODE, 2))

    def test_decisions_are_delayed_after_an_order(self) -> None:
        short = Demand(66_000, 262_000)
        self.decide(0.0, short)
        self.assertIsNotNone(self.decide(2_000.0, short))
        self.planner.note_change(2_000.0, SWITCH_MS)
        self.assertIsNone(self.decide(7_000.0, short))
        end_ms = 2_000.0 + SWITCH_MS + SETTLE_MS + SUSTAIN_MS[DECODE]
        self.assertIsNotNone(self.decide(end_ms, short))

    def test_the_least_loaded_engines_are_chosen(self) -> None:
        fleet = engines(2, 3)
        busy = {ServerId("p0"): 900, ServerId("p1"): 100}
        self.assertEqual(choose_donors(fleet, StageChange(DECODE, 1), busy), [fleet[1]])
        leaving = [make_server("p1", stage=PREFILL, state=ServerState.DRAINING), *engines(0, 1)]
        self.assertEqual(choose_donors(leaving, StageChange(DECODE, 1), {}), [])

    def test_the_last_decode_engine_of_a_version_keeps_its_stage(self) -> None:
        """Guards against streams that can't go on because the only engine of their version was
        ordered to prefill."""
        table: list[tuple[dict[str, str], int, list[str]]] = [
            ({"d0": "v1", "d1": "v1", "d2": "v2"}, 1, ["d0"]),
            ({"d0": "v1", "d1": "v1", "d2": "v2"}, 3, ["d0"]),
            ({"d0": "v1", "d1": "v2"}, 1, []),
            ({"d0": "v1"}, 1, []),
        ]
        for software, count, expected in table:
            with self.subTest(software=software, count=count):
                fleet = [
                    make_server(name, stage=DECODE, software=version)
                    for name, version in software.items()
                ]
                donors = choose_donors(fleet, StageChange(PREFILL, count), {})
                self.assertEqual([donor.server for donor in donors], expected)

    def test_engines_are_chosen_from_several_failure_domains(self) -> None:
        """Guards against a failure domain without an engine of some stage during a partition."""
        fleet = [
            make_server(f"{stage.value[0]}{domain}{n}", stage=stage, domain=domain)
            for domain, prefill, decode in (("a", 3, 0), ("b", 2, 1), ("c", 1, 2))
            for stage, count in ((PREFILL, prefill), (DECODE, decode))
            for n in range(count)
        ]
        donors = choose_donors(fleet, StageChange(DECODE, 3), {})
        self.assertEqual([donor.server for donor in donors], ["pa0", "pa1", "pb0"])


class DemandMeterTest(unittest.TestCase):
    def test_the_rate_of_constant_arrivals_is_estimated_soon(self) -> None:
        """Guards against an initial estimate far too low, which delays the first order."""
        meter = DemandMeter()
        for step in range(60):
            meter.note_arrival(5_000, 6_000, step * 200.0)
        for now_ms in (4_000.0, 12_000.0):
            with self.subTest(now_ms):
                fresh = DemandMeter()
                for step in range(int(now_ms / 200.0)):
                    fresh.note_arrival(5_000, 6_000, step * 200.0)
                for _ in range(int(MIN_EVIDENCE) + 1):
                    fresh.model.note_hold(HOLD_MS, now_ms)
                demand = fresh.demand(now_ms)
                self.assertAlmostEqual(demand.prompt_tokens_per_s, 25_000, delta=2_500)
                expected = 30_000 * HOLD_MS / 1000.0
                self.assertAlmostEqual(demand.decode_tokens, expected, delta=expected * 0.1)
                streams = 5.0 * HOLD_MS / 1000.0
                self.assertAlmostEqual(demand.decode_streams, streams, delta=streams * 0.1)

    def test_the_decode_load_is_unknown_until_streams_have_ended(self) -> None:
        meter = DemandMeter()
        meter.note_arrival(5_000, 6_000, 0.0)
        self.assertEqual(meter.demand(100.0).decode_tokens, 0.0)

    def test_a_burst_counts_less_than_a_sustained_load(self) -> None:
        meter = DemandMeter()
        for step in range(100):
            meter.note_arrival(5_000, 6_000, step * 200.0)
        for step in range(20):
            meter.note_arrival(5_000, 6_000, 20_000.0 + step * 100.0)
        self.assertLess(meter.demand(22_000.0).prompt_tokens_per_s, 32_000)
