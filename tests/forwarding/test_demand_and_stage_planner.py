"""Engines follow the load between prefill and decode, without swinging.

Patterns: long answers with decode memory short (Ventilo Breizh), short bursts, long prompts.
"""

from __future__ import annotations

import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from medlarvale.forwarding.demand import FIRST_HOLD_MS, DemandMeter
from medlarvale.forwarding.fleet_messages import Demand
from medlarvale.forwarding.messages import EngineStage, Server, ServerState
from medlarvale.forwarding.stage_planner import (
    DECODE_FILL,
    KEPT_CAPACITY,
    PREFILL_FILL,
    SETTLE_MS,
    SUSTAIN_MS,
    Division,
    Move,
    StagePlanner,
    capacity,
    choose_donors,
    wanted_move,
)
from medlarvale.ids import ServerId
from tests.forwarding.fakes import make_server

SPEED_PER_S = 45_000.0
MEMORY = 60_000
SWITCH_MS = 6_000.0
PREFILL, DECODE = EngineStage.PREFILL, EngineStage.DECODE


def engines(prefill: int, decode: int) -> list[Server]:
    return [make_server(f"p{n}", stage=PREFILL) for n in range(prefill)] + [
        make_server(f"d{n}", stage=DECODE) for n in range(decode)
    ]


class CapacityTest(unittest.TestCase):
    def test_the_scarcer_stage_decides(self) -> None:
        load = Demand(SPEED_PER_S * PREFILL_FILL, 2 * MEMORY * DECODE_FILL)
        table: list[tuple[str, Division, float]] = [
            ("decode memory", Division(3, 2), 1.0),
            ("both", Division(1, 2), 1.0),
            ("prompts, partly read by decode engines", Division(1, 6), 7.6 / 3.6),
            ("all prompts read by decode engines", Division(0, 6), 6 / 3.6),
        ]
        for name, division, expected in table:
            with self.subTest(name):
                self.assertAlmostEqual(capacity(division, load, SPEED_PER_S, MEMORY), expected)

    def test_no_load_always_fits(self) -> None:
        self.assertEqual(capacity(Division(1, 1), Demand(0.0, 0.0), SPEED_PER_S, MEMORY), math.inf)


class WantedMoveTest(unittest.TestCase):
    def test_known_loads(self) -> None:
        table: list[tuple[str, Division, Demand, Move | None]] = [
            ("decode memory short", Division(3, 3), Demand(33_000, 131_000), Move(DECODE, 2)),
            ("bursts ahead", Division(2, 3), Demand(33_000, 131_000), Move(DECODE, 1)),
            ("already right", Division(1, 4), Demand(33_000, 131_000), None),
            ("idle", Division(3, 3), Demand(1_000, 5_000), None),
            ("prompts far too long", Division(1, 4), Demand(160_000, 30_000), Move(PREFILL, 1)),
            ("last prefill engine stays", Division(1, 2), Demand(10_000, 300_000), None),
            ("last decode engine stays", Division(2, 1), Demand(300_000, 30_000), None),
            ("no engine of a stage", Division(0, 3), Demand(9_000, 9_000), None),
            ("a gain of a twentieth", Division(2, 2), Demand(60_000, 120_000), None),
            ("a large fleet", Division(16, 29), Demand(260_000, 1_300_000), Move(DECODE, 6)),
        ]
        for name, division, demand, expected in table:
            with self.subTest(name):
                self.assertEqual(wanted_move(division, demand, SPEED_PER_S, MEMORY), expected)

    @given(
        st.integers(1, 20),
        st.integers(1, 20),
        st.floats(0, 600_000),
        st.floats(0, 900_000),
    )
    def test_a_move_gains_and_is_not_taken_back(
        self, prefill: int, decode: int, prompts: float, memory: float
    ) -> None:
        """Guards against roles that swing to and fro under a steady load, and against moves that
        leave too few engines at work meanwhile."""
        division, demand = Division(prefill, decode), Demand(prompts, memory)
        move = wanted_move(division, demand, SPEED_PER_S, MEMORY)
        if move is None:
            return
        now = capacity(division, demand, SPEED_PER_S, MEMORY)
        meanwhile = division.without_donors(move.stage, move.count)
        if move.count > 1:
            kept = capacity(meanwhile, demand, SPEED_PER_S, MEMORY)
            self.assertGreaterEqual(kept, KEPT_CAPACITY * now)
        changed = division.moved(move.stage, move.count)
        self.assertGreaterEqual(min(changed.prefill, changed.decode), 1)
        back = wanted_move(changed, demand, SPEED_PER_S, MEMORY)
        if back is not None:
            self.assertIs(back.stage, move.stage)
        else:
            self.assertGreater(capacity(changed, demand, SPEED_PER_S, MEMORY), now)


class RolePlannerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.planner = StagePlanner()

    def decide(self, now_ms: float, demand: Demand, division: tuple[int, int] = (3, 3)):  # type: ignore[no-untyped-def]
        return self.planner.decide(engines(*division), demand, SPEED_PER_S, MEMORY, now_ms)

    def test_an_advantage_has_to_last(self) -> None:
        """Guards against a switch for a few requests, which takes longer than they do."""
        short, calm = Demand(33_000, 131_000), Demand(3_000, 10_000)
        self.assertIsNone(self.decide(0.0, short))
        self.assertIsNone(self.decide(SUSTAIN_MS[DECODE] / 2, calm))
        self.assertIsNone(self.decide(SUSTAIN_MS[DECODE], short))
        self.assertEqual(self.decide(2 * SUSTAIN_MS[DECODE], short), Move(DECODE, 2))

    def test_a_pause_follows_each_order(self) -> None:
        short = Demand(66_000, 262_000)
        self.decide(0.0, short)
        self.assertIsNotNone(self.decide(2_000.0, short))
        self.planner.note_change(2_000.0, SWITCH_MS)
        self.assertIsNone(self.decide(7_000.0, short))
        end_ms = 2_000.0 + SWITCH_MS + SETTLE_MS + SUSTAIN_MS[DECODE]
        self.assertIsNotNone(self.decide(end_ms, short))

    def test_donors_have_the_least_work(self) -> None:
        fleet = engines(2, 3)
        busy = {ServerId("p0"): 900, ServerId("p1"): 100}
        self.assertEqual(choose_donors(fleet, Move(DECODE, 1), busy), [fleet[1]])
        leaving = [make_server("p1", stage=PREFILL, state=ServerState.DRAINING), *engines(0, 1)]
        self.assertEqual(choose_donors(leaving, Move(DECODE, 1), {}), [])

    def test_donors_come_from_several_domains(self) -> None:
        """Guards against a failure domain that has no engine of a stage when it is cut off."""
        fleet = [
            make_server(f"{stage.value[0]}{domain}{n}", stage=stage, domain=domain)
            for domain, prefill, decode in (("a", 3, 0), ("b", 2, 1), ("c", 1, 2))
            for stage, count in ((PREFILL, prefill), (DECODE, decode))
            for n in range(count)
        ]
        donors = choose_donors(fleet, Move(DECODE, 3), {})
        self.assertEqual([donor.server for donor in donors], ["pa0", "pa1", "pb0"])


class DemandMeterTest(unittest.TestCase):
    def test_steady_arrivals_give_their_rate_soon(self) -> None:
        """Guards against a first estimate that is far too low, which delays the first order."""
        meter = DemandMeter()
        for step in range(60):
            meter.note_arrival(5_000, 6_000, step * 200.0)
        for now_ms in (4_000.0, 12_000.0):
            with self.subTest(now_ms):
                fresh = DemandMeter()
                for step in range(int(now_ms / 200.0)):
                    fresh.note_arrival(5_000, 6_000, step * 200.0)
                demand = fresh.demand(now_ms)
                self.assertAlmostEqual(demand.prompt_tokens_per_s, 25_000, delta=2_500)
                expected = 30_000 * FIRST_HOLD_MS / 1000.0
                self.assertAlmostEqual(demand.decode_tokens, expected, delta=expected * 0.1)

    def test_a_burst_counts_less_than_a_lasting_load(self) -> None:
        meter = DemandMeter()
        for step in range(100):
            meter.note_arrival(5_000, 6_000, step * 200.0)
        for step in range(20):
            meter.note_arrival(5_000, 6_000, 20_000.0 + step * 100.0)
        self.assertLess(meter.demand(22_000.0).prompt_tokens_per_s, 32_000)

    def test_few_wrong_hints_do_not_rule_the_expected_time(self) -> None:
        """Guards against requests that are refused for lack of time though there is enough: the
        mean of quotients had risen to several times the true time of a token."""
        meter = DemandMeter()
        for number in range(200):
            hinted = 64 if number % 10 == 0 else 900
            meter.note_decode(hinted, 700 * 4.5)
        self.assertAlmostEqual(meter.decode_ms(800), 800 * 4.5, delta=800 * 0.9)

    def test_speed_is_that_of_an_idle_engine(self) -> None:
        meter = DemandMeter()
        meter.note_prefill(5_000, 100.0)
        meter.note_prefill(5_000, 400.0)
        self.assertAlmostEqual(meter.tokens_per_ms, 50.0, delta=0.5)
