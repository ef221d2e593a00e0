"""One streaming request: reserve decode memory, prefill, decode and forward the events."""

from __future__ import annotations

import asyncio
from typing import Protocol

import msgspec
from multidict import CIMultiDict

from medlarvale.forwarding.context import ForwardingContext, end_ms
from medlarvale.forwarding.demand import DemandMeter
from medlarvale.forwarding.engine_model import FASTEST_SHARE
from medlarvale.forwarding.engine_run import EngineRun
from medlarvale.forwarding.errors import (
    BackendError,
    CrashingRequestError,
    EngineWithdrawnError,
    HandOverError,
    LateAnswerError,
    NotSentError,
    OutcomeUnknownError,
    OverloadedError,
    RejectedError,
    RequestTimeoutError,
    SilentEngineError,
    StreamBrokenError,
    UnprovenEndError,
    VersionGoneError,
)
from medlarvale.forwarding.events import EventSplitter, events_until_silent, has_data, read_answer
from medlarvale.forwarding.guarded_run import GuardedRun
from medlarvale.forwarding.interface import BackendAnswer
from medlarvale.forwarding.memory import MemoryQueue
from medlarvale.forwarding.memory_request import (
    MemoryRequest,
    Reservation,
    in_blocks,
    patience_ms,
)
from medlarvale.forwarding.messages import (
    ClientRequest,
    Dispatch,
    PrefillResult,
    Route,
    Server,
    TokenCounts,
)
from medlarvale.forwarding.peer_continuation import PeerContinuation
from medlarvale.forwarding.plain import Reply
from medlarvale.forwarding.prefill import REJECTED_PAUSE_MS, PrefillDispatcher
from medlarvale.forwarding.servers import ServerLoad
from medlarvale.forwarding.silence import SilenceWatch
from medlarvale.forwarding.stream_end import StreamEnd
from medlarvale.forwarding.stream_times import StreamTimes
from medlarvale.forwarding.stream_versions import StreamOrigin, whole_ms
from medlarvale.http_bodies import BodyFraming
from medlarvale.ids import ServerId, ServiceName, SoftwareVersion
from medlarvale.logs import Event, log_warning
from medlarvale.overload.priorities import request_priority

# Assumed size of a request without token counts.
DEFAULT_TOKENS = TokenCounts(prompt=5_000, max_output=1_000)
# Number of rejected sends after which a request is refused as not run.
MAX_REJECTIONS = 3
REJECTED_RETRY_AFTER_MS = 1_000
# Share of the outputs that are at most as long as the expected output.
MEDIAN_SHARE = 0.5
# Number of events over which the speed of a stream is measured.
MEASURED_EVENTS = 8
# Another engine is sought for a stream after a time without an event: a share of the callers'
# patience, or longer if the usual gaps are long, since engines under load are several times slower
# than usual. Enough patience is left for the resumption.
SILENCE_SHARE = 1.0 / 3.0
MAX_SILENCE_SHARE = 0.5
SILENCE_GAPS = 20.0
# Share of the gaps that are at most as long as the usual gap.
USUAL_GAP_SHARE = 0.95
# Time for which a silent run goes on beside the one that takes over from it. Two runs of a request
# may overlap by 400 ms.
OVERLAP_MS = 300.0


class StreamSink(Protocol):
    """Destination of a stream: the caller's connection."""

    @property
    def started(self) -> bool:
        """Whether the head has been sent."""

    async def start(self, status: int, headers: CIMultiDict[str]) -> None:
        """Sends the head of a stream."""

    async def write(self, data: bytes) -> None:
        """Sends a part of the body."""

    async def finish(self) -> None:
        """Ends the body and marks it as complete."""


class StreamRun:
    """One streaming request with its runs on decode engines.

    Attributes:
        times: breakdown of its duration.
        runs: number of sends that may have started a run.
        engine: engine of the last send.
        software: version of the software of that engine.
        choice_ms: monotonic time as of which the version of a new stream is chosen.
        list_age_ms: age of the list of servers from which it was chosen last; None if unknown.
        framing: what marks the end of the last answer; None before the first.
        end: what is known of its end.

    Args:
        context: shared dependencies.
        queue: decode memory of the service.
        meter: load of the service.
        request: the request.
        route: its route.
        service: its service.
        sink: receives the stream.
        first_attempt_age_ms: time between the caller's first attempt and this one.
        origin: where the stream was begun that the request continues; None for a new stream.
        choice_ms: monotonic time as of which its version is chosen; None for its arrival.
    """

    def __init__(
        self,
        context: ForwardingContext,
        queue: MemoryQueue,
        meter: DemandMeter,
        request: ClientRequest,
        route: Route,
        service: ServiceName,
        sink: StreamSink,
        first_attempt_age_ms: float = 0.0,
        origin: StreamOrigin | None = None,
        choice_ms: float | None = None,
    ) -> None:
        self._context = context
        self._queue = queue
        self._meter = meter
        self._service = service
        self._request = request
        self._route = route
        self._sink = sink
        self._end_ms = end_ms(request, route)
        self._budget = self._context.budget(service)
        self._budget.record_request()
        self._guarded = GuardedRun(context.guard, context.clock, request, route, service)
        self._first_attempt_ms = request.received_ms - first_attempt_age_ms
        self._first_event_target_ms = self._first_attempt_ms + route.target_latency_ms
        self._origin = origin
        self.choice_ms = request.received_ms if choice_ms is None else choice_ms
        self.list_age_ms: int | None = None
        self._tokens = request.tokens or DEFAULT_TOKENS
        now_ms = context.clock.now_ms()
        self._memory_tokens = in_blocks(
            self._tokens.prompt + meter.model.reserved_output(self._tokens, now_ms)
        )
        self._prefill_dispatcher = PrefillDispatcher(
            context, request, service, self._tokens.prompt, meter, self._guarded
        )
        meter.note_arrival(self._tokens.prompt, self._memory_tokens, now_ms)
        self.times = StreamTimes(now_ms)
        self._events = EventSplitter(request.resume_after)
        self._excluded: set[ServerId] = set()
        # Version of the software that began the stream, or has to; None before the first event.
        self._began_at: SoftwareVersion | None = None
        if origin is None and request.relayed is not None:
            self._began_at = request.relayed.software
        self._started = False
        self.runs = 0
        self.engine: ServerId | None = None
        self.software: SoftwareVersion | None = None
        self.framing: BodyFraming | None = None
        # Engine whose stream broke, but which may still hold the KV cache of this request.
        self._cache_holder: ServerId | None = None
        self._cached_tokens = 0
        self._fetch_from: Server | None = None
        self._rejections = 0
        # The last answer that was a stream.
        self._answer: BackendAnswer | None = None
        # Ends a continuation that only checks whether the stream has ended.
        self._check_limit = asyncio.timeout(None)
        self.end = StreamEnd(context, self._guarded, self._budget, self._can_resume)
        # Whether the end of the body may have been written.
        self._ending = False
        # Number and time of the event from which the speed of the present run is measured.
        self._measured_from: tuple[int, float] | None = None

    @property
    def prompt_tokens(self) -> int:
        """Prompt tokens."""
        return self._tokens.prompt

    @property
    def reserved_tokens(self) -> int:
        """Memory that is reserved for each run, in tokens."""
        return self._memory_tokens

    @property
    def expected_saved_tokens(self) -> int:
        """Prompt tokens that were expected in the cache of the engine that prefilled it."""
        return self._prefill_dispatcher.expected_saved_tokens

    @property
    def last_event(self) -> int | None:
        """Number of the last forwarded event."""
        return self._events.last_id

    async def run(self) -> Reply | None:
        """Forwards the stream; see ``StreamForwarder.forward``."""
        try:
            async with asyncio.timeout(max(0.0, self._left_ms()) / 1000.0):
                await self._find_origin()
                return await self._run_until_complete()
        except TimeoutError as error:
            raise self._final_error("the route timeout has expired", timeout=True) from error

    async def _find_origin(self) -> None:
        """Finds the version and engine that generated what the caller has of the stream."""
        if self._origin is None:
            return
        versions, relayed = self._context.versions, self._request.relayed
        if relayed is not None and relayed.software is not None:
            self._began_at = relayed.software
        else:
            self._began_at = await versions.find(self._service, self._request, self._origin)
        self._cached_tokens, self._cache_holder = await versions.find_cache_holder(
            self._service, self._request, self._began_at
        )

    def _left_ms(self) -> float:
        return self._end_ms - self._context.clock.now_ms()

    async def _run_until_complete(self) -> Reply | None:
        run: EngineRun | None = None
        while True:
            try:
                async with self._limit_check():
                    run = run or await self._begin()
                    return await self._complete(run)
            except TimeoutError:
                if not self._check_limit.expired():
                    raise
                if await self.end.is_believed():
                    await self._finish_stream()
                    return None
            except SilentEngineError as error:
                self._log_failed_attempt(error, run)
                run = self._substitute(run, error)
                continue
            except BackendError as error:
                if not self._may_retry(error, run):
                    if not await self.end.is_believed():
                        raise self._final_error(error.message) from error
                    await self._finish_stream()
                    return None
            except (OverloadedError, CrashingRequestError) as error:
                if isinstance(error, VersionGoneError) and self._began_at is None:
                    # Nothing has been passed on yet, so another version can begin the stream.
                    continue
                if not self._request.possible_runs:
                    raise
                if await self.end.is_believed():
                    await self._finish_stream()
                    return None
                if self._can_resume() and self._needs_relay():
                    raise HandOverError(self._rest(), self._began_at) from error
                raise self._final_error(error.message) from error
            run = None

    def _limit_check(self) -> asyncio.Timeout:
        """Returns the limit of the next run: short if it only checks whether the stream has ended.

        The caller may have the whole stream, and leaves if its end takes too long.
        """
        limit_s = SILENCE_SHARE * patience_ms(self._route) / 1000.0
        self._check_limit = asyncio.timeout(limit_s if self.end.is_likely else None)
        return self._check_limit

    def _note_went_on(self) -> None:
        """Records that a run has sent something after the last event."""
        if self.end.is_unproven:
            self.end.note_event()
            self._check_limit.reschedule(None)

    def _substitute(self, run: EngineRun | None, error: SilentEngineError) -> EngineRun | None:
        """Returns the run that takes over from a silent one; None to begin another.

        Raises:
            StreamBrokenError: the end of the body may have been written.
            HandOverError: a peer takes over.
        """
        assert run is not None and run.watch is not None
        substitute = run.watch.substitute
        if substitute is None:
            return None
        if self._ending:
            substitute.close()
            raise self._final_error(error.message) from error
        if substitute.resume_after != self._events.last_id:
            # An event has arrived since it was sent.
            substitute.close()
            return None
        if isinstance(substitute, PeerContinuation):
            raise HandOverError(substitute.rest, self._began_at, substitute.answer) from error
        return substitute

    def _final_error(self, message: str, *, timeout: bool = False) -> Exception:
        if self._started:
            return StreamBrokenError(message)
        if not self._request.possible_runs:
            return OverloadedError(message, retry_after_ms=REJECTED_RETRY_AFTER_MS)
        return RequestTimeoutError(message) if timeout else OutcomeUnknownError(message)

    def _log_failed_attempt(self, error: BackendError, run: EngineRun | None) -> None:
        now_ms = self._context.clock.now_ms()
        log_warning(
            Event.ATTEMPT_FAILED,
            request=self._request.request_id,
            server=run.load.server.server if run is not None else None,
            run=self.runs,
            passed_on=self._events.last_id,
            framing=self.framing.value if self.framing is not None else None,
            silent_ms=int(run.silent_ms(now_ms)) if run is not None else None,
            error=str(error),
        )

    def _may_retry(self, error: BackendError, run: EngineRun | None) -> bool:
        self._log_failed_attempt(error, run)
        if isinstance(error, NotSentError | RejectedError):
            self._rejections += 1
            if self._rejections >= MAX_REJECTIONS:
                return False
            return isinstance(error, EngineWithdrawnError) or self._budget.spend_retry()
        return self._can_resume() and self._budget.spend_retry()

    async def _begin(self, *, instead_of: EngineRun | None = None) -> EngineRun:
        """Reserves memory, prefills the prompt and starts to send the request.

        Args:
            instead_of: a silent run from which this one shall take over, which a retry pays for.

        Raises:
            OverloadedError: there is no memory in time, or no retry to pay with.
            CrashingRequestError: the request has crashed too many servers.
            EngineWithdrawnError: the engine takes no requests any more.
        """
        reservation = await self._reserve(instead_of)
        run = EngineRun(
            reservation,
            self.times.note_reserved(self._context.clock.now_ms()),
            lambda unused, never_used: self._queue.release(unused, release_hold=never_used),
            self._start_handle_release,
        )
        try:
            if instead_of is not None and not self._budget.spend_retry():
                raise OverloadedError("the retry budget is exhausted")
            # Other hosts may have found out in the meantime that the request crashes servers.
            self._guarded.check()
            run.source = await self._prefill(reservation)
            self.times.note_prefilled(self._context.clock.now_ms())
            self._guarded.check()
            if not self._takes_work(reservation.load):
                raise EngineWithdrawnError("the engine drains or wants no requests for a time")
            if self._is_continuation() and not await self.end.still_serves(reservation.load):
                # It may have started again with software that the list does not name yet.
                self._excluded.add(reservation.load.server.server)
                raise EngineWithdrawnError("the engine is not the listed instance any more")
            self.runs += 1
            run.send(self._send(run), self._events.last_id, self._context.clock.now_ms())
        except BaseException:
            run.close()
            raise
        return run

    def _takes_work(self, load: ServerLoad) -> bool:
        servers, now_ms = self._context.servers, self._context.clock.now_ms()
        return servers.takes_work(load) and not servers.waits.left_ms(load.server, now_ms)

    async def _complete(self, run: EngineRun) -> Reply | None:
        """Passes on the answer of a run."""
        run.watch = self._new_watch(run)
        try:
            reply = await run.watch.run(self._relay(run))
        except SilentEngineError:
            self._note_silent(run)
            raise
        finally:
            run.close()
        if self.times.complete:
            now_ms = self._context.clock.now_ms()
            self._meter.model.note_hold(now_ms - run.reserved_ms, now_ms)
        return reply

    def _new_watch(self, run: EngineRun) -> SilenceWatch[EngineRun | PeerContinuation]:
        servers, clock = self._context.servers, self._context.clock
        return SilenceWatch(
            clock,
            self._silence_limit_ms,
            lambda: servers.request_check(run.load, clock.now_ms()),
            lambda: self._find_substitute(run),
            lambda substitute: substitute.close(),
        )

    async def _find_substitute(self, silent: EngineRun) -> EngineRun | PeerContinuation | None:
        """Begins a run that takes over from a silent one; returns None if that can't be.

        The silent run goes on until another engine has accepted the request, or has had it for
        ``OVERLAP_MS``, after which the silent one would be a second run.
        """
        may_resume = self._can_resume() and self._budget.has_retry()
        if not may_resume or not self._may_be_lost(silent):
            return None
        if self._needs_relay():
            return await self._continue_at_peer()
        try:
            run = await self._begin(instead_of=silent)
        except (OverloadedError, CrashingRequestError, BackendError):
            return None
        accepted = False
        try:
            await run.wait_for_answer(OVERLAP_MS)
            accepted = True
            return run
        except BackendError as error:
            self._log_failed_attempt(error, run)
            return None
        finally:
            if not accepted:
                run.close()

    def _needs_relay(self) -> bool:
        return not self._request.relayed and self._context.needs_relay(self._service)

    async def _continue_at_peer(self) -> PeerContinuation | None:
        """Lets a peer accept what the caller has not received yet; returns None if none does."""
        relay, rest = self._context.relay, self._rest()
        if relay is None or not self._budget.spend_retry():
            return None
        try:
            answer = await relay.open(rest, self._route, self._service, self._version())
            return PeerContinuation(rest, answer)
        except BackendError as error:
            self._log_failed_attempt(error, None)
            return None

    def _rest(self) -> ClientRequest:
        """Returns the request for what the caller has not received yet."""
        if not self._started:
            return self._request
        return msgspec.structs.replace(
            self._request,
            resume_after=self._events.last_id,
            began_as=self._request.began_as or self._request.request_id,
        )

    def _may_be_lost(self, silent: EngineRun) -> bool:
        """Returns whether a silent engine may be lost; without an event, it may only be busy."""
        if silent.heard_ms is not None or silent.load.suspect:
            return True
        silent_ms = silent.silent_ms(self._context.clock.now_ms())
        return silent_ms >= MAX_SILENCE_SHARE * patience_ms(self._route)

    def _note_silent(self, run: EngineRun) -> None:
        run.load.note_answer(failed=True)
        self._guarded.note_broken(run.load.server)
        if run.heard_ms is not None:
            self._cache_holder = run.load.server.server

    async def _reserve(self, instead_of: EngineRun | None) -> Reservation:
        now_ms, model = self._context.clock.now_ms(), self._meter.model
        # A caller that has received part of the stream waits since its last event.
        since_ms = self.times.last_event_ms or self._request.received_ms
        first_event_ms = model.first_event_ms(now_ms, FASTEST_SHARE) or 0.0
        last_start_ms = since_ms + patience_ms(self._route) - first_event_ms
        return await self._queue.acquire(
            MemoryRequest(
                self._memory_tokens,
                model.output_tokens(self._tokens, now_ms, MEDIAN_SHARE),
                self._first_event_target_ms,
                min(self._end_ms - self._min_duration_ms(now_ms), last_start_ms),
                self._end_ms,
                self._excluded_engines(instead_of),
                self._cache_holder,
                min(self._cached_tokens, self._tokens.prompt),
                urgent=self._is_continuation(),
                software=self._version(),
                priority=request_priority(self._request, self._route),
                workspace=self._request.workspace,
            )
        )

    def _version(self) -> SoftwareVersion | None:
        """Returns the software version that engines must have; None if the service has none."""
        if self._began_at is not None:
            return self._began_at
        self.list_age_ms = whole_ms(self._context.versions.list_age_ms())
        return self._context.versions.choose(
            self._service, self._request.request_id, self.choice_ms
        )

    def _excluded_engines(self, silent: EngineRun | None) -> frozenset[ServerId]:
        """Returns the engines that failed, unless no other engine could continue the stream.

        A silent engine is excluded unless it shows by a reservation that it answers.
        """
        if silent is not None and not self._queue.asks_engines:
            return frozenset(self._excluded | {silent.load.server.server})
        engines = self._context.servers.decode_engines(self._service)
        others = {
            engine.server for engine in engines if self._began_at in (None, engine.software)
        } - self._excluded
        return frozenset(self._excluded) if others or self._began_at is None else frozenset()

    def _is_continuation(self) -> bool:
        """Returns whether the caller has already received part of the stream."""
        return self._started or self._origin is not None

    def _min_duration_ms(self, now_ms: float) -> float:
        """Returns the duration below which the stream can't end; 0 if unknown."""
        if self._is_continuation():
            # The remaining output is unknown.
            return 0.0
        return self._meter.model.shortest_stream_ms(self._tokens, now_ms)

    async def _prefill(self, reservation: Reservation) -> PrefillResult | None:
        cached = reservation.load.server.server == self._cache_holder
        if cached or self._fetch_from is not None:
            self._prefill_dispatcher.skip()
            return None
        source = await self._prefill_dispatcher.run(
            reservation.load,
            self._route.gap_target_ms,
            self._end_ms,
            MAX_SILENCE_SHARE * patience_ms(self._route),
            self._engine_priority(),
        )
        self.times.prefills += source is not None
        return source

    def _engine_priority(self) -> int | None:
        return self._context.priorities.at_engine(self._service, self._request, self._route)

    async def _send(self, run: EngineRun) -> BackendAnswer:
        load, source = run.load, run.source
        dispatch = Dispatch(
            self._left_ms(),
            source,
            self._fetch_from,
            run.reservation.hold,
            self._events.last_id,
            self._engine_priority(),
        )
        self._fetch_from = None
        try:
            answer = await self._context.backends.send(load.server, self._request, dispatch)
        except (NotSentError, RejectedError) as error:
            self.runs -= 1
            if isinstance(error, NotSentError):
                self._note_failure(load, error)
            elif not error.full:
                load.paused_until_ms = self._context.clock.now_ms() + REJECTED_PAUSE_MS
            else:
                # The hold was valid, so the transfer failed or the engine is under an order.
                load.pause_after_failure(self._context.clock.now_ms())
                self._fetch_from = source.server if source is not None else None
            raise
        except LateAnswerError:
            self._context.servers.request_check(load, self._context.clock.now_ms())
            raise
        except BackendError as error:
            self._note_failure(load, error)
            raise
        if not answer.signed and answer.status < 300:
            answer.close()
            raise BackendError("successful answer without a signature")
        return answer

    def _note_failure(self, load: ServerLoad, error: BackendError) -> None:
        servers, now_ms = self._context.servers, self._context.clock.now_ms()
        self._excluded.add(load.server.server)
        if isinstance(error, NotSentError):
            if self.end.is_of(load):
                self._guarded.note_broken(load.server)
            servers.note_unreachable(load, now_ms, error.message)
            return
        self._guarded.note_broken(load.server)
        servers.note_failure(load, now_ms, error.message)

    def _start_handle_release(self, source: PrefillResult) -> None:
        self._context.background.start(self._release_handle(source))

    async def _release_handle(self, source: PrefillResult) -> None:
        if self._context.servers.waits.left_ms(source.server, self._context.clock.now_ms()):
            return  # The handle expires at the engine after its TTL.
        try:
            await self._context.backends.release_handle(source.server, source.handle)
        except BackendError as error:
            # The handle expires at the engine after its TTL.
            log_warning(Event.CLEANUP_FAILED, server=source.server.server, error=error.message)

    async def _relay(self, run: EngineRun) -> Reply | None:
        """Forwards an answer; only whole events are sent, and none after a missing one."""
        answer, load, watch = await run.answer(), run.load, run.watch
        assert watch is not None
        self._guarded.begin()
        self.engine, self.software = load.server.server, load.server.software
        self.framing = answer.framing
        if answer.status != 200 or not answer.event_stream:
            watch.stop()
            body = await read_answer(answer)
            if answer.framing is BodyFraming.CLOSE and not await self.end.still_serves(load):
                raise UnprovenEndError("the engine was gone after an answer without a length")
            self._guarded.note_clean()
            if self._started:
                raise BackendError(f"status {answer.status} for the rest of a stream")
            return Reply(answer.status, answer.headers, body, load.server.server)
        self._events.begin_run()
        self._answer = answer
        self._measured_from = None
        first_of_request = not self._is_continuation()
        try:
            clock, limit_ms = self._context.clock, patience_ms(self._route)
            # The caller or this host may have got the last event from an earlier run.
            may_be_empty = self.end.is_unproven or self._origin is not None
            async for events in events_until_silent(
                answer, self._events, clock, limit_ms, may_be_empty=may_be_empty
            ):
                load.contact_ms = clock.now_ms()
                if has_data(events):
                    if run.heard_ms is None and not self._is_continuation():
                        elapsed_ms = clock.now_ms() - run.sent_ms
                        self._prefill_dispatcher.note_first_event(load, elapsed_ms)
                    run.heard_ms = clock.now_ms()
                    self._note_went_on()
                    watch.note_heard()
                with watch.paused():
                    await self._forward_events(answer, events)
        except BackendError:
            if self._events.rest.strip():
                self._note_went_on()
            load.note_answer(failed=True)
            self._guarded.note_broken(load.server)
            self._cache_holder = load.server.server
            raise
        watch.stop()
        load.note_answer(failed=False)
        if not await self.end.check(load, answer.framing, empty=run.heard_ms is None):
            if self.end.is_likely:
                self._cache_holder = load.server.server
            else:
                self._excluded.add(load.server.server)
            raise UnprovenEndError("nothing shows that the stream is whole")
        self._guarded.note_clean()
        await self._forward_events(answer, self._events.rest)
        await self._finish_stream()
        gap_ms = self.times.median_gap_ms()
        if gap_ms is not None:
            load.note_event_gap(gap_ms)
        self._note_complete(first_of_request, run.reserved_ms)
        return None

    async def _finish_stream(self) -> None:
        if not self._started and self._answer is not None:
            await self._sink.start(self._answer.status, self._answer.headers)
        self._ending = True
        await self._sink.finish()
        self.times.complete = True

    def _note_complete(self, first_of_request: bool, reserved_ms: float) -> None:
        """Records the output and the time to the first event of a complete stream."""
        now_ms, model = self._context.clock.now_ms(), self._meter.model
        hint, last_id = self._tokens.output_hint, self._events.last_id
        if hint is not None and last_id:
            model.note_output(hint, last_id, now_ms)
        if first_of_request and self.times.first_event_ms is not None:
            model.note_first_event(self.times.first_event_ms - reserved_ms, now_ms)

    def _silence_limit_ms(self) -> float:
        """Returns the time without an event after which another engine is sought."""
        patience = patience_ms(self._route)
        now_ms = self._context.clock.now_ms()
        usual_ms = self._meter.model.event_ms(now_ms, USUAL_GAP_SHARE) or 0.0
        limit_ms = max(SILENCE_SHARE * patience, SILENCE_GAPS * usual_ms)
        return min(limit_ms, MAX_SILENCE_SHARE * patience)

    def _can_resume(self) -> bool:
        # A stream without numbers would begin again.
        has_place = not self._started or self._events.last_id is not None
        return self._route.resumable and self.runs < self._route.max_attempts and has_place

    async def _forward_events(self, answer: BackendAnswer, data: bytes) -> None:
        if not data:
            return
        if not self._started:
            self._started = True
            await self._note_version()
            await self._sink.start(answer.status, answer.headers)
        now_ms = self._context.clock.now_ms()
        self._guarded.note_events()
        self.times.note_event(now_ms)
        self._measure_speed(now_ms)
        await self._sink.write(data)

    async def _note_version(self) -> None:
        """Records the version of the engine whose first event is about to be passed on."""
        versions, software = self._context.versions, self.software
        if software is None:
            return
        if self._origin is None:
            self._began_at = software
            await versions.note_began(self._request.request_id, software)
        elif self._origin.attempt is not None:
            versions.note_continued(self._origin.attempt, software)

    def _measure_speed(self, now_ms: float) -> None:
        """Records the speed of the engine each time that some more events have arrived."""
        last_id = self._events.last_id
        if last_id is None:
            return
        if self._measured_from is None:
            self._measured_from = last_id, now_ms
            return
        events = last_id - self._measured_from[0]
        if events >= MEASURED_EVENTS:
            self._meter.model.note_events(events, now_ms - self._measured_from[1], now_ms)
            self._measured_from = last_id, now_ms
