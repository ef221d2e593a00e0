"""Reads the body of a caller's request piece by piece, within the limits."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import web
from aiohttp.streams import StreamReader

from medlarvale.forwarding.errors import BodyTooLargeError
from medlarvale.forwarding.messages import MAX_REQUEST_HEADER_BYTES, RequestLimits
from medlarvale.logs import Event, log_warning
from medlarvale.uploads.body_budget import Upload
from medlarvale.uploads.errors import (
    HeadTooLargeError,
    MalformedHttpError,
    NoRoomError,
    UploadStalledError,
)

# Largest body whatever the configuration says, before one is known, and of requests that peers
# relay: their frames also carry the headers.
MAX_BODY_BYTES = 8 * 1024 * 1024
# Configurations count what a caller writes, so that spaces, for example, may count twice here.
MAX_HEAD_BYTES = 2 * MAX_REQUEST_HEADER_BYTES
# Limits until a configuration is known.
DEFAULT_LIMITS = RequestLimits(MAX_REQUEST_HEADER_BYTES, MAX_BODY_BYTES, 3_000.0, 15_000.0)
# Small parts are put together, because each object takes 33 bytes beside its content.
PART_BYTES = 64 * 1024

LimitsSource = Callable[[], RequestLimits]


class _Parts:
    """The parts of a body that have arrived."""

    def __init__(self) -> None:
        self._whole: list[bytes] = []
        self._last = bytearray()

    def add(self, piece: bytes) -> None:
        if len(piece) >= PART_BYTES and not self._last:
            self._whole.append(piece)
            return
        self._last += piece
        if len(self._last) >= PART_BYTES:
            self._whole.append(bytes(self._last))
            self._last = bytearray()

    def join(self) -> bytes:
        """Returns the body and keeps nothing of it."""
        whole, last = self._whole, self._last
        self.clear()
        if last:
            whole.append(bytes(last))
        return whole[0] if len(whole) == 1 else b"".join(whole)

    def clear(self) -> None:
        self._whole, self._last = [], bytearray()


def _max_body_bytes(limits: RequestLimits) -> int:
    return min(limits.max_body_bytes, MAX_BODY_BYTES)


def check_head(incoming: web.BaseRequest, upload: Upload, limits: RequestLimits) -> None:
    """Refuses a request by its head.

    Raises:
        HeadTooLargeError: the headers are too large.
        BodyTooLargeError: the declared length is beyond the limit.
        NoRoomError: bodies that can't give way leave no room for the declared length.
    """
    head_bytes = sum(len(name) + len(value) for name, value in incoming.raw_headers)
    if head_bytes > max(MAX_HEAD_BYTES, 2 * limits.max_header_bytes):
        raise HeadTooLargeError("the headers are too large")
    length_bytes = incoming.content_length or 0
    if length_bytes > _max_body_bytes(limits):
        raise BodyTooLargeError("the declared length is larger than the configuration allows")
    if not upload.fits(length_bytes):
        raise NoRoomError("requests in progress leave no room for the body")


async def read_body(incoming: web.BaseRequest, upload: Upload, limits: RequestLimits) -> bytes:
    """Returns the whole body.

    Raises:
        ForwardingError: the request is refused; its connection has to be closed.
    """
    check_head(incoming, upload, limits)
    if incoming.headers.get("Expect", "").lower() == "100-continue":
        await incoming.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    return await read_pieces(
        incoming.content, upload, _max_body_bytes(limits), limits.idle_timeout_ms
    )


async def read_pieces(
    content: StreamReader, upload: Upload, max_body_bytes: int, idle_timeout_ms: float
) -> bytes:
    """Returns the whole body, which is counted until ``upload`` ends.

    Args:
        content: the body.
        upload: counts it.
        max_body_bytes: its largest size.
        idle_timeout_ms: longest time without any progress; up to a tenth more may pass.

    Raises:
        BodyTooLargeError: it is larger.
        NoRoomError: it has given way to other bodies.
        UploadStalledError: it has made no progress.
        MalformedHttpError: its chunks are malformed.
    """
    parts = _Parts()
    try:
        await _read_parts(content, upload, max_body_bytes, idle_timeout_ms, parts)
    except BaseException:
        # The traceback keeps the frames of the readers.
        parts.clear()
        # The limit on the idle time can't be changed any more.
        upload.on_give_way(parts.clear)
        raise
    upload.hand_over()
    return parts.join()


async def _read_parts(
    content: StreamReader,
    upload: Upload,
    max_body_bytes: int,
    idle_timeout_ms: float,
    parts: _Parts,
) -> None:
    loop = asyncio.get_running_loop()
    idle_s = idle_timeout_ms / 1000.0
    # The limit is moved after a tenth of its time rather than with each of many small pieces.
    step_s = 0.1 * idle_s
    idle = asyncio.timeout(idle_s + step_s)
    moved_s = loop.time()

    def give_way() -> None:
        parts.clear()
        # A limit that has expired can't be changed, and ends the wait as well.
        if not idle.expired():
            idle.reschedule(loop.time())

    upload.on_give_way(give_way)
    try:
        async with idle:
            while piece := await content.readany():
                if loop.time() - moved_s >= step_s:
                    moved_s = loop.time()
                    idle.reschedule(moved_s + idle_s + step_s)
                upload.add(len(piece))
                if upload.dropped:
                    break
                if upload.size_bytes > max_body_bytes:
                    raise BodyTooLargeError("the body is larger than the configuration allows")
                parts.add(piece)
    except web.RequestPayloadError as error:
        raise MalformedHttpError("the body is malformed") from error
    except TimeoutError as error:
        if not upload.dropped:
            if not idle.expired():
                raise
            log_warning(Event.UPLOAD_STALLED, size_bytes=upload.size_bytes)
            raise UploadStalledError("the rest of the body has not arrived") from error
    if upload.dropped:
        raise NoRoomError("the body has given way to others")
