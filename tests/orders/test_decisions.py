"""Guards against weight loads that together exceed the bandwidth of the weight store."""

import unittest

from medlarvale.orders.decisions import TokenBucket


class TokenBucketTest(unittest.TestCase):
    def test_loads_do_not_exceed_the_rate(self) -> None:
        bucket = TokenBucket(1_000.0, 2, 0.0)
        cases = [
            (0.0, True),
            (0.0, True),
            (0.0, False),
            (999.0, False),
            (1_000.0, True),
            (1_500.0, False),
            (60_000.0, True),
            (60_000.0, True),
            (60_000.0, False),
        ]
        for now_ms, expected in cases:
            with self.subTest(now_ms=now_ms):
                self.assertEqual(bucket.try_acquire(now_ms), expected)


if __name__ == "__main__":
    unittest.main()
