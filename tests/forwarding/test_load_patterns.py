"""Loads that the hosts have to serve well, with emulated engines in virtual time.

Each pattern names the load that it answers. A bound is the worth of a single host, which knows all
that is in flight, less what hosts may lose by knowing only their own requests.
"""

from __future__ import annotations

import dataclasses
import logging
import statistics
import unittest
from unittest import mock

import structlog

from bench.forwarding.load import LoadPattern, play
from bench.forwarding.patterns import (
    BURSTS_ONE_PREFILL,
    DECODE_LOST,
    MANY_HOSTS,
    MEMORY_SHORT,
    SLOW_ENGINES,
)
from medlarvale.forwarding import memory, prefill
from medlarvale.forwarding.backlog import RecentWaits
from medlarvale.forwarding.first_attempts import FirstAttemptEstimator

SEEDS = range(3)
# Share of the worth that hosts may lose by knowing only their own requests.
ALLOWED_LOSS = 0.05


def worth(pattern: LoadPattern) -> float:
    return statistics.mean(play(pattern, seed).worth for seed in SEEDS)


class LoadPatternTest(unittest.TestCase):
    def setUp(self) -> None:
        # Thousands of lines about refused requests say nothing here.
        config = structlog.get_config()
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
        self.addCleanup(structlog.configure, **config)

    def test_hosts_serve_nearly_as_well_as_one_that_knows_all(self) -> None:
        for pattern in (BURSTS_ONE_PREFILL, DECODE_LOST):
            with self.subTest(pattern.name):
                informed = worth(dataclasses.replace(pattern, hosts=1))
                self.assertGreater(worth(pattern), informed - ALLOWED_LOSS)

    def test_runs_are_equal(self) -> None:
        self.assertEqual(play(DECODE_LOST, 1), play(DECODE_LOST, 1))

    def test_late_requests_leave_room(self) -> None:
        """Pattern: decode memory is short for many seconds, so a queue of late requests forms at
        each host. Guards against late requests that take the memory for which a request in time
        waits at another host."""
        served = worth(MEMORY_SHORT)
        with mock.patch.object(memory, "LATE_HEADROOM", 0.0):
            self.assertGreater(served, worth(MEMORY_SHORT) + 0.03)

    def test_callers_that_come_back_count_as_late(self) -> None:
        """Pattern: memory short for so long that refused callers come back. Guards against callers
        who can no longer be served in time ahead of those who can."""
        served = worth(MEMORY_SHORT)
        with mock.patch.object(FirstAttemptEstimator, "elapsed_ms", return_value=0.0):
            self.assertGreater(served, worth(MEMORY_SHORT) + 0.02)

    def test_prompts_leave_a_queue_that_other_hosts_made(self) -> None:
        """Pattern: one prefill engine for all hosts in a burst. Guards against prompts that wait
        behind those of other hosts while decode engines could read them."""
        served = worth(BURSTS_ONE_PREFILL)
        with mock.patch.object(prefill, "OVERFLOW_WAIT_MS", 300.0):
            self.assertGreater(served, worth(BURSTS_ONE_PREFILL) + 0.01)

    def test_many_hosts_notice_busy_prefill_engines(self) -> None:
        """Pattern: thirty hosts share few prefill engines in a burst, and each sends a prompt about
        every second. Guards against prompts that queue at an engine of which this host has not
        heard lately, though its prompts waited at all the others."""
        served = play(MANY_HOSTS, 1).worth
        with mock.patch.object(RecentWaits, "wait_ms", return_value=0.0):
            self.assertGreater(served, play(MANY_HOSTS, 1).worth + 0.1)

    def test_slow_engines_do_not_read_prompts(self) -> None:
        """Pattern: a third of the engines is 1.3 times slower. Guards against pauses beyond the
        300 ms that callers expect, while such an engine reads a prompt between its steps."""

        def long_pauses() -> int:
            return sum(play(SLOW_ENGINES, seed).pauses for seed in SEEDS)

        with mock.patch.object(prefill, "SLOW_OVERFLOW_WAIT_MS", prefill.OVERFLOW_WAIT_MS):
            careless = long_pauses()
        self.assertLess(long_pauses(), 0.7 * careless)
