"""Activation and end of faults."""

import math
import unittest
from unittest.mock import Mock

from medlarvale.standins.engine_faults import Fault, FaultKind, FaultState, StallTarget
from medlarvale.standins.engine_model import tokenize

STREAMS, TRANSFERS, ALL = StallTarget.STREAMS, StallTarget.TRANSFERS, StallTarget.ALL


class FaultStateTest(unittest.TestCase):
    def test_stalls_stop_their_target_for_their_time(self) -> None:
        """Guards against a stall that stops other activities or never ends."""
        cases = (
            ("streams only", STREAMS, 100, 50.0, (True, False)),
            ("transfers only", TRANSFERS, 100, 50.0, (False, True)),
            ("all", ALL, 100, 50.0, (True, True)),
            ("ended", ALL, 100, 100.0, (False, False)),
            ("until none", ALL, 0, 1e9, (True, True)),
        )
        for name, target, duration_ms, now_ms, stalled in cases:
            with self.subTest(name):
                faults = FaultState()
                faults.apply(Fault(FaultKind.STALL, duration_ms, target), 0.0)
                found = tuple(faults.is_stalled(each, now_ms) for each in (STREAMS, TRANSFERS))
                self.assertEqual(found, stalled)
                self.assertEqual(math.isinf(faults.transfer_factor(now_ms)), stalled[1])
                faults.apply(Fault(FaultKind.NONE), now_ms)
                self.assertFalse(faults.is_stalled(target, now_ms))

    def test_crash_slow_poison_and_none(self) -> None:
        """Guards against faults that do nothing or cannot be switched off."""
        faults = FaultState("venom", crash=Mock())
        self.assertTrue(faults.is_poisoned(tokenize("some venom here")))
        faults.apply(Fault(FaultKind.POISON, word="toxin"), 0.0)
        self.assertFalse(faults.is_poisoned(tokenize("some venom here")))
        self.assertTrue(faults.is_poisoned(tokenize("toxin")))
        faults.apply(Fault(FaultKind.SLOW, factor=3.0), 0.0)
        self.assertEqual((faults.factor, faults.transfer_factor(0.0)), (3.0, 3.0))
        faults.apply(Fault(FaultKind.CRASH), 0.0)
        faults.crash.assert_called_once_with()
        faults.apply(Fault(FaultKind.NONE), 0.0)
        self.assertEqual((faults.factor, faults.is_poisoned(tokenize("toxin"))), (1.0, False))
