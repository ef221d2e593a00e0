"""Detects owners of reservations that are gone, and queries the others for unused reservations.

Owners do not renew their reservations. The scheduler relies on their heartbeats and queries each
owner at a low rate with a single message, so the cost hardly grows with the number of reservations.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

import msgspec

from medlarvale.ids import HostIdentity, RequestId

OWNER_CHECK_MS = 250.0
# A heartbeat is valid for 1,000 ms, so the reservations of a dead owner end 2,000 ms after its last
# one. Checks are counted instead of elapsed time because a scheduler that was paused has only old
# heartbeats at first, and reads the newer ones before this many checks have run.
MISSED_CHECKS = 4
# A slot whose release was lost is held for up to this time, and for one more period for each
# query that is lost.
QUERY_PERIOD_MS = 2_000.0
CHECKS_PER_PERIOD = int(QUERY_PERIOD_MS / OWNER_CHECK_MS)
# A host that sends heartbeats but answers no queries cannot report that a request has ended.
UNANSWERED_QUERIES = 4


class OwnerQuery(msgspec.Struct, frozen=True):
    """A query to one owner.

    Attributes:
        digests: ``attempt_digest`` of each reservation of the owner.
    """

    owner: HostIdentity
    digests: list[int]


class OwnerFindings(msgspec.Struct):
    """Result of one check of the owners.

    Attributes:
        gone: requests whose reservations have to end.
        queries: queries to send now.
    """

    gone: list[RequestId] = []
    queries: list[OwnerQuery] = []


class _Owner(msgspec.Struct):
    """An owner with at least one reservation.

    Attributes:
        held: digests of its reservations.
        missed_checks: consecutive checks without a valid heartbeat.
        unanswered: consecutive queries without a reply.
        queried: requests that the first of the unanswered queries named.
    """

    next_query_ms: float
    held: dict[RequestId, int] = {}
    missed_checks: int = 0
    unanswered: int = 0
    queried: list[RequestId] = []


class OwnerTable:
    """The owners of all reservations."""

    def __init__(self) -> None:
        self._owners: dict[HostIdentity, _Owner] = {}

    def add(self, identity: HostIdentity, request: RequestId, digest: int, now_ms: float) -> None:
        """Adds a reservation."""
        owner = self._owners.get(identity)
        if owner is None:
            # First queries are spread over the period so that one check sends only a few.
            wait_ms = OWNER_CHECK_MS * (1 + len(self._owners) % CHECKS_PER_PERIOD)
            owner = self._owners[identity] = _Owner(now_ms + wait_ms)
        owner.held[request] = digest

    def remove(self, identity: HostIdentity, request: RequestId) -> None:
        """Removes a reservation that has ended."""
        owner = self._owners[identity]
        del owner.held[request]
        if not owner.held:
            del self._owners[identity]

    def check(self, live_owners: Collection[HostIdentity], now_ms: float) -> OwnerFindings:
        """Checks every owner; called every ``OWNER_CHECK_MS``.

        Args:
            live_owners: incarnations of hosts whose last heartbeat is recent enough.
        """
        findings = OwnerFindings()
        for identity, owner in self._owners.items():
            owner.missed_checks = 0 if identity in live_owners else owner.missed_checks + 1
            if owner.missed_checks >= MISSED_CHECKS:
                findings.gone += owner.held
            elif now_ms >= owner.next_query_ms:
                self._query(identity, owner, findings, now_ms)
        return findings

    def apply_reply(self, identity: HostIdentity, ended: Iterable[int]) -> list[RequestId]:
        """Applies the reply of an owner and returns the requests that it no longer serves."""
        owner = self._owners.get(identity)
        if owner is None:
            return []
        owner.unanswered = 0
        gone = set(ended)
        if not gone:
            return []
        return [request for request, digest in owner.held.items() if digest in gone]

    def _query(
        self, identity: HostIdentity, owner: _Owner, findings: OwnerFindings, now_ms: float
    ) -> None:
        owner.next_query_ms = now_ms + QUERY_PERIOD_MS
        if owner.unanswered >= UNANSWERED_QUERIES:
            findings.gone += [request for request in owner.queried if request in owner.held]
            owner.unanswered = 0
        if owner.unanswered == 0:
            owner.queried = list(owner.held)
        owner.unanswered += 1
        findings.queries.append(OwnerQuery(identity, list(owner.held.values())))
