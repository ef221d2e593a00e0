"""Which owners of reservations are gone, and when to ask the others what they still serve.

Owners renew nothing. The booker relies on their heartbeats and asks each one at a slow rate, in one
message, so the cost hardly grows with the requests that a host holds.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

import msgspec

from medlarvale.ids import HostIdentity, RequestId

OWNER_CHECK_MS = 250.0
# Heartbeats count for 1,000 ms, so the reservations of a dead owner end 2,000 ms after its last
# one. Checks are counted in place of time: a booker that was paused has old heartbeats only, and
# reads the newer ones before so many checks have passed.
MISSED_CHECKS = 4
# A slot whose release was lost is held this long, and longer by each query that is lost.
QUERY_PERIOD_MS = 2_000.0
CHECKS_PER_PERIOD = int(QUERY_PERIOD_MS / OWNER_CHECK_MS)
# A host that sends heartbeats but answers no query can't say that a request is gone.
UNANSWERED_QUERIES = 4


class OwnerQuery(msgspec.Struct, frozen=True):
    """A question to one owner.

    Attributes:
        digests: ``attempt_digest`` of each reservation that it holds.
    """

    owner: HostIdentity
    digests: list[int]


class OwnerFindings(msgspec.Struct):
    """What one check of the owners found.

    Attributes:
        gone: requests whose reservations have to end.
        queries: questions that are due.
    """

    gone: list[RequestId] = []
    queries: list[OwnerQuery] = []


class _Owner(msgspec.Struct):
    """An owner with at least one reservation.

    Attributes:
        held: digests of its reservations.
        missed_checks: checks in a row at which no heartbeat counted.
        unanswered: queries in a row without an answer.
        asked: requests that the first of the unanswered queries named.
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
        """Counts a new reservation."""
        owner = self._owners.get(identity)
        if owner is None:
            # First queries are spread over the period, so that few fall into one check.
            wait_ms = OWNER_CHECK_MS * (1 + len(self._owners) % CHECKS_PER_PERIOD)
            owner = self._owners[identity] = _Owner(now_ms + wait_ms)
        owner.held[request] = digest

    def remove(self, identity: HostIdentity, request: RequestId) -> None:
        """Takes out a reservation that has ended."""
        owner = self._owners[identity]
        del owner.held[request]
        if not owner.held:
            del self._owners[identity]

    def check(self, live_owners: Collection[HostIdentity], now_ms: float) -> OwnerFindings:
        """Looks at every owner; called every ``OWNER_CHECK_MS``.

        Args:
            answering: lives of hosts whose heartbeats count now.
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
        """Takes over the answer of an owner and returns the requests that it no longer serves."""
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
