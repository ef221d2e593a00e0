"""HTTP application of a stand-in engine."""

from __future__ import annotations

import asyncio
import fcntl
import struct
import termios
from collections.abc import AsyncIterator, Callable
from typing import Any, TypeVar

import aiohttp
import msgspec
from aiohttp import web

from medlarvale.ids import AttemptNumber
from medlarvale.standins.engine_core import TICK_MS, EngineCore
from medlarvale.standins.engine_decode import DecodeRunner, Stream
from medlarvale.standins.engine_errors import BadRequestError
from medlarvale.standins.engine_faults import MAX_PAUSE_MS, Fault, FaultKind, block_process
from medlarvale.standins.engine_messages import (
    CancelAnswer,
    CancelCall,
    DecodeCall,
    ImportCall,
    LeavingCall,
    Order,
    PrefillCall,
    ReserveCall,
    ResumeCall,
)
from medlarvale.standins.engine_prefill import PrefillRunner
from medlarvale.standins.engine_transfer import (
    KV_BODY_BYTES,
    KV_HEADER,
    KvImporter,
    wait_for_transfer,
)
from medlarvale.standins.http_answers import (
    answer,
    answer_errors,
    decode_body,
    error_body,
    require_number,
)

OWNER_HEADER = "X-Owner"
ATTEMPT_HEADER = "X-Attempt"
FENCING_HEADER = "X-Fencing"
# Large enough for a prompt of 65,536 tokens of ten digits each.
MAX_BODY_BYTES = 4_194_304
# Delay before the event loop blocks, so that the answer to the fault call is sent first.
PAUSE_DELAY_S = 0.01

CallT = TypeVar("CallT", PrefillCall, ReserveCall, ImportCall, DecodeCall, ResumeCall, CancelCall)


def unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Returns the number of sent bytes that the peer of a connection has not acknowledged."""
    buffered = transport.get_write_buffer_size()
    connection = transport.get_extra_info("socket")
    if transport.is_closing() or connection is None or connection.fileno() < 0:
        return buffered
    (queued,) = struct.unpack("i", fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, bytes(4)))
    return buffered + queued


def get_transport(request: web.Request) -> asyncio.Transport:
    """Returns the connection of a request.

    Raises:
        ConnectionResetError: the connection is closed.
    """
    transport = request.transport
    if not isinstance(transport, asyncio.Transport):
        raise ConnectionResetError("the connection is closed")
    return transport


class EngineApp:
    """Maps the HTTP calls of the engine protocol to the prefill and decode sides of an engine.

    Args:
        core: state that the two sides share.
        block: function that blocks the process for a pause of the given time in ms.
    """

    def __init__(self, core: EngineCore, block: Callable[[float], None] = block_process) -> None:
        self.core = core
        self._block = block
        self._prefill = PrefillRunner(core)
        self._decode = DecodeRunner(core)
        self._importer: KvImporter | None = None
        self._transports: dict[Stream, asyncio.Transport] = {}

    def build(self) -> web.Application:
        """Returns the application."""
        application = web.Application(middlewares=[answer_errors], client_max_size=MAX_BODY_BYTES)
        application.add_routes(
            [
                web.post("/v1/prefill", self._handle_prefill),
                web.post("/v1/reserve", self._handle_reserve),
                web.post("/v1/import", self._handle_import),
                web.get("/v1/kv/{handle}", self._handle_kv),
                web.post("/v1/decode", self._handle_decode),
                web.post("/v1/resume", self._handle_resume),
                web.post("/v1/cancel", self._handle_cancel),
                web.get("/v1/requests", self._handle_requests),
                web.get("/v1/load", self._handle_load),
                web.get("/v1/cache-events", self._handle_cache_events),
                web.post("/v1/orders", self._handle_orders),
                web.post("/fault", self._handle_fault),
                web.get("/test/memory", self._handle_memory),
                web.post("/test/leaving", self._handle_leaving),
            ]
        )
        application.cleanup_ctx.append(self._run_tasks)
        return application

    async def _run_tasks(self, application: web.Application) -> AsyncIterator[None]:
        timeout = aiohttp.ClientTimeout(total=None, connect=5)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            self._importer = KvImporter(self.core, self._decode, session)
            tasks = [
                asyncio.create_task(self._prefill.run()),
                asyncio.create_task(self._decode.run()),
            ]
            ticks = self.core.clock.every_ms(TICK_MS, self._tick)
            yield
            ticks.cancel()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _tick(self) -> None:
        self.core.tick()
        now_ms = self.core.clock.now_ms()
        for stream, transport in self._transports.items():
            if unacknowledged_bytes(transport) == 0:
                stream.holding.last_active_ms = now_ms

    async def _handle_prefill(self, request: web.Request) -> web.StreamResponse:
        call = await self._attempt_call(request, PrefillCall)
        if not call.prompt_tokens:
            raise BadRequestError("prompt_tokens is empty")
        return answer(await self._prefill.prefill(call, request.headers[OWNER_HEADER]))

    async def _handle_reserve(self, request: web.Request) -> web.StreamResponse:
        call = await self._attempt_call(request, ReserveCall)
        self.core.reserve(call, request.headers[OWNER_HEADER])
        return answer({})

    async def _handle_import(self, request: web.Request) -> web.StreamResponse:
        call = await self._attempt_call(request, ImportCall)
        assert self._importer is not None
        return answer(await self._importer.import_kv(call))

    async def _handle_kv(self, request: web.Request) -> web.StreamResponse:
        handle = request.match_info["handle"]
        entry = self._prefill.open_entry(handle)
        sent = False
        try:
            response = web.StreamResponse(
                headers={KV_HEADER: msgspec.json.encode(entry.cache).decode()}
            )
            response.content_length = KV_BODY_BYTES
            await response.prepare(request)
            await response.write(bytes(KV_BODY_BYTES // 2))
            await wait_for_transfer(self.core, entry.cache.kv_bytes)
            if not self._prefill.is_held(handle):
                get_transport(request).abort()
                return response
            await response.write(bytes(KV_BODY_BYTES // 2))
            sent = True
            return response
        finally:
            self._prefill.close_entry(handle, sent)

    async def _handle_decode(self, request: web.Request) -> web.StreamResponse:
        call = await self._attempt_call(request, DecodeCall)
        return await self._relay(request, self._decode.open_stream(call), call.position)

    async def _handle_resume(self, request: web.Request) -> web.StreamResponse:
        call = await self._attempt_call(request, ResumeCall)
        return await self._relay(request, self._decode.resume_stream(call), call.position)

    async def _relay(
        self, request: web.Request, stream: Stream, position: int
    ) -> web.StreamResponse:
        """Writes a stream to a connection until another connection takes the stream over."""
        stream.connection_number += 1
        connection_number = stream.connection_number
        stream.close_connection()
        answered = False
        try:
            transport = get_transport(request)
            transport.set_write_buffer_limits(high=0)
            self._transports[stream] = transport
            stream.close_connection = lambda: self._abort_if_blocked(transport)
            response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
            await response.prepare(request)
            answered = await self._write_chunks(
                request, response, stream, position, connection_number
            )
        finally:
            if stream.connection_number == connection_number:
                self._transports.pop(stream, None)
                self._decode.close_stream(stream, answered)
        return response

    async def _write_chunks(
        self,
        request: web.Request,
        response: web.StreamResponse,
        stream: Stream,
        position: int,
        connection_number: int,
    ) -> bool:
        """Writes chunks until the stream ends; returns whether the last chunk was written."""
        padding = b" " * self.core.settings.pad_chunk_bytes
        while stream.connection_number == connection_number:
            if stream.abort_reason is not None:
                line = msgspec.json.encode(error_body("cancelled", stream.abort_reason))
                await response.write(line + b"\n")
                return False
            chunk = stream.chunk(position)
            if chunk is None:
                await stream.wait()
                continue
            await response.write(msgspec.json.encode(chunk) + padding + b"\n")
            position += len(chunk.tokens)
            # Drains each chunk before it writes the next one, so that a slow reader gets larger
            # chunks and an answer that is not read to its end keeps its memory.
            await request.writer.drain()
            if chunk.done:
                return True
        return False

    def _abort_if_blocked(self, transport: asyncio.Transport) -> None:
        if transport.get_write_buffer_size() > 0:
            transport.abort()

    async def _handle_cancel(self, request: web.Request) -> web.StreamResponse:
        call = await self._attempt_call(request, CancelCall)
        return answer(CancelAnswer(self.core.cancel(call)))

    async def _handle_requests(self, request: web.Request) -> web.StreamResponse:
        return answer(self.core.requests())

    async def _handle_load(self, request: web.Request) -> web.StreamResponse:
        return answer(self.core.load())

    async def _handle_cache_events(self, request: web.Request) -> web.StreamResponse:
        start = require_number(request.query.get("from", "1"), "from")
        return answer(self.core.cache_events.read(start, self.core.clock.now_ms()))

    async def _handle_orders(self, request: web.Request) -> web.StreamResponse:
        order = await decode_body(request, Order)
        self._require_owner(request)
        fencing = require_number(request.headers.get(FENCING_HEADER), FENCING_HEADER)
        return answer(self.core.apply_order(order, fencing))

    async def _handle_fault(self, request: web.Request) -> web.StreamResponse:
        fault = await decode_body(request, Fault)
        if fault.factor <= 0 or not fault.duration_ms >= 0:
            raise BadRequestError("factor must be positive and duration_ms must not be negative")
        if fault.kind is FaultKind.PAUSE:
            duration_ms = min(fault.duration_ms, MAX_PAUSE_MS)
            asyncio.get_running_loop().call_later(PAUSE_DELAY_S, self._block, duration_ms)
        else:
            self.core.faults.apply(fault, self.core.clock.now_ms())
        return answer({})

    async def _handle_memory(self, request: web.Request) -> web.StreamResponse:
        return answer(self.core.memory_report())

    async def _handle_leaving(self, request: web.Request) -> web.StreamResponse:
        self.core.set_leaving((await decode_body(request, LeavingCall)).leaving)
        return answer({})

    async def _attempt_call(self, request: web.Request, call_type: type[CallT]) -> CallT:
        """Returns the body of a call that changes state, after checking its headers.

        Raises:
            BadRequestError: the body is malformed, or the owner or attempt header is missing or
                does not match the body.
        """
        call: Any = await decode_body(request, call_type)
        self._require_owner(request)
        number = require_number(request.headers.get(ATTEMPT_HEADER), ATTEMPT_HEADER)
        if AttemptNumber(number) != call.attempt:
            raise BadRequestError(f"{ATTEMPT_HEADER} differs from the attempt in the body")
        return call

    def _require_owner(self, request: web.Request) -> None:
        if not request.headers.get(OWNER_HEADER):
            raise BadRequestError(f"{OWNER_HEADER} is missing")
