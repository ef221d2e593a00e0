"""Composition root of a forwarding host: creates and connects its components."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable, Mapping

from aiohttp import web

from medlarvale.access.confirmation import ConfigConfirmation
from medlarvale.access.gate import AccessGate
from medlarvale.body_memory import BodyMemory, limit_of_process
from medlarvale.clock import SystemClock
from medlarvale.forwarding.cache_holders import CacheHolderFinder
from medlarvale.forwarding.caller_server import CallerServer, RequestDecoder, build_readiness_server
from medlarvale.forwarding.context import ForwardingContext, RetryLimits
from medlarvale.forwarding.crash_guard import CrashGuard
from medlarvale.forwarding.domain_reader import DomainReaderTask
from medlarvale.forwarding.fleet import FleetTask, FleetView, fleet_key
from medlarvale.forwarding.fleet_messages import FLEET_MESSAGES, Hello
from medlarvale.forwarding.follower import StateFollower
from medlarvale.forwarding.interface import Backends, StateSource
from medlarvale.forwarding.messages import (
    DEFAULT_HEARTBEAT_MS,
    EngineStage,
    EngineTraits,
    HostParameters,
    RouteTable,
    Server,
)
from medlarvale.forwarding.metrics import ForwardingMetrics
from medlarvale.forwarding.orders import OrderTask
from medlarvale.forwarding.peer_sender import HttpPeerSender
from medlarvale.forwarding.peer_state import PeerStateTask
from medlarvale.forwarding.plain import PlainForwarder
from medlarvale.forwarding.published_view import PublishedView
from medlarvale.forwarding.rechecks import RecheckTask
from medlarvale.forwarding.relay_client import Relay
from medlarvale.forwarding.relay_messages import RelayCodec
from medlarvale.forwarding.servers import ServerTable
from medlarvale.forwarding.stream_records import StreamRecords
from medlarvale.forwarding.stream_versions import RETAIN_MS, StreamVersions
from medlarvale.forwarding.streams import StreamForwarder
from medlarvale.http_heads import keep_header_bytes
from medlarvale.ids import FailureDomain, HostId, HostIdentity, ServiceName, new_incarnation
from medlarvale.logs import Event, log_info
from medlarvale.overload.priorities import ConfiguredPriorities
from medlarvale.peers.auth import FrameGuard, SharedKeys
from medlarvale.peers.pynng_transport import PynngTransport
from medlarvale.peers.transport import MessageCodec
from medlarvale.quarantine.messages import QuarantineAccepted, ShareEvidence
from medlarvale.quotas.charging import RequestCharges
from medlarvale.quotas.messages import QUOTA_MESSAGES
from medlarvale.uploads.body_budget import BodyBudget, upload_limit_bytes
from medlarvale.uploads.bounds import (
    MONITORING_CONNECTIONS,
    Uploads,
    bounds_of_port,
    new_pacer,
)
from medlarvale.uploads.connection_table import DEFAULT_CONNECTIONS, max_caller_connections

# For streams of a service without engines: nothing is reserved, because its servers reject excess
# requests.
PLAIN_TRAITS = EngineTraits(
    slots=1, memory_tokens=1 << 40, handle_ttl_ms=0.0, hold_ttl_ms=0.0, switch_ms=0.0
)
FLEET_KEY_ID = "fleet"
# Host clocks may step by some seconds.
MAX_CLOCK_STEP_MS = 5_000
# The retry budget is divided among at least this many hosts, because peers may not be known yet.
ASSUMED_HOSTS = 8
# A stopping host still accepts connections until two readiness checks of the balancer have failed.
MIN_DRAIN_MS = 2_600.0
# Part of the grace period that is reserved for closing connections before the kill.
STOP_MARGIN_MS = 500.0
STOP_POLL_MS = 10.0
# Time for the answers to requests that the end of the grace period ends, within STOP_MARGIN_MS.
ANSWER_WAIT_MS = 200.0
# Time for cancelled requests to end and for their cleanup calls to engines, within STOP_MARGIN_MS.
ABORT_WAIT_MS = 20.0
CLEANUP_TIMEOUT_MS = 200.0
LISTEN_BACKLOG = 1_024
# The operating system chooses a free port.
ANY_PORT = 0
# Share of the hellos that carry the figures of engines, 70 bytes a service.
FIGURES_SHARE = 1.0 / 7.0


class ForwardingHost:
    """All components of one forwarding host.

    Args:
        parameters: startup parameters of the host.
        source: published configuration and backend servers.
        backends: calls to backend servers.
        decode: decodes a caller's HTTP request.
        metrics_port: port for metrics, on the IP address of the control port.
        extra_gauges: returns additional values for the metrics.
        relay_port: port for requests that peers relay, on the IP address of the control port.
    """

    def __init__(
        self,
        parameters: HostParameters,
        source: StateSource,
        backends: Backends,
        decode: RequestDecoder,
        metrics_port: int,
        extra_gauges: Callable[[], Mapping[str, float]],
        relay_port: int = ANY_PORT,
    ) -> None:
        self._parameters = parameters
        self._extra_gauges = extra_gauges
        self._heartbeat_ms = parameters.heartbeat_ms or DEFAULT_HEARTBEAT_MS
        self._metrics_address = f"{parameters.listen_control.rpartition(':')[0]}:{metrics_port}"
        self.clock = SystemClock()
        rng = self._rng = random.Random(secrets.randbits(64))
        self.servers = ServerTable(
            parameters.failure_domain,
            rng,
            parameters.host,
            self._heartbeat_ms,
        )
        backends.on_limit(self._note_limit)
        backends.on_leaving(self.servers.note_leaving)
        backends.on_wait(
            lambda server, wait_s: self.servers.note_wait(
                server, 1000.0 * wait_s, self.clock.now_ms()
            )
        )
        self.follower = StateFollower(
            source,
            self.servers,
            self.clock,
            self._log_ready,
            self._heartbeat_ms,
            ConfigConfirmation(parameters.revoke_ms),
        )
        self.follower.on_contact(lambda: self.servers.isolation.note_contact(self.clock.now_ms()))
        self._build_peers(parameters)
        self.servers.limits.share_with(self._live_domains)
        self._guard = CrashGuard(backends, self._transport, self._live_peers, self.clock, rng)
        self._context = context = ForwardingContext(
            backends,
            self.servers,
            self.clock,
            rng,
            self._retry_limits,
            self._guard,
            self.fleet.view.host_count,
            StreamVersions(
                self.servers,
                self.clock,
                CacheHolderFinder(backends, self.servers),
                self.follower.recent_history,
                self._heartbeat_ms,
                parameters.history_ms,
                self._records,
                PublishedView(self.follower, self.fleet.view, self.clock),
            ),
        )
        context.priorities = ConfiguredPriorities(self._table)
        self._known_traits: dict[ServiceName, EngineTraits] = {}
        self._rechecks = RecheckTask(self.servers, backends, self.clock)
        self.streams = StreamForwarder(context, self._traits)
        self._bodies = BodyBudget(upload_limit_bytes(parameters.memory_bytes), self.clock.now_ms)
        self._pacer = new_pacer()
        self._build_request_servers(context, decode, relay_port)
        self.orders = OrderTask(
            self.fleet.view,
            backends,
            self.servers,
            self._model_services,
            self.streams.meter,
            self.clock,
            parameters.lease_ms,
        )
        self.metrics = ForwardingMetrics(self._gauges)
        for request_server in self._request_servers:
            request_server.on_finished(self.metrics.note)
        self._runners: list[web.ServerRunner] = []

    def _build_request_servers(
        self, context: ForwardingContext, decode: RequestDecoder, relay_port: int
    ) -> None:
        self._relay_address = f"{self._parameters.listen_control.rpartition(':')[0]}:{relay_port}"
        self._relay_port = relay_port
        relayed = BodyMemory(limit_of_process(self._parameters.memory_bytes))
        self._peer_sender = HttpPeerSender(relayed)
        identity = self.fleet.view.identity
        codec = RelayCodec(identity, self._new_guard(identity))
        plain = PlainForwarder(context)
        gate = AccessGate(self.follower.confirmation, self.clock)
        relay = Relay(
            context.reach,
            lambda: self.fleet.view.live(self.clock.now_ms()),
            self.fleet.view.relay_address,
            self._parameters.failure_domain,
            codec,
            self._peer_sender,
            lambda: self.follower.version,
            context.budget,
            self.clock,
            self._rng,
        )
        context.relay = relay
        parameters = self._parameters
        self._uploads = self._new_bounds(max_caller_connections(parameters.max_descriptors))
        self.caller_server = CallerServer(
            self.follower,
            plain,
            self.streams,
            decode,
            self.clock,
            self._rng,
            self.ready,
            relay,
            gate=gate,
            uploads=self._uploads,
            quotas=self._quotas,
        )
        self.relay_server = CallerServer(
            self.follower,
            plain,
            self.streams,
            lambda incoming, body, received_ms: codec.decode(
                body, self.clock.wall_ms(), received_ms
            ),
            self.clock,
            self._rng,
            lambda: True,
            for_peers=True,
            gate=gate,
            # Connections of peers are not bounded.
            uploads=self._new_bounds(DEFAULT_CONNECTIONS),
        )
        self._request_servers = (self.caller_server, self.relay_server)

    def _new_bounds(self, max_connections: int) -> Uploads:
        """Returns the bounds of a port; all ports share the memory and the event loop."""
        return bounds_of_port(self._bodies, max_connections, self._pacer)

    def _table(self) -> RouteTable | None:
        index = self.follower.index
        return index.table if index is not None else None

    def _traits(self, service: ServiceName) -> EngineTraits:
        index = self.follower.index
        listed = index.table.services.get(service) if index is not None else None
        if listed is not None:
            self._known_traits[service] = listed.engine or PLAIN_TRAITS
        # Streams that were accepted before the service was removed go on.
        return self._known_traits.get(service, PLAIN_TRAITS)

    def _build_peers(self, parameters: HostParameters) -> None:
        wall_ms = self.clock.wall_ms()
        identity = HostIdentity(parameters.host, new_incarnation(wall_ms))
        self._transport = PynngTransport(
            identity,
            f"tcp://{parameters.listen_control}",
            self._new_guard(identity),
            MessageCodec((*FLEET_MESSAGES, *QUOTA_MESSAGES, ShareEvidence, QuarantineAccepted)),
            self.clock,
            f"tcp://{parameters.peer_address}",
        )
        view = FleetView(identity, parameters.peer_address, parameters.other_seeds(), self._rng)
        self.fleet = FleetTask(view, self._transport, self.clock, self._build_hello)
        self.fleet.on_hello(self._note_peer)
        self._domain_reader = DomainReaderTask(
            view,
            parameters.failure_domain,
            self._transport,
            self.follower,
            self.servers,
            self.clock,
        )
        self._records = StreamRecords(
            parameters.failure_domain,
            view,
            self._transport,
            self.clock,
        )
        self._quotas = RequestCharges(
            self.follower,
            view,
            self._transport,
            self.clock,
            self._rng,
            parameters.quota_overage,
        )
        self._peer_state = PeerStateTask(
            view,
            self._transport,
            self.follower,
            self.servers,
            self._records,
            self.clock,
            self._rng,
        )

    def apply_settings(self, parameters: HostParameters) -> None:
        """Applies what can change without a restart: the seeds."""
        self.fleet.view.set_seeds(parameters.other_seeds())

    def _new_guard(self, identity: HostIdentity) -> FrameGuard:
        keys = SharedKeys({FLEET_KEY_ID: fleet_key([self._parameters.platform_address])})
        addresses = self._parameters.listen_control, self._parameters.peer_address
        own = frozenset(map(HostId, addresses))
        return FrameGuard(keys, identity, self.clock.wall_ms(), MAX_CLOCK_STEP_MS, own)

    def _live_peers(self) -> list[HostId]:
        return list(self.fleet.view.live(self.clock.now_ms()))

    def _live_domains(self) -> dict[HostId, FailureDomain]:
        live = self.fleet.view.live(self.clock.now_ms())
        return {host: hello.failure_domain for host, hello in live.items()}

    def _note_limit(self, server: Server, limit_per_s: float | None) -> None:
        # An answer may come from a server that is no longer listed.
        if self.servers.get(server.server) is not None:
            self.servers.limits.note(server.server, limit_per_s, self.clock.now_ms())

    def _retry_limits(self) -> RetryLimits:
        # Hosts that are not known yet, or no longer known, use the same budget.
        hosts = max(ASSUMED_HOSTS, self.fleet.view.host_count())
        return RetryLimits(self._parameters.retry_share, self._parameters.retry_reserve / hosts)

    def _gauges(self) -> dict[str, float]:
        return {
            "in_flight": self._in_flight(),
            "services_unreached": len(self._context.reach.unreached),
            "config_version": self.follower.version,
            "store_reachable": self.follower.reachable,
            "config_confirmed_age_ms": self.follower.confirmation.age_ms(
                self.clock.now_ms(), self.follower.version
            ),
            "backend_servers": len(self.servers),
            "live_peers": len(self._live_peers()),
            "peer_frames_dropped": self._transport.dropped_frames,
            "peer_connections_replaced": self._transport.replaced_connections,
            "peer_bytes_sent": self._transport.sent_bytes,
            "ready": self.ready(),
            **self._uploads.gauges(),
            **self.streams.queue_gauges(),
            **self._quotas.gauges(),
            **self._extra_gauges(),
        }

    def _in_flight(self) -> int:
        return sum(server.in_flight for server in self._request_servers)

    def _build_hello(self) -> Hello:
        view = self.fleet.view
        return Hello(
            view.identity,
            self._parameters.failure_domain,
            view.hosts_to_announce(self.clock.now_ms()),
            self.follower.version,
            self.follower.reachable,
            self.streams.demands(),
            self.orders.highest_fencing,
            self.orders.changing_engines,
            self._figures_to_send(),
            view.heard(self.clock.now_ms()),
            self.servers.limits.to_announce(self.clock.now_ms()),
            self._relay_port,
            self._context.reach.unreached,
            keeps_streams=True,
            grants_quotas=self._quotas.task.owners.grants,
            waiting=self.streams.waiting(),
        )

    def _figures_to_send(self) -> dict[ServiceName, bytes]:
        now_ms = self.clock.now_ms()
        announcing = self.fleet.view.is_announcing(now_ms)
        if not announcing and self._rng.random() >= FIGURES_SHARE:
            return {}
        return self.streams.own_figures()

    def _model_services(self) -> list[tuple[ServiceName, EngineTraits]]:
        index = self.follower.index
        if index is None:
            return []
        return [
            (service.name, service.engine)
            for service in index.table.services.values()
            if service.engine is not None
        ]

    def _log_ready(self) -> None:
        log_info(Event.HOST_READY, host=self._parameters.host)

    def _note_peer(self, hello: Hello) -> None:
        self.streams.note_peer(hello.sender.host, hello.figures)
        self.streams.note_peer_waiting(hello.sender.host, hello.waiting)
        for server, named in hello.limits.items():
            if self.servers.get(server) is not None:
                self.servers.limits.merge(server, named, self.clock.now_ms())
        if hello.failure_domain != self._parameters.failure_domain:
            self.servers.isolation.note_contact(self.clock.now_ms())

    def _is_isolated(self) -> bool:
        """Returns whether a partition prevents this host from serving some service.

        Callers are then better served by hosts of other failure domains.
        """
        index = self.follower.index
        if index is None or not self.servers.isolation.is_isolated(self.clock.now_ms()):
            return False
        return not all(
            self.servers.has_local_server(
                service.name, EngineStage.DECODE if service.engine is not None else None
            )
            for service in index.table.services.values()
        )

    def ready(self) -> bool:
        """Returns whether this host accepts new connections."""
        known = self.follower.index is not None and len(self.servers) > 0
        return known and not self.caller_server.closing and not self._is_isolated()

    async def start(self) -> None:
        """Listens on all ports and starts all tasks.

        Raises:
            OSError: if a port can't be bound.
        """
        keep_header_bytes()
        try:
            await self._listen_on_all_ports()
        except OSError:
            await self.close()
            raise
        self.follower.start()
        self.fleet.start()
        self.orders.start()
        self._domain_reader.start()
        self._quotas.task.start()
        self._peer_state.start()
        self._guard.start()
        self._rechecks.start()
        self._context.reach.start()
        log_info(
            Event.HOST_STARTED,
            host=self._parameters.host,
            failure_domain=self._parameters.failure_domain,
            listen_caller=self._parameters.listen_caller,
        )

    async def _listen_on_all_ports(self) -> None:
        # The hellos name this port.
        self._relay_port = await self._listen(self.relay_server.build(), self._relay_address)
        for_readiness, for_metrics = (self._new_bounds(MONITORING_CONNECTIONS) for _ in range(2))
        for server, address in (
            (build_readiness_server(self.ready, for_readiness), self._parameters.listen_ready),
            (self.metrics.build_server(for_metrics), self._metrics_address),
            (self.caller_server.build(), self._parameters.listen_caller),
        ):
            await self._listen(server, address)
        # Peers send from now on, so the tasks have to start at once.
        self._transport.start()

    async def _listen(self, server: web.Server, address: str) -> int:
        """Starts a server; returns its port."""
        runner = web.ServerRunner(server)
        await runner.setup()
        self._runners.append(runner)
        ip, _, port = address.rpartition(":")
        await web.TCPSite(runner, ip, int(port), backlog=LISTEN_BACKLOG).start()
        return int(runner.addresses[-1][1])

    async def drain(self) -> None:
        """Stops accepting work and waits for requests in flight, within the grace period."""
        started_ms = self.clock.now_ms()
        informed_ms = started_ms + MIN_DRAIN_MS
        end_ms = started_ms + self._parameters.grace_ms - STOP_MARGIN_MS
        for server in self._request_servers:
            server.begin_closing(informed_ms, end_ms)
        # What this host knows of streams goes with it.
        self._records.hand_over(RETAIN_MS)
        log_info(Event.HOST_DRAINING, host=self._parameters.host, in_flight=self._in_flight())
        await self._wait_until_idle(informed_ms, end_ms)
        # The end of the process would cut off a request that is accepted after the last check.
        for server in self._request_servers:
            server.refuse_new()
        await self._wait_until_idle(0.0, end_ms)

    async def _wait_until_idle(self, earliest_ms: float, end_ms: float) -> None:
        """Waits until all answers have been sent, at least until ``earliest_ms``."""
        while True:
            now_ms = self.clock.now_ms()
            idle = now_ms >= earliest_ms and all(server.idle for server in self._request_servers)
            if idle or now_ms >= end_ms:
                return
            await self.clock.sleep_ms(STOP_POLL_MS)

    async def close(self) -> None:
        """Ends all tasks and closes all ports."""
        in_flight = self._in_flight()
        for runner in self._runners:
            for site in list(runner.sites):
                await site.stop()
        for server in self._request_servers:
            server.end_requests()
        await self._wait_until_idle(0.0, self.clock.now_ms() + ANSWER_WAIT_MS)
        for server in self._request_servers:
            server.abort()
        # Let the cancelled requests release their engine memory.
        await self.clock.sleep_ms(ABORT_WAIT_MS)
        await self._context.background.finish(CLEANUP_TIMEOUT_MS)
        await self.orders.close()
        await self._rechecks.close()
        await self._domain_reader.close()
        await self._quotas.task.close()
        await self.follower.close()
        await self.fleet.close()
        await self._records.close()
        await self._transport.close()
        await self._peer_sender.close()
        log_info(Event.HOST_STOPPED, host=self._parameters.host, in_flight=in_flight)


async def run_until_stopped(stop: asyncio.Event, host: ForwardingHost) -> None:
    """Runs a host until ``stop`` is set, then drains and closes it."""
    await host.start()
    await stop.wait()
    await host.drain()
    await host.close()
