"""Tests that hosts together keep the limits that servers name, without I/O."""

from __future__ import annotations

import bisect
import math
import unittest

from medlarvale.forwarding.server_limits import (
    EXPIRE_MS,
    SHARING_HOSTS,
    NamedLimit,
    ServerLimits,
)
from medlarvale.ids import FailureDomain, HostId, ServerId
from tests.forwarding.fakes import APP, make_server

SERVER = make_server("s1", service=APP, domain="b")
NAME = SERVER.server
# The rule allows one and a half times what the limit allows in 4 s, and 5 requests.
WINDOW_MS = 4_000.0
ALLOWED_SHARE, ALLOWED_REQUESTS = 1.5, 5
DOMAINS = "abc"
STEP_MS = 20.0
SENDS_MS = 24_000.0


def make_fleet(count: int) -> list[ServerLimits]:
    """Returns the limits of hosts that know each other, spread over failure domains."""
    domains = {
        HostId(f"h{number}"): FailureDomain(DOMAINS[number % len(DOMAINS)])
        for number in range(count)
    }
    fleet = []
    for host, domain in domains.items():
        limits = ServerLimits(host, domain)
        others = {other: at for other, at in domains.items() if other != host}
        limits.share_with(lambda others=others: others)  # type: ignore[misc]
        fleet.append(limits)
    return fleet


def send(limits: ServerLimits, now_ms: float) -> bool:
    """Sends a request if the limit admits it."""
    if limits.wait_ms(SERVER, now_ms):
        return False
    limits.take(SERVER)
    return True


def most_in_window(sent_ms: list[float]) -> int:
    return max(
        bisect.bisect_left(sent_ms, at + WINDOW_MS) - number for number, at in enumerate(sent_ms)
    )


class ServerLimitsTest(unittest.TestCase):
    def test_hosts_together_send_what_a_server_takes(self) -> None:
        """Guards against hosts that each keep the limit alone, against many hosts that send their
        first request at the same time, and against a server that gets nothing."""
        for hosts in (1, 2, 5, 34, 78):
            for limit_per_s in (0.0, 0.3, 1.3, 8.0, 60.0):
                # Callers come all the time, or all at once after pauses.
                for busy_ms, idle_ms in ((1, 0.0), (1_000, 9_000.0)):
                    with self.subTest(hosts=hosts, limit_per_s=limit_per_s, idle_ms=idle_ms):
                        fleet = make_fleet(hosts)
                        for limits in fleet:
                            limits.note(NAME, limit_per_s, 0.0)
                        sent_ms: list[float] = []
                        now_ms = 0.0
                        while now_ms < SENDS_MS:
                            if now_ms % (busy_ms + idle_ms) < busy_ms:
                                for limits in fleet:
                                    while send(limits, now_ms):
                                        sent_ms.append(now_ms)
                            now_ms += STEP_MS
                        allowed = ALLOWED_SHARE * limit_per_s * WINDOW_MS / 1000.0
                        if sent_ms:
                            self.assertLessEqual(
                                most_in_window(sent_ms), allowed + ALLOWED_REQUESTS
                            )
                        if not idle_ms:
                            # Each host that shares the limit may be saving for its next request.
                            earned = SENDS_MS / 1000.0 * limit_per_s
                            saving = max(SHARING_HOSTS, math.ceil(limit_per_s))
                            self.assertGreaterEqual(len(sent_ms), math.floor(earned) - saving)

    def test_a_limit_holds_as_long_as_the_server_names_it(self) -> None:
        """Guards against a limit that outlives the trouble, at the host that got the answer and at
        those that got none, and against old news that lift or restore a limit."""
        told, other = make_fleet(2)
        told.note(NAME, 0.5, 0.0)
        other.merge(NAME, told.to_announce(100.0)[NAME], 100.0)
        self.assertGreater(other.wait_ms(SERVER, 100.0), 0.0)
        old = told.to_announce(200.0)[NAME]
        told.note(NAME, None, 300.0)
        self.assertEqual(told.wait_ms(SERVER, 300.0), 0.0)
        other.merge(NAME, told.to_announce(400.0)[NAME], 400.0)
        self.assertEqual(other.wait_ms(SERVER, 400.0), 0.0)
        # A message about the answer at 0 ms arrives late.
        late = NamedLimit(old.limit_per_s, old.age_ms + 300.0)
        other.merge(NAME, late, 500.0)
        self.assertEqual(other.wait_ms(SERVER, 500.0), 0.0)

    def test_old_limits_expire(self) -> None:
        """Guards against a limit that no host can find to have ended, because none may send."""
        limits = make_fleet(1)[0]
        limits.note(NAME, 0.0, 0.0)
        self.assertGreater(limits.wait_ms(SERVER, EXPIRE_MS - 1.0), 0.0)
        self.assertEqual(limits.wait_ms(SERVER, EXPIRE_MS), 0.0)
        self.assertEqual(limits.to_announce(EXPIRE_MS), {})
        limits.merge(NAME, NamedLimit(0.0, EXPIRE_MS), EXPIRE_MS)
        self.assertEqual(limits.to_announce(EXPIRE_MS), {})

    def test_servers_without_a_limit_are_not_remembered(self) -> None:
        limits = make_fleet(1)[0]
        limits.note(ServerId("calm"), None, 0.0)
        self.assertEqual(limits.to_announce(0.0), {})
        limits.note(NAME, 2.0, 0.0)
        limits.forget(NAME)
        self.assertEqual((limits.to_announce(0.0), limits.wait_ms(SERVER, 0.0)), ({}, 0.0))

    def test_hosts_near_a_server_share_its_limit(self) -> None:
        """Guards against calls over the network between failure domains to a limited server while
        hosts beside it may not use it."""
        fleet = make_fleet(30)
        for limits in fleet:
            limits.note(NAME, 1.0, 0.0)
        near = [
            number for number, limits in enumerate(fleet) if limits.wait_ms(SERVER, 1.0) < math.inf
        ]
        self.assertEqual(len(near), 4)
        self.assertTrue(all(DOMAINS[number % len(DOMAINS)] == "b" for number in near))


if __name__ == "__main__":
    unittest.main()
