"""Which priorities the streams of a service have, from the routes and workspaces configured."""

from __future__ import annotations

from collections.abc import Callable

from medlarvale.forwarding.messages import ClientRequest, Route, RouteKind, RouteTable
from medlarvale.ids import ServiceName


def request_priority(request: ClientRequest, route: Route) -> int:
    """Returns the priority of a request: that of its workspace, else that of its route."""
    return route.priority if request.priority is None else request.priority


def stream_priorities(table: RouteTable, service: ServiceName) -> frozenset[int]:
    """Returns the priorities that streams of a service can have."""
    found: set[int] = set()
    for route in table.routes:
        if route.kind is not RouteKind.STREAM:
            continue
        if all(target.service != service for target in route.targets):
            continue
        if route.public or not table.workspaces:
            found.add(route.priority)
            continue
        for workspace in table.workspaces:
            found.add(route.priority if workspace.priority is None else workspace.priority)
    return frozenset(found)


class ConfiguredPriorities:
    """Priorities of the current configuration.

    Args:
        table: returns the configuration; None before the first.
    """

    def __init__(self, table: Callable[[], RouteTable | None] = lambda: None) -> None:
        self._table = table
        self._of: RouteTable | None = None
        self._known: dict[ServiceName, frozenset[int]] = {}

    def of(self, service: ServiceName) -> frozenset[int]:
        """Returns the priorities that streams of a service can have."""
        table = self._table()
        if table is None:
            return frozenset()
        if table is not self._of:
            self._of, self._known = table, {}
        if service not in self._known:
            self._known[service] = stream_priorities(table, service)
        return self._known[service]

    def distinguishes(self, service: ServiceName) -> bool:
        """Returns whether the streams of a service differ in priority or workspace."""
        table = self._table()
        return table is not None and (bool(table.workspaces) or len(self.of(service)) > 1)

    def at_engine(self, service: ServiceName, request: ClientRequest, route: Route) -> int | None:
        """Returns the priority of a stream that its engine is told; None if all have the same."""
        return request_priority(request, route) if len(self.of(service)) > 1 else None
