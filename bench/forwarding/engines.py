"""Emulated prefill and decode engines, and the calls of one host to them.

Speeds and sizes are those of the deployments of milestone 1; see ``EngineModel``.
"""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import itertools
from collections import OrderedDict
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass, field

from multidict import CIMultiDict

from medlarvale.forwarding.errors import (
    BackendError,
    NotSentError,
    RejectedError,
    ServerDownError,
)
from medlarvale.forwarding.interface import LeavingCallback, LimitCallback, WaitCallback
from medlarvale.forwarding.messages import (
    ClientRequest,
    Dispatch,
    EngineReport,
    EngineStage,
    HandleId,
    HoldId,
    PrefillResult,
    PromptPartId,
    Server,
)
from medlarvale.http_bodies import BodyFraming
from medlarvale.ids import FailureDomain, ServerId

# Decode steps that are simulated together, or parts into which an event of many steps is divided.
STEPS_AT_ONCE = 3
# Priority of requests that name none.
USUAL_PRIORITY = 5
# Marks the end of a stream in its event queue.
_END = b""


@dataclass(frozen=True, slots=True)
class EngineModel:
    """Speed and size of an engine; the defaults are those of the site Glatføre.

    Attributes:
        step_ms: duration of a decode step without requests.
        step_ms_per_request: time that each running request adds to a decode step.
        prefill_tokens_per_ms: prompt tokens per ms of a prefill engine.
        prefill_setup_ms: fixed part of a prefill.
        local_prefill_share: prefill speed of a decode engine as a share of
            ``prefill_tokens_per_ms``.
        prefill_chunk_tokens: prompt tokens that a decode engine prefills between two steps.
        tokens_per_event: output tokens in one event.
        slots: requests that run or have reserved memory at the same time.
        stage_change_ms: duration of a change of stage, after the engine is idle.
        cache_tokens: tokens of shared parts of prompts that a prefill engine keeps.
    """

    memory_tokens: int = 66_635
    step_ms: float = 3.79
    step_ms_per_request: float = 0.0893
    prefill_tokens_per_ms: float = 55.56
    prefill_setup_ms: float = 24.0
    local_prefill_share: float = 0.5
    prefill_chunk_tokens: int = 512
    tokens_per_event: int = 11
    stage_change_ms: float = 6_000.0
    slots: int = 64
    cache_tokens: int = 0

    @property
    def steps_at_once(self) -> int:
        """Decode steps without a prefill that are simulated together, at most part of an event."""
        return max(STEPS_AT_ONCE, self.tokens_per_event // STEPS_AT_ONCE)

    def event_of(self, generated_tokens: int) -> int:
        """Returns the number of the event that contains the last generated token."""
        return 1 + -(-(generated_tokens - 1) // self.tokens_per_event)

    def tokens_until(self, event: int) -> int:
        """Returns the number of tokens in all events up to and including one."""
        return 1 + (event - 1) * self.tokens_per_event if event else 0


@dataclass(eq=False, slots=True)
class _Run:
    """One request on a decode engine."""

    request: str
    hold_tokens: int
    pending_prefill_tokens: int
    cached_tokens: int
    remaining_tokens: int
    generated_tokens: int = 0
    preempted: bool = False
    events: asyncio.Queue[bytes | Exception] = field(default_factory=asyncio.Queue)

    @property
    def memory_tokens(self) -> int:
        return 0 if self.preempted else max(self.hold_tokens, self.cached_tokens)


class _PrefillTurns:
    """Lets one prompt at a time be prefilled, the most urgent first."""

    def __init__(self) -> None:
        self.busy = False
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._numbers = itertools.count()

    @contextlib.asynccontextmanager
    async def turn(self, priority: int) -> AsyncIterator[None]:
        """Waits for the turn of a prompt, which ends with the block."""
        if self.busy:
            future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            heapq.heappush(self._waiting, (priority, next(self._numbers), future))
            try:
                await future
            except asyncio.CancelledError:
                if future.done() and not future.cancelled():
                    self._pass_on()
                raise
        self.busy = True
        try:
            yield
        finally:
            self._pass_on()

    def _pass_on(self) -> None:
        self.busy = False
        while self._waiting:
            _, _, future = heapq.heappop(self._waiting)
            if not future.done():
                self.busy = True
                future.set_result(None)
                return


@dataclass(slots=True)
class EngineCounts:
    """Counters of an engine.

    Attributes:
        prefilled_tokens: tokens prefilled, including those of requests that did not finish.
        cached_tokens: prompt tokens that were cached.
        preempted: number of times that a request lost its memory.
        started: ids of the requests in the order in which they started.
    """

    prefilled_tokens: int = 0
    cached_tokens: int = 0
    preempted: int = 0
    started: list[str] = field(default_factory=list)


class EmulatedEngine:
    """One engine, which serves one stage at a time.

    Args:
        name: server id.
        domain: failure domain.
        stage: initial stage.
        model: speed and size.
        slowdown: factor on all durations.
    """

    def __init__(
        self,
        name: str,
        domain: str,
        stage: EngineStage,
        model: EngineModel,
        slowdown: float = 1.0,
    ) -> None:
        self.name = ServerId(name)
        self.domain = FailureDomain(domain)
        self.stage = stage
        self.model = model
        self.slowdown = slowdown
        self.alive = True
        self.changing = False
        self.counts = EngineCounts()
        self._runs: list[_Run] = []
        self._holds: dict[HoldId, int] = {}
        self._numbers = itertools.count()
        self._prefills = _PrefillTurns()
        # Cached shared parts and their sizes, the least recently used first.
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._worker: asyncio.Task[None] | None = None

    @property
    def used_tokens(self) -> int:
        """Tokens of memory in use or reserved."""
        return sum(self._holds.values()) + sum(run.memory_tokens for run in self._runs)

    @property
    def running(self) -> list[str]:
        """Ids of the running requests."""
        return [run.request for run in self._runs]

    @property
    def idle(self) -> bool:
        """Whether the engine has neither runs nor a prefill."""
        return not self._runs and not self._prefills.busy

    def crash(self) -> None:
        """Aborts all work; calls fail until the engine is alive again."""
        self.alive = False
        for run in self._runs:
            run.events.put_nowait(BackendError("the engine crashed"))
        self._runs.clear()
        self._holds.clear()
        self._cache.clear()

    async def change_stage(self, stage: EngineStage) -> None:
        """Waits until running work has ended, then changes the stage."""
        self.changing = True
        while not self.idle:  # noqa: ASYNC110 - the emulated work has no completion event
            await asyncio.sleep(0.05)
        await asyncio.sleep(self.model.stage_change_ms / 1000.0)
        self.stage = stage
        self.changing = False

    async def prefill(
        self, tokens: int, priority: int | None = None, shared: Mapping[str, int] | None = None
    ) -> None:
        """Prefills a prompt after more urgent ones and those that arrived before it.

        Args:
            tokens: size of the prompt.
            priority: rank of the request; None for the usual one.
            shared: sizes of its shared parts, which the engine caches.
        """
        self._check(EngineStage.PREFILL)
        async with self._prefills.turn(USUAL_PRIORITY if priority is None else priority):
            cached = self._use_cache(shared or {})
            self.counts.cached_tokens += cached
            tokens -= cached
            self.counts.prefilled_tokens += tokens
            duration_ms = self.model.prefill_setup_ms + tokens / self.model.prefill_tokens_per_ms
            await asyncio.sleep(duration_ms * self.slowdown / 1000.0)
        if not self.alive:
            raise BackendError("the engine crashed")

    def _use_cache(self, shared: Mapping[str, int]) -> int:
        """Returns the cached tokens at the beginning of a prompt, and caches all its parts."""
        cached = 0
        for part, size in shared.items():
            if part not in self._cache:
                break
            cached += size
        for part, size in reversed(shared.items()):
            self._cache[part] = size
            self._cache.move_to_end(part)
        while sum(self._cache.values()) > self.model.cache_tokens:
            self._cache.popitem(last=False)
        return cached

    def acquire_hold(self, tokens: int, ttl_ms: float) -> HoldId | None:
        """Reserves memory; returns None if there is not enough."""
        if not self.alive:
            raise BackendError("no connection")
        if self.used_tokens + tokens > self.model.memory_tokens:
            return None
        if len(self._runs) + len(self._holds) >= self.model.slots:
            return None
        hold = HoldId(f"{self.name}-{next(self._numbers)}")
        self._holds[hold] = tokens
        asyncio.get_running_loop().call_later(ttl_ms / 1000.0, self.release_hold, hold)
        return hold

    def release_hold(self, hold: HoldId) -> None:
        """Releases reserved memory."""
        self._holds.pop(hold, None)

    def start(self, request: ClientRequest, output_tokens: int, dispatch: Dispatch) -> _Run:
        """Starts a run."""
        self._check(EngineStage.DECODE)
        assert request.tokens is not None
        prompt = request.tokens.prompt
        hold_tokens = self._holds.pop(dispatch.hold, 0) if dispatch.hold else 0
        if not hold_tokens and self.used_tokens + prompt > self.model.memory_tokens:
            raise RejectedError("not enough memory", full=True)
        generated_tokens = self.model.tokens_until(dispatch.resume_after or 0)
        already_prefilled = prompt if dispatch.source is not None else 0
        run = _Run(
            request.request_id,
            hold_tokens,
            pending_prefill_tokens=prompt + generated_tokens - already_prefilled,
            cached_tokens=prompt + generated_tokens,
            remaining_tokens=output_tokens - generated_tokens,
            generated_tokens=generated_tokens,
        )
        self._runs.append(run)
        self.counts.started.append(request.request_id)
        if self._worker is None or self._worker.done():
            self._worker = asyncio.get_running_loop().create_task(self._run_steps())
        return run

    def cancel(self, run: _Run) -> None:
        """Cancels a run whose connection has closed."""
        if run in self._runs:
            self._runs.remove(run)

    def _check(self, stage: EngineStage) -> None:
        if not self.alive:
            raise NotSentError("no connection")
        if self.changing or self.stage is not stage:
            raise RejectedError("wrong stage", full=False)

    async def _run_steps(self) -> None:
        model = self.model
        while self._runs:
            self._admit_preempted()
            active = [
                run for run in self._runs if not run.pending_prefill_tokens and not run.preempted
            ]
            step_ms = model.step_ms + model.step_ms_per_request * len(active)
            steps = model.steps_at_once
            prefilling = next(
                (run for run in self._runs if run.pending_prefill_tokens and not run.preempted),
                None,
            )
            if prefilling is not None:
                chunk = min(model.prefill_chunk_tokens, prefilling.pending_prefill_tokens)
                step_ms += chunk / (model.prefill_tokens_per_ms * model.local_prefill_share)
                prefilling.pending_prefill_tokens -= chunk
                self.counts.prefilled_tokens += chunk
                steps = 1
            await asyncio.sleep(steps * step_ms * self.slowdown / 1000.0)
            for run in active * steps:
                if run.remaining_tokens > 0 and run in self._runs and not run.preempted:
                    self._advance(run)

    def _advance(self, run: _Run) -> None:
        run.remaining_tokens -= 1
        run.generated_tokens += 1
        run.cached_tokens += 1
        if run.cached_tokens > run.hold_tokens and self.used_tokens > self.model.memory_tokens:
            self._preempt()
        # The first event has a single token, so that its caller sees the start of the answer early.
        last = run.remaining_tokens <= 0
        if last or (run.generated_tokens - 1) % self.model.tokens_per_event == 0:
            number = self.model.event_of(run.generated_tokens)
            run.events.put_nowait(f"id: {number}\ndata: x\n\n".encode())
        if run.remaining_tokens <= 0:
            run.events.put_nowait(_END)
            self._runs.remove(run)

    def _preempt(self) -> None:
        """Preempts the newest run that uses more memory than it reserved.

        Its tokens have to be prefilled again.
        """
        newest = next(
            run
            for run in reversed(self._runs)
            if run.cached_tokens > run.hold_tokens and not run.preempted
        )
        self.counts.preempted += 1
        newest.preempted = True
        newest.pending_prefill_tokens = newest.cached_tokens
        newest.hold_tokens = 0

    def _admit_preempted(self) -> None:
        for run in self._runs:
            if run.preempted and self.used_tokens + run.cached_tokens <= self.model.memory_tokens:
                run.preempted = False


class EmulatedAnswer:
    """Response stream of a run as the host receives it."""

    status = 200
    signed = True
    event_stream = True
    framing = BodyFraming.CHUNKED

    def __init__(self, engine: EmulatedEngine, run: _Run, delay_s: float) -> None:
        self.headers: CIMultiDict[str] = CIMultiDict()
        self._engine = engine
        self._run = run
        self._delay_s = delay_s

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the events."""
        while True:
            event = await self._run.events.get()
            if isinstance(event, Exception):
                raise event
            if event == _END:
                return
            yield event

    async def read(self) -> bytes:
        """Returns all events."""
        return b"".join([chunk async for chunk in self.chunks()])

    def close(self) -> None:
        """Cancels the run if it has not ended."""
        self._engine.cancel(self._run)


class EmulatedBackends:
    """Calls of one host to the engines.

    Args:
        engines: all engines by id.
        domain: failure domain of the host.
        outputs: actual output tokens by request, unknown to the hosts.
    """

    IN_DOMAIN_MS = 0.4
    ACROSS_MS = 2.8

    def __init__(
        self,
        engines: dict[ServerId, EmulatedEngine],
        domain: FailureDomain,
        outputs: dict[str, int],
    ) -> None:
        self._engines = engines
        self._domain = domain
        self._outputs = outputs

    def on_limit(self, callback: LimitCallback) -> None:
        """Does nothing: emulated engines name no limit."""

    def on_leaving(self, callback: LeavingCallback) -> None:
        """Does nothing: emulated engines don't say that they leave."""

    def on_wait(self, callback: WaitCallback) -> None:
        """Does nothing: emulated engines don't ask for a time without requests."""

    def _delay_s(self, server: Server) -> float:
        near = server.failure_domain == self._domain
        return (self.IN_DOMAIN_MS if near else self.ACROSS_MS) / 1000.0

    async def _reach(self, server: Server) -> EmulatedEngine:
        await asyncio.sleep(self._delay_s(server))
        return self._engines[server.server]

    async def send(
        self, server: Server, request: ClientRequest, dispatch: Dispatch
    ) -> EmulatedAnswer:
        """Starts a run."""
        engine = await self._reach(server)
        if dispatch.source is not None:
            assert request.tokens is not None
            # Setup and transfer of the KV cache.
            await asyncio.sleep(0.012)
        run = engine.start(request, self._outputs[request.request_id], dispatch)
        request.possible_runs += 1
        return EmulatedAnswer(engine, run, self._delay_s(server))

    async def prefill(
        self,
        server: Server,
        request: ClientRequest,
        left_ms: float,
        priority: int | None = None,
    ) -> PrefillResult:
        """Prefills a prompt."""
        engine = await self._reach(server)
        assert request.tokens is not None
        shared = dict(zip(request.shared_parts, request.part_tokens, strict=False))
        await engine.prefill(request.tokens.prompt, priority, shared)
        return PrefillResult(server, HandleId(request.request_id))

    async def acquire_hold(self, server: Server, tokens: int, ttl_ms: float) -> HoldId | None:
        """Reserves memory."""
        return (await self._reach(server)).acquire_hold(tokens, ttl_ms)

    async def release_hold(self, server: Server, hold: HoldId) -> None:
        """Releases reserved memory."""
        (await self._reach(server)).release_hold(hold)

    async def release_handle(self, server: Server, handle: HandleId) -> None:
        """Does nothing: the emulation keeps no prompts."""

    async def cached_parts(self, server: Server) -> dict[PromptPartId, int]:
        """Returns no parts: the emulation keeps no prompts."""
        return {}

    async def is_same_instance(self, server: Server) -> bool:
        """Returns whether the engine is alive."""
        return (await self._reach(server)).alive

    async def probe(self, server: Server) -> None:
        """Opens a connection to check that the engine is alive."""
        if not (await self._reach(server)).alive:
            raise ServerDownError("connection refused")

    async def report(self, server: Server) -> EngineReport:
        """Returns the load report of an engine."""
        engine = await self._reach(server)
        return EngineReport(
            engine.stage, engine.changing, 0, 0, 0, engine.used_tokens, engine.model.memory_tokens
        )

    async def order_stage(
        self,
        server: Server,
        stage: EngineStage,
        coordinator: str,
        fencing: int,
        orders_accepted: int,
    ) -> bool:
        """Orders a change of stage."""
        engine = await self._reach(server)
        asyncio.get_running_loop().create_task(engine.change_stage(stage))
        return True
