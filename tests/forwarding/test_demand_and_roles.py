"""Engines follow the load between prefill and decode, without swinging.

Patterns: long answers with decode memory short (Ventilo Breizh), short bursts, long prompts.
"""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from medlarvale.forwarding.demand import FIRST_HOLD_MS, DemandMeter
from medlarvale.forwarding.fleet_messages import Demand
from medlarvale.forwarding.messages import EngineStage, Server, ServerState
from medlarvale.forwarding.roles import (
    MIN_GAIN,
    SETTLE_MS,
    SUSTAIN_MS,
    Division,
    RolePlanner,
    choose_donor,
    pressure,
    wanted_step,
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


class WantedStepTest(unittest.TestCase):
    def test_known_loads(self) -> None:
        table: list[tuple[str, Division, Demand, EngineStage | None]] = [
            ("decode memory short", Division(3, 3), Demand(33_000, 131_000), DECODE),
            ("already right", Division(2, 4), Demand(33_000, 131_000), None),
            ("balanced", Division(2, 3), Demand(22_000, 90_000), None),
            ("idle", Division(3, 3), Demand(1_000, 5_000), None),
            ("prompts far too long", Division(1, 4), Demand(60_000, 60_000), PREFILL),
            ("last prefill engine stays", Division(1, 2), Demand(10_000, 300_000), None),
            ("last decode engine stays", Division(2, 1), Demand(300_000, 30_000), None),
            ("no engine of a stage", Division(0, 3), Demand(9_000, 9_000), None),
        ]
        for name, division, demand, expected in table:
            with self.subTest(name):
                self.assertIs(wanted_step(division, demand, SPEED_PER_S, MEMORY), expected)

    @given(
        st.integers(1, 8),
        st.integers(1, 8),
        st.floats(0, 300_000),
        st.floats(0, 500_000),
    )
    def test_a_step_gains_and_is_not_taken_back(
        self, prefill: int, decode: int, prompts: float, memory: float
    ) -> None:
        """Guards against roles that swing to and fro under a steady load."""
        division, demand = Division(prefill, decode), Demand(prompts, memory)
        step = wanted_step(division, demand, SPEED_PER_S, MEMORY)
        if step is None:
            return
        change = 1 if step is PREFILL else -1
        changed = Division(prefill + change, decode - change)
        before = pressure(division, demand, SPEED_PER_S, MEMORY)
        after = pressure(changed, demand, SPEED_PER_S, MEMORY)
        self.assertLess(after, before * (1.0 - MIN_GAIN[step]))
        self.assertNotEqual(
            wanted_step(changed, demand, SPEED_PER_S, MEMORY),
            DECODE if step is PREFILL else PREFILL,
        )


class RolePlannerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.planner = RolePlanner()

    def decide(self, now_ms: float, demand: Demand, division: tuple[int, int] = (3, 3)):  # type: ignore[no-untyped-def]
        return self.planner.decide(engines(*division), demand, SPEED_PER_S, MEMORY, now_ms)

    def test_an_advantage_has_to_last(self) -> None:
        """Guards against a switch for a few requests, which takes longer than they do."""
        short, calm = Demand(33_000, 131_000), Demand(3_000, 10_000)
        self.assertIsNone(self.decide(0.0, short))
        self.assertIsNone(self.decide(SUSTAIN_MS[DECODE] / 2, calm))
        self.assertIsNone(self.decide(SUSTAIN_MS[DECODE], short))
        self.assertIs(self.decide(2 * SUSTAIN_MS[DECODE], short), DECODE)

    def test_a_pause_follows_each_order(self) -> None:
        short = Demand(66_000, 262_000)
        self.decide(0.0, short)
        self.assertIs(self.decide(2_000.0, short), DECODE)
        self.planner.note_change(2_000.0, SWITCH_MS)
        self.assertIsNone(self.decide(7_000.0, short))
        end_ms = 2_000.0 + SWITCH_MS + SETTLE_MS + SUSTAIN_MS[DECODE]
        self.assertIs(self.decide(end_ms, short), DECODE)

    def test_the_donor_has_the_least_work(self) -> None:
        fleet = engines(2, 3)
        busy = {ServerId("p0"): 900, ServerId("p1"): 100}
        self.assertEqual(choose_donor(fleet, DECODE, busy), fleet[1])
        leaving = [make_server("p1", stage=PREFILL, state=ServerState.DRAINING), *engines(0, 1)]
        self.assertIsNone(choose_donor(leaving, DECODE, {}))


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
