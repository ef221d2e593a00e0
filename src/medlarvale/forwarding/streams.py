"""Forwards streamed model requests: reserve decode memory, read the prompt, decode, pass on."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Protocol

from multidict import CIMultiDict

from medlarvale.forwarding.context import ForwardingContext, end_ms
from medlarvale.forwarding.demand import DemandMeter
from medlarvale.forwarding.errors import (
    BackendError,
    NotSentError,
    OutcomeUnknownError,
    OverloadedError,
    RejectedError,
    RequestTimeoutError,
    StreamBrokenError,
)
from medlarvale.forwarding.events import EventSplitter
from medlarvale.forwarding.fleet_messages import Demand
from medlarvale.forwarding.interface import BackendAnswer
from medlarvale.forwarding.memory import (
    START_MS,
    MemoryQueue,
    Reservation,
    patience_ms,
    reserved_tokens,
)
from medlarvale.forwarding.messages import (
    ClientRequest,
    Dispatch,
    EngineStage,
    EngineTraits,
    PrefillResult,
    Route,
    Server,
    TokenCounts,
)
from medlarvale.forwarding.plain import Reply
from medlarvale.forwarding.servers import ServerLoad
from medlarvale.ids import ServerId, ServiceName
from medlarvale.logs import Event, log_warning

# Size of a request that does not tell it.
DEFAULT_TOKENS = TokenCounts(prompt=5_000, max_output=1_000)
# Prefill engines that are asked for one prompt, the first included.
MAX_PREFILLS = 2
# Rejected sends of one run, after which the request is refused as not run.
MAX_REJECTIONS = 3
REJECTED_RETRY_AFTER_MS = 1_000
# An engine that rejects a prompt is switching its stage or gone; the list tells soon.
REJECTED_PAUSE_MS = 1_000.0
# Share of a prefill engine's speed at which a decode engine reads a prompt itself.
DECODE_PREFILL_SPEED = 0.5
# Extra wait for a prefill engine that is better than slowing the streams of a decode engine down.
OVERFLOW_WAIT_MS = 300.0
# A stream that is silent for this long is lost: events come every 50 to 100 ms.
SILENCE_MS = 1_200.0


class StreamSink(Protocol):
    """Where the answer goes: the caller's connection."""

    async def start(self, status: int, headers: CIMultiDict[str]) -> None:
        """Sends the head of a stream."""

    async def write(self, data: bytes) -> None:
        """Sends a part of the body."""

    async def finish(self) -> None:
        """Ends the body as complete."""


class StreamForwarder:
    """Forwards streams of all model services.

    Args:
        context: calls, servers and time.
        traits: returns what the engines of a service have in common.
    """

    def __init__(
        self,
        context: ForwardingContext,
        traits: Callable[[ServiceName], EngineTraits],
    ) -> None:
        self.context = context
        self._traits = traits
        self._queues: dict[ServiceName, MemoryQueue] = {}
        self._meters: dict[ServiceName, DemandMeter] = {}

    def queue(self, service: ServiceName) -> MemoryQueue:
        """Returns the queue for the decode memory of a service."""
        queue = self._queues.get(service)
        if queue is None:
            queue = MemoryQueue(self.context, service, lambda: self._traits(service))
            self._queues[service] = queue
        return queue

    def meter(self, service: ServiceName) -> DemandMeter:
        """Returns the meter of the load on a service."""
        return self._meters.setdefault(service, DemandMeter())

    def demands(self) -> dict[ServiceName, Demand]:
        """Returns the load on each service."""
        now_ms = self.context.clock.now_ms()
        return {service: meter.demand(now_ms) for service, meter in self._meters.items()}

    async def forward(
        self, request: ClientRequest, route: Route, service: ServiceName, sink: StreamSink
    ) -> Reply | None:
        """Passes a stream on; returns an answer that is no stream, for the caller.

        Raises:
            OverloadedError: the request has not run and will not.
            OutcomeUnknownError: it may have run, and nothing was passed on.
            RequestTimeoutError: its time is over and nothing was passed on.
            StreamBrokenError: a part was passed on and the rest can't be.
        """
        return await _StreamRun(self, request, route, service, sink).run()


class _StreamRun:
    """One stream through its runs on decode engines."""

    def __init__(
        self,
        forwarder: StreamForwarder,
        request: ClientRequest,
        route: Route,
        service: ServiceName,
        sink: StreamSink,
    ) -> None:
        self._context = forwarder.context
        self._queue = forwarder.queue(service)
        self._request = request
        self._route = route
        self._service = service
        self._sink = sink
        self._end_ms = end_ms(request, route)
        self._budget = self._context.budget(service)
        self._budget.record_request()
        self._tokens = request.tokens or DEFAULT_TOKENS
        self._memory_tokens = reserved_tokens(self._tokens)
        self._meter = forwarder.meter(service)
        self._meter.note_arrival(
            self._tokens.prompt, self._memory_tokens, self._context.clock.now_ms()
        )
        self._events = EventSplitter(request.resume_after)
        self._excluded: set[ServerId] = set()
        self._started = False
        self._may_have_run = False
        self._runs = 0
        # Engine that broke off, but may still keep the KV cache of this request.
        self._keeper: ServerId | None = None
        self._fetch_from: Server | None = None
        self._rejections = 0
        self._prefills = 0

    async def run(self) -> Reply | None:
        try:
            async with asyncio.timeout(max(0.0, self._left_ms()) / 1000.0):
                return await self._run_until_complete()
        except TimeoutError as error:
            raise self._final_error("the time of the route is over", timeout=True) from error

    def _left_ms(self) -> float:
        return self._end_ms - self._context.clock.now_ms()

    async def _run_until_complete(self) -> Reply | None:
        while True:
            try:
                return await self._run_once()
            except BackendError as error:
                if not self._may_repeat(error):
                    raise self._final_error(error.message) from error
            except OverloadedError as error:
                if self._may_have_run:
                    raise self._final_error(error.message) from error
                raise

    def _final_error(self, message: str, *, timeout: bool = False) -> Exception:
        if self._started:
            return StreamBrokenError(message)
        if not self._may_have_run:
            return OverloadedError(message, retry_after_ms=REJECTED_RETRY_AFTER_MS)
        return RequestTimeoutError(message) if timeout else OutcomeUnknownError(message)

    def _may_repeat(self, error: BackendError) -> bool:
        log_warning(
            Event.ATTEMPT_FAILED,
            request=self._request.request_id,
            run=self._runs,
            passed_on=self._events.last_id,
            error=str(error),
        )
        if isinstance(error, NotSentError | RejectedError):
            self._rejections += 1
            return self._rejections < MAX_REJECTIONS and self._budget.take_retry()
        return self._can_resume() and self._budget.take_retry()

    async def _run_once(self) -> Reply | None:
        reservation = await self._reserve()
        reserved_ms = self._context.clock.now_ms()
        unused = True
        try:
            source = await self._prefill(reservation)
            try:
                if not self._context.servers.takes_work(reservation.load):
                    raise RejectedError("the engine began to leave", full=False)
                answer = await self._send(reservation, source)
                unused = False
            except BaseException as error:
                if source is not None and isinstance(
                    error, NotSentError | RejectedError | asyncio.CancelledError
                ):
                    self._drop_handle(source)
                raise
            try:
                return await self._relay(answer, reservation.load)
            finally:
                answer.close()
        finally:
            self._queue.release(reservation, drop_hold=unused)
            if not unused:
                self._meter.note_hold(self._context.clock.now_ms() - reserved_ms)

    async def _reserve(self) -> Reservation:
        target_ms = self._route.target_latency_ms
        received_ms = self._request.received_ms
        last_start_ms = received_ms + patience_ms(target_ms) - START_MS
        return await self._queue.acquire(
            self._memory_tokens,
            received_ms + target_ms,
            min(self._end_ms, last_start_ms),
            frozenset(self._excluded),
            self._keeper,
        )

    async def _prefill(self, reservation: Reservation) -> PrefillResult | None:
        """Returns where the prompt was read; None lets the decode engine read it itself."""
        if self._fetch_from is not None or reservation.load.server.server == self._keeper:
            return None
        context = self._context
        tokens = self._tokens.prompt
        tried: set[ServerId] = set()
        while self._prefills < MAX_PREFILLS:
            load = self._choose_prefill(tried)
            if load is None or (self._prefills and not self._budget.take_retry()):
                break
            tried.add(load.server.server)
            self._prefills += 1
            load.tokens += tokens
            sent_ms = context.clock.now_ms()
            try:
                result = await context.backends.prefill(load.server, self._request, self._left_ms())
                self._note_prefill(load, context.clock.now_ms() - sent_ms)
                return result
            except BackendError as error:
                self._note_prefill_failure(load, error)
            finally:
                load.tokens -= tokens
        return None

    def _choose_prefill(self, tried: set[ServerId]) -> ServerLoad | None:
        """Returns the engine that reads the prompt first; None if the decode engine itself does."""
        context, now_ms = self._context, self._context.clock.now_ms()
        candidates = context.servers.candidates(
            self._service, now_ms, stage=EngineStage.PREFILL, excluded=tried
        )
        speed = self._meter.tokens_per_ms

        def wait_ms(load: ServerLoad) -> float:
            return max(load.tokens / speed, load.backlog_ms(now_ms))

        best = min(candidates, key=lambda load: (wait_ms(load), context.rng.random()), default=None)
        if best is None:
            return None
        prefill_ms = self._tokens.prompt / speed
        if wait_ms(best) > OVERFLOW_WAIT_MS + prefill_ms * (1.0 / DECODE_PREFILL_SPEED - 1.0):
            return None
        return best

    def _note_prefill(self, load: ServerLoad, took_ms: float) -> None:
        tokens = self._tokens.prompt
        if load.tokens == tokens:
            self._meter.note_prefill(tokens, took_ms)
        backlog_ms = max(0.0, took_ms - tokens / self._meter.tokens_per_ms)
        load.note_backlog(backlog_ms, self._context.clock.now_ms())

    def _note_prefill_failure(self, load: ServerLoad, error: BackendError) -> None:
        now_ms = self._context.clock.now_ms()
        log_warning(
            Event.ATTEMPT_FAILED,
            request=self._request.request_id,
            server=load.server.server,
            stage=EngineStage.PREFILL.value,
            error=str(error),
        )
        if isinstance(error, RejectedError):
            load.paused_until_ms = now_ms + REJECTED_PAUSE_MS
        else:
            self._context.servers.note_failure(load, now_ms, error.message, certain=True)

    async def _send(self, reservation: Reservation, source: PrefillResult | None) -> BackendAnswer:
        load = reservation.load
        dispatch = Dispatch(
            self._left_ms(), source, self._fetch_from, reservation.hold, self._events.last_id
        )
        self._fetch_from = None
        self._runs += 1
        try:
            answer = await self._context.backends.send(load.server, self._request, dispatch)
        except (NotSentError, RejectedError) as error:
            self._runs -= 1
            if isinstance(error, NotSentError):
                self._note_failure(load, error)
            elif not error.full:
                load.paused_until_ms = self._context.clock.now_ms() + REJECTED_PAUSE_MS
            elif source is not None:
                # With reserved memory, only the transfer can have failed.
                self._fetch_from = source.server
            raise
        except BackendError as error:
            self._may_have_run = True
            self._note_failure(load, error)
            raise
        except asyncio.CancelledError:
            self._may_have_run = True
            raise
        self._may_have_run = True
        if not answer.signed and answer.status < 300:
            answer.close()
            raise BackendError("a success without a signature")
        return answer

    def _note_failure(self, load: ServerLoad, error: BackendError) -> None:
        self._excluded.add(load.server.server)
        self._context.servers.note_failure(load, self._context.clock.now_ms(), error.message)

    def _drop_handle(self, source: PrefillResult) -> None:
        self._context.background.start(self._free(source))

    async def _free(self, source: PrefillResult) -> None:
        try:
            await self._context.backends.drop_handle(source.server, source.handle)
        except BackendError as error:
            # It ends by itself after its time.
            log_warning(Event.CLEANUP_FAILED, server=source.server.server, error=error.message)

    async def _relay(self, answer: BackendAnswer, load: ServerLoad) -> Reply | None:
        """Passes an answer on; events go out whole, and nothing after a gap."""
        if answer.status != 200 or not answer.event_stream:
            body = await answer.read()
            if self._started:
                raise BackendError(f"status {answer.status} in the middle of a stream")
            return Reply(answer.status, answer.headers, body, load.server.server)
        self._events.rest = b""
        try:
            async for chunk in self._watched(answer):
                await self._pass_on(answer, self._events.feed(chunk))
        except BackendError as error:
            self._keeper = load.server.server
            self._context.servers.note_failure(load, self._context.clock.now_ms(), error.message)
            raise
        await self._pass_on(answer, self._events.rest)
        if not self._started:
            await self._sink.start(answer.status, answer.headers)
        await self._sink.finish()
        return None

    async def _watched(self, answer: BackendAnswer) -> AsyncIterator[bytes]:
        """Yields the body; a stream that can go on elsewhere is given up when it falls silent."""
        chunks = aiter(answer.chunks())
        limit_s = SILENCE_MS / 1000.0 if self._can_resume() else None
        while True:
            try:
                async with asyncio.timeout(limit_s):
                    chunk = await anext(chunks)
            except StopAsyncIteration:
                return
            except TimeoutError as error:
                raise BackendError("the stream fell silent") from error
            yield chunk

    def _can_resume(self) -> bool:
        return self._route.resumable and self._runs < self._route.max_attempts

    async def _pass_on(self, answer: BackendAnswer, data: bytes) -> None:
        if not data:
            return
        if not self._started:
            self._started = True
            await self._sink.start(answer.status, answer.headers)
        await self._sink.write(data)
