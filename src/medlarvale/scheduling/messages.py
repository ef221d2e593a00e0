"""Messages between an entry host and the booker of an engine group."""

from __future__ import annotations

import enum

import msgspec
import xxhash

from medlarvale.ids import (
    AttemptNumber,
    HostIdentity,
    RequestId,
    ServerId,
    ServiceName,
    WorkspaceId,
)


def attempt_digest(request: RequestId, attempt: AttemptNumber) -> int:
    """Returns a 32-bit digest that stands for an attempt in queries, at 5 bytes in place of 26.

    Two attempts with one digest only delay the end of a reservation until both have ended.
    """
    return xxhash.xxh32_intdigest(f"{request}/{attempt}".encode())


class WorkClass(enum.Enum):
    """Whether somebody waits for the answer."""

    LIVE = "live"
    BATCH = "batch"


class Reserve(msgspec.Struct, tag="reserve", frozen=True):
    """Asks for a place for one attempt of a request.

    Attributes:
        prompt_tokens: length of the prompt, with tokens already sent to the caller on a restart.
        expected_output_tokens: estimate of the tokens still to be generated.
        prefix_hashes: hash of each whole block of the prompt's start, shortest prefix first.
        prefix_block_tokens: length of one such block.
        deadline_ms: time left until the first token is due.
        excluded: servers that failed earlier attempts.
        isolate: the request is suspected of crashing servers and may not share an engine with
            another suspect.
    """

    request_id: RequestId
    attempt: AttemptNumber
    owner: HostIdentity
    service: ServiceName
    workspace: WorkspaceId
    work_class: WorkClass
    prompt_tokens: int
    expected_output_tokens: int
    prefix_hashes: list[int]
    deadline_ms: int
    excluded: list[ServerId]
    isolate: bool = False
    prefix_block_tokens: int = 256


class Placed(msgspec.Struct, tag="placed", frozen=True):
    """A place: prefill may start at once on ``prefill``; ``decode`` holds a slot and pieces."""

    request_id: RequestId
    attempt: AttemptNumber
    prefill: ServerId
    decode: ServerId
    pieces: int


class Queued(msgspec.Struct, tag="queued", frozen=True):
    """No place is free yet; the entry host sends the same ``Reserve`` again to go on waiting."""

    request_id: RequestId
    attempt: AttemptNumber


class Refused(msgspec.Struct, tag="refused", frozen=True):
    """No place can meet the deadline.

    Attributes:
        code: error code for the caller, such as ``overloaded``.
        retry_after_ms: when a new try is worth while.
        waited_for: workspaces whose work held the capacity, most first.
    """

    request_id: RequestId
    attempt: AttemptNumber
    code: str
    retry_after_ms: int
    waited_for: list[WorkspaceId]


class Phase(enum.Enum):
    """How far an attempt has come."""

    PREFILLED = "prefilled"
    TRANSFERRED = "transferred"
    DECODING = "decoding"


class Progress(msgspec.Struct, tag="progress", frozen=True):
    """Tells the booker that an attempt entered a phase."""

    request_id: RequestId
    attempt: AttemptNumber
    owner: HostIdentity
    service: ServiceName
    phase: Phase


class Release(msgspec.Struct, tag="release", frozen=True):
    """Ends the reservation of an attempt.

    Attributes:
        failed: server that failed during the attempt, if one did.
    """

    request_id: RequestId
    attempt: AttemptNumber
    owner: HostIdentity
    service: ServiceName
    failed: ServerId | None = None


class QueryReservations(msgspec.Struct, tag="query_reservations", frozen=True):
    """Asks an owner which of its reservations at a booker it does not use.

    Attributes:
        digests: ``attempt_digest`` of each reservation.
    """

    digests: list[int]


class EndedReservations(msgspec.Struct, tag="ended_reservations", frozen=True):
    """The digests of a query that the owner does not serve from the asking booker's place."""

    digests: list[int]


class Acknowledged(msgspec.Struct, tag="acknowledged", frozen=True):
    """Confirms a message that asks for nothing."""


class QueryRequests(msgspec.Struct, tag="query_requests", frozen=True):
    """Asks an owner which of its requests it still serves."""

    requests: list[RequestId]


class KnownRequest(msgspec.Struct, frozen=True):
    """The newest attempt that an owner serves of a request."""

    request_id: RequestId
    attempt: AttemptNumber


class KnownRequests(msgspec.Struct, tag="known_requests", frozen=True):
    """The requests of a query that the owner still serves; all others are gone."""

    requests: list[KnownRequest]


SCHEDULING_MESSAGES: tuple[type[msgspec.Struct], ...] = (
    Reserve,
    Placed,
    Queued,
    Refused,
    Progress,
    Release,
    QueryReservations,
    EndedReservations,
    Acknowledged,
    QueryRequests,
    KnownRequests,
)
