"""Tests of decisions on new versions that the simulated cell meets only seldom."""

from __future__ import annotations

import unittest

from medlarvale.ids import ConfigVersion, HostId
from medlarvale.settings.propagation import Check, QueryPeer, VersionPropagation
from medlarvale.settings.source import SourceAnswer
from medlarvale.settings.store import SettingsStore, check_version
from tests.settings.trees import tree_text

OWN, PEER = HostId("h1"), HostId("h2")
VALID = SourceAnswer(ConfigVersion(23), tree_text(23))
INVALID = SourceAnswer(ConfigVersion(24), b"invalid")
STEP_MS = 100.0
STARTED_MS = 3_000.0


class StartupTest(unittest.TestCase):
    def test_a_rejected_version_does_not_hide_the_one_that_peers_run(self) -> None:
        """Guards against a host that starts while the newest version is invalid, and serves nothing
        although its peers run the version before."""
        propagation = VersionPropagation(OWN, SettingsStore(), 0.0)
        propagation.set_live_hosts([OWN, PEER])
        propagation.record_peer_version(PEER, VALID.version)
        asked, checked = 0, list[ConfigVersion]()
        now_ms = 0.0
        while now_ms < STARTED_MS and VALID.version not in checked:
            now_ms += STEP_MS
            # The service answers each read at once; the peer's answers take longer.
            propagation.read_answered(INVALID, now_ms)
            for action in propagation.actions(now_ms, int(now_ms)):
                if isinstance(action, Check):
                    checked.append(action.answer.version)
                    verdict = check_version(action.answer.version, action.answer.text)
                    propagation.check_finished(verdict)
                if isinstance(action, QueryPeer):
                    asked += 1
            if asked:
                propagation.read_answered(INVALID, now_ms)
                propagation.peer_answered(PEER, VALID, now_ms)
                asked = 0
        self.assertEqual(checked, [INVALID.version, VALID.version])


if __name__ == "__main__":
    unittest.main()
