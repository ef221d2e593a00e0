"""Tests of the permits of a fingerprint's owner."""

import unittest

from medlarvale.ids import HostId, HostIdentity, Incarnation
from medlarvale.quarantine.messages import PermitId
from medlarvale.quarantine.permits import PERMIT_MS, PermitTable

ONE = HostIdentity(HostId("h1"), Incarnation(1))
TWO = HostIdentity(HostId("h2"), Incarnation(1))
P1, P2 = PermitId(7, 1), PermitId(7, 2)


class PermitTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = PermitTable(-PERMIT_MS)

    def test_one_copy_at_a_time(self) -> None:
        # A duplicated release of an earlier copy must not free the present copy's permit.
        self.assertTrue(self.table.acquire(P1, ONE, 0))
        self.assertTrue(self.table.acquire(P1, ONE, 0))
        self.assertFalse(self.table.acquire(P1, TWO, 0))
        self.table.release(P1, ONE)
        self.assertTrue(self.table.acquire(P2, ONE, 0))
        self.table.release(P1, ONE)
        self.assertFalse(self.table.acquire(P1, TWO, 0))

    def test_permit_ends_without_renewal(self) -> None:
        # A dead holder must not block repeats for ever.
        self.table.acquire(P1, ONE, 0)
        self.table.renew(P1, ONE, 1_000)
        self.assertFalse(self.table.acquire(P1, TWO, 1_000 + PERMIT_MS - 1))
        self.assertTrue(self.table.acquire(P1, TWO, 1_000 + PERMIT_MS))

    def test_new_owner_learns_of_running_copies_first(self) -> None:
        # A new owner that granted at once would run a second copy beside the holder's.
        self.table.unsettle(0)
        self.assertFalse(self.table.acquire(P2, TWO, 0))
        self.table.renew(P1, ONE, 500)
        self.assertFalse(self.table.acquire(P2, TWO, PERMIT_MS))
        self.table.release(P1, ONE)
        self.assertTrue(self.table.acquire(P2, TWO, PERMIT_MS))
