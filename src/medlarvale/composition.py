"""Composition root: builds and connects all components of an entry host."""

from __future__ import annotations

import asyncio
import random

import aiohttp
from aiohttp import web

from medlarvale.bookings.lease import LeaseState
from medlarvale.bookings.ledger import Ledger
from medlarvale.bookings.messages import BOOKING_MESSAGES
from medlarvale.bookings.task import BookingTask
from medlarvale.callers.app import CallerServerRunner, build_app
from medlarvale.callers.dependencies import CallerDependencies
from medlarvale.callers.workspaces import WorkspaceDirectory
from medlarvale.clock import SystemClock
from medlarvale.completions.cleanup import EngineCleanup
from medlarvale.completions.dependencies import RequestPathDependencies
from medlarvale.completions.engine_client import HttpEngineClient, new_engine_session
from medlarvale.completions.runner import CompletionRunner
from medlarvale.file_watch import FileWatch
from medlarvale.ids import (
    FailureDomain,
    HostId,
    HostIdentity,
    PoolName,
    RegionName,
    ServerId,
    ServiceName,
    WorkspaceId,
    new_incarnation,
)
from medlarvale.logs import Event, log_info
from medlarvale.membership.messages import MEMBERSHIP_MESSAGES, HostState
from medlarvale.membership.servers import ServerDirectory
from medlarvale.membership.source import PlatformHostListSource
from medlarvale.membership.task import MembershipTask
from medlarvale.membership.view import MembershipView
from medlarvale.operators.accounting import Accounting
from medlarvale.operators.app import OperatorsApp
from medlarvale.operators.fleet import FLEET_MESSAGES, FleetTask
from medlarvale.operators.metrics import Metrics
from medlarvale.operators.parts import (
    BookingPart,
    CountsPart,
    MembershipPart,
    ServersPart,
    SettingsPart,
)
from medlarvale.operators.status import FiguresPart, NodeStatus, StatusPart, collect_status
from medlarvale.peers.auth import FrameGuard, SharedKeys
from medlarvale.peers.key_file import watched_key_file
from medlarvale.peers.pynng_transport import PynngTransport
from medlarvale.peers.transport import MessageCodec
from medlarvale.plain.client import PlainClient, new_plain_session
from medlarvale.plain.polling import PlainPoller
from medlarvale.process_settings import ProcessSettings
from medlarvale.quarantine.messages import QUARANTINE_MESSAGES
from medlarvale.quarantine.suspects import QuarantineLimits
from medlarvale.quarantine.task import QuarantineTask
from medlarvale.scheduling.limits import GroupLimits, limits_from_values
from medlarvale.scheduling.messages import SCHEDULING_MESSAGES
from medlarvale.scheduling.probe import HttpEngineProbe
from medlarvale.scheduling.task import SchedulingTask
from medlarvale.settings.current import CurrentSettings
from medlarvale.settings.messages import MESSAGE_TYPES as SETTINGS_MESSAGES
from medlarvale.settings.schema import DEFAULT_VALUES
from medlarvale.settings.source import FileSource, PlatformSource, SettingsSource
from medlarvale.settings.store import Accepted
from medlarvale.settings.task import SettingsTask
from medlarvale.settings.tree import BranchPath
from medlarvale.tls import TlsContexts
from medlarvale.tracing import Tracing, span_as_json
from medlarvale.uploads.body_budget import BodyBudget, upload_limit_bytes
from medlarvale.uploads.bounds import MONITORING_CONNECTIONS, bounds_of_port, new_pacer
from medlarvale.uploads.connection_table import max_caller_connections
from medlarvale.uploads.servers import BoundedAppRunner

PEER_MESSAGES = (
    *MEMBERSHIP_MESSAGES,
    *SETTINGS_MESSAGES,
    *BOOKING_MESSAGES,
    *SCHEDULING_MESSAGES,
    *QUARANTINE_MESSAGES,
    *FLEET_MESSAGES,
)

DRAIN_POLL_MS = 100.0


class EntryHost:
    """All components of one entry host, built from its process settings.

    Args:
        process: settings from flags and environment variables.
    """

    def __init__(self, process: ProcessSettings) -> None:
        self._process = process
        self.clock = SystemClock()
        started_wall_ms = self.clock.wall_ms()
        self.drain_requested = asyncio.Event()
        self.identity = HostIdentity(process.host, new_incarnation(started_wall_ms))
        self.tracing = Tracing(process.host, path=process.trace_file)
        self.current = CurrentSettings()
        self.directory = ServerDirectory(self.clock)
        self._tls = TlsContexts(process.tls)
        keys = SharedKeys(process.peer_keys)
        watched = [watched_key_file(keys, process.peer_key_file, self.clock), *self._tls.watched()]
        self._file_watch = FileWatch(self.clock, watched)
        guard = FrameGuard(keys, self.identity, started_wall_ms)
        self.transport = PynngTransport(
            self.identity,
            f"tcp://{process.listen_peer}",
            guard,
            MessageCodec(PEER_MESSAGES),
            self.clock,
        )
        self._platform_session = aiohttp.ClientSession()
        self._engine_session = new_engine_session(self._tls.backend)
        self._plain_session = new_plain_session(self._tls.backend)
        self.settings = self._build_settings()
        self.membership = self._build_membership()
        self.accounting = Accounting(self.clock, self._region_of, self._pool_of)
        self.quarantine = self._build_quarantine()
        self.scheduling = self._build_scheduling()
        self.plain_client = PlainClient(
            session=self._plain_session,
            directory=self.directory,
            settings=self.current,
            region=process.region,
            failure_domain=process.failure_domain,
            guard=self.quarantine,
            clock=self.clock,
            tracer=self.tracing.tracer,
        )
        self.plain_poller = PlainPoller(self._engine_session, self.directory, self.clock)
        self.bookings = self._build_bookings(started_wall_ms)
        self.completion_runner = self._build_completion_runner()
        self.fleet = FleetTask(
            self.identity, self.transport, self.clock, self._listed_hosts, self.status
        )
        bodies = BodyBudget(upload_limit_bytes(process.memory_bytes), self.clock.now_ms)
        pacer = new_pacer()
        self._operators_runner = BoundedAppRunner(
            self._build_operators().build(),
            bounds_of_port(bodies, MONITORING_CONNECTIONS, pacer),
            access_log=None,
        )
        self._caller_server = CallerServerRunner(
            build_app(
                CallerDependencies(
                    process.region,
                    process.failure_domain,
                    self.clock,
                    self.current,
                    WorkspaceDirectory(self.current),
                    self.completion_runner,
                    self.plain_client,
                    self.bookings,
                    self.accounting,
                    self.tracing.tracer,
                    bodies,
                )
            ),
            bounds_of_port(bodies, max_caller_connections(process.max_descriptors), pacer),
        )

    def _build_settings(self) -> SettingsTask:
        process = self._process
        default = process.settings_file.read_bytes() if process.settings_file else None
        source: SettingsSource
        if process.platform_url:
            source = PlatformSource(self._platform_session, process.platform_url)
        else:
            assert process.settings_file is not None
            source = FileSource(process.settings_file, self.clock)
        settings = SettingsTask(process.host, self.transport, self.clock, source, default)
        settings.subscribe(self._accept_settings)
        return settings

    def _accept_settings(self, accepted: Accepted) -> None:
        self.current.accept(accepted)
        if self.membership.view.state is HostState.JOINING:
            self.membership.set_state(HostState.LIVE)

    def _build_membership(self) -> MembershipTask:
        membership = MembershipTask(
            MembershipView(self.identity),
            self.directory,
            self.transport,
            self.transport,
            PlatformHostListSource(self._platform_session, self._process.platform_url),
            self.clock,
            lambda: self.settings.version,
        )
        membership.on_heartbeat(
            lambda sender, beat: self.settings.record_peer_version(
                sender.host, beat.config_version, beat.reaches_config
            )
        )
        membership.on_tick(lambda: self.settings.set_live_hosts(membership.live_hosts()))
        membership.set_config_reach_source(lambda: self.settings.reaches_service)
        membership.set_leaving_servers_source(self.directory.self_reported_leaving)
        return membership

    def _region_of(self, failure_domain: FailureDomain) -> RegionName | None:
        if not self.current.ready:
            return None
        for name, region in self.current.tree().regions.items():
            if failure_domain in region.failure_domains:
                return RegionName(name)
        return None

    def _pool_of(self, server: ServerId) -> PoolName | None:
        listed = self.directory.get(server)
        return listed.pool if listed is not None else None

    def _listed_hosts(self) -> list[HostId]:
        return [self.identity.host, *self.membership.view.peers()]

    def status(self) -> NodeStatus:
        """Returns the status of this host for operators."""
        return collect_status(self.identity, self._status_parts)

    def _build_operators(self) -> OperatorsApp:
        process, view = self._process, self.membership.view
        location = process.region, process.failure_domain
        self._status_parts: list[StatusPart] = [
            MembershipPart(*location, view, self.clock),
            SettingsPart(self.settings, self.current, *location),
            BookingPart(self.bookings.leases, self.bookings.ledger, self.clock),
            ServersPart(self.directory, self.scheduling.load_of),
            self.quarantine,
            CountsPart(
                {
                    "requests_under_way": self.completion_runner.count,
                    "files_refused": lambda: self._file_watch.failed_load_count,
                    "peer_frames_dropped": lambda: self.transport.dropped_frames,
                    "peer_bytes_sent": lambda: self.transport.sent_bytes,
                    "peer_bytes_received": lambda: self.transport.received_bytes,
                }
            ),
            FiguresPart(self.accounting),
        ]
        return OperatorsApp(
            process.operator_token,
            self.status,
            self.fleet.fleet_status,
            Metrics(self.accounting, self.status),
            lambda: [span_as_json(span) for span in self.tracing.ring.spans()],
            lambda: self.membership.view.state is HostState.LIVE,
            self.drain_requested.set,
        )

    def _build_quarantine(self) -> QuarantineTask:
        return QuarantineTask(
            self.identity,
            self.transport,
            self.clock,
            self._live_incarnations,
            self._quarantine_limits,
            self._epoch_of,
        )

    def _live_incarnations(self) -> set[HostIdentity]:
        return {self.identity, *self.membership.view.live_identities(self.clock.now_ms())}

    def _epoch_of(self, server: ServerId) -> int:
        report = self.scheduling.load_of(server)
        return report.epoch if report is not None else 0

    def _quarantine_limits(self) -> QuarantineLimits:
        if not self.current.ready:
            return QuarantineLimits()
        crash_limit, quarantine_ms = (
            self.current.value(name, self._process.region, self._process.failure_domain)
            for name in ("crash_limit", "quarantine_ms")
        )
        return QuarantineLimits(crash_limit, quarantine_ms)

    def _build_scheduling(self) -> SchedulingTask:
        return SchedulingTask(
            self.identity,
            self.transport,
            HttpEngineProbe(self._engine_session, self.identity),
            self.directory,
            self.clock,
            self.membership.live_hosts,
            lambda: self.membership.view.answering_identities(self.clock.now_ms()),
            self._limits_of,
            random.Random(self.identity.incarnation),
        )

    def _limits_of(self, service: ServiceName) -> GroupLimits:
        process = self._process
        path = BranchPath(process.region, process.failure_domain, service)
        weights = {
            WorkspaceId(name): workspace.weight
            for name, workspace in self.current.tree().workspaces.items()
        }
        return limits_from_values(self.current.values(path), weights)

    def _build_bookings(self, started_wall_ms: int) -> BookingTask:
        leases = LeaseState(self.identity, started_wall_ms)
        bookings = BookingTask(
            leases,
            Ledger(leases, self._key_max_age_ms),
            self.plain_client,
            self.transport,
            self.clock,
            self.membership.live_hosts,
        )
        self.membership.on_list(bookings.learn_list)
        return bookings

    def _key_max_age_ms(self) -> int:
        if not self.current.ready:
            return DEFAULT_VALUES.key_max_age_ms or 0
        process = self._process
        return self.current.value("key_max_age_ms", process.region, process.failure_domain)

    def _build_completion_runner(self) -> CompletionRunner:
        engines = HttpEngineClient(self._engine_session)
        return CompletionRunner(
            RequestPathDependencies(
                self.identity,
                self._process.region,
                self._process.failure_domain,
                self.clock,
                self.current,
                self.scheduling,
                self.directory,
                engines,
                EngineCleanup(engines, self.clock),
                self.quarantine,
                self.accounting,
                self.tracing.tracer,
            )
        )

    async def start(self) -> None:
        """Starts all tasks and listens on all ports.

        Raises:
            OSError: if a port can't be bound.
        """
        self.transport.start()
        self.fleet.start()
        self.settings.start()
        self.membership.start()
        self.scheduling.start()
        self.plain_poller.start()
        self.quarantine.start()
        self.bookings.start()
        self._file_watch.start()
        listen = self._process.listen_caller
        for runner, address, context in [
            (self._operators_runner, self._process.listen_operators, self._tls.operators),
            (self._caller_server, listen, self._tls.caller),
        ]:
            await runner.setup()
            await web.TCPSite(runner, address.ip, address.port, ssl_context=context).start()
        log_info(
            Event.HOST_STARTED,
            host=str(self.identity),
            failure_domain=self._process.failure_domain,
            listen_caller=str(listen),
        )

    async def drain(self) -> None:
        """Drains the host: hands over bookings and waits for the requests in flight.

        Requests are not interrupted. The wait ends at the time limit even if some still run.
        """
        log_info(Event.HOST_DRAINING, host=str(self.identity))
        self.membership.set_state(HostState.LEAVING)
        # The load balancer notices with a delay: callers still connect for a while and are served.
        await self.clock.sleep_ms(self._process.leave_grace_ms)
        limit_ms = self._drain_limit_ms()
        end_ms = self.clock.now_ms() + limit_ms
        await self.bookings.drain(limit_ms)
        while self.completion_runner.count() and self.clock.now_ms() < end_ms:
            await self.clock.sleep_ms(DRAIN_POLL_MS)

    def _drain_limit_ms(self) -> int:
        """Returns the time limit for work in flight; no request may outlast its deadline."""
        if not self.current.ready:
            return 0
        process = self._process
        return max(
            self.current.value(name, process.region, process.failure_domain)
            for name in ("drain_ms", "request_deadline_ms")
        )

    async def close(self) -> None:
        """Stops all tasks and closes all sockets."""
        self._file_watch.close()
        await self._caller_server.cleanup()
        await self._operators_runner.cleanup()
        await self.bookings.close()
        await self.plain_poller.close()
        await self.scheduling.close()
        await self.quarantine.close()
        await self.membership.close()
        await self.settings.close()
        await self.transport.close()
        for session in (self._platform_session, self._engine_session, self._plain_session):
            await session.close()
        self.tracing.shutdown()
        log_info(Event.HOST_STOPPED, host=str(self.identity))
