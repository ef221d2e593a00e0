"""Guards against an older or invalid version that comes into force."""

from __future__ import annotations

import unittest

from medlarvale.ids import ConfigVersion
from medlarvale.settings.store import (
    NO_VERSION,
    REMEMBERED_REJECTIONS,
    Accepted,
    Ignored,
    Rejected,
    SettingsStore,
)
from tests.settings.trees import tree_text


class SettingsStoreTest(unittest.TestCase):
    def test_only_higher_valid_versions_come_into_force(self) -> None:
        offers = [
            # version, text, verdict, version in force afterwards, newest seen afterwards
            (5, tree_text(5), Accepted, 5, 5),
            (4, tree_text(4), Ignored, 5, 5),
            (5, tree_text(9), Ignored, 5, 5),
            (7, b"{}", Rejected, 5, 7),
            (7, b"{}", Ignored, 5, 7),
            (7, b"[]", Rejected, 5, 7),
            (6, tree_text(6), Accepted, 6, 7),
            (7, tree_text(7), Accepted, 7, 7),
        ]
        store = SettingsStore()
        self.assertEqual(store.version, NO_VERSION)
        for version, text, verdict, in_force, newest in offers:
            with self.subTest(version=version, text=text):
                self.assertIsInstance(store.offer(ConfigVersion(version), text), verdict)
                self.assertEqual((store.version, store.newest_seen), (in_force, newest))

    def test_latest_rejections_are_remembered_with_their_errors(self) -> None:
        store = SettingsStore()
        for version in range(REMEMBERED_REJECTIONS + 2):
            store.offer(ConfigVersion(version), b"{}")
        remembered = store.rejections
        self.assertEqual(
            [rejected.version for rejected in remembered], list(range(2, REMEMBERED_REJECTIONS + 2))
        )
        self.assertIn("services", {problem.path for problem in remembered[0].problems})
        self.assertIsNone(store.in_force)
