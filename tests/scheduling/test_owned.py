"""Tests of the requests that a host owns."""

import unittest
from unittest import mock

from medlarvale.ids import AttemptNumber, HostId, RequestId
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
