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

# A reader that fell behind catches up in chunks of at most this size.
MAX_CHUNK_TOKENS = 32


class Stream:
    """An answer in the making; it outlives the connection that reads it when resumed.

    Attributes:
        generated: tokens of the whole answer that exist so far.
        connection: number of the connection that reads the stream; older ones end.
        aborted: why the stream ended early, or None.
    """

    def __init__(self, holding: Holding, cache: KvCache, max_tokens: int) -> None:
        self.holding = holding
        self.cache = cache
        self.max_tokens = max_tokens
        self.generated = cache.generated_length
        self.connection = 0
        self.aborted: str | None = None
        self.end_connection: Callable[[], None] = lambda: None
        self._changed = asyncio.Event()

    def advance(self) -> None:
        """Adds one token."""
        self.generated = min(self.generated + 1, self.max_tokens)
        self.notify()

    def notify(self) -> None:
        """Wakes the reader."""
        self._changed.set()

    def chunk(self, position: int) -> Chunk | None:
        """Returns the tokens that exist from ``position`` on, or None if there are none."""
        if position >= self.generated and self.generated < self.max_tokens:
            return None
        end = min(self.generated, position + MAX_CHUNK_TOKENS)
        tokens = [answer_token(self.cache.prompt_hash, i) for i in range(position, end)]
        return Chunk(position, tokens, end >= self.max_tokens)

    async def wait(self) -> None:
        """Waits for a token, an abort or another connection."""
        self._changed.clear()
        await self._changed.wait()


class DecodeRunner:
    """Runs the decode batch and keeps its streams."""

    def __init__(self, core: EngineCore) -> None:
        self._core = core
        self._batch = DecodeBatch(core.settings.slots)
        self._imported: dict[HoldKey, KvCache] = {}
        self._streams: dict[HoldKey, Stream] = {}
        self._joined = asyncio.Event()
        core.subscribe_releases(self._released)

    def begin_import(self, key: HoldKey) -> Holding:
        """Turns a reservation into a transfer, which its call's connection holds.

        Raises:
            StaleAttemptError: the attempt is refused.
            NoReservationError: there is no live reservation of the attempt.
        """
        self._core.tick()
        self._core.memory.check_attempt(key)
        holding = self._core.memory.find(key)
        if holding is None or holding.phase is not HoldPhase.RESERVED:
            raise NoReservationError(f"no reservation of attempt {key.attempt}")
        holding.phase = HoldPhase.TRANSFERRING
        holding.ends_at_ms = None
        holding.touched_ms = self._core.clock.now_ms()
        return holding

    def check_size(self, holding: Holding, cache: KvCache) -> None:
        """Raises ReservationTooSmallError if the KV cache needs more pieces than reserved."""
        needed = self._core.memory.pieces_for(cache.prompt_length + cache.generated_length)
        if needed > holding.pieces:
            raise ReservationTooSmallError(f"{needed} pieces needed, {holding.pieces} reserved")

    def finish_import(self, holding: Holding, cache: KvCache) -> None:
        """Keeps an imported KV cache until its decode call or its end."""
        now_ms = self._core.clock.now_ms()
        holding.phase = HoldPhase.IMPORTED
        holding.ends_at_ms = now_ms + self._core.settings.kv_ttl_ms
        holding.touched_ms = now_ms
        self._imported[holding.key] = cache

    def revert_import(self, holding: Holding) -> None:
        """Turns a failed transfer back into a reservation that ends after the KV time."""
        now_ms = self._core.clock.now_ms()
        holding.phase = HoldPhase.RESERVED
        holding.ends_at_ms = now_ms + self._core.settings.kv_ttl_ms
        holding.touched_ms = now_ms

    def open_stream(self, call: DecodeCall) -> Stream:
        """Starts to decode an imported KV cache.

        Raises:
            UnknownRequestError: nothing was imported for the attempt, or it expired.
            PositionError: ``position`` lies beyond the token after the KV cache.
        """
        key = HoldKey(call.request_id, call.attempt)
        self._core.tick()
        self._core.memory.check_attempt(key)
        holding, imported = self._core.memory.find(key), self._imported.get(key)
        if holding is None or imported is None:
            raise UnknownRequestError(f"no KV cache of attempt {call.attempt}")
        if not 0 <= call.position <= imported.generated_length + 1:
            raise PositionError(f"the KV cache ends at {imported.generated_length}")
        if call.max_tokens < max(1, call.position):
            raise BadRequestError("max_tokens counts the whole answer from its start")
        del self._imported[key]
        holding.phase = HoldPhase.DECODING
        holding.ends_at_ms = None
        holding.touched_ms = self._core.clock.now_ms()
        stream = Stream(holding, imported, call.max_tokens)
        self._streams[key] = stream
        self._batch.join(key, imported.priority)
        self._joined.set()
        return stream

    def resume_stream(self, call: ResumeCall) -> Stream:
        """Returns a running stream for a new connection.

        Raises:
            UnknownRequestError: no such stream runs.
            PositionError: ``position`` was not generated yet.
        """
        key = HoldKey(call.request_id, call.attempt)
        self._core.tick()
        self._core.memory.check_attempt(key)
        stream = self._streams.get(key)
        if stream is None:
            raise UnknownRequestError(f"no stream of attempt {call.attempt}")
        if not 0 <= call.position <= stream.generated:
            raise PositionError(f"{stream.generated} tokens exist")
        return stream

    def close_stream(self, stream: Stream, answered: bool) -> None:
        """Frees a stream that was read to its end or whose reader is gone."""
        key = stream.holding.key
        if self._streams.get(key) is not stream:
            return
        self._drop(key)
        self._core.memory.release(key)
        if answered:
            self._core.counters.requests_answered += 1

    def abandon(self, holding: Holding) -> None:
        """Frees a holding whose connection closed."""
        if self._core.memory.find(holding.key) is holding:
            self._core.memory.release(holding.key)
            self._released(holding)

    def streams(self) -> list[Stream]:
        """Returns the running streams."""
        return list(self._streams.values())

    async def run(self) -> None:
        """Runs one step after the other; runs until cancelled."""
        core = self._core
        due_ms = core.clock.now_ms()
        while True:
            if not len(self._batch):
                self._joined.clear()
                await self._joined.wait()
                due_ms = core.clock.now_ms()
            if core.faults.stalled(StallTarget.STREAMS, core.clock.now_ms()):
                await core.clock.sleep_ms(POLL_MS)
                due_ms = core.clock.now_ms()
                continue
            members = self._batch.next_step()
            # Sleeping to a due time keeps the step time exact; steps missed while the process
            # was paused are not made up for.
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
            if memory.pieces_for(length) > stream.holding.pieces:
                memory.resize(stream.holding, memory.pieces_for(length))
        except EngineFullError:
            # The request waits until another one frees a piece.
            return
        stream.advance()
        self._core.counters.tokens_generated += 1
        if stream.generated >= stream.max_tokens:
            self._batch.leave(key)

    def _drop(self, key: HoldKey) -> Stream | None:
        self._batch.leave(key)
        return self._streams.pop(key, None)

    def _released(self, holding: Holding) -> None:
        """Ends what belongs to a holding that was cancelled, superseded or expired."""
        imported = self._imported.pop(holding.key, None)
        if imported is not None:
            self._core.counters.wasted_prefill_ms += imported.prefill_ms
        stream = self._drop(holding.key)
        if stream is not None:
            stream.aborted = "the attempt was cancelled"
            stream.notify()
            stream.end_connection()
