"""In-memory implementation of the engine client, with faults that tests can inject."""

from __future__ import annotations

import asyncio
import enum
from array import array
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import xxhash

from medlarvale.completions.engine_client import (
    CallContext,
    CancelCall,
    Chunk,
    ChunkStream,
    DecodeCall,
    ImportCall,
    Imported,
    PrefillCall,
    Prefilled,
    ReserveCall,
)
from medlarvale.completions.errors import (
    EngineFullError,
    EngineLostError,
    EngineRefusedError,
    EngineUnreachableError,
    TransferFailedError,
)
from medlarvale.completions.tokens import TOKEN_MASK
from medlarvale.ids import AttemptNumber, RequestId, ServerId
from medlarvale.membership.servers import BackendServer

KV_BYTES_PER_TOKEN = 1_000


class EngineFault(enum.Enum):
    """Fault of an engine, in effect until it is removed."""

    UNREACHABLE = "unreachable"
    LOST_IN_PREFILL = "lost_in_prefill"
    STALL_IN_PREFILL = "stall_in_prefill"
    FULL = "full"
    STALL_IN_TRANSFER = "stall_in_transfer"
    REFUSE_IMPORT = "refuse_import"
    LOST_IN_DECODE = "lost_in_decode"
    STALL_IN_DECODE = "stall_in_decode"
    END_EARLY = "end_early"
    WRONG_TOKEN = "wrong_token"


def answer_token(prompt_tokens: list[int], index: int) -> int:
    """Returns token ``index`` of the answer to a prompt."""
    packed = array("I", prompt_tokens).tobytes()
    return xxhash.xxh3_64_intdigest(packed + index.to_bytes(8, "little")) & TOKEN_MASK


def answer_tokens(prompt_tokens: list[int], length: int) -> list[int]:
    """Returns the first ``length`` tokens of the answer to a prompt."""
    return [answer_token(prompt_tokens, index) for index in range(length)]


class MemoryStream:
    """Decode stream of the in-memory client."""

    def __init__(
        self, client: MemoryEngineClient, server: ServerId, call: DecodeCall, prompt: list[int]
    ) -> None:
        self._client = client
        self._server = server
        self._prompt = prompt
        self._next = call.position
        self._end = min(call.max_tokens, client.answer_length)
        self._reads = 0

    async def read(self) -> list[Chunk]:
        """Returns the next chunk."""
        await asyncio.sleep(0)
        self._reads += 1
        fault = self._client.faults.get(self._server)
        if self._reads > self._client.chunks_before_fault:
            if fault is EngineFault.LOST_IN_DECODE:
                raise EngineLostError(self._server, "stream was interrupted")
            if fault is EngineFault.STALL_IN_DECODE:
                await self._client.hang()
            if fault is EngineFault.END_EARLY:
                return []
        start, self._next = self._next, min(self._next + self._client.chunk_tokens, self._end)
        tokens = [answer_token(self._prompt, index) for index in range(start, self._next)]
        if fault is EngineFault.WRONG_TOKEN and start > 0:
            return [Chunk(i=start - 1, tokens=[-1, *tokens])]
        return [Chunk(i=start, tokens=tokens, done=self._next >= self._end)]


class MemoryEngineClient:
    """Simulates all engines in one object.

    Attributes:
        faults: fault of each faulty engine.
        chunks_before_fault: chunks that a stream returns before a decode fault takes effect.
        held: attempt that holds memory, by engine and request.
        cancelled: cancellations received, as (engine, request, attempt).
        contexts: contexts of all calls except cancellations, in order.
        open_streams: number of open streams.
    """

    def __init__(self, *, answer_length: int = 40, chunk_tokens: int = 4) -> None:
        self.answer_length = answer_length
        self.chunk_tokens = chunk_tokens
        self.chunks_before_fault = 1
        self.faults: dict[ServerId, EngineFault] = {}
        self.held: dict[tuple[ServerId, RequestId], AttemptNumber] = {}
        self.cancelled: list[tuple[ServerId, RequestId, AttemptNumber]] = []
        self.contexts: list[tuple[ServerId, CallContext]] = []
        self.open_streams = 0
        self._kv: dict[str, list[int]] = {}
        self._prompts: dict[tuple[ServerId, RequestId], list[int]] = {}

    async def prefill(
        self, engine: BackendServer, context: CallContext, call: PrefillCall
    ) -> Prefilled:
        """Computes the first token."""
        fault = await self._begin_call(engine, context)
        if fault is EngineFault.LOST_IN_PREFILL:
            raise EngineLostError(engine.server, "connection was interrupted")
        if fault is EngineFault.STALL_IN_PREFILL:
            await self.hang()
        handle = f"{context.request_id}/{context.attempt}"
        self._kv[handle] = call.prompt_tokens
        tokens = len(call.prompt_tokens) + len(call.generated_tokens)
        return Prefilled(
            kv_handle=handle,
            kv_bytes=tokens * KV_BYTES_PER_TOKEN,
            cached_tokens=0,
            prefill_ms=float(tokens),
            first_token=answer_token(call.prompt_tokens, len(call.generated_tokens)),
        )

    async def reserve(self, engine: BackendServer, context: CallContext, call: ReserveCall) -> None:
        """Reserves memory for the request."""
        if await self._begin_call(engine, context) is EngineFault.FULL:
            raise EngineFullError(engine.server)
        self.held[engine.server, call.request_id] = call.attempt

    async def import_kv(
        self, engine: BackendServer, context: CallContext, call: ImportCall, source: ServerId
    ) -> Imported:
        """Moves the prompt of a prefill to the decode engine."""
        fault = await self._begin_call(engine, context)
        if fault is EngineFault.STALL_IN_TRANSFER:
            await self.hang()
        if fault is EngineFault.REFUSE_IMPORT or call.kv_handle not in self._kv:
            raise TransferFailedError(source, "unknown KV handle")
        self._prompts[engine.server, call.request_id] = self._kv.pop(call.kv_handle)
        return Imported(transfer_ms=1.0)

    @asynccontextmanager
    async def decode(
        self, engine: BackendServer, context: CallContext, call: DecodeCall
    ) -> AsyncIterator[ChunkStream]:
        """Opens a stream; leaving the context frees the memory."""
        await self._begin_call(engine, context)
        key = engine.server, call.request_id
        if self.held.get(key) != call.attempt:
            raise EngineRefusedError(engine.server, "no memory is reserved")
        self.open_streams += 1
        try:
            yield MemoryStream(self, engine.server, call, self._prompts[key])
        finally:
            self.open_streams -= 1
            self.held.pop(key, None)

    async def cancel(self, engine: BackendServer, context: CallContext, call: CancelCall) -> None:
        """Frees the memory of an attempt and all older ones."""
        await asyncio.sleep(0)
        self.cancelled.append((engine.server, call.request_id, call.attempt))
        if self.held.get((engine.server, call.request_id), call.attempt + 1) <= call.attempt:
            del self.held[engine.server, call.request_id]

    async def hang(self) -> None:
        """Waits until the call is cancelled."""
        await asyncio.get_running_loop().create_future()

    async def _begin_call(self, engine: BackendServer, context: CallContext) -> EngineFault | None:
        await asyncio.sleep(0)
        self.contexts.append((engine.server, context))
        fault = self.faults.get(engine.server)
        if fault is EngineFault.UNREACHABLE:
            raise EngineUnreachableError(engine.server)
        return fault
