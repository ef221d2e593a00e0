"""Tests that spans reach the ring and the file and continue the trace of the caller."""

import json
import tempfile
import unittest
from pathlib import Path

from medlarvale.tracing import (
    Tracing,
    child_context,
    context_from,
    open_span,
    span_as_json,
    traceparent_of,
)

PARENT = f"00-{'a' * 32}-{'b' * 16}-01"


class TracingTest(unittest.TestCase):
    def test_spans_are_kept_and_written(self) -> None:
        """Guards against lost spans, a ring without a limit, and spans without their parent."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "spans.jsonl"
            tracing = Tracing("entry-1", ring_spans=2, path=path)
            with open_span(tracing.tracer, "outer", context_from({"traceparent": PARENT})) as outer:
                self.assertEqual(traceparent_of(outer)[:35], PARENT[:35])
                for name in ("first", "second"):
                    with open_span(tracing.tracer, name, child_context(outer), {"n": 1}):
                        pass
            tracing.shutdown()
            written = [json.loads(line) for line in path.read_text().splitlines()]
        self.assertEqual([span["name"] for span in written], ["first", "second", "outer"])
        self.assertEqual({span["context"]["trace_id"] for span in written}, {"0x" + "a" * 32})
        kept = [span_as_json(span) for span in tracing.ring.spans()]
        self.assertEqual([span["name"] for span in kept], ["second", "outer"])

    def test_bad_traceparent_starts_a_new_trace(self) -> None:
        """Guards against a request that fails because of a malformed trace header."""
        tracing = Tracing("entry-1")
        for value in ("", "x", PARENT[:-1], PARENT.replace("a", "0"), "00-" + "é" * 32):
            with open_span(tracing.tracer, "s", context_from({"traceparent": value})) as span:
                self.assertNotIn("a" * 32, traceparent_of(span))
        with self.assertRaises(ValueError), open_span(tracing.tracer, "failing", context_from({})):
            raise ValueError
        self.assertFalse(tracing.ring.spans()[-1].status.is_ok)
