"""Forwards streamed model requests of all services."""

from __future__ import annotations

from collections.abc import Callable

from medlarvale.forwarding.cache_holders import CacheHolderFinder
from medlarvale.forwarding.context import ForwardingContext
from medlarvale.forwarding.demand import DemandMeter
from medlarvale.forwarding.first_attempts import FirstAttemptEstimator
from medlarvale.forwarding.fleet_messages import Demand
from medlarvale.forwarding.memory import MemoryQueue
from medlarvale.forwarding.messages import ClientRequest, EngineTraits, Route
from medlarvale.forwarding.plain import Reply
from medlarvale.forwarding.stream_run import StreamRun, StreamSink
from medlarvale.ids import ServiceName
from medlarvale.logs import Event, log_info


class StreamForwarder:
    """Forwards streams of all model services.

    Args:
        context: calls, servers and time.
        traits: returns what the engines of a service have in common.
    """

    def __init__(
        self,
        context: ForwardingContext,
        traits: Callable[[ServiceName], EngineTraits],
    ) -> None:
        self.context = context
        self._traits = traits
        self._queues: dict[ServiceName, MemoryQueue] = {}
        self._meters: dict[ServiceName, DemandMeter] = {}
        self._returns: dict[str, FirstAttemptEstimator] = {}
        self._keepers = CacheHolderFinder(context.backends, context.servers)

    def queue(self, service: ServiceName) -> MemoryQueue:
        """Returns the queue for the decode memory of a service."""
        queue = self._queues.get(service)
        if queue is None:
            queue = MemoryQueue(
                self.context, service, lambda: self._traits(service), self.meter(service)
            )
            self._queues[service] = queue
        return queue

    def meter(self, service: ServiceName) -> DemandMeter:
        """Returns the meter of the load on a service."""
        return self._meters.setdefault(service, DemandMeter())

    def demands(self) -> dict[ServiceName, Demand]:
        """Returns the load on each service."""
        now_ms = self.context.clock.now_ms()
        return {service: meter.demand(now_ms) for service, meter in self._meters.items()}

    async def forward(
        self, request: ClientRequest, route: Route, service: ServiceName, sink: StreamSink
    ) -> Reply | None:
        """Passes a stream on; returns an answer that is no stream, for the caller.

        Raises:
            OverloadedError: the request has not run and will not.
            OutcomeUnknownError: it may have run, and nothing was passed on.
            RequestTimeoutError: its time is over and nothing was passed on.
            StreamBrokenError: a part was passed on and the rest can't be.
        """
        returns = self._returns.setdefault(route.name, FirstAttemptEstimator())
        run = StreamRun(
            self.context,
            self.queue(service),
            self.meter(service),
            self._keepers,
            request,
            route,
            service,
            sink,
            returns.elapsed_ms(request.deadline_ms),
        )
        try:
            return await run.run()
        finally:
            self._log(request, run)

    def _log(self, request: ClientRequest, run: StreamRun) -> None:
        times = run.times
        first_ms = times.first_event_ms
        log_info(
            Event.STREAM_ENDED,
            request=request.request_id,
            complete=times.complete,
            server=run.engine,
            prompt_tokens=run.prompt_tokens,
            reserved_tokens=run.reserved_tokens,
            last_event=run.last_event,
            prefills=times.prefills,
            runs=run.runs,
            waited_ms=int(times.waited_ms),
            prefill_ms=int(times.prefill_ms),
            first_event_ms=None if first_ms is None else int(first_ms - request.received_ms),
            longest_pause_ms=int(times.longest_pause_ms),
            took_ms=int(self.context.clock.now_ms() - times.arrived_ms),
        )
