"""Mutation tests: introduces faults one at a time and checks that a test fails for each.

Each mutation in scripts/mutations.yaml is applied to a copy of the tree.
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


class Replacement(msgspec.Struct, forbid_unknown_fields=True):
    """A fault that is introduced by replacing text in a file.

    Attributes:
        name: the faulty behaviour.
        file: path relative to the repository.
        old: text that occurs exactly once in the file.
        new: replacement of the text.
    """

    name: str
    file: str
    old: str
    new: str

    def apply(self, folder: Path) -> None:
        """Introduces the fault into a copy of the tree.

        Raises:
            StaleMutationError: if the quoted text does not occur exactly once.
        """
        target = folder / self.file
        text = target.read_text()
        if text.count(self.old) != 1:
            raise StaleMutationError(f"{self.name}: {text.count(self.old)} matches")
        target.write_text(text.replace(self.old, self.new))


class Mutation(Replacement):
    """A fault that a test finds.

    Attributes:
        tests: file name pattern of the tests, at least one of which must fail.
    """

    tests: str


class StaleMutationError(Exception):
    """The text to replace does not occur exactly once in its file."""


def read_mutations() -> list[Mutation]:
    """Returns the mutations listed in scripts/mutations.yaml."""
    text = (REPOSITORY / "scripts" / "mutations.yaml").read_text()
    return msgspec.yaml.decode(text, type=list[Mutation])


def run_mutation(mutation: Mutation, profile: str) -> bool:
    """Returns whether the tests pass without the mutation and fail with it.

    Raises:
        StaleMutationError: if the quoted text does not occur exactly once.
    """
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for part in ("src", "tests", "scripts", "docs", "examples", "bench", "soak"):
            if (REPOSITORY / part).exists():
                shutil.copytree(REPOSITORY / part, copy / part)
        if (REPOSITORY / "KNOWN-RED.txt").exists():
            shutil.copy(REPOSITORY / "KNOWN-RED.txt", copy)
        if not tests_pass(copy, mutation.tests, profile):
            return False
        mutation.apply(copy)
        return not tests_pass(copy, mutation.tests, profile)


def tests_pass(folder: Path, pattern: str, profile: str) -> bool:
    """Returns whether the tests whose file names match a pattern pass in a copy of the tree."""
    environment = dict(
        os.environ, PYTHONPATH=f"{folder / 'src'}:{folder}", HYPOTHESIS_PROFILE=profile
    )
    command = [sys.executable, "-m", "scripts.run_tests", "--pattern", pattern]
    finished = subprocess.run(
        command, cwd=folder, env=environment, capture_output=True, timeout=TIMEOUT_S, check=False
    )
    return finished.returncode == 0


def main() -> int:
    """Runs the mutations; returns 0 if the tests passed without and failed with each of them.

    Raises:
        StaleMutationError: if the quoted text of a mutation does not occur exactly once.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--only", default="", help="run only mutations whose name contains this text"
    )
    parser.add_argument("--profile", default="mutations", help="hypothesis profile")
    arguments = parser.parse_args()
    selected = [mutation for mutation in read_mutations() if arguments.only in mutation.name]
    with ThreadPoolExecutor(max_workers=4) as executor:
        results = executor.map(lambda mutation: run_mutation(mutation, arguments.profile), selected)
        survived = 0
        for mutation, red in zip(selected, results, strict=True):
            print(f"{'red' if red else 'GREEN'}: {mutation.name} ({mutation.tests})", flush=True)
            survived += not red
    print(f"{len(selected) - survived} of {len(selected)} mutations made a test fail")
    return 1 if survived else 0


if __name__ == "__main__":
    sys.exit(main())
