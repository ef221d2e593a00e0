"""Tests of the bound on the heads that connections hold, without a network."""

from __future__ import annotations

import unittest
from typing import cast

from medlarvale.uploads.body_budget import BodyBudget
from medlarvale.uploads.bounds import SMALL_HEAD_BYTES, Uploads
from medlarvale.uploads.connections import CallerConnection

LARGE_BYTES = 4 * SMALL_HEAD_BYTES
ROOM_FOR = 3


class _Connection:
    """Records whether it was closed."""

    closed = False

    def abort(self) -> None:
        self.closed = True


class HeldHeadsTest(unittest.TestCase):
    def test_which_connections_give_way(self) -> None:
        """Guards against a thousand idle connections that each keep a large head in memory, and
        against closing one whose request is served."""
        # Size of each head in order, connections that serve a request, and those that are closed.
        cases: dict[str, tuple[list[int], list[int], list[int]]] = {
            "small heads are not counted": ([SMALL_HEAD_BYTES] * 20, [], []),
            "large ones that fit": ([LARGE_BYTES] * ROOM_FOR, [], []),
            "the oldest": ([LARGE_BYTES] * (ROOM_FOR + 2), [], [0, 1]),
            "none that is served": ([LARGE_BYTES] * (ROOM_FOR + 1), [0], [1]),
            "the new one, if all are served": ([LARGE_BYTES] * (ROOM_FOR + 1), [0, 1, 2], [3]),
        }
        for name, (sizes, serving, closed) in cases.items():
            with self.subTest(name):
                uploads = Uploads(BodyBudget(ROOM_FOR * LARGE_BYTES, lambda: 0.0))
                connections = [_Connection() for _ in sizes]
                for number, (connection, size_bytes) in enumerate(
                    zip(connections, sizes, strict=True)
                ):
                    key = cast(CallerConnection, connection)
                    uploads.table.open(key)
                    if number in serving:
                        uploads.table.begin(key)
                    uploads.hold_head(key, size_bytes)
                found = [number for number, each in enumerate(connections) if each.closed]
                self.assertEqual(found, closed)

    def test_closed_connections_hold_nothing(self) -> None:
        """Guards against a count that grows until every connection is refused."""
        uploads = Uploads(BodyBudget(ROOM_FOR * LARGE_BYTES, lambda: 0.0))
        for _ in range(100):
            key = cast(CallerConnection, _Connection())
            uploads.hold_head(key, LARGE_BYTES)
            uploads.hold_head(key, LARGE_BYTES)
            uploads.close(key)
        self.assertEqual((uploads.head_bytes, uploads.connections_closed), (0, 0))
