"""Tests of the record of sent parts, of what is learned from prefills and of the weighing."""

from __future__ import annotations

import tracemalloc
import unittest

from hypothesis import given
from hypothesis import strategies as st

from medlarvale.forwarding.messages import EngineStage, PromptPartId
from medlarvale.ids import ServiceName
from medlarvale.prompt_cache.cache import PromptCaches
from medlarvale.prompt_cache.records import (
    MAX_RECORDS,
    PromptPart,
    SentPart,
    SentParts,
    prompt_parts,
)
from medlarvale.prompt_cache.speed import MIN_SAMPLES, most_frequent
from medlarvale.prompt_cache.survival import MIN_EVIDENCE, CacheSurvival, seems_cached
from medlarvale.prompt_cache.weighing import MIN_GAIN_MS, Candidate, choose, extra_allowed_wait_ms

LLM, PREFILL = ServiceName("llm"), EngineStage.PREFILL
TOKENS_PER_MS = 50.0
RECORD_BYTES = 300


def parts(text: str, tokens: int = 100) -> tuple[PromptPart, ...]:
    return tuple(PromptPart(PromptPartId(name), tokens) for name in text)


class RecordTest(unittest.TestCase):
    def test_a_part_counts_only_after_all_parts_before_it(self) -> None:
        """Guards against a saving that is expected of a part in the middle of a prompt."""
        sent = SentParts()
        sent.note(1, parts("abc"), 0.0)
        sent.note(1, parts("ax"), 500.0)
        table = [("abc", 1, 3), ("ab", 1, 2), ("axc", 1, 3), ("xbc", 1, 3), ("zabc", 1, 0)]
        table += [("azc", 1, 1), ("abc", 2, 0)]
        for text, instance, expected in table:
            with self.subTest(text, instance=instance):
                found = sent.beginning(instance, parts(text), 700.0)
                self.assertEqual(len(found), expected)
        ages = [part.age_ms for part in sent.beginning(1, parts("abc"), 700.0)]
        self.assertEqual(ages, [200.0, 700.0, 700.0])

    def test_parts_need_their_sizes(self) -> None:
        a, b = PromptPartId("a"), PromptPartId("b")
        table = [((a,), b, (5, 6), 2), ((a,), None, (5, 0), 1), ((a,), b, (), 0), ((), b, (5,), 1)]
        for shared, last, tokens, expected in table:
            with self.subTest(shared=shared, last=last):
                self.assertEqual(len(prompt_parts(shared, last, tokens)), expected)

    def test_memory_is_bounded(self) -> None:
        """Guards against a host that runs out of memory by the names of its callers' parts."""
        sent = SentParts()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for number in range(2 * MAX_RECORDS):
            sent.note(number % 40, parts([f"part-{number}"]), float(number))  # type: ignore[arg-type]
        self.assertEqual(len(sent), MAX_RECORDS)
        self.assertLess(tracemalloc.get_traced_memory()[0], RECORD_BYTES * MAX_RECORDS)


class SurvivalTest(unittest.TestCase):
    def test_a_prefill_shows_whether_its_beginning_was_cached(self) -> None:
        table = [(280.0, 266.0, False), (20.0, 266.0, True), (900.0, 266.0, None)]
        table += [(60.0, 19.0, None), (150.0, 200.0, True)]
        for took_ms, saving_ms, expected in table:
            with self.subTest(took_ms=took_ms, saving_ms=saving_ms):
                self.assertIs(seems_cached(took_ms, 280.0, saving_ms), expected)

    def test_nothing_is_assumed_and_old_evidence_is_forgotten(self) -> None:
        """Guards against a wait for what no engine holds."""
        survival = CacheSurvival()
        for _ in range(int(MIN_EVIDENCE)):
            self.assertEqual(survival.probability(5_000.0, 0.0), 0.0)
            survival.note(5_000.0, True, 0.0)
        table = [(5_000.0, 0.0, 1.0), (500.0, 0.0, 1.0), (9_000.0, 0.0, 0.0)]
        table += [(5_000.0, 600_000.0, 0.0), (1e9, 0.0, 0.0)]
        for age_ms, now_ms, expected in table:
            with self.subTest(age_ms=age_ms, now_ms=now_ms):
                self.assertEqual(survival.probability(age_ms, now_ms), expected)
        lost = [SentPart(100, 9_000.0), SentPart(100, 5_000.0)]
        self.assertEqual(survival.cached_tokens(lost, 0.0), 0.0)
        self.assertEqual(survival.cached_tokens(lost[1:], 0.0), 100.0)

    def test_the_speed_is_that_of_prompts_without_a_cached_part(self) -> None:
        """Guards against the speed of cached prompts, by which all others seem to wait."""
        caches, rest = PromptCaches(), 700
        for number in range(3 * MIN_SAMPLES):
            tokens = 13_300 + rest + 20 * (number % 37)
            computed = tokens - 13_300 if number % 3 else tokens
            caches.note_prefill(LLM, PREFILL, (), 13_300, tokens, computed / TOKENS_PER_MS, 0.0)
        speed = caches.uncached_tokens_per_ms(LLM, PREFILL)
        assert speed is not None
        self.assertAlmostEqual(speed, TOKENS_PER_MS, delta=1.0)
        cached = caches.note_prefill(LLM, PREFILL, (), 13_300, 14_000, 14.0, 0.0)
        small = caches.note_prefill(LLM, PREFILL, (), 200, 5_200, 100.0, 0.0)
        self.assertEqual((cached, small), (700, 5_200))
        # A prompt without tokens shows nothing, and fails nothing.
        self.assertEqual(caches.note_prefill(LLM, PREFILL, (), 0, 0, 5.0, 0.0), 0)
        self.assertEqual(most_frequent([1.0, 1.05, 5.0, 5.1, 9.0]), 5.0)


class WeighingTest(unittest.TestCase):
    def test_a_saving_is_weighed_against_the_wait(self) -> None:
        table: list[tuple[str, list[Candidate], int]] = [
            ("nothing cached", [Candidate(5.0), Candidate(9.0)], 0),
            ("cached", [Candidate(5.0), Candidate(9.0, 0.0, 266.0)], 1),
            ("long queue", [Candidate(5.0), Candidate(300.0, 0.0, 266.0)], 0),
            ("hidden own queue", [Candidate(300.0), Candidate(300.0, 280.0, 266.0)], 0),
            ("tiny", [Candidate(0.0), Candidate(0.0, 0.0, 4.0)], 0),
            ("both", [Candidate(0.0, 0.0, 200.0), Candidate(0.0, 0.0, 210.0)], 0),
        ]
        for name, candidates, expected in table:
            with self.subTest(name):
                self.assertEqual(choose(candidates, 0), expected)
        for savings, extra_ms in (((0.0, 478.0), -478.0), ((266.0, 0.0), 266.0), ((4.0, 7.0), 0.0)):
            with self.subTest(savings=savings):
                self.assertEqual(extra_allowed_wait_ms(*savings), extra_ms)

    @given(
        st.lists(
            st.builds(Candidate, *[st.floats(0.0, 2_000.0)] * 3), min_size=1, max_size=8
        ).flatmap(lambda all_: st.tuples(st.just(all_), st.integers(0, len(all_) - 1)))
    )
    def test_no_choice_costs_more_than_it_is_expected_to_save(
        self, case: tuple[list[Candidate], int]
    ) -> None:
        candidates, index = case
        usual, chosen = candidates[index], candidates[choose(candidates, index)]
        if chosen is not usual:
            more_saved_ms = chosen.saving_ms - usual.saving_ms
            self.assertGreater(more_saved_ms, MIN_GAIN_MS)
            self.assertLess(chosen.cost_ms - usual.cost_ms, more_saved_ms)
            self.assertLess(chosen.own_queue_ms - usual.own_queue_ms, more_saved_ms)

    @given(st.integers(1, 200), st.integers(2, 8), st.floats(0.0, 1.0), st.floats(0.0, 3_000.0))
    def test_a_herd_with_one_beginning_spreads(
        self, herd: int, engines: int, share: float, floor_ms: float
    ) -> None:
        """Guards against an engine that gets all prompts because it got the first."""
        whole_ms, queues_ms = 280.0, [0.0] * engines
        for _ in range(herd):
            candidates = [
                Candidate(max(floor_ms, queue_ms), queue_ms, whole_ms * share * (number == 0))
                for number, queue_ms in enumerate(queues_ms)
            ]
            usual = min(range(engines), key=lambda number: queues_ms[number])
            queues_ms[choose(candidates, usual)] += whole_ms
        self.assertLessEqual(max(queues_ms) - min(queues_ms), 2 * whole_ms)
