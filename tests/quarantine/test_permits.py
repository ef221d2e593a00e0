"""Tests of the permits that the owner of a fingerprint grants."""

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

    def test_second_copy_gets_no_permit(self) -> None:
        # A duplicated release of an earlier copy must not release the present copy's permit.
        self.assertTrue(self.table.acquire(P1, ONE, 0))
        self.assertTrue(self.table.acquire(P1, ONE, 0))
        self.assertFalse(self.table.acquire(P1, TWO, 0))
        self.table.release(P1, ONE)
        self.assertTrue(self.table.acquire(P2, ONE, 0))
        self.table.release(P1, ONE)
        self.assertFalse(self.table.acquire(P1, TWO, 0))

    def test_permit_expires_without_renewal(self) -> None:
        # A crashed holder must not block repeats of the request forever.
        self.table.acquire(P1, ONE, 0)
        self.table.renew(P1, ONE, 1_000)
        self.assertFalse(self.table.acquire(P1, TWO, 1_000 + PERMIT_MS - 1))
        self.assertTrue(self.table.acquire(P1, TWO, 1_000 + PERMIT_MS))

    def test_new_owner_waits_for_renewals_before_it_grants(self) -> None:
        # A new owner that grants at once would let a second copy run next to the holder's.
        self.table.suspend_grants(0)
        self.assertFalse(self.table.acquire(P2, TWO, 0))
        self.table.renew(P1, ONE, 500)
        self.assertFalse(self.table.acquire(P2, TWO, PERMIT_MS))
        self.table.release(P1, ONE)
        self.assertTrue(self.table.acquire(P2, TWO, PERMIT_MS))
