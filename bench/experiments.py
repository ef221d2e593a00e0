"""Definitions of the placement experiments and of the capacity that loads are relative to."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from bench.fakes import step_ms
from bench.figures import Figures, summarize
from bench.oracle import OraclePolicy, ShortestFirstOraclePolicy
from bench.policies import IndependentPolicy, SchedulerPolicy, TwoChoicesPolicy
from bench.runner import Policy, Runner, Scenario
from bench.workload import MEAN_OUTPUT_TOKENS, MEAN_PROMPT_TOKENS
from medlarvale.scheduling.limits import GroupLimits

SEED = 20_261
LOADS = (0.5, 0.7, 0.9, 1.0, 1.2, 1.5)
POLICIES: dict[str, Callable[[GroupLimits], Policy]] = {
    "alone": IndependentPolicy,
    "two-choices": TwoChoicesPolicy,
    "booker": SchedulerPolicy,
    "oracle": OraclePolicy,
}
# Run at a single load for comparison; no target refers to it.
SHORTEST_FIRST = "oracle-shortest-first"


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One policy in one scenario."""

    experiment: str
    policy: str
    scenario: Scenario


def capacity_per_s(prefill_engines: int, decode_engines: int, limits: GroupLimits) -> float:
    """Returns the request rate at which prefill time or decode slots are exhausted.

    Assumes no prefix cache hits, and that a slot is in use only while tokens are generated.
    """
    slots = limits.slots_per_engine
    decode = 1000.0 * decode_engines * slots / (MEAN_OUTPUT_TOKENS * step_ms(slots))
    prefill = prefill_engines * limits.prefill_tokens_per_s / MEAN_PROMPT_TOKENS
    return min(decode, prefill)


def make_scenario(
    prefill_engines: int, decode_engines: int, load: float, hosts: int = 5, **options: object
) -> Scenario:
    """Returns a scenario whose load is a share of the capacity of its engines."""
    rate = capacity_per_s(prefill_engines, decode_engines, GroupLimits())
    scenario = Scenario(prefill_engines, decode_engines, hosts, load * rate, load, seed=SEED)
    return dataclasses.replace(scenario, **options)  # type: ignore[arg-type]


def all_runs() -> list[Run]:
    """Returns the runs of all experiments.

    ``main`` has 20 engines; ``glatfore`` and ``ventilo`` have the engines of the two deployments.
    ``faults`` loses one decode engine of 17 per minute, more than the one in twenty of the target.
    """
    runs = [Run("main", SHORTEST_FIRST, make_scenario(3, 17, 1.2))]
    for policy in POLICIES:
        for load in LOADS:
            runs += [
                Run("main", policy, make_scenario(3, 17, load)),
                Run("bursty", policy, make_scenario(3, 17, load, bursty=True)),
                Run("faults", policy, make_scenario(3, 17, load, losses_per_minute=1)),
            ]
        for load in (0.9, 1.2):
            runs += [
                Run("glatfore", policy, make_scenario(1, 4, load)),
                Run("ventilo", policy, make_scenario(1, 5, load, hosts=4)),
                Run("lag-2s", policy, make_scenario(3, 17, load, report_lag_ms=2_000.0)),
            ]
    return runs


def execute(run: Run) -> Figures:
    """Executes one run in a worker process."""
    limits = GroupLimits()
    policy = ShortestFirstOraclePolicy if run.policy == SHORTEST_FIRST else POLICIES[run.policy]
    runner = Runner(run.scenario, limits, policy(limits))
    requests = runner.run()
    return summarize(run.experiment, run.policy, run.scenario, runner, requests)
