"""Identifiers that keep apart values which share a plain type."""

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
PoolName = NewType("PoolName", str)
WorkspaceId = NewType("WorkspaceId", str)
ShardId = NewType("ShardId", int)
BookingKey = NewType("BookingKey", str)
ConfigVersion = NewType("ConfigVersion", int)
ListVersion = NewType("ListVersion", int)

INCARNATION_RANDOM_BITS = 16


class HostIdentity(msgspec.Struct, frozen=True, order=True):
    """One life of an entry host.

    Attributes:
        host: the name of the host, the same after a restart.
        incarnation: larger after each restart, so that a restarted host is not taken for its
            earlier life.
    """

    host: HostId
    incarnation: Incarnation

    def __str__(self) -> str:
        return f"{self.host}/{self.incarnation}"


def new_incarnation(wall_ms: int) -> Incarnation:
    """Draws the incarnation of a process that starts at ``wall_ms``."""
    return Incarnation(
        (wall_ms << INCARNATION_RANDOM_BITS) | secrets.randbits(INCARNATION_RANDOM_BITS)
    )


def start_of_incarnation_ms(incarnation: Incarnation) -> int:
    """Returns the wall time at which the process of an incarnation started."""
    return incarnation >> INCARNATION_RANDOM_BITS


def new_request_id() -> RequestId:
    """Draws the identifier of an accepted request."""
    return RequestId(secrets.token_hex(12))
