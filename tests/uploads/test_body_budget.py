"""Tests of which bodies give way."""

from __future__ import annotations

import unittest
from dataclasses import dataclass

from medlarvale.body_memory import DEFAULT_LIMIT_BYTES
from medlarvale.uploads.body_budget import (
    MIN_LIMIT_BYTES,
    SMALL_BODY_BYTES,
    BodyBudget,
    Upload,
    upload_limit_bytes,
)

LIMIT_BYTES = 1_000_000
LARGE_BYTES = 400_000


class _Clock:
    now_ms = 0.0


@dataclass(frozen=True)
class Held:
    """A body of which ``sizes`` arrive, one size at each step of time."""

    sizes: tuple[int, ...]
    is_whole: bool = False
    answer_bytes: int | None = None


STEP_MS = 500.0
# Bodies that are there, and the numbers of those that give way to a large one that begins then.
CASES: dict[str, tuple[list[Held], list[int]]] = {
    "there is room": ([Held((LARGE_BYTES,))], []),
    "the stalled one": ([Held((1, 1, LARGE_BYTES)), Held((LARGE_BYTES, 0, 0))], [1]),
    "the slow one": ([Held((LARGE_BYTES, 1, 1)), Held((200_000, 100_000, 100_000))], [0]),
    "the larger of two stalled ones": ([Held((300_000, 0, 0)), Held((400_000, 0, 0))], [1]),
    "small ones stay": (
        [Held((LARGE_BYTES, 0, 0)), *[Held((SMALL_BODY_BYTES, 0, 0))] * 20],
        [0],
    ),
    "forwarded ones stay": (
        [Held((LARGE_BYTES, 0, 0), is_whole=True), Held((0, 0, 300_000))],
        [1],
    ),
    "an answer that is not taken": (
        [Held((100,), is_whole=True, answer_bytes=LARGE_BYTES), Held((0, 0, 300_000))],
        [0],
    ),
}


class BodyBudgetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = _Clock()
        self.budget = BodyBudget(LIMIT_BYTES, lambda: self.clock.now_ms)
        self.dropped: list[Upload] = []

    def begin(self) -> Upload:
        upload = self.budget.begin(lambda: self.dropped.append(upload))
        return upload

    def hold(self, bodies: list[Held]) -> list[Upload]:
        uploads = [self.begin() for _ in bodies]
        for step in range(3):
            for upload, body in zip(uploads, bodies, strict=True):
                if step < len(body.sizes) and body.sizes[step]:
                    upload.add(body.sizes[step])
                if step == 0 and body.is_whole:
                    upload.hand_over()
                if step == 0 and body.answer_bytes is not None:
                    upload.answer(body.answer_bytes)
            self.clock.now_ms += STEP_MS
        return uploads

    def test_which_bodies_give_way_to_a_new_one(self) -> None:
        """Guards against small, recent or forwarded bodies that give way to a crowd."""
        for name, (bodies, dropped) in CASES.items():
            with self.subTest(name):
                self.setUp()
                uploads = self.hold(bodies)
                self.begin().add(LARGE_BYTES)
                self.assertEqual(
                    [uploads.index(upload) for upload in self.dropped if upload in uploads], dropped
                )
                self.assertTrue(all(upload.dropped for upload in self.dropped))

    def test_small_bodies_are_taken_beyond_the_limit(self) -> None:
        """Guards against ordinary requests that a crowd of forwarded bodies shuts out."""
        for _ in range(3):
            upload = self.begin()
            upload.add(333_000)
            upload.hand_over()
        small = self.begin()
        self.assertTrue(small.fits(SMALL_BODY_BYTES))
        small.add(SMALL_BODY_BYTES)
        self.assertEqual(self.dropped, [])
        self.assertFalse(small.fits(SMALL_BODY_BYTES + 1))

    def test_a_new_body_gives_way_to_forwarded_ones(self) -> None:
        """Guards against a crowd of whole bodies that are held beyond the limit."""
        held = self.begin()
        held.add(LIMIT_BYTES - LARGE_BYTES)
        held.hand_over()
        new = self.begin()
        self.assertTrue(new.fits(LARGE_BYTES))
        new.add(LARGE_BYTES + 1)
        self.assertEqual(self.dropped, [new])
        self.assertEqual(self.budget.held_bytes, LIMIT_BYTES - LARGE_BYTES)

    def test_what_has_ended_is_not_counted(self) -> None:
        """Guards against a host that refuses bodies because of requests that have ended."""
        for _ in range(20):
            upload = self.begin()
            upload.add(LARGE_BYTES)
            upload.hand_over()
            upload.answer(2 * LARGE_BYTES)
            upload.end()
            upload.end()
        self.assertEqual((self.dropped, self.budget.held_bytes), ([], 0))
        self.assertTrue(self.begin().fits(LIMIT_BYTES))

    def test_what_was_dropped_is_not_counted_again(self) -> None:
        """Guards against a reader that goes on counting a body that has given way."""
        first, second = self.begin(), self.begin()
        first.add(LARGE_BYTES)
        self.clock.now_ms += STEP_MS
        second.add(LIMIT_BYTES)
        first.add(LARGE_BYTES)
        self.assertEqual((self.dropped, self.budget.held_bytes), ([first], LIMIT_BYTES))

    def test_limits_by_memory(self) -> None:
        """Guards against a host on which a single legal body has no room."""
        cases = {None: DEFAULT_LIMIT_BYTES, 136_000_000: 17_000_000, 10_000_000: MIN_LIMIT_BYTES}
        for memory_bytes, limit_bytes in cases.items():
            with self.subTest(memory_bytes):
                self.assertEqual(upload_limit_bytes(memory_bytes), limit_bytes)


if __name__ == "__main__":
    unittest.main()
