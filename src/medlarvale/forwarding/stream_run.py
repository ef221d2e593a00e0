"""One streamed request: reserve decode memory, have the prompt read, decode, pass events on."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Protocol

from multidict import CIMultiDict

from medlarvale.forwarding.cache_holders import CacheHolderFinder
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
from medlarvale.forwarding.interface import BackendAnswer
from medlarvale.forwarding.memory import (
    START_MS,
    MemoryQueue,
    MemoryRequest,
    Reservation,
    expected_output,
    patience_ms,
    reserved_tokens,
)
from medlarvale.forwarding.messages import (
    ClientRequest,
    Dispatch,
    PrefillResult,
    Route,
    Server,
    TokenCounts,
)
from medlarvale.forwarding.plain import Reply
from medlarvale.forwarding.prefill import REJECTED_PAUSE_MS, PromptReader
from medlarvale.forwarding.servers import ServerLoad
from medlarvale.forwarding.stream_times import StreamTimes
from medlarvale.ids import ServerId, ServiceName
from medlarvale.logs import Event, log_warning

# Size of a request that does not tell it.
DEFAULT_TOKENS = TokenCounts(prompt=5_000, max_output=1_000)
# Rejected sends of one run, after which the request is refused as not run.
MAX_REJECTIONS = 3
REJECTED_RETRY_AFTER_MS = 1_000
# Share of the expected duration that a stream takes at least.
LEAST_DURATION_SHARE = 0.7
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


class StreamRun:
    """One stream through its runs on decode engines.

    Args:
        asked_before_ms: how long before this attempt the caller first asked.
    """

    def __init__(
        self,
        context: ForwardingContext,
        queue: MemoryQueue,
        meter: DemandMeter,
        keepers: CacheHolderFinder,
        request: ClientRequest,
        route: Route,
        service: ServiceName,
        sink: StreamSink,
        asked_before_ms: float = 0.0,
    ) -> None:
        self._context = context
        self._queue = queue
        self._meter = meter
        self._keepers = keepers
        self._service = service
        self._request = request
        self._route = route
        self._sink = sink
        self._end_ms = end_ms(request, route)
        self._budget = self._context.budget(service)
        self._budget.record_request()
        self._fingerprint = context.guard.check(request, service)
        self._aim_end_ms = request.received_ms - asked_before_ms + route.target_latency_ms
        self._tokens = request.tokens or DEFAULT_TOKENS
        self._memory_tokens = reserved_tokens(self._tokens)
        self._reader = PromptReader(context, request, service, self._tokens.prompt, meter)
        now_ms = context.clock.now_ms()
        meter.note_arrival(self._tokens.prompt, self._memory_tokens, now_ms)
        self.times = StreamTimes(now_ms)
        self._events = EventSplitter(request.resume_after)
        self._excluded: set[ServerId] = set()
        self._started = False
        self._may_have_run = False
        self.runs = 0
        self.engine: ServerId | None = None
        # Engine that broke off, but may still keep the KV cache of this request.
        self._keeper: ServerId | None = None
        self._kept_tokens = 0
        self._fetch_from: Server | None = None
        self._rejections = 0

    @property
    def prompt_tokens(self) -> int:
        """Size of the prompt."""
        return self._tokens.prompt

    @property
    def reserved_tokens(self) -> int:
        """Memory that is reserved for each run."""
        return self._memory_tokens

    @property
    def last_event(self) -> int | None:
        """Number of the last event passed on."""
        return self._events.last_id

    async def run(self) -> Reply | None:
        """Passes the stream on; see ``StreamForwarder.forward``."""
        try:
            async with asyncio.timeout(max(0.0, self._left_ms()) / 1000.0):
                await self._find_keeper()
                return await self._run_until_complete()
        except TimeoutError as error:
            raise self._final_error("the time of the route is over", timeout=True) from error

    async def _find_keeper(self) -> None:
        """Looks for the engine that ran the part of the stream which the caller already has."""
        part = self._request.prompt_part
        if self._request.resume_after is not None and part is not None:
            now_ms = self._context.clock.now_ms()
            self._kept_tokens, self._keeper = await self._keepers.find(self._service, part, now_ms)

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
            run=self.runs,
            passed_on=self._events.last_id,
            error=str(error),
        )
        if isinstance(error, NotSentError | RejectedError):
            self._rejections += 1
            return self._rejections < MAX_REJECTIONS and self._budget.spend_retry()
        return self._can_resume() and self._budget.spend_retry()

    async def _run_once(self) -> Reply | None:
        reservation = await self._reserve()
        reserved_ms = self.times.note_reserved(self._context.clock.now_ms())
        unused = True
        try:
            source = await self._prefill(reservation)
            self.times.note_read(self._context.clock.now_ms())
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
            self._queue.release(reservation, release_hold=unused)
            if not unused:
                self._meter.note_hold(self._context.clock.now_ms() - reserved_ms)

    async def _reserve(self) -> Reservation:
        target_ms = self._route.target_latency_ms
        # A caller that has a part of the stream waits from its last event on.
        since_ms = self.times.last_event_ms or self._request.received_ms
        last_start_ms = since_ms + patience_ms(target_ms) - START_MS
        return await self._queue.acquire(
            MemoryRequest(
                self._memory_tokens,
                expected_output(self._tokens),
                self._aim_end_ms,
                min(self._end_ms - self._shortest_ms(), last_start_ms),
                frozenset(self._excluded),
                self._keeper,
                min(self._kept_tokens, self._tokens.prompt),
                urgent=self._continues(),
            )
        )

    def _continues(self) -> bool:
        """Tells whether the caller has a part of the stream already."""
        return self._started or self._request.resume_after is not None

    def _shortest_ms(self) -> float:
        """Returns the time that the stream takes at least; a hint is often too high."""
        if self._continues():
            # How much is left is not known.
            return 0.0
        return LEAST_DURATION_SHARE * self._meter.decode_ms(expected_output(self._tokens))

    async def _prefill(self, reservation: Reservation) -> PrefillResult | None:
        kept = reservation.load.server.server == self._keeper
        if kept or self._fetch_from is not None:
            return None
        source = await self._reader.read(reservation.load, self._route.gap_target_ms, self._end_ms)
        self.times.prefills += source is not None
        return source

    async def _send(self, reservation: Reservation, source: PrefillResult | None) -> BackendAnswer:
        load = reservation.load
        dispatch = Dispatch(
            self._left_ms(), source, self._fetch_from, reservation.hold, self._events.last_id
        )
        self._fetch_from = None
        self.runs += 1
        self.engine = load.server.server
        try:
            answer = await self._context.backends.send(load.server, self._request, dispatch)
        except (NotSentError, RejectedError) as error:
            self.runs -= 1
            if isinstance(error, NotSentError):
                self._note_failure(load, error)
            elif not error.full:
                load.paused_until_ms = self._context.clock.now_ms() + REJECTED_PAUSE_MS
            else:
                # The reservation held, so the transfer failed, or the engine is under an order.
                load.pause_after_failure(self._context.clock.now_ms())
                self._fetch_from = source.server if source is not None else None
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
        if not isinstance(error, NotSentError):
            self._context.guard.note_broken_run(self._fingerprint, load.server)
        self._excluded.add(load.server.server)
        self._context.servers.note_failure(load, self._context.clock.now_ms(), error.message)

    def _drop_handle(self, source: PrefillResult) -> None:
        self._context.background.start(self._free(source))

    async def _free(self, source: PrefillResult) -> None:
        try:
            await self._context.backends.release_handle(source.server, source.handle)
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
        except BackendError:
            load.note_answer(failed=True)
            self._context.guard.note_broken_run(self._fingerprint, load.server)
            self._keeper = load.server.server
            raise
        load.note_answer(failed=False)
        await self._pass_on(answer, self._events.rest)
        if not self._started:
            await self._sink.start(answer.status, answer.headers)
        await self._sink.finish()
        self.times.complete = True
        pause_ms = self.times.usual_pause_ms()
        if pause_ms is not None:
            load.note_event_pause(pause_ms)
        first_ms = self.times.first_event_ms
        if first_ms is not None:
            took_ms = self._context.clock.now_ms() - first_ms
            self._meter.note_decode(expected_output(self._tokens), took_ms)
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
        return self._route.resumable and self.runs < self._route.max_attempts

    async def _pass_on(self, answer: BackendAnswer, data: bytes) -> None:
        if not data:
            return
        if not self._started:
            self._started = True
            await self._sink.start(answer.status, answer.headers)
        self.times.note_event(self._context.clock.now_ms())
        await self._sink.write(data)
