"""Guards against an outdated docs/settings.md after a change of the schema."""

from __future__ import annotations

import unittest

from scripts.settings_reference import PAGE, render_page


class SettingsReferenceTest(unittest.TestCase):
    def test_page_matches_the_schema(self) -> None:
        self.assertEqual(PAGE.read_text(), render_page())
