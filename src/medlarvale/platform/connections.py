"""Connections to backend servers, with bounds on what a server may send."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import nullcontext
from contextvars import ContextVar
from typing import Any

import aiohttp

from medlarvale.forwarding.errors import BackendError
from medlarvale.forwarding.interface import BodyMemory
from medlarvale.forwarding.messages import MAX_ANSWER_HEADER_BYTES
from medlarvale.http_bodies import (
    TrackedConnection,
    TrackedResponse,
    is_interim,
    track_connections,
)
from medlarvale.platform import headers as names
from medlarvale.platform.running_timeout import running_timeout

# Ten round trips between failure domains. A machine without power never answers, so a connection
# attempt needs its own limit.
CONNECT_TIMEOUT_MS = 400
# Close idle connections before the server does: a request that is sent while the server closes the
# connection is lost.
IDLE_CONNECTION_S = 4.0

# Interim responses (RFC 9110, section 15.2) before the final one.
MAX_INTERIM_RESPONSES = 8
# Bytes on a connection without a part of a body for a reader: heads, chunk extensions, trailers and
# what aiohttp buffers before it stops reading.
MAX_BYTES_WITHOUT_BODY = 512 * 1024

TRANSPORT_ERRORS = (TimeoutError, aiohttp.ClientError, OSError)


# After this time without a response, a connection that was used before may be dead, and so may
# others to its server.
DEAD_CONNECTION_MS = 400.0


class BackendConnection(TrackedConnection):
    """Connection that closes if the server sends too much.

    aiohttp keeps a response that arrives on an idle connection, as the response to the next
    request.
    """

    # Number of requests that were sent on this connection.
    requests = 0
    _awaits_response = False
    _interim_responses = 0
    _bytes_without_body = 0

    def set_response_params(self, **parameters: Any) -> None:
        """Begins to wait for the response to a request."""
        self.requests += 1
        on_connected = ON_CONNECTED.get()
        if on_connected is not None:
            on_connected(self)
        self._awaits_response = True
        self._interim_responses = 0
        self._bytes_without_body = 0
        super().set_response_params(**parameters)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Passes on the head of a response, unless no request waits for one."""
        message, _ = data
        if not self._awaits_response:
            self.close_with_error("a response without a request")
            return
        if is_interim(message.code):
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                self.close_with_error("too many interim responses")
                return
        else:
            self._awaits_response = False
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Counts the bytes of which no reader has received a part."""
        self._bytes_without_body += len(data)
        if self._bytes_without_body > MAX_BYTES_WITHOUT_BODY:
            self.close_with_error("too many bytes that are no part of a body")
            return
        super().data_received(data)

    def note_body(self) -> None:
        """Records that a reader has received a part of the body."""
        self._bytes_without_body = 0


# Called when the request of the present task has got its connection, before it is sent.
ON_CONNECTED: ContextVar[Callable[[BackendConnection], None] | None] = ContextVar(
    "on_connected", default=None
)


class RequestConnection(BackendConnection):
    """Connection for requests of callers; it is closed after a refusal.

    A second copy of the refusal would otherwise be taken for the response to the next request.
    """

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Passes on the head of a response."""
        message, _ = data
        if names.is_refusal(message.code, message.headers):
            self.force_close()
        super().feed_data(data, size)


class RelayedResponse(TrackedResponse):
    """Response that rejects a late answer to an earlier request on a reused connection."""

    connection_in_use: BackendConnection

    async def start(self, connection: Any) -> aiohttp.ClientResponse:
        """Reads the head of the response.

        Raises:
            aiohttp.ClientPayloadError: if it carries the id of another request.
        """
        await super().start(connection)
        expected = self.request_info.headers.get(names.REQUEST_ID)
        received = self.headers.get(names.REQUEST_ID)
        if received is not None and received != expected:
            # Responses to calls that have no id carry none. The response to this request may still
            # follow, so the connection can't be reused.
            self.connection_in_use.close()
            raise aiohttp.ClientPayloadError("the response belongs to another request")
        return self


class ServerConnector(aiohttp.TCPConnector):
    """Connector whose limit on a connection attempt counts only the time of the running loop.

    A host that was held up would otherwise take its servers for unreachable.
    """

    async def _wrap_create_connection(
        self, *arguments: Any, timeout: aiohttp.ClientTimeout, **options: Any
    ) -> Any:
        limit_s = timeout.sock_connect
        if limit_s is None:
            return await super()._wrap_create_connection(*arguments, timeout=timeout, **options)
        async with running_timeout(1000.0 * limit_s):
            return await super()._wrap_create_connection(
                *arguments, timeout=aiohttp.ClientTimeout(total=None), **options
            )


def new_session(
    connection: type[BackendConnection] = RequestConnection,
) -> aiohttp.ClientSession:
    """Returns a session that adds no headers of its own and never repeats a request.

    Its sockets have no limits of their own on silence: with ``TCP_USER_TIMEOUT`` or keep-alive
    probes, the transport would end a request that its server is about to answer.

    Args:
        connection: class of its connections.
    """
    connector = ServerConnector(
        limit=0,
        keepalive_timeout=IDLE_CONNECTION_S,
        use_dns_cache=False,
    )
    track_connections(connector, connection)
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        response_class=RelayedResponse,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_MS / 1000.0),
        max_field_size=MAX_ANSWER_HEADER_BYTES,
    )
    # By default, aiohttp repeats a GET request if a reused connection breaks.
    session._retry_connection = False
    return session


def close_idle_connections(session: aiohttp.ClientSession, address: str) -> None:
    """Closes the connections to a server that no request uses.

    Args:
        session: the session that keeps them.
        address: ``ip:port`` of the server.
    """
    assert session.connector is not None
    for key, kept in session.connector._conns.items():
        if f"{key.host}:{key.port}" == address:
            for connection, _ in kept:
                connection.close()


async def read_body(
    response: aiohttp.ClientResponse,
    max_bytes: int,
    memory: BodyMemory | None = None,
    on_part: Callable[[], None] | None = None,
) -> bytes:
    """Returns the whole body of a response.

    Args:
        response: the response.
        max_bytes: most bytes of its body.
        memory: bounds the bytes of all bodies together; None for no such bound.
        on_part: called with the head and with each part of the body.

    Raises:
        BackendError: if the body is larger than allowed, or the largest while all bodies together
            are; the connection is closed.
        aiohttp.ClientError: if the body ends early.
    """
    parts: list[bytes] = []
    size = 0
    try:
        if on_part is not None:
            on_part()
        with nullcontext() if memory is None else memory.reading(response.close) as body:
            async for part in response.content.iter_any():
                note_body(response)
                if on_part is not None:
                    on_part()
                size += len(part)
                if body is not None:
                    body.add(len(part))
                    if body.dropped:
                        raise BackendError("the response bodies in progress take too much memory")
                if size > max_bytes:
                    response.close()
                    raise BackendError(f"the response body is larger than {max_bytes} bytes")
                parts.append(part)
        if isinstance(response, TrackedResponse):
            response.raise_if_broke_off()
    except BaseException:
        # The traceback keeps this frame.
        parts.clear()
        raise
    return b"".join(parts)


def note_body(response: aiohttp.ClientResponse) -> None:
    """Records that a reader has received a part of the body of a response."""
    connection = getattr(response, "connection_in_use", None)
    if connection is not None:
        connection.note_body()
