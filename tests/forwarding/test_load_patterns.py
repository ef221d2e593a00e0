"""Tests of load patterns with emulated engines in virtual time.

One test compares several hosts with a single host, which has information on all requests in
flight; several hosts may serve less value because each has information only on its own requests.
Each test that names its pattern compares a run with one in which the tested mechanism is disabled
or has another limit.
"""

from __future__ import annotations

import dataclasses
import logging
import statistics
import unittest
from unittest import mock

import structlog

from bench.forwarding.load import LoadPattern, run_pattern
from bench.forwarding.patterns import (
    BURSTS_ONE_PREFILL,
    DECODE_LOST,
    LARGE_SESSIONS,
    LONG_ANSWERS,
    LONG_ANSWERS_BURSTS,
    LONG_ANSWERS_ONE_PREFILL,
    MANY_HOSTS,
    MEMORY_SHORT,
    SLOW_ENGINES,
    SMALL_SESSIONS,
)
from medlarvale.forwarding import engine_model, memory, prefill
from medlarvale.forwarding.backlog import RecentWaits
from medlarvale.forwarding.first_attempts import FirstAttemptEstimator
from medlarvale.prompt_cache.cache import PromptCaches

SEEDS = range(3)
# Share of the value that several hosts may lose because each has data on its own requests only.
ALLOWED_LOSS = 0.05


def value_share(pattern: LoadPattern) -> float:
    return statistics.mean(run_pattern(pattern, seed).value_share for seed in SEEDS)


class LoadPatternTest(unittest.TestCase):
    def setUp(self) -> None:
        # Suppress thousands of log lines about refused requests.
        config = structlog.get_config()
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
        self.addCleanup(structlog.configure, **config)

    def test_several_hosts_serve_nearly_as_well_as_a_single_one(self) -> None:
        for pattern in (BURSTS_ONE_PREFILL, DECODE_LOST):
            with self.subTest(pattern.name):
                single_host = value_share(dataclasses.replace(pattern, hosts=1))
                self.assertGreater(value_share(pattern), single_host - ALLOWED_LOSS)

    def test_runs_with_equal_seeds_are_equal(self) -> None:
        self.assertEqual(run_pattern(DECODE_LOST, 1), run_pattern(DECODE_LOST, 1))

    def test_late_requests_leave_memory(self) -> None:
        """Pattern: a shortage of decode memory lasts many seconds, so a queue of late requests
        forms at each host. Guards against late requests using the memory that a request of another
        host needs to meet its target."""
        served = value_share(MEMORY_SHORT)
        with mock.patch.object(memory, "LATE_HEADROOM", 0.0):
            self.assertGreater(served, value_share(MEMORY_SHORT) + 0.03)

    def test_callers_that_retry_count_as_late(self) -> None:
        """Pattern: memory is short for so long that refused callers retry. Guards against serving
        callers that are already late before those that can still be served in time."""
        served = value_share(MEMORY_SHORT)
        with mock.patch.object(FirstAttemptEstimator, "first_attempt_age_ms", return_value=0.0):
            self.assertGreater(served, value_share(MEMORY_SHORT) + 0.02)

    def test_prompts_avoid_a_queue_of_other_hosts(self) -> None:
        """Pattern: one prefill engine for all hosts in a burst. Guards against prompts that wait
        behind those of other hosts although decode engines could prefill them."""
        served = value_share(BURSTS_ONE_PREFILL)
        with mock.patch.object(prefill, "OVERFLOW_WAIT_MS", 300.0):
            self.assertGreater(served, value_share(BURSTS_ONE_PREFILL) + 0.01)

    def test_many_hosts_detect_busy_prefill_engines(self) -> None:
        """Pattern: thirty hosts share few prefill engines in a burst, and each sends a prompt about
        once per second. Guards against prompts that queue at an engine without a recent
        measurement, although this host's prompts waited at all others."""
        served = run_pattern(MANY_HOSTS, 1).value_share
        with mock.patch.object(RecentWaits, "wait_ms", return_value=0.0):
            self.assertGreater(served, run_pattern(MANY_HOSTS, 1).value_share + 0.1)

    def test_slow_engines_do_not_prefill_prompts(self) -> None:
        """Pattern: a third of the engines is 1.3 times slower. Guards against gaps above the target
        of 300 ms while such an engine prefills a prompt between its decode steps."""

        def long_gaps() -> int:
            return sum(run_pattern(SLOW_ENGINES, seed).pauses for seed in SEEDS)

        with mock.patch.object(prefill, "SLOW_OVERFLOW_WAIT_MS", prefill.OVERFLOW_WAIT_MS):
            without_limit = long_gaps()
        self.assertLess(long_gaps(), 0.7 * without_limit)

    def test_nothing_is_refused_at_a_cold_start_before_empty_engines(self) -> None:
        """Pattern: hosts that have measured nothing get their first requests for engines of an
        unknown speed. Guards against refusals for lack of time that follow from the speed of other
        engines."""
        start = dataclasses.replace(LONG_ANSWERS, duration_s=6.0)
        for seed in SEEDS:
            figures = run_pattern(start, seed)
            self.assertEqual((figures.refused, figures.failed), (0, 0))

    def test_long_answers_get_memory_for_their_likely_length(self) -> None:
        """Pattern: answers need more memory than prompts, and a burst fills all engines. Guards
        against preemption of streams that outgrow their reservation: their prompt and answer are
        prefilled again, and their callers wait."""

        def outcome() -> tuple[float, int]:
            runs = [run_pattern(LONG_ANSWERS_BURSTS, seed) for seed in SEEDS]
            return statistics.mean(run.value_share for run in runs), sum(r.preempted for r in runs)

        served, preempted = outcome()
        with mock.patch.object(engine_model, "RESERVED_SHARE", 0.5):
            served_at_median, preempted_at_median = outcome()
        self.assertGreater(served, served_at_median + 0.03)
        self.assertLess(preempted, 0.5 * preempted_at_median)

    def test_fast_engines_do_not_prefill_long_prompts_between_events(self) -> None:
        """Pattern: one prefill engine, fast decode engines with many steps to an event. Guards
        against gaps above the target because all chunks of a prompt fall between two events."""
        # With exact hints no stream is preempted, which would cause gaps as well.
        pattern = dataclasses.replace(LONG_ANSWERS_ONE_PREFILL, hint_error=0.01)

        def long_gaps() -> int:
            return sum(run_pattern(pattern, seed).pauses for seed in SEEDS)

        with mock.patch.object(prefill, "LOCAL_CHUNK_TOKENS", 0):
            without_limit = long_gaps()
        self.assertLess(long_gaps(), 0.8 * without_limit)

    def test_sessions_return_to_engines_that_hold_their_beginning(self) -> None:
        """Pattern: large beginnings, of which no engine has room for all. Guards against prompts
        that are prefilled anew at one engine while another holds most of them."""
        one_host = dataclasses.replace(LARGE_SESSIONS, hosts=1)
        cached = run_pattern(one_host, 0).cached_tokens
        with mock.patch.object(PromptCaches, "expected_tokens", return_value=0.0):
            self.assertGreater(cached, 1.5 * run_pattern(one_host, 0).cached_tokens)

    def test_cached_prompts_do_not_show_the_speed_of_others(self) -> None:
        """Pattern: hosts that can't know what others have sent. Guards against waits that seem
        long because the fastest prefill was one of a cached prompt."""
        served = run_pattern(LARGE_SESSIONS, 0).value_share
        with mock.patch.object(PromptCaches, "uncached_tokens_per_ms", return_value=None):
            self.assertGreater(served, run_pattern(LARGE_SESSIONS, 0).value_share + 0.05)

    def test_small_beginnings_change_nothing(self) -> None:
        """Guards against a worse choice for the sake of 200 of 5,200 tokens."""
        with_caches = run_pattern(SMALL_SESSIONS, 0)
        with mock.patch.object(PromptCaches, "expected_tokens", return_value=0.0):
            self.assertEqual(with_caches, run_pattern(SMALL_SESSIONS, 0))
