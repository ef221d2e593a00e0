"""Plans how many engines of a service run prefill and decode, to maximize capacity."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence

import msgspec

from medlarvale.forwarding.fleet_messages import Demand
from medlarvale.forwarding.messages import EngineStage, Server, ServerState
from medlarvale.forwarding.prefill import DECODE_PREFILL_SPEED
from medlarvale.ids import ServerId

# At this utilization the mean wait of a prompt is about twice its prefill time (M/D/1 queue).
PREFILL_UTILIZATION = 0.8
# Requests differ in size, so the last tenth of an engine's memory is often too small for another.
DECODE_UTILIZATION = 0.9
# Minimum relative gain in capacity. A prefill engine is idle within 0.1 s and unavailable during
# the switch only; a decode engine finishes its streams first and accepts no others meanwhile.
MIN_GAIN = {EngineStage.DECODE: 0.1, EngineStage.PREFILL: 0.3}
# With capacity for this multiple of the load no change is needed: bursts stay below 2.5.
AMPLE_CAPACITY = 4.0
# Minimum share of the present capacity that remains while engines switch.
MIN_CAPACITY_DURING_CHANGE = 0.9
# The gain must persist for this time, so that a few long prompts do not trigger a change.
SUSTAIN_MS = {EngineStage.DECODE: 1_000.0, EngineStage.PREFILL: 4_000.0}
# Delay between the end of a switch and the next decision, so that its effect is measured first.
SETTLE_MS = 2_000.0

# Delay after a refused order; the server list shows a lost engine by then.
REFUSED_PAUSE_MS = 1_000.0


class StageCounts(msgspec.Struct, frozen=True):
    """Number of engines of a service per stage."""

    prefill: int
    decode: int

    def after_change(self, stage: EngineStage, count: int) -> StageCounts:
        """Returns the counts after some engines changed to a stage."""
        step = count if stage is EngineStage.DECODE else -count
        return StageCounts(self.prefill - step, self.decode + step)

    def during_change(self, stage: EngineStage, count: int) -> StageCounts:
        """Returns the counts while some engines change to a stage and serve neither."""
        if stage is EngineStage.DECODE:
            return StageCounts(self.prefill - count, self.decode)
        return StageCounts(self.prefill, self.decode - count)


class StageChange(msgspec.Struct, frozen=True):
    """A planned change of stage.

    Attributes:
        stage: the new stage.
        count: number of engines to change.
    """

    stage: EngineStage
    count: int


class EngineCapacity(msgspec.Struct, frozen=True):
    """Capacity of one engine.

    Attributes:
        prefill_per_s: prompt tokens that it prefills per second; None if not measured yet.
        memory_tokens: size of its KV cache in tokens.
        slots: streams that it runs concurrently.
    """

    prefill_per_s: float | None
    memory_tokens: int
    slots: int


def capacity(counts: StageCounts, demand: Demand, engine: EngineCapacity) -> float:
    """Returns the multiple of the present load that engines could serve.

    Prompts that exceed the prefill capacity are prefilled by decode engines, whose streams are
    slowed down and hold their memory for longer.

    Args:
        counts: engines per stage.
        demand: present load.
        engine: capacity of each engine.
    """
    if engine.prefill_per_s is None:
        return math.inf
    decode_need = max(
        demand.decode_tokens / (engine.memory_tokens * DECODE_UTILIZATION),
        demand.decode_streams / (engine.slots * DECODE_UTILIZATION),
    )
    prefill_need = demand.prompt_tokens_per_s / (engine.prefill_per_s * PREFILL_UTILIZATION)
    if decode_need <= 0.0 or prefill_need <= 0.0:
        return math.inf
    decode_ratio = counts.decode / decode_need
    prefill_ratio = counts.prefill / prefill_need
    if decode_ratio <= prefill_ratio:
        return decode_ratio
    local_prefill_need = prefill_need * PREFILL_UTILIZATION / DECODE_PREFILL_SPEED
    return (counts.decode + prefill_ratio * local_prefill_need) / (decode_need + local_prefill_need)


def plan_change(counts: StageCounts, demand: Demand, engine: EngineCapacity) -> StageChange | None:
    """Returns the change that maximizes capacity.

    None if the gain is too small, or if the load or the capacity has not been measured yet.
    """
    if counts.prefill < 1 or counts.decode < 1:
        return None

    def capacity_of(other: StageCounts) -> float:
        return capacity(other, demand, engine)

    present = capacity_of(counts)
    if present >= AMPLE_CAPACITY:
        return None
    engines = counts.prefill + counts.decode
    # Among equal capacities, prefer the fewest changes.
    best = max(
        (StageCounts(prefill, engines - prefill) for prefill in range(1, engines)),
        key=lambda other: (capacity_of(other), -abs(other.prefill - counts.prefill)),
    )
    stage = EngineStage.DECODE if best.decode > counts.decode else EngineStage.PREFILL
    if capacity_of(best) < present * (1.0 + MIN_GAIN[stage]):
        return None
    count = abs(best.decode - counts.decode)
    while (
        count > 1
        and capacity_of(counts.during_change(stage, count)) < MIN_CAPACITY_DURING_CHANGE * present
    ):
        count -= 1
    return StageChange(stage, count)


class StagePlanner:
    """Decides when engines change their stage, with delays between the changes."""

    def __init__(self) -> None:
        self._pending_stage: EngineStage | None = None
        self._pending_since_ms = 0.0
        self._not_before_ms = 0.0

    def decide(
        self,
        engines: Sequence[Server],
        demand: Demand,
        engine: EngineCapacity,
        now_ms: float,
    ) -> StageChange | None:
        """Returns the change to carry out now, or None."""
        change = plan_change(count_stages(engines), demand, engine)
        stage = change.stage if change is not None else None
        if stage is not self._pending_stage:
            self._pending_stage, self._pending_since_ms = stage, now_ms
        if change is None or now_ms < self._not_before_ms:
            return None
        sustained = now_ms - self._pending_since_ms >= SUSTAIN_MS[change.stage]
        return change if sustained else None

    def note_change(self, now_ms: float, switch_ms: float) -> None:
        """Delays the next decision after an order was sent."""
        self._not_before_ms = now_ms + switch_ms + SETTLE_MS
        self._pending_stage = None

    def note_refused(self, now_ms: float) -> None:
        """Shortens the delay after an order that no engine accepted."""
        self._not_before_ms = now_ms + REFUSED_PAUSE_MS


def count_stages(engines: Sequence[Server]) -> StageCounts:
    """Counts the ready engines per stage."""
    ready = [engine for engine in engines if engine.state is ServerState.READY]
    return StageCounts(
        sum(engine.stage is EngineStage.PREFILL for engine in ready),
        sum(engine.stage is EngineStage.DECODE for engine in ready),
    )


def choose_donors(
    engines: Sequence[Server], change: StageChange, in_flight: dict[ServerId, int]
) -> list[Server]:
    """Selects the engines to change, so that failure domains keep engines of both stages.

    Engines are selected from the failure domains with the largest surplus of the other stage, the
    least loaded first.
    """
    ready = [
        engine
        for engine in engines
        if engine.state is ServerState.READY and engine.stage is not None
    ]
    donors = [engine for engine in ready if engine.stage is not change.stage]
    decoding = Counter(engine.software for engine in ready if engine.stage is EngineStage.DECODE)
    # Per failure domain: donors minus engines that already serve the new stage.
    surplus = {engine.failure_domain: 0 for engine in ready}
    for engine in ready:
        surplus[engine.failure_domain] += 1 if engine.stage is not change.stage else -1
    chosen: list[Server] = []
    while len(chosen) < change.count:
        # Streams that a version has begun can go on only while one of its engines decodes.
        movable = [
            donor
            for donor in donors
            if donor.stage is EngineStage.PREFILL or decoding[donor.software] > 1
        ]
        if not movable:
            break
        donor = min(
            movable,
            key=lambda engine: (
                -surplus[engine.failure_domain],
                in_flight.get(engine.server, 0),
                engine.server,
            ),
        )
        donors.remove(donor)
        if donor.stage is EngineStage.DECODE:
            decoding[donor.software] -= 1
        surplus[donor.failure_domain] -= 2
        chosen.append(donor)
    return chosen
