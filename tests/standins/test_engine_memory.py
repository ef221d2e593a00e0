"""Rules of engine memory and the prefix cache."""

import unittest

from medlarvale.standins.engine_errors import StaleAttemptError
from medlarvale.standins.engine_memory import FENCE_TTL_MS, EngineMemory, PrefixCache, PrefixChange
from tests.standins.support import hold_key


class EngineMemoryTest(unittest.TestCase):
    def test_fence_outlives_its_request(self) -> None:
        """Guards against a late call of a cancelled attempt that is admitted."""
        memory = EngineMemory(slots=1, kv_blocks=1, tokens_per_kv_block=1)
        memory.cancel(hold_key("a", 3), 0.0)
        memory.expire(FENCE_TTL_MS - 1.0)
        self.assertRaises(StaleAttemptError, memory.check_attempt, hold_key("a", 3))
        memory.check_attempt(hold_key("a", 4))
        memory.expire(FENCE_TTL_MS)
        memory.check_attempt(hold_key("a", 3))

    def test_kv_blocks_are_rounded_up(self) -> None:
        """Guards against a KV cache whose last, partly filled KV block is not counted."""
        memory = EngineMemory(slots=1, kv_blocks=1, tokens_per_kv_block=2_000)
        kv_blocks = [memory.kv_blocks_for(tokens) for tokens in (0, 1, 2_000, 2_001)]
        self.assertEqual(kv_blocks, [0, 1, 1, 2])


class PrefixCacheTest(unittest.TestCase):
    def test_least_recently_used_block_is_evicted(self) -> None:
        """Guards against unbounded caches, and against eviction of the start of a prefix first."""
        cache = PrefixCache(capacity_blocks=3, block_tokens=10)
        cache.add([1, 2])
        cache.add([5])
        self.assertEqual(cache.cached_tokens([1, 2, 3]), 20)
        self.assertEqual(cache.add([7]), [PrefixChange("stored", 7), PrefixChange("evicted", 5)])
        self.assertEqual(cache.cached_tokens([5]), 0)
        self.assertEqual(cache.cached_tokens([9, 2]), 0)
        self.assertEqual(len(cache.add([11, 12, 13, 14])), 6)
        self.assertEqual(cache.cached_tokens([11, 12, 13, 14]), 30)
