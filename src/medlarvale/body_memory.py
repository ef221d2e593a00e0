"""Bounds the memory of all response bodies that are being read at the same time."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from medlarvale.logs import Event, log_warning

# Share of the memory of a process that bodies may take; the rest is for connections, requests and
# the program itself.
MEMORY_SHARE = 0.125
# Limit without a known memory of the process.
DEFAULT_LIMIT_BYTES = 32 * 1024 * 1024


class BodyInProgress:
    """A body of which a part has been read.

    Attributes:
        size_bytes: bytes of it that are in memory.
        dropped: whether its connection was closed to make room for others.
    """

    def __init__(self, memory: BodyMemory, close: Callable[[], None]) -> None:
        self._memory = memory
        self._close = close
        self.size_bytes = 0
        self.dropped = False

    def add(self, size_bytes: int) -> None:
        """Counts a part that was read; drops the largest bodies if there is no room for it."""
        self.size_bytes += size_bytes
        self._memory.make_room()

    def drop(self) -> None:
        """Closes the connection; the reader gives up what it has read."""
        self.dropped = True
        self._close()


class BodyMemory:
    """The bodies that are being read by one kind of client.

    Args:
        limit_bytes: most bytes that they may take together.
    """

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._reading: set[BodyInProgress] = set()

    @contextmanager
    def reading(self, close: Callable[[], None]) -> Iterator[BodyInProgress]:
        """Counts a body until the end of the block.

        Args:
            close: closes its connection.
        """
        body = BodyInProgress(self, close)
        self._reading.add(body)
        try:
            yield body
        finally:
            self._reading.discard(body)

    def make_room(self) -> None:
        """Drops the largest bodies until the others are within the limit."""
        size_bytes = sum(body.size_bytes for body in self._reading)
        while size_bytes > self._limit_bytes:
            largest = max(self._reading, key=lambda body: body.size_bytes)
            self._reading.discard(largest)
            size_bytes -= largest.size_bytes
            log_warning(Event.BODY_DROPPED, size_bytes=largest.size_bytes)
            largest.drop()


def limit_of_process(memory_bytes: int | None) -> int:
    """Returns the limit for a process.

    Args:
        memory_bytes: memory of the process; None if it is unknown.
    """
    return DEFAULT_LIMIT_BYTES if memory_bytes is None else int(MEMORY_SHARE * memory_bytes)
