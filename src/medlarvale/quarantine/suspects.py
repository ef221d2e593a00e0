"""Evidence of one host about requests that may have crashed servers."""

from __future__ import annotations

from collections.abc import Set

import msgspec
import xxhash

from medlarvale.ids import ServerId, ServiceName, WorkspaceId
from medlarvale.quarantine.messages import Evidence, Loss, LossEvent

# The loss of one decode engine creates about 20 suspects, so this covers the loss of 500 engines
# within the retention time. An entry takes about 0.5 KB.
MAX_SUSPECTS = 10_000
# Losses beyond the largest crash limit (10) do not change any decision.
MAX_LOSSES_PER_SUSPECT = 16
# Evidence is kept longer than the quarantine, so one more loss quarantines a request again at
# once.
RETENTION_PER_QUARANTINE = 2
MAX_TRACKED_SERVERS = 20_000


def fingerprint_of(workspace: WorkspaceId, service: ServiceName, body: bytes) -> int:
    """Returns the 64-bit xxh3 hash that identifies repeats of a request."""
    digest = xxhash.xxh3_64(f"{workspace}\0{service}\0".encode())
    digest.update(body)
    return digest.intdigest()


class QuarantineLimits(msgspec.Struct, frozen=True):
    """The effective quarantine settings.

    Attributes:
        crash_limit: number of losses from which on a request is refused.
        quarantine_ms: time after the last loss during which the request is refused.
    """

    crash_limit: int = 3
    quarantine_ms: int = 600_000


def merge_evidence(one: Evidence, other: Evidence) -> Evidence:
    """Returns the combined evidence of two hosts.

    The result is a least upper bound (union of loss events, latest clearance), so repeated and
    reordered messages change nothing.
    """
    latest: dict[LossEvent, int] = {}
    for loss in (*one.losses, *other.losses):
        latest[loss.event] = max(latest.get(loss.event, 0), loss.lost_at_ms)
    losses = sorted(Loss(lost_at_ms, event) for event, lost_at_ms in latest.items())
    return Evidence(
        one.fingerprint,
        tuple(losses[-MAX_LOSSES_PER_SUSPECT:]),
        max(one.cleared_at_ms, other.cleared_at_ms),
    )


def counted_losses(evidence: Evidence) -> list[Loss]:
    """Returns the losses since the last clearance, oldest first."""
    return [loss for loss in evidence.losses if loss.lost_at_ms > evidence.cleared_at_ms]


class SuspectTable:
    """Evidence by fingerprint.

    Args:
        limits: limits in force.
        capacity: maximum number of entries; beyond it those with the fewest and oldest losses are
            evicted.
    """

    def __init__(self, limits: QuarantineLimits, capacity: int = MAX_SUSPECTS) -> None:
        self.limits = limits
        self._capacity = capacity
        self._entries: dict[int, Evidence] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def evidence_of(self, fingerprint: int) -> Evidence:
        """Returns the evidence about a fingerprint, which is empty for an unknown one."""
        return self._entries.get(fingerprint, Evidence(fingerprint))

    def fingerprints(self) -> list[int]:
        """Returns all fingerprints with evidence, including cleared ones."""
        return list(self._entries)

    def record_loss(self, fingerprint: int, loss: Loss) -> bool:
        """Records the loss of a server that ran a request; returns whether it was new."""
        return self.merge(Evidence(fingerprint, (loss,)))

    def record_clean_end(self, fingerprint: int, wall_ms: int) -> bool:
        """Clears a suspect after a complete answer; returns whether it was a suspect."""
        if not self.is_suspect(fingerprint, wall_ms):
            return False
        newest_ms = max(loss.lost_at_ms for loss in self.evidence_of(fingerprint).losses)
        # Losses known here precede this answer, even if a peer with a fast clock timestamped them.
        return self.merge(Evidence(fingerprint, (), max(wall_ms, newest_ms)))

    def merge(self, evidence: Evidence) -> bool:
        """Merges evidence; returns whether it contained anything new."""
        known = self.evidence_of(evidence.fingerprint)
        merged = merge_evidence(known, evidence)
        if merged == known:
            return False
        self._entries[evidence.fingerprint] = merged
        if len(self._entries) > self._capacity:
            self._evict_weakest()
        return True

    def crash_count(self, fingerprint: int, wall_ms: int) -> int:
        """Returns the number of lost servers that count against a request."""
        evidence = self.evidence_of(fingerprint)
        if self._expired(evidence, wall_ms):
            return 0
        return len(counted_losses(evidence))

    def is_suspect(self, fingerprint: int, wall_ms: int) -> bool:
        """Returns whether a request has to be isolated from other suspects."""
        return fingerprint in self._entries and self.crash_count(fingerprint, wall_ms) > 0

    def quarantine_left_ms(self, fingerprint: int, wall_ms: int) -> int:
        """Returns the remaining time of the quarantine of a request; 0 if it may run."""
        if fingerprint not in self._entries:
            return 0
        losses = counted_losses(self.evidence_of(fingerprint))
        if len(losses) < self.limits.crash_limit:
            return 0
        return max(0, losses[-1].lost_at_ms + self.limits.quarantine_ms - wall_ms)

    def suspect_count(self, wall_ms: int) -> int:
        """Returns the number of requests with losses that count."""
        return sum(1 for known in self._entries if self.is_suspect(known, wall_ms))

    def quarantined_count(self, wall_ms: int) -> int:
        """Returns the number of requests that are quarantined now."""
        return sum(1 for known in self._entries if self.quarantine_left_ms(known, wall_ms) > 0)

    def expire(self, wall_ms: int, kept: Set[int] = frozenset()) -> None:
        """Removes entries older than the retention time, except those to be kept."""
        for fingerprint, evidence in list(self._entries.items()):
            if fingerprint not in kept and self._expired(evidence, wall_ms):
                del self._entries[fingerprint]

    def _expired(self, evidence: Evidence, wall_ms: int) -> bool:
        retention_ms = RETENTION_PER_QUARANTINE * self.limits.quarantine_ms
        return _newest_ms(evidence) + retention_ms <= wall_ms

    def _evict_weakest(self) -> None:
        # Evicts a tenth at a time, so that the table is not sorted for every entry that is added.
        def strength(evidence: Evidence) -> tuple[int, int]:
            return len(counted_losses(evidence)), _newest_ms(evidence)

        ordered = sorted(self._entries.values(), key=strength)
        for evidence in ordered[: max(1, self._capacity // 10)]:
            del self._entries[evidence.fingerprint]


def _newest_ms(evidence: Evidence) -> int:
    return max((evidence.cleared_at_ms, *(loss.lost_at_ms for loss in evidence.losses)))


class RunningCopies:
    """The servers on which requests of this host run, with the incarnation of each server."""

    def __init__(self) -> None:
        self._running: dict[int, dict[ServerId, list[LossEvent]]] = {}
        self._generations: dict[tuple[ServerId, int], int] = {}

    def start(self, fingerprint: int, server: ServerId, epoch: int) -> None:
        """Records a run; ``epoch`` is the start of the server as last reported."""
        event = LossEvent(server, epoch, self._generations.get((server, epoch), 0))
        self._running.setdefault(fingerprint, {}).setdefault(server, []).append(event)

    def finish(self, fingerprint: int, server: ServerId) -> LossEvent | None:
        """Ends a run; returns the event that identifies its server's loss, if the run is known."""
        servers = self._running.get(fingerprint, {})
        events = servers.get(server)
        if not events:
            return None
        event = events.pop(0)
        if not events:
            del servers[server]
        if not servers:
            del self._running[fingerprint]
        return event

    def is_running(self, fingerprint: int) -> bool:
        """Returns whether a copy of this host runs on any server."""
        return fingerprint in self._running

    def record_server_loss(self, event: LossEvent) -> bool:
        """Assigns runs that start from now on to the next incarnation of the server.

        Returns:
            Whether the loss was new.
        """
        key = (event.server, event.epoch)
        known = self._generations.pop(key, 0)
        self._generations[key] = max(known, event.generation + 1)
        if len(self._generations) > MAX_TRACKED_SERVERS:
            del self._generations[next(iter(self._generations))]
        return event.generation >= known
