"""Forwards streaming model requests of all services."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Mapping

from medlarvale.forwarding.context import ForwardingContext
from medlarvale.forwarding.demand import DemandMeter
from medlarvale.forwarding.engine_figures import pack_figures, unpack_figures
from medlarvale.forwarding.errors import FiguresError
from medlarvale.forwarding.first_attempts import FirstAttemptEstimator
from medlarvale.forwarding.fleet_messages import Demand
from medlarvale.forwarding.memory import MemoryQueue
from medlarvale.forwarding.messages import ClientRequest, EngineTraits, Route
from medlarvale.forwarding.plain import Reply
from medlarvale.forwarding.recent_durations import RecentDurations
from medlarvale.forwarding.stream_run import StreamRun, StreamSink
from medlarvale.forwarding.stream_versions import StreamOrigin
from medlarvale.ids import HostId, ServiceName, SoftwareVersion
from medlarvale.logs import Event, log_info, log_warning

# While the callers' usual deadline is not known, they are taken to wait at most for this multiple
# of the timeout of their route.
LONGEST_DEADLINE_TIMEOUTS = 1.25
# Share of the streams whose output and speed are within the estimate of the longest duration.
LONGEST_SHARE = 0.95


class StreamForwarder:
    """Forwards streams of all model services.

    Args:
        context: shared dependencies.
        traits: returns the engine configuration of a service.
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
        self._first_attempts: dict[str, FirstAttemptEstimator] = {}
        # Times from the arrival of a stream to its first event, by route.
        self._first_events: dict[str, RecentDurations] = {}

    def queue(self, service: ServiceName) -> MemoryQueue:
        """Returns the decode memory queue of a service."""
        queue = self._queues.get(service)
        if queue is None:
            queue = MemoryQueue(
                self.context, service, lambda: self._traits(service), self.meter(service)
            )
            self._queues[service] = queue
        return queue

    def meter(self, service: ServiceName) -> DemandMeter:
        """Returns the load meter of a service."""
        return self._meters.setdefault(service, DemandMeter())

    def queue_gauges(self) -> dict[str, float]:
        """Returns the streams that wait by priority, and those refused so far by reason."""
        gauges: Counter[str] = Counter()
        for queue in self._queues.values():
            for priority, number in queue.waiting_by_priority().items():
                gauges[f"streams_waiting_priority_{priority}"] += number
            for reason, number in queue.rules.refused.items():
                gauges[f"streams_refused_{reason.name.lower()}"] += number
        return dict(gauges)

    def waiting(self) -> dict[ServiceName, dict[int, int]]:
        """Returns the streams that wait by service and priority, for the peers."""
        return {
            service: dict(queue.waiting_by_priority())
            for service, queue in self._queues.items()
            if len(queue) and queue.rules.distinguishes
        }

    def note_peer_waiting(
        self, host: HostId, waiting: Mapping[ServiceName, Mapping[int, int]]
    ) -> None:
        """Replaces what is known of the streams that wait at a peer."""
        now_ms = self.context.clock.now_ms()
        for service, queue in self._queues.items():
            queue.rules.note_peer_waiting(host, waiting.get(service, {}), now_ms)

    def demands(self) -> dict[ServiceName, Demand]:
        """Returns the load on each service."""
        now_ms = self.context.clock.now_ms()
        return {service: meter.demand(now_ms) for service, meter in self._meters.items()}

    def own_figures(self) -> dict[ServiceName, bytes]:
        """Returns what this host has measured on the engines of each service."""
        now_ms = self.context.clock.now_ms()
        return {
            service: pack_figures(meter.model.own_figures(now_ms))
            for service, meter in self._meters.items()
        }

    def note_peer(self, host: HostId, figures: Mapping[ServiceName, bytes]) -> None:
        """Merges the figures of a peer; implausible ones are ignored."""
        now_ms = self.context.clock.now_ms()
        for service, packed in figures.items():
            try:
                measured = unpack_figures(packed)
            except FiguresError as error:
                log_warning(Event.FIGURES_IGNORED, peer=host, service=service, error=error.message)
                continue
            self.meter(service).model.note_peer(host, measured, now_ms)

    def longest_ms(self, request: ClientRequest, route: Route, service: ServiceName) -> float:
        """Returns how long a stream is expected to take at most; infinity if that is unknown."""
        first_events = self._first_events.get(route.name)
        if first_events is None or request.tokens is None:
            return math.inf
        events_ms = self.meter(service).model.longest_stream_ms(
            request.tokens, self.context.clock.now_ms(), LONGEST_SHARE
        )
        return first_events.longest_ms() + events_ms

    def note_first_event(self, route: Route, took_ms: float) -> None:
        """Records the time from the arrival of a stream to its first event."""
        self._first_events.setdefault(route.name, RecentDurations()).note(took_ms)

    async def forward(
        self, request: ClientRequest, route: Route, service: ServiceName, sink: StreamSink
    ) -> Reply | None:
        """Forwards a stream to the sink; returns an answer that is not a stream instead.

        Raises:
            OverloadedError: the request has not run and will not.
            OutcomeUnknownError: the request may have run, and nothing was forwarded.
            RequestTimeoutError: the request timed out, and nothing was forwarded.
            StreamBrokenError: a part was forwarded and the rest can't be.
        """
        estimator = self._first_attempts.setdefault(route.name, FirstAttemptEstimator())
        origin, age_ms, choice_ms = None, 0.0, request.received_ms
        if request.is_continuation:
            origin = stream_origin(request, route, estimator)
        else:
            age_ms = estimator.first_attempt_age_ms(request.deadline_ms)
            choice_ms = version_choice_ms(request, route, estimator)
        run = StreamRun(
            self.context,
            self.queue(service),
            self.meter(service),
            request,
            route,
            service,
            sink,
            age_ms,
            origin,
            choice_ms,
        )
        try:
            return await run.run()
        finally:
            self._log(request, run)
            if run.times.first_event_ms is not None:
                self.note_first_event(route, run.times.first_event_ms - request.received_ms)

    def choose_version(
        self, request: ClientRequest, route: Route, service: ServiceName
    ) -> SoftwareVersion | None:
        """Returns the version that begins a stream which a peer runs; None without engines."""
        estimator = self._first_attempts.setdefault(route.name, FirstAttemptEstimator())
        choice_ms = version_choice_ms(request, route, estimator)
        return self.context.versions.choose(service, request.request_id, choice_ms)

    def _log(self, request: ClientRequest, run: StreamRun) -> None:
        times = run.times
        first_ms = times.first_event_ms
        log_info(
            Event.STREAM_ENDED,
            request=request.request_id,
            complete=times.complete,
            began_as=request.began_as,
            server=run.engine,
            software=run.software,
            choice_age_ms=int(times.arrived_ms - run.choice_ms),
            list_age_ms=run.list_age_ms,
            prompt_tokens=run.prompt_tokens,
            expected_saved_tokens=run.expected_saved_tokens,
            reserved_tokens=run.reserved_tokens,
            last_event=run.last_event,
            prefills=times.prefills,
            runs=run.runs,
            framing=run.framing.value if run.framing is not None else None,
            end_shown_by=run.end.evidence.value if run.end.evidence is not None else None,
            waited_ms=int(times.waited_ms),
            prefill_ms=int(times.prefill_ms),
            first_event_ms=None if first_ms is None else int(first_ms - request.received_ms),
            longest_pause_ms=int(times.longest_gap_ms),
            took_ms=int(self.context.clock.now_ms() - times.arrived_ms),
        )


def version_choice_ms(
    request: ClientRequest, route: Route, deadlines: FirstAttemptEstimator
) -> float:
    """Returns the time as of which the version of a stream is chosen.

    It follows from when the caller's time ends, which all attempts of a request have in common.
    """
    # The host that takes the stream up may not have seen the deadlines that this one has.
    longest_ms = LONGEST_DEADLINE_TIMEOUTS * route.timeout_ms
    reference_ms = min(deadlines.reference_deadline_ms(route.timeout_ms), longest_ms)
    return request.received_ms + min(0.0, request.deadline_ms - reference_ms)


def stream_origin(
    request: ClientRequest, route: Route, deadlines: FirstAttemptEstimator
) -> StreamOrigin:
    """Returns the attempt that began a stream, and as of when its version was chosen.

    Which deadlines the host that began it has seen is not known here.
    """
    left_ms, now_ms = request.deadline_ms, request.received_ms
    longest_seen_ms = deadlines.longest_deadline_ms()
    shortest_ms = max(left_ms, min(longest_seen_ms, route.timeout_ms))
    longest_ms = LONGEST_DEADLINE_TIMEOUTS * route.timeout_ms
    if left_ms >= route.timeout_ms:
        longest_ms = left_ms + route.timeout_ms
    longest_ms = max(longest_ms, longest_seen_ms, shortest_ms)
    return StreamOrigin(
        request.began_as, now_ms - (longest_ms - left_ms), now_ms - (shortest_ms - left_ms)
    )
