"""Tests that tokens are delivered once and in order, in whatever order their chunks arrive."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from medlarvale.completions.errors import SequenceConflictError
from medlarvale.completions.sequence import FinishReason, TokenSequence
from medlarvale.ids import AttemptNumber

ANSWER = [1_000 + index for index in range(24)]

# (attempt of the chunk relative to the current one, first index, length)
DELIVERIES = st.lists(
    st.tuples(st.integers(-2, 1), st.integers(0, 23), st.integers(0, 7)), max_size=40
)


class SequencePropertyTest(unittest.TestCase):
    @given(
        st.lists(DELIVERIES, min_size=1, max_size=4),
        st.integers(1, 24),
        st.integers(1, 30),
        st.randoms(use_true_random=False),
    )
    def test_tokens_are_delivered_once_and_in_order(self, attempts, length, limit, random) -> None:
        """Guards against an answer changed by repeated, reordered or overlapping chunks, or by
        chunks of other attempts, which carry different tokens."""
        answer = ANSWER[:length]
        sequence = TokenSequence(limit)
        received: list[int] = []
        for number, deliveries in enumerate(attempts, 1):
            sequence.start_attempt(AttemptNumber(number))
            for shift, first, size in deliveries:
                source = answer if shift == 0 else [-token for token in answer]
                tokens = source[first : first + size]
                done = first <= length <= first + size
                received += sequence.accept(AttemptNumber(number + shift), first, tokens, done)
                self.assertEqual(received, answer[: min(len(received), limit)])
        end = min(length, limit)
        self.assertEqual(sequence.tokens, received)
        self.assertTrue(not sequence.complete or len(received) == end)
        rest = [(index, answer[index : index + 3]) for index in range(0, length, 2)]
        random.shuffle(rest)
        for first, tokens in rest:
            done = first + len(tokens) == length
            received += sequence.accept(AttemptNumber(len(attempts)), first, tokens, done)
        self.assertTrue(sequence.complete)
        self.assertEqual(received, answer[:limit])
        reason = FinishReason.LENGTH if limit <= length else FinishReason.STOP
        self.assertIs(sequence.finish_reason, reason)

    @given(st.integers(0, 20), st.integers(1, 4), st.integers(0, 23), st.integers(1, 8))
    def test_contradicting_chunks_raise_sequence_conflict_error(
        self, start, size, first, different_size
    ) -> None:
        """Guards against a mixed or truncated answer: within one attempt, a different token or an
        end before a known token is an error, whether or not earlier tokens are still missing."""
        sequence = TokenSequence(100)
        sequence.start_attempt(AttemptNumber(1))
        sequence.accept(AttemptNumber(1), start, ANSWER[start : start + size], False)
        end = min(first, start + size - 1)
        with self.assertRaises(SequenceConflictError):
            sequence.accept(AttemptNumber(1), end, [], True)
        if first < start + size and start < first + different_size:
            with self.assertRaises(SequenceConflictError):
                sequence.accept(AttemptNumber(1), first, [-1] * different_size, False)
