"""Single rules of engine memory and the prefix cache."""

import unittest

from medlarvale.standins.engine_errors import StaleAttemptError
from medlarvale.standins.engine_memory import FENCE_KEEP_MS, EngineMemory, PrefixCache, PrefixChange
from tests.standins.support import key


class EngineMemoryTest(unittest.TestCase):
    def test_fence_outlives_its_request(self) -> None:
        """Guards against a late call of a cancelled attempt that finds memory free."""
        memory = EngineMemory(slots=1, pieces=1, tokens_per_piece=1)
        memory.cancel(key("a", 3), 0.0)
        memory.expire(FENCE_KEEP_MS - 1.0)
        self.assertRaises(StaleAttemptError, memory.check_attempt, key("a", 3))
        memory.check_attempt(key("a", 4))
        memory.expire(FENCE_KEEP_MS)
        memory.check_attempt(key("a", 3))

    def test_pieces_for_tokens(self) -> None:
        """Guards against a KV cache that is rounded down."""
        memory = EngineMemory(slots=1, pieces=1, tokens_per_piece=2_000)
        pieces = [memory.pieces_for(tokens) for tokens in (0, 1, 2_000, 2_001)]
        self.assertEqual(pieces, [0, 1, 1, 2])


class PrefixCacheTest(unittest.TestCase):
    def test_least_recently_used_block_leaves(self) -> None:
        """Guards against unlimited caches and against eviction of a prefix's start."""
        cache = PrefixCache(capacity_blocks=3, block_tokens=10)
        cache.add([1, 2])
        cache.add([5])
        self.assertEqual(cache.cached_tokens([1, 2, 3]), 20)
        self.assertEqual(cache.add([7]), [PrefixChange("stored", 7), PrefixChange("evicted", 5)])
        self.assertEqual(cache.cached_tokens([5]), 0)
        self.assertEqual(cache.cached_tokens([9, 2]), 0)
        self.assertEqual(len(cache.add([11, 12, 13, 14])), 6)
        self.assertEqual(cache.cached_tokens([11, 12, 13, 14]), 30)
