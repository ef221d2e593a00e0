"""Decides which requests a stopping host still takes."""

from __future__ import annotations

import math
from typing import Protocol

from medlarvale.clock import Clock
from medlarvale.forwarding.errors import OverloadedError
from medlarvale.forwarding.messages import ClientRequest, Route, RouteKind
from medlarvale.forwarding.recent_durations import RecentDurations
from medlarvale.ids import ServiceName

STOPPING_RETRY_MS = 100
# Requests that can't be continued elsewhere may take longer than the longest recent one by this
# factor.
DURATION_FACTOR = 1.5


class StreamEstimates(Protocol):
    """Estimates the durations of streams; implemented by ``StreamForwarder``."""

    def longest_ms(self, request: ClientRequest, route: Route, service: ServiceName) -> float:
        """Returns how long a stream is expected to take at most; infinity if that is unknown."""


class StopAdmission:
    """Refuses requests that may not end before this host ends.

    While callers have not been told to go elsewhere, the durations that were measured count, so
    that routes whose timeout is longer than the grace period are served. After that a refused
    request is served by another host, and what the request may take at most counts.

    Args:
        clock: time service.
        streams: estimates the durations of streams.
    """

    def __init__(self, clock: Clock, streams: StreamEstimates) -> None:
        self._clock = clock
        self._streams = streams
        self._plain_calls: dict[str, RecentDurations] = {}
        self._informed_ms = math.inf
        self._end_ms = math.inf

    def note_plain_call(self, route: Route, took_ms: float) -> None:
        """Records the duration of an answered call of a plain service."""
        self._plain_calls.setdefault(route.name, RecentDurations()).note(took_ms)

    def begin_stop(self, informed_ms: float, end_ms: float) -> None:
        """Refuses from now on what may take too long.

        Args:
            informed_ms: monotonic time from which callers use other hosts.
            end_ms: monotonic time at which requests in flight are ended.
        """
        self._informed_ms, self._end_ms = informed_ms, end_ms

    def check(self, request: ClientRequest, route: Route, service: ServiceName) -> None:
        """Checks that a request can be expected to end before this host ends.

        Raises:
            OverloadedError: if it can't be; it has not run and will not.
        """
        if self._end_ms == math.inf:
            return
        longest_ms = min(request.deadline_ms, route.timeout_ms)
        if self._clock.now_ms() < self._informed_ms:
            longest_ms = min(longest_ms, self._expected_ms(request, route, service))
        if request.received_ms + longest_ms > self._end_ms:
            raise OverloadedError("this host is stopping", retry_after_ms=STOPPING_RETRY_MS)

    def _expected_ms(self, request: ClientRequest, route: Route, service: ServiceName) -> float:
        """Returns what a request is expected to take at most, by what was measured."""
        if route.kind is RouteKind.STREAM and route.resumable:
            # A stream that is cut after all goes on at another host, after the last event.
            longest_ms = self._streams.longest_ms(request, route, service)
            return longest_ms if longest_ms < math.inf else 0.0
        if route.kind is RouteKind.STREAM:
            return DURATION_FACTOR * self._streams.longest_ms(request, route, service)
        measured = self._plain_calls.get(route.name)
        return DURATION_FACTOR * measured.longest_ms() if measured is not None else math.inf
