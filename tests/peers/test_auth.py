"""Guards against forged, misaddressed, stale and repeated frames and earlier incarnations."""

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


def make_frame(**changes: object) -> Frame:
    unchanged = Frame(
        HostId("a"), Incarnation(5), RECEIVER.host, "tcp://a", 1, 0, FrameKind.REQUEST, NOW_MS, b"x"
    )
    return msgspec.structs.replace(unchanged, **changes)


def deep_frame() -> bytes:
    """Returns a signed frame with a deeply nested field that this build does not know."""
    fields = msgspec.to_builtins(make_frame(), builtin_types=(bytes,))
    data = msgspec.msgpack.encode([*fields, None])
    return SharedKeys(OLD).sign(data[:-1] + b"\x91" * 20_000 + b"\xc0")


def sign_content(content: object, keys: dict[str, bytes] = OLD) -> bytes:
    return SharedKeys(keys).sign(msgspec.msgpack.encode(content))


def make_guard(keys: dict[str, bytes] = OLD) -> FrameGuard:
    return FrameGuard(SharedKeys(keys), RECEIVER, NOW_MS - 60_000)


class FrameGuardTest(unittest.TestCase):
    def test_invalid_frame_is_rejected(self) -> None:
        """Guards against forged, altered, misaddressed and stale frames that are accepted."""
        valid = sign_content(make_frame())
        expired_ms = NOW_MS + STALE_FRAME_MS + 1
        cases = [
            ("wrong secret", sign_content(make_frame(), {"old": b"x" * 16}), NOW_MS),
            ("unknown key", sign_content(make_frame(), NEW), NOW_MS),
            ("tampered", valid[:-1] + bytes([valid[-1] ^ 1]), NOW_MS),
            ("truncated", valid[:-1], NOW_MS),
            ("other receiver", sign_content(make_frame(receiver=HostId("c"))), NOW_MS),
            ("stale", valid, expired_ms),
            ("from the future", sign_content(make_frame(sent_at_ms=expired_ms)), NOW_MS),
            (
                "for an earlier incarnation",
                sign_content(make_frame(sent_at_ms=NOW_MS - 60_501)),
                NOW_MS - 60_000,
            ),
            ("empty", b"", NOW_MS),
            ("deeply nested", deep_frame(), NOW_MS),
            ("not a frame", sign_content(["a", 1]), NOW_MS),
            (
                "huge numbers",
                sign_content([*msgspec.to_builtins(make_frame())[:4], 2**64 - 1, {}]),
                NOW_MS,
            ),
        ]
        self.assertEqual(make_guard().open(valid, NOW_MS), make_frame())
        for name, data, wall_ms in cases:
            with self.subTest(name), self.assertRaises(FrameRejectedError):
                make_guard().open(data, wall_ms)

    def test_repeated_nonce_and_older_incarnation_are_rejected(self) -> None:
        """Guards against replayed frames and frames of an incarnation before a restart."""
        frame_guard = make_guard()
        frame_guard.open(sign_content(make_frame()), NOW_MS)
        frame_guard.open(sign_content(make_frame(nonce=2)), NOW_MS)
        frame_guard.open(sign_content(make_frame(incarnation=6)), NOW_MS)
        for repeated in (make_frame(incarnation=6), make_frame(nonce=3)):
            with self.subTest(repeated), self.assertRaises(FrameRejectedError):
                frame_guard.open(sign_content(repeated), NOW_MS)

    def test_sender_is_accepted_after_a_rejected_frame(self) -> None:
        """Guards against a stale frame of a later incarnation that locks out the current one."""
        frame_guard = make_guard()
        stale = make_frame(incarnation=7, sent_at_ms=NOW_MS - STALE_FRAME_MS - 1)
        with self.assertRaises(FrameRejectedError):
            frame_guard.open(sign_content(stale), NOW_MS)
        frame_guard.open(sign_content(make_frame()), NOW_MS)

    def test_frames_are_accepted_during_key_rotation(self) -> None:
        """Guards against frames rejected between hosts with the old and the new order of keys."""
        for keys in ({**OLD, **NEW}, {**NEW, **OLD}):
            with self.subTest(first=next(iter(keys))):
                frame_guard = make_guard(keys)
                frame_guard.open(sign_content(make_frame(), OLD), NOW_MS)
                frame_guard.open(sign_content(make_frame(nonce=2), NEW), NOW_MS)
                first = dict([next(iter(keys.items()))])
                make_guard(first).open(sign_content(make_frame(), keys), NOW_MS)

    def test_invalid_keys_raise_value_error(self) -> None:
        """Guards against weak or unusable keys that are accepted."""
        for keys in ({}, {"": b"x" * 16}, {"k" * 256: b"x" * 16}, {"k": b"x" * 15}):
            with self.subTest(keys=keys), self.assertRaises(ValueError):
                SharedKeys(keys)

    @given(st.binary(max_size=200) | st.binary(max_size=200).map(SharedKeys(OLD).sign))
    def test_malformed_data_raises_only_frame_rejected_error(self, data: bytes) -> None:
        """Guards against malformed data that raises an error of another type."""
        with contextlib.suppress(FrameRejectedError):
            make_guard().open(data, NOW_MS)

    @given(st.lists(st.none() | st.integers(-(2**63), 2**64 - 1) | st.text() | st.binary()))
    def test_malformed_fields_raise_only_frame_rejected_error(self, fields: list[object]) -> None:
        """Guards against signed but malformed fields that raise an error of another type."""
        builtins = [*msgspec.to_builtins(make_frame(), builtin_types=(bytes,))]
        for position, value in enumerate(fields[: len(builtins)]):
            changed = [*builtins]
            changed[position] = value
            with contextlib.suppress(FrameRejectedError):
                make_guard().open(sign_content(changed), NOW_MS)

    @given(st.lists(st.integers(0, 3 * REPLAY_WINDOW)))
    def test_window_accepts_each_nonce_once(self, nonces: list[int]) -> None:
        """Guards against a nonce that is accepted twice."""
        window = ReplayWindow()
        accepted = [nonce for nonce in [*nonces, *nonces] if window.accept(nonce)]
        self.assertEqual(len(accepted), len(set(accepted)))
