"""The bounds of one port on what its callers hold of the process."""

from __future__ import annotations

from typing import Protocol

from medlarvale.logs import Event, log_warning
from medlarvale.uploads.body_budget import BodyBudget
from medlarvale.uploads.connection_table import DEFAULT_CONNECTIONS, ConnectionTable

REPORT_MS = 1_000.0
# Memory of a head up to which it is not counted: those of 1,078 connections take 17 MB.
SMALL_HEAD_BYTES = 16 * 1024


class BoundedConnection(Protocol):
    """Connection that can be closed to make room."""

    def abort(self) -> None:
        """Closes the connection at once."""

    def __hash__(self) -> int: ...


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
        self.table: ConnectionTable[BoundedConnection] = ConnectionTable(max_connections)
        self.connections_closed = 0
        self.heads_refused = 0
        self._reported, self._reported_ms = 0, -REPORT_MS
        # Memory of large heads by connection, the oldest first.
        self._heads: dict[BoundedConnection, int] = {}
        self.head_bytes = 0

    def hold_head(self, connection: BoundedConnection, size_bytes: int) -> None:
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

    def _release_head(self, connection: BoundedConnection) -> None:
        self.head_bytes -= self._heads.pop(connection, 0)

    def open(self, connection: BoundedConnection) -> None:
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

    def close(self, connection: BoundedConnection) -> None:
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
