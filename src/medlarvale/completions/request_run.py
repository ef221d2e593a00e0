"""Runs the attempts of one model request."""

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

# The engine frees an unused reservation after this time (design section 7).
RESERVATION_TTL_MS = 2_000

# A reservation at a full decode engine is retried: repeating the prefill costs far more.
ENGINE_FULL_RETRY_DELAY_MS = 25


class RequestRun:
    """Runs one request until its answer is complete or no further attempt is possible.

    Attributes:
        attempt: the current attempt.
        dispatched: an engine may have worked on the request, so no later error may have the
            outcome ``NOT_RUN``.
    """

    def __init__(
        self, deps: RequestPathDependencies, request: ModelRequest, sink: TokenSink, parent: Context
    ) -> None:
        self._deps = deps
        self._request = request
        self._sink = sink
        self._parent = parent
        self._excluded: list[ServerId] = []
        self._started_ms = deps.clock.now_ms()
        self.account = RequestAccount(self._started_ms)
        self.sequence = TokenSequence(request.max_tokens)
        self.attempt = Attempt(AttemptNumber(0))
        self.dispatched = False

    async def execute(self) -> Completion:
        """Runs attempts until the answer is complete.

        Raises:
            MedlarvaleError: the answer is incomplete and no further attempt is possible.
        """
        max_restarts = self._deps.value("max_restarts", self._request.service)
        for number in range(1, max_restarts + 2):
            try:
                await self._run_attempt(Attempt(AttemptNumber(number)))
            except EngineFaultError as fault:
                if number > max_restarts:
                    raise RestartsExhaustedError(
                        f"{number} attempts failed; last error: {fault.message}"
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
                        f"attempt {number} could not be placed: {error.code}",
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
            if not self.sequence.complete:
                await self._transfer(attempt, placed, prefill, decode, prefilled)
                await self._decode(attempt, decode)
            attempt.prefill_used = True
            attempt.handle(AttemptEvent.FINISHED)
        except EngineFaultError as fault:
            attempt.handle(AttemptEvent.FAULT)
            failed = fault.server if fault.counts_against_server else None
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
        self.account.add_attempt(attempt)
        if attempt.admitted:
            answered = attempt.state is AttemptState.DONE
            self._deps.guard.ended(self._request.fingerprint, answered=answered)
        self._deps.placement.release(
            Release(
                request_id=self._request.request_id,
                attempt=attempt.number,
                owner=self._deps.identity,
                service=self._request.service,
                failed=failed,
            )
        )
        if attempt.state is AttemptState.DONE and attempt.freed_by_engine:
            return
        for server in attempt.engines():
            engine = self._deps.directory.get(server)
            if engine is not None:
                self._deps.cleanup.cancel(engine, self._context(attempt))

    async def _place(self, attempt: Attempt) -> Placed:
        request, deps = self._request, self._deps
        isolate = await deps.guard.admit(request.fingerprint)
        attempt.admitted = True
        tokens = request.prompt_tokens + self.sequence.tokens
        elapsed_ms = deps.clock.now_ms() - self._started_ms
        # Once the caller has the first token, the wait of a restarted attempt is bounded by the
        # rest of the total deadline.
        due_ms = request.deadline_ms if self.sequence.tokens else request.first_token_deadline_ms
        with open_span(deps.tracer, "reserve", self._parent, {"attempt": attempt.number}):
            placed = await deps.placement.reserve(
                Reserve(
                    request_id=request.request_id,
                    attempt=attempt.number,
                    owner=deps.identity,
                    service=request.service,
                    workspace=request.workspace,
                    work_class=request.work_class,
                    prompt_tokens=len(tokens),
                    expected_output_tokens=max(
                        1, request.expected_output_tokens - len(self.sequence.tokens)
                    ),
                    prefix_hashes=deps.hash_prefixes(tokens),
                    deadline_ms=max(1, int(due_ms - elapsed_ms)),
                    excluded=list(self._excluded),
                    isolate=isolate,
                )
            )
        attempt.prefill, attempt.decode = placed.prefill, placed.decode
        return placed

    def _engine(self, server: ServerId) -> BackendServer:
        engine = self._deps.directory.get(server)
        if engine is None:
            raise EngineUnreachableError(server, "the engine is not in the host list")
        if not self._deps.directory.accepts_work(server):
            raise EngineLeavingError(server)
        return engine

    async def _prefill(self, attempt: Attempt, engine: BackendServer) -> Prefilled:
        request, deps = self._request, self._deps
        generated = list(self.sequence.tokens)
        rate = deps.value(
            "prefill_tokens_per_s", request.service, engine.failure_domain, engine.pool
        )
        expected_ms = (len(request.prompt_tokens) + len(generated)) * 1_000 / rate
        limit_ms = deps.limits.prefill_min_ms + deps.limits.factor * expected_ms
        attempt.handle(AttemptEvent.PLACED)
        started_ms = deps.clock.now_ms()
        try:
            with self._trace("prefill", attempt, engine) as context, self._recorded(engine.server):
                async with deadline(deps.clock, limit_ms, _stall_error(engine)):
                    prefilled = await deps.engines.prefill(
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
            # The engine reported no prefill time, so the full wait counts.
            attempt.prefill_ms = deps.clock.now_ms() - started_ms
            raise
        attempt.prefill_ms = prefilled.prefill_ms
        self._report(attempt, Phase.PREFILLED)
        first = Chunk(i=len(generated), tokens=[prefilled.first_token])
        new_tokens = self._accept(attempt.number, engine.server, [first])
        arrived_ms = deps.clock.now_ms()
        await self._sink.deliver(new_tokens)
        self.account.record_sent(len(new_tokens), arrived_ms, deps.clock.now_ms())
        return prefilled

    async def _transfer(
        self,
        attempt: Attempt,
        placed: Placed,
        prefill: BackendServer,
        decode: BackendServer,
        prefilled: Prefilled,
    ) -> None:
        request, deps = self._request, self._deps
        attempt.handle(AttemptEvent.PREFILLED)
        with self._trace("transfer", attempt, decode) as context:
            await self._reserve_memory(context, placed, prefill, decode)
            rate = deps.value(
                "link_rate_bytes_per_s", request.service, decode.failure_domain, decode.pool
            )
            expected_ms = prefilled.kv_bytes * 1_000 / rate
            limit_ms = deps.limits.transfer_min_ms + deps.limits.factor * expected_ms
            with self._recorded(decode.server):
                async with deadline(
                    deps.clock,
                    limit_ms,
                    lambda: TransferFailedError(prefill.server, "transfer stalled"),
                ):
                    await deps.engines.import_kv(
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
        deps = self._deps
        call = ReserveCall(
            context.request_id, context.attempt, placed.pieces, ttl_ms=RESERVATION_TTL_MS
        )
        kv_ttl_ms = deps.value(
            "kv_ttl_ms", self._request.service, prefill.failure_domain, prefill.pool
        )
        # The other half of the KV cache's lifetime is reserved for the transfer.
        retry_until_ms = deps.clock.now_ms() + kv_ttl_ms / 2
        while True:
            try:
                async with deadline(deps.clock, deps.limits.engine_call_ms, _stall_error(decode)):
                    return await deps.engines.reserve(decode, context, call)
            except EngineFullError:
                if deps.clock.now_ms() + ENGINE_FULL_RETRY_DELAY_MS > retry_until_ms:
                    raise
                await deps.clock.sleep_ms(ENGINE_FULL_RETRY_DELAY_MS)

    async def _decode(self, attempt: Attempt, engine: BackendServer) -> None:
        request, deps = self._request, self._deps
        tbt_ms = deps.value("tbt_target_ms", request.service, engine.failure_domain, engine.pool)
        limit_ms = max(deps.limits.stream_min_ms, deps.limits.stream_factor * tbt_ms)
        call = DecodeCall(
            request_id=request.request_id,
            attempt=attempt.number,
            position=len(self.sequence.tokens),
            max_tokens=request.max_tokens,
        )
        watchdog = RelayWatchdog(
            deps.clock,
            source_limit_ms=limit_ms,
            make_source_error=_stall_error(engine),
            destination_limit_ms=deps.limits.caller_ms,
            make_destination_error=CallerGoneError,
        )
        with self._trace("decode", attempt, engine) as context, self._recorded(engine.server):
            async with watchdog, deps.engines.decode(engine, context, call) as stream:
                await self._relay(attempt, engine.server, stream, watchdog)

    async def _relay(
        self, attempt: Attempt, server: ServerId, stream: ChunkStream, watchdog: RelayWatchdog
    ) -> None:
        """Relays tokens from the stream to the caller until the answer is complete.

        This loop runs for every chunk of every answer and accounts for most of the router's cost.
        """
        read, deliver, now = stream.read, self._sink.deliver, self._deps.clock.now_ms
        sequence, record_sent = self.sequence, self.account.record_sent
        while not sequence.complete:
            chunks = await read()
            if not chunks:
                raise EngineLostError(server, "stream ended before the answer was complete")
            new_tokens = self._accept(attempt.number, server, chunks)
            if new_tokens:
                arrived_ms = now()
                watchdog.wait_for_destination(arrived_ms)
                await deliver(new_tokens)
                sent_ms = now()
                record_sent(len(new_tokens), arrived_ms, sent_ms)
                watchdog.wait_for_source(sent_ms)
                if not attempt.prefill_used:
                    attempt.prefill_used = True
                    self._report(attempt, Phase.DECODING)
        attempt.freed_by_engine = chunks[-1].done

    def _accept(self, attempt: AttemptNumber, server: ServerId, chunks: list[Chunk]) -> list[int]:
        """Adds chunks to the answer and returns the new tokens."""
        try:
            if len(chunks) == 1:
                chunk = chunks[0]
                return self.sequence.accept(attempt, chunk.i, chunk.tokens, chunk.done)
            new_tokens: list[int] = []
            for chunk in chunks:
                new_tokens += self.sequence.accept(attempt, chunk.i, chunk.tokens, chunk.done)
            return new_tokens
        except SequenceConflictError as error:
            raise EngineProtocolError(server, error.message) from error

    @contextmanager
    def _trace(self, name: str, attempt: Attempt, engine: BackendServer) -> Iterator[CallContext]:
        self.dispatched = True
        attributes: dict[str, str | int] = {"attempt": attempt.number, "server": engine.server}
        with open_span(self._deps.tracer, name, self._parent, attributes) as span:
            yield self._context(attempt, traceparent_of(span))

    @contextmanager
    def _recorded(self, server: ServerId) -> Iterator[None]:
        """Records at the crash guard that the request runs on an engine during the block."""
        fingerprint, guard = self._request.fingerprint, self._deps.guard
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
            owner=self._deps.identity,
            request_id=self._request.request_id,
            attempt=attempt.number,
            traceparent=traceparent,
        )

    def _report(self, attempt: Attempt, phase: Phase) -> None:
        self._deps.placement.report(
            Progress(
                request_id=self._request.request_id,
                attempt=attempt.number,
                owner=self._deps.identity,
                service=self._request.service,
                phase=phase,
            )
        )


def _stall_error(engine: BackendServer) -> Callable[[], Exception]:
    return lambda: EngineStalledError(engine.server)
