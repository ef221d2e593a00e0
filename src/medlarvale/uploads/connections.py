"""Connections that callers open: what each may hold of the process."""

from __future__ import annotations

import asyncio
import fcntl
import struct
import termios
from http import HTTPStatus
from typing import Any

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import _ErrInfo

from medlarvale.errors import MedlarvaleError
from medlarvale.logs import Event, log_warning
from medlarvale.uploads.body_budget import Upload
from medlarvale.uploads.bounds import Uploads
from medlarvale.uploads.errors import HeadTooLargeError, MalformedHttpError
from medlarvale.uploads.read_pacing import CONTENT_SHARE, MAX_READ_BYTES, MIN_READ_BYTES
from medlarvale.uploads.reader import MAX_HEAD_BYTES, LimitsSource

# aiohttp stops reading when twice as many bytes of a body wait for a reader.
READ_BUFFER_BYTES = 16 * 1024
# Time for which the rest of a refused request is read and dropped, so that the caller can read the
# refusal: without it, the system resets the connection.
LINGERING_S = 1.0
# aiohttp keeps a head as bytes and as text, in its parser and in the request (measured: 3.6).
HEAD_COPIES = 4
# Chunk framing of one body, 1,400 chunks at least, that is parsed without waiting for turns.
FREE_FRAMING_BYTES = 8 * 1024


def _nothing() -> None:
    pass


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
        # Size of the head of the present request.
        self._head_bytes = 0
        # Bytes of the present body that are not content.
        self._framing_bytes = 0
        self._read_bytes = MIN_READ_BYTES
        self._awaits_turn = False
        # Whether nothing that arrives is parsed any more.
        self._refused = False
        # aiohttp forgets the transport when it begins to close it.
        self._open_transport: asyncio.Transport | None = None
        self._head_timer: asyncio.TimerHandle | None = None
        self._write_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts the connection."""
        super().connection_made(transport)
        self._open_transport = self.transport
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
        self._last_body = self._open_transport = None
        super().connection_lost(exc)

    def abort(self) -> None:
        """Closes the connection at once, also if it is being closed after the rest of an answer."""
        if self._open_transport is not None:
            self._open_transport.abort()

    def force_close(self) -> None:
        """Closes the connection when the caller has taken what has been written."""
        super().force_close()
        self._watch_taken()

    def begin_request(self, message: Any = None) -> None:
        """Begins to count the next request, whose head aiohttp keeps until the one after it."""
        self._head_bytes = _size_of_head(message)
        self._count_heads()
        for upload in (self.upload, self._ahead):
            upload.end()
            upload.on_give_way(_nothing)
        self.upload = self._uploads.budget.begin(self.abort)
        self._ahead = self._uploads.budget.begin(self.abort)
        self._is_serving = True
        behind_bytes = self._behind_bytes()
        if behind_bytes:
            self._ahead.add(behind_bytes)

    def _count_heads(self) -> None:
        size_bytes = self._head_bytes + self._loose_bytes
        size_bytes += sum(_size_of_head(message) for message, _ in self._messages)
        self._uploads.hold_head(self, HEAD_COPIES * size_bytes)

    def _behind_bytes(self) -> int:
        """Returns the bytes of whole and partial requests that wait for the present one."""
        size_bytes = self._unparsed_bytes + len(self._message_tail)
        for message, body in self._messages:
            size_bytes += body.total_bytes + _size_of_head(message)
        return size_bytes

    @property
    def receives_body(self) -> bool:
        """Whether the body of the last request has not arrived completely."""
        return self._last_body is not None and not self._last_body.is_eof()

    def note_whole(self) -> None:
        """Notes that the whole request has arrived."""
        self._uploads.table.begin(self)

    def next_read_bytes(self) -> int:
        """Returns the largest size of the next read."""
        return MIN_READ_BYTES if self._uploads.pacer.is_busy else self._read_bytes

    def data_received(self, data: bytes) -> None:
        """Parses bytes at once, or when the turn of this connection comes."""
        costly = self._refused or self._framing_bytes > FREE_FRAMING_BYTES
        # aiohttp passes empty data to go on with what its parser keeps.
        if not data or self._uploads.pacer.admit(self, data, costly):
            self._parse(data)
            return
        self._awaits_turn = True
        self._pause_transport_reading()

    def take_turn(self, data: bytes) -> int:
        """Parses a read that has waited; returns how many bytes of it were chunk framing."""
        self._awaits_turn = False
        if self.transport is None:
            return 0
        framing_bytes = self._parse(data)
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()
        return framing_bytes

    def _resume_transport_reading(self) -> None:
        if not self._awaits_turn:
            super()._resume_transport_reading()

    def _parse(self, data: bytes) -> int:
        """Parses bytes; counts those that no reader takes out of memory."""
        if self._refused:
            return 0
        requests, body = self._request_count, self._last_body
        was_in_body = self.receives_body
        body_bytes = body.total_bytes if body is not None else 0
        super().data_received(data)
        if not self._buffer_paused:
            self._unparsed_bytes = 0
        elif data:
            # The parser has stopped at the limit of waiting requests and keeps the rest.
            self._unparsed_bytes = len(data)
        if self._request_count != requests:
            self._note_requests()
            self._count_ahead(len(data))
            return 0
        content_bytes = body.total_bytes - body_bytes if body is not None else 0
        if content_bytes:
            self._loose_bytes = 0
        elif not self._buffer_paused and not self._reading_paused:
            self._note_loose(data, body is not None and not body.is_eof())
        self._count_ahead(len(data))
        return self._note_framing(len(data), content_bytes) if was_in_body else 0

    def _note_requests(self) -> None:
        """Notes the heads that have arrived, or that the parser has found an error."""
        self._loose_bytes = self._framing_bytes = 0
        self._stop_head_timer()
        if self._messages:
            message, body = self._messages[-1]
            if isinstance(message, _ErrInfo):
                self._refuse_malformed(message.exc)
            else:
                self._last_body = body
        self._count_heads()

    def _count_ahead(self, size_bytes: int) -> None:
        """Counts bytes that have arrived behind the present request."""
        if self._messages and (self._is_serving or self._current_request is not None):
            self._ahead.add(size_bytes)

    def _note_framing(self, size_bytes: int, content_bytes: int) -> int:
        """Returns the bytes of a read that were chunk framing; adapts the size of the next read."""
        framing_bytes = size_bytes - content_bytes
        # Content that aiohttp has kept in its parser arrives without a read.
        self._framing_bytes = max(0, self._framing_bytes + framing_bytes)
        if content_bytes < CONTENT_SHARE * size_bytes:
            self._read_bytes = MIN_READ_BYTES
        elif size_bytes >= self._read_bytes:
            self._read_bytes = min(MAX_READ_BYTES, 2 * self._read_bytes)
        return max(0, framing_bytes)

    def _refuse_malformed(self, error: BaseException) -> None:
        """Drops what arrives after an error of the parser, which could only fail again.

        aiohttp answers the error after the requests before it.
        """
        # The traceback refers to the frames that refer to the error and to the bytes read.
        error.__traceback__ = None
        refusal: MedlarvaleError
        if isinstance(error, LineTooLong):
            refusal = HeadTooLargeError("a line of the head is too large")
        else:
            refusal = MalformedHttpError("the request is not well-formed HTTP")
        self._uploads.note_head_refused(refusal.code, 0)
        info = _ErrInfo(refusal.http_status, refusal, refusal.message)
        self._messages[-1] = info, self._messages[-1][1]
        self._refused = True
        if self.receives_body:
            assert self._last_body is not None
            self._last_body.set_exception(web.RequestPayloadError(refusal.message))
            self._last_body.feed_eof()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answers a request that the parser has refused, or whose handler has failed."""
        if isinstance(exc, MedlarvaleError):
            error = exc
        elif status < HTTPStatus.INTERNAL_SERVER_ERROR:
            error = MalformedHttpError("the request is not well-formed HTTP")
        else:
            return super().handle_error(request, status, exc, message)
        response = self.refusal(error)
        response.force_close()
        return response

    def refusal(self, error: MedlarvaleError) -> web.Response:
        """Returns the answer to a request that has not been parsed completely."""
        return web.Response(status=error.http_status, body=error.code.encode())

    def _note_loose(self, data: bytes, in_body: bool) -> None:
        """Counts bytes of an incomplete head, or of chunk extensions and trailers."""
        if self._close or self._force_close:
            # They have been dropped.
            return
        self._loose_bytes += len(data)
        self._count_heads()
        if self._loose_bytes > max(MAX_HEAD_BYTES, 2 * self._limits().max_header_bytes):
            if in_body or self._current_request is not None or self._is_serving:
                self._end_head("too large")
            else:
                self._refuse_large_head()
        elif self._head_timer is None and not in_body and self._current_request is None:
            if not data.strip(b"\r\n"):
                # Line breaks before a request begin no head (RFC 9112, section 2.2).
                return
            self._head_timer = self._loop.call_later(
                self._limits().header_timeout_ms / 1000.0, self._end_head, "incomplete"
            )

    def _end_head(self, reason: str) -> None:
        self._uploads.note_head_refused(reason, self._loose_bytes)
        self._stop_head_timer()
        self.force_close()

    def _refuse_large_head(self) -> None:
        """Answers a head without waiting for its end."""
        self._uploads.note_head_refused("too large", self._loose_bytes)
        self._stop_head_timer()
        self._refused = True
        response = self.refusal(HeadTooLargeError("the head of the request is too large"))
        body = response.body
        assert isinstance(body, bytes) and self.transport is not None
        lines = [
            f"HTTP/1.1 {response.status} {response.reason}",
            *(f"{name}: {value}" for name, value in response.headers.items()),
            f"Content-Length: {len(body)}",
            "Connection: close",
        ]
        self.transport.write("\r\n".join((*lines, "", "")).encode() + body)
        self._head_timer = self._loop.call_later(LINGERING_S, self.force_close)

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
            result = await super().finish_response(request, resp, start_time)
            if isinstance(resp, web.Response):
                # aiohttp keeps the response until the next one.
                resp._body = None
            if self.transport is not None:
                await self._drain_helper()
        except ConnectionError:
            result = resp, True
        finally:
            self._is_serving = False
            self.upload.end()
            self._uploads.table.end(self)
        # The connection may be closed now, which waits for the rest of the answer.
        self._watch_taken()
        if self._refused and not self._messages and self.transport is not None:
            await asyncio.sleep(LINGERING_S)
        return result

    def pause_writing(self) -> None:
        """Begins to watch whether the caller takes what has been written."""
        super().pause_writing()
        self._watch_taken()

    def resume_writing(self) -> None:
        """Notes that the caller has taken most of what has been written."""
        self._stop_write_timer()
        super().resume_writing()

    def _watch_taken(self) -> None:
        transport = self._open_transport
        if transport is None or self._write_timer is not None:
            return
        if self.writing_paused or transport.get_write_buffer_size():
            self._write_timer = self._loop.call_later(
                self._limits().idle_timeout_ms / 1000.0,
                self._check_taken,
                self._untaken_bytes(transport),
            )

    def _untaken_bytes(self, transport: asyncio.Transport) -> int:
        """Returns the bytes that the caller's system has not acknowledged.

        The system takes more of the buffer only after a large part of its own is free, so the
        buffer alone may not change for a long time although the caller reads steadily.
        """
        left_bytes = transport.get_write_buffer_size()
        connection = transport.get_extra_info("socket")
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
        if self._open_transport is None:
            return
        if self._untaken_bytes(self._open_transport) < left_bytes:
            self._watch_taken()
            return
        log_warning(Event.ANSWER_NOT_TAKEN, left_bytes=left_bytes)
        self.abort()

    def _stop_write_timer(self) -> None:
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None


def _size_of_head(message: Any) -> int:
    """Returns the bytes of the headers of a request that aiohttp has parsed."""
    headers = getattr(message, "raw_headers", ())
    return sum(len(name) + len(value) for name, value in headers)
