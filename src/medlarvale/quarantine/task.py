"""Task that isolates and refuses requests that crash servers, in agreement with the cell."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

import msgspec

from medlarvale.clock import Clock, Subscription
from medlarvale.hashing import choose
from medlarvale.ids import HostId, HostIdentity, ServerId
from medlarvale.logs import Event, log_warning
from medlarvale.operators.status import NodeStatus
from medlarvale.peers.errors import PeerError
from medlarvale.peers.transport import Transport
from medlarvale.quarantine.errors import RequestQuarantinedError
from medlarvale.quarantine.messages import (
    AcquirePermit,
    Evidence,
    Loss,
    PermitAnswer,
    PermitId,
    PermitVerdict,
    QuarantineAccepted,
    ReleasePermit,
    RenewPermits,
    ShareEvidence,
)
from medlarvale.quarantine.permits import PERMIT_MS, PermitTable, answer_acquire
from medlarvale.quarantine.suspects import QuarantineLimits, RunningCopies, SuspectTable

TICK_MS = 250.0
RENEW_MS = 500.0
EXPIRE_MS = 10_000.0
REQUEST_TIMEOUT_MS = 300.0
BUSY_POLL_MS = 100.0
# Entries of evidence per message, about 30 KB.
SHARE_BATCH = 200
# The KV cache is kept for 800 ms between prefill and decode, so a copy that has been on no server
# for longer than this has ended even if the request path did not report it.
IDLE_BETWEEN_SERVERS_MS = 2_000.0
# The permit of a copy that never starts is released after the default deadline of a request.
IDLE_BEFORE_START_MS = 120_000.0
# Maximum number of tracked requests that were admitted while they were not suspects and have not
# ended yet; beyond it the oldest are dropped.
MAX_UNSUSPECTED = 100_000


class HeldPermit:
    """Permit held for a copy of this host.

    Attributes:
        idle_deadline_ms: monotonic time at which the permit is released if no server runs the copy.
        ended_at_ms: monotonic time at which the copy ended; None before. The permit is then kept
            until the owner has confirmed the release.
    """

    def __init__(self, permit: PermitId, now_ms: float) -> None:
        self.permit = permit
        self.idle_deadline_ms = now_ms + IDLE_BEFORE_START_MS
        self.ended_at_ms: float | None = None
        self.releasing = False


class UnsuspectedCopies:
    """Copies of one request that were admitted while it was not a suspect."""

    def __init__(self) -> None:
        self.count = 0
        self.last_admitted_ms = 0.0


class QuarantineTask:
    """Implements ``CrashGuard``.

    Args:
        identity: this host.
        transport: sends requests to peers.
        clock: time service.
        live_hosts: returns the live hosts of the cell, including this one.
        limits: returns the limits in force.
        epoch_of: returns the epoch of a server, which is its start according to its load report; 0
            if unknown.
    """

    def __init__(
        self,
        identity: HostIdentity,
        transport: Transport,
        clock: Clock,
        live_hosts: Callable[[], Iterable[HostIdentity]],
        limits: Callable[[], QuarantineLimits],
        epoch_of: Callable[[ServerId], int] = lambda _server: 0,
    ) -> None:
        self._identity = identity
        self._transport = transport
        self._clock = clock
        self._live_hosts = live_hosts
        self._limits = limits
        self._epoch_of = epoch_of
        self.suspects = SuspectTable(limits())
        self._permits = PermitTable(clock.now_ms())
        self._running = RunningCopies()
        self._tokens = itertools.count(1)
        self._held: dict[int, HeldPermit] = {}
        self._unsuspected: dict[int, UnsuspectedCopies] = {}
        self._pending_evidence: dict[HostId, dict[int, None]] = {}
        self._sharing: set[HostId] = set()
        self._last_live_hosts: frozenset[HostIdentity] = frozenset()
        self._subscriptions: list[Subscription] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Registers the message handlers and the timers."""
        self._transport.register(ShareEvidence, self._on_share)
        self._transport.register(AcquirePermit, self._on_acquire)
        self._transport.register(RenewPermits, self._on_renew)
        self._transport.register(ReleasePermit, self._on_release)
        self._last_live_hosts = frozenset(self._live_hosts())
        self._subscriptions = [
            self._clock.every_ms(TICK_MS, self._tick),
            self._clock.every_ms(RENEW_MS, self._renew),
            self._clock.every_ms(EXPIRE_MS, self._expire),
        ]

    async def close(self) -> None:
        """Cancels the timers and outstanding requests."""
        for subscription in self._subscriptions:
            subscription.cancel()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def admit(self, fingerprint: int) -> bool:
        """Returns whether the request has to be isolated; see ``CrashGuard.admit``."""
        permit: PermitId | None = None
        while self.suspects.is_suspect(fingerprint, self._clock.wall_ms()):
            self._refuse_if_quarantined(fingerprint)
            permit = permit or PermitId(fingerprint, next(self._tokens))
            if await self._try_acquire(permit):
                self._held[fingerprint] = HeldPermit(permit, self._clock.now_ms())
                return True
            await self._clock.sleep_ms(BUSY_POLL_MS)
        self._count_unsuspected(fingerprint)
        return False

    def started(self, fingerprint: int, server: ServerId) -> None:
        """Records that the request now runs on a server."""
        self._running.start(fingerprint, server, self._epoch_of(server))

    def finished(self, fingerprint: int, server: ServerId, *, server_lost: bool) -> None:
        """Records that a run on a server ended, and whether because the server was lost."""
        event = self._running.finish(fingerprint, server)
        if event is not None and server_lost:
            if self._running.record_server_loss(event):
                log_warning(Event.SERVER_LOST, server=server, epoch=event.epoch)
            if self.suspects.record_loss(fingerprint, Loss(self._clock.wall_ms(), event)):
                self._report_new_loss(fingerprint)
        held = self._held.get(fingerprint)
        if held is not None and not self._running.is_running(fingerprint):
            idle_ms = 0.0 if server_lost else IDLE_BETWEEN_SERVERS_MS
            held.idle_deadline_ms = self._clock.now_ms() + idle_ms

    def ended(self, fingerprint: int, *, answered: bool) -> None:
        """Records the end of an admitted attempt; see ``CrashGuard.ended``."""
        if answered and self.suspects.record_clean_end(fingerprint, self._clock.wall_ms()):
            self._queue_for_sharing(fingerprint)
        copies = self._unsuspected.get(fingerprint)
        if copies is not None:
            copies.count -= 1
            if copies.count <= 0:
                del self._unsuspected[fingerprint]
        elif fingerprint in self._held:
            self._end_permit(self._held[fingerprint])

    def add_to(self, status: NodeStatus) -> None:
        """Adds the quarantine counts to the status; see ``StatusPart``."""
        wall_ms = self._clock.wall_ms()
        status.counts["suspect_requests"] = self.suspects.suspect_count(wall_ms)
        status.counts["quarantined_requests"] = self.suspects.quarantined_count(wall_ms)

    def _count_unsuspected(self, fingerprint: int) -> None:
        copies = self._unsuspected.setdefault(fingerprint, UnsuspectedCopies())
        copies.count += 1
        copies.last_admitted_ms = self._clock.now_ms()
        if len(self._unsuspected) > MAX_UNSUSPECTED:
            del self._unsuspected[next(iter(self._unsuspected))]

    def _other_copy_here(self, fingerprint: int) -> bool:
        if fingerprint in self._held or self._running.is_running(fingerprint):
            return True
        copies = self._unsuspected.get(fingerprint)
        if copies is None:
            return False
        return copies.last_admitted_ms + IDLE_BEFORE_START_MS > self._clock.now_ms()

    def _end_permit(self, held: HeldPermit) -> None:
        if held.ended_at_ms is None:
            held.ended_at_ms = self._clock.now_ms()
        self._spawn(self._release(held))

    def _refuse_if_quarantined(self, fingerprint: int) -> None:
        wall_ms = self._clock.wall_ms()
        left_ms = self.suspects.quarantine_left_ms(fingerprint, wall_ms)
        if left_ms > 0:
            count = self.suspects.crash_count(fingerprint, wall_ms)
            raise RequestQuarantinedError(
                f"{count} servers were lost while they ran this request; this attempt was not run",
                retry_after_ms=left_ms,
            )

    async def _try_acquire(self, permit: PermitId) -> bool:
        if self._other_copy_here(permit.fingerprint):
            return False
        answer = await self._query_owner(permit)
        if answer is not None:
            self._merge(answer.evidence)
            if answer.verdict is not PermitVerdict.GRANTED:
                return False
        # Evidence or another copy of this host may have arrived during the query.
        self._refuse_if_quarantined(permit.fingerprint)
        return not self._other_copy_here(permit.fingerprint)

    async def _query_owner(self, permit: PermitId) -> PermitAnswer | None:
        """Returns the owner's answer, or None if there is none."""
        evidence = self.suspects.evidence_of(permit.fingerprint)
        owner = self._owner(permit.fingerprint)
        if owner == self._identity.host:
            return self._answer_acquire(permit, self._identity, evidence)
        try:
            answer = await self._transport.request(
                owner, AcquirePermit(permit, evidence), REQUEST_TIMEOUT_MS
            )
        except PeerError:
            return None
        return answer if isinstance(answer, PermitAnswer) else None

    def _owner(self, fingerprint: int) -> HostId:
        hosts = [identity.host for identity in self._live_hosts()]
        return choose(f"suspect {fingerprint}", hosts) or self._identity.host

    def _answer_acquire(
        self, permit: PermitId, holder: HostIdentity, evidence: Evidence
    ) -> PermitAnswer:
        self._update_live_hosts()
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        return answer_acquire(
            self.suspects, self._permits, permit, holder, evidence, now_ms, wall_ms
        )

    def _report_new_loss(self, fingerprint: int) -> None:
        left_ms = self.suspects.quarantine_left_ms(fingerprint, self._clock.wall_ms())
        if left_ms > 0:
            log_warning(
                Event.REQUEST_QUARANTINED,
                fingerprint=f"{fingerprint:016x}",
                quarantine_ms=left_ms,
            )
        self._queue_for_sharing(fingerprint)
        self._share()

    def _merge(self, evidence: Evidence) -> None:
        self.suspects.merge(evidence)
        for loss in evidence.losses:
            self._running.record_server_loss(loss.event)

    def _queue_for_sharing(self, fingerprint: int) -> None:
        for identity in self._live_hosts():
            if identity.host != self._identity.host:
                self._pending_evidence.setdefault(identity.host, {})[fingerprint] = None

    def _update_live_hosts(self) -> None:
        live = frozenset(self._live_hosts())
        if live == self._last_live_hosts:
            return
        self._permits.suspend_grants(self._clock.now_ms())
        for identity in live - self._last_live_hosts:
            if identity.host != self._identity.host:
                # A new host, or one that was partitioned, may have missed any of the evidence.
                self._pending_evidence[identity.host] = dict.fromkeys(self.suspects.fingerprints())
        for gone in {known.host for known in self._last_live_hosts} - {
            known.host for known in live
        }:
            self._pending_evidence.pop(gone, None)
        self._last_live_hosts = live

    def _tick(self) -> None:
        self.suspects.limits = self._limits()
        self._update_live_hosts()
        now_ms = self._clock.now_ms()
        for fingerprint, held in list(self._held.items()):
            idle = not self._running.is_running(fingerprint)
            if held.ended_at_ms is not None or (idle and held.idle_deadline_ms <= now_ms):
                self._end_permit(held)
        self._share()

    def _share(self) -> None:
        for peer, fingerprints in self._pending_evidence.items():
            if fingerprints and peer not in self._sharing:
                self._sharing.add(peer)
                self._spawn(self._share_with(peer))

    async def _share_with(self, peer: HostId) -> None:
        fingerprints = list(self._pending_evidence.get(peer, {}))[:SHARE_BATCH]
        batch = tuple(self.suspects.evidence_of(fingerprint) for fingerprint in fingerprints)
        try:
            await self._transport.request(peer, ShareEvidence(batch), REQUEST_TIMEOUT_MS)
        except PeerError:
            return  # Resent at the next tick.
        finally:
            self._sharing.discard(peer)
        for evidence in batch:
            if self.suspects.evidence_of(evidence.fingerprint) == evidence:
                self._pending_evidence.get(peer, {}).pop(evidence.fingerprint, None)

    async def _release(self, held: HeldPermit) -> None:
        if held.releasing:
            return
        held.releasing = True
        fingerprint = held.permit.fingerprint
        owner = self._owner(fingerprint)
        try:
            if owner == self._identity.host:
                self._permits.release(held.permit, self._identity)
            else:
                message = ReleasePermit(held.permit, self.suspects.evidence_of(fingerprint))
                await self._transport.request(owner, message, REQUEST_TIMEOUT_MS)
        except PeerError:
            # Keep and renew the permit until the owner has the evidence, up to ``PERMIT_MS``.
            if (held.ended_at_ms or 0.0) + PERMIT_MS > self._clock.now_ms():
                return
        finally:
            held.releasing = False
        if self._held.get(fingerprint) is held:
            del self._held[fingerprint]

    def _renew(self) -> None:
        by_owner: dict[HostId, list[PermitId]] = {}
        for fingerprint, held in self._held.items():
            by_owner.setdefault(self._owner(fingerprint), []).append(held.permit)
        for owner, held_permits in by_owner.items():
            if owner == self._identity.host:
                for permit in held_permits:
                    self._permits.renew(permit, self._identity, self._clock.now_ms())
            else:
                self._spawn(self._send_ignoring_errors(owner, RenewPermits(tuple(held_permits))))

    async def _send_ignoring_errors(self, peer: HostId, message: msgspec.Struct) -> None:
        try:
            await self._transport.request(peer, message, REQUEST_TIMEOUT_MS)
        except PeerError:
            return  # Repeated at the next renewal.

    def _expire(self) -> None:
        self.suspects.expire(self._clock.wall_ms())
        self._permits.expire(self._clock.now_ms())

    async def _on_share(self, _sender: HostIdentity, message: ShareEvidence) -> msgspec.Struct:
        for evidence in message.evidence:
            self._merge(evidence)
        return QuarantineAccepted()

    async def _on_acquire(self, sender: HostIdentity, message: AcquirePermit) -> msgspec.Struct:
        self._merge(message.evidence)
        return self._answer_acquire(message.permit, sender, message.evidence)

    async def _on_renew(self, sender: HostIdentity, message: RenewPermits) -> msgspec.Struct:
        for permit in message.permits:
            self._permits.renew(permit, sender, self._clock.now_ms())
        return QuarantineAccepted()

    async def _on_release(self, sender: HostIdentity, message: ReleasePermit) -> msgspec.Struct:
        self._merge(message.evidence)
        self._permits.release(message.permit, sender)
        return QuarantineAccepted()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
