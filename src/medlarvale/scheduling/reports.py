"""Reports of the engines about themselves."""

from __future__ import annotations

import enum

import msgspec

from medlarvale.ids import AttemptNumber, HostId, HostIdentity, Incarnation, RequestId


class LoadReport(msgspec.Struct, frozen=True):
    """Answer of ``GET /v1/load``; it lags behind the state of the engine.

    Attributes:
        queue_ms: prefill time queued at the engine.
        epoch: changes at each start of the engine; its cache and requests are then lost.
    """

    role: str
    slots: int
    slots_used: int
    pieces: int
    pieces_used: int
    queue_ms: float = 0.0
    leaving: bool = False
    epoch: int = 0
    model: str = ""


class EngineRequest(msgspec.Struct, frozen=True):
    """One entry of ``GET /v1/requests``.

    Attributes:
        owner: ``host/incarnation`` as given in ``X-Owner``.
        idle_ms: time since the client last read.
    """

    request_id: RequestId
    attempt: AttemptNumber
    owner: str
    phase: str
    pieces: int
    idle_ms: float


class CacheEventKind(enum.Enum):
    """Whether a prefix was stored in the cache or evicted from it."""

    STORED = "stored"
    EVICTED = "evicted"


class CacheEvent(msgspec.Struct, frozen=True):
    """One numbered event of an engine's prefix cache."""

    n: int
    kind: CacheEventKind
    prefix_hash: int


class CacheEvents(msgspec.Struct, frozen=True):
    """Answer of ``GET /v1/cache-events``.

    Attributes:
        next: event number from which to request the next answer.
    """

    events: list[CacheEvent]
    next: int


def parse_owner(owner: str) -> HostIdentity | None:
    """Returns the identity in an ``X-Owner`` value, or None if it is malformed."""
    host, separator, incarnation = owner.rpartition("/")
    if not separator or not incarnation.isdigit():
        return None
    return HostIdentity(HostId(host), Incarnation(int(incarnation)))
