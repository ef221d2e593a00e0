"""The platform stand-in as a process."""

from __future__ import annotations

import json
import subprocess
import sys
import unittest
import urllib.request
from pathlib import Path

EXAMPLE = Path(__file__).resolve().parents[2] / "examples" / "glatfore.yaml"


class PlatformCommandTest(unittest.TestCase):
    def test_serves_a_tree_until_sigterm(self) -> None:
        """Guards against a stand-in process that does not serve or does not stop."""
        command = [sys.executable, "-m", "medlarvale", "standin", "platform", "--tree"]
        process = subprocess.Popen([*command, str(EXAMPLE)], stdout=subprocess.PIPE, text=True)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        assert process.stdout is not None
        self.addCleanup(process.stdout.close)
        address = json.loads(process.stdout.readline())["address"]
        with urllib.request.urlopen(f"{address}/config", timeout=10) as response:
            answer = json.load(response)
        self.assertEqual(answer["version"], 1)
        self.assertIn("slidsk-llm", answer["tree"]["services"])
        process.terminate()
        self.assertEqual(process.wait(timeout=10), 0)
