"""Buckets of the workspaces that this host owns, and the local ones for when no owner replies."""

from __future__ import annotations

from collections.abc import Callable

from medlarvale.clock import Clock
from medlarvale.forwarding.messages import Quota
from medlarvale.ids import HostId, WorkspaceId
from medlarvale.quotas.bucket import TokenBucket
from medlarvale.quotas.messages import WorkspaceGrant, WorkspaceNeed
from medlarvale.quotas.ownership import QuotaOwners

# A new owner does not refill its bucket for this time: an owner that can't be reached may still
# grant to others, and it takes this long until the known and the reachable hosts differ.
FRESH_MS = 1_100.0
# The bucket of a workspace that was not used for this time is forgotten.
FORGET_MS = 60_000.0
# A host that is not the first one for a workspace forgets its bucket soon, so that it starts with
# half a burst if it is asked again.
FORGET_SUBSTITUTE_MS = 2_000.0

# Hosts that asked a substitute within this time count into its share; they skip the owner for this
# long.
ASKERS_MS = 1_000.0

QuotaFinder = Callable[[WorkspaceId], Quota | None]


class GrantTable:
    """Decides about requests for quota.

    Args:
        owners: share of the quotas that this host grants.
        clock: time service.
        find_quota: returns the quota of a workspace.
    """

    def __init__(self, owners: QuotaOwners, clock: Clock, find_quota: QuotaFinder) -> None:
        self._owners = owners
        self._clock = clock
        self._find_quota = find_quota
        self._buckets: dict[WorkspaceId, TokenBucket] = {}
        # Hosts that have asked for each workspace, and when.
        self._askers: dict[WorkspaceId, dict[HostId, float]] = {}
        self._local: dict[WorkspaceId, TokenBucket] = {}
        # Number of requests that this host granted, as an owner or from a local bucket.
        self.granted = 0

    def grant(self, asker: HostId, need: WorkspaceNeed) -> WorkspaceGrant:
        """Grants a host what fits of the amounts needed, then of the advance."""
        quota = self._find_quota(need.workspace)
        if quota is None:
            return WorkspaceGrant((), known=False)
        now_ms = self._clock.now_ms()
        bucket = self._buckets.get(need.workspace)
        if bucket is None and not need.needed:
            return WorkspaceGrant(())
        substitute = self._owners.is_substitute(need.workspace)
        askers = self._note_asker(need.workspace, asker, now_ms)
        scale = self._owners.substitute_scale(askers) if substitute else self._owners.scale()
        if bucket is None:
            bucket = self._buckets[need.workspace] = TokenBucket(
                quota, now_ms, scale, need.needed[0], FRESH_MS
            )
            bucket.substitute = substitute
        bucket.refill(quota, now_ms, scale)
        if bucket.substitute and not substitute:
            # The better owner is lost; this one starts with its half of a burst.
            bucket.substitute = False
            bucket.start()
        bucket.credit(need.returned)
        retry_ms = tuple(self._decide(bucket, amount, now_ms) for amount in need.needed)
        return WorkspaceGrant(retry_ms, bucket.take_advance(need.advance))

    def _note_asker(self, workspace: WorkspaceId, asker: HostId, now_ms: float) -> int:
        """Returns how many hosts have asked for a workspace recently."""
        askers = self._askers.setdefault(workspace, {})
        askers[asker] = now_ms
        return sum(now_ms - asked_ms <= ASKERS_MS for asked_ms in askers.values())

    def grant_locally(self, workspace: WorkspaceId, amount: float) -> int | None:
        """Decides about a request for which no owner has replied; see ``WorkspaceGrant``."""
        quota = self._find_quota(workspace)
        if quota is None:
            return None
        now_ms = self._clock.now_ms()
        share = self._owners.equal_share()
        bucket = self._local.get(workspace)
        if bucket is None:
            bucket = self._local[workspace] = TokenBucket(quota, now_ms, share, amount)
        bucket.refill(quota, now_ms, share)
        return self._decide(bucket, amount, now_ms)

    def _decide(self, bucket: TokenBucket, amount: float, now_ms: float) -> int | None:
        if bucket.take(amount, now_ms):
            self.granted += 1
            return None
        return int(bucket.promise_ms(amount, now_ms)) + 1

    def credit(self, workspace: WorkspaceId, amount: float) -> None:
        """Puts back the amount of a request that this host has granted and that did not run."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.credit(amount)

    def restart(self) -> None:
        """Treats this host as a new owner of all buckets."""
        for bucket in self._buckets.values():
            bucket.restart(self._clock.now_ms(), FRESH_MS)

    def forget_unused(self) -> None:
        """Drops buckets that were not used for long."""
        now_ms = self._clock.now_ms()
        for workspace, bucket in list(self._buckets.items()):
            ranked = self._owners.ranking(workspace)
            first = bool(ranked) and ranked[0] == self._owners.own
            if now_ms - bucket.used_ms > (FORGET_MS if first else FORGET_SUBSTITUTE_MS):
                del self._buckets[workspace]
                self._askers.pop(workspace, None)
        for workspace, bucket in list(self._local.items()):
            if now_ms - bucket.used_ms > FORGET_MS:
                del self._local[workspace]
