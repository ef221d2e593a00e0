"""Tests of the application as one file."""

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from scripts.build_zipapp import REPOSITORY, build


class ZipApplicationTest(unittest.TestCase):
    def test_runs_without_installed_libraries(self) -> None:
        """Guards against an application file that lacks a library or needs installed libraries."""
        with tempfile.TemporaryDirectory() as folder:
            target = Path(folder) / "medlarvale.pyz"
            digest = build(target)
            self.assertEqual(digest, build(target), "the same content gives the same file")
            for tree, status in [("examples/glatfore.yaml", 0), ("pyproject.toml", 2)]:
                with self.subTest(tree=tree):
                    # -I and -S keep every installed library out of the import path.
                    command = [sys.executable, "-I", "-S", str(target), "check"]
                    finished = subprocess.run(
                        [*command, str(REPOSITORY / tree)],
                        capture_output=True,
                        timeout=60,
                        check=False,
                    )
                    self.assertEqual(finished.returncode, status, finished.stderr.decode())


if __name__ == "__main__":
    unittest.main()
