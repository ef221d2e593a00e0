"""The placement scheduler of one service at this host, with the handlers that await decisions."""

from __future__ import annotations

import asyncio
from collections.abc import Collection

from medlarvale.clock import Clock
from medlarvale.ids import AttemptNumber, HostIdentity, RequestId, ServiceName
from medlarvale.logs import Event, log_info, log_warning
from medlarvale.membership.servers import ServerDirectory
from medlarvale.scheduling.admission import Decision
from medlarvale.scheduling.health import HealthChange
from medlarvale.scheduling.limits import GroupLimits
from medlarvale.scheduling.messages import (
    EndedReservations,
    Placed,
    Progress,
    Queued,
    Refused,
    Release,
    Reserve,
)
from medlarvale.scheduling.owners import OwnerQuery
from medlarvale.scheduling.scheduler import PlacementScheduler
from medlarvale.settings.schema import PoolRole

# An entry host repeats its request after this time, so it notices the loss of a scheduler while
# most of a TTFT of 1.9 s is left.
QUEUE_POLL_MS = 300.0


class GroupScheduler:
    """Runs a placement scheduler and passes its decisions to the waiting handlers."""

    def __init__(
        self, service: ServiceName, limits: GroupLimits, directory: ServerDirectory, clock: Clock
    ) -> None:
        self.service = service
        self.scheduler = PlacementScheduler(limits)
        self._directory = directory
        self._clock = clock
        self._waiters: dict[
            tuple[RequestId, AttemptNumber], asyncio.Future[Placed | Refused | None]
        ] = {}
        self._placement_scheduled = False
        self.last_used_ms = clock.now_ms()
        self.refresh_engines()

    def refresh_engines(self) -> None:
        """Updates the engines of the scheduler from the server directory."""
        listed = [
            server for server in self._directory.all_servers() if server.service == self.service
        ]
        self.scheduler.set_engines(
            [server.server for server in listed if server.role is PoolRole.PREFILL],
            [server.server for server in listed if server.role is PoolRole.DECODE],
            [server.server for server in listed if not self._directory.accepts_work(server.server)],
            self._clock.now_ms(),
        )

    async def reserve(self, request: Reserve) -> Placed | Refused | Queued:
        """Returns the decision on a request, or ``Queued`` after ``QUEUE_POLL_MS`` without one."""
        now_ms = self.last_used_ms = self._clock.now_ms()
        key = (request.request_id, request.attempt)
        waiter = self._waiters.get(key)
        if waiter is None:
            waiter = self._waiters[key] = asyncio.get_running_loop().create_future()
        self._deliver(self.scheduler.reserve(request, now_ms))
        timer = self._clock.every_ms(QUEUE_POLL_MS, lambda: _resolve(waiter, None))
        try:
            answer = await asyncio.shield(waiter)
        finally:
            timer.cancel()
            if self._waiters.get(key) is waiter:
                del self._waiters[key]
        return answer or Queued(request.request_id, request.attempt)

    def progress(self, message: Progress) -> None:
        """Handles a phase change."""
        self._deliver(self.scheduler.progress(message, self._clock.now_ms()))

    def release(self, message: Release) -> None:
        """Handles the end of an attempt."""
        self._deliver(self.scheduler.release(message, self._clock.now_ms()))

    def check_owners(self, live_owners: Collection[HostIdentity]) -> list[OwnerQuery]:
        """Ends reservations of owners that are gone and returns the queries to the others."""
        check = self.scheduler.check_owners(live_owners, self._clock.now_ms())
        self._deliver(check.decisions)
        return check.queries

    def apply_owner_reply(self, owner: HostIdentity, reply: EndedReservations) -> None:
        """Handles the reply of an owner to a query."""
        now_ms = self._clock.now_ms()
        self._deliver(self.scheduler.apply_owner_reply(owner, reply.digests, now_ms))
        if self.scheduler.reservations:
            self.last_used_ms = now_ms

    @property
    def has_waiting(self) -> bool:
        """Whether handlers are waiting for a decision."""
        return bool(self._waiters)

    def tick(self) -> None:
        """Drops late or abandoned requests, places the next that fits, and logs health changes."""
        self._deliver(self.scheduler.tick(self._clock.now_ms()))
        for change in self.scheduler.health.pop_changes():
            self._log_change(change)

    def _log_change(self, change: HealthChange) -> None:
        if not change.ejected:
            log_info(Event.ENGINE_READMITTED, server=change.server, service=self.service)
            return
        reason = "probe unanswered" if change.unreachable else "attempts failed"
        log_warning(Event.ENGINE_EJECTED, server=change.server, service=self.service, reason=reason)

    def _place_waiting(self) -> None:
        self._placement_scheduled = False
        self._deliver(self.scheduler.place_waiting(self._clock.now_ms()))

    def _deliver(self, decisions: list[Decision]) -> None:
        if self.scheduler.more_to_place and not self._placement_scheduled:
            self._placement_scheduled = True
            asyncio.get_running_loop().call_soon(self._place_waiting)
        for decision in decisions:
            key = (decision.answer.request_id, decision.answer.attempt)
            waiter = self._waiters.get(key)
            # Without a waiter the entry host is between two polls; its next poll gets the answer.
            if waiter is not None:
                _resolve(waiter, decision.answer)


def _resolve(
    waiter: asyncio.Future[Placed | Refused | None], answer: Placed | Refused | None
) -> None:
    if not waiter.done():
        waiter.set_result(answer)
