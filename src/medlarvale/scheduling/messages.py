"""Messages between an entry host and the booker of an engine group."""

from __future__ import annotations

import enum

import msgspec

from medlarvale.ids import (
    AttemptNumber,
    HostIdentity,
    RequestId,
    ServerId,
    ServiceName,
    WorkspaceId,
)


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
    """A place: prefill may start at once on ``prefill``; ``decode`` holds a slot and pieces.

    Attributes:
        lease_ms: the reservation ends after this time unless renewed.
    """

    request_id: RequestId
    attempt: AttemptNumber
    prefill: ServerId
    decode: ServerId
    pieces: int
    lease_ms: int


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
    """Tells the booker that an attempt entered a phase; also renews its reservation."""

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


class RenewReservations(msgspec.Struct, tag="renew_reservations", frozen=True):
    """Renews all reservations of an owner at a booker, once a heartbeat."""

    owner: HostIdentity
    service: ServiceName
    requests: list[RequestId]


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
    RenewReservations,
    Acknowledged,
    QueryRequests,
    KnownRequests,
)
