"""Verdicts of the keys that this host owns or has owned: one for each key, and final."""

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
    """Returns a hash of what a call asks for, to tell a repeat from a reused key."""
    digest = xxhash.xxh3_64()
    for part in (call.workspace, call.service, call.method, call.path):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(call.body)
    return digest.intdigest()


class Acceptance(msgspec.Struct, frozen=True):
    """What the owner does with a submitted call.

    Attributes:
        dispatch: the call is new and has to be dispatched exactly once now.
        lookup: this host can't vouch for the key; a peer may have a record.
        verdict: what is known, or RUNNING while a dispatch or a lookup is under way.
        running_at: peer at which the call still runs since its shard was handed over.
    """

    verdict: Verdict
    dispatch: bool = False
    lookup: bool = False
    running_at: HostId | None = None


class Ledger:
    """Records by key.

    Args:
        leases: decides whether this host may run a key.
        key_max_age_ms: tells how long verdicts are kept, and how old a key may be.
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
        # Records accepted up to this time are gone. It outlives a change of the setting, so that a
        # longer age does not admit keys whose records went under the shorter one.
        self.forgotten_until_ms = 0
        # In order of insertion, so that the oldest records come first.
        self._records: collections.OrderedDict[BookingKey, Record] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def record(self, key: BookingKey) -> Record | None:
        """Returns the record of a key, if there is one."""
        return self._records.get(key)

    def accept(self, key: BookingKey, fingerprint: int, wall_ms: int) -> Acceptance:
        """Decides on a submitted call, and records it before anything is dispatched."""
        record = self._records.get(key)
        if record is not None:
            return self._repeat(record, fingerprint)
        issued = issued_at_ms(key)
        oldest_ms = wall_ms - self._key_max_age_ms()
        forgotten_ms = self.forgotten_until_ms + self._clock_bound_ms
        if issued is not None and issued < max(oldest_ms, forgotten_ms):
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

    def _repeat(self, record: Record, fingerprint: int) -> Acceptance:
        if record.fingerprint != fingerprint:
            return Acceptance(Verdict(VerdictKind.KEY_REUSED))
        return Acceptance(record.verdict, running_at=record.running_at)

    def record_verdict(self, key: BookingKey, verdict: Verdict) -> bool:
        """Stores the verdict of a running call; a verdict once given stays.

        Returns:
            Whether the verdict was stored.
        """
        record = self._records.get(key)
        if record is None or record.verdict.kind is not VerdictKind.RUNNING:
            return False
        self._records[key] = msgspec.structs.replace(record, verdict=verdict, running_at=None)
        return True

    def hand_over(self, shard: ShardId, here: HostId) -> list[Record]:
        """Returns the records of a shard as its next holder gets them.

        This host keeps its copies, so that it can answer lookups and finish running calls.
        """
        records = [record for record in self._records.values() if shard_of(record.key) == shard]
        return [
            (
                msgspec.structs.replace(record, running_at=record.running_at or here)
                if record.verdict.kind is VerdictKind.RUNNING
                else record
            )
            for record in records
        ]

    def take_over(self, records: list[Record]) -> None:
        """Adds the records of a shard that another host gave up; own verdicts stay."""
        for record in records:
            own = self._records.get(record.key)
            if own is None or own.verdict.kind is VerdictKind.RUNNING and own.running_at:
                self._records[record.key] = record

    def running_at(self, host: HostId) -> list[BookingKey]:
        """Returns the keys whose calls still run at another host."""
        return [record.key for record in self._records.values() if record.running_at == host]

    def expire(self, wall_ms: int) -> int:
        """Forgets records past the retention time.

        A key is refused as expired before its record goes: twice the clock bound lies between.

        Returns:
            The number of records forgotten.
        """
        limit_ms = wall_ms - self._key_max_age_ms() - 2 * self._clock_bound_ms
        expired = []
        for key, record in self._records.items():
            if record.accepted_ms >= limit_ms:
                break
            if record.verdict.kind is not VerdictKind.RUNNING:
                expired.append(key)
        self.forgotten_until_ms = max(self.forgotten_until_ms, limit_ms)
        for key in expired:
            del self._records[key]
        return len(expired)
