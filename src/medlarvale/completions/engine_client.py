"""Interface and HTTP client of the engine protocol."""

from __future__ import annotations

import ssl
from collections.abc import AsyncIterator, Mapping
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import Protocol, TypeVar

import aiohttp
import msgspec

from medlarvale.completions.errors import (
    EngineFullError,
    EngineLostError,
    EngineProtocolError,
    EngineRefusedError,
    EngineUnreachableError,
    TransferFailedError,
)
from medlarvale.errors import DECODE_ERRORS
from medlarvale.http_bodies import TrackedConnection, TrackedResponse, track_connections
from medlarvale.ids import AttemptNumber, HostIdentity, RequestId, ServerId
from medlarvale.membership.servers import BackendServer

CONNECT_TIMEOUT_S = 1.0
READ_BUFFER_BYTES = 65_536
MAX_LINE_BYTES = 1_048_576


class CallContext(msgspec.Struct, frozen=True):
    """Header fields common to all calls of one attempt."""

    owner: HostIdentity
    request_id: RequestId
    attempt: AttemptNumber
    traceparent: str = ""


class PrefillCall(msgspec.Struct, frozen=True):
    """Request to compute the KV cache of a prompt.

    Attributes:
        generated_tokens: tokens of the answer that earlier attempts produced; the prefill
            includes them, and ``first_token`` of the response follows them.
    """

    request_id: RequestId
    attempt: AttemptNumber
    prompt_tokens: list[int]
    generated_tokens: list[int]
    priority: str
    model: str


class Prefilled(msgspec.Struct, frozen=True):
    """Response to a prefill."""

    kv_handle: str
    kv_bytes: int
    cached_tokens: int
    prefill_ms: float
    first_token: int


class ReserveCall(msgspec.Struct, frozen=True):
    """Request to reserve memory on a decode engine until the import, for at most ``ttl_ms``."""

    request_id: RequestId
    attempt: AttemptNumber
    pieces: int
    ttl_ms: int


class ImportCall(msgspec.Struct, frozen=True):
    """Request for a decode engine to fetch a KV cache from ``source_address``."""

    request_id: RequestId
    attempt: AttemptNumber
    source_address: str
    kv_handle: str


class Imported(msgspec.Struct, frozen=True):
    """Response to an import."""

    transfer_ms: float


class DecodeCall(msgspec.Struct, frozen=True):
    """Request to start decoding.

    Attributes:
        position: index in the answer of the first requested token.
        max_tokens: maximum length of the answer, including the tokens before ``position``.
    """

    request_id: RequestId
    attempt: AttemptNumber
    position: int
    max_tokens: int


class CancelCall(msgspec.Struct, frozen=True):
    """Request to cancel an attempt and all older ones."""

    request_id: RequestId
    attempt: AttemptNumber


class Chunk(msgspec.Struct, frozen=True, gc=False):
    """Tokens of an answer, starting at index ``i``; ``done`` marks the end of the answer."""

    i: int
    tokens: list[int]
    done: bool = False


class ChunkStream(Protocol):
    """A running decode stream."""

    async def read(self) -> list[Chunk]:
        """Returns the chunks that have arrived, at least one; an empty list after the last one.

        Raises:
            EngineFaultError: the connection broke or a chunk is malformed.
        """


class EngineClient(Protocol):
    """Client of the engine protocol. Cancelling a call closes its connection.

    Every method raises a subclass of ``EngineFaultError`` if the call fails.
    """

    async def prefill(
        self, engine: BackendServer, context: CallContext, call: PrefillCall
    ) -> Prefilled:
        """Runs a prefill."""

    async def reserve(self, engine: BackendServer, context: CallContext, call: ReserveCall) -> None:
        """Reserves memory; raises ``EngineFullError`` if there is not enough."""

    async def import_kv(
        self, engine: BackendServer, context: CallContext, call: ImportCall, source: ServerId
    ) -> Imported:
        """Transfers a KV cache; raises ``TransferFailedError`` if the fetch fails."""

    def decode(
        self, engine: BackendServer, context: CallContext, call: DecodeCall
    ) -> AbstractAsyncContextManager[ChunkStream]:
        """Opens the stream of an answer; leaving the block closes the connection."""

    async def cancel(self, engine: BackendServer, context: CallContext, call: CancelCall) -> None:
        """Cancels an attempt."""


class EngineErrorDetail(msgspec.Struct, frozen=True):
    """The ``error`` object of an engine's error response."""

    code: str = ""
    message: str = ""


class EngineErrorBody(msgspec.Struct, frozen=True):
    """An engine's error response; the flat form ``{"error": "code"}`` is accepted too."""

    error: EngineErrorDetail | str = ""

    @property
    def code(self) -> str:
        """The engine's error code."""
        return self.error if isinstance(self.error, str) else self.error.code


Answer = TypeVar("Answer")

_encoder = msgspec.json.Encoder()
_chunk_decoder = msgspec.json.Decoder(Chunk)
_error_decoder = msgspec.json.Decoder(EngineErrorBody)


class LineStream:
    """Splits the body of a decode response into chunks."""

    def __init__(self, server: ServerId, body: aiohttp.StreamReader) -> None:
        self._server = server
        self._body = body
        self._tail = b""

    async def read(self) -> list[Chunk]:
        """Returns the complete lines received so far as chunks; an empty list at the end."""
        while True:
            try:
                data = await self._body.readany()
            except (aiohttp.ClientError, OSError) as error:
                raise EngineLostError(self._server, f"stream was interrupted: {error}") from error
            if not data:
                if self._tail:
                    raise EngineLostError(self._server, "stream ended in the middle of a chunk")
                return []
            if self._tail or not data.endswith(b"\n"):
                data, _, self._tail = (self._tail + data).rpartition(b"\n")
                if len(self._tail) > MAX_LINE_BYTES:
                    raise EngineProtocolError(self._server, "chunk is too long")
            try:
                chunks = _chunk_decoder.decode_lines(data)
            except DECODE_ERRORS as error:
                raise EngineProtocolError(self._server, f"malformed chunk: {error}") from error
            if chunks:
                return chunks


class HttpEngineClient:
    """Client of the engine protocol over HTTP.

    Args:
        session: created by ``new_engine_session``; closed by its owner.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def prefill(
        self, engine: BackendServer, context: CallContext, call: PrefillCall
    ) -> Prefilled:
        """Runs a prefill."""
        return await self._call(engine, context, "/v1/prefill", call, Prefilled)

    async def reserve(self, engine: BackendServer, context: CallContext, call: ReserveCall) -> None:
        """Reserves memory."""
        async with self._post(engine, context, "/v1/reserve", call) as response:
            await _read(engine.server, response)

    async def import_kv(
        self, engine: BackendServer, context: CallContext, call: ImportCall, source: ServerId
    ) -> Imported:
        """Transfers a KV cache."""
        try:
            return await self._call(engine, context, "/v1/import", call, Imported)
        except EngineRefusedError as error:
            raise TransferFailedError(source, error.message) from error

    @asynccontextmanager
    async def decode(
        self, engine: BackendServer, context: CallContext, call: DecodeCall
    ) -> AsyncIterator[ChunkStream]:
        """Opens the stream of an answer."""
        async with self._post(engine, context, "/v1/decode", call) as response:
            try:
                yield LineStream(engine.server, response.content)
            finally:
                # The engine frees the request's memory when the connection closes.
                if not response.content.at_eof():
                    response.close()

    async def cancel(self, engine: BackendServer, context: CallContext, call: CancelCall) -> None:
        """Cancels an attempt."""
        async with self._post(engine, context, "/v1/cancel", call) as response:
            await _read(engine.server, response)

    async def _call(
        self,
        engine: BackendServer,
        context: CallContext,
        path: str,
        call: msgspec.Struct,
        answer_type: type[Answer],
    ) -> Answer:
        async with self._post(engine, context, path, call) as response:
            body = await _read(engine.server, response)
        try:
            return msgspec.json.decode(body, type=answer_type)
        except DECODE_ERRORS as error:
            raise EngineProtocolError(engine.server, f"{path}: {error}") from error

    @asynccontextmanager
    async def _post(
        self, engine: BackendServer, context: CallContext, path: str, call: msgspec.Struct
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        try:
            response = await self._session.post(
                engine.address + path,
                data=_encoder.encode(call),
                headers=_headers(context),
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise EngineUnreachableError(engine.server, str(error)) from error
        except (aiohttp.ClientError, OSError) as error:
            raise EngineLostError(engine.server, f"{path}: {error}") from error
        async with response:
            if response.status != 200:
                raise await _error_from_response(engine.server, path, response)
            yield response


async def _read(server: ServerId, response: aiohttp.ClientResponse) -> bytes:
    try:
        body = await response.read()
        assert isinstance(response, TrackedResponse)
        response.raise_if_broke_off()
        return body
    except (aiohttp.ClientError, OSError) as error:
        raise EngineLostError(server, f"response was interrupted: {error}") from error


async def _error_from_response(
    server: ServerId, path: str, response: aiohttp.ClientResponse
) -> Exception:
    body = await _read(server, response)
    try:
        code = _error_decoder.decode(body).code
    except DECODE_ERRORS:
        code = ""
    if code == EngineFullError.code:
        return EngineFullError(server)
    return EngineRefusedError(server, f"{path} returned status {response.status} {code}")


def _headers(context: CallContext) -> Mapping[str, str]:
    headers = {
        "Content-Type": "application/json",
        "X-Owner": str(context.owner),
        "X-Attempt": str(context.attempt),
    }
    if context.traceparent:
        headers["traceparent"] = context.traceparent
    return headers


def new_engine_session(tls: ssl.SSLContext | None = None) -> aiohttp.ClientSession:
    """Returns a session for ``HttpEngineClient``.

    The session limits neither total time nor connections: watchdogs end calls that make no
    progress, and the scheduler limits the requests in flight.

    Args:
        tls: verifies engines whose address starts with ``https://``; None uses the certificates
            trusted by the system.
    """
    connector = aiohttp.TCPConnector(limit=0, ssl=tls or True)
    track_connections(connector, TrackedConnection)
    return aiohttp.ClientSession(
        connector=connector,
        response_class=TrackedResponse,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        read_bufsize=READ_BUFFER_BYTES,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )
