"""Guards against text that is parsed into values other than those its author meant."""

from __future__ import annotations

import unittest

from medlarvale.settings.parsing import parse_text


class ParseTextTest(unittest.TestCase):
    def test_scalars_follow_json_rules(self) -> None:
        cases = {
            b"a: 12": 12,
            b"a: -1.5e3": -1500.0,
            b"a: true": True,
            b"a: no": "no",
            b"a: 010": "010",
            b"a: 1:30": "1:30",
            b"a: 2026-01-01": "2026-01-01",
            b"a:": None,
            b'{"a": "\\ud83d\\ude00"}': "\U0001f600",
            b"a: " + b"9" * 6_000: "9" * 6_000,
        }
        for text, expected in cases.items():
            with self.subTest(text=text[:30]):
                parsed = parse_text(text)
                self.assertEqual(parsed.value, {"a": expected})
                self.assertEqual(parsed.problems, [])

    def test_problems_are_reported_with_their_path(self) -> None:
        cases = [
            (b"a: {b: 1, b: 2}", "a/b", "each key once"),
            (b'{"a": [{"b": 1, "b": 2}]}', "a/0/b", "each key once"),
            (b"a: &x [1]\nb: *x", "b", "a value without YAML aliases"),
            (b"7: x", "7", "a key that is a string"),
            (b"? [a]\n: 1", "?", "a key that is a string"),
        ]
        for text, path, expected in cases:
            with self.subTest(text=text):
                found = [(problem.path, problem.expected) for problem in parse_text(text).problems]
                self.assertEqual(found, [(path, expected)])

    def test_unreadable_text_is_reported_and_raises_nothing(self) -> None:
        for text in (b"\xff", b"a: [", b"[" * 50_000, b'{"a":' * 50_000, b"- " * 50_000):
            with self.subTest(text=text[:10]):
                parsed = parse_text(text)
                self.assertFalse(parsed.readable)
                self.assertEqual(len(parsed.problems), 1)
