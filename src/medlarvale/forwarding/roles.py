"""Divides the engines of a service between prefill and decode by the load on each."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from medlarvale.forwarding.fleet_messages import Demand
from medlarvale.forwarding.messages import EngineStage, Server, ServerState
from medlarvale.ids import ServerId

# At this load a prompt waits about as long as it takes to read it (M/D/1 queue).
PREFILL_TARGET_LOAD = 0.7
# Requests differ in size, so the last fifth of an engine's memory is often too small for the next.
DECODE_TARGET_LOAD = 0.8
# A switch takes an engine away for seconds, so it has to bring more than this share. A decode
# engine first finishes its streams and takes no others, so it is away for longer.
MIN_GAIN = {EngineStage.DECODE: 0.15, EngineStage.PREFILL: 0.3}
# Below this part of both targets no division is better than another.
IDLE_PRESSURE = 0.4
# The advantage has to last this long, so that a few long prompts move no engine.
SUSTAIN_MS = {EngineStage.DECODE: 1_000.0, EngineStage.PREFILL: 4_000.0}
# Time from the end of a switch to the next, so that its effect is seen first.
SETTLE_MS = 6_000.0


class Division(msgspec.Struct, frozen=True):
    """Numbers of engines of a service by stage."""

    prefill: int
    decode: int


def pressure(division: Division, demand: Demand, prefill_per_s: float, memory: int) -> float:
    """Returns the load of the stage that is further beyond its target, as a share of the target.

    Args:
        prefill_per_s: prompt tokens that one engine reads a second.
        memory: KV cache of one engine in tokens.
    """
    prefill = demand.prompt_tokens_per_s / (division.prefill * prefill_per_s)
    decode = demand.decode_tokens / (division.decode * memory)
    return max(prefill / PREFILL_TARGET_LOAD, decode / DECODE_TARGET_LOAD)


def wanted_step(
    division: Division, demand: Demand, prefill_per_s: float, memory: int
) -> EngineStage | None:
    """Returns the stage that should get one engine of the other; None if none would gain."""
    if division.prefill < 1 or division.decode < 1:
        return None
    now = pressure(division, demand, prefill_per_s, memory)
    if now < IDLE_PRESSURE:
        return None
    best: EngineStage | None = None
    best_pressure = now
    for stage, step in ((EngineStage.DECODE, -1), (EngineStage.PREFILL, 1)):
        changed = Division(division.prefill + step, division.decode - step)
        if changed.prefill < 1 or changed.decode < 1:
            continue
        after = pressure(changed, demand, prefill_per_s, memory)
        if after < min(best_pressure, now * (1.0 - MIN_GAIN[stage])):
            best, best_pressure = stage, after
    return best


class RolePlanner:
    """Decides on one engine at a time, with pauses between the switches."""

    def __init__(self) -> None:
        self._wanted: EngineStage | None = None
        self._wanted_since_ms = 0.0
        self._not_before_ms = 0.0

    def decide(
        self,
        engines: Sequence[Server],
        demand: Demand,
        prefill_per_s: float,
        memory: int,
        now_ms: float,
    ) -> EngineStage | None:
        """Returns the stage that should get one engine of the other stage now."""
        division = divide(engines)
        wanted = wanted_step(division, demand, prefill_per_s, memory)
        if wanted is not self._wanted:
            self._wanted, self._wanted_since_ms = wanted, now_ms
        if wanted is None or now_ms < self._not_before_ms:
            return None
        sustained = now_ms - self._wanted_since_ms >= SUSTAIN_MS[wanted]
        return wanted if sustained else None

    def note_change(self, now_ms: float, switch_ms: float) -> None:
        """Pauses after an order was given or an engine was found to have changed."""
        self._not_before_ms = now_ms + switch_ms + SETTLE_MS
        self._wanted = None


def divide(engines: Sequence[Server]) -> Division:
    """Counts the engines that take work."""
    ready = [engine for engine in engines if engine.state is ServerState.READY]
    return Division(
        sum(engine.stage is EngineStage.PREFILL for engine in ready),
        sum(engine.stage is EngineStage.DECODE for engine in ready),
    )


def choose_donor(
    engines: Sequence[Server], stage: EngineStage, in_flight: dict[ServerId, int]
) -> Server | None:
    """Returns the engine to be given to a stage: of the other stage, the one with least work."""
    donors = [
        engine
        for engine in engines
        if engine.state is ServerState.READY
        and engine.stage is not None
        and engine.stage is not stage
    ]
    return min(
        donors,
        key=lambda engine: (in_flight.get(engine.server, 0), engine.server),
        default=None,
    )
