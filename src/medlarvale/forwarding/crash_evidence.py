"""Decides which requests crash servers, from the servers lost while requests ran; without I/O.

A server is lost with all requests that were running on it, so each loss blames all of them, and
everything that they have in common with other requests. What crashes servers is what stays blamed:
it has no clean run, and what other requests have does not explain its losses.

Some requests crash a server as soon as they run, others after a while. ``CrashEvidence`` is
therefore kept once for each kind of clean run; see ``CleanRun``.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from collections.abc import Iterable

import msgspec
import xxhash

from medlarvale.forwarding.messages import ClientRequest, PromptPartId, RequestIdentity
from medlarvale.ids import ServiceName, WorkspaceId
from medlarvale.quarantine.messages import Evidence, Loss, LossEvent
from medlarvale.quarantine.suspects import (
    QuarantineLimits,
    SuspectTable,
    counted_losses,
    fingerprint_of,
)

# An answer that has gone on for this long after its first event shows that the request does not
# crash a server at once.
CLEAN_RUN_MS = 1_000.0
# A request is not blamed for losses up to this long after such an answer. Longer than the restart
# of all servers of a service, so that the requests that wait for it are not blamed together.
CLEAN_WINDOW_MS = 30_000
# What has crashed as many servers as the limit is refused for this time, twice as long with each
# further loss, up to the time of the quarantine.
FIRST_REFUSAL_MS = 60_000
# After this many further losses, a whole request without a complete answer is refused for a day.
# The users allow three retries after the third loss, and two hosts may make one at the same time.
TRIALS_OF_REQUEST = 2
REFUSED_FOR_GOOD_MS = 86_400_000
# Number of fingerprints whose last clean run is remembered; about 100 bytes each.
REMEMBERED_RUNS = 16_384
# Prompt parts are the same for all callers and services.
_NO_WORKSPACE, _NO_SERVICE = WorkspaceId(""), ServiceName("")


def fingerprint_of_request(request: ClientRequest, service: ServiceName = _NO_SERVICE) -> int:
    """Returns the fingerprint of a whole request at a service or at any one, an even number."""
    # Routes may be public, so the host name stands for the workspace; headers are not part of it.
    body = request.path.encode() + b"\0" + request.body
    return fingerprint_of(WorkspaceId(request.host), service, body) & ~1


def fingerprint_of_part(part: PromptPartId) -> int:
    """Returns the fingerprint of a part of a prompt, an odd number."""
    return fingerprint_of(_NO_WORKSPACE, _NO_SERVICE, part.encode("utf-8", "surrogateescape")) | 1


class CleanRun(enum.Enum):
    """What clears a request of the losses of servers that ran it.

    Attributes:
        WENT_ON: an answer that has gone on for ``CLEAN_RUN_MS``. It is known soon, which keeps the
            many requests on a lost server from being blamed for one that crashes servers at once.
            Whole requests are counted by service, as hosts of earlier builds do.
        COMPLETED: a complete answer. It clears also of crashes after a while. Whole requests are
            counted at all services together.
    """

    WENT_ON = "went on"
    COMPLETED = "completed"


class CrashEvidence:
    """Losses and clean runs of one kind by fingerprint.

    Args:
        kind: what counts as a clean run.
    """

    def __init__(self, kind: CleanRun = CleanRun.WENT_ON) -> None:
        self._kind = kind
        self._suspects = SuspectTable(QuarantineLimits())
        self._condemned: set[int] = set()
        # Wall-clock time of the last clean run by fingerprint, the oldest first.
        self._clean_ms: OrderedDict[int, int] = OrderedDict()

    def add_losses(self, fingerprint: int, losses: Iterable[Loss]) -> None:
        """Counts losses that are known under another fingerprint of the same request too."""
        self._merge(Evidence(fingerprint, tuple(losses), self._cleared_at_ms(fingerprint)))

    def counted(self, fingerprint: int) -> list[Loss]:
        """Returns the losses that count against a fingerprint, the oldest first."""
        return counted_losses(self.evidence_of(fingerprint))

    def evidence_of(self, fingerprint: int) -> Evidence:
        """Returns the evidence about a fingerprint, which is empty for an unknown one."""
        return self._suspects.evidence_of(fingerprint)

    def loss_count(self, fingerprint: int) -> int:
        """Returns the number of losses that count against a fingerprint."""
        return len(self._losses(fingerprint))

    def record_loss(self, identity: RequestIdentity, event: LossEvent, wall_ms: int) -> list[int]:
        """Records that a server was lost while a request ran on it.

        Returns:
            The fingerprints about which this is new evidence.
        """
        loss = Loss(wall_ms, event)
        return [
            fingerprint
            for fingerprint in identity.fingerprints
            if self._merge(Evidence(fingerprint, (loss,), self._cleared_at_ms(fingerprint)))
        ]

    def record_clean_run(self, identity: RequestIdentity, wall_ms: int) -> list[int]:
        """Records that a request ran without crashing its server.

        Returns:
            The fingerprints about which this is new evidence.
        """
        for fingerprint in identity.fingerprints:
            self._clean_ms[fingerprint] = wall_ms
            self._clean_ms.move_to_end(fingerprint)
        while len(self._clean_ms) > REMEMBERED_RUNS:
            self._clean_ms.popitem(last=False)
        return [
            fingerprint
            for fingerprint in identity.fingerprints
            if self.counted(fingerprint)
            and self._merge(Evidence(fingerprint, (), wall_ms + CLEAN_WINDOW_MS))
        ]

    def merge(self, evidence: Iterable[Evidence]) -> list[int]:
        """Merges evidence of a peer.

        Returns:
            The fingerprints about which this host knows a later clean run than the peer.
        """
        cleared = []
        for entry in evidence:
            self._merge(entry)
            cleared_at_ms = self._cleared_at_ms(entry.fingerprint)
            if cleared_at_ms > entry.cleared_at_ms and counted_losses(entry):
                self._merge(Evidence(entry.fingerprint, (), cleared_at_ms))
                cleared.append(entry.fingerprint)
        return cleared

    def quarantine_left_ms(self, identity: RequestIdentity, wall_ms: int) -> int:
        """Returns the remaining time for which a request is refused; 0 if it may run."""
        condemned = self._condemned.intersection(identity.fingerprints)
        return max(
            (
                self._refused_for_ms(fingerprint, wall_ms)
                for fingerprint in condemned
                if not self._is_explained(fingerprint, identity)
            ),
            default=0,
        )

    def _refused_for_ms(self, fingerprint: int, wall_ms: int) -> int:
        """Returns the remaining time for which a fingerprint is refused."""
        losses = self.counted(fingerprint)
        if not losses:
            # Evicted from a full table.
            return 0
        further = len({loss.event for loss in losses}) - self._suspects.limits.crash_limit
        return max(0, losses[-1].lost_at_ms + self._refusal_ms(fingerprint, further) - wall_ms)

    def _refusal_ms(self, fingerprint: int, further: int) -> int:
        """Returns the length of a refusal after some losses beyond the limit."""
        is_request = not fingerprint & 1
        if self._kind is CleanRun.COMPLETED and is_request and further >= TRIALS_OF_REQUEST:
            return REFUSED_FOR_GOOD_MS
        return min(self._suspects.limits.quarantine_ms, FIRST_REFUSAL_MS << max(0, further))

    def condemned_evidence(self) -> tuple[Evidence, ...]:
        """Returns the evidence about everything that is refused."""
        return tuple(self.evidence_of(known) for known in sorted(self._condemned))

    def digest(self) -> int:
        """Returns a hash of the evidence about everything that is refused; 0 if nothing is."""
        if not self._condemned:
            return 0
        return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(self.condemned_evidence()))

    def expire(self, wall_ms: int) -> None:
        """Removes old evidence."""
        refused = {known for known in self._condemned if self._refused_for_ms(known, wall_ms)}
        self._suspects.expire(wall_ms, kept=refused)
        self._condemned.intersection_update(self._suspects.fingerprints())

    def _cleared_at_ms(self, fingerprint: int) -> int:
        clean_ms = self._clean_ms.get(fingerprint)
        return 0 if clean_ms is None else clean_ms + CLEAN_WINDOW_MS

    def _merge(self, evidence: Evidence) -> bool:
        changed = self._suspects.merge(evidence)
        if changed:
            losses = self._losses(evidence.fingerprint)
            if len(losses) >= self._suspects.limits.crash_limit:
                self._condemned.add(evidence.fingerprint)
            else:
                self._condemned.discard(evidence.fingerprint)
        return changed

    def _losses(self, fingerprint: int) -> frozenset[LossEvent]:
        """Returns the losses that count against a fingerprint."""
        return frozenset(loss.event for loss in counted_losses(self.evidence_of(fingerprint)))

    def _is_explained(self, fingerprint: int, identity: RequestIdentity) -> bool:
        """Returns whether what the request does not have explains all losses of a fingerprint.

        Requests that crash servers have other parts in common with sound ones.
        """
        losses = self._losses(fingerprint)
        explained: frozenset[LossEvent] = frozenset()
        for other in self._condemned.difference(identity.fingerprints):
            other_losses = self._losses(other)
            if losses <= other_losses:
                return True
            # Several repeated requests together explain nothing: they may share this part.
            if other & 1:
                explained |= other_losses
        return losses <= explained
