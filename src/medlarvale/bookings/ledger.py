"""Verdicts of the keys that this host owns or has owned; each key has one final verdict."""

from __future__ import annotations

import collections
from collections.abc import Callable

import msgspec
import xxhash

from medlarvale.bookings.keys import issued_at_ms, shard_of
from medlarvale.bookings.lease import CLOCK_BOUND_MS, Coverage, LeaseState
from medlarvale.bookings.messages import Record, Verdict, VerdictKind
from medlarvale.ids import BookingKey, HostId, ShardId
from medlarvale.plain.messages import PlainCall

MAX_RECORDS = 200_000

RUNNING = Verdict(VerdictKind.RUNNING)


def fingerprint_of(call: PlainCall) -> int:
    """Returns a hash of a call's content that distinguishes a repeat from a reused key."""
    digest = xxhash.xxh3_64()
    for part in (call.workspace, call.service, call.method, call.path):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(call.body)
    return digest.intdigest()


class Acceptance(msgspec.Struct, frozen=True):
    """The owner's decision on a submitted call.

    Attributes:
        dispatch: the call is new and has to be dispatched now, exactly once.
        lookup: the key may be older than the key times held by this host, so that a peer may have a
            record of it.
        verdict: the verdict on record, the reason for a refusal, or RUNNING while a dispatch or a
            lookup is in progress.
        running_at: peer that still runs the call because it handed over the shard meanwhile.
    """

    verdict: Verdict
    dispatch: bool = False
    lookup: bool = False
    running_at: HostId | None = None


class Ledger:
    """Records of calls by key.

    Args:
        leases: decides whether this host may run a key.
        key_max_age_ms: returns the retention time of verdicts and the maximum age of a key.
    """

    def __init__(
        self,
        leases: LeaseState,
        key_max_age_ms: Callable[[], int],
        clock_bound_ms: int = CLOCK_BOUND_MS,
        max_records: int = MAX_RECORDS,
    ) -> None:
        self._leases = leases
        self._key_max_age_ms = key_max_age_ms
        self._clock_bound_ms = clock_bound_ms
        self._max_records = max_records
        # Records accepted up to this time have been removed. The limit stays when the setting
        # changes: a longer maximum age must not admit keys whose records were already removed.
        self.expired_until_ms = 0
        # Insertion order: the oldest records come first.
        self._records: collections.OrderedDict[BookingKey, Record] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def record(self, key: BookingKey) -> Record | None:
        """Returns the record of a key, or None if there is none."""
        return self._records.get(key)

    def accept(self, key: BookingKey, fingerprint: int, wall_ms: int) -> Acceptance:
        """Decides on a submitted call and records a new one before it is dispatched."""
        record = self._records.get(key)
        if record is not None:
            return self._accept_repeat(record, fingerprint)
        issued = issued_at_ms(key)
        oldest_ms = wall_ms - self._key_max_age_ms()
        expired_ms = self.expired_until_ms + self._clock_bound_ms
        if issued is not None and issued < max(oldest_ms, expired_ms):
            return Acceptance(Verdict(VerdictKind.KEY_EXPIRED))
        if issued is not None and issued > wall_ms + self._clock_bound_ms:
            return Acceptance(Verdict(VerdictKind.KEY_FROM_FUTURE))
        coverage = self._leases.coverage(
            shard_of(key), oldest_ms if issued is None else issued, wall_ms
        )
        if coverage is Coverage.TOO_OLD:
            return Acceptance(RUNNING, lookup=True)
        if coverage is not Coverage.COVERED:
            return Acceptance(Verdict(VerdictKind.NOT_OWNER))
        if len(self._records) >= self._max_records:
            return Acceptance(Verdict(VerdictKind.LEDGER_FULL))
        self._records[key] = Record(key, fingerprint, wall_ms, RUNNING)
        return Acceptance(RUNNING, dispatch=True)

    def _accept_repeat(self, record: Record, fingerprint: int) -> Acceptance:
        if record.fingerprint != fingerprint:
            return Acceptance(Verdict(VerdictKind.KEY_REUSED))
        return Acceptance(record.verdict, running_at=record.running_at)

    def record_verdict(self, key: BookingKey, verdict: Verdict) -> bool:
        """Stores the verdict of a running call; a final verdict never changes.

        Returns:
            Whether the verdict was stored.
        """
        record = self._records.get(key)
        if record is None or record.verdict.kind is not VerdictKind.RUNNING:
            return False
        self._records[key] = msgspec.structs.replace(record, verdict=verdict, running_at=None)
        return True

    def hand_over(self, shard: ShardId, own_host: HostId) -> list[Record]:
        """Returns the records of a shard in the form in which its next holder receives them.

        Running calls are marked as running at ``own_host``. This host keeps its copies to answer
        lookups and to finish running calls.
        """
        records = [record for record in self._records.values() if shard_of(record.key) == shard]
        return [
            (
                msgspec.structs.replace(record, running_at=record.running_at or own_host)
                if record.verdict.kind is VerdictKind.RUNNING
                else record
            )
            for record in records
        ]

    def take_over(self, records: list[Record]) -> None:
        """Adds the records of a shard that another host released.

        Records of this host stay, except those of calls that were running at another host.
        """
        for record in records:
            own = self._records.get(record.key)
            if own is None or own.verdict.kind is VerdictKind.RUNNING and own.running_at:
                self._records[record.key] = record

    def running_at(self, host: HostId) -> list[BookingKey]:
        """Returns the keys whose calls still run at the given host."""
        return [record.key for record in self._records.values() if record.running_at == host]

    def expire(self, wall_ms: int) -> int:
        """Removes records past the retention time, except those of running calls.

        A record is kept for the retention time plus twice the clock bound after its acceptance, so
        a key is refused as expired before its record is removed.

        Returns:
            The number of records removed.
        """
        limit_ms = wall_ms - self._key_max_age_ms() - 2 * self._clock_bound_ms
        expired = []
        for key, record in self._records.items():
            if record.accepted_ms >= limit_ms:
                break
            if record.verdict.kind is not VerdictKind.RUNNING:
                expired.append(key)
        self.expired_until_ms = max(self.expired_until_ms, limit_ms)
        for key in expired:
            del self._records[key]
        return len(expired)
