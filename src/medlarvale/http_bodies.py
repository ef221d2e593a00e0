"""Validity of HTTP/1.1 responses: status, framing (RFC 9112, section 6) and whether they broke off.

aiohttp accepts any three digits as a status, and takes a reset for the regular end of a body that
ends with its connection.
"""

from __future__ import annotations

import asyncio
import enum
import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

# A response with another status is broken: its request may have run, and its headers mean nothing.
FINAL_STATUSES = range(200, 600)
_INTERIM_STATUSES = range(100, 200)
# No request asks for another protocol, so nothing says what follows on the connection.
_SWITCHING_PROTOCOLS = 101
_STATUSES_WITHOUT_BODY = (204, 304)


class BodyFraming(enum.Enum):
    """What marks the end of a body."""

    LENGTH = "length"
    CHUNKED = "chunked"
    # Only the end of the connection does, so an answer that breaks off may look complete.
    CLOSE = "close"


def body_framing(response: aiohttp.ClientResponse) -> BodyFraming:
    """Returns the framing that the head of a response declares.

    A body with transfer codings is delimited by chunks only if "chunked" is the last one. A head
    after which there can't be a body needs no length.
    """
    if response.method == "HEAD" or response.status in _STATUSES_WITHOUT_BODY:
        return BodyFraming.LENGTH
    headers = response.headers
    codings = ",".join(headers.getall("Transfer-Encoding", ())).lower().split(",")
    if codings[-1].strip() == "chunked":
        return BodyFraming.CHUNKED
    return BodyFraming.LENGTH if "Content-Length" in headers else BodyFraming.CLOSE


def is_interim(status: int) -> bool:
    """Returns whether a status announces that the final response follows."""
    return status in _INTERIM_STATUSES and status != _SWITCHING_PROTOCOLS


class TrackedConnection(ResponseHandler):
    """Client connection that records whether it was reset, and breaks off invalid responses."""

    was_reset = False

    def connection_lost(self, exc: BaseException | None) -> None:
        """Records a reset before the reader of the body is notified of the end."""
        self.was_reset = exc is not None
        super().connection_lost(exc)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Passes on the head of a response if its status is possible."""
        message, _ = data
        if message.code not in FINAL_STATUSES and not is_interim(message.code):
            self.close_with_error(f"a response with status {message.code:03}")
            return
        super().feed_data(data, size)

    def close(self) -> None:
        """Closes the connection, with a reset if the server has not taken all of a request."""
        transport = self.transport
        if transport is not None and transport.get_write_buffer_size() > 0:
            # A regular end would wait until the server has taken the rest.
            transport.abort()
        super().close()

    def close_with_error(self, reason: str) -> None:
        """Closes the connection; the response on it, if any, is broken.

        Args:
            reason: what is wrong with the response.
        """
        error = aiohttp.ClientPayloadError(reason)
        payload, transport = self._payload, self.transport
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)
        self.set_exception(error)
        if transport is not None:
            transport.abort()


class TrackedResponse(aiohttp.ClientResponse):
    """Response whose connection stays known after the end of its body."""

    connection_in_use: TrackedConnection

    async def start(self, connection: Any) -> aiohttp.ClientResponse:
        """Reads the head of the response."""
        self.connection_in_use = connection.protocol
        return await super().start(connection)

    def broke_off(self) -> bool:
        """Returns whether the body, which was read to its end, ended with a reset instead."""
        return body_framing(self) is BodyFraming.CLOSE and self.connection_in_use.was_reset

    def raise_if_broke_off(self) -> None:
        """Checks a body that was read to its end.

        Raises:
            aiohttp.ClientPayloadError: if it ended with a reset instead.
        """
        if self.broke_off():
            raise aiohttp.ClientPayloadError("the connection was reset")


def track_connections(connector: aiohttp.BaseConnector, kind: type[TrackedConnection]) -> None:
    """Makes a connector of a running event loop create connections of a class."""
    loop = asyncio.get_running_loop()
    connector._factory = functools.partial(kind, loop=loop)  # type: ignore[assignment]
