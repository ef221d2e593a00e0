"""Drives one request through its attempts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from opentelemetry.context import Context

from medlarvale.completions.accounting import RequestAccount
from medlarvale.completions.attempt import Attempt, AttemptEvent, AttemptState
from medlarvale.completions.dependencies import RequestPathDependencies
from medlarvale.completions.engine_client import (
    CallContext,
    Chunk,
    ChunkStream,
    DecodeCall,
    ImportCall,
    PrefillCall,
    Prefilled,
    ReserveCall,
)
from medlarvale.completions.errors import (
    CallerGoneError,
    EngineFaultError,
    EngineFullError,
    EngineLeavingError,
    EngineLostError,
    EngineProtocolError,
    EngineStalledError,
    EngineUnreachableError,
    RestartRefusedError,
    RestartsExhaustedError,
    SequenceConflictError,
    TransferFailedError,
)
from medlarvale.completions.request import Completion, ModelRequest, TokenSink
from medlarvale.completions.sequence import TokenSequence
from medlarvale.completions.watchdog import RelayWatchdog, deadline
from medlarvale.errors import MedlarvaleError, Outcome
from medlarvale.ids import AttemptNumber, ServerId
from medlarvale.logs import Event, log_info
from medlarvale.membership.servers import BackendServer
from medlarvale.scheduling.messages import Phase, Placed, Progress, Release, Reserve
from medlarvale.tracing import open_span, traceparent_of

# The engine frees a reservation by itself after this time (design section 7).
RESERVATION_TTL_MS = 2_000

# A full decode engine is asked again, because repeating the prefill costs far more.
FULL_RETRY_PAUSE_MS = 25


class RequestRun:
    """One request on its way.

    Attributes:
        attempt: the current attempt.
        dispatched: an engine may have worked on the request, so no later error may claim
            "not run".
    """

    def __init__(
        self,
        parts: RequestPathDependencies,
        request: ModelRequest,
        sink: TokenSink,
        parent: Context,
    ) -> None:
        self._parts = parts
        self._request = request
        self._sink = sink
        self._parent = parent
        self._excluded: list[ServerId] = []
        self._started_ms = parts.clock.now_ms()
        self.account = RequestAccount(self._started_ms)
        self.sequence = TokenSequence(request.max_tokens)
        self.attempt = Attempt(AttemptNumber(0))
        self.dispatched = False

    async def drive(self) -> Completion:
        """Runs attempts until the answer is whole.

        Raises:
            MedlarvaleError: the answer is not whole and no further attempt is possible.
        """
        max_restarts = self._parts.value("max_restarts", self._request.service)
        for number in range(1, max_restarts + 2):
            try:
                await self._run_attempt(Attempt(AttemptNumber(number)))
            except EngineFaultError as fault:
                if number > max_restarts:
                    raise RestartsExhaustedError(
                        f"{number} attempts failed; the last one: {fault.message}"
                    ) from fault
                log_info(
                    Event.REQUEST_RESTARTED,
                    request_id=self._request.request_id,
                    attempt=number,
                    code=fault.code,
                    server=fault.server,
                )
            except MedlarvaleError as error:
                if self.dispatched and error.outcome is Outcome.NOT_RUN:
                    raise RestartRefusedError(
                        f"attempt {number} found no place: {error.code}",
                        retry_after_ms=error.retry_after_ms,
                    ) from error
                raise
            else:
                break
        return Completion(
            finish_reason=self.sequence.finish_reason,
            prompt_tokens=len(self._request.prompt_tokens),
            output_tokens=len(self.sequence.tokens),
        )

    async def _run_attempt(self, attempt: Attempt) -> None:
        self.attempt = attempt
        self.sequence.start_attempt(attempt.number)
        failed: ServerId | None = None
        try:
            placed = await self._place(attempt)
            prefill, decode = self._engine(placed.prefill), self._engine(placed.decode)
            prefilled = await self._prefill(attempt, prefill)
            if not self.sequence.whole:
                await self._transfer(attempt, placed, prefill, decode, prefilled)
                await self._decode(attempt, decode)
            attempt.prefill_used = True
            attempt.handle(AttemptEvent.FINISHED)
        except EngineFaultError as fault:
            attempt.handle(AttemptEvent.FAULT)
            failed = fault.server if fault.blames_server else None
            if fault.exclude:
                self._excluded.append(fault.server)
            raise
        except (asyncio.CancelledError, CallerGoneError):
            attempt.handle(AttemptEvent.CALLER_GONE)
            raise
        except BaseException:
            attempt.handle(AttemptEvent.FAULT)
            raise
        finally:
            self._end_attempt(attempt, failed)

    def _end_attempt(self, attempt: Attempt, failed: ServerId | None) -> None:
        self.account.attempt_ended(attempt)
        if attempt.admitted:
            answered = attempt.state is AttemptState.DONE
            self._parts.guard.ended(self._request.fingerprint, answered=answered)
        self._parts.placement.release(
            Release(
                request_id=self._request.request_id,
                attempt=attempt.number,
                owner=self._parts.identity,
                service=self._request.service,
                failed=failed,
            )
        )
        if attempt.state is AttemptState.DONE and attempt.freed_by_engine:
            return
        for server in attempt.engines():
            engine = self._parts.directory.get(server)
            if engine is not None:
                self._parts.cleanup.cancel(engine, self._context(attempt))

    async def _place(self, attempt: Attempt) -> Placed:
        request, parts = self._request, self._parts
        isolate = await parts.guard.admit(request.fingerprint)
        attempt.admitted = True
        tokens = request.prompt_tokens + self.sequence.tokens
        elapsed_ms = parts.clock.now_ms() - self._started_ms
        # After a restart the first token may already be with the caller; what is left of the
        # whole deadline then bounds the wait.
        due_ms = request.deadline_ms if self.sequence.tokens else request.first_token_deadline_ms
        with open_span(parts.tracer, "reserve", self._parent, {"attempt": attempt.number}):
            placed = await parts.placement.reserve(
                Reserve(
                    request_id=request.request_id,
                    attempt=attempt.number,
                    owner=parts.identity,
                    service=request.service,
                    workspace=request.workspace,
                    work_class=request.work_class,
                    prompt_tokens=len(tokens),
                    expected_output_tokens=max(
                        1, request.expected_output_tokens - len(self.sequence.tokens)
                    ),
                    prefix_hashes=parts.hash_prefixes(tokens),
                    deadline_ms=max(1, int(due_ms - elapsed_ms)),
                    excluded=list(self._excluded),
                    isolate=isolate,
                )
            )
        attempt.prefill, attempt.decode = placed.prefill, placed.decode
        return placed

    def _engine(self, server: ServerId) -> BackendServer:
        engine = self._parts.directory.get(server)
        if engine is None:
            raise EngineUnreachableError(server, "not in the host list")
        if not self._parts.directory.accepts_work(server):
            raise EngineLeavingError(server)
        return engine

    async def _prefill(self, attempt: Attempt, engine: BackendServer) -> Prefilled:
        request, parts = self._request, self._parts
        generated = list(self.sequence.tokens)
        rate = parts.value(
            "prefill_tokens_per_s", request.service, engine.failure_domain, engine.pool
        )
        expected_ms = (len(request.prompt_tokens) + len(generated)) * 1_000 / rate
        limit_ms = parts.limits.prefill_min_ms + parts.limits.factor * expected_ms
        attempt.handle(AttemptEvent.PLACED)
        started_ms = parts.clock.now_ms()
        try:
            with self._hop("prefill", attempt, engine) as context, self._exposed(engine.server):
                async with deadline(parts.clock, limit_ms, _stalled(engine)):
                    prefilled = await parts.engines.prefill(
                        engine,
                        context,
                        PrefillCall(
                            request_id=request.request_id,
                            attempt=attempt.number,
                            prompt_tokens=request.prompt_tokens,
                            generated_tokens=generated,
                            priority=request.work_class.value,
                            model=request.model,
                        ),
                    )
        except BaseException:
            # The engine cannot say how far it came, so the whole wait counts.
            attempt.prefill_ms = parts.clock.now_ms() - started_ms
            raise
        attempt.prefill_ms = prefilled.prefill_ms
        self._report(attempt, Phase.PREFILLED)
        first = Chunk(i=len(generated), tokens=[prefilled.first_token])
        fresh = self._accept(attempt.number, engine.server, [first])
        arrived_ms = parts.clock.now_ms()
        await self._sink.deliver(fresh)
        self.account.tokens_sent(len(fresh), arrived_ms, parts.clock.now_ms())
        return prefilled

    async def _transfer(
        self,
        attempt: Attempt,
        placed: Placed,
        prefill: BackendServer,
        decode: BackendServer,
        prefilled: Prefilled,
    ) -> None:
        request, parts = self._request, self._parts
        attempt.handle(AttemptEvent.PREFILLED)
        with self._hop("transfer", attempt, decode) as context:
            await self._reserve_memory(context, placed, prefill, decode)
            rate = parts.value(
                "link_rate_bytes_per_s", request.service, decode.failure_domain, decode.pool
            )
            expected_ms = prefilled.kv_bytes * 1_000 / rate
            limit_ms = parts.limits.transfer_min_ms + parts.limits.factor * expected_ms
            with self._exposed(decode.server):
                async with deadline(
                    parts.clock,
                    limit_ms,
                    lambda: TransferFailedError(prefill.server, "transfer stalled"),
                ):
                    await parts.engines.import_kv(
                        decode,
                        context,
                        ImportCall(
                            request_id=request.request_id,
                            attempt=attempt.number,
                            source_address=prefill.address,
                            kv_handle=prefilled.kv_handle,
                        ),
                        prefill.server,
                    )
        attempt.handle(AttemptEvent.TRANSFERRED)
        self._report(attempt, Phase.TRANSFERRED)

    async def _reserve_memory(
        self, context: CallContext, placed: Placed, prefill: BackendServer, decode: BackendServer
    ) -> None:
        parts = self._parts
        call = ReserveCall(
            context.request_id, context.attempt, placed.pieces, ttl_ms=RESERVATION_TTL_MS
        )
        kv_ttl_ms = parts.value(
            "kv_ttl_ms", self._request.service, prefill.failure_domain, prefill.pool
        )
        # Half of the KV cache's life is left for the transfer itself.
        give_up_ms = parts.clock.now_ms() + kv_ttl_ms / 2
        while True:
            try:
                async with deadline(parts.clock, parts.limits.engine_call_ms, _stalled(decode)):
                    return await parts.engines.reserve(decode, context, call)
            except EngineFullError:
                if parts.clock.now_ms() + FULL_RETRY_PAUSE_MS > give_up_ms:
                    raise
                await parts.clock.sleep_ms(FULL_RETRY_PAUSE_MS)

    async def _decode(self, attempt: Attempt, engine: BackendServer) -> None:
        request, parts = self._request, self._parts
        tbt_ms = parts.value("tbt_target_ms", request.service, engine.failure_domain, engine.pool)
        limit_ms = max(parts.limits.stream_min_ms, parts.limits.stream_factor * tbt_ms)
        call = DecodeCall(
            request_id=request.request_id,
            attempt=attempt.number,
            position=len(self.sequence.tokens),
            max_tokens=request.max_tokens,
        )
        watchdog = RelayWatchdog(
            parts.clock,
            source_limit_ms=limit_ms,
            make_source_error=_stalled(engine),
            destination_limit_ms=parts.limits.caller_ms,
            make_destination_error=CallerGoneError,
        )
        with self._hop("decode", attempt, engine) as context, self._exposed(engine.server):
            async with watchdog, parts.engines.decode(engine, context, call) as stream:
                await self._relay(attempt, engine.server, stream, watchdog)

    async def _relay(
        self, attempt: Attempt, server: ServerId, stream: ChunkStream, watchdog: RelayWatchdog
    ) -> None:
        """Passes on what the stream gives until the answer is whole.

        This loop runs once per chunk of every answer and holds most of the router's cost.
        """
        read, deliver, now = stream.read, self._sink.deliver, self._parts.clock.now_ms
        sequence, count_sent = self.sequence, self.account.tokens_sent
        while not sequence.whole:
            chunks = await read()
            if not chunks:
                raise EngineLostError(server, "stream ended before the answer was whole")
            fresh = self._accept(attempt.number, server, chunks)
            if fresh:
                arrived_ms = now()
                watchdog.wait_for_destination(arrived_ms)
                await deliver(fresh)
                sent_ms = now()
                count_sent(len(fresh), arrived_ms, sent_ms)
                watchdog.wait_for_source(sent_ms)
                if not attempt.prefill_used:
                    attempt.prefill_used = True
                    self._report(attempt, Phase.DECODING)
        attempt.freed_by_engine = chunks[-1].done

    def _accept(self, attempt: AttemptNumber, server: ServerId, chunks: list[Chunk]) -> list[int]:
        """Returns the tokens that chunks add to the answer."""
        try:
            if len(chunks) == 1:
                chunk = chunks[0]
                return self.sequence.accept(attempt, chunk.i, chunk.tokens, chunk.done)
            fresh: list[int] = []
            for chunk in chunks:
                fresh += self.sequence.accept(attempt, chunk.i, chunk.tokens, chunk.done)
            return fresh
        except SequenceConflictError as error:
            raise EngineProtocolError(server, error.message) from error

    @contextmanager
    def _hop(self, name: str, attempt: Attempt, engine: BackendServer) -> Iterator[CallContext]:
        self.dispatched = True
        attributes: dict[str, str | int] = {"attempt": attempt.number, "server": engine.server}
        with open_span(self._parts.tracer, name, self._parent, attributes) as span:
            yield self._context(attempt, traceparent_of(span))

    @contextmanager
    def _exposed(self, server: ServerId) -> Iterator[None]:
        """Tells the crash guard that the request runs on an engine during the block."""
        fingerprint, guard = self._request.fingerprint, self._parts.guard
        guard.started(fingerprint, server)
        lost = False
        try:
            yield
        except EngineFaultError as fault:
            lost = fault.server_lost and fault.server == server
            raise
        finally:
            guard.finished(fingerprint, server, server_lost=lost)

    def _context(self, attempt: Attempt, traceparent: str = "") -> CallContext:
        return CallContext(
            owner=self._parts.identity,
            request_id=self._request.request_id,
            attempt=attempt.number,
            traceparent=traceparent,
        )

    def _report(self, attempt: Attempt, phase: Phase) -> None:
        self._parts.placement.report(
            Progress(
                request_id=self._request.request_id,
                attempt=attempt.number,
                owner=self._parts.identity,
                service=self._request.service,
                phase=phase,
            )
        )


def _stalled(engine: BackendServer) -> Callable[[], Exception]:
    return lambda: EngineStalledError(engine.server)
