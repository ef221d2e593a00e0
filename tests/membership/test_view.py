"""Guards against crashed hosts taken as live, live as crashed, and earlier incarnations as new."""

from __future__ import annotations

import unittest

from medlarvale.ids import (
    ConfigVersion,
    FailureDomain,
    HostId,
    HostIdentity,
    Incarnation,
    ListVersion,
)
from medlarvale.membership.messages import EntryHost, Heartbeat, HostList, HostState
from medlarvale.membership.view import HEARTBEAT_PERIOD_MS, MembershipView, PeerState

SELF = HostIdentity(HostId("a"), Incarnation(1))


def identity(name: str, incarnation: int = 1) -> HostIdentity:
    return HostIdentity(HostId(name), Incarnation(incarnation))


def beat(state: HostState = HostState.LIVE, list_version: int = 1) -> Heartbeat:
    return Heartbeat(Incarnation(1), state, ConfigVersion(1), ListVersion(list_version), [])


def host_list(version: int, names: str) -> HostList:
    hosts = [
        EntryHost(HostId(name), f"tcp://127.0.0.1:{ord(name)}", FailureDomain("d"))
        for name in names
    ]
    return HostList(ListVersion(version), hosts, [])


def running_view(names: str) -> MembershipView:
    view = MembershipView(SELF)
    view.state = HostState.LIVE
    view.learn_list(host_list(1, names))
    return view


class PeerStateTest(unittest.TestCase):
    def test_state_by_heartbeat_and_silence(self) -> None:
        cases = [
            (None, 0, PeerState.UNHEARD),
            (HostState.LIVE, 1_000, PeerState.LIVE),
            (HostState.LIVE, 1_001, PeerState.SUSPECT),
            (HostState.LEAVING, 10, PeerState.LEAVING),
            (HostState.JOINING, 10, PeerState.JOINING),
        ]
        for state, silence_ms, expected in cases:
            with self.subTest(state=state, silence_ms=silence_ms):
                view = running_view("ab")
                if state is not None:
                    view.learn_heartbeat(identity("b"), beat(state), 0.0)
                self.assertEqual(view.peer_state(HostId("b"), silence_ms), expected)
                live = expected is PeerState.LIVE
                self.assertEqual(HostId("b") in view.live_hosts(silence_ms), live)

    def test_earlier_incarnation_is_ignored(self) -> None:
        view = running_view("ab")
        self.assertTrue(view.learn_heartbeat(identity("b", 2), beat(), 0.0))
        self.assertFalse(view.learn_heartbeat(identity("b", 1), beat(), 900.0))
        self.assertEqual(view.peer_state(HostId("b"), 1_500.0), PeerState.SUSPECT)
        self.assertNotIn(identity("b", 1), view.answering_identities(500.0))

    def test_unlisted_host_that_answers_stays(self) -> None:
        view = running_view("ab")
        view.learn_heartbeat(identity("b"), beat(), 0.0)
        view.learn_list(host_list(2, "a"))
        view.tick(500.0)
        self.assertIn(HostId("b"), view.live_hosts(500.0))
        self.assertIn(HostId("b"), view.peer_addresses())

    def test_own_pause_does_not_make_peers_suspect(self) -> None:
        view = running_view("ab")
        view.learn_heartbeat(identity("b"), beat(), 0.0)
        view.tick(0.0)
        view.tick(20_000.0)
        self.assertEqual(view.peer_state(HostId("b"), 20_000.0), PeerState.LIVE)
        for step in range(1, 6):
            view.tick(20_000.0 + step * HEARTBEAT_PERIOD_MS)
        self.assertEqual(view.peer_state(HostId("b"), 21_250.0), PeerState.SUSPECT)

    def test_only_two_hosts_read_the_platform(self) -> None:
        names = "abcde"
        readers = []
        for name in names:
            view = MembershipView(identity(name))
            view.state = HostState.LIVE
            view.learn_list(host_list(1, names))
            for other in names:
                if other != name:
                    view.learn_heartbeat(identity(other), beat(), 0.0)
            if view.reads_platform("hosts", 0.0):
                readers.append(name)
        self.assertEqual(len(readers), 2)
        self.assertTrue(MembershipView(SELF).reads_platform("hosts", 0.0))


if __name__ == "__main__":
    unittest.main()
