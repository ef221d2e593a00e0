"""Detects that this host can't reach the servers of a service.

A server that fails is no evidence: it may be down. A host seems to be cut off from a service when
several of its servers fail and none of it has been heard of since. Whether the servers are down
instead, the peers tell: a host that can't reach a service either says so in its hellos.
"""

from __future__ import annotations

import math
import random

from medlarvale.clock import Clock
from medlarvale.forwarding.messages import EngineStage, ServerState
from medlarvale.forwarding.servers import ServerLoad, ServerTable
from medlarvale.ids import ServiceName
from medlarvale.logs import Event, log_info, log_warning

# Number of servers of a service that must fail, unless it has fewer. When one fails, as many others
# are checked.
MIN_FAILED_SERVERS = 6
DECISION_PERIOD_MS = 100.0
# Time for which a service has to seem cut off while others of its servers are checked. A check
# takes 400 ms if there is no answer.
CONFIRMATION_MS = 600.0
# Time between two checks of a server of a service that can't be reached, and between two rounds of
# checks of other servers.
CHECK_PERIOD_MS = 400.0


class ReachDetector:
    """Decides which services this host can't reach.

    Attributes:
        unreached: these services.

    Args:
        servers: the servers and their failures.
        clock: time service.
        rng: selects the servers that are checked.
    """

    def __init__(self, servers: ServerTable, clock: Clock, rng: random.Random) -> None:
        self._servers = servers
        self._clock = clock
        self._rng = rng
        self._checked_ms = -math.inf
        self._others_checked_ms = -math.inf
        self._seeming_since_ms: dict[ServiceName, float] = {}
        self.unreached: frozenset[ServiceName] = frozenset()
        servers.on_failure(self._check_others)

    def start(self) -> None:
        """Starts the periodic decision."""
        self._clock.every_ms(DECISION_PERIOD_MS, self.update)

    def is_cut_off(self, service: ServiceName) -> bool:
        """Returns whether this host seems to be cut off from a service."""
        return service in self.unreached

    def update(self) -> None:
        """Decides again, and checks some servers of the services that can't be reached."""
        unreached = frozenset(filter(self._is_confirmed, self._services()))
        for service in unreached - self.unreached:
            log_warning(Event.SERVICE_UNREACHED, service=service)
        for service in self.unreached - unreached:
            log_info(Event.SERVICE_REACHED, service=service)
        self.unreached = unreached
        now_ms = self._clock.now_ms()
        if unreached and now_ms - self._checked_ms >= CHECK_PERIOD_MS:
            self._checked_ms = now_ms
            for service in unreached:
                failed = [load for load in self._ready(service) if load.suspect]
                self._servers.check_again(self._rng.choice(failed))

    def _is_confirmed(self, service: ServiceName) -> bool:
        """Returns whether a service seems to be cut off, and other servers don't answer either."""
        if not self._seems_cut_off(service):
            self._seeming_since_ms.pop(service, None)
            return False
        now_ms = self._clock.now_ms()
        since_ms = self._seeming_since_ms.setdefault(service, now_ms)
        others = [load for load in self._ready(service) if not load.suspect]
        if not others or service in self.unreached:
            return True
        self._servers.request_check(self._rng.choice(others), now_ms)
        return now_ms - since_ms >= CONFIRMATION_MS

    def _services(self) -> set[ServiceName]:
        return {server.service for server in self._servers.all_servers()}

    def _seems_cut_off(self, service: ServiceName) -> bool:
        ready = self._ready(service)
        heard_ms = max((load.contact_ms for load in ready), default=math.inf)
        failed = sum(load.suspect and load.unreachable_ms > heard_ms for load in ready)
        return failed >= min(len(ready), MIN_FAILED_SERVERS) > 0

    def have_all_failed(self, service: ServiceName) -> bool:
        """Returns whether a service has servers, and each failed since it was last reached."""
        ready = self._ready(service)
        return bool(ready) and all(load.suspect for load in ready)

    def _ready(self, service: ServiceName) -> list[ServerLoad]:
        """Returns the servers that requests of a service are sent to first."""
        return [
            load
            for load in self._servers.of_service(service)
            if load.server.state is ServerState.READY
            and load.server.stage is not EngineStage.PREFILL
        ]

    def _check_others(self, now_ms: float) -> None:
        """Asks for checks of other servers, so that a partition is known soon."""
        if now_ms - self._others_checked_ms < CHECK_PERIOD_MS:
            return
        self._others_checked_ms = now_ms
        for service in self._services():
            ready = self._ready(service)
            others = [load for load in ready if not load.suspect]
            missing = MIN_FAILED_SERVERS - (len(ready) - len(others))
            for load in self._rng.sample(others, max(0, min(missing, len(others)))):
                self._servers.check_again(load)
