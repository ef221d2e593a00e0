"""Guards against frames of strangers, of other receivers, of the past and of earlier lives."""

from __future__ import annotations

import contextlib
import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from medlarvale.ids import HostId, HostIdentity, Incarnation
from medlarvale.peers.auth import (
    REPLAY_WINDOW,
    STALE_FRAME_MS,
    Frame,
    FrameGuard,
    FrameKind,
    ReplayWindow,
    SharedKeys,
)
from medlarvale.peers.errors import FrameRejectedError

OLD, NEW = {"old": b"o" * 16}, {"new": b"n" * 16}
NOW_MS = 1_750_000_000_000
RECEIVER = HostIdentity(HostId("b"), Incarnation(9))


def frame(**changes: object) -> Frame:
    plain = Frame(
        HostId("a"), Incarnation(5), RECEIVER.host, "tcp://a", 1, 0, FrameKind.REQUEST, NOW_MS, b"x"
    )
    return msgspec.structs.replace(plain, **changes)


def signed(content: object, keys: dict[str, bytes] = OLD) -> bytes:
    return SharedKeys(keys).sign(msgspec.msgpack.encode(content))


def guard(keys: dict[str, bytes] = OLD) -> FrameGuard:
    return FrameGuard(SharedKeys(keys), RECEIVER, NOW_MS - 60_000)


class FrameGuardTest(unittest.TestCase):
    def test_frames_that_must_not_be_handled(self) -> None:
        good = signed(frame())
        late = NOW_MS + STALE_FRAME_MS + 1
        cases = [
            ("wrong secret", signed(frame(), {"old": b"x" * 16}), NOW_MS),
            ("unknown key", signed(frame(), NEW), NOW_MS),
            ("tampered", good[:-1] + bytes([good[-1] ^ 1]), NOW_MS),
            ("cut short", good[:-1], NOW_MS),
            ("other receiver", signed(frame(receiver=HostId("c"))), NOW_MS),
            ("stale", good, late),
            ("from the future", signed(frame(sent_at_ms=late)), NOW_MS),
            ("for an earlier life", signed(frame(sent_at_ms=NOW_MS - 60_501)), NOW_MS - 60_000),
            ("empty", b"", NOW_MS),
            ("not a frame", signed(["a", 1]), NOW_MS),
            ("huge numbers", signed([*msgspec.to_builtins(frame())[:4], 2**64 - 1, {}]), NOW_MS),
        ]
        self.assertEqual(guard().open(good, NOW_MS), frame())
        for name, data, wall_ms in cases:
            with self.subTest(name), self.assertRaises(FrameRejectedError):
                guard().open(data, wall_ms)

    def test_repeated_nonce_and_older_incarnation(self) -> None:
        opened = guard()
        opened.open(signed(frame()), NOW_MS)
        opened.open(signed(frame(nonce=2)), NOW_MS)
        opened.open(signed(frame(incarnation=6)), NOW_MS)
        for repeated in (frame(incarnation=6), frame(nonce=3)):
            with self.subTest(repeated), self.assertRaises(FrameRejectedError):
                opened.open(signed(repeated), NOW_MS)

    def test_rejected_frames_change_nothing(self) -> None:
        """A stale frame of a later incarnation must not lock the present one out."""
        opened = guard()
        stale = frame(incarnation=7, sent_at_ms=NOW_MS - STALE_FRAME_MS - 1)
        with self.assertRaises(FrameRejectedError):
            opened.open(signed(stale), NOW_MS)
        opened.open(signed(frame()), NOW_MS)

    def test_rotation(self) -> None:
        """While keys change, hosts with the old and the new order of keys understand each other."""
        for keys in ({**OLD, **NEW}, {**NEW, **OLD}):
            with self.subTest(first=next(iter(keys))):
                opened = guard(keys)
                opened.open(signed(frame(), OLD), NOW_MS)
                opened.open(signed(frame(nonce=2), NEW), NOW_MS)
                first = dict([next(iter(keys.items()))])
                guard(first).open(signed(frame(), keys), NOW_MS)

    def test_unusable_keys(self) -> None:
        for keys in ({}, {"": b"x" * 16}, {"k" * 256: b"x" * 16}, {"k": b"x" * 15}):
            with self.subTest(keys=keys), self.assertRaises(ValueError):
                SharedKeys(keys)

    @given(st.binary(max_size=200) | st.binary(max_size=200).map(SharedKeys(OLD).sign))
    def test_malformed_data_raises_nothing_else(self, data: bytes) -> None:
        with contextlib.suppress(FrameRejectedError):
            guard().open(data, NOW_MS)

    @given(st.lists(st.none() | st.integers(-(2**63), 2**64 - 1) | st.text() | st.binary()))
    def test_malformed_fields_raise_nothing_else(self, fields: list[object]) -> None:
        builtins = [*msgspec.to_builtins(frame(), builtin_types=(bytes,))]
        for position, value in enumerate(fields[: len(builtins)]):
            changed = [*builtins]
            changed[position] = value
            with contextlib.suppress(FrameRejectedError):
                guard().open(signed(changed), NOW_MS)

    @given(st.lists(st.integers(0, 3 * REPLAY_WINDOW)))
    def test_window_accepts_no_nonce_twice(self, nonces: list[int]) -> None:
        window = ReplayWindow()
        accepted = [nonce for nonce in [*nonces, *nonces] if window.accept(nonce)]
        self.assertEqual(len(accepted), len(set(accepted)))
