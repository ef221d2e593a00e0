"""Message bodies of the engine protocol (docs/design.md, section 3.1)."""

from __future__ import annotations

import enum

import msgspec

from medlarvale.ids import AttemptNumber, RequestId
from medlarvale.scheduling.messages import WorkClass


class PrefillCall(msgspec.Struct, frozen=True):
    """Computes the KV cache of a prompt.

    Attributes:
        prompt_tokens: the original prompt, which alone determines the answer.
        generated_tokens: answer tokens of earlier attempts, which the KV cache also covers.
    """

    request_id: RequestId
    attempt: AttemptNumber
    prompt_tokens: list[int]
    model: str
    priority: WorkClass = WorkClass.LIVE
    generated_tokens: list[int] = []


class PrefillAnswer(msgspec.Struct, frozen=True):
    """Result of a prefill; ``first_token`` is the token after ``generated_tokens``."""

    kv_handle: str
    kv_bytes: int
    cached_tokens: int
    prefill_ms: float
    first_token: int


class ReserveCall(msgspec.Struct, frozen=True):
    """Reserves a decode slot and ``pieces`` KV blocks for ``ttl_ms``."""

    request_id: RequestId
    attempt: AttemptNumber
    pieces: int
    ttl_ms: int


class ImportCall(msgspec.Struct, frozen=True):
    """Makes the decode engine pull a KV cache from ``source_address``."""

    request_id: RequestId
    attempt: AttemptNumber
    source_address: str
    kv_handle: str


class ImportAnswer(msgspec.Struct, frozen=True):
    """Result of a transfer."""

    transfer_ms: float


class DecodeCall(msgspec.Struct, frozen=True):
    """Streams answer tokens ``position`` to ``max_tokens - 1``.

    Attributes:
        position: index of the first token to stream, in the whole answer.
        max_tokens: length of the whole answer, which is the same in every attempt.
    """

    request_id: RequestId
    attempt: AttemptNumber
    position: int
    max_tokens: int


class ResumeCall(msgspec.Struct, frozen=True):
    """Takes over a running stream from ``position``; the previous connection is closed."""

    request_id: RequestId
    attempt: AttemptNumber
    position: int


class CancelCall(msgspec.Struct, frozen=True):
    """Cancels an attempt and all older ones."""

    request_id: RequestId
    attempt: AttemptNumber


class CancelAnswer(msgspec.Struct, frozen=True):
    """Number of attempts whose memory was released."""

    cancelled: int


class Chunk(msgspec.Struct, frozen=True):
    """Tokens of a stream; ``i`` is the index of the first token."""

    i: int
    tokens: list[int]
    done: bool


class HoldPhase(enum.Enum):
    """Phase of a request that holds memory."""

    QUEUED = "queued"
    PREFILLING = "prefilling"
    KV_WAITING = "kv_waiting"
    KV_SENDING = "kv_sending"
    RESERVED = "reserved"
    TRANSFERRING = "transferring"
    IMPORTED = "imported"
    DECODING = "decoding"


class RequestReport(msgspec.Struct, frozen=True):
    """One entry of ``GET /v1/requests``; ``idle_ms`` is the time since the client last read."""

    request_id: RequestId
    attempt: AttemptNumber
    owner: str
    phase: HoldPhase
    pieces: int
    idle_ms: float


class LoadReport(msgspec.Struct, frozen=True):
    """Body of ``GET /v1/load`` of engines and plain services."""

    role: str
    model: str
    slots: int
    slots_used: int
    pieces: int
    pieces_used: int
    queue_ms: float
    leaving: bool
    epoch: int


class CacheEvent(msgspec.Struct, frozen=True):
    """A prefix was ``stored`` to or ``evicted`` from the prefix cache."""

    n: int
    kind: str
    prefix_hash: int


class CacheEvents(msgspec.Struct, frozen=True):
    """Published events from a given number on; ``next`` is the number to request next."""

    events: list[CacheEvent]
    next: int


class OrderKind(enum.Enum):
    """Property that an order changes."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"


class EngineRole(enum.Enum):
    """Role of an engine."""

    PREFILL = "prefill"
    DECODE = "decode"


class Order(msgspec.Struct, frozen=True):
    """An order; the field that holds the new value for its kind is required."""

    kind: OrderKind
    model: str = ""
    adapter: str = ""
    role: EngineRole | None = None


class OrderAnswer(msgspec.Struct, frozen=True):
    """State after an order; ``fencing`` is the highest fencing number received."""

    role: EngineRole
    model: str
    adapters: list[str]
    fencing: int


class LeavingCall(msgspec.Struct, frozen=True):
    """Sets whether the server reports that it is leaving (test only)."""

    leaving: bool


class MemoryReport(msgspec.Struct, frozen=True):
    """State of an engine without lag (test only).

    Attributes:
        prefill_ms: compute time of all prefills, including cancelled ones.
        wasted_prefill_ms: time of prefills that were cancelled or whose KV cache was never
            imported (both counted by the prefill engine), or was imported but never decoded
            (counted by the decode engine). The sum over all engines counts each prefill at most
            once.
        requests_answered: streams whose last chunk was written.
        latest_work_after_leaving_ms: time between the start of leaving and the last prefill or
            reservation accepted after it, or None.
    """

    slots: int
    slots_used: int
    pieces: int
    pieces_used: int
    kv_handles: int
    reservations: int
    prefill_queue: int
    prefill_ms: float
    wasted_prefill_ms: float
    requests_answered: int
    tokens_generated: int
    cached_blocks: int
    orders_obeyed: int
    latest_work_after_leaving_ms: float | None
