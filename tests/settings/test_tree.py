"""Guards against a value that is resolved from the wrong branch."""

from __future__ import annotations

import json
import unittest

from medlarvale.settings.check import check_text
from medlarvale.settings.errors import UnknownBranchError, UnknownKeyError
from medlarvale.settings.tree import TreeResolver, parse_branch, setting_at
from tests.settings.trees import SMALL_TREE

TREE = check_text(json.dumps(SMALL_TREE).encode())


class TreeTest(unittest.TestCase):
    def test_lowest_branch_that_sets_a_value_wins(self) -> None:
        cases = [
            ("", "drain_ms", 1_000, "fleet"),
            ("west", "drain_ms", 2_000, "region west"),
            ("west/w1", "drain_ms", 3_000, "failure domain west/w1"),
            ("west/w1/chat", "drain_ms", 4_000, "service west/w1/chat"),
            ("west/w1/chat/decode", "drain_ms", 5_000, "pool west/w1/chat/decode"),
            ("west/w1/chat/prefill", "drain_ms", 4_000, "service west/w1/chat"),
            ("west/w1/desk/desk", "drain_ms", 3_000, "failure domain west/w1"),
            ("west/w1/chat/decode", "kv_ttl_ms", 700, "service west/w1/chat"),
            ("west/w1/chat/decode", "crash_limit", 2, "fleet"),
            ("west/w1/chat/decode", "max_restarts", 2, "built-in default"),
            ("/west/", "checks_fencing", False, "built-in default"),
        ]
        resolver = TreeResolver(TREE)
        for path, key, value, origin in cases:
            with self.subTest(path=path, key=key):
                branch = parse_branch(path)
                setting = setting_at(TREE, branch, key)
                self.assertEqual((setting.value, setting.origin), (value, origin))
                self.assertEqual(getattr(resolver.values_at(branch), key), value)

    def test_unknown_branches_and_keys_raise(self) -> None:
        for path in ("east", "west/w2", "west/w1/x", "west/w1/chat/x", "a/b/c/d/e", "west//chat"):
            with self.subTest(path=path), self.assertRaises(UnknownBranchError):
                setting_at(TREE, parse_branch(path), "drain_ms")
        with self.assertRaises(UnknownKeyError):
            setting_at(TREE, parse_branch(""), "drain")
