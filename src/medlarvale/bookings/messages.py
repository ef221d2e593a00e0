"""Messages between entry hosts about leases and at-most-once calls."""

from __future__ import annotations

import enum
from collections.abc import Set

import msgspec

from medlarvale.ids import BookingKey, HostId, Incarnation, ListVersion, ShardId
from medlarvale.plain.messages import PlainAnswer, PlainCall


class View(msgspec.Struct, frozen=True):
    """The entry hosts of one version of the platform's list."""

    version: ListVersion
    members: tuple[HostId, ...]

    def has_majority(self, hosts: Set[HostId]) -> bool:
        """Returns whether ``hosts`` include a majority of the members."""
        present = sum(1 for member in self.members if member in hosts)
        return 2 * present > len(self.members)


class ViewReport(msgspec.Struct, frozen=True):
    """The views known to a host.

    Attributes:
        active: view whose majority grants leases; None while the host is joining.
        pending: newer views, oldest first, that some host may already have activated.
        incarnations: newest known incarnation of each host. Receivers use it to discard
            confirmations by earlier incarnations, whose state was lost in a restart (the crash
            vectors of Michael et al., "Recovering Shared Objects Without Stable Storage", DISC
            2017).
    """

    active: View | None
    pending: tuple[View, ...]
    incarnations: dict[HostId, Incarnation]

    def has_seen(self, view: View) -> bool:
        """Returns whether the host has seen a view or has activated this or a later one."""
        if self.active is not None and self.active.version >= view.version:
            return True
        return any(
            known.version >= view.version and known.members == view.members
            for known in self.pending
        )


class LeaseRequest(msgspec.Struct, tag="lease_request", frozen=True):
    """Requests the key times of some shards up to ``until_ms``; also carries the view report.

    Attributes:
        released: shards that the sender has released, so their next holder need not wait.
    """

    round_number: int
    report: ViewReport
    shards: list[ShardId]
    until_ms: int
    released: list[ShardId] = []


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """A promise not to grant the shard's key times up to the requested ``until_ms`` to others.

    Attributes:
        above_ms: the grant covers only key times after this one.
    """

    shard: ShardId
    above_ms: int


class LeaseReply(msgspec.Struct, tag="lease_reply", frozen=True):
    """The grants for a lease request; requested shards without a grant are refused."""

    round_number: int
    report: ViewReport
    grants: list[Grant]


class VerdictKind(enum.Enum):
    """State of a key according to its owner, the host that holds the lease on its shard."""

    RUNNING = "running"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    KEY_FROM_FUTURE = "key_from_future"
    LEDGER_FULL = "ledger_full"
    NOT_OWNER = "not_owner"


class Verdict(msgspec.Struct, tag="verdict", frozen=True):
    """The state of one key; ``answer`` is set for ``ANSWERED`` only."""

    kind: VerdictKind
    answer: PlainAnswer | None = None
    detail: str = ""


class Submit(msgspec.Struct, tag="submit", frozen=True):
    """Requests the one answer of a key from its owner. May be sent any number of times.

    Attributes:
        wait_ms: how long the owner waits for a running call before it answers ``RUNNING``.
    """

    key: BookingKey
    call: PlainCall
    wait_ms: int


class Lookup(msgspec.Struct, tag="lookup", frozen=True):
    """Requests a host's record of a key, if it has one; never runs a call."""

    key: BookingKey
    fingerprint: int
    wait_ms: int


class Record(msgspec.Struct, frozen=True):
    """The record of one key, as it is handed over.

    Attributes:
        accepted_ms: wall-clock time of acceptance, when the retention time starts.
        running_at: host at which the call still runs, for a verdict of ``RUNNING``.
    """

    key: BookingKey
    fingerprint: int
    accepted_ms: int
    verdict: Verdict
    running_at: HostId | None = None


class HandOver(msgspec.Struct, tag="hand_over", frozen=True):
    """Offers a shard with all its records to a host; the sender accepts no more of its keys."""

    shard: ShardId
    above_ms: int
    until_ms: int
    records: list[Record]


class HandOverDone(msgspec.Struct, tag="hand_over_done", frozen=True):
    """Reply to ``HandOver``; ``accepted`` states whether the receiver holds the shard now."""

    shard: ShardId
    accepted: bool


class RecordResult(msgspec.Struct, tag="record_result", frozen=True):
    """Reports the verdict of a call that was still running when its shard was handed over."""

    key: BookingKey
    verdict: Verdict


class RecordStored(msgspec.Struct, tag="record_stored", frozen=True):
    """Confirms a ``RecordResult``."""


BOOKING_MESSAGES: tuple[type[msgspec.Struct], ...] = (
    LeaseRequest,
    LeaseReply,
    Submit,
    Verdict,
    Lookup,
    HandOver,
    HandOverDone,
    RecordResult,
    RecordStored,
)
