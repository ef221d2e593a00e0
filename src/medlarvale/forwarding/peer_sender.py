"""Sends relayed requests to peers over HTTP/1.1."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any, Protocol

import aiohttp
from multidict import CIMultiDict, CIMultiDictProxy

from medlarvale.body_memory import BodyMemory
from medlarvale.forwarding.errors import BackendError, NotSentError, RejectedError
from medlarvale.forwarding.interface import BackendAnswer
from medlarvale.forwarding.messages import MAX_ANSWER_HEADER_BYTES, ClientRequest
from medlarvale.forwarding.relay_messages import RELAY_PATH, RELAYED_HEADER, RelayedAnswer
from medlarvale.http_bodies import (
    BodyFraming,
    TrackedConnection,
    body_framing,
    track_connections,
)

# Peers answer in a few ms; one that was lost may still be listed.
CONNECT_TIMEOUT_MS = 200
# An answer to a plain call is held whole, as from a server.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
TRANSPORT_ERRORS = (TimeoutError, aiohttp.ClientError, OSError)
# Headers that each hop writes itself.
_HOP_HEADERS = ("Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", RELAYED_HEADER)


class PeerSender(Protocol):
    """Sends requests to peers."""

    async def send(
        self, address: str, frame: bytes, left_ms: float, request: ClientRequest
    ) -> BackendAnswer:
        """Sends a relayed request and waits for the head of its answer.

        Counts it in ``request.possible_runs`` from the time at which the peer may receive it,
        unless the peer says that it has not run.

        Args:
            address: ``ip:port`` of the peer.
            frame: the encoded request.
            left_ms: time until the head is due.
            request: the request.

        Raises:
            NotSentError: the peer has not received the request.
            RejectedError: the peer has not run the request, and will not.
            BackendError: the request may have run.
        """

    async def close(self) -> None:
        """Closes all connections."""


class _PeerAnswer:
    """Answer of a backend server that a peer has relayed; see ``BackendAnswer``."""

    def __init__(self, response: aiohttp.ClientResponse, memory: BodyMemory) -> None:
        self._response = response
        self._memory = memory
        self.status = response.status
        self.headers: CIMultiDict[str] = _end_to_end(response.headers)
        # The peer accepts no successful answer without a signature.
        self.signed = True
        self.event_stream = response.content_type == "text/event-stream"
        self.framing: BodyFraming = body_framing(response)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives."""
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except TRANSPORT_ERRORS as error:
            raise BackendError(f"the peer's answer ended early: {error!r}") from error
        if self.framing is BodyFraming.CLOSE:
            # Hosts delimit all answers, so the head of this one is not a host's.
            raise BackendError("the peer's answer has no end")

    async def read(self) -> bytes:
        """Returns the whole body."""
        parts: list[bytes] = []
        with self._memory.reading(self.close) as body:
            async for chunk in self.chunks():
                body.add(len(chunk))
                if body.dropped:
                    raise BackendError("the peers' answers in progress take too much memory")
                if body.size_bytes > MAX_ANSWER_BYTES:
                    self.close()
                    raise BackendError(f"the peer's answer is larger than {MAX_ANSWER_BYTES} bytes")
                parts.append(chunk)
        return b"".join(parts)

    def close(self) -> None:
        """Closes the connection, which cancels the request at the peer if it is in progress."""
        self._response.close()


def _end_to_end(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    kept = headers.copy()
    for name in _HOP_HEADERS:
        kept.popall(name, None)
    return kept


async def _note_connected(session: aiohttp.ClientSession, context: Any, parameters: Any) -> None:
    request: ClientRequest = context.trace_request_ctx
    request.possible_runs += 1


class HttpPeerSender:
    """Sends requests to peers, each on a connection of its own; see ``PeerSender``.

    The end of a connection then cancels just one request, and a connection that the peer has closed
    meanwhile is never used.

    Args:
        memory: bounds the bytes of all answers that are being read.
    """

    def __init__(self, memory: BodyMemory | None = None) -> None:
        self._memory = memory or BodyMemory()
        self._session: aiohttp.ClientSession | None = None

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            trace = aiohttp.TraceConfig()
            trace.on_connection_create_end.append(_note_connected)
            connector = aiohttp.TCPConnector(limit=0, force_close=True)
            track_connections(connector, TrackedConnection)
            self._session = aiohttp.ClientSession(
                connector=connector,
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_MS / 1000.0),
                trace_configs=[trace],
                max_field_size=MAX_ANSWER_HEADER_BYTES,
            )
        return self._session

    async def send(
        self, address: str, frame: bytes, left_ms: float, request: ClientRequest
    ) -> BackendAnswer:
        """Sends a relayed request; see ``PeerSender``."""
        runs = request.possible_runs
        try:
            async with asyncio.timeout(left_ms / 1000.0):
                response = await self._open().post(
                    f"http://{address}{RELAY_PATH}",
                    data=frame,
                    allow_redirects=False,
                    trace_request_ctx=request,
                )
        except TRANSPORT_ERRORS as error:
            kind = BackendError if request.possible_runs > runs else NotSentError
            raise kind(f"peer {address}: {error!r}") from error
        answer = response.headers.get(RELAYED_HEADER)
        if answer == RelayedAnswer.SERVER.value:
            return _PeerAnswer(response, self._memory)
        response.close()
        if answer == RelayedAnswer.NOT_RUN.value:
            request.possible_runs = runs
            raise RejectedError(
                f"peer {address}: status {response.status}",
                retry_after_ms=_retry_after_ms(response.headers),
            )
        raise BackendError(f"peer {address}: status {response.status}")

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()


def _retry_after_ms(headers: CIMultiDictProxy[str]) -> int | None:
    try:
        return int(float(headers["Retry-After"]) * 1000.0)
    except (KeyError, ValueError, OverflowError):
        # The peer names no time; this host has one of its own.
        return None
