"""Engine memory under random sequences of holding, resizing, cancelling and expiry."""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, invariant, multiple, rule

from medlarvale.ids import RequestId
from medlarvale.standins.engine_errors import EngineError, EngineFullError, StaleAttemptError
from medlarvale.standins.engine_memory import EngineMemory, Holding, HoldKey
from medlarvale.standins.engine_messages import HoldPhase
from tests.standins.support import hold_key

SLOTS = 3
KV_BLOCKS = 8
TIMES_MS = st.integers(1, 6)  # few values, so that expiry often coincides with the current time
KEYS = st.builds(hold_key, st.sampled_from("abcd"), st.integers(1, 4))


class MemoryMachine(RuleBasedStateMachine):
    """Compares EngineMemory with a simple model of the holdings and their expiry."""

    holdings = Bundle("holdings")

    def __init__(self) -> None:
        super().__init__()
        self.memory = EngineMemory(SLOTS, KV_BLOCKS, 2_000)
        self.now_ms = 0.0
        self.model: dict[HoldKey, Holding] = {}
        self.refused_through: dict[RequestId, int] = {}

    @rule(
        target=holdings,
        key=KEYS,
        kv_blocks=st.integers(0, KV_BLOCKS + 1),
        uses_slot=st.booleans(),
        ttl_ms=st.none() | TIMES_MS,
    )
    def hold(self, key: HoldKey, kv_blocks: int, uses_slot: bool, ttl_ms: int | None) -> object:
        end_ms = None if ttl_ms is None else self.now_ms + ttl_ms
        holding = Holding(key, "host-a/1", HoldPhase.RESERVED, kv_blocks, uses_slot, end_ms, 0.0)
        if key.attempt <= self.refused_through.get(key.request_id, 0):
            self.expect_refused(holding)
            return multiple()
        self.remove_released(self.memory.supersede(key, self.now_ms), key, key.attempt - 1)
        fits = (
            self.kv_blocks_used() + kv_blocks <= KV_BLOCKS
            and self.slots_used() + uses_slot <= SLOTS
        )
        try:
            self.memory.hold(holding)
        except EngineError:
            assert not fits or key in self.model
            return multiple()
        assert fits and key not in self.model
        self.model[key] = holding
        return holding

    @rule(holding=holdings, kv_blocks=st.integers(0, KV_BLOCKS + 1))
    def grow(self, holding: Holding, kv_blocks: int) -> None:
        if self.model.get(holding.key) is not holding:
            return
        others = self.kv_blocks_used() - holding.kv_blocks
        try:
            self.memory.resize(holding, kv_blocks)
        except EngineFullError:
            assert others + kv_blocks > KV_BLOCKS
        else:
            assert others + kv_blocks <= KV_BLOCKS

    @rule(holding=consumes(holdings))
    def close_connection(self, holding: Holding) -> None:
        if self.model.get(holding.key) is holding:
            assert self.memory.release(holding.key) is self.model.pop(holding.key)

    @rule(key=KEYS)
    def cancel(self, key: HoldKey) -> None:
        self.remove_released(self.memory.cancel(key, self.now_ms), key, key.attempt)

    @rule(step_ms=TIMES_MS)
    def pass_time(self, step_ms: int) -> None:
        """Guards against a holding that expires late or early."""
        self.now_ms += step_ms
        expired = {holding.key for holding in self.memory.expire(self.now_ms)}
        ends = {key: held.expires_at_ms for key, held in self.model.items()}
        assert expired == {key for key, end in ends.items() if end and end <= self.now_ms}
        self.model = {key: held for key, held in self.model.items() if key not in expired}

    @invariant()
    def accounts_match(self) -> None:
        """Guards against KV blocks or slots that leak, go negative or exceed the capacity."""
        assert {holding.key for holding in self.memory.holdings()} == set(self.model)
        assert self.memory.kv_blocks_used == self.kv_blocks_used()
        assert self.memory.slots_used == self.slots_used()
        assert 0 <= self.memory.kv_blocks_used <= KV_BLOCKS
        assert 0 <= self.memory.slots_used <= SLOTS

    def kv_blocks_used(self) -> int:
        return sum(held.kv_blocks for held in self.model.values())

    def slots_used(self) -> int:
        return sum(held.uses_slot for held in self.model.values())

    def remove_released(self, released: list[Holding], key: HoldKey, through: int) -> None:
        """Removes cancelled attempts from the model and checks that the same were released."""
        earlier = self.refused_through.get(key.request_id, 0)
        self.refused_through[key.request_id] = max(earlier, through)
        due = {k for k in self.model if k.request_id == key.request_id and k.attempt <= through}
        assert {holding.key for holding in released} == due
        self.model = {k: held for k, held in self.model.items() if k not in due}

    def expect_refused(self, holding: Holding) -> None:
        """Guards against an attempt that is admitted although it was cancelled or superseded."""
        for admit in (
            lambda: self.memory.supersede(holding.key, self.now_ms),
            lambda: self.memory.hold(holding),
        ):
            unittest.TestCase().assertRaises(StaleAttemptError, admit)


EngineMemoryPropertiesTest = MemoryMachine.TestCase
