"""Tests of the event stream splitter."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from medlarvale.forwarding.events import EventSplitter

STREAM = b"".join(b"id: %d\ndata: token %d\n\n" % (number, number) for number in range(1, 9))


class EventSplitterTest(unittest.TestCase):
    def test_an_incomplete_event_is_buffered(self) -> None:
        """Guards against an event that is truncated by the loss of an engine and then sent
        again."""
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda"), b"id: 1\ndata: a\n\n")
        self.assertEqual((splitter.last_id, splitter.rest), (1, b"id: 2\nda"))
        self.assertEqual(splitter.feed(b"ta: b\n\n"), b"id: 2\ndata: b\n\n")
        self.assertEqual((splitter.last_id, splitter.rest), (2, b""))

    def test_line_endings(self) -> None:
        for end in (b"\n", b"\r\n"):
            with self.subTest(end):
                splitter = EventSplitter()
                event = b"id:5" + end + b"data: x" + end + end
                self.assertEqual(splitter.feed(event), event)
                self.assertEqual(splitter.last_id, 5)

    @given(st.lists(st.integers(0, len(STREAM)), max_size=12))
    def test_the_output_is_independent_of_chunk_boundaries(self, cuts: list[int]) -> None:
        """Guards against bytes that are lost or duplicated at chunk boundaries."""
        splitter, out, start = EventSplitter(), b"", 0
        for cut in [*sorted(cuts), len(STREAM)]:
            out += splitter.feed(STREAM[start:cut])
            start = cut
        self.assertEqual(out + splitter.rest, STREAM)
        self.assertEqual(splitter.last_id, 8)
