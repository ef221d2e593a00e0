"""Identifier types, distinct for values of the same underlying type."""

from __future__ import annotations

import secrets
from typing import NewType

import msgspec

HostId = NewType("HostId", str)
Incarnation = NewType("Incarnation", int)
ServerId = NewType("ServerId", str)
RequestId = NewType("RequestId", str)
AttemptNumber = NewType("AttemptNumber", int)
RegionName = NewType("RegionName", str)
FailureDomain = NewType("FailureDomain", str)
ServiceName = NewType("ServiceName", str)
# Version of the software of a backend server; versions have no order.
SoftwareVersion = NewType("SoftwareVersion", str)
# Digest of the id of the attempt that began a stream.
StreamKey = NewType("StreamKey", bytes)
PoolName = NewType("PoolName", str)
WorkspaceId = NewType("WorkspaceId", str)
# SHA-256 of an API key.
KeyDigest = NewType("KeyDigest", bytes)
ShardId = NewType("ShardId", int)
BookingKey = NewType("BookingKey", str)
ConfigVersion = NewType("ConfigVersion", int)
ListVersion = NewType("ListVersion", int)

INCARNATION_RANDOM_BITS = 16


class HostIdentity(msgspec.Struct, frozen=True, order=True):
    """One incarnation of an entry host.

    Attributes:
        host: the name of the host, the same after a restart.
        incarnation: larger after each restart, so that a restarted host is not mistaken for the
            process before the restart.
    """

    host: HostId
    incarnation: Incarnation

    def __str__(self) -> str:
        return f"{self.host}/{self.incarnation}"


def new_incarnation(wall_ms: int) -> Incarnation:
    """Returns a new incarnation for a process that starts at ``wall_ms``."""
    return Incarnation(
        (wall_ms << INCARNATION_RANDOM_BITS) | secrets.randbits(INCARNATION_RANDOM_BITS)
    )


def start_of_incarnation_ms(incarnation: Incarnation) -> int:
    """Returns the wall-clock time in ms at which an incarnation started."""
    return incarnation >> INCARNATION_RANDOM_BITS


def new_request_id() -> RequestId:
    """Returns a random identifier for an accepted request."""
    return RequestId(secrets.token_hex(12))
