"""``make soak-mutations``: breaks each promise in a copy of the product and plays seeds on it."""

from __future__ import annotations

import argparse
import asyncio
import shutil
import sys
import tempfile
from functools import cache
from pathlib import Path

import msgspec

from scripts.forward_hosts import SOURCE
from scripts.mutations import REPOSITORY, Replacement
from soak.__main__ import DURATION_S, play
from soak.checks import Promise
from soak.plan import Trouble, draw_plan

MAX_SEED = 5
HOST_COUNT = 4


class SoakMutation(Replacement):
    """A fault that the soak finds.

    Attributes:
        promise: the promise that it breaks.
        first_seed: the first seed that is played.
        seeds: number of seeds, one of which must show it.
        hosts: number of hosts.
        troubles: kinds of trouble in them.
    """

    promise: Promise
    first_seed: int = 1
    seeds: int = 1
    hosts: int = HOST_COUNT
    troubles: tuple[Trouble, ...] = (
        Trouble.MIXED_DEADLINES,
        Trouble.STANDSTILL,
        Trouble.KILL,
        Trouble.LATE_STORE,
    )


def read_soak_mutations() -> list[SoakMutation]:
    """Returns the mutations listed in soak/mutations.yaml."""
    text = (REPOSITORY / "soak" / "mutations.yaml").read_text()
    return msgspec.yaml.decode(text, type=list[SoakMutation])


@cache
def broken_promises(
    seed: int, troubles: tuple[Trouble, ...], hosts: int, source: Path
) -> dict[Promise, int]:
    """Plays a seed; returns how often each promise that broke was broken."""
    plan, sources = draw_plan(seed, DURATION_S, troubles, hosts), [source] * hosts
    with tempfile.TemporaryDirectory() as folder:
        _, timeline = asyncio.run(play(plan, Path(folder), sources))
    return {item.promise: len(item.broken) for item in timeline.verdicts if item.broken}


def run_mutation(mutation: SoakMutation) -> bool:
    """Returns whether a seed is red with a mutation and green without it.

    Raises:
        StaleMutationError: if the quoted text does not occur exactly once.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        shutil.copytree(SOURCE, folder / "src")
        mutation.apply(folder)
        for seed in range(mutation.first_seed, mutation.first_seed + mutation.seeds):
            broken = broken_promises(seed, mutation.troubles, mutation.hosts, folder / "src")
            shown = ", ".join(f"{promise} {number}" for promise, number in broken.items())
            print(f"  seed {seed}: {shown or 'nothing broken'}", flush=True)
            sound = (
                broken_promises(seed, mutation.troubles, mutation.hosts, SOURCE) if broken else {}
            )
            if mutation.promise in broken and mutation.promise not in sound:
                print(f"red at seed {seed}: {mutation.promise}, {mutation.name}", flush=True)
                return True
    print(f"GREEN: {mutation.promise}, {mutation.name}", flush=True)
    return False


def main() -> int:
    """Plays the mutations; returns 0 if each made its promise red within its number of seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", default="", help="only mutations whose name contains this text")
    options = parser.parse_args()
    selected = [mutation for mutation in read_soak_mutations() if options.only in mutation.name]
    red = sum(map(run_mutation, selected))
    print(f"{red} of {len(selected)} mutations made the soak red")
    return 0 if red == len(selected) else 1


if __name__ == "__main__":
    sys.exit(main())
