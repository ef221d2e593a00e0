"""Shared dependencies of the forwarders of plain calls and streams, and request deadlines."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec

from medlarvale.clock import Clock
from medlarvale.forwarding.answer_ends import ConnectionEnds
from medlarvale.forwarding.background_tasks import BackgroundTasks
from medlarvale.forwarding.interface import BackendAnswer, Backends
from medlarvale.forwarding.messages import ClientRequest, RequestIdentity, Route, Server, Target
from medlarvale.forwarding.reach import ReachDetector
from medlarvale.forwarding.servers import ServerTable
from medlarvale.forwarding.stream_versions import StreamVersions
from medlarvale.ids import ServiceName, SoftwareVersion
from medlarvale.overload.priorities import ConfiguredPriorities
from medlarvale.prompt_cache.cache import PromptCaches
from medlarvale.scheduling.retry_budget import RetryBudget

# Answers are sent this long before the deadline of the route or the caller.
ANSWER_MARGIN_MS = 20.0


class RetryLimits(msgspec.Struct, frozen=True):
    """This host's share of the retry budget of a service.

    Attributes:
        share: retries allowed per request.
        reserve: maximum retries that can accumulate.
    """

    share: float
    reserve: float


class RunGuard(Protocol):
    """Decides which requests may run; implemented by ``CrashGuard``."""

    def identify(
        self, request: ClientRequest, service: ServiceName, targets: Iterable[Target] = ()
    ) -> RequestIdentity:
        """Returns what identifies a request among those that may crash servers.

        Args:
            request: the request.
            service: the service that it is sent to.
            targets: all services of its route.
        """

    def check(self, identity: RequestIdentity) -> None:
        """Checks that a request may run now.

        Raises:
            CrashingRequestError: if it has crashed too many servers.
        """

    def note_broken_run(
        self, identity: RequestIdentity, server: Server, events: int, *, went_on: bool = False
    ) -> None:
        """Checks whether a server crashed when its connection broke before the answer ended.

        Args:
            identity: the request that was running.
            server: the server.
            events: number of parts of the answer that had arrived.
            went_on: whether an answer to the request has gone on for a while without a crash.
        """

    def note_clean_run(self, identity: RequestIdentity, *, complete: bool = True) -> None:
        """Records that a request ran without crashing its server.

        Args:
            identity: the request.
            complete: whether the answer has ended; otherwise it has gone on for a while.
        """


class PeerRelay(Protocol):
    """Lets a peer serve what this host can't; implemented by ``Relay``."""

    def is_needed(self, service: ServiceName) -> bool:
        """Returns whether this host can't reach a service that a peer reaches."""

    async def open(
        self,
        request: ClientRequest,
        route: Route,
        service: ServiceName,
        software: SoftwareVersion | None = None,
    ) -> BackendAnswer:
        """Returns the answer with which a peer accepts a request.

        Args:
            request: the request.
            route: its route.
            service: the service that was chosen.
            software: version that began the stream which the request continues, if it is known.

        Raises:
            RejectedError: no peer has run it, and none will.
            BackendError: it may have run.
        """


class ForwardingContext:
    """Dependencies of both forwarders.

    Args:
        backends: calls to backend servers.
        servers: backend servers and their load.
        clock: time service.
        rng: breaks ties.
        retry_limits: returns the current retry limits per service.
        guard: refuses requests that crash servers.
        host_count: returns the number of hosts that share the backend servers.
        versions: software versions of streams.
    """

    def __init__(
        self,
        backends: Backends,
        servers: ServerTable,
        clock: Clock,
        rng: random.Random,
        retry_limits: Callable[[], RetryLimits],
        guard: RunGuard,
        host_count: Callable[[], int],
        versions: StreamVersions,
    ) -> None:
        self.host_count = host_count
        self.versions = versions
        self.backends = backends
        self.servers = servers
        self.clock = clock
        self.rng = rng
        self.background = BackgroundTasks()
        self.connection_ends = ConnectionEnds()
        self.prompt_caches = PromptCaches()
        self._retry_limits = retry_limits
        self.guard = guard
        # Set by the host that relays requests; None in a host without peers.
        self.relay: PeerRelay | None = None
        # Set by the host that follows a configuration.
        self.priorities = ConfiguredPriorities()
        self.reach = ReachDetector(servers, clock, rng)
        self._budgets: dict[ServiceName, RetryBudget] = {}

    def needs_relay(self, service: ServiceName) -> bool:
        """Returns whether this host can't reach a service that a peer reaches."""
        return self.relay is not None and self.relay.is_needed(service)

    def budget(self, service: ServiceName) -> RetryBudget:
        """Returns the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            limits = self._retry_limits()
            budget = RetryBudget(limits.share, limits.reserve / 2.0, limits.reserve)
            self._budgets[service] = budget
        else:
            budget.set_ceiling(self._retry_limits().reserve)
        return budget


def end_ms(request: ClientRequest, route: Route) -> float:
    """Returns the monotonic time by which a final answer must be sent."""
    limit_ms = min(request.deadline_ms, route.timeout_ms)
    if request.relayed is not None:
        limit_ms = min(limit_ms, request.relayed.left_ms)
    return request.received_ms + limit_ms - ANSWER_MARGIN_MS
