"""Decode side of a stand-in engine: imported KV caches and token streams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from medlarvale.standins.engine_batch import DecodeBatch
from medlarvale.standins.engine_core import EngineCore
from medlarvale.standins.engine_errors import (
    BadRequestError,
    EngineFullError,
    NoReservationError,
    PositionError,
    ReservationTooSmallError,
    UnknownRequestError,
)
from medlarvale.standins.engine_faults import StallTarget
from medlarvale.standins.engine_memory import Holding, HoldKey
from medlarvale.standins.engine_messages import Chunk, DecodeCall, HoldPhase, ResumeCall
from medlarvale.standins.engine_model import answer_token
from medlarvale.standins.engine_prefill import POLL_MS, KvCache

# Maximum chunk size for a reader that has fallen behind.
MAX_CHUNK_TOKENS = 32


class Stream:
    """An answer that is being generated; a resumed stream outlives its first connection.

    Attributes:
        generated: number of tokens of the whole answer that exist so far.
        connection_number: number of the connection that reads the stream; older ones end.
        abort_reason: why the stream ended early, or None.
        close_connection: called when the stream ends early or another connection takes it over.
    """

    def __init__(self, holding: Holding, cache: KvCache, max_tokens: int) -> None:
        self.holding = holding
        self.cache = cache
        self.max_tokens = max_tokens
        self.generated = cache.generated_length
        self.connection_number = 0
        self.abort_reason: str | None = None
        self.close_connection: Callable[[], None] = lambda: None
        self._changed = asyncio.Event()

    def advance(self) -> None:
        """Generates one token."""
        self.generated = min(self.generated + 1, self.max_tokens)
        self.notify()

    def notify(self) -> None:
        """Wakes the reader."""
        self._changed.set()

    def chunk(self, position: int) -> Chunk | None:
        """Returns the existing tokens from ``position`` on, or None if there are none."""
        if position >= self.generated and self.generated < self.max_tokens:
            return None
        end = min(self.generated, position + MAX_CHUNK_TOKENS)
        tokens = [answer_token(self.cache.prompt_hash, i) for i in range(position, end)]
        return Chunk(position, tokens, end >= self.max_tokens)

    async def wait(self) -> None:
        """Waits for a token, an abort or a new connection."""
        self._changed.clear()
        await self._changed.wait()


class DecodeRunner:
    """Runs the decode batch and its streams."""

    def __init__(self, core: EngineCore) -> None:
        self._core = core
        self._batch = DecodeBatch(core.settings.slots)
        self._imported: dict[HoldKey, KvCache] = {}
        self._streams: dict[HoldKey, Stream] = {}
        self._joined = asyncio.Event()
        core.subscribe_releases(self._handle_release)

    def begin_import(self, key: HoldKey) -> Holding:
        """Turns a reservation into a transfer, which lasts as long as the connection of its call.

        Raises:
            StaleAttemptError: the attempt is refused.
            NoReservationError: the attempt has no active reservation.
        """
        self._core.tick()
        self._core.memory.check_attempt(key)
        holding = self._core.memory.find(key)
        if holding is None or holding.phase is not HoldPhase.RESERVED:
            raise NoReservationError(f"attempt {key.attempt} has no reservation")
        holding.phase = HoldPhase.TRANSFERRING
        holding.expires_at_ms = None
        holding.last_active_ms = self._core.clock.now_ms()
        return holding

    def check_size(self, holding: Holding, cache: KvCache) -> None:
        """Raises ReservationTooSmallError if the KV cache needs more KV blocks than reserved."""
        needed = self._core.memory.kv_blocks_for(cache.prompt_length + cache.generated_length)
        if needed > holding.kv_blocks:
            raise ReservationTooSmallError(
                f"{needed} KV blocks needed, {holding.kv_blocks} reserved"
            )

    def finish_import(self, holding: Holding, cache: KvCache) -> None:
        """Stores an imported KV cache until its decode call or its expiry."""
        now_ms = self._core.clock.now_ms()
        holding.phase = HoldPhase.IMPORTED
        holding.expires_at_ms = now_ms + self._core.settings.kv_ttl_ms
        holding.last_active_ms = now_ms
        self._imported[holding.key] = cache

    def revert_import(self, holding: Holding) -> None:
        """Turns a failed transfer back into a reservation that expires after ``kv_ttl_ms``."""
        now_ms = self._core.clock.now_ms()
        holding.phase = HoldPhase.RESERVED
        holding.expires_at_ms = now_ms + self._core.settings.kv_ttl_ms
        holding.last_active_ms = now_ms

    def open_stream(self, call: DecodeCall) -> Stream:
        """Starts decoding an imported KV cache.

        Raises:
            UnknownRequestError: no KV cache was imported for the attempt, or it has expired.
            PositionError: ``position`` is beyond the token after the KV cache.
        """
        key = HoldKey(call.request_id, call.attempt)
        self._core.tick()
        self._core.memory.check_attempt(key)
        holding, imported = self._core.memory.find(key), self._imported.get(key)
        if holding is None or imported is None:
            raise UnknownRequestError(f"attempt {call.attempt} has no imported KV cache")
        if not 0 <= call.position <= imported.generated_length + 1:
            raise PositionError(f"the KV cache ends at position {imported.generated_length}")
        if call.max_tokens < max(1, call.position):
            raise BadRequestError(
                "max_tokens counts the whole answer and must be at least 1 and at least position"
            )
        del self._imported[key]
        holding.phase = HoldPhase.DECODING
        holding.expires_at_ms = None
        holding.last_active_ms = self._core.clock.now_ms()
        stream = Stream(holding, imported, call.max_tokens)
        self._streams[key] = stream
        self._batch.join(key, imported.priority)
        self._joined.set()
        return stream

    def resume_stream(self, call: ResumeCall) -> Stream:
        """Returns a running stream for a new connection.

        Raises:
            UnknownRequestError: the attempt has no running stream.
            PositionError: the tokens before ``position`` are not generated yet.
        """
        key = HoldKey(call.request_id, call.attempt)
        self._core.tick()
        self._core.memory.check_attempt(key)
        stream = self._streams.get(key)
        if stream is None:
            raise UnknownRequestError(f"attempt {call.attempt} has no running stream")
        if not 0 <= call.position <= stream.generated:
            raise PositionError(f"only {stream.generated} tokens are generated")
        return stream

    def close_stream(self, stream: Stream, answered: bool) -> None:
        """Releases a stream that was read to its end or whose reader has disconnected."""
        key = stream.holding.key
        if self._streams.get(key) is not stream:
            return
        self._remove_stream(key)
        self._core.memory.release(key)
        if answered:
            self._core.counters.requests_answered += 1

    def abandon(self, holding: Holding) -> None:
        """Releases a holding whose connection has closed."""
        if self._core.memory.find(holding.key) is holding:
            self._core.memory.release(holding.key)
            self._handle_release(holding)

    def streams(self) -> list[Stream]:
        """Returns the running streams."""
        return list(self._streams.values())

    async def run(self) -> None:
        """Runs decode steps until cancelled."""
        core = self._core
        due_ms = core.clock.now_ms()
        while True:
            if not len(self._batch):
                self._joined.clear()
                await self._joined.wait()
                due_ms = core.clock.now_ms()
            if core.faults.is_stalled(StallTarget.STREAMS, core.clock.now_ms()):
                await core.clock.sleep_ms(POLL_MS)
                due_ms = core.clock.now_ms()
                continue
            members = self._batch.next_step()
            # Sleeping until a due time keeps the step time exact. Steps that are missed while the
            # process is paused are not caught up.
            step_ms = core.step_model.step_ms(len(members)) * core.faults.factor
            due_ms = max(due_ms + step_ms, core.clock.now_ms())
            await core.clock.sleep_ms(due_ms - core.clock.now_ms())
            for key in members:
                self._step(key)

    def _step(self, key: HoldKey) -> None:
        stream = self._streams.get(key)
        if stream is None:
            return
        memory = self._core.memory
        length = stream.cache.prompt_length + stream.generated + 1
        try:
            if memory.kv_blocks_for(length) > stream.holding.kv_blocks:
                memory.resize(stream.holding, memory.kv_blocks_for(length))
        except EngineFullError:
            # The request waits until another request frees a KV block.
            return
        stream.advance()
        self._core.counters.tokens_generated += 1
        if stream.generated >= stream.max_tokens:
            self._batch.leave(key)

    def _remove_stream(self, key: HoldKey) -> Stream | None:
        self._batch.leave(key)
        return self._streams.pop(key, None)

    def _handle_release(self, holding: Holding) -> None:
        """Drops the KV cache and stream of a holding that was cancelled, superseded or expired."""
        imported = self._imported.pop(holding.key, None)
        if imported is not None:
            self._core.counters.wasted_prefill_ms += imported.prefill_ms
        stream = self._remove_stream(holding.key)
        if stream is not None:
            stream.abort_reason = "the attempt was cancelled"
            stream.notify()
            stream.close_connection()
