"""Single rules of engine memory and the prefix cache."""

import unittest

from medlarvale.ids import AttemptNumber, RequestId
from medlarvale.standins.engine_errors import StaleAttemptError
from medlarvale.standins.engine_memory import (
    FENCE_KEEP_MS,
    EngineMemory,
    HoldKey,
    PrefixCache,
    PrefixChange,
)


def key(request: str, attempt: int = 1) -> HoldKey:
    """Returns the key of an attempt."""
    return HoldKey(RequestId(request), AttemptNumber(attempt))


class EngineMemoryTest(unittest.TestCase):
    def test_fence_outlives_its_request(self) -> None:
        """Guards against a late call of a cancelled attempt that finds memory free."""
        for name, now_ms, refused in (
            ("shortly after", FENCE_KEEP_MS - 1.0, True),
            ("after the fence's time", FENCE_KEEP_MS, False),
        ):
            with self.subTest(name):
                memory = EngineMemory(slots=1, pieces=1, tokens_per_piece=1)
                memory.cancel(key("a", 3), 0.0)
                memory.expire(now_ms)
                if refused:
                    self.assertRaises(StaleAttemptError, memory.check_attempt, key("a", 3))
                else:
                    memory.check_attempt(key("a", 3))
                memory.check_attempt(key("a", 4))

    def test_pieces_for_tokens(self) -> None:
        """Guards against a KV cache that is rounded down."""
        memory = EngineMemory(slots=1, pieces=1, tokens_per_piece=2_000)
        for tokens, pieces in ((0, 0), (1, 1), (2_000, 1), (2_001, 2)):
            with self.subTest(tokens=tokens):
                self.assertEqual(memory.pieces_for(tokens), pieces)


class PrefixCacheTest(unittest.TestCase):
    def test_least_recently_used_block_leaves(self) -> None:
        """Guards against unlimited caches and against eviction of a prefix's start."""
        cache = PrefixCache(capacity_blocks=3, block_tokens=10)
        cache.add([1, 2])
        cache.add([5])
        self.assertEqual(cache.cached_tokens([1, 2, 3]), 20)
        self.assertEqual(cache.add([7]), [PrefixChange("added", 7), PrefixChange("evicted", 5)])
        self.assertEqual(cache.cached_tokens([5]), 0)
        self.assertEqual(cache.cached_tokens([9, 2]), 0)
        self.assertEqual(len(cache.add([11, 12, 13, 14])), 6)
        self.assertEqual(cache.cached_tokens([11, 12, 13, 14]), 30)
