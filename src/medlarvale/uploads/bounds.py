"""The bounds of one port on what its callers hold of the process."""

from __future__ import annotations

import asyncio
from typing import Protocol

from medlarvale.logs import Event, log_warning
from medlarvale.uploads.body_budget import BodyBudget
from medlarvale.uploads.connection_table import DEFAULT_CONNECTIONS, ConnectionTable
from medlarvale.uploads.read_pacing import PacedConnection, ReadPacer

REPORT_MS = 1_000.0
# Most memory of the heads of a connection that is never closed for them.
SMALL_HEAD_BYTES = 16 * 1024
# Connections of monitoring: one balancer and a few collectors of metrics.
MONITORING_CONNECTIONS = 32


class BoundedConnection(PacedConnection, Protocol):
    """Connection that can be closed to make room."""

    def abort(self) -> None:
        """Closes the connection at once."""

    def __hash__(self) -> int: ...


class Uploads:
    """The bounds of one port.

    Args:
        budget: counts bodies of all ports.
        max_connections: bound on the connections of this port.
        pacer: shares the event loop among the connections of all ports; None for one of its own.
        small_head_bytes: memory of the heads of a connection up to which none is closed for them.

    Attributes:
        connections_closed: number of connections that were closed because of the bound.
        heads_refused: number of heads that were malformed, too large or stayed incomplete.
        head_bytes: memory of the heads that are counted.
    """

    def __init__(
        self,
        budget: BodyBudget,
        max_connections: int = DEFAULT_CONNECTIONS,
        pacer: ReadPacer | None = None,
        small_head_bytes: int = SMALL_HEAD_BYTES,
    ) -> None:
        self.budget = budget
        self.table: ConnectionTable[BoundedConnection] = ConnectionTable(max_connections)
        self.pacer = pacer or new_pacer()
        self.connections_closed = 0
        self.heads_refused = 0
        self._small_head_bytes = small_head_bytes
        self._closed_report = _Report()
        self._refused_report = _Report()
        # Memory of heads by connection, the one that has grown last at the end.
        self._heads: dict[BoundedConnection, int] = {}
        self.head_bytes = 0

    def hold_head(self, connection: BoundedConnection, size_bytes: int) -> None:
        """Counts the heads that a connection holds, complete or not, in place of those before.

        If heads take too much memory, connections that serve no request are closed.
        """
        self._release_head(connection)
        if size_bytes <= self._small_head_bytes:
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
            self._note_closed()
            victim.abort()

    def _release_head(self, connection: BoundedConnection) -> None:
        self.head_bytes -= self._heads.pop(connection, 0)

    def open(self, connection: BoundedConnection) -> None:
        """Counts a connection; closes another one if there are too many."""
        longest = self.table.open(connection)
        if longest is not None:
            self._note_closed()
            longest.abort()

    def close(self, connection: BoundedConnection) -> None:
        """Counts a connection no longer."""
        self._release_head(connection)
        self.table.close(connection)
        self.pacer.forget(connection)

    def _note_closed(self) -> None:
        self.connections_closed += 1
        if closed := self._closed_report.due(self.connections_closed, self.budget.now_ms()):
            log_warning(Event.CONNECTIONS_CLOSED, closed=closed, open=len(self.table))

    def note_head_refused(self, reason: str, size_bytes: int) -> None:
        """Counts a head that was refused.

        Args:
            reason: what is wrong with it.
            size_bytes: bytes of it that have arrived.
        """
        self.heads_refused += 1
        if refused := self._refused_report.due(self.heads_refused, self.budget.now_ms()):
            log_warning(Event.HEAD_REFUSED, reason=reason, size_bytes=size_bytes, refused=refused)

    def gauges(self) -> dict[str, float]:
        """Returns figures for the metrics."""
        return {
            "upload_bytes": self.budget.held_bytes,
            "uploads_dropped": self.budget.dropped,
            "caller_connections": len(self.table),
            "caller_connections_closed": self.connections_closed,
            "heads_refused": self.heads_refused,
            "caller_reads_waiting": self.pacer.waiting,
        }


def bounds_of_port(budget: BodyBudget, max_connections: int, pacer: ReadPacer) -> Uploads:
    """Returns the bounds of a port; its small heads together take no more than the bodies may."""
    small_head_bytes = min(SMALL_HEAD_BYTES, budget.limit_bytes // max_connections)
    return Uploads(budget, max_connections, pacer, small_head_bytes)


class _Report:
    """Limits the reports of a count to one in ``REPORT_MS``."""

    def __init__(self) -> None:
        self._reported, self._reported_ms = 0, -REPORT_MS

    def due(self, count: int, now_ms: float) -> int:
        """Returns by how much the count has grown since the last report; 0 if none is due."""
        if now_ms - self._reported_ms < REPORT_MS:
            return 0
        grown, self._reported, self._reported_ms = count - self._reported, count, now_ms
        return grown


def new_pacer() -> ReadPacer:
    """Returns a pacer for the connections of the running event loop."""
    return ReadPacer(lambda function: asyncio.get_running_loop().call_soon(function))
