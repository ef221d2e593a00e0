"""Tests of the selection of routes and services."""

import random
import unittest
from collections import Counter

from medlarvale.forwarding.messages import Target
from medlarvale.forwarding.routes import RouteIndex, choose_service
from medlarvale.ids import ServiceName
from tests.forwarding.fakes import make_route, make_table


class RouteIndexTest(unittest.TestCase):
    def test_the_longest_prefix_of_the_host_matches(self) -> None:
        index = RouteIndex(
            make_table(
                make_route("short", path_prefix="/a/"),
                make_route("long", path_prefix="/a/b/"),
                make_route("other", host="other.example", path_prefix="/a/b/c/"),
            )
        )
        table = [
            ("callers.example", "/a/x", "short"),
            ("callers.example", "/a/b/x", "long"),
            ("CALLERS.example:80", "/a/b/c/x?q=/a/", "long"),
            ("other.example", "/a/b/c/", "other"),
            ("callers.example", "/b/", None),
            ("callers.example", "/a", None),
            ("unknown.example", "/a/", None),
            ("callers.example", "/?p=/a/", None),
        ]
        for host, path, expected in table:
            with self.subTest(host=host, path=path):
                route = index.find(host, path)
                self.assertEqual(route.name if route else None, expected)

    def test_services_are_selected_by_weight(self) -> None:
        route = make_route(targets=(Target(ServiceName("x"), 90.0), Target(ServiceName("y"), 10.0)))
        drawn = Counter(choose_service(route, random.Random(seed)) for seed in range(1_000))
        self.assertAlmostEqual(drawn[ServiceName("x")] / 1_000, 0.9, delta=0.04)
