"""Guards against invalid trees that are accepted and faults that are not reported."""

from __future__ import annotations

import json
import unittest
from pathlib import Path
from typing import Any

from medlarvale.settings.check import MAX_TREE_BYTES, check_text
from medlarvale.settings.errors import Problem, SettingsRejectedError
from tests.settings.trees import SMALL_TREE, small_tree_with

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"


def problems_of(tree: Any) -> list[Problem]:
    """Returns the problems found in a tree."""
    try:
        check_text(json.dumps(tree).encode())
    except SettingsRejectedError as error:
        return list(error.problems)
    return []


class CheckTextTest(unittest.TestCase):
    def test_each_fault_is_reported_at_its_path(self) -> None:
        west = "regions/west/failure_domains"
        cases: list[tuple[str, Any, str, str]] = [
            # path, value set there, path of the problem, part of the expected text
            ("values/drain_ms", "5s", "values/drain_ms", "integer (in milliseconds)"),
            ("values/drain_ms", 1.5, "values/drain_ms", "integer"),
            ("values/drain_ms", True, "values/drain_ms", "integer"),
            ("values/drain_ms", 0, "values/drain_ms", "greater than 0"),
            ("values/drain_s", 5, "values/drain_s", "drain_ms (in milliseconds)"),
            ("values/drain", 5, "values/drain", "drain_ms (in milliseconds)"),
            ("values/zzz", 5, "values/zzz", "one of the keys ttft_target_ms"),
            ("services/chat/kind", "modell", "services/chat/kind", "'model' or 'plain'"),
            ("services/chat/pools", {}, "services/chat/pools", "role prefill"),
            ("services/chat/model", None, "services/chat/model", "name of the model"),
            ("services/desk/model", "m", "services/desk/model", "no model"),
            ("services/chat/retry_policy", "lookups", "services/chat/retry_policy", "no retry"),
            ("services/desk/retry_policy", None, "services/desk/retry_policy", "retry policy"),
            ("services/desk/retry_policy", "x", "services/desk/retry_policy", "(lookups)"),
            (
                "services/desk/pools/desk/role",
                "decode",
                "services/desk/pools/desk/role",
                "plain for a service of kind plain",
            ),
            ("services/two", SMALL_TREE["services"]["chat"], "services/two/model", "does not use"),
            ("workspaces/one/services", ["x"], "workspaces/one/services/0", "(chat, desk)"),
            ("workspaces/one/weight", 0, "workspaces/one/weight", "greater than or equal to 1"),
            ("workspaces/A", {"services": []}, "workspaces/A", "matches"),
            (
                "workspaces/two",
                SMALL_TREE["workspaces"]["one"],
                "workspaces/two/api_key_sha256/0",
                "other than that of workspaces/one",
            ),
            (f"{west}/w1/services/x", {}, f"{west}/w1/services/x", "(chat, desk)"),
            (
                f"{west}/w1/services/chat/pools/x",
                {},
                f"{west}/w1/services/chat/pools/x",
                "declared pool of chat",
            ),
            (
                "regions/east",
                SMALL_TREE["regions"]["west"],
                "regions/east/failure_domains/w1",
                "not used in region west",
            ),
        ]
        for place, value, path, expected in cases:
            with self.subTest(place=place, value=value):
                found = problems_of(small_tree_with(place, value))
                matching = [
                    problem
                    for problem in found
                    if problem.path == path and expected in problem.expected
                ]
                self.assertTrue(matching, found)

    def test_all_faults_are_reported_at_once(self) -> None:
        text = b"values: {drain: 1}\nservices: {a: {kind: plain, pools: {}}}\nvalues: {zz: 2}\n"
        with self.assertRaises(SettingsRejectedError) as caught:
            check_text(text)
        self.assertLessEqual(
            {"values", "values/zz", "services/a/pools", "services/a/retry_policy", "regions"},
            {problem.path for problem in caught.exception.problems},
        )

    def test_wrong_types_are_reported_as_problems(self) -> None:
        wrong_shapes: list[Any] = [None, 3, "x", [], [[]], {"services": []}, {"services": {"a": 1}}]
        for path in ("services", "workspaces", "regions", "services/chat/pools", "regions/west"):
            for shape in (None, 3, [1], {"a": None}, {"a": [2]}):
                wrong_shapes.append(small_tree_with(path, shape))
        for depth in (100, 300, 900):
            wrong_shapes.append(json.loads("[" * depth + "]" * depth))
        for tree in wrong_shapes:
            with self.subTest(tree=str(tree)[:60]):
                self.assertTrue(problems_of(tree))

    def test_tree_above_size_limit_is_rejected(self) -> None:
        text = json.dumps(SMALL_TREE).encode()
        padding = b" " * (MAX_TREE_BYTES - len(text))
        self.assertIn("chat", check_text(text + padding).services)
        with self.assertRaises(SettingsRejectedError):
            check_text(text + padding + b" ")

    def test_examples_are_valid(self) -> None:
        expected = {"glatfore.yaml": (5, 3), "ventilo-breizh.yaml": (6, 4)}
        for name, sizes in expected.items():
            with self.subTest(name=name):
                tree = check_text((EXAMPLES / name).read_bytes())
                workers = {"model": 0, "plain": 0}
                for region in tree.regions.values():
                    for domain in region.failure_domains.values():
                        for service, branch in domain.services.items():
                            kind = tree.services[service].kind.value
                            workers[kind] += sum(p.workers or 0 for p in branch.pools.values())
                self.assertEqual((workers["model"], workers["plain"]), sizes)
