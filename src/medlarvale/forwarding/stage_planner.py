"""Divides the engines of a service between prefill and decode so that most requests fit."""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec

from medlarvale.forwarding.fleet_messages import Demand
from medlarvale.forwarding.messages import EngineStage, Server, ServerState
from medlarvale.forwarding.prefill import DECODE_PREFILL_SPEED
from medlarvale.ids import ServerId

# At this load a prompt waits about twice as long as it takes to read it (M/D/1 queue).
PREFILL_FILL = 0.8
# Requests differ in size, so the last tenth of an engine's memory is often too small for the next.
DECODE_FILL = 0.9
# Share by which the capacity has to rise. A prefill engine is idle within 0.1 s and away for the
# switch only; a decode engine first finishes its streams and takes no others.
MIN_GAIN = {EngineStage.DECODE: 0.1, EngineStage.PREFILL: 0.3}
# A fleet that could serve this many times the load gains nothing: bursts stay below 2.5.
IDLE_CAPACITY = 4.0
# Share of the capacity that is left while engines switch.
KEPT_CAPACITY = 0.9
# The advantage has to last this long, so that a few long prompts move no engine.
SUSTAIN_MS = {EngineStage.DECODE: 1_000.0, EngineStage.PREFILL: 4_000.0}
# Time from the end of a switch to the next, so that its effect is seen first.
SETTLE_MS = 2_000.0

# Time until another order after a refused one: the list tells of a lost engine by then.
REFUSED_PAUSE_MS = 1_000.0


class Division(msgspec.Struct, frozen=True):
    """Numbers of engines of a service by stage."""

    prefill: int
    decode: int

    def moved(self, stage: EngineStage, count: int) -> Division:
        """Returns the division after some engines changed to a stage."""
        step = count if stage is EngineStage.DECODE else -count
        return Division(self.prefill - step, self.decode + step)

    def without_donors(self, stage: EngineStage, count: int) -> Division:
        """Returns the division while some engines change to a stage."""
        if stage is EngineStage.DECODE:
            return Division(self.prefill - count, self.decode)
        return Division(self.prefill, self.decode - count)


class Move(msgspec.Struct, frozen=True):
    """Engines that should change their stage.

    Attributes:
        stage: the stage that they should get.
    """

    stage: EngineStage
    count: int


def capacity(division: Division, demand: Demand, prefill_per_s: float, memory: int) -> float:
    """Returns how many times the present load a division could serve.

    Prompts that the prefill engines have no time for are read by decode engines, whose streams
    take longer meanwhile and hold their memory for longer.

    Args:
        prefill_per_s: prompt tokens that one engine reads a second.
        memory: KV cache of one engine in tokens.
    """
    decode_need = demand.decode_tokens / (memory * DECODE_FILL)
    prefill_need = demand.prompt_tokens_per_s / (prefill_per_s * PREFILL_FILL)
    if decode_need <= 0.0 or prefill_need <= 0.0:
        return math.inf
    decoded = division.decode / decode_need
    read = division.prefill / prefill_need
    if decoded <= read:
        return decoded
    own_reading_need = prefill_need * PREFILL_FILL / DECODE_PREFILL_SPEED
    return (division.decode + read * own_reading_need) / (decode_need + own_reading_need)


def wanted_move(
    division: Division, demand: Demand, prefill_per_s: float, memory: int
) -> Move | None:
    """Returns the engines that should change their stage now; None if nothing is gained."""
    if division.prefill < 1 or division.decode < 1:
        return None

    def of(other: Division) -> float:
        return capacity(other, demand, prefill_per_s, memory)

    now = of(division)
    if now >= IDLE_CAPACITY:
        return None
    engines = division.prefill + division.decode
    # Among equals the nearest, so that no engine is moved for nothing.
    best = max(
        (Division(prefill, engines - prefill) for prefill in range(1, engines)),
        key=lambda other: (of(other), -abs(other.prefill - division.prefill)),
    )
    stage = EngineStage.DECODE if best.decode > division.decode else EngineStage.PREFILL
    if of(best) < now * (1.0 + MIN_GAIN[stage]):
        return None
    count = abs(best.decode - division.decode)
    while count > 1 and of(division.without_donors(stage, count)) < KEPT_CAPACITY * now:
        count -= 1
    return Move(stage, count)


class StagePlanner:
    """Decides when engines change their stage, with pauses between the switches."""

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
    ) -> Move | None:
        """Returns the engines that should change their stage now."""
        move = wanted_move(divide(engines), demand, prefill_per_s, memory)
        stage = move.stage if move is not None else None
        if stage is not self._wanted:
            self._wanted, self._wanted_since_ms = stage, now_ms
        if move is None or now_ms < self._not_before_ms:
            return None
        sustained = now_ms - self._wanted_since_ms >= SUSTAIN_MS[move.stage]
        return move if sustained else None

    def note_change(self, now_ms: float, switch_ms: float) -> None:
        """Pauses after an order was given."""
        self._not_before_ms = now_ms + switch_ms + SETTLE_MS
        self._wanted = None

    def note_refused(self, now_ms: float) -> None:
        """Ends the pause after an order that no engine took."""
        self._not_before_ms = now_ms + REFUSED_PAUSE_MS


def divide(engines: Sequence[Server]) -> Division:
    """Counts the engines that take work."""
    ready = [engine for engine in engines if engine.state is ServerState.READY]
    return Division(
        sum(engine.stage is EngineStage.PREFILL for engine in ready),
        sum(engine.stage is EngineStage.DECODE for engine in ready),
    )


def choose_donors(
    engines: Sequence[Server], move: Move, in_flight: dict[ServerId, int]
) -> list[Server]:
    """Returns the engines to be moved, so that failure domains keep engines of both stages.

    They come from the domains with most donors and fewest engines of the stage that gets them,
    the ones with least work first.
    """
    ready = [
        engine
        for engine in engines
        if engine.state is ServerState.READY and engine.stage is not None
    ]
    donors = [engine for engine in ready if engine.stage is not move.stage]
    # Donors of a domain less its engines of the wanted stage.
    surplus = {engine.failure_domain: 0 for engine in ready}
    for engine in ready:
        surplus[engine.failure_domain] += 1 if engine.stage is not move.stage else -1
    chosen: list[Server] = []
    while donors and len(chosen) < move.count:
        donor = min(
            donors,
            key=lambda engine: (
                -surplus[engine.failure_domain],
                in_flight.get(engine.server, 0),
                engine.server,
            ),
        )
        donors.remove(donor)
        surplus[donor.failure_domain] -= 2
        chosen.append(donor)
    return chosen
