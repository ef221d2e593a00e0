"""Sends the prompt of a request to the prefill engine that is expected to finish first."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from medlarvale.forwarding.context import ForwardingContext
from medlarvale.forwarding.demand import DemandMeter
from medlarvale.forwarding.errors import BackendError, NotSentError, RejectedError
from medlarvale.forwarding.guarded_run import GuardedRun
from medlarvale.forwarding.messages import ClientRequest, EngineStage, PrefillResult
from medlarvale.forwarding.servers import ServerLoad
from medlarvale.forwarding.silence import CHECK_AFTER_MS
from medlarvale.ids import ServerId, ServiceName
from medlarvale.logs import Event, log_warning
from medlarvale.prompt_cache import weighing
from medlarvale.prompt_cache.records import SentPart, prompt_parts

# Maximum prefill calls for one prompt.
MAX_PREFILLS = 2
# Time between two looks at whether an engine that runs a prefill can still be reached.
CHECK_PERIOD_MS = 200.0
# An engine that rejects a prompt is switching its stage or gone; the server list soon shows it.
REJECTED_PAUSE_MS = 1_000.0
# Prefill speed of a decode engine relative to that of a prefill engine.
DECODE_PREFILL_SPEED = 0.5
# Added to the wait at prefill engines in other failure domains, because fetching the KV cache
# within a failure domain costs a third.
REMOTE_PENALTY_MS = 60.0
# A decode engine prefills a chunk of a prompt between two steps, which takes as long as four steps.
LOCAL_PREFILL_STRETCH = 5.0
# Largest such chunk. An event of many steps contains all chunks of a prompt.
LOCAL_CHUNK_TOKENS = 512
# Wait for a prefill engine, beyond the slower prefill of the decode engine, up to which the prefill
# engine is preferred. The first value holds if the streams of the decode engine stay within the gap
# target during prefill, the second if they don't. In bursts in bench.forwarding 300 ms made 9% of
# the streams late and 50 ms 4%; with 50 ms for slow engines too, 11% had a gap that was too long.
OVERFLOW_WAIT_MS = 50.0
SLOW_OVERFLOW_WAIT_MS = 700.0


class PrefillDispatcher:
    """Prefills the prompt of one request, on another engine if one is lost.

    Attributes:
        expected_saved_tokens: prompt tokens that the last chosen engine is expected to have cached.

    Args:
        context: shared dependencies.
        request: the request.
        service: its service.
        tokens: prompt tokens.
        meter: load and prefill speed of the service.
        guarded: reports engines that are lost during a prefill.
    """

    def __init__(
        self,
        context: ForwardingContext,
        request: ClientRequest,
        service: ServiceName,
        tokens: int,
        meter: DemandMeter,
        guarded: GuardedRun,
    ) -> None:
        self._guarded = guarded
        self._context = context
        self._request = request
        self._service = service
        self._tokens = tokens
        self._meter = meter
        self._budget = context.budget(service)
        self._calls = 0
        self._caches = context.prompt_caches
        self._parts = prompt_parts(request.shared_parts, request.prompt_part, request.part_tokens)
        # What the decode engine had processed before it was left to prefill the prompt itself.
        self._sent_to_decode: tuple[SentPart, ...] | None = None
        self.expected_saved_tokens = 0

    async def run(
        self,
        decode: ServerLoad,
        gap_target_ms: float,
        end_ms: float,
        limit_ms: float,
        priority: int | None = None,
    ) -> PrefillResult | None:
        """Runs the prefill; returns None if the decode engine should run it itself.

        Args:
            decode: engine that will fetch the KV cache.
            gap_target_ms: longest gap between two events that callers accept; 0 if unknown.
            end_ms: monotonic time at which the request ends.
            limit_ms: time after which a prefill that was expected to be done is given up.
            priority: rank of the request at the prefill engine; None to leave it to the engine.
        """
        clock = self._context.clock
        tried: set[ServerId] = set()
        self._sent_to_decode = None
        while self._calls < MAX_PREFILLS:
            load = self._choose(decode, gap_target_ms, tried)
            if load is None or (self._calls and not self._budget.spend_retry()):
                break
            tried.add(load.server.server)
            self._calls += 1
            self._context.servers.limits.take(load.server)
            load.tokens += self._tokens
            sent_ms = clock.now_ms()
            instance = load.instance
            sent = self._caches.sent(instance, self._parts, sent_ms)
            speed = self._tokens_per_ms(sent_ms)
            due_ms = sent_ms + (load.tokens / speed if speed is not None else 0.0)
            load.backlog.begin(due_ms)
            prefilled = False
            try:
                result = await self._prefill_at(load, due_ms, limit_ms, end_ms - sent_ms, priority)
                prefilled = True
                self._note_success(load, clock.now_ms() - sent_ms, sent)
                self._caches.note_sent(instance, self._parts, clock.now_ms())
                if speed is not None:
                    waited_ms = max(0.0, clock.now_ms() - due_ms)
                    self._meter.prefill_waits.note(waited_ms, clock.now_ms())
                return result
            except BackendError as error:
                self._note_failure(load, error)
            finally:
                load.tokens -= self._tokens
                measured = prefilled and speed is not None
                load.backlog.end(due_ms, clock.now_ms(), prefilled=measured)
        now_ms = clock.now_ms()
        self._sent_to_decode = self._caches.sent(decode.instance, self._parts, now_ms)
        self.expected_saved_tokens = round(self._expected_tokens(decode, now_ms))
        return None

    def skip(self) -> None:
        """Records that the next decode engine needs no prefill, so that it shows nothing."""
        self._sent_to_decode = None

    def note_first_event(self, decode: ServerLoad, took_ms: float) -> None:
        """Records that a decode engine has processed the prompt.

        Args:
            decode: the engine.
            took_ms: time from the send to the first event.
        """
        now_ms = self._context.clock.now_ms()
        if self._sent_to_decode is not None:
            self._note_duration(EngineStage.DECODE, self._sent_to_decode, took_ms, now_ms)
        self._caches.note_sent(decode.instance, self._parts, now_ms)

    async def _prefill_at(
        self, load: ServerLoad, due_ms: float, limit_ms: float, left_ms: float, priority: int | None
    ) -> PrefillResult:
        """Runs the prefill at an engine, as long as it can be reached.

        Raises:
            BackendError: it can't, or the connection seems to be dead.
        """
        servers, clock = self._context.servers, self._context.clock
        sent_ms = clock.now_ms()
        call = asyncio.ensure_future(
            self._context.backends.prefill(load.server, self._request, left_ms, priority)
        )
        try:
            while not (await asyncio.wait({call}, timeout=CHECK_PERIOD_MS / 1000.0))[0]:
                if clock.now_ms() >= due_ms + CHECK_AFTER_MS:
                    servers.request_check(load, clock.now_ms())
                if load.unreachable_ms > sent_ms:
                    raise BackendError("the engine can't be reached any more")
                if clock.now_ms() >= due_ms + limit_ms:
                    raise BackendError("no result of the prefill in time")
            return call.result()
        finally:
            call.cancel()

    def _choose(
        self, decode: ServerLoad, gap_target_ms: float, tried: set[ServerId]
    ) -> ServerLoad | None:
        context, now_ms = self._context, self._context.clock.now_ms()
        # What another version writes may not fit, and caches tell which version began a stream.
        candidates = context.servers.candidates(
            self._service,
            now_ms,
            stage=EngineStage.PREFILL,
            excluded=tried,
            software=decode.server.software,
            healthy_only=True,
        )
        speed = self._tokens_per_ms(now_ms)
        if speed is None:
            # Without a measured speed nothing is known about the queues but their own share.
            return min(
                candidates, key=lambda load: (load.tokens, context.rng.random()), default=None
            )
        recent_wait_ms = self._meter.prefill_waits.wait_ms(now_ms)

        def wait_ms(load: ServerLoad) -> float:
            return max(load.tokens / speed, load.backlog.wait_ms(now_ms), recent_wait_ms)

        def cost(load: ServerLoad) -> tuple[float, float]:
            remote = load.server.failure_domain != decode.server.failure_domain
            return wait_ms(load) + remote * REMOTE_PENALTY_MS, context.rng.random()

        best = min(candidates, key=cost, default=None)
        if best is None:
            return None
        if self._parts:
            best = self._weigh_caches(candidates, best, cost, speed)
        prefill_tokens = self._expected_tokens(best, now_ms)
        self.expected_saved_tokens = round(prefill_tokens)
        decode_tokens = self._expected_tokens(decode, now_ms)
        extra_ms = weighing.extra_allowed_wait_ms(
            prefill_tokens / speed, decode_tokens / (speed * DECODE_PREFILL_SPEED)
        )
        slower_ms = self._tokens / speed * (1.0 / DECODE_PREFILL_SPEED - 1.0)
        within_gap_target = not gap_target_ms or (
            self._local_gap_ms(decode, speed, now_ms) <= gap_target_ms
        )
        allowed_ms = OVERFLOW_WAIT_MS if within_gap_target else SLOW_OVERFLOW_WAIT_MS
        return best if wait_ms(best) <= allowed_ms + slower_ms + extra_ms else None

    def _weigh_caches(
        self,
        candidates: list[ServerLoad],
        usual: ServerLoad,
        cost: Callable[[ServerLoad], tuple[float, float]],
        speed: float,
    ) -> ServerLoad:
        """Returns the prefill engine to use, given the one that is usual without caches."""
        now_ms = self._context.clock.now_ms()
        weighed = [
            weighing.Candidate(
                cost(load)[0], load.tokens / speed, self._expected_tokens(load, now_ms) / speed
            )
            for load in candidates
        ]
        return candidates[weighing.choose(weighed, candidates.index(usual))]

    def _tokens_per_ms(self, now_ms: float) -> float | None:
        """Returns the prefill speed of an engine without a queue, and without cached parts."""
        fastest = self._meter.model.prefill_tokens_per_ms(now_ms)
        uncached = self._caches.uncached_tokens_per_ms(self._service, EngineStage.PREFILL)
        if fastest is None or uncached is None:
            return fastest
        # The fastest prefill, here or at a peer, may have been one of a cached prompt.
        return min(fastest, uncached)

    def _expected_tokens(self, load: ServerLoad, now_ms: float) -> float:
        """Returns the expected cached tokens of the prompt at an engine."""
        stage = load.server.stage or EngineStage.DECODE
        cached = self._caches.expected_tokens(
            self._service, stage, load.instance, self._parts, now_ms
        )
        return min(cached, float(self._tokens))

    def _local_gap_ms(self, decode: ServerLoad, tokens_per_ms: float, now_ms: float) -> float:
        """Returns the gap between events of the decode engine's streams during a prefill there."""
        stretched_ms = decode.event_gap_ms * LOCAL_PREFILL_STRETCH
        steps_per_event = self._meter.model.tokens_per_event(now_ms)
        if steps_per_event is None or 2.0 * self._tokens > steps_per_event * LOCAL_CHUNK_TOKENS:
            return stretched_ms
        # All chunks fall between two events.
        whole_ms = self._tokens / (tokens_per_ms * DECODE_PREFILL_SPEED)
        return max(stretched_ms, decode.event_gap_ms + whole_ms)

    def _note_success(self, load: ServerLoad, took_ms: float, sent: tuple[SentPart, ...]) -> None:
        now_ms, model = self._context.clock.now_ms(), self._meter.model
        self._context.servers.note_success(load, now_ms)
        if load.tokens != self._tokens:
            return
        computed = self._note_duration(EngineStage.PREFILL, sent, took_ms, now_ms)
        uncached = self._caches.uncached_tokens_per_ms(self._service, EngineStage.PREFILL)
        if computed < self._tokens and uncached is not None:
            # Fixed costs dominate the time of the rest, so it shows no speed: that of uncached
            # prompts goes on to hold.
            model.note_prefill(self._tokens, self._tokens / uncached, now_ms)
            return
        model.note_prefill(max(1, computed), took_ms, now_ms)

    def _note_duration(
        self, stage: EngineStage, sent: tuple[SentPart, ...], took_ms: float, now_ms: float
    ) -> int:
        """Records the duration of a prefill; returns the tokens that seem to be computed."""
        shared_tokens = sum(part.tokens for part in self._parts[: len(self._request.shared_parts)])
        return self._caches.note_prefill(
            self._service, stage, sent, shared_tokens, self._tokens, took_ms, now_ms
        )

    def _note_failure(self, load: ServerLoad, error: BackendError) -> None:
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
            return
        if isinstance(error, NotSentError):
            self._context.servers.note_unreachable(load, now_ms, error.message)
            return
        self._guarded.note_broken(load.server)
        self._context.servers.note_failure(load, now_ms, error.message)
