"""Reads connections in small parts and shares the event loop among them.

By default uvloop reads 256 KiB at a time, up to 32 times in a row, from each connection in each
pass of the event loop. Chunks of one byte take far longer to parse than to send.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

MIN_READ_BYTES = 4 * 1024
MAX_READ_BYTES = 16 * 1024
# Bytes that are read at once in a pass; the rest of a pass waits for turns.
PASS_BYTES = 1024 * 1024
# Bytes of chunk framing that turns of one pass parse; the first turn of a pass has no limit.
PASS_FRAMING_BYTES = MIN_READ_BYTES
# Share of a read that has to be content for the next read to be larger.
CONTENT_SHARE = 15.0 / 16.0


class PacedConnection(Protocol):
    """Connection that can wait for its turn to parse what it has read."""

    def take_turn(self, data: bytes) -> int:
        """Parses a read that has waited; returns how many bytes of it were chunk framing."""


class ReadPacer:
    """Bounds what is parsed in one pass of the event loop.

    Connections whose input is costly take turns, a few in each pass. Others are parsed at once
    until the pass has read ``PASS_BYTES``.

    Args:
        call_soon: calls a function in the next pass of the event loop.
    """

    def __init__(self, call_soon: Callable[[Callable[[], None]], object]) -> None:
        self._call_soon = call_soon
        self._waiting: dict[PacedConnection, bytes] = {}
        self._pass_bytes = 0
        self._scheduled = False

    @property
    def is_busy(self) -> bool:
        """Whether this pass has read as much as it may."""
        return self._pass_bytes >= PASS_BYTES

    @property
    def waiting(self) -> int:
        """Number of connections that wait for their turn."""
        return len(self._waiting)

    def admit(self, connection: PacedConnection, data: bytes, costly: bool) -> bool:
        """Returns whether a read may be parsed now; if not, it waits for its turn."""
        if costly or self.is_busy or connection in self._waiting:
            self._waiting[connection] = self._waiting.get(connection, b"") + data
            self._schedule()
            return False
        self._pass_bytes += len(data)
        self._schedule()
        return True

    def forget(self, connection: PacedConnection) -> None:
        """Drops what a connection has waiting."""
        self._waiting.pop(connection, None)

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._call_soon(self._next_pass)

    def _next_pass(self) -> None:
        self._scheduled = False
        self._pass_bytes = 0
        framing_bytes = 0
        while self._waiting and not self.is_busy and framing_bytes < PASS_FRAMING_BYTES:
            connection = next(iter(self._waiting))
            data = self._waiting.pop(connection)
            self._pass_bytes += len(data)
            framing_bytes += connection.take_turn(data)
        if self._waiting:
            self._schedule()


class SmallReads(asyncio.BufferedProtocol):
    """Passes what arrives to a connection in parts of a size that the connection chooses.

    Args:
        connection: the connection, which reads ``bytes``.
        read_bytes: returns the largest size of the next part.
        buffer: receives each part; connections of one event loop may share it.
    """

    def __init__(
        self, connection: asyncio.Protocol, read_bytes: Callable[[], int], buffer: memoryview
    ) -> None:
        self.connection = connection
        self._read_bytes = read_bytes
        self._buffer = buffer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Passes the event on."""
        self.connection.connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Passes the event on."""
        self.connection.connection_lost(exc)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next part."""
        return self._buffer[: self._read_bytes()]

    def buffer_updated(self, nbytes: int) -> None:
        """Passes a part on."""
        self.connection.data_received(bytes(self._buffer[:nbytes]))

    def eof_received(self) -> bool | None:
        """Passes the event on."""
        return self.connection.eof_received()

    def pause_writing(self) -> None:
        """Passes the event on."""
        self.connection.pause_writing()

    def resume_writing(self) -> None:
        """Passes the event on."""
        self.connection.resume_writing()
