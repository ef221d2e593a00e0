"""Task that renews the leases of one host, and submits, runs and looks up calls."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from medlarvale.bookings.keys import SHARD_COUNT, shard_of
from medlarvale.bookings.lease import LEASE_MS, RENEW_PERIOD_MS, LeaseState
from medlarvale.bookings.ledger import Acceptance, Ledger, fingerprint_of
from medlarvale.bookings.messages import (
    HandOver,
    HandOverDone,
    LeaseReply,
    LeaseRequest,
    Lookup,
    RecordResult,
    RecordStored,
    Submit,
    Verdict,
    VerdictKind,
    View,
)
from medlarvale.bookings.verdicts import answer_or_raise
from medlarvale.clock import Clock, Subscription
from medlarvale.errors import MedlarvaleError, Outcome
from medlarvale.hashing import choose
from medlarvale.ids import BookingKey, HostId, HostIdentity, ShardId
from medlarvale.logs import Event, log_info, log_warning
from medlarvale.membership.messages import HostList
from medlarvale.peers.errors import PeerError, PeerUnknownError
from medlarvale.peers.transport import Transport
from medlarvale.plain.interface import PlainDispatcher
from medlarvale.plain.messages import PlainAnswer, PlainCall

# A reply counts until the key times that it grants have passed.
LEASE_REQUEST_TIMEOUT_MS = LEASE_MS
# A shard whose lease was requested is handed over when the replies have arrived, or after this
# time: key times that were granted, but whose grant has not arrived, would belong to no host.
GRANTS_WAIT_MS = 400
LOOKUP_TIMEOUT_MS = 500
HAND_OVER_TIMEOUT_MS = 2_000
OWNER_RETRY_MS = 50
# How long a drain waits for a successor: a restarted host can hold shards 2 s after its start.
SUCCESSOR_WAIT_MS = 5_000
EXPIRE_PERIOD_MS = 5_000
# A crashed or paused holder is detected after this time instead of at the caller's deadline.
SUBMIT_WAIT_MS = 1_000
# Time for the holder's answer to travel back before the entry host's request times out.
ANSWER_MARGIN_MS = 100

RUNNING = Verdict(VerdictKind.RUNNING)
UNKNOWN = Verdict(VerdictKind.UNKNOWN)


class BookingTask:
    """Runs calls at most once; implements ``BookingService``.

    Args:
        leases: lease state of this host.
        ledger: verdicts kept by this host.
        dispatcher: sends calls to backend servers.
        transport: sends messages to peers.
        clock: time service.
        live_hosts: returns the hosts that may hold shards.
    """

    def __init__(
        self,
        leases: LeaseState,
        ledger: Ledger,
        dispatcher: PlainDispatcher,
        transport: Transport,
        clock: Clock,
        live_hosts: Callable[[], list[HostId]],
    ) -> None:
        self.leases = leases
        self.ledger = ledger
        self._dispatcher = dispatcher
        self._transport = transport
        self._clock = clock
        self._live_hosts = live_hosts
        self._verdict_events: dict[BookingKey, asyncio.Event] = {}
        self._dispatching: set[BookingKey] = set()
        self._previously_held: set[ShardId] = set()
        self._handing_over: set[ShardId] = set()
        self._handed_over_to: dict[ShardId, HostId] = {}
        self._stopping = False
        self._subscriptions: list[Subscription] = []
        self._tasks: set[asyncio.Task[object]] = set()
        self._lease_requests: set[asyncio.Task[object]] = set()
        transport.register(LeaseRequest, self._answer_lease_request)
        transport.register(Submit, self._answer_submit)
        transport.register(Lookup, self._answer_lookup)
        transport.register(HandOver, self._answer_hand_over)
        transport.register(RecordResult, self._answer_record_result)

    @property
    def _host(self) -> HostId:
        return self.leases.identity.host

    def start(self) -> None:
        """Starts the timers."""
        self._subscriptions = [
            self._clock.every_ms(RENEW_PERIOD_MS, self.renew),
            self._clock.every_ms(EXPIRE_PERIOD_MS, self._expire),
        ]

    async def close(self) -> None:
        """Cancels the timers and all running tasks."""
        for subscription in self._subscriptions:
            subscription.cancel()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def learn_list(self, host_list: HostList) -> None:
        """Applies the entry hosts of a newer host list."""
        members = tuple(sorted(entry.host for entry in host_list.entry_hosts))
        self.leases.learn_list(View(host_list.version, members))

    async def submit(self, key: BookingKey, call: PlainCall) -> PlainAnswer:
        """Returns the one answer for a key; see ``BookingService.submit``."""
        end_ms = self._clock.now_ms() + call.deadline_ms
        verdict = Verdict(VerdictKind.NOT_OWNER)
        while (remaining_ms := end_ms - self._clock.now_ms()) > 0:
            remaining_call = msgspec.structs.replace(call, deadline_ms=max(1, int(remaining_ms)))
            verdict = await self._submit_to_holder(key, remaining_call)
            if verdict.kind not in (VerdictKind.NOT_OWNER, VerdictKind.RUNNING):
                break
            if verdict.kind is VerdictKind.NOT_OWNER:
                # A new key waits for the next holder of its shard instead of being refused.
                await self._clock.sleep_ms(min(OWNER_RETRY_MS, remaining_ms))
        if verdict.kind in (VerdictKind.UNKNOWN, VerdictKind.RUNNING):
            log_warning(Event.BOOKING_OUTCOME_UNKNOWN, key=key, verdict=verdict.kind.value)
        return answer_or_raise(verdict)

    async def _submit_to_holder(self, key: BookingKey, call: PlainCall) -> Verdict:
        holder = self.leases.holder_of(shard_of(key), self._clock.wall_ms())
        if holder is None:
            return Verdict(VerdictKind.NOT_OWNER)
        wait_ms = min(call.deadline_ms, SUBMIT_WAIT_MS)
        if holder.host == self._host:
            return await self._decide(key, call, wait_ms)
        submit = Submit(key, call, wait_ms)
        try:
            reply = await self._transport.request(holder.host, submit, wait_ms + ANSWER_MARGIN_MS)
        except PeerError:
            # The holder may have run the call; only a host whose lease covers the key can decide.
            return Verdict(VerdictKind.NOT_OWNER)
        return reply if isinstance(reply, Verdict) else UNKNOWN

    async def _answer_submit(self, sender: HostIdentity, submit: Submit) -> Verdict:
        return await self._decide(submit.key, submit.call, submit.wait_ms)

    async def _decide(self, key: BookingKey, call: PlainCall, wait_ms: int) -> Verdict:
        fingerprint = fingerprint_of(call)
        acceptance = self.ledger.accept(key, fingerprint, self._clock.wall_ms())
        if acceptance.dispatch:
            # A separate task: a caller that disconnects must not cancel a call that may have run.
            self._dispatching.add(key)
            self._spawn(self._dispatch(key, call))
        if acceptance.lookup:
            return await self._query_peers(key, fingerprint)
        if acceptance.verdict.kind is VerdictKind.RUNNING:
            return await self._await_verdict(key, fingerprint, acceptance, wait_ms)
        return acceptance.verdict

    async def _await_verdict(
        self, key: BookingKey, fingerprint: int, acceptance: Acceptance, wait_ms: int
    ) -> Verdict:
        if acceptance.running_at is not None and acceptance.running_at != self._host:
            return await self._request_peer(
                acceptance.running_at, Lookup(key, fingerprint, wait_ms)
            )
        event = self._verdict_events.setdefault(key, asyncio.Event())
        try:
            async with asyncio.timeout(wait_ms / 1000.0):
                await event.wait()
        except TimeoutError:
            return RUNNING
        record = self.ledger.record(key)
        return record.verdict if record is not None else UNKNOWN

    async def _dispatch(self, key: BookingKey, call: PlainCall) -> None:
        try:
            answer = await self._dispatcher.dispatch_once(call)
            verdict = Verdict(VerdictKind.ANSWERED, answer)
        except MedlarvaleError as error:
            not_run = error.outcome is Outcome.NOT_RUN
            kind = VerdictKind.NOT_RUN if not_run else VerdictKind.UNKNOWN
            verdict = Verdict(kind, detail=error.message)
        except BaseException:
            self._record_verdict(key, UNKNOWN)
            raise
        self._record_verdict(key, verdict)

    def _record_verdict(self, key: BookingKey, verdict: Verdict) -> None:
        self.ledger.record_verdict(key, verdict)
        self._notify_waiters(key)
        self._dispatching.discard(key)
        new_holder = self._handed_over_to.get(shard_of(key))
        if new_holder is not None:
            self._spawn(self._request_peer(new_holder, RecordResult(key, verdict)))

    def _notify_waiters(self, key: BookingKey) -> None:
        event = self._verdict_events.pop(key, None)
        if event is not None:
            event.set()

    async def _query_peers(self, key: BookingKey, fingerprint: int) -> Verdict:
        """Returns the verdict that a peer has on record, or ``UNKNOWN`` if none has one."""
        lookup = Lookup(key, fingerprint, LOOKUP_TIMEOUT_MS)
        peers = [host for host in self.leases.views.members() if host != self._host]
        verdicts = await asyncio.gather(*(self._request_peer(peer, lookup) for peer in peers))
        found = [verdict for verdict in verdicts if verdict.kind is not VerdictKind.UNKNOWN]
        final = [verdict for verdict in found if verdict.kind is not VerdictKind.RUNNING]
        return next(iter(final or found), UNKNOWN)

    async def _request_peer(self, peer: HostId, message: Lookup | RecordResult) -> Verdict:
        timeout_ms = LOOKUP_TIMEOUT_MS
        if isinstance(message, Lookup):
            timeout_ms = message.wait_ms + ANSWER_MARGIN_MS
        try:
            reply = await self._transport.request(peer, message, timeout_ms)
        except PeerError:
            return UNKNOWN
        return reply if isinstance(reply, Verdict) else UNKNOWN

    async def _answer_lookup(self, sender: HostIdentity, lookup: Lookup) -> Verdict:
        record = self.ledger.record(lookup.key)
        if record is None:
            return UNKNOWN
        if record.fingerprint != lookup.fingerprint:
            return Verdict(VerdictKind.KEY_REUSED)
        if record.verdict.kind is VerdictKind.RUNNING and record.running_at is None:
            acceptance = Acceptance(record.verdict)
            return await self._await_verdict(
                lookup.key, lookup.fingerprint, acceptance, lookup.wait_ms
            )
        return record.verdict

    def renew(self) -> None:
        """Hands shards over to the hosts that should hold them, and requests leases on the rest.

        Leases are requested from all members, on the shards that this host holds or should hold.
        """
        wall_ms = self._clock.wall_ms()
        held = set(self.leases.held_shards(wall_ms))
        self._log_lost_leases(held)
        preferred = self._preferred_holders(wall_ms)
        unanswered = set(self._lease_requests)
        for shard in sorted(held - self._handing_over):
            target = preferred[shard]
            if target is not None and target != self._host:
                # Marked before the round below starts: otherwise the round would renew promises
                # beyond the interval that is handed over and leave a gap after it.
                self._handing_over.add(shard)
                self._spawn(self._hand_over(shard, target, unanswered))
        wanted = held | {shard for shard, host in preferred.items() if host == self._host}
        request = self.leases.start_round(wanted - self._handing_over, wall_ms)
        for member in self.leases.views.members():
            if member != self._host:
                task = self._spawn(self._request_leases(member, request))
                self._lease_requests.add(task)
                task.add_done_callback(self._lease_requests.discard)

    def _log_lost_leases(self, held: set[ShardId]) -> None:
        lost = self._previously_held - held - self._handing_over - self._handed_over_to.keys()
        if lost:
            log_warning(Event.LEASE_LOST, shards=len(lost))
        self._previously_held = held

    def _preferred_holders(self, wall_ms: int) -> dict[ShardId, HostId | None]:
        """Returns the host that should hold each shard, or None for a shard without a candidate.

        Candidates are the members that are live in this host's view and can hold shards.
        """
        newest = self.leases.views.newest
        members = set(newest.members) if newest is not None else set()
        live = [
            host
            for host in self._live_hosts()
            if host in members and self.leases.can_hold(host, wall_ms)
        ]
        shards = (ShardId(number) for number in range(SHARD_COUNT))
        return {shard: choose(f"shard-{shard}", live) for shard in shards}

    async def _request_leases(self, member: HostId, request: LeaseRequest) -> None:
        try:
            reply = await self._transport.request(member, request, LEASE_REQUEST_TIMEOUT_MS)
        except PeerError:
            return
        if not isinstance(reply, LeaseReply):
            return
        grantor = HostIdentity(member, reply.report.incarnations[member])
        gained = self.leases.handle_reply(grantor, reply)
        if gained:
            log_info(Event.LEASE_GAINED, shards=len(gained))

    async def _answer_lease_request(
        self, sender: HostIdentity, request: LeaseRequest
    ) -> LeaseReply:
        return self.leases.handle_request(sender, request, self._clock.wall_ms())

    async def _hand_over(
        self, shard: ShardId, target: HostId, unanswered: set[asyncio.Task[object]]
    ) -> None:
        """Hands a shard and its records over to another host.

        If no answer arrives, the shard stays released because the target may hold it.

        Args:
            shard: the shard.
            target: its next holder.
            unanswered: requests for leases, also on this shard.
        """
        if unanswered:
            await asyncio.wait(unanswered, timeout=GRANTS_WAIT_MS / 1000.0)
        interval = self.leases.release_lease(shard)
        if interval is None:
            self._handing_over.discard(shard)
            return
        records = self.ledger.hand_over(shard, self._host)
        # Keys whose records have expired must not look new to the next holder.
        above_ms = max(interval[0], self.ledger.expired_until_ms)
        offer = HandOver(shard, above_ms, interval[1], records)
        accepted: bool | None = None
        try:
            reply = await self._transport.request(target, offer, HAND_OVER_TIMEOUT_MS)
            accepted = isinstance(reply, HandOverDone) and reply.accepted
        except PeerUnknownError:
            accepted = False
        except PeerError:
            pass
        finally:
            self._handing_over.discard(shard)
        if accepted is False:
            self.leases.reclaim(shard, *interval)
        else:
            self._handed_over_to[shard] = target
        log_info(
            Event.BOOKING_RECORDS_HANDED_OVER,
            shard=shard,
            target=target,
            records=len(records),
            accepted=accepted,
        )
        if not self._handing_over:
            # Notify the grantors at once that the next holder may have the shards.
            self.renew()

    async def _answer_hand_over(self, sender: HostIdentity, offer: HandOver) -> HandOverDone:
        accepted = not self._stopping and self.leases.take_over(sender, offer)
        if accepted:
            self._handed_over_to.pop(offer.shard, None)
            self.ledger.take_over(offer.records)
        return HandOverDone(offer.shard, accepted)

    async def _answer_record_result(
        self, sender: HostIdentity, result: RecordResult
    ) -> RecordStored:
        self.ledger.record_verdict(result.key, result.verdict)
        self._notify_waiters(result.key)
        return RecordStored()

    async def drain(self, deadline_ms: float) -> bool:
        """Hands all shards over to their next holders and waits for running calls to end.

        ``live_hosts`` must no longer return this host.

        Returns:
            Whether no shard, running call or unfinished handover is left.
        """
        self._stopping = True
        now_ms = successor_ms = self._clock.now_ms()
        end_ms = now_ms + deadline_ms
        while now_ms < end_ms:
            busy = bool(self._dispatching) or bool(self._handing_over)
            if not busy and not self.leases.held_shards(self._clock.wall_ms()):
                return True
            if any(self._preferred_holders(self._clock.wall_ms()).values()):
                successor_ms = now_ms
            elif not busy and now_ms - successor_ms > SUCCESSOR_WAIT_MS:
                # The whole deployment is stopping: no host is left to take the shards.
                return False
            await self._clock.sleep_ms(OWNER_RETRY_MS)
            now_ms = self._clock.now_ms()
        return False

    def _expire(self) -> None:
        self.ledger.expire(self._clock.wall_ms())

    def _spawn(self, coroutine) -> asyncio.Task[object]:  # type: ignore[no-untyped-def]
        task: asyncio.Task[object] = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
