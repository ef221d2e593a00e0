"""Frames between entry hosts: authentication, receiver check and replay protection."""

from __future__ import annotations

import enum
import hashlib
import hmac
from collections.abc import Mapping

import msgspec

from medlarvale.errors import DECODE_ERRORS
from medlarvale.ids import HostId, HostIdentity, Incarnation
from medlarvale.peers.errors import FrameRejectedError

MAC_BYTES = hashlib.sha256().digest_size
# Frames older than this are dropped, because nng may deliver queued frames after a reconnect.
STALE_FRAME_MS = 10_000
REPLAY_WINDOW = 8192


class FrameKind(enum.Enum):
    """Kind of a frame: a request, its reply or the failure to handle it."""

    REQUEST = "q"
    REPLY = "r"
    FAILURE = "f"


class Frame(msgspec.Struct, array_like=True):
    """Envelope of one message.

    Attributes:
        nonce: counter that the sender's incarnation never reuses.
        in_reply_to: nonce of the request that this frame replies to; 0 in a request.
        body: the encoded message.
    """

    sender: HostId
    incarnation: Incarnation
    receiver: HostId
    reply_address: str
    nonce: int
    in_reply_to: int
    kind: FrameKind
    sent_at_ms: int
    body: bytes


class SharedKeys:
    """Shared keys that sign and verify the frames of a deployment.

    Several keys are accepted, so that keys can be rotated; the first one signs.

    Args:
        keys: secrets by key id, the signing one first; key ids are 1 to 255 bytes of ASCII.

    Raises:
        ValueError: there is no key, or a key id or secret has an invalid length.
    """

    def __init__(self, keys: Mapping[str, bytes]) -> None:
        self._secrets = _validated_secrets(keys)
        self._signing_id = next(iter(self._secrets))
        self._removed_at_ms: dict[bytes, int] = {}

    def replace(self, keys: Mapping[str, bytes], wall_ms: int) -> None:
        """Replaces the keys; the first of ``keys`` signs from now on.

        Removed keys are accepted for another ``STALE_FRAME_MS``, because frames that they signed
        may still be in transit. After that time ``discard_expired_keys`` removes them.

        Raises:
            ValueError: the keys are invalid, or a known key id has a different secret, whose frames
                hosts with the previous secret would drop. The keys remain unchanged.
        """
        secrets = _validated_secrets(keys)
        for key_id, secret in secrets.items():
            if self._secrets.get(key_id, secret) != secret:
                raise ValueError(
                    f"key {key_id.decode()!r}: a different secret requires a new key id"
                )
        for key_id in self._secrets:
            if key_id not in secrets:
                self._removed_at_ms.setdefault(key_id, wall_ms)
        for key_id in secrets:
            self._removed_at_ms.pop(key_id, None)
        self._signing_id = next(iter(secrets))
        self._secrets.update(secrets)

    def discard_expired_keys(self, wall_ms: int) -> None:
        """Discards the keys that were removed more than ``STALE_FRAME_MS`` ago."""
        for key_id, removed_at_ms in list(self._removed_at_ms.items()):
            if wall_ms - removed_at_ms > STALE_FRAME_MS:
                del self._removed_at_ms[key_id], self._secrets[key_id]

    def sign(self, payload: bytes) -> bytes:
        """Returns the payload prefixed with the key id and the MAC."""
        mac = hmac.digest(self._secrets[self._signing_id], payload, "sha256")
        return bytes([len(self._signing_id)]) + self._signing_id + mac + payload

    def verify(self, data: bytes) -> bytes:
        """Returns the payload of signed data.

        Raises:
            FrameRejectedError: the key id is unknown, the MAC is wrong or the data is too short.
        """
        id_end = 1 + (data[0] if data else 0)
        key_id = data[1:id_end]
        mac = data[id_end : id_end + MAC_BYTES]
        payload = data[id_end + MAC_BYTES :]
        secret = self._secrets.get(key_id)
        if secret is None:
            raise FrameRejectedError("unknown key id")
        if not hmac.compare_digest(mac, hmac.digest(secret, payload, "sha256")):
            raise FrameRejectedError("wrong MAC")
        return payload


def _validated_secrets(keys: Mapping[str, bytes]) -> dict[bytes, bytes]:
    if not keys:
        raise ValueError("at least one shared key is required")
    for key_id, secret in keys.items():
        if not 1 <= len(key_id.encode()) <= 255:
            raise ValueError(f"key id {key_id!r} must have 1 to 255 bytes")
        if len(secret) < 16:
            raise ValueError(f"key {key_id!r}: the secret must have at least 16 bytes")
    return {key_id.encode(): secret for key_id, secret in keys.items()}


class ReplayWindow:
    """Nonces received from one incarnation of a sender."""

    def __init__(self) -> None:
        self._highest = 0
        self._seen: set[int] = set()

    def accept(self, nonce: int) -> bool:
        """Records a nonce; returns False if it was seen before or is older than the window."""
        if nonce <= self._highest - REPLAY_WINDOW or nonce in self._seen:
            return False
        self._seen.add(nonce)
        self._highest = max(self._highest, nonce)
        if len(self._seen) > 2 * REPLAY_WINDOW:
            lowest = self._highest - REPLAY_WINDOW
            self._seen = {seen for seen in self._seen if seen > lowest}
        return True


class FrameGuard:
    """Decodes received frames and rejects those that must not be handled.

    Args:
        keys: the shared keys.
        identity: the receiving host.
        started_wall_ms: start of this incarnation; frames sent before it were addressed to an
            earlier one.
        clock_bound_ms: maximum difference between the clocks of two hosts.
        aliases: other names of the receiving host, such as its address before its name is known.
    """

    def __init__(
        self,
        keys: SharedKeys,
        identity: HostIdentity,
        started_wall_ms: int,
        clock_bound_ms: int = 500,
        aliases: frozenset[HostId] = frozenset(),
    ) -> None:
        self.keys = keys
        self._names = aliases | {identity.host}
        self._oldest_ms = started_wall_ms - clock_bound_ms
        self._decoder = msgspec.msgpack.Decoder(Frame)
        self._incarnations: dict[HostId, Incarnation] = {}
        self._windows: dict[HostId, ReplayWindow] = {}

    def open(self, data: bytes, wall_ms: int) -> Frame:
        """Returns the frame in ``data``.

        Raises:
            FrameRejectedError: the frame must not be handled; the message contains the reason.
        """
        self.keys.discard_expired_keys(wall_ms)
        payload = self.keys.verify(data)
        try:
            frame = self._decoder.decode(payload)
        except DECODE_ERRORS as error:
            raise FrameRejectedError(f"malformed frame: {error}") from error
        self._check_receiver_and_age(frame, wall_ms)
        self._check_sender(frame)
        return frame

    def _check_receiver_and_age(self, frame: Frame, wall_ms: int) -> None:
        if frame.receiver not in self._names:
            raise FrameRejectedError(f"frame is addressed to {frame.receiver}")
        if abs(wall_ms - frame.sent_at_ms) > STALE_FRAME_MS or frame.sent_at_ms < self._oldest_ms:
            raise FrameRejectedError("stale frame")

    def _check_sender(self, frame: Frame) -> None:
        previous = self._incarnations.get(frame.sender)
        if previous is not None and frame.incarnation < previous:
            raise FrameRejectedError("older incarnation of the sender")
        if previous is None or frame.incarnation > previous:
            self._incarnations[frame.sender] = frame.incarnation
            self._windows[frame.sender] = ReplayWindow()
        if not self._windows[frame.sender].accept(frame.nonce):
            raise FrameRejectedError("repeated nonce")
