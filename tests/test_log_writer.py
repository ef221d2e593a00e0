"""Tests that log lines never block the process and that dropped lines are counted."""

import fcntl
import os
import unittest

from medlarvale.log_writer import BURST_LINES, LINES_PER_S, BoundedLineWriter


class BoundedLineWriterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_ms = 0.0
        self.reader, self.descriptor = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.descriptor)
        self.writer = BoundedLineWriter(self.descriptor, lambda: self.now_ms)

    def test_lines_above_the_rate_are_dropped(self) -> None:
        """Guards against logging that takes processor time from requests."""
        for _ in range(int(BURST_LINES) + 500):
            self.writer.write("x\n")
        self.assertEqual(self.writer.dropped, 500)
        self.now_ms = 1_000.0
        for _ in range(int(LINES_PER_S) + 10):
            self.writer.write("x\n")
        self.assertEqual(self.writer.dropped, 510)

    def test_stopped_reader_does_not_block_the_writer(self) -> None:
        """Guards against a process that hangs in a write to a full pipe, and split lines."""
        size = fcntl.fcntl(self.descriptor, fcntl.F_GETPIPE_SZ)
        line = "y" * 4_095 + "\n"
        lines = (size + 1024 * 1024) // len(line)
        for _ in range(lines):
            self.writer.write(line)
        self.assertGreater(self.writer.dropped, 0)
        received = os.read(self.reader, size)
        self.writer.flush()
        received += os.read(self.reader, size)
        unsplit = [part for part in received.split(b"\n")[:-1] if part == line.encode()[:-1]]
        self.assertEqual(len(unsplit), received.count(b"\n"), "no line is split")
