"""Orders engines to change between prefill and decode; one host, the order coordinator, does so."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from medlarvale.clock import Clock
from medlarvale.forwarding.background_tasks import BackgroundTasks
from medlarvale.forwarding.demand import DemandMeter
from medlarvale.forwarding.errors import BackendError
from medlarvale.forwarding.fleet import FleetView
from medlarvale.forwarding.interface import Backends
from medlarvale.forwarding.messages import EngineStage, EngineTraits, Server
from medlarvale.forwarding.servers import FAILURES_UNTIL_SUSPECT, ServerTable
from medlarvale.forwarding.stage_planner import EngineCapacity, StagePlanner, choose_donors
from medlarvale.hashing import weight
from medlarvale.ids import ServerId, ServiceName
from medlarvale.logs import Event, log_info, log_warning

DECISION_PERIOD_MS = 500.0
# A new coordinator waits for this many lease periods without a pause before its first order. Orders
# of the previous coordinator are older than a lease by then, and clock steps are over.
WAIT_LEASES = 2.0
# Two hello periods: every host has received notice of the change by then.
NOTICE_MS = 1_100.0
# Maximum time that an engine needs to finish its running requests after an order.
MAX_RUN_MS = 10_000.0
# Fencing numbers are wall-clock times in units of 4 s, with bits of the host name hash below them.
# They stay below 2^53, which every JSON reader represents exactly.
FENCING_UNIT_MS = 4_000
HOST_BITS = 24


def fencing_number(wall_ms: int, host: str, highest: int) -> int:
    """Returns a fencing number above all known ones that no other host uses.

    Args:
        wall_ms: current Unix time in ms.
        host: name of this host.
        highest: highest number that this host has used or received.
    """
    host_bits = weight("fencing", host) % (1 << HOST_BITS)
    from_clock = ((wall_ms // FENCING_UNIT_MS) << HOST_BITS) | host_bits
    if from_clock > highest:
        return from_clock
    return ((highest >> HOST_BITS) + 1) << HOST_BITS | host_bits


class _PendingChange(msgspec.Struct):
    """A change of stage that this host has ordered, or is about to order.

    Attributes:
        stage: the new stage.
        until_ms: time after which the change is assumed to have failed.
    """

    stage: EngineStage
    until_ms: float


class OrderTask:
    """Monitors the load of each model service and orders engines to change stage.

    Args:
        view: the fleet; its first host by name is the order coordinator.
        backends: calls to engines.
        servers: engines and their load.
        services: returns the configured model services.
        meter: returns the load meter of a service.
        clock: time service.
        lease_ms: minimum time between orders of two different hosts.
    """

    def __init__(
        self,
        view: FleetView,
        backends: Backends,
        servers: ServerTable,
        services: Callable[[], Iterable[tuple[ServiceName, EngineTraits]]],
        meter: Callable[[ServiceName], DemandMeter],
        clock: Clock,
        lease_ms: float,
    ) -> None:
        self._view = view
        self._backends = backends
        self._servers = servers
        self._services = services
        self._meter = meter
        self._clock = clock
        self._wait_ms = WAIT_LEASES * lease_ms
        self._planners: dict[ServiceName, StagePlanner] = {}
        self._coordinator_since_ms: float | None = None
        self._background = BackgroundTasks()
        self._changes: dict[ServerId, _PendingChange] = {}
        self.highest_fencing = 0

    @property
    def changing_engines(self) -> tuple[ServerId, ...]:
        """The engines whose stage this host is changing."""
        return tuple(self._changes)

    def start(self) -> None:
        """Starts the periodic decisions."""
        self._clock.every_ms(DECISION_PERIOD_MS, self._tick)

    def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        self._end_changes(now_ms)
        changing = set(self._changes)
        for hello in self._view.live(now_ms).values():
            self.highest_fencing = max(self.highest_fencing, hello.highest_fencing)
            changing.update(hello.changing_engines)
        self._servers.set_changing(changing)
        if not self._view.is_coordinator(now_ms):
            self._coordinator_since_ms = None
            return
        if self._coordinator_since_ms is None:
            self._coordinator_since_ms = now_ms
        coordinator_ms = min(now_ms - self._coordinator_since_ms, self._view.unpaused_ms(now_ms))
        if coordinator_ms < self._wait_ms or changing:
            return
        for service, traits in self._services():
            self._decide(service, traits, now_ms)

    def _end_changes(self, now_ms: float) -> None:
        for server, change in list(self._changes.items()):
            load = self._servers.get(server)
            if load is None or load.server.stage is change.stage or now_ms > change.until_ms:
                del self._changes[server]

    def _decide(self, service: ServiceName, traits: EngineTraits, now_ms: float) -> None:
        planner = self._planners.setdefault(service, StagePlanner())
        meter = self._meter(service)
        # Failing engines are excluded even while their entries are still listed.
        loads = [
            load
            for load in self._servers.of_service(service)
            if load.failures < FAILURES_UNTIL_SUSPECT
        ]
        engines = [load.server for load in loads]
        demand = self._view.demand(service, meter.demand(now_ms), now_ms)
        speed = meter.model.prefill_tokens_per_ms(now_ms)
        engine = EngineCapacity(
            None if speed is None else speed * 1000.0, traits.memory_tokens, traits.slots
        )
        change = planner.decide(engines, demand, engine, now_ms)
        if change is None:
            return
        planner.note_change(now_ms, traits.switch_ms)
        in_flight = {load.server.server: load.tokens for load in loads}
        until_ms = now_ms + NOTICE_MS + traits.switch_ms + MAX_RUN_MS
        for donor in choose_donors(engines, change, in_flight):
            log_info(
                Event.STAGE_ORDERED,
                server=donor.server,
                stage=change.stage.value,
                prompt_tokens_per_s=int(demand.prompt_tokens_per_s),
                decode_tokens=int(demand.decode_tokens),
                engines=len(engines),
            )
            self._changes[donor.server] = _PendingChange(change.stage, until_ms)
            self._background.start(self._order(donor, change.stage, planner))

    async def _order(self, engine: Server, stage: EngineStage, planner: StagePlanner) -> None:
        if stage is EngineStage.PREFILL:
            # A decode engine under an order still grants holds, but rejects the request after its
            # prefill. A prefill engine rejects the prompt at once, which costs nothing.
            await self._clock.sleep_ms(NOTICE_MS)
        accepted = False
        try:
            if self._servers.waits.left_ms(engine, self._clock.now_ms()):
                return
            report = await self._backends.report(engine)
            if report.busy or report.stage is stage or not self._may_order():
                return
            self.highest_fencing = fencing_number(
                self._clock.wall_ms(), self._view.identity.host, self.highest_fencing
            )
            accepted = await self._backends.order_stage(
                engine,
                stage,
                self._view.identity.host,
                self.highest_fencing,
                report.orders_accepted,
            )
            if not accepted:
                log_warning(Event.ORDER_REFUSED, server=engine.server, stage=stage.value)
        except BackendError as error:
            log_warning(Event.ORDER_REFUSED, server=engine.server, error=error.message)
            load = self._servers.get(engine.server)
            if load is not None:
                self._servers.note_failure(load, self._clock.now_ms(), error.message)
        finally:
            if not accepted:
                self._changes.pop(engine.server, None)
                if not self._changes:
                    planner.note_refused(self._clock.now_ms())

    def _may_order(self) -> bool:
        now_ms = self._clock.now_ms()
        is_coordinator = self._coordinator_since_ms is not None and self._view.is_coordinator(
            now_ms
        )
        return is_coordinator and self._view.unpaused_ms(now_ms) >= self._wait_ms

    async def close(self) -> None:
        """Cancels orders in progress and sends no more."""
        await self._background.finish(0.0)
