"""Reserves decode memory before a prompt is read, and orders the requests that wait for it."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

import msgspec

from medlarvale.forwarding.context import ForwardingContext
from medlarvale.forwarding.demand import DemandMeter
from medlarvale.forwarding.errors import BackendError, OverloadedError
from medlarvale.forwarding.messages import EngineStage, EngineTraits, HoldId, TokenCounts
from medlarvale.forwarding.servers import ERROR_PENALTY, ServerLoad
from medlarvale.ids import ServerId, ServiceName
from medlarvale.logs import Event, log_warning

# Memory is handed out in blocks of this many tokens.
BLOCK_TOKENS = 16
# The hint is right at the median only, so some room is added to it.
HINT_MARGIN = 1.25
MIN_OUTPUT_TOKENS = 64
# An engine that refused is asked again after this time, unless this host freed memory there. More
# than this many hosts ask each engine less often, so that it is asked as often in all.
REFUSED_PAUSE_MS = 30.0
ASKING_HOSTS = 4
# Time from a reservation to the first event at an idle deployment: prefill, transfer, first step.
START_MS = 250.0
# Callers leave a stream without a first event after four times the latency target, but not before
# 2 s.
PATIENCE_TARGETS = 4.0
MIN_PATIENCE_MS = 2_000.0
# Time over which the rate of reservations is measured.
RATE_MS = 2_000.0
# Part of the even share of the engines that a host can count on: callers are spread unevenly.
FAIR_SHARE = 0.5
LEAST_RATE_PER_S = 0.1
# A queue of this many says little about the wait.
SHORT_QUEUE = 2
# A burst lasts some seconds; callers wait up to a third of their time, 4.6 s of 14 s.
MIN_RETRY_AFTER_MS = 3_000
MAX_RETRY_AFTER_MS = 4_500
# Share of an engine's memory by which a nearer engine may be fuller: events cost less from there.
FAR_PENALTY = 0.05
# Share of an engine's memory that a late request leaves free, about one request. Without it, late
# requests cost 8% of the worth where memory is short in bench.forwarding.
LATE_HEADROOM = 0.1
# An engine answers a reservation without work; ten round trips between failure domains.
HOLD_WAIT_MS = 30.0
# Pause of an engine that does not answer that fast; a lost packet takes as long to be sent again.
SLOW_PAUSE_MS = 200.0
# Waiting requests that may be tried after one that does not fit.
BACKFILL = 2


def patience_ms(target_latency_ms: float) -> float:
    """Returns how long a caller waits for the first event of a stream."""
    return max(MIN_PATIENCE_MS, PATIENCE_TARGETS * target_latency_ms)


class Reservation(msgspec.Struct):
    """Memory reserved at a decode engine.

    Attributes:
        tokens: size in tokens.
        hold: None where engines take no reservations: then only this host's own load is known.
    """

    load: ServerLoad
    tokens: int
    hold: HoldId | None


class MemoryRequest(msgspec.Struct, frozen=True):
    """What a request needs of a decode engine.

    Attributes:
        tokens: size in tokens.
        output_tokens: expected part of them that is still to be produced.
        aim_end_ms: time by which the first event is expected.
        end_ms: time at which the request is given up.
        excluded: engines on which the request must not run.
        preferred: engine that is asked first, since it keeps the request's KV cache.
        kept_tokens: part of ``tokens`` that the preferred engine keeps already. Memory reserved for
            it would push out the KV cache of others that are about to come back.
        urgent: whether its caller has a part of the stream and waits for the next event.
    """

    tokens: int
    output_tokens: int
    aim_end_ms: float
    end_ms: float
    excluded: frozenset[ServerId] = frozenset()
    preferred: ServerId | None = None
    kept_tokens: int = 0
    urgent: bool = False


class _Waiter:
    """A request that waits for memory."""

    def __init__(self, request: MemoryRequest) -> None:
        self.request = request
        self.future: asyncio.Future[Reservation] = asyncio.get_running_loop().create_future()


def expected_output(tokens: TokenCounts) -> int:
    """Returns the output tokens for which memory is reserved."""
    if tokens.output_hint is None:
        return tokens.max_output
    return min(tokens.max_output, max(MIN_OUTPUT_TOKENS, int(tokens.output_hint * HINT_MARGIN)))


def reserved_tokens(tokens: TokenCounts) -> int:
    """Returns the memory that a request is expected to take, in whole blocks."""
    blocks = -(-(tokens.prompt + expected_output(tokens)) // BLOCK_TOKENS)
    return blocks * BLOCK_TOKENS


def _is_late(request: MemoryRequest, now_ms: float) -> bool:
    """Tells whether a request that gets memory now has its first event after its target."""
    return request.aim_end_ms < now_ms + START_MS


def _rank(request: MemoryRequest, now_ms: float) -> tuple[bool, bool, float]:
    """Returns the place of a request in the order of service; the lowest goes first."""
    return not request.urgent, _is_late(request, now_ms), request.output_tokens


class MemoryQueue:
    """Gives decode memory of one service to requests in an order that serves most in time.

    Requests that can still meet their latency target go first. Those that can't any more take what
    is left, and leave some of it for the requests of other hosts that still can. Among each, short
    answers go first: they hold memory for the shortest time, so most callers are served (shortest
    job first).

    Args:
        context: calls, servers and time.
        service: the service.
        traits: returns what its engines have in common, as configured now.
        meter: how long streams hold their memory.
    """

    def __init__(
        self,
        context: ForwardingContext,
        service: ServiceName,
        traits: Callable[[], EngineTraits],
        meter: DemandMeter,
    ) -> None:
        self._meter = meter
        self._context = context
        self._service = service
        self._traits = traits
        self._waiting: list[_Waiter] = []
        self._refused: dict[ServerId, tuple[float, int]] = {}
        self._freed = asyncio.Event()
        self._granted_ms: deque[float] = deque()
        self._pump: asyncio.Task[None] | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    async def acquire(self, request: MemoryRequest) -> Reservation:
        """Waits for memory.

        Raises:
            OverloadedError: there is no room in time.
        """
        if request.tokens > self._traits().memory_tokens:
            raise OverloadedError("the request is larger than the memory of an engine")
        now_ms = self._context.clock.now_ms()
        if request.end_ms <= now_ms:
            raise OverloadedError("the time left is too short for the answer")
        wait_ms = self._expected_wait_ms(request, now_ms)
        if wait_ms > request.end_ms - now_ms:
            raise OverloadedError(
                "the queue for memory is too long",
                retry_after_ms=self._retry_after_ms(request, now_ms),
            )
        waiter = _Waiter(request)
        self._waiting.append(waiter)
        if self._pump is None or self._pump.done():
            self._pump = asyncio.get_running_loop().create_task(self._run_pump())
        try:
            return await waiter.future
        except asyncio.CancelledError:
            future = waiter.future
            if future.done() and not future.cancelled() and future.exception() is None:
                self.release(future.result(), release_hold=True)
            raise
        finally:
            if waiter in self._waiting:
                self._waiting.remove(waiter)

    def release(self, reservation: Reservation, *, release_hold: bool) -> None:
        """Counts memory as free again.

        Args:
            release_hold: the engine still holds the memory for a request that will not come.
        """
        load = reservation.load
        load.tokens -= reservation.tokens
        load.in_flight -= 1
        self._refused.pop(load.server.server, None)
        self._freed.set()
        if release_hold and reservation.hold is not None:
            self._context.background.start(self._drop(load, reservation.hold))

    async def _drop(self, load: ServerLoad, hold: HoldId) -> None:
        try:
            await self._context.backends.release_hold(load.server, hold)
        except BackendError as error:
            # It ends by itself after its time.
            log_warning(Event.CLEANUP_FAILED, server=load.server.server, error=error.message)

    async def _run_pump(self) -> None:
        while self._waiting:
            self._expire()
            served = False
            for waiter in self._order()[: 1 + BACKFILL]:
                if await self._serve(waiter):
                    served = True
                    break
            if not served and self._waiting:
                self._freed.clear()
                try:
                    async with asyncio.timeout(REFUSED_PAUSE_MS / 1000.0):
                        await self._freed.wait()
                except TimeoutError:
                    continue

    def _order(self) -> list[_Waiter]:
        now_ms = self._context.clock.now_ms()
        return sorted(self._waiting, key=lambda waiter: _rank(waiter.request, now_ms))

    def _expected_wait_ms(self, request: MemoryRequest, now_ms: float) -> float:
        """Returns how long a new request would wait behind those that go first."""
        rank = _rank(request, now_ms)
        ahead = sum(
            waiter.request is not request and _rank(waiter.request, now_ms) <= rank
            for waiter in self._waiting
        )
        while self._granted_ms and now_ms - self._granted_ms[0] > RATE_MS:
            self._granted_ms.popleft()
        if ahead <= SHORT_QUEUE:
            return 0.0
        granted_per_s = len(self._granted_ms) * 1000.0 / RATE_MS
        # After a calm time few reservations were asked for, which says nothing of the capacity.
        fair_per_s = FAIR_SHARE * self._fair_rate_per_s(request.tokens)
        return ahead * 1000.0 / max(granted_per_s, fair_per_s, LEAST_RATE_PER_S)

    def _fair_rate_per_s(self, tokens: int) -> float:
        """Returns how many requests of a size this host could start a second, by its share."""
        engines = self._context.servers.candidates(
            self._service, self._context.clock.now_ms(), stage=EngineStage.DECODE
        )
        at_once = len(engines) * self._traits().memory_tokens / max(1, tokens)
        return at_once * 1000.0 / self._meter.hold_ms / self._context.host_count()

    def _expire(self) -> None:
        now_ms = self._context.clock.now_ms()
        for waiter in [waiting for waiting in self._waiting if waiting.request.end_ms <= now_ms]:
            self._refuse(waiter, "no engine had room in time", now_ms)
        if self._waiting:
            last = self._order()[-1]
            if self._expected_wait_ms(last.request, now_ms) > last.request.end_ms - now_ms:
                self._refuse(last, "the queue for memory has become too long", now_ms)

    def _refuse(self, waiter: _Waiter, reason: str, now_ms: float) -> None:
        self._waiting.remove(waiter)
        if not waiter.future.done():
            retry_after_ms = self._retry_after_ms(waiter.request, now_ms)
            waiter.future.set_exception(OverloadedError(reason, retry_after_ms=retry_after_ms))

    def _retry_after_ms(self, request: MemoryRequest, now_ms: float) -> int:
        wait_ms = self._expected_wait_ms(request, now_ms)
        return int(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms)))

    async def _serve(self, waiter: _Waiter) -> bool:
        reservation = await self._reserve(waiter)
        if reservation is None:
            return False
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        if waiter.future.done():
            self.release(reservation, release_hold=True)
        else:
            waiter.future.set_result(reservation)
            self._granted_ms.append(self._context.clock.now_ms())
        return True

    async def _reserve(self, waiter: _Waiter) -> Reservation | None:
        context, now_ms = self._context, self._context.clock.now_ms()
        request = waiter.request
        pause_ms = REFUSED_PAUSE_MS * max(1.0, context.host_count() / ASKING_HOSTS)
        room = self._room_needed(request, now_ms)
        candidates = context.servers.candidates(
            self._service, now_ms, stage=EngineStage.DECODE, excluded=request.excluded
        )
        for load in self._order_engines(candidates, request.preferred):
            refused_ms, refused_tokens = self._refused.get(load.server.server, (-1e9, 0))
            if now_ms - refused_ms < pause_ms and room >= refused_tokens:
                continue
            reservation = await self._reserve_at(load, request, room)
            if reservation is not None:
                return reservation
        return None

    def _room_needed(self, request: MemoryRequest, now_ms: float) -> int:
        """Returns the free memory that an engine must have to take a request."""
        memory = self._traits().memory_tokens
        if request.urgent or not _is_late(request, now_ms):
            return request.tokens
        return min(memory, request.tokens + int(LATE_HEADROOM * memory))

    async def _reserve_at(
        self, load: ServerLoad, request: MemoryRequest, room: int
    ) -> Reservation | None:
        traits = self._traits()
        if traits.hold_ttl_ms <= 0:
            fits = load.tokens + room <= traits.memory_tokens
            return self._taken(load, request.tokens, None) if fits else None
        if room > request.tokens and not await self._has_room(load, room):
            return None
        new_tokens = request.tokens
        if load.server.server == request.preferred:
            new_tokens -= request.kept_tokens
        hold = await self._take_hold(load, new_tokens)
        return self._taken(load, request.tokens, hold) if hold is not None else None

    async def _has_room(self, load: ServerLoad, tokens: int) -> bool:
        """Tells whether an engine has room by a reservation that is given back at once."""
        hold = await self._take_hold(load, tokens)
        if hold is None:
            return False
        await self._drop(load, hold)
        return True

    async def _take_hold(self, load: ServerLoad, tokens: int) -> HoldId | None:
        """Reserves memory; gives up on an engine that is slow to answer, as others wait too."""
        call = asyncio.get_running_loop().create_task(
            self._context.backends.acquire_hold(load.server, tokens, self._traits().hold_ttl_ms)
        )
        done, _ = await asyncio.wait({call}, timeout=HOLD_WAIT_MS / 1000.0)
        if not done:
            slow_until_ms = self._context.clock.now_ms() + SLOW_PAUSE_MS
            load.paused_until_ms = max(load.paused_until_ms, slow_until_ms)
            self._context.background.start(self._give_back(load, call))
            return None
        hold = await self._answered(load, call)
        if hold is None:
            self._refused[load.server.server] = (self._context.clock.now_ms(), tokens)
        return hold

    async def _give_back(self, load: ServerLoad, call: asyncio.Task[HoldId | None]) -> None:
        hold = await self._answered(load, call)
        if hold is not None:
            await self._drop(load, hold)

    async def _answered(self, load: ServerLoad, call: asyncio.Task[HoldId | None]) -> HoldId | None:
        now_ms = self._context.clock.now_ms
        try:
            hold = await call
        except BackendError as error:
            self._context.servers.note_failure(load, now_ms(), error.message)
            return None
        self._context.servers.note_success(load, now_ms())
        return hold

    @staticmethod
    def _taken(load: ServerLoad, tokens: int, hold: HoldId | None) -> Reservation:
        load.tokens += tokens
        load.in_flight += 1
        return Reservation(load, tokens, hold)

    def _order_engines(
        self, candidates: list[ServerLoad], preferred: ServerId | None
    ) -> list[ServerLoad]:
        memory = self._traits().memory_tokens

        best_error = min((load.error_share for load in candidates), default=0.0)

        def cost(load: ServerLoad) -> tuple[bool, float, float]:
            other = load.server.server != preferred
            share = load.tokens / memory + ERROR_PENALTY * (load.error_share - best_error)
            share += FAR_PENALTY * self._context.servers.is_far(load)
            return other, share, self._context.rng.random()

        return sorted(candidates, key=cost)
