"""Messages between an entry host and the placement scheduler of an engine group."""

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
    """Returns a 32-bit digest that identifies an attempt in queries, in 5 bytes instead of 26.

    If two attempts have the same digest, a lost release is noticed only after both have ended.
    """
    return xxhash.xxh32_intdigest(f"{request}/{attempt}".encode())


class WorkClass(enum.Enum):
    """Whether a caller is waiting for the answer."""

    LIVE = "live"
    BATCH = "batch"


class Reserve(msgspec.Struct, tag="reserve", frozen=True):
    """Requests a placement for one attempt of a request.

    Attributes:
        prompt_tokens: length of the prompt, on a restart including the tokens already sent to the
            caller.
        expected_output_tokens: estimate of the tokens still to be generated.
        prefix_hashes: hashes of the prompt's prefixes of whole blocks, shortest prefix first.
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
    """A placement: prefill may start at once on ``prefill``.

    A slot and ``pieces`` KV blocks are reserved on ``decode``.
    """

    request_id: RequestId
    attempt: AttemptNumber
    prefill: ServerId
    decode: ServerId
    pieces: int


class Queued(msgspec.Struct, tag="queued", frozen=True):
    """No capacity is free yet; the entry host repeats its ``Reserve`` to keep waiting."""

    request_id: RequestId
    attempt: AttemptNumber


class Refused(msgspec.Struct, tag="refused", frozen=True):
    """The attempt gets no placement; ``code`` gives the reason.

    Attributes:
        code: error code for the caller, such as ``overloaded``.
        retry_after_ms: time after which a retry may succeed.
        waited_for: workspaces whose work used the capacity, largest share first.
    """

    request_id: RequestId
    attempt: AttemptNumber
    code: str
    retry_after_ms: int
    waited_for: list[WorkspaceId]


class Phase(enum.Enum):
    """The last step that an attempt has completed or entered."""

    PREFILLED = "prefilled"
    TRANSFERRED = "transferred"
    DECODING = "decoding"


class Progress(msgspec.Struct, tag="progress", frozen=True):
    """Reports to the scheduler that an attempt has entered a phase."""

    request_id: RequestId
    attempt: AttemptNumber
    owner: HostIdentity
    service: ServiceName
    phase: Phase


class Release(msgspec.Struct, tag="release", frozen=True):
    """Ends the reservation of an attempt.

    Attributes:
        failed: server that failed during the attempt, or None.
    """

    request_id: RequestId
    attempt: AttemptNumber
    owner: HostIdentity
    service: ServiceName
    failed: ServerId | None = None


class QueryReservations(msgspec.Struct, tag="query_reservations", frozen=True):
    """Queries which of an owner's reservations at the sending scheduler are unused.

    Attributes:
        digests: ``attempt_digest`` of each reservation.
    """

    digests: list[int]


class EndedReservations(msgspec.Struct, tag="ended_reservations", frozen=True):
    """The digests of a query for which the owner serves no attempt placed by that scheduler."""

    digests: list[int]


class Acknowledged(msgspec.Struct, tag="acknowledged", frozen=True):
    """Confirms a message that needs no other reply."""


class QueryRequests(msgspec.Struct, tag="query_requests", frozen=True):
    """Queries which of the given requests their owner still serves."""

    requests: list[RequestId]


class KnownRequest(msgspec.Struct, frozen=True):
    """The newest attempt of a request that its owner serves."""

    request_id: RequestId
    attempt: AttemptNumber


class KnownRequests(msgspec.Struct, tag="known_requests", frozen=True):
    """The requests of a query that the owner still serves; all others have ended."""

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
