"""Tests of the pacing of reads, without a network and without the time."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable
from dataclasses import dataclass

from medlarvale.uploads.read_pacing import (
    MIN_READ_BYTES,
    PASS_BYTES,
    PASS_FRAMING_BYTES,
    ReadPacer,
    SmallReads,
)

SMALL = b"s" * 100
LARGE = b"l" * (PASS_BYTES // 4)


class _Connection:
    """Records the reads that it has parsed in a shared list."""

    def __init__(self, name: str, parsed: list[str], framing_bytes: int = 0) -> None:
        self._name, self._parsed, self._framing_bytes = name, parsed, framing_bytes

    def take_turn(self, data: bytes) -> int:
        self._parsed.append(self._name)
        return self._framing_bytes


@dataclass(frozen=True)
class Read:
    """A read of a connection, all in the same pass."""

    name: str
    data: bytes = SMALL
    costly: bool = False
    framing_bytes: int = 0


def costly(name: str, framing_bytes: int = PASS_FRAMING_BYTES) -> Read:
    """Returns a read of a connection whose input is costly."""
    return Read(name, SMALL, True, framing_bytes)


# Reads of the first pass, and what is parsed in it and in each further one.
CASES: dict[str, tuple[list[Read], list[str]]] = {
    "ordinary reads": ([Read("a"), Read("b"), Read("a")], ["aba"]),
    "costly reads, one in a pass": ([costly("a"), costly("b"), costly("c")], ["", "a", "b", "c"]),
    "costly reads of little framing": ([costly("a", 1), costly("b", 1)], ["", "ab"]),
    "ordinary reads beside costly ones": ([costly("a"), Read("b"), costly("c")], ["b", "a", "c"]),
    "reads beyond the bytes of a pass": (
        [Read(name, LARGE) for name in "abcdefghi"],
        ["abcd", "efgh", "i"],
    ),
    "a small read beyond the bytes of a pass": (
        [*(Read(name, LARGE) for name in "abcd"), Read("e")],
        ["abcd", "e"],
    ),
    "reads of a connection that waits stay in order": (
        [costly("a"), Read("a"), Read("b")],
        ["b", "a"],
    ),
}


class PacerTest(unittest.TestCase):
    def test_what_is_parsed_in_each_pass(self) -> None:
        """Guards against costly input that holds up ordinary requests, and against input that is
        never parsed or is parsed out of order."""
        for name, (reads, expected) in CASES.items():
            with self.subTest(name):
                calls: list[Callable[[], None]] = []
                parsed: list[str] = []
                pacer = ReadPacer(calls.append)
                connections = {
                    read.name: _Connection(read.name, parsed, read.framing_bytes) for read in reads
                }
                for read in reads:
                    if pacer.admit(connections[read.name], read.data, read.costly):
                        parsed.append(read.name)
                passes = ["".join(parsed)]
                while calls:
                    parsed.clear()
                    calls.pop()()
                    passes.append("".join(parsed))
                self.assertEqual([*passes[:1], *filter(None, passes[1:])], expected)
                self.assertEqual(pacer.waiting, 0)

    def test_all_that_a_connection_sent_is_parsed_in_its_turn(self) -> None:
        """Guards against a part of a body that is lost while its connection waits."""
        calls: list[Callable[[], None]] = []
        pacer, received = ReadPacer(calls.append), []

        class Connection:
            def take_turn(self, data: bytes) -> int:
                received.append(data)
                return 0

        connection = Connection()
        self.assertFalse(pacer.admit(connection, b"a", True))
        self.assertFalse(pacer.admit(connection, b"b", False))
        calls.pop()()
        self.assertEqual(received, [b"ab"])

    def test_a_closed_connection_has_no_turn(self) -> None:
        """Guards against reads that stay in memory after their connection."""
        calls: list[Callable[[], None]] = []
        pacer, parsed = ReadPacer(calls.append), list[str]()
        connection = _Connection("a", parsed)
        pacer.admit(connection, SMALL, True)
        pacer.forget(connection)
        calls.pop()()
        self.assertEqual((parsed, pacer.waiting, calls), ([], 0, []))


class SmallReadsTest(unittest.TestCase):
    def test_the_connection_chooses_the_size_of_a_read(self) -> None:
        """Guards against reads of 256 KiB for each of a thousand connections in one pass."""
        parts: list[bytes] = []

        class Connection(asyncio.Protocol):
            def data_received(self, data: bytes) -> None:
                parts.append(data)

        buffer = memoryview(bytearray(4 * MIN_READ_BYTES))
        reads = SmallReads(Connection(), lambda: MIN_READ_BYTES, buffer)
        for text in (b"one", b"two"):
            offered = reads.get_buffer(1_000_000)
            self.assertEqual(len(offered), MIN_READ_BYTES)
            offered[: len(text)] = text
            reads.buffer_updated(len(text))
        self.assertEqual(parts, [b"one", b"two"])


if __name__ == "__main__":
    unittest.main()
