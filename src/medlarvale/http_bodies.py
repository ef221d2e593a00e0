"""Framing of HTTP/1.1 response bodies (RFC 9112, section 6), and whether they broke off.

aiohttp takes a reset for the regular end of a body that ends with its connection.
"""

from __future__ import annotations

import asyncio
import enum
import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

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


class TrackedConnection(ResponseHandler):
    """Client connection that records whether it was reset."""

    was_reset = False

    def connection_lost(self, exc: BaseException | None) -> None:
        """Records a reset before the reader of the body is notified of the end."""
        self.was_reset = exc is not None
        super().connection_lost(exc)


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


def track_connections(connector: aiohttp.BaseConnector, kind: type[TrackedConnection]) -> None:
    """Makes a connector of a running event loop create connections of a class."""
    loop = asyncio.get_running_loop()
    connector._factory = functools.partial(kind, loop=loop)  # type: ignore[assignment]
