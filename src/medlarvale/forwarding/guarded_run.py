"""Reports to the crash guard how the runs of one request went."""

from __future__ import annotations

from medlarvale.clock import Clock
from medlarvale.forwarding.context import RunGuard
from medlarvale.forwarding.crash_evidence import CLEAN_RUN_MS
from medlarvale.forwarding.messages import ClientRequest, Route, Server
from medlarvale.ids import ServiceName


class GuardedRun:
    """The runs of one request, one after the other.

    Args:
        guard: decides which requests may run.
        clock: time service.
        request: the request.
        route: its route.
        service: the service of the route that it is sent to.

    Raises:
        CrashingRequestError: if the request has crashed too many servers.
    """

    def __init__(
        self,
        guard: RunGuard,
        clock: Clock,
        request: ClientRequest,
        route: Route,
        service: ServiceName,
    ) -> None:
        self._guard = guard
        self._clock = clock
        self._identity = guard.identify(request, service, route.targets)
        self._events = 0
        self._began_ms = 0.0
        self._went_on = False
        self._complete = False
        self.check()

    def check(self) -> None:
        """Checks again, before a send, that the request may run.

        Raises:
            CrashingRequestError: if it has crashed too many servers.
        """
        self._guard.check(self._identity)

    def begin(self) -> None:
        """Records that a server has accepted the request."""
        self._events = 0

    def note_events(self) -> None:
        """Records that events of the present run have arrived."""
        now_ms = self._clock.now_ms()
        if not self._events:
            self._began_ms = now_ms
        self._events += 1
        if now_ms - self._began_ms >= CLEAN_RUN_MS and not self._went_on:
            self._went_on = True
            self._guard.note_clean_run(self._identity, complete=False)

    def note_clean(self) -> None:
        """Records a complete answer: the request does not crash the servers that run it."""
        if not self._complete:
            self._went_on = self._complete = True
            self._guard.note_clean_run(self._identity)

    def note_broken(self, server: Server) -> None:
        """Records that the connection to a server broke before the answer ended."""
        if not self._complete:
            self._guard.note_broken_run(self._identity, server, self._events, went_on=self._went_on)
