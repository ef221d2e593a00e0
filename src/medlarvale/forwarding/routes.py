"""Selects the route of a request and the service of the route."""

from __future__ import annotations

import random

from medlarvale.forwarding.messages import Route, RouteTable
from medlarvale.ids import ServiceName


class RouteIndex:
    """Index of the routes of one configuration by host name, longest path prefix first."""

    def __init__(self, table: RouteTable) -> None:
        self.table = table
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(table.routes, key=lambda route: -len(route.path_prefix)):
            self._by_host.setdefault(route.host, []).append(route)

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path; None if there is none.

        Args:
            host: value of the ``Host`` header; a port is ignored.
            path: path and query as received.
        """
        only_path = path.partition("?")[0]
        for route in self._by_host.get(host.partition(":")[0].lower(), ()):
            if only_path.startswith(route.path_prefix):
                return route
        return None


def choose_service(route: Route, rng: random.Random) -> ServiceName:
    """Returns a random service by the weights of the route."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    if sum(weights) <= 0:
        return route.targets[0].service
    return rng.choices(route.targets, weights)[0].service
