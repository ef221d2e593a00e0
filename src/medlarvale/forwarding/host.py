"""Composition root of a forwarding host: builds every part and wires them."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable, Mapping

from aiohttp import web

from medlarvale.clock import SystemClock
from medlarvale.forwarding.caller_server import CallerServer, RequestDecoder, build_readiness
from medlarvale.forwarding.context import ForwardingContext, RetryLimits
from medlarvale.forwarding.crash_guard import CrashGuard
from medlarvale.forwarding.fleet import FleetTask, FleetView, fleet_key
from medlarvale.forwarding.fleet_messages import FLEET_MESSAGES, Hello
from medlarvale.forwarding.follower import StateFollower
from medlarvale.forwarding.interface import Backends, StateSource
from medlarvale.forwarding.messages import EngineStage, EngineTraits, HostParameters
from medlarvale.forwarding.metrics import ForwardingMetrics
from medlarvale.forwarding.orders import OrderTask
from medlarvale.forwarding.peer_state import PeerStateTask
from medlarvale.forwarding.plain import PlainForwarder
from medlarvale.forwarding.rechecks import RecheckTask
from medlarvale.forwarding.servers import ServerTable
from medlarvale.forwarding.streams import StreamForwarder
from medlarvale.ids import HostId, HostIdentity, ServiceName, new_incarnation
from medlarvale.logs import Event, log_info
from medlarvale.peers.auth import FrameGuard, SharedKeys
from medlarvale.peers.pynng_transport import PynngTransport
from medlarvale.peers.transport import MessageCodec
from medlarvale.quarantine.messages import QuarantineAccepted, ShareEvidence

# Streams of a service without engines: nothing is reserved; its servers refuse what is too much.
PLAIN_TRAITS = EngineTraits(
    slots=1, memory_tokens=1 << 40, handle_ttl_ms=0.0, hold_ttl_ms=0.0, switch_ms=0.0
)
FLEET_KEY_ID = "fleet"
# Clocks of hosts may step by some seconds.
CLOCK_BOUND_MS = 5_000
# Hosts that share the retry budget, before the peers are known.
ASSUMED_HOSTS = 8
# A stopping host still takes connections until the balancer has missed two readiness checks.
LEAVE_MS = 2_600.0
# Left over of the grace period for closing connections before the kill.
STOP_MARGIN_MS = 500.0
STOP_POLL_MS = 50.0
# Time for cancelled requests to end, and for their last calls to engines: within the margin above.
ABORT_MS = 20.0
CLEANUP_MS = 200.0
LISTEN_BACKLOG = 1_024


class ForwardingHost:
    """All parts of one forwarding host.

    Args:
        place: what the platform tells the process.
        source: published configuration and backend servers.
        backends: calls to backend servers.
        decode: reads a caller's request off the wire.
        metrics_port: port of the metrics, at the address of the peers' port.
        extra_gauges: returns further values for the metrics.
    """

    def __init__(
        self,
        place: HostParameters,
        source: StateSource,
        backends: Backends,
        decode: RequestDecoder,
        metrics_port: int,
        extra_gauges: Callable[[], Mapping[str, float]],
    ) -> None:
        self._place = place
        self._extra_gauges = extra_gauges
        self._metrics_address = f"{place.listen_control.rpartition(':')[0]}:{metrics_port}"
        self.clock = SystemClock()
        rng = random.Random(secrets.randbits(64))
        self.servers = ServerTable(place.failure_domain, rng)
        self.follower = StateFollower(source, self.servers, self.clock, self._log_ready)
        self.follower.on_contact(lambda: self.servers.contact.note_contact(self.clock.now_ms()))
        self._build_peers(place)
        self._guard = CrashGuard(backends, self._transport, self._live_peers, self.clock)
        self._context = context = ForwardingContext(
            backends,
            self.servers,
            self.clock,
            rng,
            self._retry_limits,
            self._guard,
            self.fleet.view.host_count,
        )
        self._rechecks = RecheckTask(self.servers, backends, self.clock)
        self.streams = StreamForwarder(context, self._traits)
        self.port = CallerServer(
            self.follower,
            PlainForwarder(context),
            self.streams,
            decode,
            self.clock,
            rng,
            self.ready,
        )
        self.orders = OrderTask(
            self.fleet.view,
            backends,
            self.servers,
            self._model_services,
            self.streams.meter,
            self.clock,
            place.lease_ms,
        )
        self.metrics = ForwardingMetrics(self._gauges)
        self.port.on_finished(self.metrics.note)
        self._runners: list[web.ServerRunner] = []

    def _traits(self, service: ServiceName) -> EngineTraits:
        index = self.follower.index
        assert index is not None
        traits = index.table.services[service].engine
        return traits if traits is not None else PLAIN_TRAITS

    def _build_peers(self, place: HostParameters) -> None:
        wall_ms = self.clock.wall_ms()
        identity = HostIdentity(place.host, new_incarnation(wall_ms))
        keys = SharedKeys({FLEET_KEY_ID: fleet_key([place.platform_address])})
        own = HostId(place.listen_control)
        guard = FrameGuard(keys, identity, wall_ms, CLOCK_BOUND_MS, frozenset({own}))
        self._transport = PynngTransport(
            identity,
            f"tcp://{place.listen_control}",
            guard,
            MessageCodec((*FLEET_MESSAGES, ShareEvidence, QuarantineAccepted)),
            self.clock,
        )
        view = FleetView(identity, place.listen_control, place.seed_addresses)
        self.fleet = FleetTask(view, self._transport, self.clock, self._hello)
        self.fleet.on_hello(self._note_peer)
        self._peer_state = PeerStateTask(
            view, self._transport, self.follower, self.servers, self.clock
        )

    def _live_peers(self) -> list[HostId]:
        return list(self.fleet.view.live(self.clock.now_ms()))

    def _retry_limits(self) -> RetryLimits:
        # Hosts that are not known yet, or not any more, draw on the same budget.
        hosts = max(ASSUMED_HOSTS, self.fleet.view.host_count())
        return RetryLimits(self._place.retry_share, self._place.retry_reserve / hosts)

    def _gauges(self) -> dict[str, float]:
        return {
            "in_flight": self.port.in_flight,
            "config_version": self.follower.version,
            "store_reachable": self.follower.reachable,
            "backend_servers": len(self.servers),
            "live_peers": len(self._live_peers()),
            "peer_frames_dropped": self._transport.dropped_frames,
            "peer_bytes_sent": self._transport.sent_bytes,
            "ready": self.ready(),
            **self._extra_gauges(),
        }

    def _hello(self) -> Hello:
        view = self.fleet.view
        return Hello(
            view.identity,
            self._place.failure_domain,
            view.hosts_to_tell(self.clock.now_ms()),
            self.follower.version,
            self.follower.reachable,
            self.streams.demands(),
            self.orders.highest_fencing,
            self.orders.changing_engines,
        )

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
        log_info(Event.HOST_READY, host=self._place.host)

    def _note_peer(self, hello: Hello) -> None:
        if hello.failure_domain != self._place.failure_domain:
            self.servers.contact.note_contact(self.clock.now_ms())

    def _cut_off(self) -> bool:
        """Tells whether a partition keeps this host from serving some service.

        Callers then do better at the hosts of other failure domains.
        """
        index = self.follower.index
        if index is None or not self.servers.contact.isolated(self.clock.now_ms()):
            return False
        return not all(
            self.servers.serves_alone(
                service.name, EngineStage.DECODE if service.engine is not None else None
            )
            for service in index.table.services.values()
        )

    def ready(self) -> bool:
        """Tells whether new connections are welcome."""
        known = self.follower.index is not None and len(self.servers) > 0
        return known and not self.port.closing and not self._cut_off()

    async def start(self) -> None:
        """Listens at all ports and starts all tasks.

        Raises:
            OSError: if a port can't be bound.
        """
        self._transport.start()
        self.follower.start()
        self.fleet.start()
        self.orders.start()
        self._peer_state.start()
        self._guard.start()
        self._rechecks.start()
        for server, address in (
            (build_readiness(self.ready), self._place.listen_ready),
            (self.metrics.build_server(), self._metrics_address),
            (self.port.build(), self._place.listen_caller),
        ):
            runner = web.ServerRunner(server)
            await runner.setup()
            self._runners.append(runner)
            ip, _, port = address.rpartition(":")
            await web.TCPSite(runner, ip, int(port), backlog=LISTEN_BACKLOG).start()
        log_info(
            Event.HOST_STARTED,
            host=self._place.host,
            failure_domain=self._place.failure_domain,
            listen_caller=self._place.listen_caller,
        )

    async def drain(self) -> None:
        """Stops taking work and waits for requests in flight, within the grace period."""
        started_ms = self.clock.now_ms()
        self.port.begin_closing()
        log_info(Event.HOST_DRAINING, host=self._place.host, in_flight=self.port.in_flight)
        end_ms = started_ms + self._place.grace_ms - STOP_MARGIN_MS
        while True:
            now_ms = self.clock.now_ms()
            if now_ms >= end_ms:
                break
            if now_ms - started_ms >= LEAVE_MS and not self.port.in_flight:
                break
            await self.clock.sleep_ms(STOP_POLL_MS)

    async def close(self) -> None:
        """Ends all tasks and closes all ports."""
        in_flight = self.port.in_flight
        for runner in self._runners:
            for site in list(runner.sites):
                await site.stop()
        self.port.abort()
        # The cancelled requests give their engine memory back.
        await self.clock.sleep_ms(ABORT_MS)
        await self._context.background.finish(CLEANUP_MS)
        await self.orders.close()
        await self._rechecks.close()
        await self.follower.close()
        await self._transport.close()
        log_info(Event.HOST_STOPPED, host=self._place.host, in_flight=in_flight)


async def wait_for_stop(stop: asyncio.Event, host: ForwardingHost) -> None:
    """Serves until ``stop`` is set, then drains and closes."""
    await host.start()
    await stop.wait()
    await host.drain()
    await host.close()
