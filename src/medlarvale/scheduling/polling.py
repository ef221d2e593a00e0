"""Polls the engines for the booker and the fallback, and sweeps requests without owners."""

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
from medlarvale.scheduling.sweep import disowned, inspect
from medlarvale.settings.schema import PoolRole

AskOwner = Callable[[HostIdentity, list[RequestId]], Awaitable[KnownRequests]]


class EnginePoller:
    """Reads what engines report and acts on it.

    Args:
        probe: calls to the engines.
        directory: the listed servers; learns which are leaving.
        lag_table: reports for the fallback.
        live_owners: entry hosts whose heartbeats arrive.
        ask_owner: asks an entry host which of its requests it still serves.
    """

    def __init__(
        self,
        probe: EngineProbe,
        directory: ServerDirectory,
        load_table: LoadTable,
        clock: Clock,
        live_owners: Callable[[], Collection[HostIdentity]],
        ask_owner: AskOwner,
    ) -> None:
        self._probe = probe
        self._directory = directory
        self._load_table = load_table
        self._clock = clock
        self._live_owners = live_owners
        self._ask_owner = ask_owner
        self._polling: set[ServerId] = set()

    async def poll_all(self, groups: Iterable[GroupScheduler]) -> None:
        """Polls every model engine once; engines still being polled are skipped."""
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
            # The engine's own word does not undo what the host list or a peer says of it.
            leaving = not self._directory.accepts_work(engine.server)
            report = msgspec.structs.replace(report, leaving=leaving)
            group.scheduler.observe_load(engine.server, report, self._clock.now_ms())

    async def _poll_requests(self, engine: BackendServer, group: GroupScheduler) -> None:
        requests = await self._probe.requests(engine)
        group.scheduler.observe_requests(engine.server, requests, self._clock.now_ms())
        findings = inspect(requests, self._live_owners())
        await self._cancel(engine, findings.cancel)
        for owner, asked in findings.ask.items():
            await self._ask(engine, owner, asked)

    async def _poll_cache(self, engine: BackendServer, group: GroupScheduler) -> None:
        if engine.role is PoolRole.PREFILL:
            start = group.scheduler.prefixes.next_event(engine.server)
            answer = await self._probe.cache_events(engine, start)
            group.scheduler.observe_cache(engine.server, answer, self._clock.now_ms())

    async def _ask(
        self, engine: BackendServer, owner: HostIdentity, asked: list[EngineRequest]
    ) -> None:
        try:
            answer = await self._ask_owner(owner, [request.request_id for request in asked])
        except PeerError:
            # Only the owner can disown a request while its heartbeats arrive.
            return
        known = {request.request_id: request.attempt for request in answer.requests}
        await self._cancel(engine, disowned(asked, known))

    async def _cancel(self, engine: BackendServer, requests: list[EngineRequest]) -> None:
        for request in requests:
            await self._probe.cancel(engine, request.request_id, request.attempt)
            log_info(
                Event.ORPHAN_CANCELLED,
                server=engine.server,
                request_id=request.request_id,
                owner=request.owner,
            )
