"""Queues requests for decode memory, which is reserved before their prefill starts."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable

from medlarvale.forwarding.context import ForwardingContext
from medlarvale.forwarding.demand import DemandMeter
from medlarvale.forwarding.errors import (
    BackendError,
    NotSentError,
    OverloadedError,
    VersionGoneError,
)
from medlarvale.forwarding.memory_request import MemoryRequest, Reservation
from medlarvale.forwarding.messages import EngineStage, EngineTraits, HoldId
from medlarvale.forwarding.servers import ServerLoad
from medlarvale.ids import ServerId, ServiceName, SoftwareVersion
from medlarvale.logs import Event, log_warning
from medlarvale.overload.admission import QueueRules, Refusal, WaitingRequest
from medlarvale.placement.engine_order import order_engines

# Retry interval for an engine that refused a reservation, unless this host freed memory there. With
# more than RETRYING_HOSTS hosts the interval grows, which keeps the total rate at an engine
# constant.
REFUSED_PAUSE_MS = 30.0
RETRYING_HOSTS = 4
# Share of an engine's memory that a late request leaves free, about one request. Without it, the
# value served in bench.forwarding drops by 8% when memory is short.
LATE_HEADROOM = 0.1
# An engine answers a reservation without any work; equals ten round trips between failure domains.
HOLD_TIMEOUT_MS = 30.0
# Pause for an engine that exceeds HOLD_TIMEOUT_MS; equals the retransmission time of a lost packet.
SLOW_PAUSE_MS = 200.0
# Number of waiting requests that are tried after one that does not fit.
BACKFILL_REQUESTS = 2


class _Waiter:
    """A request that waits for memory."""

    def __init__(self, request: MemoryRequest, since_ms: float) -> None:
        self.request = request
        self.place = WaitingRequest(request, since_ms)
        self.future: asyncio.Future[Reservation] = asyncio.get_running_loop().create_future()
        # Engines that have not answered yet whether they have memory for it.
        self.asked: set[ServerId] = set()


class MemoryQueue:
    """Queue for the decode memory of one service, ordered to serve most requests in time.

    Requests that can still meet their latency target are served first. Late requests get the
    remaining memory, less a reserve for requests of other hosts that can still meet their target.
    Within each group, requests with the shortest expected output are served first: they hold memory
    for the shortest time, so most callers are served (shortest job first).

    Args:
        context: shared dependencies.
        service: the service.
        traits: returns the current configuration of its engines.
        meter: measures how long streams hold their memory.
    """

    def __init__(
        self,
        context: ForwardingContext,
        service: ServiceName,
        traits: Callable[[], EngineTraits],
        meter: DemandMeter,
    ) -> None:
        self._context = context
        self._service = service
        self._traits = traits
        self.rules = QueueRules(
            service,
            meter.model,
            traits,
            lambda: context.priorities,
            self._engine_count,
            context.host_count,
        )
        self._waiting: list[_Waiter] = []
        self._refused: dict[ServerId, tuple[float, int]] = {}
        self._freed = asyncio.Event()
        self._queue_task: asyncio.Task[None] | None = None

    @property
    def asks_engines(self) -> bool:
        """Whether the engines grant the reservations, rather than this host alone."""
        return self._traits().hold_ttl_ms > 0

    def __len__(self) -> int:
        return len(self._waiting)

    def waiting_by_priority(self) -> Counter[int]:
        """Returns the number of waiting requests of each priority."""
        return Counter(waiter.request.priority for waiter in self._waiting)

    async def acquire(self, request: MemoryRequest) -> Reservation:
        """Waits for a reservation.

        Raises:
            OverloadedError: no memory is expected to be free in time.
            VersionGoneError: no engine runs the software version that the request needs.
        """
        if not self._has_version(request):
            raise VersionGoneError("no engine runs the version that began the stream")
        now_ms = self._context.clock.now_ms()
        waiter, left_ms = _Waiter(request, now_ms), request.end_ms - now_ms
        asked_ms = self._asked_wait_ms(request.software, now_ms)
        if request.tokens > self._traits().memory_tokens:
            raise self._refusal(waiter, Refusal.TOO_LARGE, now_ms)
        if left_ms <= 0:
            raise self._refusal(waiter, Refusal.NO_TIME, now_ms)
        if asked_ms > left_ms:
            raise self._refusal(waiter, Refusal.ASKED_TO_WAIT, now_ms, int(asked_ms))
        if self.rules.expected_wait_ms(request, self._places(), now_ms) > left_ms:
            raise self._refusal(waiter, Refusal.TOO_LONG, now_ms)
        self._waiting.append(waiter)
        if self._queue_task is None or self._queue_task.done():
            self._queue_task = asyncio.get_running_loop().create_task(self._serve_queue())
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
        """Subtracts a reservation from the load of its engine.

        Args:
            release_hold: whether to release the hold at the engine, because no request used it.
        """
        load = reservation.load
        load.tokens -= reservation.tokens
        load.in_flight -= 1
        self._refused.pop(load.server.server, None)
        self._freed.set()
        if release_hold and reservation.hold is not None:
            self._context.background.start(self._release_hold(load, reservation.hold))

    async def _release_hold(self, load: ServerLoad, hold: HoldId) -> None:
        if self._context.servers.waits.left_ms(load.server, self._context.clock.now_ms()):
            return  # The hold expires at the engine after its TTL.
        try:
            await self._context.backends.release_hold(load.server, hold)
        except BackendError as error:
            # The hold expires at the engine after its TTL.
            log_warning(Event.CLEANUP_FAILED, server=load.server.server, error=error.message)

    async def _serve_queue(self) -> None:
        while self._waiting:
            served = False
            try:
                self._expire()
                served = await self._serve_first()
            except Exception as error:  # All other requests would wait until their deadline.
                log_warning(Event.TASK_FAILED, task="serve the memory queue", error=repr(error))
            if not served and self._waiting:
                self._freed.clear()
                try:
                    async with asyncio.timeout(REFUSED_PAUSE_MS / 1000.0):
                        await self._freed.wait()
                except TimeoutError:
                    continue

    async def _serve_first(self) -> bool:
        """Gives memory to one of the first requests; returns False if none fits.

        Requests that need different software versions don't wait for each other.
        """
        tried: Counter[SoftwareVersion | None] = Counter()
        # Lowest priority number of the requests after which no equal or less urgent one is tried.
        aged: dict[SoftwareVersion | None, int] = {}
        for waiter in self._sorted_waiters():
            software = waiter.request.software
            if waiter.request.priority >= aged.get(software, math.inf):
                continue
            tried[software] += 1
            if tried[software] <= 1 + BACKFILL_REQUESTS:
                reservation = await self._reserve(waiter)
                if reservation is not None:
                    self._grant(waiter, reservation)
                    return True
            if self.rules.is_aged(waiter.place, self._context.clock.now_ms()):
                aged[software] = waiter.request.priority
        return False

    def _has_version(self, request: MemoryRequest) -> bool:
        """Returns whether an engine of the version that a request needs is listed."""
        versions = self._context.servers.stream_versions(self._service)
        return request.software is None or request.software in versions

    def _asked_wait_ms(self, software: SoftwareVersion | None, now_ms: float) -> float:
        """Returns the shortest time for which no engine of a version wants requests."""
        return self._context.servers.asked_wait_ms(
            self._service, now_ms, stage=EngineStage.DECODE, software=software
        )

    def _engine_count(self) -> int:
        engines = self._context.servers.candidates(
            self._service, self._context.clock.now_ms(), stage=EngineStage.DECODE
        )
        return len(engines)

    def _places(self) -> list[WaitingRequest]:
        return [waiter.place for waiter in self._waiting]

    def _sorted_waiters(self) -> list[_Waiter]:
        order = self.rules.arrange(self._places(), self._context.clock.now_ms())
        return [self._waiting[number] for number in order]

    def _expire(self) -> None:
        now_ms = self._context.clock.now_ms()
        for waiter in [waiting for waiting in self._waiting if waiting.request.end_ms <= now_ms]:
            self._refuse(waiter, Refusal.NO_MEMORY, now_ms)
        self._refuse_asked_to_wait(now_ms)
        for waiter in [other for other in self._waiting if not self._has_version(other.request)]:
            self._waiting.remove(waiter)
            if not waiter.future.done():
                gone = VersionGoneError("the last engine of the version has left")
                waiter.future.set_exception(gone)
        if self._context.needs_relay(self._service):
            for waiter in list(self._waiting):
                self._refuse(waiter, Refusal.UNREACHED, now_ms)
        if self._waiting:
            last = self._sorted_waiters()[-1]
            wait_ms = self.rules.expected_wait_ms(last.request, self._places(), now_ms)
            if wait_ms > last.request.end_ms - now_ms:
                self._refuse(last, Refusal.BECAME_TOO_LONG, now_ms)

    def _refuse_asked_to_wait(self, now_ms: float) -> None:
        """Refuses the requests that end before an engine wants requests again."""
        waits_ms: dict[SoftwareVersion | None, float] = {}
        for waiter in list(self._waiting):
            software = waiter.request.software
            if software not in waits_ms:
                waits_ms[software] = self._asked_wait_ms(software, now_ms)
            if waits_ms[software] > waiter.request.end_ms - now_ms:
                self._refuse(waiter, Refusal.ASKED_TO_WAIT, now_ms, int(waits_ms[software]))

    def _refuse(
        self, waiter: _Waiter, reason: Refusal, now_ms: float, retry_after_ms: int | None = None
    ) -> None:
        self._waiting.remove(waiter)
        if not waiter.future.done():
            waiter.future.set_exception(self._refusal(waiter, reason, now_ms, retry_after_ms))

    def _refusal(
        self, waiter: _Waiter, reason: Refusal, now_ms: float, retry_after_ms: int | None = None
    ) -> OverloadedError:
        return self.rules.refuse(waiter.place, reason, self._places(), now_ms, retry_after_ms)

    def _grant(self, waiter: _Waiter, reservation: Reservation) -> None:
        """Gives a reservation to a request, or releases it if the request needs none any more."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        if waiter.future.done():
            self.release(reservation, release_hold=True)
        else:
            waiter.future.set_result(reservation)
            self.rules.note_granted(waiter.place, self._context.clock.now_ms())

    async def _reserve(self, waiter: _Waiter) -> Reservation | None:
        context, now_ms = self._context, self._context.clock.now_ms()
        request = waiter.request
        pause_ms = REFUSED_PAUSE_MS * max(1.0, context.host_count() / RETRYING_HOSTS)
        pause_ms *= 1.0 + self.rules.urgency_rank(request)
        needed_free_tokens = self.rules.free_memory_needed(request, now_ms, LATE_HEADROOM)
        candidates = context.servers.candidates(
            self._service,
            now_ms,
            stage=EngineStage.DECODE,
            excluded=request.excluded,
            software=request.software,
        )
        for load in self._sort_engines(candidates, request.preferred):
            if load.server.server in waiter.asked:
                continue
            refused_ms, refused_tokens = self._refused.get(load.server.server, (-1e9, 0))
            if now_ms - refused_ms < pause_ms and needed_free_tokens >= refused_tokens:
                continue
            reservation = await self._reserve_at(load, waiter, needed_free_tokens)
            if reservation is not None:
                return reservation
        return None

    async def _reserve_at(
        self, load: ServerLoad, waiter: _Waiter, needed_free_tokens: int
    ) -> Reservation | None:
        """Reserves memory; returns None for a slow engine, so that it does not block the queue."""
        request, traits = waiter.request, self._traits()
        if traits.hold_ttl_ms <= 0:
            fits = load.tokens + needed_free_tokens <= traits.memory_tokens
            return self._record_reservation(load, request.tokens, None) if fits else None
        call = asyncio.get_running_loop().create_task(
            self._take_hold(load, request, needed_free_tokens)
        )
        done, _ = await asyncio.wait({call}, timeout=HOLD_TIMEOUT_MS / 1000.0)
        if not done:
            slow_until_ms = self._context.clock.now_ms() + SLOW_PAUSE_MS
            load.paused_until_ms = max(load.paused_until_ms, slow_until_ms)
            waiter.asked.add(load.server.server)
            self._context.background.start(self._use_late_hold(load, waiter, call))
            return None
        hold = call.result()
        return self._record_reservation(load, request.tokens, hold) if hold is not None else None

    async def _use_late_hold(
        self, load: ServerLoad, waiter: _Waiter, call: asyncio.Task[HoldId | None]
    ) -> None:
        """Gives the request what a slow engine has reserved for it, if it still waits.

        If all answers take longer than ``HOLD_TIMEOUT_MS``, no request would get memory otherwise.
        """
        try:
            hold = await call
        finally:
            waiter.asked.discard(load.server.server)
        if hold is None:
            return
        now_ms = self._context.clock.now_ms()
        servers = self._context.servers
        if (
            waiter in self._waiting
            and not waiter.future.done()
            and servers.takes_work(load)
            and not servers.limits.wait_ms(load.server, now_ms)
            and not servers.waits.left_ms(load.server, now_ms)
        ):
            self._grant(waiter, self._record_reservation(load, waiter.request.tokens, hold))
        else:
            await self._release_hold(load, hold)

    async def _take_hold(
        self, load: ServerLoad, request: MemoryRequest, needed_free_tokens: int
    ) -> HoldId | None:
        """Reserves memory at an engine that has as much free memory as the request requires."""
        if needed_free_tokens > request.tokens and not await self._has_free_memory(
            load, needed_free_tokens
        ):
            return None
        new_tokens = request.tokens
        if load.server.server == request.preferred:
            new_tokens -= request.cached_tokens
        return await self._acquire_hold(load, new_tokens)

    async def _has_free_memory(self, load: ServerLoad, tokens: int) -> bool:
        """Checks for free memory with a reservation that is released at once."""
        hold = await self._acquire_hold(load, tokens)
        if hold is None:
            return False
        await self._release_hold(load, hold)
        return True

    async def _acquire_hold(self, load: ServerLoad, tokens: int) -> HoldId | None:
        now_ms, servers, hold = self._context.clock.now_ms, self._context.servers, None
        try:
            hold = await self._context.backends.acquire_hold(
                load.server, tokens, self._traits().hold_ttl_ms
            )
        except NotSentError as error:
            servers.note_unreachable(load, now_ms(), error.message)
        except BackendError as error:
            servers.note_failure(load, now_ms(), error.message)
        else:
            servers.note_success(load, now_ms())
        if hold is None:
            self._refused[load.server.server] = (now_ms(), tokens)
            self.rules.note_engine_refusal(now_ms())
        return hold

    def _record_reservation(
        self, load: ServerLoad, tokens: int, hold: HoldId | None
    ) -> Reservation:
        load.tokens += tokens
        # The request follows the reservation.
        self._context.servers.limits.take(load.server)
        load.in_flight += 1
        return Reservation(load, tokens, hold)

    def _sort_engines(
        self, candidates: list[ServerLoad], preferred: ServerId | None
    ) -> list[ServerLoad]:
        memory, context = self._traits().memory_tokens, self._context
        return order_engines(candidates, context.servers, memory, context.rng, preferred)
