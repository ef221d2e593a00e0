"""Prefill side of a stand-in engine: the prefill queue and the KV handles."""

from __future__ import annotations

import asyncio
import secrets

import msgspec

from medlarvale.scheduling.messages import WorkClass
from medlarvale.standins.engine_batch import PrefillJob, chunk_tokens
from medlarvale.standins.engine_core import EngineCore
from medlarvale.standins.engine_errors import (
    AttemptCancelledError,
    DuplicateAttemptError,
    EngineFullError,
    UnknownKvError,
)
from medlarvale.standins.engine_memory import Holding, HoldKey
from medlarvale.standins.engine_messages import (
    EngineRole,
    HoldPhase,
    PrefillAnswer,
    PrefillCall,
)
from medlarvale.standins.engine_model import answer_token, hash_tokens, prefix_hashes

# Interval at which prefills that wait for memory and stalled streams check again.
POLL_MS = 5


class KvCache(msgspec.Struct, frozen=True):
    """Description of a KV cache, which is sent to the decode engine.

    Attributes:
        prompt_hash: hash of the original prompt, which determines the answer.
        prompt_length: number of tokens of the original prompt.
        generated_length: number of answer tokens of earlier attempts that the cache also covers.
    """

    prompt_hash: int
    prompt_length: int
    generated_length: int
    kv_bytes: int
    prefill_ms: float
    priority: WorkClass


class KvEntry(msgspec.Struct, frozen=True):
    """A KV cache that a handle refers to and that waits for its transfer."""

    key: HoldKey
    cache: KvCache


class PrefillTask(msgspec.Struct):
    """A queued prompt and the future that its call waits for."""

    call: PrefillCall
    holding: Holding
    job: PrefillJob
    cached_tokens: int
    finished: asyncio.Future[PrefillAnswer]


class PrefillRunner:
    """Runs the prefill queue and stores the KV handles."""

    def __init__(self, core: EngineCore) -> None:
        self._core = core
        self._tasks: dict[HoldKey, PrefillTask] = {}
        self._entries: dict[str, KvEntry] = {}
        self._job_added = asyncio.Event()
        core.subscribe_releases(self._handle_release)

    async def prefill(self, call: PrefillCall, owner: str) -> PrefillAnswer:
        """Computes the KV cache of a prompt; cancelling the coroutine releases all its memory.

        Raises:
            EngineFullError: the prompt is larger than the memory of the engine.
            AttemptCancelledError: the attempt was cancelled or superseded during the call.
            EngineError: the call is refused.
        """
        self._core.require_role(EngineRole.PREFILL)
        self._core.require_model(call.model)
        task = self._enqueue(call, owner)
        try:
            return await task.finished
        except asyncio.CancelledError:
            released = self._core.memory.release(task.holding.key)
            if released is not None:
                self._handle_release(released)
            raise

    async def run(self) -> None:
        """Computes prefill chunks until cancelled."""
        clock = self._core.clock
        due_ms = clock.now_ms()
        while True:
            job = self._next_job()
            if job is None:
                await self._wait_for_work()
                due_ms = clock.now_ms()
                continue
            tokens = chunk_tokens(job)
            chunk_ms = self._core.prefill_time_ms(tokens)
            # Sleeping until a due time keeps the rate exact although each sleep ends late. Time
            # during which the process is paused is not caught up.
            due_ms = max(due_ms + chunk_ms, clock.now_ms())
            await clock.sleep_ms(due_ms - clock.now_ms())
            self._record_chunk(job, tokens, chunk_ms)

    def open_entry(self, handle: str) -> KvEntry:
        """Starts sending a KV cache, which does not expire during the transfer.

        Raises:
            UnknownKvError: the handle is unknown or has expired.
            DuplicateAttemptError: the KV cache is already being sent.
        """
        self._core.tick()
        entry = self._entries.get(handle)
        holding = self._core.memory.find(entry.key) if entry else None
        if entry is None or holding is None:
            raise UnknownKvError(f"KV cache {handle} does not exist or has expired")
        if holding.phase is HoldPhase.KV_SENDING:
            raise DuplicateAttemptError(f"KV cache {handle} is already being sent")
        holding.phase = HoldPhase.KV_SENDING
        holding.expires_at_ms = None
        holding.last_active_ms = self._core.clock.now_ms()
        return entry

    def is_held(self, handle: str) -> bool:
        """Returns whether a KV cache still exists."""
        return handle in self._entries

    def close_entry(self, handle: str, sent: bool) -> None:
        """Ends a transfer: frees a sent KV cache, and otherwise restarts the expiry time."""
        entry = self._entries.get(handle)
        if entry is None:
            return
        if sent:
            del self._entries[handle]
            self._core.memory.release(entry.key)
            return
        holding = self._core.memory.find(entry.key)
        if holding is not None:
            now_ms = self._core.clock.now_ms()
            holding.phase = HoldPhase.KV_WAITING
            holding.expires_at_ms = now_ms + self._core.settings.kv_ttl_ms
            holding.last_active_ms = now_ms

    def _enqueue(self, call: PrefillCall, owner: str) -> PrefillTask:
        core = self._core
        context = [*call.prompt_tokens, *call.generated_tokens]
        if core.memory.kv_blocks_for(len(context)) > core.memory.kv_blocks:
            raise EngineFullError("the prompt is larger than the memory of the engine")
        key = HoldKey(call.request_id, call.attempt)
        core.admit(key)
        now_ms = core.clock.now_ms()
        holding = Holding(key, owner, HoldPhase.QUEUED, 0, False, None, now_ms)
        core.memory.hold(holding)
        job = PrefillJob(key, call.priority, len(context))
        future = asyncio.get_running_loop().create_future()
        task = PrefillTask(call, holding, job, 0, future)
        self._tasks[key] = task
        core.queue.add(job)
        self._job_added.set()
        return task

    def _next_job(self) -> PrefillJob | None:
        """Returns the first job that has its memory or can allocate it, or None.

        Jobs that wait for memory are skipped, because a started job after them may hold it.
        """
        for job in self._core.queue.ordered():
            if self._try_start(self._tasks[job.key]):
                return job
        return None

    async def _wait_for_work(self) -> None:
        if len(self._core.queue):
            await self._core.clock.sleep_ms(POLL_MS)
            return
        self._job_added.clear()
        await self._job_added.wait()

    def _try_start(self, task: PrefillTask) -> bool:
        """Allocates memory before the first chunk of a job; returns whether the job can run."""
        if task.job.started:
            return True
        core, call = self._core, task.call
        context = [*call.prompt_tokens, *call.generated_tokens]
        core.tick()
        try:
            core.memory.resize(task.holding, core.memory.kv_blocks_for(len(context)))
        except EngineFullError:
            return False
        cached = core.cache.cached_tokens(prefix_hashes(context))
        # At least one token is computed, because it yields the first answer token.
        task.cached_tokens = min(cached, len(context) - 1)
        task.job.remaining_tokens = len(context) - task.cached_tokens
        task.job.started = True
        task.holding.phase = HoldPhase.PREFILLING
        return True

    def _record_chunk(self, job: PrefillJob, tokens: int, chunk_ms: float) -> None:
        job.computed_ms += chunk_ms
        job.remaining_tokens -= tokens
        self._core.counters.prefill_ms += chunk_ms
        task = self._tasks.get(job.key)
        if task is None or task.job is not job:
            # The job was cancelled during this chunk; earlier chunks are already counted as wasted.
            self._core.counters.wasted_prefill_ms += chunk_ms
            return
        if self._core.faults.is_poisoned(task.call.prompt_tokens):
            self._core.faults.crash()
        if job.remaining_tokens <= 0:
            self._finish(task)

    def _finish(self, task: PrefillTask) -> None:
        core, call, key = self._core, task.call, task.holding.key
        core.queue.remove(key)
        del self._tasks[key]
        now_ms = core.clock.now_ms()
        context = [*call.prompt_tokens, *call.generated_tokens]
        core.cache_events.append(core.cache.add(prefix_hashes(context)), now_ms)
        task.holding.phase = HoldPhase.KV_WAITING
        task.holding.expires_at_ms = now_ms + core.settings.kv_ttl_ms
        task.holding.last_active_ms = now_ms
        handle = secrets.token_hex(8)
        prompt_hash = hash_tokens(call.prompt_tokens)
        kv_bytes = len(context) * core.settings.kv_bytes_per_token
        cache = KvCache(
            prompt_hash,
            len(call.prompt_tokens),
            len(call.generated_tokens),
            kv_bytes,
            task.job.computed_ms,
            call.priority,
        )
        self._entries[handle] = KvEntry(key, cache)
        first = answer_token(prompt_hash, len(call.generated_tokens))
        if not task.finished.done():
            task.finished.set_result(
                PrefillAnswer(handle, kv_bytes, task.cached_tokens, task.job.computed_ms, first)
            )

    def _handle_release(self, holding: Holding) -> None:
        """Drops the job and KV handles of a holding that ended before its KV cache was imported."""
        task = self._tasks.pop(holding.key, None)
        if task is not None:
            self._core.queue.remove(holding.key)
            self._core.counters.wasted_prefill_ms += task.job.computed_ms
            if not task.finished.done():
                task.finished.set_exception(AttemptCancelledError("the attempt was cancelled"))
        for handle, entry in list(self._entries.items()):
            if entry.key == holding.key:
                del self._entries[handle]
                self._core.counters.wasted_prefill_ms += entry.cache.prefill_ms
