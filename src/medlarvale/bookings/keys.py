"""Idempotency keys: scope, shard and time of issue."""

from __future__ import annotations

import uuid

import xxhash

from medlarvale.bookings.errors import KeyMalformedError
from medlarvale.ids import BookingKey, ServiceName, ShardId, WorkspaceId

SHARD_COUNT = 64
MAX_KEY_CHARACTERS = 255
_UUID_VERSION_WITH_TIME = 7
_UUID_TIME_SHIFT_BITS = 80


def scope_key(workspace: WorkspaceId, service: ServiceName, text: str) -> BookingKey:
    """Returns the key that hosts use among themselves, scoped to the workspace and the service.

    Equal texts from different workspaces or services therefore denote different keys.

    Raises:
        KeyMalformedError: if the text is not 1 to 255 visible ASCII characters.
    """
    visible = all("!" <= character <= "~" for character in text)
    if not visible or not 1 <= len(text) <= MAX_KEY_CHARACTERS:
        raise KeyMalformedError(
            f"Idempotency-Key: expected 1 to {MAX_KEY_CHARACTERS} visible ASCII characters"
        )
    return BookingKey(f"{workspace}/{service}/{text}")


def shard_of(key: BookingKey) -> ShardId:
    """Returns the shard of a key."""
    return ShardId(xxhash.xxh3_64_intdigest(key.encode()) % SHARD_COUNT)


def issued_at_ms(key: BookingKey) -> int | None:
    """Returns the timestamp of a UUIDv7 key (RFC 9562, 5.7), or None for other keys."""
    text = key.rsplit("/", 1)[-1]
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return None
    if parsed.version != _UUID_VERSION_WITH_TIME:
        return None
    return parsed.int >> _UUID_TIME_SHIFT_BITS
