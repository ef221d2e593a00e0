"""Tests of the requests that a host owns."""

import unittest
from collections.abc import Callable
from unittest import mock

from medlarvale.ids import AttemptNumber, HostId, RequestId
from medlarvale.scheduling.messages import attempt_digest
from medlarvale.scheduling.owned import OwnedRequests
from tests.scheduling.builders import SERVICE


class OwnedRequestsTest(unittest.TestCase):
    def test_shared_digest_keeps_the_served_request(self) -> None:
        """Guards against a reservation that ends with another one that has the same digest."""
        scheduler_host = HostId("scheduler")
        owned = OwnedRequests()
        with mock.patch("medlarvale.scheduling.owned.attempt_digest", return_value=7):
            for name in ("r1", "r2"):
                owned.add(RequestId(name), AttemptNumber(1), SERVICE)
                owned.set_scheduler_host(RequestId(name), scheduler_host)
        owned.remove(RequestId("r1"))
        self.assertEqual(owned.ended_digests(scheduler_host, [7, 8]), [8])
        self.assertEqual(owned.ended_digests(HostId("other"), [7]), [7])
        owned.remove(RequestId("r2"))
        self.assertEqual(owned.ended_digests(scheduler_host, [7]), [7])

    def test_reservation_that_is_not_used_is_reported_as_ended(self) -> None:
        """Guards against a slot held for an attempt that its owner no longer runs there.

        The owner still knows the request in fallback, under another scheduler and in a restart.
        """
        scheduler_host, other_host = HostId("scheduler"), HostId("other")
        request, first, second = RequestId("r1"), AttemptNumber(1), AttemptNumber(2)
        table: list[tuple[str, Callable[[OwnedRequests], None], bool]] = [
            ("served", lambda owned: None, False),
            ("removed", lambda owned: owned.remove(request), True),
            ("ended", lambda owned: owned.end(request, first), True),
            ("fallback", lambda owned: owned.set_scheduler_host(request, None), True),
            ("moved", lambda owned: owned.set_scheduler_host(request, other_host), True),
            ("restarted", lambda owned: owned.add(request, second, SERVICE), True),
            ("other ended", lambda owned: owned.remove(RequestId("r2")), False),
            (
                "placed again",
                lambda owned: owned.set_scheduler_host(request, scheduler_host),
                False,
            ),
        ]
        digest = attempt_digest(request, first)
        for name, change, ended in table:
            with self.subTest(name):
                owned = OwnedRequests()
                for added in (request, RequestId("r2")):
                    owned.add(added, first, SERVICE)
                    owned.set_scheduler_host(added, scheduler_host)
                change(owned)
                found = owned.ended_digests(scheduler_host, [digest])
                self.assertEqual(found, [digest] if ended else [])
