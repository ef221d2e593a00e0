"""Polls the engines for the scheduler and the fallback, and cancels requests without owners."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Collection, Iterable

import msgspec

from medlarvale.clock import Clock
from medlarvale.ids import HostIdentity, RequestId, ServerId
from medlarvale.logs import Event, log_info
from medlarvale.membership.servers import BackendServer, ServerDirectory
from medlarvale.peers.errors import PeerError
from medlarvale.scheduling.errors import ProbeError
from medlarvale.scheduling.fallback import LoadTable
from medlarvale.scheduling.group import GroupScheduler
from medlarvale.scheduling.messages import KnownRequests
from medlarvale.scheduling.probe import EngineProbe
from medlarvale.scheduling.reports import EngineRequest
from medlarvale.scheduling.sweep import classify_requests, find_disowned
from medlarvale.settings.schema import PoolRole

QueryOwner = Callable[[HostIdentity, list[RequestId]], Awaitable[KnownRequests]]


class EnginePoller:
    """Reads the reports of the engines and updates schedulers, directory and fallback.

    Args:
        probe: calls to the engines.
        directory: the listed servers; leaving servers are marked in it.
        load_table: reports for the fallback.
        live_owners: entry hosts whose heartbeats arrive.
        query_owner: queries an entry host for the requests that it still serves.
    """

    def __init__(
        self,
        probe: EngineProbe,
        directory: ServerDirectory,
        load_table: LoadTable,
        clock: Clock,
        live_owners: Callable[[], Collection[HostIdentity]],
        query_owner: QueryOwner,
    ) -> None:
        self._probe = probe
        self._directory = directory
        self._load_table = load_table
        self._clock = clock
        self._live_owners = live_owners
        self._query_owner = query_owner
        self._polling: set[ServerId] = set()

    async def poll_all(self, groups: Iterable[GroupScheduler]) -> None:
        """Polls every model engine once, except engines whose last poll is still running."""
        by_service = {group.service: group for group in groups}
        await asyncio.gather(
            *(
                self._poll(server, by_service.get(server.service))
                for server in self._directory.all_servers()
                if server.role is not PoolRole.PLAIN and server.server not in self._polling
            )
        )

    async def _poll(self, engine: BackendServer, group: GroupScheduler | None) -> None:
        self._polling.add(engine.server)
        try:
            await self._poll_load(engine, group)
            if group is not None:
                await self._poll_requests(engine, group)
                await self._poll_cache(engine, group)
        except ProbeError:
            self._load_table.forget(engine.server)
            if group is not None:
                group.scheduler.observe_unreachable(engine.server, self._clock.now_ms())
        finally:
            self._polling.discard(engine.server)

    async def _poll_load(self, engine: BackendServer, group: GroupScheduler | None) -> None:
        report = await self._probe.load(engine)
        self._directory.mark_leaving(engine.server, report.leaving)
        self._load_table.observe(engine.server, report, self._clock.now_ms())
        if group is not None:
            # An engine that the host list or a peer reports as leaving stays so, whatever its own
            # report says.
            leaving = not self._directory.accepts_work(engine.server)
            report = msgspec.structs.replace(report, leaving=leaving)
            group.scheduler.observe_load(engine.server, report, self._clock.now_ms())

    async def _poll_requests(self, engine: BackendServer, group: GroupScheduler) -> None:
        requests = await self._probe.requests(engine)
        group.scheduler.observe_requests(engine.server, requests, self._clock.now_ms())
        findings = classify_requests(requests, self._live_owners())
        await self._cancel(engine, findings.cancel)
        for owner, idle in findings.query.items():
            await self._cancel_disowned(engine, owner, idle)

    async def _poll_cache(self, engine: BackendServer, group: GroupScheduler) -> None:
        if engine.role is PoolRole.PREFILL:
            start = group.scheduler.prefixes.next_event(engine.server)
            answer = await self._probe.cache_events(engine, start)
            group.scheduler.observe_cache(engine.server, answer, self._clock.now_ms())

    async def _cancel_disowned(
        self, engine: BackendServer, owner: HostIdentity, idle: list[EngineRequest]
    ) -> None:
        try:
            answer = await self._query_owner(owner, [request.request_id for request in idle])
        except PeerError:
            # While an owner's heartbeats arrive, only its reply shows that a request has ended.
            return
        known = {request.request_id: request.attempt for request in answer.requests}
        await self._cancel(engine, find_disowned(idle, known))

    async def _cancel(self, engine: BackendServer, requests: list[EngineRequest]) -> None:
        for request in requests:
            await self._probe.cancel(engine, request.request_id, request.attempt)
            log_info(
                Event.ORPHAN_CANCELLED,
                server=engine.server,
                request_id=request.request_id,
                owner=request.owner,
            )
