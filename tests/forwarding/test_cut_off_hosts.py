"""Tests of first tries while some hosts are cut off from all servers (RECOVER).

Callers, the store and the other hosts still reach these hosts.
"""

from __future__ import annotations

import asyncio
import collections
import functools
import unittest
from dataclasses import dataclass

from tests.forwarding.balancer import PROMISES, Balancer, Callers, FirstTry, Tally, tally
from tests.forwarding.partitions import PartitionedFleet, PathMode

RATE_PER_S = 24.0
CALM_S = 1.0
# The rule counts from this time after the cut.
STABLE_WINDOW_S = 3.0
COUNTED_S = 5.0
# Held-up bytes reach the servers after the cut.
AFTERMATH_S = 1.0
# The rule allows a lower share at the cut hosts only down to this part of the others' share...
SHARE_OF_OTHERS = 2.0 / 3.0
# ...unless at most this many first tries fail there, and this part of all first tries more.
ALLOWED_FAILURES = 10
ALLOWED_FAILED_SHARE = 1.0 / 50.0

CUT_HOSTS = {
    "one of a domain": ("a2",),
    "all of a domain": ("a1", "a2"),
    "three of four": ("a1", "a2", "b1"),
}


@dataclass(frozen=True)
class Interruption:
    """How hosts are cut off.

    Attributes:
        mode: mode of their paths.
        close_every: during the cut, each answer of this number ends its connection to a server.
    """

    mode: PathMode
    close_every: int | None = None


HANG, RESET = Interruption(PathMode.HANG), Interruption(PathMode.RESET)
REFUSE_NEW = Interruption(PathMode.REFUSE_NEW)
REFUSE_NEW_AND_CLOSE = Interruption(PathMode.REFUSE_NEW, close_every=5)
INTERRUPTIONS = (HANG, RESET, REFUSE_NEW, REFUSE_NEW_AND_CLOSE)


@dataclass(frozen=True)
class Outcome:
    """What callers and servers saw.

    Attributes:
        calm: tries before the cut.
        at_cut: counted tries at the cut hosts.
        at_others: counted tries at the others.
        tries: all tries.
        runs: number of runs by request id.
    """

    calm: list[FirstTry]
    at_cut: list[FirstTry]
    at_others: list[FirstTry]
    tries: list[FirstTry]
    runs: collections.Counter[str]


async def play(cut: tuple[str, ...], interruption: Interruption) -> Outcome:
    """Cuts hosts off while callers send requests, and restores their paths."""
    fleet = PartitionedFleet()
    balancer = Balancer(fleet.hosts)
    callers = Callers(balancer, fleet.hosts)
    try:
        await fleet.start()
        balancer.start()
        await callers.send(RATE_PER_S, CALM_S)
        calm = list(callers.tries)
        await fleet.set_paths(cut, interruption.mode)
        for server in fleet.platform.servers.values():
            server.close_every = interruption.close_every
        counted_from_s = asyncio.get_running_loop().time() + STABLE_WINDOW_S
        await callers.send(RATE_PER_S, STABLE_WINDOW_S + COUNTED_S)
        await fleet.set_paths(cut, PathMode.OPEN)
        await asyncio.sleep(AFTERMATH_S)
    finally:
        await callers.close()
        await balancer.close()
        await fleet.close()
    counted = [first for first in callers.tries if first.at_s >= counted_from_s]
    return Outcome(
        calm,
        [first for first in counted if first.host in cut],
        [first for first in counted if first.host not in cut],
        callers.tries,
        fleet.platform.runs(),
    )


def keeps_rule(at_cut: Tally, at_others: Tally) -> bool:
    """Returns whether cut hosts serve enough first tries."""
    allowed = ALLOWED_FAILURES + ALLOWED_FAILED_SHARE * (at_cut.tried + at_others.tried)
    enough = at_cut.share >= SHARE_OF_OTHERS * at_others.share
    return enough or at_cut.tried - at_cut.served <= allowed


@functools.cache
def outcomes(interruption: Interruption) -> dict[str, Outcome]:
    """Returns the outcome for each set of cut hosts; they are played at once."""

    async def play_all() -> list[Outcome]:
        return await asyncio.gather(*(play(cut, interruption) for cut in CUT_HOSTS.values()))

    return dict(zip(CUT_HOSTS, asyncio.run(play_all()), strict=True))


class CutOffHostsTest(unittest.TestCase):
    def check_first_tries(self, interruption: Interruption) -> None:
        for name, outcome in outcomes(interruption).items():
            with self.subTest(name, interruption=interruption):
                at_cut, at_others = tally(outcome.at_cut), tally(outcome.at_others)
                ends = collections.Counter(
                    first.status or first.error for first in outcome.at_cut if not first.served
                )
                figures = f"served at cut hosts {at_cut}, at the others {at_others}; failed {ends}"
                self.assertTrue(keeps_rule(at_cut, at_others), figures)

    def test_connections_hang(self) -> None:
        """Guards against hosts that go on taking requests while all they can do is refuse them."""
        self.check_first_tries(HANG)

    def test_connections_are_reset(self) -> None:
        """Guards against hosts that take each server for dead and remain in rotation."""
        self.check_first_tries(RESET)

    def test_new_connections_are_refused(self) -> None:
        """Guards against hosts that serve only while their kept connections last."""
        self.check_first_tries(REFUSE_NEW)

    def test_new_connections_are_refused_and_old_ones_end(self) -> None:
        """Guards against hosts that find out too late that they lose their last connections."""
        self.check_first_tries(REFUSE_NEW_AND_CLOSE)

    def test_all_is_served_before_the_cut(self) -> None:
        """Guards against figures of a fleet that can't serve."""
        for interruption in INTERRUPTIONS:
            for name, outcome in outcomes(interruption).items():
                with self.subTest(name, interruption=interruption):
                    self.assertEqual([first for first in outcome.calm if not first.served], [])

    def test_promises_are_kept(self) -> None:
        """Guards against an unsafe request that runs twice, a refusal of a request that runs, and
        an answer with parts of another, also once held-up bytes have gone on."""
        for interruption in INTERRUPTIONS:
            for name, outcome in outcomes(interruption).items():
                with self.subTest(name, interruption=interruption):
                    self.assertEqual([first for first in outcome.tries if first.mixed], [])
                    for first in outcome.tries:
                        runs = outcome.runs[first.request_id]
                        if first.path == "/book/1":
                            self.assertLessEqual(runs, 1, first)
                        if first.status in PROMISES:
                            self.assertEqual(runs, 0, first)


if __name__ == "__main__":
    unittest.main()
