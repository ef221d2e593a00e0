"""Connections of callers: how many, and what each may hold beside the body that is being read."""

from __future__ import annotations

import asyncio
import fcntl
import struct
import termios
from collections.abc import Callable, Hashable
from typing import Any, Generic, TypeVar

from aiohttp import web
from aiohttp.streams import StreamReader

from medlarvale.logs import Event, log_warning
from medlarvale.uploads.body_budget import BodyBudget, Upload
from medlarvale.uploads.reader import DEFAULT_LIMITS, MAX_HEAD_BYTES, LimitsSource

# Descriptors for files, of those that a process may have.
FILE_DESCRIPTORS = 200
# Share of the other descriptors for connections to backend servers, peers and the store.
BACKEND_SHARE = 0.25
# Bound without a known number of descriptors.
DEFAULT_CONNECTIONS = 20_000
# aiohttp stops reading when twice as many bytes of a body wait for a reader.
READ_BUFFER_BYTES = 64 * 1024
# Time for which the rest of a refused body is read and dropped, so that the caller can read the
# refusal: without it, the system resets the connection.
LINGERING_S = 1.0
REPORT_MS = 1_000.0
# aiohttp keeps a head as bytes and as text, in its parser and in the request (measured: 3.6).
HEAD_COPIES = 4
# Memory of a head up to which it is not counted: those of 1,078 connections take 17 MB.
SMALL_HEAD_BYTES = 16 * 1024
HEAD_REFUSAL = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)

_KeyT = TypeVar("_KeyT", bound=Hashable)


def max_caller_connections(max_descriptors: int | None) -> int:
    """Returns the bound on callers' connections.

    Args:
        max_descriptors: most descriptors of the process; None if unknown.
    """
    if max_descriptors is None:
        return DEFAULT_CONNECTIONS
    return max(1, int((1.0 - BACKEND_SHARE) * (max_descriptors - FILE_DESCRIPTORS)))


def _nothing() -> None:
    pass


class ConnectionTable(Generic[_KeyT]):
    """Decides, without I/O, which connections are closed beyond a bound.

    Args:
        max_connections: the bound.
    """

    def __init__(self, max_connections: int) -> None:
        self._max_connections = max_connections
        # In order of their last whole request, or of their opening if there was none.
        self._waiting: dict[_KeyT, None] = {}
        self._running: set[_KeyT] = set()

    def __len__(self) -> int:
        return len(self._waiting) + len(self._running)

    def open(self, connection: _KeyT) -> _KeyT | None:
        """Adds a connection; returns the one that is to be closed for it, if any.

        It is the one that has gone longest without a whole request. Connections whose request is
        being answered stay open.
        """
        self._waiting[connection] = None
        if len(self) <= self._max_connections:
            return None
        longest = next(iter(self._waiting))
        del self._waiting[longest]
        return longest

    def begin(self, connection: _KeyT) -> None:
        """Notes that a whole request has arrived on a connection."""
        if connection in self._waiting:
            del self._waiting[connection]
            self._running.add(connection)

    def end(self, connection: _KeyT) -> None:
        """Notes that the answer to the request has been written."""
        if connection in self._running:
            self._running.discard(connection)
            self._waiting[connection] = None

    def is_running(self, connection: _KeyT) -> bool:
        """Returns whether a whole request of a connection is being answered."""
        return connection in self._running

    def close(self, connection: _KeyT) -> None:
        """Removes a connection."""
        self._waiting.pop(connection, None)
        self._running.discard(connection)


class CallerConnection(web.RequestHandler):
    """Connection of a caller that holds a bounded number of bytes.

    Attributes:
        upload: the body of the present request, and then that of its answer.
    """

    def __init__(self, uploads: Uploads, limits: LimitsSource, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._uploads = uploads
        self._limits = limits
        self.upload: Upload = uploads.budget.begin(self.abort)
        # What has arrived of the requests behind the present one.
        self._ahead: Upload = uploads.budget.begin(self.abort)
        self._last_body: StreamReader | None = None
        # Whether a request has been taken from the queue and its answer has not been written.
        self._is_serving = False
        # Most bytes that the parser keeps because too many requests wait.
        self._unparsed_bytes = 0
        # Bytes since the last whole head, or the last part of a body.
        self._loose_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None
        self._write_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts the connection."""
        super().connection_made(transport)
        self._uploads.open(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Counts the connection and what it holds no longer."""
        self._stop_head_timer()
        self._stop_write_timer()
        self._uploads.close(self)
        for upload in (self.upload, self._ahead):
            upload.end()
            # It would keep this connection, and its head, until a garbage collection.
            upload.on_give_way(_nothing)
        self._last_body = None
        super().connection_lost(exc)

    def abort(self) -> None:
        """Closes the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def begin_request(self, message: Any = None) -> None:
        """Begins to count the next request, whose head aiohttp keeps until the one after it."""
        headers = getattr(message, "raw_headers", ())
        head_bytes = HEAD_COPIES * sum(len(name) + len(value) for name, value in headers)
        self._uploads.hold_head(self, head_bytes)
        for upload in (self.upload, self._ahead):
            upload.end()
            upload.on_give_way(_nothing)
        self.upload = self._uploads.budget.begin(self.abort)
        self._ahead = self._uploads.budget.begin(self.abort)
        self._is_serving = True
        behind_bytes = self._behind_bytes()
        if behind_bytes:
            self._ahead.add(behind_bytes)

    def _behind_bytes(self) -> int:
        """Returns the bytes of whole and partial requests that wait for the present one."""
        size_bytes = self._unparsed_bytes + len(self._message_tail)
        for message, body in self._messages:
            size_bytes += body.total_bytes
            for name, value in getattr(message, "raw_headers", ()):
                size_bytes += len(name) + len(value)
        return size_bytes

    @property
    def receives_body(self) -> bool:
        """Whether the body of the last request has not arrived completely."""
        return self._last_body is not None and not self._last_body.is_eof()

    def note_whole(self) -> None:
        """Notes that the whole request has arrived."""
        self._uploads.table.begin(self)

    def data_received(self, data: bytes) -> None:
        """Reads bytes; counts those that no reader takes out of memory."""
        requests, body = self._request_count, self._last_body
        body_bytes = body.total_bytes if body is not None else 0
        super().data_received(data)
        if not self._buffer_paused:
            self._unparsed_bytes = 0
        elif data:
            # The parser has stopped at the limit of waiting requests and keeps the rest.
            self._unparsed_bytes = len(data)
        if self._request_count != requests:
            if self._messages:
                self._last_body = self._messages[-1][1]
            self._loose_bytes = 0
            self._stop_head_timer()
        elif body is not None and body.total_bytes != body_bytes:
            self._loose_bytes = 0
        elif not self._buffer_paused and not self._reading_paused:
            self._note_loose(data, body is not None and not body.is_eof())
        if self._messages and (self._is_serving or self._current_request is not None):
            self._ahead.add(len(data))

    def _note_loose(self, data: bytes, in_body: bool) -> None:
        """Counts bytes of an incomplete head, or of chunk extensions and trailers."""
        if self._close or self._force_close:
            # They have been dropped.
            return
        self._loose_bytes += len(data)
        if self._loose_bytes > max(MAX_HEAD_BYTES, 2 * self._limits().max_header_bytes):
            if not in_body and self._current_request is None and self.transport is not None:
                self.transport.write(HEAD_REFUSAL)
            self._end_head("too large")
        elif self._head_timer is None and not in_body and self._current_request is None:
            if not data.strip(b"\r\n"):
                # Line breaks before a request begin no head (RFC 9112, section 2.2).
                return
            self._head_timer = self._loop.call_later(
                self._limits().header_timeout_ms / 1000.0, self._end_head, "incomplete"
            )

    def _end_head(self, reason: str) -> None:
        log_warning(Event.HEAD_REFUSED, reason=reason, size_bytes=self._loose_bytes)
        self._uploads.heads_refused += 1
        self._stop_head_timer()
        self.force_close()

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Writes an answer; counts it until the caller has taken it."""
        body = resp.body if isinstance(resp, web.Response) else None
        self.upload.on_give_way(self.abort)
        self.upload.answer(len(body) if isinstance(body, bytes) else 0)
        try:
            written = await super().finish_response(request, resp, start_time)
            if isinstance(resp, web.Response):
                # aiohttp keeps the response until the next one.
                resp._body = None
            if self.transport is not None:
                await self._drain_helper()
            return written
        except ConnectionError:
            return resp, True
        finally:
            self._is_serving = False
            self.upload.end()
            self._uploads.table.end(self)

    def pause_writing(self) -> None:
        """Begins to watch whether the caller takes what has been written."""
        super().pause_writing()
        self._watch_taken()

    def resume_writing(self) -> None:
        """Notes that the caller has taken most of what has been written."""
        self._stop_write_timer()
        super().resume_writing()

    def _watch_taken(self) -> None:
        if self.transport is not None:
            self._write_timer = self._loop.call_later(
                self._limits().idle_timeout_ms / 1000.0,
                self._check_taken,
                self._untaken_bytes(),
            )

    def _untaken_bytes(self) -> int:
        """Returns the bytes that the caller's system has not acknowledged.

        The system takes more of the buffer only after a large part of its own is free, so the
        buffer alone may not change for a long time although the caller reads steadily.
        """
        assert self.transport is not None
        left_bytes = self.transport.get_write_buffer_size()
        connection = self.transport.get_extra_info("socket")
        if connection is None or connection.fileno() < 0:
            return left_bytes
        try:
            unsent = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
        except OSError:
            # Not every system tells; the buffer alone is a coarser measure.
            return left_bytes
        return left_bytes + struct.unpack("i", unsent)[0]

    def _check_taken(self, left_bytes: int) -> None:
        """Closes the connection if the caller has taken nothing since the last check."""
        self._write_timer = None
        if self.transport is None:
            return
        if self._untaken_bytes() < left_bytes:
            self._watch_taken()
            return
        log_warning(Event.ANSWER_NOT_TAKEN, left_bytes=left_bytes)
        self.abort()

    def _stop_write_timer(self) -> None:
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None


class Uploads:
    """The bounds of one host on what callers hold of it.

    Args:
        budget: counts bodies.
        max_connections: bound on callers' connections.

    Attributes:
        connections_closed: number of connections that were closed because of the bound.
        heads_refused: number of heads that were too large or stayed incomplete.
    """

    def __init__(self, budget: BodyBudget, max_connections: int = DEFAULT_CONNECTIONS) -> None:
        self.budget = budget
        self.table: ConnectionTable[CallerConnection] = ConnectionTable(max_connections)
        self.connections_closed = 0
        self.heads_refused = 0
        self._reported, self._reported_ms = 0, -REPORT_MS
        # Memory of large heads by connection, the oldest first.
        self._heads: dict[CallerConnection, int] = {}
        self.head_bytes = 0

    def hold_head(self, connection: CallerConnection, size_bytes: int) -> None:
        """Counts the head of the last request of a connection in place of the one before it.

        If large heads take too much memory, connections that serve no request are closed.
        """
        self._release_head(connection)
        if size_bytes <= SMALL_HEAD_BYTES:
            return
        self._heads[connection] = size_bytes
        self.head_bytes += size_bytes
        while self.head_bytes > self.budget.limit_bytes:
            idle = (
                other
                for other in self._heads
                if other is not connection and not self.table.is_running(other)
            )
            victim = next(idle, connection)
            self._release_head(victim)
            self.connections_closed += 1
            victim.abort()

    def _release_head(self, connection: CallerConnection) -> None:
        self.head_bytes -= self._heads.pop(connection, 0)

    def open(self, connection: CallerConnection) -> None:
        """Counts a connection; closes another one if there are too many."""
        longest = self.table.open(connection)
        if longest is None:
            return
        self.connections_closed += 1
        longest.abort()
        now_ms = self.budget.now_ms()
        if now_ms - self._reported_ms >= REPORT_MS:
            closed = self.connections_closed - self._reported
            log_warning(Event.CONNECTIONS_CLOSED, closed=closed, open=len(self.table))
            self._reported, self._reported_ms = self.connections_closed, now_ms

    def close(self, connection: CallerConnection) -> None:
        """Counts a connection no longer."""
        self._release_head(connection)
        self.table.close(connection)

    def gauges(self) -> dict[str, float]:
        """Returns figures for the metrics."""
        return {
            "upload_bytes": self.budget.held_bytes,
            "uploads_dropped": self.budget.dropped,
            "caller_connections": len(self.table),
            "caller_connections_closed": self.connections_closed,
            "heads_refused": self.heads_refused,
        }


class CallerConnectionServer(web.Server):
    """Server whose connections are bounded.

    Args:
        handler: answers a request.
        uploads: the bounds.
        limits: returns the limits of the configuration.
        options: further options of aiohttp's server.
    """

    def __init__(
        self,
        handler: Callable[..., Any],
        uploads: Uploads,
        limits: LimitsSource = lambda: DEFAULT_LIMITS,
        **options: Any,
    ) -> None:
        super().__init__(
            handler, read_bufsize=READ_BUFFER_BYTES, lingering_time=LINGERING_S, **options
        )
        self._uploads = uploads
        self._limits = limits

    def __call__(self) -> web.RequestHandler:
        """Returns the protocol of a new connection."""
        return CallerConnection(self._uploads, self._limits, self, loop=self._loop, **self._kwargs)
