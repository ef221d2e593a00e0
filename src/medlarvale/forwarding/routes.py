"""Selects the route of a request and the service of the route."""

from __future__ import annotations

import math
import random

from medlarvale.forwarding.messages import Route, RouteTable
from medlarvale.hashing import weight
from medlarvale.ids import RequestId, ServiceName

# Number of values of ``weight``.
HASH_VALUES = 1 << 64


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


def choose_stream_service(route: Route, attempt: RequestId) -> ServiceName:
    """Returns the service of a stream by the weights of the route.

    All hosts choose the same one for an attempt, whatever the order of the targets. If a weight
    changes, no more streams move than the new shares ask for.

    Args:
        route: the route.
        attempt: id of the attempt that begins the stream, or has begun it.
    """
    weighted = [target for target in route.targets if target.weight > 0.0]
    if not weighted:
        return route.targets[0].service

    def arrival(service: ServiceName, share: float) -> float:
        """Returns when a Poisson process with the rate of a share has its first event."""
        drawn = (weight(attempt, service) + 1) / (HASH_VALUES + 1)
        return -math.log(drawn) / share

    return min(weighted, key=lambda target: arrival(target.service, target.weight)).service
