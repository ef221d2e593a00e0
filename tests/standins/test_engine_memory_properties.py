"""Engine memory under random holds, cancels, growth and time."""

from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, invariant, multiple, rule

from medlarvale.ids import AttemptNumber, RequestId
from medlarvale.standins.engine_errors import EngineError, EngineFullError, StaleAttemptError
from medlarvale.standins.engine_memory import EngineMemory, Holding, HoldKey
from medlarvale.standins.engine_messages import HoldPhase

SLOTS = 3
PIECES = 8
REQUESTS = st.sampled_from([RequestId(name) for name in "abcd"])
ATTEMPTS = st.integers(1, 4).map(AttemptNumber)


class MemoryMachine(RuleBasedStateMachine):
    """Compares EngineMemory with a plain model of who holds what until when."""

    holdings = Bundle("holdings")

    def __init__(self) -> None:
        super().__init__()
        self.memory = EngineMemory(SLOTS, PIECES, 2_000)
        self.now_ms = 0.0
        self.model: dict[HoldKey, Holding] = {}
        self.refused_through: dict[RequestId, int] = {}

    @rule(
        target=holdings,
        request=REQUESTS,
        attempt=ATTEMPTS,
        pieces=st.integers(0, PIECES + 1),
        uses_slot=st.booleans(),
        ttl_ms=st.none() | st.integers(1, 50),
    )
    def hold(
        self, request: RequestId, attempt: int, pieces: int, uses_slot: bool, ttl_ms: int | None
    ) -> object:
        key = HoldKey(request, AttemptNumber(attempt))
        if attempt <= self.refused_through.get(request, 0):
            self.expect_refused(key)
            return multiple()
        self.forget(self.memory.supersede(key, self.now_ms), request, attempt - 1)
        ends_at_ms = None if ttl_ms is None else self.now_ms + ttl_ms
        holding = Holding(
            key, "host-a/1", HoldPhase.RESERVED, pieces, uses_slot, ends_at_ms, self.now_ms
        )
        used = sum(held.pieces for held in self.model.values())
        slots = sum(held.uses_slot for held in self.model.values())
        fits = used + pieces <= PIECES and slots + uses_slot <= SLOTS
        try:
            self.memory.hold(holding)
        except EngineError:
            assert not fits or key in self.model
            return multiple()
        assert fits and key not in self.model
        self.model[key] = holding
        return holding

    @rule(holding=holdings, pieces=st.integers(0, PIECES + 1))
    def grow(self, holding: Holding, pieces: int) -> None:
        if self.model.get(holding.key) is not holding:
            return
        others = sum(held.pieces for held in self.model.values() if held is not holding)
        try:
            self.memory.resize(holding, pieces)
        except EngineFullError:
            assert others + pieces > PIECES
        else:
            assert others + pieces <= PIECES

    @rule(holding=consumes(holdings))
    def close_connection(self, holding: Holding) -> None:
        if self.model.get(holding.key) is holding:
            assert self.memory.release(holding.key) is self.model.pop(holding.key)

    @rule(request=REQUESTS, attempt=ATTEMPTS)
    def cancel(self, request: RequestId, attempt: int) -> None:
        key = HoldKey(request, AttemptNumber(attempt))
        self.forget(self.memory.cancel(key, self.now_ms), request, attempt)
        self.expect_refused(key)

    @rule(step_ms=st.integers(1, 60))
    def pass_time(self, step_ms: int) -> None:
        self.now_ms += step_ms
        expired = {holding.key for holding in self.memory.expire(self.now_ms)}
        due = {
            key
            for key, held in self.model.items()
            if held.ends_at_ms is not None and held.ends_at_ms <= self.now_ms
        }
        assert expired == due
        for key in due:
            del self.model[key]

    @invariant()
    def accounts_match(self) -> None:
        """Guards against pieces or slots that leak, go negative or exceed the capacity."""
        assert {holding.key for holding in self.memory.holdings()} == set(self.model)
        assert self.memory.pieces_used == sum(held.pieces for held in self.model.values())
        assert self.memory.slots_used == sum(held.uses_slot for held in self.model.values())
        assert 0 <= self.memory.pieces_used <= PIECES
        assert 0 <= self.memory.slots_used <= SLOTS

    def teardown(self) -> None:
        """Guards against a holding with an end that outlives it."""
        self.memory.expire(self.now_ms + 1_000.0)
        assert all(holding.ends_at_ms is None for holding in self.memory.holdings())

    def forget(self, released: list[Holding], request: RequestId, through: int) -> None:
        """Removes what a cancel has to release from the model, and compares."""
        self.refused_through[request] = max(self.refused_through.get(request, 0), through)
        due = {k for k in self.model if k.request_id == request and k.attempt <= through}
        assert {holding.key for holding in released} == due
        for key in due:
            del self.model[key]

    def expect_refused(self, key: HoldKey) -> None:
        """Checks that an attempt is refused in every way that it could enter."""
        holding = Holding(key, "host-a/1", HoldPhase.RESERVED, 0, False, None, self.now_ms)
        for enter in (
            lambda: self.memory.check_attempt(key),
            lambda: self.memory.supersede(key, self.now_ms),
            lambda: self.memory.hold(holding),
        ):
            try:
                enter()
            except StaleAttemptError:
                continue
            raise AssertionError(f"{key} was let in")


EngineMemoryPropertiesTest = MemoryMachine.TestCase
