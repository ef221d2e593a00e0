"""Guards against an invalid file that passes the check on the command line."""

from __future__ import annotations

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from medlarvale.cli import main
from tests.settings.trees import SMALL_TREE


def run(*arguments: str) -> tuple[int, str, str]:
    """Returns exit status, standard output and standard error of the program."""
    output, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        status = main(arguments)
    return status, output.getvalue(), errors.getvalue()


class CommandsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.good, self.bad = Path(folder.name, "good"), Path(folder.name, "bad")
        self.good.write_text(json.dumps(SMALL_TREE))
        self.bad.write_text("services: {a: {kind: x, pools: {}}}\nbogus: 1\n")

    def test_check_prints_all_errors(self) -> None:
        self.assertEqual(run("check", str(self.good))[0], 0)
        status, _, errors = run("check", str(self.bad))
        self.assertEqual(status, 2)
        for path in ("services/a/kind", "bogus", "workspaces", "regions"):
            self.assertIn(f"{path}: expected", errors)
        self.assertEqual(run("check", str(self.good) + "-missing")[0], 2)

    def test_explain_prints_values_and_their_branches(self) -> None:
        at = ("explain", str(self.good), "--at", "west/w1/chat/decode")
        self.assertEqual(
            run(*at, "--key", "drain_ms")[:2],
            (0, "drain_ms = 5000  (set by pool west/w1/chat/decode)\n"),
        )
        self.assertIn("crash_limit = 2  (set by fleet)\n", run(*at)[1])
        self.assertEqual(run(*at, "--key", "zz")[0], 2)
        self.assertEqual(run("explain", str(self.good), "--at", "east")[0], 2)
