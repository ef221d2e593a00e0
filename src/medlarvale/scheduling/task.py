"""Places requests of this host, and runs the placement schedulers of some services.

The scheduler of a service runs at the live host with the highest rendezvous weight. Hosts with
different membership views may choose two schedulers. This costs only round trips, because engines
refuse requests that do not fit.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection, Coroutine, Iterable
from typing import Any

import msgspec

from medlarvale import hashing
from medlarvale.clock import Clock, Subscription
from medlarvale.ids import HostId, HostIdentity, RequestId, ServerId, ServiceName
from medlarvale.membership.servers import ServerDirectory
from medlarvale.peers.errors import PeerError
from medlarvale.peers.transport import Transport
from medlarvale.scheduling.errors import PlacementRefusedError
from medlarvale.scheduling.fallback import LoadTable, place_locally
from medlarvale.scheduling.group import QUEUE_POLL_MS, GroupScheduler
from medlarvale.scheduling.limits import GroupLimits
from medlarvale.scheduling.messages import (
    Acknowledged,
    EndedReservations,
    KnownRequest,
    KnownRequests,
    Placed,
    Progress,
    QueryRequests,
    QueryReservations,
    Queued,
    Refused,
    Release,
    Reserve,
)
from medlarvale.scheduling.owned import OwnedRequests
from medlarvale.scheduling.owners import OWNER_CHECK_MS, OwnerQuery
from medlarvale.scheduling.polling import EnginePoller
from medlarvale.scheduling.probe import EngineProbe
from medlarvale.scheduling.reports import LoadReport
from medlarvale.settings.schema import PoolRole

TICK_MS = 5.0
# Without queued requests a tick only detects changes of engine health.
IDLE_TICK_MS = 100.0
POLL_PERIOD_MS = 500.0
PEER_TIMEOUT_MS = 250.0
# Heartbeats detect a dead host after 1 s. Until then, requests that its scheduler would place use
# the fallback without contacting the host.
UNREACHABLE_MS = 1_000.0
# A scheduler that no host has used for this time has been replaced by one at another host.
IDLE_SCHEDULER_MS = 10_000.0


class SchedulingTask:
    """Placement for the local request path, and placement schedulers for all hosts.

    Args:
        identity: this host.
        transport: messages to the other entry hosts.
        probe: calls to the engines.
        directory: listed backend servers.
        live_hosts: entry hosts that may run schedulers, including this one.
        live_owners: entry hosts whose heartbeats arrive, including this one.
        limits_of: returns the current limits of a service.
        generator: random numbers for the fallback.
    """

    def __init__(
        self,
        identity: HostIdentity,
        transport: Transport,
        probe: EngineProbe,
        directory: ServerDirectory,
        clock: Clock,
        live_hosts: Callable[[], list[HostId]],
        live_owners: Callable[[], Collection[HostIdentity]],
        limits_of: Callable[[ServiceName], GroupLimits],
        generator: random.Random,
    ) -> None:
        self._identity = identity
        self._transport = transport
        self._directory = directory
        self._clock = clock
        self._live_hosts = live_hosts
        self._live_owners = live_owners
        self._limits_of = limits_of
        self._generator = generator
        self._load_table = LoadTable()
        self._poller = EnginePoller(
            probe, directory, self._load_table, clock, live_owners, self._query_owned_requests
        )
        self._groups: dict[ServiceName, GroupScheduler] = {}
        self._owned = OwnedRequests()
        self._unreachable_until_ms: dict[HostId, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._subscriptions: list[Subscription] = []
        self._waiting_ticks: Subscription | None = None
        transport.register(Reserve, self._on_reserve)
        transport.register(Progress, self._on_progress)
        transport.register(Release, self._on_release)
        transport.register(QueryReservations, self._on_query_reservations)
        transport.register(QueryRequests, self._on_query_requests)

    def start(self) -> None:
        """Starts the periodic tasks."""
        self._subscriptions = [
            self._clock.every_ms(IDLE_TICK_MS, self._tick),
            self._clock.every_ms(OWNER_CHECK_MS, self._check_owners),
            self._clock.every_ms(POLL_PERIOD_MS, self._start_poll),
        ]
        self._start_poll()

    async def close(self) -> None:
        """Stops the periodic tasks and cancels pending messages."""
        for subscription in self._subscriptions:
            subscription.cancel()
        if self._waiting_ticks is not None:
            self._waiting_ticks.cancel()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def scheduled_services(self) -> list[ServiceName]:
        """Returns the services whose scheduler runs at this host."""
        return [
            service
            for service in self._model_services()
            if self._scheduler_host_of(service) == self._identity.host
        ]

    def load_of(self, server: ServerId) -> LoadReport | None:
        """Returns the newest load report of a server, or None if there is none."""
        return self._load_table.report(server)

    def group(self, service: ServiceName) -> GroupScheduler:
        """Returns the scheduler of a service at this host, starting it if necessary."""
        found = self._groups.get(service)
        if found is None:
            found = GroupScheduler(service, self._limits_of(service), self._directory, self._clock)
            self._groups[service] = found
            self._start_poll()
        return found

    # Placement

    async def reserve(self, request: Reserve) -> Placed:
        """Returns a placement; see ``Placement.reserve``."""
        due_ms = self._clock.now_ms() + request.deadline_ms
        self._owned.add(request.request_id, request.attempt, request.service)
        try:
            answer = await self._reserve_until(request, due_ms)
        except BaseException:
            # The caller is gone, so the placement will not be used.
            self.release(
                Release(request.request_id, request.attempt, request.owner, request.service)
            )
            raise
        if isinstance(answer, Refused):
            self._owned.remove(request.request_id)
            raise PlacementRefusedError(answer.code, answer.retry_after_ms, answer.waited_for)
        return answer

    def report(self, progress: Progress) -> None:
        """Reports a phase change to the scheduler; does not wait."""
        for host in self._scheduler_hosts_of(progress.request_id, progress.service):
            if host == self._identity.host:
                self.group(progress.service).progress(progress)
            else:
                self._spawn(self._send(host, progress))

    def release(self, release: Release) -> None:
        """Ends a reservation; does not wait."""
        hosts = self._scheduler_hosts_of(release.request_id, release.service)
        self._owned.end(release.request_id, release.attempt)
        for host in hosts:
            if host == self._identity.host:
                self.group(release.service).release(release)
            else:
                self._spawn(self._send(host, release))

    async def _reserve_until(self, request: Reserve, due_ms: float) -> Placed | Refused:
        while True:
            left_ms = int(due_ms - self._clock.now_ms())
            if left_ms <= 0:
                return Refused(request.request_id, request.attempt, "deadline_unreachable", 100, [])
            answer = await self._request_placement(
                msgspec.structs.replace(request, deadline_ms=left_ms)
            )
            if not isinstance(answer, Queued):
                return answer

    async def _request_placement(self, request: Reserve) -> Placed | Refused | Queued:
        host = self._scheduler_host_of(request.service)
        self._owned.set_scheduler_host(request.request_id, host)
        if host == self._identity.host:
            return await self._reserve_locally(request)
        if host is not None and self._reachable(host):
            try:
                return await self._reserve_at_peer(host, request)
            except PeerError:
                self._unreachable_until_ms[host] = self._clock.now_ms() + UNREACHABLE_MS
        return self._place_in_fallback(request)

    async def _reserve_at_peer(self, host: HostId, request: Reserve) -> Placed | Refused | Queued:
        answer = await self._transport.request(host, request, QUEUE_POLL_MS + PEER_TIMEOUT_MS)
        if not isinstance(answer, Placed | Refused | Queued):
            raise PeerError(f"host {host} answered with {type(answer).__name__}")
        return answer

    def _place_in_fallback(self, request: Reserve) -> Placed | Refused:
        # If the scheduler has made a reservation, it ends it after its next query to this host.
        self._owned.set_scheduler_host(request.request_id, None)
        service = request.service
        return place_locally(
            request,
            [server.server for server in self._directory.of_service(service, PoolRole.PREFILL)],
            [server.server for server in self._directory.of_service(service, PoolRole.DECODE)],
            self._load_table,
            self._limits_of(service),
            self._generator,
            self._clock.now_ms(),
        )

    async def _reserve_locally(self, request: Reserve) -> Placed | Refused | Queued:
        if self._waiting_ticks is None:
            self._waiting_ticks = self._clock.every_ms(TICK_MS, self._tick_waiting)
        return await self.group(request.service).reserve(request)

    # Messages from other entry hosts

    async def _on_reserve(
        self, sender: HostIdentity, request: Reserve
    ) -> Placed | Refused | Queued:
        _check_owner(sender, request.owner)
        return await self._reserve_locally(request)

    async def _on_progress(self, sender: HostIdentity, message: Progress) -> Acknowledged:
        _check_owner(sender, message.owner)
        self.group(message.service).progress(message)
        return Acknowledged()

    async def _on_release(self, sender: HostIdentity, message: Release) -> Acknowledged:
        _check_owner(sender, message.owner)
        self.group(message.service).release(message)
        return Acknowledged()

    async def _on_query_reservations(
        self, sender: HostIdentity, message: QueryReservations
    ) -> EndedReservations:
        return EndedReservations(self._owned.ended_digests(sender.host, message.digests))

    async def _on_query_requests(
        self, sender: HostIdentity, message: QueryRequests
    ) -> KnownRequests:
        return KnownRequests(
            [
                KnownRequest(request, owned.attempt)
                for request in message.requests
                if (owned := self._owned.get(request)) is not None
            ]
        )

    async def _query_owned_requests(
        self, owner: HostIdentity, requests: list[RequestId]
    ) -> KnownRequests:
        query = QueryRequests(requests)
        if owner == self._identity:
            return await self._on_query_requests(owner, query)
        answer = await self._transport.request(owner.host, query, PEER_TIMEOUT_MS)
        if not isinstance(answer, KnownRequests):
            raise PeerError(f"host {owner.host} answered with {type(answer).__name__}")
        return answer

    # Periodic tasks

    def _tick_waiting(self) -> None:
        self._tick()
        waiting = any(group.has_waiting for group in self._groups.values())
        if not waiting and self._waiting_ticks is not None:
            self._waiting_ticks.cancel()
            self._waiting_ticks = None

    def _tick(self) -> None:
        for group in list(self._groups.values()):
            group.tick()

    def _start_poll(self) -> None:
        scheduled = set(self.scheduled_services())
        for service in scheduled - self._groups.keys():
            self._groups[service] = GroupScheduler(
                service, self._limits_of(service), self._directory, self._clock
            )
        now_ms = self._clock.now_ms()
        for service, group in list(self._groups.items()):
            if service not in scheduled and now_ms - group.last_used_ms > IDLE_SCHEDULER_MS:
                del self._groups[service]
            elif group.scheduler.limits != self._limits_of(service):
                # New settings start a new scheduler, as a change of host does. It first reads the
                # requests of the engines, and waiting hosts repeat their requests within a poll.
                self._groups[service] = GroupScheduler(
                    service, self._limits_of(service), self._directory, self._clock
                )
            else:
                group.refresh_engines()
        self._spawn(self._poller.poll_all(list(self._groups.values())))

    def _check_owners(self) -> None:
        live_owners = self._live_owners()
        for group in list(self._groups.values()):
            for query in group.check_owners(live_owners):
                self._spawn(self._query_reservations(group, query))

    async def _query_reservations(self, group: GroupScheduler, query: OwnerQuery) -> None:
        message = QueryReservations(query.digests)
        if query.owner == self._identity:
            answer: msgspec.Struct = await self._on_query_reservations(self._identity, message)
        else:
            try:
                answer = await self._transport.request(query.owner.host, message, PEER_TIMEOUT_MS)
            except PeerError:
                # The next query contains the same reservations.
                return
        if isinstance(answer, EndedReservations):
            group.apply_owner_reply(query.owner, answer)

    # Helpers

    def _model_services(self) -> list[ServiceName]:
        servers = self._directory.all_servers()
        return sorted({server.service for server in servers if server.role is not PoolRole.PLAIN})

    def _scheduler_host_of(self, service: ServiceName) -> HostId | None:
        return hashing.choose(f"booker/{service}", self._live_hosts())

    def _scheduler_hosts_of(self, request: RequestId, service: ServiceName) -> Iterable[HostId]:
        # The host that placed the request holds its reservation. If the scheduler has moved to
        # another host, the new one counts the request among the foreign requests of the engine.
        owned = self._owned.get(request)
        hosts = [
            owned.scheduler_host if owned is not None else None,
            self._scheduler_host_of(service),
        ]
        return dict.fromkeys(host for host in hosts if host is not None)

    def _reachable(self, host: HostId) -> bool:
        return self._clock.now_ms() >= self._unreachable_until_ms.get(host, 0.0)

    async def _send(self, host: HostId, message: msgspec.Struct) -> None:
        try:
            await self._transport.request(host, message, PEER_TIMEOUT_MS)
        except PeerError:
            # The scheduler's next query finds the reservation if the lost message was a release.
            return

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _check_owner(sender: HostIdentity, owner: HostIdentity) -> None:
    if sender != owner:
        raise PeerError(f"host {sender} sent a message for requests of {owner}")
