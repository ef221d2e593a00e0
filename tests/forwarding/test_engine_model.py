"""Tests of the learned figures of engines: estimates, merging, implausible figures of peers."""

from __future__ import annotations

import math
import random
import struct
import unittest

from hypothesis import given
from hypothesis import strategies as st

from medlarvale.forwarding.engine_figures import (
    EVIDENCE_TIME_CONSTANT_MS,
    MAX_HOST_EVIDENCE,
    MIN_EVIDENCE,
    EngineFigures,
    FastestSpeed,
    LogMoments,
    decayed,
    merged,
    pack_figures,
    unpack_figures,
)
from medlarvale.forwarding.engine_model import EngineModel
from medlarvale.forwarding.errors import FiguresError
from medlarvale.forwarding.messages import TokenCounts
from medlarvale.ids import HostId

ENOUGH = int(MIN_EVIDENCE) * 20
MAX_OUTPUT = 1_000_000

moments = st.builds(
    lambda weight, mean, variance: LogMoments(
        weight, weight * mean, weight * (mean * mean + variance)
    ),
    st.floats(0.1, 200.0),
    st.floats(-5.0, 12.0),
    st.floats(0.0, 4.0),
)
figures = st.builds(
    EngineFigures,
    moments,
    moments,
    moments,
    prefill=st.builds(FastestSpeed, st.floats(0.1, 200.0), st.floats(0.1, 500.0)),
)


def measured_model(
    *,
    event_ms: float = 50.0,
    tokens_per_event: float = 10.0,
    hint_error: float = 0.3,
    streams: int = ENOUGH,
) -> EngineModel:
    """Returns a model that has measured streams with outputs around 1,000 tokens."""
    rng, model = random.Random(1), EngineModel()
    for _ in range(streams):
        output = 1_000.0 * rng.lognormvariate(0.0, 0.5)
        hint = max(1, int(output * rng.lognormvariate(0.0, hint_error)))
        model.note_output(hint, max(1, round(output / tokens_per_event)), 0.0)
        model.note_events(8, 8 * event_ms * rng.lognormvariate(0.0, 0.1), 0.0)
    return model


class EstimatesTest(unittest.TestCase):
    def test_nothing_is_estimated_before_it_is_measured(self) -> None:
        """Guards against refusals and orders that follow from the figures of other engines."""
        tokens = TokenCounts(5_000, MAX_OUTPUT, 10_000)
        for streams in (0, int(MIN_EVIDENCE) - 1):
            with self.subTest(streams):
                model = measured_model(streams=streams)
                self.assertIsNone(model.event_ms(0.0, 0.5))
                self.assertIsNone(model.hold_ms(0.0))
                self.assertIsNone(model.first_event_ms(0.0, 0.5))
                self.assertIsNone(model.prefill_tokens_per_ms(0.0))
                self.assertIsNone(model.tokens_per_event(0.0))
                self.assertEqual(model.shortest_stream_ms(tokens, 0.0), 0.0)

    def test_engines_of_any_speed_are_learned(self) -> None:
        for event_ms in (0.3, 46.0, 3_000.0):
            for tokens_per_event in (1.0, 11.0, 86.0):
                with self.subTest(event_ms=event_ms, tokens_per_event=tokens_per_event):
                    model = measured_model(event_ms=event_ms, tokens_per_event=tokens_per_event)
                    usual_ms = model.event_ms(0.0, 0.5)
                    learned = model.tokens_per_event(0.0)
                    assert usual_ms is not None and learned is not None
                    self.assertAlmostEqual(usual_ms / event_ms, 1.0, delta=0.1)
                    self.assertAlmostEqual(learned / tokens_per_event, 1.0, delta=0.15)
                    tokens = TokenCounts(5_000, MAX_OUTPUT, 1_000)
                    usual_stream_ms = 1_000.0 / tokens_per_event * event_ms
                    shortest_ms = model.shortest_stream_ms(tokens, 0.0)
                    self.assertTrue(0.2 * usual_stream_ms < shortest_ms < 0.9 * usual_stream_ms)

    def test_reservations_suffice_for_most_outputs_whatever_the_error_of_the_hints(self) -> None:
        """Guards against preemption of streams that generate more than their hint, and against
        memory that is reserved for an error that the hints don't have."""
        for hint_error in (0.05, 0.5, 1.0):
            with self.subTest(hint_error):
                rng, model = random.Random(2), measured_model(hint_error=hint_error)
                enough = 0
                for _ in range(1_000):
                    output = 1_000.0 * rng.lognormvariate(0.0, 0.5)
                    hint = max(1, int(output * rng.lognormvariate(0.0, hint_error)))
                    enough += model.reserved_output(TokenCounts(1, MAX_OUTPUT, hint), 0.0) >= output
                self.assertGreater(enough, 850)
        exact, wrong = (
            measured_model(hint_error=error).reserved_output(TokenCounts(1, MAX_OUTPUT, 1_000), 0.0)
            for error in (0.05, 0.5)
        )
        self.assertLess(exact, 0.9 * wrong)

    def test_the_maximum_output_is_never_exceeded(self) -> None:
        model = measured_model()
        table = [
            (TokenCounts(5_000, 700), 700),
            (TokenCounts(5_000, 700, 100_000), 700),
            (TokenCounts(5_000, 30, 1), 30),
        ]
        for tokens, reserved in table:
            with self.subTest(tokens):
                self.assertEqual(model.reserved_output(tokens, 0.0), reserved)
        self.assertGreaterEqual(model.reserved_output(TokenCounts(1, 700, 0), 0.0), 1)

    def test_engines_of_another_speed_are_noticed_in_seconds(self) -> None:
        """Pattern: a release replaces all engines by others that are ten times as fast or slow."""
        for factor in (0.1, 10.0):
            with self.subTest(factor):
                model = EngineModel()
                for second in range(60):
                    speed = 1.0 if second < 30 else factor
                    for _ in range(10):
                        model.note_events(8, 8 * 50.0 * speed, second * 1_000.0)
                learned = model.event_ms(60_000.0, 0.5)
                assert learned is not None
                self.assertAlmostEqual(math.log(learned / (50.0 * factor)), 0.0, delta=0.8)

    def test_prefill_speed_is_that_of_an_idle_engine(self) -> None:
        """Guards against a speed that includes the queue: prompts would then be sent to engines
        that are busy, because their wait is not noticed."""
        model = EngineModel()
        model.note_prefill(5_000, 100.0, 0.0)
        for _ in range(ENOUGH):
            model.note_prefill(5_000, 400.0, 5_000.0)
        speed = model.prefill_tokens_per_ms(5_000.0)
        assert speed is not None
        self.assertAlmostEqual(speed, 50.0, delta=5.0)

    def test_evidence_expires(self) -> None:
        model = measured_model()
        self.assertIsNotNone(model.event_ms(0.0, 0.5))
        self.assertIsNone(model.event_ms(10 * EVIDENCE_TIME_CONSTANT_MS, 0.5))


class SharingTest(unittest.TestCase):
    def test_a_new_host_starts_with_the_figures_of_its_peers(self) -> None:
        new = EngineModel()
        new.note_peer(HostId("a"), measured_model().own_figures(0.0), 0.0)
        learned = new.event_ms(0.0, 0.5)
        assert learned is not None
        self.assertAlmostEqual(learned, 50.0, delta=5.0)
        self.assertEqual(new.own_figures(0.0), EngineFigures(), "hearsay is not passed on")

    @given(st.lists(figures, max_size=4), st.randoms(use_true_random=False))
    def test_order_repetition_and_loss_of_messages_do_not_matter(
        self, parts: list[EngineFigures], rng: random.Random
    ) -> None:
        """The last message of each peer counts, once."""
        orderly, other = EngineModel(), EngineModel()
        named = [(HostId(f"h{number}"), part) for number, part in enumerate(parts)]
        for host, part in named:
            orderly.note_peer(host, part, 0.0)
        repeated = named * 2
        rng.shuffle(repeated)
        for host, part in repeated:
            other.note_peer(host, part, 0.0)
        for share in (0.1, 0.5, 0.9):
            first, second = orderly.event_ms(0.0, share), other.event_ms(0.0, share)
            if first is None or second is None:
                self.assertEqual(first, second)
            else:
                self.assertAlmostEqual(first / second, 1.0, places=6)

    @given(figures, figures, figures)
    def test_merging_is_associative_and_commutative(
        self, first: EngineFigures, second: EngineFigures, third: EngineFigures
    ) -> None:
        left = merged([merged([first, second]), third])
        right = merged([third, merged([second, first])])
        for one, other in zip(
            (left.event_ms, left.hold_ms), (right.event_ms, right.hold_ms), strict=True
        ):
            self.assertAlmostEqual(one.weight, other.weight, places=6)
            self.assertAlmostEqual(one.total, other.total, places=6)
        self.assertEqual(left.prefill.tokens_per_ms, right.prefill.tokens_per_ms)

    @given(figures)
    def test_figures_survive_their_encoding(self, sent: EngineFigures) -> None:
        received = unpack_figures(pack_figures(sent))
        self.assertAlmostEqual(received.event_ms.total, sent.event_ms.total, delta=0.01)
        self.assertLessEqual(len(pack_figures(sent)), 70)

    @given(st.binary(max_size=100))
    def test_any_bytes_are_figures_or_an_error(self, data: bytes) -> None:
        try:
            self.assertTrue(unpack_figures(data).plausible())
        except FiguresError:
            return

    def test_implausible_figures_are_rejected(self) -> None:
        sound = pack_figures(measured_model().own_figures(0.0))
        table = [
            ("too short", sound[:-4]),
            ("too long", sound + bytes(4)),
            ("not a number", struct.pack("<f", math.nan) + sound[4:]),
            ("infinite weight", struct.pack("<f", math.inf) + sound[4:]),
            ("negative weight", struct.pack("<f", -3.0) + sound[4:]),
            ("a mean of e^300 ms", struct.pack("<ff", 1.0, 300.0) + sound[8:]),
        ]
        for name, data in table:
            with self.subTest(name), self.assertRaises(FiguresError):
                unpack_figures(data)

    def test_one_peer_does_not_outweigh_the_others(self) -> None:
        model = EngineModel()
        for number in range(8):
            model.note_peer(HostId(f"h{number}"), measured_model().own_figures(0.0), 0.0)
        weight = 1e6
        log = math.log(5_000.0)
        lying = EngineFigures(LogMoments(weight, weight * log, weight * log * log))
        model.note_peer(HostId("liar"), lying, 0.0)
        learned = model.event_ms(0.0, 0.1)
        assert learned is not None
        self.assertLess(learned, 60.0)
        self.assertLessEqual(model.own_figures(0.0).event_ms.weight, MAX_HOST_EVIDENCE)

    def test_decay_keeps_means(self) -> None:
        before = measured_model().own_figures(0.0)
        after = decayed(before, EVIDENCE_TIME_CONSTANT_MS)
        self.assertAlmostEqual(after.event_ms.weight / before.event_ms.weight, math.exp(-1.0))
        self.assertAlmostEqual(
            after.event_ms.total / after.event_ms.weight,
            before.event_ms.total / before.event_ms.weight,
        )
