"""State shared by the prefill and decode sides of a stand-in engine."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from medlarvale.clock import Clock
from medlarvale.standins.engine_batch import PrefillQueue, SharedLink, StepModel
from medlarvale.standins.engine_errors import (
    BadRequestError,
    StaleFencingError,
    WrongModelError,
    WrongRoleError,
)
from medlarvale.standins.engine_faults import FaultState
from medlarvale.standins.engine_memory import EngineMemory, Holding, HoldKey, PrefixCache
from medlarvale.standins.engine_messages import (
    CancelCall,
    EngineRole,
    HoldPhase,
    LoadReport,
    MemoryReport,
    Order,
    OrderAnswer,
    OrderKind,
    RequestReport,
    ReserveCall,
)
from medlarvale.standins.engine_model import CACHE_BLOCK_TOKENS
from medlarvale.standins.engine_reports import CacheEventLog, LaggedLoad

# Interval of expiry, which also runs at each call; well within the 200 ms bound on freeing memory.
TICK_MS = 20

ReleaseListener = Callable[[Holding], None]


class EngineSettings(msgspec.Struct, frozen=True):
    """Settings of a stand-in engine.

    Attributes:
        cache_event_gap: every n-th cache event is lost; 0 loses none.
        pad_chunk_bytes: number of spaces after each chunk, so that tests fill TCP buffers quickly.
    """

    server: str
    service: str
    role: EngineRole
    model: str
    slots: int = 20
    pieces: int = 256
    tokens_per_piece: int = 2_000
    kv_ttl_ms: int = 800
    kv_bytes_per_token: int = 100_000
    link_rate_bytes_per_s: int = 3_000_000_000
    prefill_tokens_per_s: int = 20_000
    step_base_ms: float = 25.0
    step_per_request_ms: float = 1.0
    cache_blocks: int = 2_000
    report_lag_ms: int = 200
    cache_event_lag_ms: int = 300
    cache_event_gap: int = 10
    check_fencing: bool = False
    poison_word: str = ""
    pad_chunk_bytes: int = 0


class EngineCounters(msgspec.Struct):
    """Totals since the start of the engine."""

    prefill_ms: float = 0.0
    wasted_prefill_ms: float = 0.0
    requests_answered: int = 0
    tokens_generated: int = 0
    orders_obeyed: int = 0
    latest_work_after_leaving_ms: float | None = None


class EngineCore:
    """Memory, faults, reports and orders of an engine.

    Args:
        epoch: number that is different after each start of the engine.
    """

    def __init__(
        self, settings: EngineSettings, clock: Clock, faults: FaultState, epoch: int
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.faults = faults
        self.epoch = epoch
        self.memory = EngineMemory(settings.slots, settings.pieces, settings.tokens_per_piece)
        self.cache = PrefixCache(settings.cache_blocks, CACHE_BLOCK_TOKENS)
        self.cache_events = CacheEventLog(settings.cache_event_lag_ms, settings.cache_event_gap)
        self.link = SharedLink(settings.link_rate_bytes_per_s)
        self.queue = PrefillQueue()
        self.step_model = StepModel(settings.step_base_ms, settings.step_per_request_ms)
        self.counters = EngineCounters()
        self.role = settings.role
        self.model = settings.model
        self.adapters: list[str] = []
        self._load = LaggedLoad(settings.report_lag_ms)
        self._highest_fencing = 0
        self._leaving_since_ms: float | None = None
        self._listeners: list[ReleaseListener] = []

    def subscribe_releases(self, listener: ReleaseListener) -> None:
        """Calls ``listener`` for each holding that is cancelled, superseded or expired."""
        self._listeners.append(listener)

    def tick(self) -> None:
        """Releases expired holdings and records a load sample."""
        now_ms = self.clock.now_ms()
        self._notify_release(self.memory.expire(now_ms))
        self._load.record(now_ms, self._current_load())

    def admit(self, key: HoldKey) -> None:
        """Admits new work of an attempt and releases older attempts of its request.

        Raises:
            StaleAttemptError: the attempt is refused.
        """
        self.tick()
        now_ms = self.clock.now_ms()
        self._notify_release(self.memory.supersede(key, now_ms))
        if self._leaving_since_ms is not None:
            self.counters.latest_work_after_leaving_ms = now_ms - self._leaving_since_ms

    def require_role(self, role: EngineRole) -> None:
        """Raises WrongRoleError if the engine has another role."""
        if self.role is not role:
            raise WrongRoleError(f"the engine's role is {self.role.value}")

    def require_model(self, model: str) -> None:
        """Raises WrongModelError if the engine has loaded another model."""
        if self.model != model:
            raise WrongModelError(f"the engine has loaded {self.model}")

    def reserve(self, call: ReserveCall, owner: str) -> None:
        """Reserves a slot and KV blocks; a repeated call of the same attempt renews its expiry.

        Raises:
            EngineFullError: no slot or too few KV blocks are free.
            StaleAttemptError: the attempt is refused.
        """
        self.require_role(EngineRole.DECODE)
        if call.pieces < 1 or call.ttl_ms < 1:
            raise BadRequestError("pieces and ttl_ms must be positive")
        key = HoldKey(call.request_id, call.attempt)
        self.admit(key)
        now_ms = self.clock.now_ms()
        held = self.memory.find(key)
        if held is not None and held.phase is HoldPhase.RESERVED:
            self.memory.resize(held, call.pieces)
            held.expires_at_ms = now_ms + call.ttl_ms
            held.last_active_ms = now_ms
            return
        end_ms = now_ms + call.ttl_ms
        self.memory.hold(Holding(key, owner, HoldPhase.RESERVED, call.pieces, True, end_ms, now_ms))

    def cancel(self, call: CancelCall) -> int:
        """Cancels an attempt and all older ones; returns the number of released holdings."""
        released = self.memory.cancel(HoldKey(call.request_id, call.attempt), self.clock.now_ms())
        self._notify_release(released)
        return len(released)

    def apply_order(self, order: Order, fencing: int) -> OrderAnswer:
        """Applies an order immediately.

        Raises:
            StaleFencingError: the engine checks fencing numbers, and a newer one has been applied.
        """
        if self.settings.check_fencing and fencing < self._highest_fencing:
            raise StaleFencingError(
                f"fencing number {fencing} is older than {self._highest_fencing}"
            )
        match order:
            case Order(kind=OrderKind.LOAD_MODEL, model=model) if model:
                self.model = model
            case Order(kind=OrderKind.LOAD_ADAPTER, adapter=adapter) if adapter:
                if adapter not in self.adapters:
                    self.adapters.append(adapter)
            case Order(kind=OrderKind.SET_ROLE, role=EngineRole() as role):
                self.role = role
            case _:
                raise BadRequestError(
                    f"order {order.kind.value} requires the field for its new value"
                )
        self._highest_fencing = max(self._highest_fencing, fencing)
        self.counters.orders_obeyed += 1
        return OrderAnswer(self.role, self.model, self.adapters, self._highest_fencing)

    def set_leaving(self, leaving: bool) -> None:
        """Sets ``leaving`` in the load report; the engine continues to accept work."""
        self._leaving_since_ms = self.clock.now_ms() if leaving else None
        self.counters.latest_work_after_leaving_ms = None

    def load(self) -> LoadReport:
        """Returns the load report of ``report_lag_ms`` ago."""
        self.tick()
        return self._load.read(self.clock.now_ms()) or self._current_load()

    def requests(self) -> list[RequestReport]:
        """Returns a report of each holding."""
        self.tick()
        now_ms = self.clock.now_ms()
        return [
            RequestReport(
                holding.key.request_id,
                holding.key.attempt,
                holding.owner,
                holding.phase,
                holding.kv_blocks,
                now_ms - holding.last_active_ms,
            )
            for holding in self.memory.holdings()
        ]

    def memory_report(self) -> MemoryReport:
        """Returns the current state, without lag."""
        self.tick()
        memory, counters = self.memory, self.counters
        return MemoryReport(
            slots=memory.slots,
            slots_used=memory.slots_used,
            pieces=memory.kv_blocks,
            pieces_used=memory.kv_blocks_used,
            kv_handles=memory.count(HoldPhase.KV_WAITING, HoldPhase.KV_SENDING),
            reservations=memory.count(HoldPhase.RESERVED),
            prefill_queue=len(self.queue),
            prefill_ms=counters.prefill_ms,
            wasted_prefill_ms=counters.wasted_prefill_ms,
            requests_answered=counters.requests_answered,
            tokens_generated=counters.tokens_generated,
            cached_blocks=len(self.cache),
            orders_obeyed=counters.orders_obeyed,
            latest_work_after_leaving_ms=counters.latest_work_after_leaving_ms,
        )

    def prefill_time_ms(self, tokens: int) -> float:
        """Returns the time to compute uncached prompt tokens."""
        return tokens * 1000.0 / self.settings.prefill_tokens_per_s * self.faults.factor

    def _notify_release(self, released: list[Holding]) -> None:
        for holding in released:
            for listener in self._listeners:
                listener(holding)

    def _current_load(self) -> LoadReport:
        return LoadReport(
            role=self.role.value,
            model=self.model,
            slots=self.memory.slots,
            slots_used=self.memory.slots_used,
            pieces=self.memory.kv_blocks,
            pieces_used=self.memory.kv_blocks_used,
            queue_ms=self.prefill_time_ms(self.queue.remaining_tokens()),
            leaving=self._leaving_since_ms is not None,
            epoch=self.epoch,
        )
