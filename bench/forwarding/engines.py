"""Emulated prefill and decode engines, and the calls of one host to them.

The figures are those of the deployments of milestone 1: see ``EngineModel``.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from multidict import CIMultiDict

from medlarvale.forwarding.errors import BackendError, NotSentError, RejectedError
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
from medlarvale.ids import FailureDomain, ServerId

# Steps without a prompt to read are computed together; events are late by up to two steps.
STEPS_AT_ONCE = 3
# Marks the end of a stream in the queue of its events.
_END = b""


@dataclass(frozen=True, slots=True)
class EngineModel:
    """Speed and size of an engine; the defaults are those of the site Glatføre.

    Attributes:
        step_ms: duration of a decode step without requests.
        step_ms_per_request: what each running request adds.
        prefill_tokens_per_ms: prompt tokens that a prefill engine reads in a ms.
        prefill_setup_ms: fixed part of a prefill.
        own_prefill_share: share of that speed at which a decode engine reads a prompt.
        own_chunk_tokens: prompt tokens that a decode engine reads between two steps.
        tokens_per_event: output tokens in one event.
        switch_ms: time of a change of stage, once the engine is idle.
    """

    memory_tokens: int = 66_635
    step_ms: float = 3.79
    step_ms_per_request: float = 0.0893
    prefill_tokens_per_ms: float = 55.56
    prefill_setup_ms: float = 24.0
    own_prefill_share: float = 0.5
    own_chunk_tokens: int = 512
    tokens_per_event: int = 11
    switch_ms: float = 6_000.0

    def event_of(self, made_tokens: int) -> int:
        """Returns the number of the event that brings a token."""
        return 1 + -(-(made_tokens - 1) // self.tokens_per_event)

    def tokens_until(self, event: int) -> int:
        """Returns the tokens in all events up to one."""
        return 1 + (event - 1) * self.tokens_per_event if event else 0


@dataclass(eq=False, slots=True)
class _Run:
    """One request on a decode engine."""

    request: str
    hold_tokens: int
    unread_tokens: int
    kept_tokens: int
    left_tokens: int
    made_tokens: int = 0
    preempted: bool = False
    events: asyncio.Queue[bytes | Exception] = field(default_factory=asyncio.Queue)

    @property
    def memory_tokens(self) -> int:
        return 0 if self.preempted else max(self.hold_tokens, self.kept_tokens)


@dataclass(slots=True)
class EngineCounts:
    """What an engine did.

    Attributes:
        read_tokens: prompt tokens read, also in vain.
        preempted: requests that lost their memory.
        started: ids of the requests that began to run, in order.
    """

    read_tokens: int = 0
    preempted: int = 0
    started: list[str] = field(default_factory=list)


class EmulatedEngine:
    """One engine that serves either stage.

    Args:
        name: its id.
        domain: failure domain.
        stage: first stage.
        model: speed and size.
        slowness: factor on all its times.
    """

    def __init__(
        self,
        name: str,
        domain: str,
        stage: EngineStage,
        model: EngineModel,
        slowness: float = 1.0,
    ) -> None:
        self.name = ServerId(name)
        self.domain = FailureDomain(domain)
        self.stage = stage
        self.model = model
        self.slowness = slowness
        self.alive = True
        self.changing = False
        self.counts = EngineCounts()
        self._runs: list[_Run] = []
        self._holds: dict[HoldId, int] = {}
        self._numbers = itertools.count()
        self._prefill_lock = asyncio.Lock()
        self._worker: asyncio.Task[None] | None = None

    @property
    def used_tokens(self) -> int:
        """Memory in use or reserved."""
        return sum(self._holds.values()) + sum(run.memory_tokens for run in self._runs)

    @property
    def running(self) -> list[str]:
        """Ids of the requests that run."""
        return [run.request for run in self._runs]

    @property
    def idle(self) -> bool:
        """Whether it runs nothing."""
        return not self._runs and not self._prefill_lock.locked()

    def crash(self) -> None:
        """Breaks everything off; calls fail until it is back."""
        self.alive = False
        for run in self._runs:
            run.events.put_nowait(BackendError("the engine crashed"))
        self._runs.clear()
        self._holds.clear()

    async def change_stage(self, stage: EngineStage) -> None:
        """Lets the work under way end and comes back with another stage."""
        self.changing = True
        while not self.idle:  # noqa: ASYNC110 - the emulated work has no end to wait for
            await asyncio.sleep(0.05)
        await asyncio.sleep(self.model.switch_ms / 1000.0)
        self.stage = stage
        self.changing = False

    async def prefill(self, tokens: int) -> None:
        """Reads a prompt after those that came before it."""
        self._check(EngineStage.PREFILL)
        async with self._prefill_lock:
            self.counts.read_tokens += tokens
            read_ms = self.model.prefill_setup_ms + tokens / self.model.prefill_tokens_per_ms
            await asyncio.sleep(read_ms * self.slowness / 1000.0)
        if not self.alive:
            raise BackendError("the engine crashed")

    def acquire_hold(self, tokens: int, ttl_ms: float) -> HoldId | None:
        """Reserves memory; returns None without room."""
        if not self.alive:
            raise BackendError("no connection")
        if self.used_tokens + tokens > self.model.memory_tokens:
            return None
        hold = HoldId(f"{self.name}-{next(self._numbers)}")
        self._holds[hold] = tokens
        asyncio.get_running_loop().call_later(ttl_ms / 1000.0, self.release_hold, hold)
        return hold

    def release_hold(self, hold: HoldId) -> None:
        """Gives reserved memory back."""
        self._holds.pop(hold, None)

    def start(self, request: ClientRequest, output_tokens: int, dispatch: Dispatch) -> _Run:
        """Begins a run."""
        self._check(EngineStage.DECODE)
        assert request.tokens is not None
        prompt = request.tokens.prompt
        hold_tokens = self._holds.pop(dispatch.hold, 0) if dispatch.hold else 0
        if not hold_tokens and self.used_tokens + prompt > self.model.memory_tokens:
            raise RejectedError("no room", full=True)
        made = self.model.tokens_until(dispatch.resume_after or 0)
        read_before = prompt if dispatch.source is not None else 0
        run = _Run(
            request.request_id,
            hold_tokens,
            unread_tokens=prompt + made - read_before,
            kept_tokens=prompt + made,
            left_tokens=output_tokens - made,
            made_tokens=made,
        )
        self._runs.append(run)
        self.counts.started.append(request.request_id)
        if self._worker is None or self._worker.done():
            self._worker = asyncio.get_running_loop().create_task(self._work())
        return run

    def cancel(self, run: _Run) -> None:
        """Ends a run whose connection closed."""
        if run in self._runs:
            self._runs.remove(run)

    def _check(self, stage: EngineStage) -> None:
        if not self.alive:
            raise NotSentError("no connection")
        if self.changing or self.stage is not stage:
            raise RejectedError("wrong stage", full=False)

    async def _work(self) -> None:
        model = self.model
        while self._runs:
            self._admit_preempted()
            active = [run for run in self._runs if not run.unread_tokens and not run.preempted]
            step_ms = model.step_ms + model.step_ms_per_request * len(active)
            steps = STEPS_AT_ONCE
            reading = next(
                (run for run in self._runs if run.unread_tokens and not run.preempted), None
            )
            if reading is not None:
                chunk = min(model.own_chunk_tokens, reading.unread_tokens)
                step_ms += chunk / (model.prefill_tokens_per_ms * model.own_prefill_share)
                reading.unread_tokens -= chunk
                self.counts.read_tokens += chunk
                steps = 1
            await asyncio.sleep(steps * step_ms * self.slowness / 1000.0)
            for run in active * steps:
                if run in self._runs and not run.preempted:
                    self._advance(run)

    def _advance(self, run: _Run) -> None:
        run.left_tokens -= 1
        run.made_tokens += 1
        run.kept_tokens += 1
        if run.kept_tokens > run.hold_tokens and self.used_tokens > self.model.memory_tokens:
            self._preempt()
        # The first event has one token, so that its caller sees the answer begin.
        last = run.left_tokens <= 0
        if last or (run.made_tokens - 1) % self.model.tokens_per_event == 0:
            number = self.model.event_of(run.made_tokens)
            run.events.put_nowait(f"id: {number}\ndata: x\n\n".encode())
        if run.left_tokens <= 0:
            run.events.put_nowait(_END)
            self._runs.remove(run)

    def _preempt(self) -> None:
        """Takes the memory of the newest run beyond its reservation; it is read in again."""
        newest = next(
            run
            for run in reversed(self._runs)
            if run.kept_tokens > run.hold_tokens and not run.preempted
        )
        self.counts.preempted += 1
        newest.preempted = True
        newest.unread_tokens = newest.kept_tokens
        newest.hold_tokens = 0

    def _admit_preempted(self) -> None:
        for run in self._runs:
            if run.preempted and self.used_tokens + run.kept_tokens <= self.model.memory_tokens:
                run.preempted = False


class EmulatedAnswer:
    """The stream of a run as its host reads it."""

    status = 200
    signed = True
    event_stream = True

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
        """Stops the run if it is still under way."""
        self._engine.cancel(self._run)


class EmulatedBackends:
    """Calls of one host to the engines.

    Args:
        engines: all engines by id.
        domain: failure domain of the host.
        outputs: true output tokens by request, which hosts don't know.
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

    def _delay_s(self, server: Server) -> float:
        near = server.failure_domain == self._domain
        return (self.IN_DOMAIN_MS if near else self.ACROSS_MS) / 1000.0

    async def _reach(self, server: Server) -> EmulatedEngine:
        await asyncio.sleep(self._delay_s(server))
        return self._engines[server.server]

    async def send(
        self, server: Server, request: ClientRequest, dispatch: Dispatch
    ) -> EmulatedAnswer:
        """Begins a run."""
        engine = await self._reach(server)
        if dispatch.source is not None:
            assert request.tokens is not None
            # Setup and transfer of the KV cache.
            await asyncio.sleep(0.012)
        run = engine.start(request, self._outputs[request.request_id], dispatch)
        return EmulatedAnswer(engine, run, self._delay_s(server))

    async def prefill(
        self, server: Server, request: ClientRequest, left_ms: float
    ) -> PrefillResult:
        """Reads a prompt."""
        engine = await self._reach(server)
        assert request.tokens is not None
        await engine.prefill(request.tokens.prompt)
        return PrefillResult(server, HandleId(request.request_id))

    async def acquire_hold(self, server: Server, tokens: int, ttl_ms: float) -> HoldId | None:
        """Reserves memory."""
        return (await self._reach(server)).acquire_hold(tokens, ttl_ms)

    async def release_hold(self, server: Server, hold: HoldId) -> None:
        """Gives reserved memory back."""
        (await self._reach(server)).release_hold(hold)

    async def release_handle(self, server: Server, handle: HandleId) -> None:
        """Frees a prompt that was read; the emulation keeps none."""

    async def cached_parts(self, server: Server) -> dict[PromptPartId, int]:
        """Returns nothing; the emulation keeps no prompts."""
        return {}

    async def probe(self, server: Server) -> None:
        """Opens a connection."""
        if not (await self._reach(server)).alive:
            raise NotSentError("no connection")

    async def report(self, server: Server) -> EngineReport:
        """Returns the load of an engine."""
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
