"""Leases over key times: which host may run the keys of a shard, by their time of issue.

A grantor promises one holder all key times of a shard up to a limit. The interval of the next
holder starts above every earlier promise, and each interval needs the grants of a majority, so the
intervals of all holders are disjoint. A holder that resumes after a pause may still run only keys
of its own interval.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

import msgspec

from medlarvale.bookings.keys import SHARD_COUNT
from medlarvale.bookings.messages import Grant, HandOver, LeaseReply, LeaseRequest, View
from medlarvale.bookings.views import ViewTracker
from medlarvale.ids import HostId, HostIdentity, ShardId, start_of_incarnation_ms

LEASE_MS = 1_000
RENEW_PERIOD_MS = 250
CLOCK_BOUND_MS = 500


class Coverage(enum.Enum):
    """Whether a host's lease covers a key time."""

    COVERED = "covered"
    TOO_OLD = "too_old"
    NOT_YET = "not_yet"
    NOT_HELD = "not_held"


class _Promise(msgspec.Struct):
    """The promises of a grantor for one shard.

    Attributes:
        holder: host with the newest promise.
        until_ms: last key time promised to the holder.
        others_until_ms: last key time promised to any other holder, or by an earlier incarnation of
            the grantor.
    """

    holder: HostIdentity | None
    until_ms: int
    others_until_ms: int


class _Interval(msgspec.Struct):
    """Key times held: greater than ``above_ms``, up to and including ``until_ms``."""

    above_ms: int
    until_ms: int


class _Round(msgspec.Struct):
    """Grants collected for one lease request.

    Attributes:
        views: active and pending views at its start. Once they have changed, only the newest round
            counts.
        above_ms: start of the granted key times, by shard and grantor.
        gained: shards whose interval began in this round.
    """

    number: int
    views: tuple[View | None, ...]
    started_ms: int
    until_ms: int
    above_ms: dict[ShardId, dict[HostId, int]]
    gained: set[ShardId]


class LeaseState:
    """Promises and leases of one host.

    Args:
        identity: this host.
        started_wall_ms: start of this incarnation. Earlier incarnations may have promised key
            times up to this time plus the lease time and twice the clock bound.
    """

    def __init__(
        self,
        identity: HostIdentity,
        started_wall_ms: int,
        lease_ms: int = LEASE_MS,
        clock_bound_ms: int = CLOCK_BOUND_MS,
    ) -> None:
        self.identity = identity
        self.views = ViewTracker(identity)
        self._lease_ms = lease_ms
        self._clock_bound_ms = clock_bound_ms
        self._boot_floor_after_ms = lease_ms + 2 * clock_bound_ms
        boot_floor_ms = started_wall_ms + self._boot_floor_after_ms
        self._promises = [_Promise(None, 0, boot_floor_ms) for _ in range(SHARD_COUNT)]
        self._intervals: dict[ShardId, _Interval] = {}
        self._round_number = 0
        # Replies may take longer than the time between two rounds, so each round counts until the
        # key times that it requests have passed.
        self._rounds: dict[int, _Round] = {}
        self._released: set[ShardId] = set()
        # Key times up to these belong to other hosts now. Grantors that missed the release still
        # regard this host as the holder, so this host has to remember the limits itself.
        self._released_until_ms: dict[ShardId, int] = {}
        self._accepted_until_ms: dict[tuple[HostIdentity, ShardId], int] = {}

    def can_hold(self, host: HostId, wall_ms: int) -> bool:
        """Returns whether a host has joined and can grant the present key times.

        If a shard were handed over to a host earlier, keys issued in the meantime would be lost.
        """
        incarnation = self.views.incarnation_of(host)
        if incarnation is None or not self.views.has_joined(host):
            return False
        return start_of_incarnation_ms(incarnation) + self._boot_floor_after_ms < wall_ms

    def learn_list(self, view: View) -> None:
        """Applies a version of the platform's list if it is newer."""
        self.views.learn_list(view)

    def start_round(self, shards: Iterable[ShardId], wall_ms: int) -> LeaseRequest:
        """Returns a lease request for the given shards, to be sent to all members of the views.

        The request of a joining host names no shard and only reports its views.
        """
        wanted = [] if self.views.joining else sorted(shards)
        until_ms = wall_ms + self._lease_ms
        self._round_number += 1
        self._rounds = {
            number: earlier
            for number, earlier in self._rounds.items()
            if earlier.until_ms > wall_ms
        }
        self._rounds[self._round_number] = _Round(
            self._round_number,
            self._views(),
            wall_ms,
            until_ms,
            {shard: {} for shard in wanted},
            set(),
        )
        released = sorted(self._released.difference(wanted))
        request = LeaseRequest(self._round_number, self.views.report(), wanted, until_ms, released)
        self.handle_reply(self.identity, self.handle_request(self.identity, request, wall_ms))
        return request

    def handle_request(
        self, requester: HostIdentity, request: LeaseRequest, wall_ms: int
    ) -> LeaseReply:
        """Returns the reply to a lease request, with a grant for each promised shard."""
        current = self.views.learn_report(requester, request.report)
        for shard in request.released:
            self.release_promise(requester, shard)
        grants: list[Grant] = []
        # A promise to a requester whose clock is far ahead would block the next holder until then.
        limit_ms = wall_ms + self._lease_ms + self._clock_bound_ms
        if (
            current
            and self.views.accepts_requester(request.report)
            and request.until_ms <= limit_ms
        ):
            for shard in request.shards:
                grant = self._promise(requester, shard, request.until_ms, wall_ms)
                if grant is not None:
                    grants.append(grant)
        return LeaseReply(request.round_number, self.views.report(), grants)

    def _promise(
        self, requester: HostIdentity, shard: ShardId, until_ms: int, wall_ms: int
    ) -> Grant | None:
        promise = self._promises[shard]
        if promise.holder != requester:
            restarted = promise.holder is not None and promise.holder.host == requester.host
            if promise.holder is not None and wall_ms <= promise.until_ms and not restarted:
                return None
            promise.others_until_ms = max(promise.others_until_ms, promise.until_ms)
            promise.holder = requester
            promise.until_ms = 0
        promise.until_ms = max(promise.until_ms, until_ms)
        return Grant(shard, promise.others_until_ms)

    def handle_reply(self, grantor: HostIdentity, reply: LeaseReply) -> list[ShardId]:
        """Counts the grants of a reply towards its round.

        Returns:
            The shards whose lease this host gained by this reply.
        """
        if not self.views.learn_report(grantor, reply.report):
            return []
        lease_round = self._rounds.get(reply.round_number)
        if lease_round is None or (
            lease_round.number != self._round_number and lease_round.views != self._views()
        ):
            return []
        return [
            grant.shard
            for grant in reply.grants
            if self._count_grant(lease_round, grantor.host, grant)
        ]

    def _views(self) -> tuple[View | None, ...]:
        return self.views.active, *self.views.pending

    def _count_grant(self, lease_round: _Round, grantor: HostId, grant: Grant) -> bool:
        grantors = lease_round.above_ms.get(grant.shard)
        if grantors is None:
            return False
        grantors[grantor] = grant.above_ms
        above_ms = self._earliest_start(grantors)
        if above_ms is None:
            return False
        above_ms = max(above_ms, self._released_until_ms.get(grant.shard, 0))
        held = self._intervals.get(grant.shard)
        if held is not None and above_ms <= held.until_ms:
            held.until_ms = max(held.until_ms, lease_round.until_ms)
            if grant.shard in lease_round.gained:
                held.above_ms = min(held.above_ms, above_ms)
            return False
        if held is not None and lease_round.started_ms <= held.until_ms:
            # A restarted grantor grants only later key times. The other grantors may still answer,
            # and a later start would lose the interval held.
            return False
        if above_ms >= lease_round.until_ms:
            return False
        self._intervals[grant.shard] = _Interval(above_ms, lease_round.until_ms)
        lease_round.gained.add(grant.shard)
        self._released.discard(grant.shard)
        return True

    def _earliest_start(self, grantors: dict[HostId, int]) -> int | None:
        """Returns the earliest start that a quorum of the grantors grants, or None without one."""
        quorum: set[HostId] = set()
        for above_ms, grantor in sorted((above, name) for name, above in grantors.items()):
            quorum.add(grantor)
            if self.views.is_quorum(quorum):
                return above_ms
        return None

    def coverage(self, shard: ShardId, issued_ms: int, wall_ms: int) -> Coverage:
        """Returns whether this host may run a key of a shard now.

        The lease has to cover the present time too, because of keys without a time of issue.
        """
        held = self._intervals.get(shard)
        if held is None or wall_ms > held.until_ms:
            return Coverage.NOT_HELD
        if issued_ms <= held.above_ms:
            return Coverage.TOO_OLD
        return Coverage.COVERED if issued_ms <= held.until_ms else Coverage.NOT_YET

    def interval(self, shard: ShardId) -> tuple[int, int] | None:
        """Returns the newest interval ``(above_ms, until_ms)`` held, or None without a lease."""
        held = self._intervals.get(shard)
        return (held.above_ms, held.until_ms) if held is not None else None

    def held_shards(self, wall_ms: int) -> list[ShardId]:
        """Returns the shards whose lease covers the present time."""
        return sorted(shard for shard, held in self._intervals.items() if wall_ms <= held.until_ms)

    def fencing_number(self, shard: ShardId) -> int:
        """Returns the start of the lease on a shard, larger for each later holder, or 0."""
        held = self._intervals.get(shard)
        return held.above_ms if held is not None else 0

    def holder_of(self, shard: ShardId, wall_ms: int) -> HostIdentity | None:
        """Returns the present holder of a shard according to the promises of this host."""
        if shard in self._intervals and wall_ms <= self._intervals[shard].until_ms:
            return self.identity
        promise = self._promises[shard]
        return promise.holder if wall_ms <= promise.until_ms else None

    def release_lease(self, shard: ShardId) -> tuple[int, int] | None:
        """Ends this host's lease on a shard.

        Returns:
            The interval ``(above_ms, until_ms)`` that another host may take over together with
            all records, or None without a lease.
        """
        held = self._intervals.pop(shard, None)
        for unfinished in self._rounds.values():
            unfinished.above_ms.pop(shard, None)
        self._released.add(shard)
        self.release_promise(self.identity, shard)
        if held is None:
            return None
        released_ms = self._released_until_ms.get(shard, 0)
        self._released_until_ms[shard] = max(released_ms, held.until_ms)
        return held.above_ms, held.until_ms

    def reclaim(self, shard: ShardId, above_ms: int, until_ms: int) -> None:
        """Restores a released interval that no other host has taken over."""
        self._released_until_ms[shard] = above_ms
        self._intervals[shard] = _Interval(above_ms, until_ms)
        self._released.discard(shard)

    def take_over(self, previous_holder: HostIdentity, offer: HandOver) -> bool:
        """Takes over the interval that its previous holder offers.

        Returns:
            False if this host is joining, holds key times of the shard beyond the start of the
            offer, or has accepted this interval before: a repeated message must not restore it.
        """
        accepted_until_ms = self._accepted_until_ms.get((previous_holder, offer.shard), 0)
        held = self._intervals.get(offer.shard)
        if self.views.joining or (held is not None and held.until_ms > offer.above_ms):
            return False
        if offer.until_ms <= accepted_until_ms:
            return False
        self._accepted_until_ms[previous_holder, offer.shard] = offer.until_ms
        self._intervals[offer.shard] = _Interval(offer.above_ms, offer.until_ms)
        self._released.discard(offer.shard)
        self.release_promise(previous_holder, offer.shard)
        return True

    def release_promise(self, holder: HostIdentity, shard: ShardId) -> None:
        """Clears the promise to a holder that released a shard, so the next request is granted."""
        promise = self._promises[shard]
        if promise.holder == holder:
            promise.others_until_ms = max(promise.others_until_ms, promise.until_ms)
            promise.holder = None
            promise.until_ms = 0
