"""Obtains quota for requests from the owners of the buckets, and answers the requests of peers."""

from __future__ import annotations

import asyncio
import random
from collections import deque

import msgspec

from medlarvale.clock import Clock, Subscription
from medlarvale.forwarding.background_tasks import BackgroundTasks, end_tasks
from medlarvale.forwarding.messages import MAX_NUMBER, Quota
from medlarvale.ids import HostId, HostIdentity, WorkspaceId
from medlarvale.peers.errors import PeerError
from medlarvale.peers.transport import Transport
from medlarvale.quotas.bucket import DEBT_SHARE
from medlarvale.quotas.errors import QuotaExceededError
from medlarvale.quotas.grants import GrantTable, QuotaFinder
from medlarvale.quotas.holdings import ADVANCE_LIFE_MS, Holding
from medlarvale.quotas.messages import (
    MAX_AMOUNTS,
    MAX_NEEDS,
    QuotaReply,
    QuotaRequest,
    WorkspaceGrant,
    WorkspaceNeed,
)
from medlarvale.quotas.ownership import QuotaOwners
from medlarvale.quotas.reports import QuotaReports

# Time that requests wait for an owner before the next host is asked.
OWNER_TIMEOUT_MS = 100.0
# A request that joins a batch late is still given this part of it.
SHORTEST_TIMEOUT_MS = 20.0
# Hosts that are asked about one request.
MAX_OWNERS = 2
# Time between two messages to one owner; requests that arrive meanwhile share the next one.
SEND_PERIOD_MS = 10.0
# The amount of a request that did not run is given back within this time only. Otherwise a backlog
# that fails at once would carry its quota over into the next window.
CREDIT_MS = 1_000.0
# Period of the clean-up. A pause of the process shows as a longer one.
TICK_MS = 250.0
PAUSE_MS = 1_000.0
# Lapsed advances go back with the next message to their owner. A message of its own is sent only
# for more than this share of the burst; smaller ones would be a third of all messages.
RETURN_SHARE = 1.0 / 16.0
# Holdings without demand are forgotten after this time.
FORGET_HOLDING_MS = 10_000.0
# After a refusal a host refuses the next requests of the workspace for this time, or for half of
# the time until its request may be granted, without asking, since most would be refused.
HOLD_OFF_MS = 100.0
# A request larger than the burst and the rate of this time is refused: it alone would exceed the
# quota of a window, and its debt would keep the workspace below zero for longer than that. Peers
# refuse messages with an amount beyond ``MAX_NUMBER``, with all that they ask for others.
LARGEST_REQUEST_S = 8.0
# Callers honour a Retry-After up to this share of their remaining time.
RETRY_SHARE = 1.0 / 3.0


class Charge(msgspec.Struct, frozen=True):
    """Quota that a request has taken."""

    workspace: WorkspaceId
    amount: float
    taken_ms: float


class _Ticket:
    """A request that waits for quota.

    Attributes:
        hosts: hosts that may still be asked, best first.
        decision: time after which it may be granted, None if it is.
    """

    def __init__(
        self, workspace: WorkspaceId, amount: float, hosts: list[HostId], now_ms: float
    ) -> None:
        self.workspace = workspace
        self.amount = amount
        self.hosts = deque(hosts[:MAX_OWNERS])
        self.queued_ms = now_ms
        self.decision: asyncio.Future[int | None] = asyncio.get_running_loop().create_future()


class _Queue:
    """What waits to be sent to one owner."""

    def __init__(self) -> None:
        self.tickets: deque[_Ticket] = deque()
        self.returns: dict[WorkspaceId, float] = {}
        self.return_now = False
        self.sent_ms = float("-inf")
        self.running = False

    def pop_batch(self) -> dict[WorkspaceId, list[_Ticket]]:
        """Removes and returns the tickets of one message by workspace."""
        batch: dict[WorkspaceId, list[_Ticket]] = {}
        left: deque[_Ticket] = deque()
        for ticket in self.tickets:
            if ticket.decision.done():
                # Its caller has left.
                continue
            tickets = batch.get(ticket.workspace, [])
            if len(tickets) >= MAX_AMOUNTS or (not tickets and len(batch) >= MAX_NEEDS):
                left.append(ticket)
                continue
            batch.setdefault(ticket.workspace, tickets).append(ticket)
        self.tickets = left
        return batch


class QuotaTask:
    """Quotas of the workspaces as one host sees them.

    Args:
        owners: which host grants the quota of a workspace.
        find_quota: returns the quota of a workspace; None without one.
        transport: messages to peers.
        clock: time service.
        rng: spreads the times of refused callers that can't wait for theirs.
    """

    def __init__(
        self,
        owners: QuotaOwners,
        find_quota: QuotaFinder,
        transport: Transport,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.owners = owners
        self.table = GrantTable(owners, clock, find_quota)
        self.reports = QuotaReports(clock)
        self._find_quota = find_quota
        self._transport = transport
        self._clock = clock
        self._rng = rng
        self._holdings: dict[WorkspaceId, Holding] = {}
        self._queues: dict[HostId, _Queue] = {}
        self._background = BackgroundTasks()
        self._senders: set[asyncio.Task[None]] = set()
        self._ticked_ms = clock.now_ms()
        self._subscription: Subscription | None = None
        transport.register(QuotaRequest, self._answer)

    def start(self) -> None:
        """Starts the clean-up."""
        self._subscription = self._clock.every_ms(TICK_MS, self._tick)

    async def close(self) -> None:
        """Ends the messages in progress."""
        if self._subscription is not None:
            self._subscription.cancel()
        await end_tasks(list(self._senders))

    async def take(self, workspace: WorkspaceId, amount: float, left_ms: float) -> Charge | None:
        """Takes quota for a request.

        Args:
            workspace: workspace of the request.
            amount: what the request counts.
            left_ms: time that its caller still waits.

        Returns:
            What was taken; None if the workspace has no quota.

        Raises:
            QuotaExceededError: the quota is used up.
        """
        quota = self._find_quota(workspace)
        if quota is None or amount <= 0.0:
            return None
        now_ms = self._note_time()
        if amount > min(MAX_NUMBER, quota.burst + LARGEST_REQUEST_S * quota.rate_per_s):
            self.reports.note(workspace, amount, refused=True)
            raise self._refusal(workspace, quota, int(left_ms), left_ms)
        holding = self._holdings.get(workspace)
        if holding is None:
            holding = self._holdings[workspace] = Holding(now_ms)
        # The clean-up must not forget it while the request waits.
        holding.used_ms = now_ms
        retry_ms: int | None = None
        if not holding.use(amount, now_ms):
            held_ms = holding.hold_off(now_ms)
            if held_ms is not None:
                retry_ms = int(held_ms * (1.0 + self._rng.random()))
            else:
                ticket = _Ticket(workspace, amount, self.owners.ranking(workspace), now_ms)
                self._pass_on(ticket)
                retry_ms = await ticket.decision
                if retry_ms is not None and amount <= quota.burst * DEBT_SHARE:
                    # A larger request may be refused although smaller ones fit.
                    hold_ms = min(HOLD_OFF_MS, retry_ms / 2.0)
                    holding.note_refusal(self._clock.now_ms(), hold_ms, retry_ms)
        holding.note_demand(amount, now_ms)
        self.reports.note(workspace, amount, refused=retry_ms is not None)
        if retry_ms is not None:
            raise self._refusal(workspace, quota, retry_ms, left_ms)
        return Charge(workspace, amount, self._clock.now_ms())

    def credit(self, charge: Charge) -> None:
        """Gives back the quota of a request that did not run."""
        now_ms = self._note_time()
        left_ms = charge.taken_ms + CREDIT_MS - now_ms
        holding = self._holdings.get(charge.workspace)
        if left_ms > 0.0 and holding is not None:
            holding.add(charge.amount, now_ms + left_ms, None)

    def _refusal(
        self, workspace: WorkspaceId, quota: Quota, retry_ms: int, left_ms: float
    ) -> QuotaExceededError:
        limit_ms = max(0.0, left_ms * RETRY_SHARE)
        if retry_ms > limit_ms:
            # Spread, so that callers that can't wait for their time do not return together.
            retry_ms = int(limit_ms * (0.5 + 0.5 * self._rng.random()))
        unit = quota.unit.value
        return QuotaExceededError(
            f"workspace {workspace} is over its limit of {quota.rate_per_s:g} {unit}/s",
            retry_after_ms=retry_ms,
        )

    def _pass_on(self, ticket: _Ticket) -> None:
        """Lets the next host decide about a request."""
        while ticket.hosts:
            host = ticket.hosts.popleft()
            if host != self.owners.own:
                ticket.queued_ms = self._clock.now_ms()
                self._queue(host).tickets.append(ticket)
                self._start_sender(host)
                return
            grant = self.table.grant(host, WorkspaceNeed(ticket.workspace, (ticket.amount,)))
            if grant.known:
                ticket.decision.set_result(grant.retry_after_ms[0])
                return
        self.reports.note_local(ticket.workspace)
        ticket.decision.set_result(self.table.grant_locally(ticket.workspace, ticket.amount))

    def _queue(self, host: HostId) -> _Queue:
        return self._queues.setdefault(host, _Queue())

    def _start_sender(self, host: HostId) -> None:
        queue = self._queue(host)
        if queue.running:
            return
        queue.running = True
        task = self._background.start(self._send_queue(host, queue))
        self._senders.add(task)
        task.add_done_callback(self._senders.discard)

    async def _send_queue(self, host: HostId, queue: _Queue) -> None:
        """Sends what waits for one owner, one message at a time."""
        try:
            while queue.tickets or queue.return_now:
                left_ms = queue.sent_ms + SEND_PERIOD_MS - self._clock.now_ms()
                if left_ms > 0.0:
                    await self._clock.sleep_ms(left_ms)
                await self._send_batch(host, queue)
        finally:
            queue.running = False

    async def _send_batch(self, host: HostId, queue: _Queue) -> None:
        now_ms = self._clock.now_ms()
        batch = queue.pop_batch()
        returns, queue.returns = queue.returns, {}
        queue.return_now = False
        needs = [
            self._need(workspace, tickets, returns.pop(workspace, 0.0), now_ms)
            for workspace, tickets in batch.items()
        ]
        for workspace, amount in list(returns.items())[: MAX_NEEDS - len(needs)]:
            needs.append(WorkspaceNeed(workspace, (), 0.0, amount))
        if not needs:
            return
        queue.sent_ms = now_ms
        tickets = [ticket for group in batch.values() for ticket in group]
        waited_ms = max((now_ms - ticket.queued_ms for ticket in tickets), default=0.0)
        timeout_ms = max(SHORTEST_TIMEOUT_MS, OWNER_TIMEOUT_MS - waited_ms)
        try:
            reply = await self._transport.request(host, QuotaRequest(tuple(needs)), timeout_ms)
        except Exception as error:  # The waiting requests must not depend on how a message fails.
            reason = error.message if isinstance(error, PeerError) else repr(error)
            self.reports.note_silent(host, reason)
            self.owners.note_silence(host)
            self._pass_on_all([*tickets, *queue.tickets])
            queue.tickets.clear()
            return
        except BaseException:
            # Their requests would wait for ever.
            for ticket in tickets:
                ticket.decision.cancel()
            raise
        self.owners.note_reply(host)
        grants = reply.grants if isinstance(reply, QuotaReply) else ()
        if len(grants) != len(needs):
            self.reports.note_silent(host, "the reply does not fit the request")
            self._pass_on_all(tickets)
            return
        for need, grant in zip(needs, grants, strict=True):
            self._apply(host, need, grant, batch.get(need.workspace, []), now_ms)

    def _need(
        self, workspace: WorkspaceId, tickets: list[_Ticket], returned: float, now_ms: float
    ) -> WorkspaceNeed:
        holding = self._holdings.get(workspace)
        advance = max(0.0, holding.demand(now_ms) - holding.amount) if holding is not None else 0.0
        advance = min(advance, MAX_NUMBER)
        return WorkspaceNeed(
            workspace, tuple(ticket.amount for ticket in tickets), advance, returned
        )

    def _apply(
        self,
        host: HostId,
        need: WorkspaceNeed,
        grant: WorkspaceGrant,
        tickets: list[_Ticket],
        sent_ms: float,
    ) -> None:
        if not grant.known or len(grant.retry_after_ms) != len(tickets):
            self._pass_on_all(tickets)
            return
        until_ms = sent_ms + ADVANCE_LIFE_MS
        holding = self._holdings.get(need.workspace)
        if holding is not None:
            holding.add(grant.advance, until_ms, host)
        for ticket, retry_ms in zip(tickets, grant.retry_after_ms, strict=True):
            if not ticket.decision.done():
                ticket.decision.set_result(retry_ms)
            elif retry_ms is None and holding is not None:
                # Its caller has left meanwhile.
                holding.add(ticket.amount, until_ms, host)

    def _pass_on_all(self, tickets: list[_Ticket]) -> None:
        for ticket in tickets:
            if not ticket.decision.done():
                self._pass_on(ticket)

    async def _answer(self, sender: HostIdentity, message: QuotaRequest) -> QuotaReply:
        self._note_time()
        grants = (self.table.grant(sender.host, need) for need in message.needs)
        return QuotaReply(tuple(grants))

    def _note_time(self) -> float:
        """Returns the time; after a pause this host is like a new owner."""
        now_ms = self._clock.now_ms()
        if now_ms - self._ticked_ms > TICK_MS + PAUSE_MS:
            self.table.restart()
            self._ticked_ms = now_ms
        return now_ms

    def _give_back(self, workspace: WorkspaceId, owner: HostId, amount: float) -> None:
        quota = self._find_quota(workspace)
        if quota is None:
            return
        queue = self._queue(owner)
        queue.returns[workspace] = amount
        if amount > quota.burst * RETURN_SHARE:
            queue.return_now = True
            self._start_sender(owner)

    def _tick(self) -> None:
        now_ms = self._ticked_ms = self._note_time()
        for host, queue in list(self._queues.items()):
            # Returns that found no message since the last clean-up are given up.
            queue.returns.clear()
            if not queue.running and not queue.tickets:
                del self._queues[host]
        for workspace, holding in list(self._holdings.items()):
            for owner, amount in holding.take_lapsed(now_ms).items():
                self._give_back(workspace, owner, amount)
            if now_ms - holding.used_ms > FORGET_HOLDING_MS:
                del self._holdings[workspace]
        self.table.forget_unused()
        self.reports.tick(self.owners.scale())
