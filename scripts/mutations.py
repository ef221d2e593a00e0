"""Breaks the code in known ways, one at a time, and shows that a test turns red for each.

Each mutation of scripts/mutations.yaml is applied to a copy of the tree.
"""

from __future__ import annotations

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec

REPOSITORY = Path(__file__).resolve().parent.parent
TIMEOUT_S = 600


class Mutation(msgspec.Struct, forbid_unknown_fields=True):
    """One way to break the code.

    Attributes:
        name: what the mutation removes.
        file: path below the repository.
        old: text that occurs exactly once in the file.
        new: its replacement.
        tests: file name pattern of the tests that have to turn red.
    """

    name: str
    file: str
    old: str
    new: str
    tests: str


class StaleMutationError(Exception):
    """The text to replace does not occur exactly once."""


def read_mutations() -> list[Mutation]:
    """Returns the listed mutations."""
    text = (REPOSITORY / "scripts" / "mutations.yaml").read_text()
    return msgspec.yaml.decode(text, type=list[Mutation])


def run_mutation(mutation: Mutation, profile: str) -> bool:
    """Returns whether the tests are green without the mutation and red with it.

    Raises:
        StaleMutationError: if the mutation no longer fits the code.
    """
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for part in ("src", "tests", "scripts", "docs", "examples", "bench"):
            if (REPOSITORY / part).exists():
                shutil.copytree(REPOSITORY / part, copy / part)
        if (REPOSITORY / "KNOWN-RED.txt").exists():
            shutil.copy(REPOSITORY / "KNOWN-RED.txt", copy)
        target = copy / mutation.file
        text = target.read_text()
        if text.count(mutation.old) != 1:
            raise StaleMutationError(f"{mutation.name}: {text.count(mutation.old)} matches")
        if not tests_pass(copy, mutation.tests, profile):
            return False
        target.write_text(text.replace(mutation.old, mutation.new))
        return not tests_pass(copy, mutation.tests, profile)


def tests_pass(folder: Path, pattern: str, profile: str) -> bool:
    """Runs the tests whose file names match a pattern in a copy of the tree."""
    environment = dict(
        os.environ, PYTHONPATH=f"{folder / 'src'}:{folder}", HYPOTHESIS_PROFILE=profile
    )
    command = [sys.executable, "-m", "scripts.run_tests", "--pattern", pattern]
    finished = subprocess.run(
        command, cwd=folder, env=environment, capture_output=True, timeout=TIMEOUT_S, check=False
    )
    return finished.returncode == 0


def main() -> int:
    """Runs the mutations and returns 1 if a test stayed green or a mutation is stale."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", default="", help="run only mutations whose name has this text")
    parser.add_argument("--profile", default="mutations", help="hypothesis profile")
    arguments = parser.parse_args()
    chosen = [mutation for mutation in read_mutations() if arguments.only in mutation.name]
    with ThreadPoolExecutor(max_workers=4) as executor:
        results = executor.map(lambda mutation: run_mutation(mutation, arguments.profile), chosen)
        survived = 0
        for mutation, red in zip(chosen, results, strict=True):
            print(f"{'red' if red else 'GREEN'}: {mutation.name} ({mutation.tests})", flush=True)
            survived += not red
    print(f"{len(chosen) - survived} of {len(chosen)} mutations turned a test red")
    return 1 if survived else 0


if __name__ == "__main__":
    sys.exit(main())
