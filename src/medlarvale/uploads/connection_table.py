"""Decides, without I/O, which connections are closed beyond a bound."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

# Descriptors for files, of those that a process may have.
FILE_DESCRIPTORS = 200
# Share of the other descriptors for connections to backend servers, peers and the store.
BACKEND_SHARE = 0.25
# Bound without a known number of descriptors.
DEFAULT_CONNECTIONS = 20_000

_KeyT = TypeVar("_KeyT", bound=Hashable)


def max_caller_connections(max_descriptors: int | None) -> int:
    """Returns the bound on callers' connections.

    Args:
        max_descriptors: most descriptors of the process; None if unknown.
    """
    if max_descriptors is None:
        return DEFAULT_CONNECTIONS
    return max(1, int((1.0 - BACKEND_SHARE) * (max_descriptors - FILE_DESCRIPTORS)))


class ConnectionTable(Generic[_KeyT]):
    """The open connections, and which of them serve a request.

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
