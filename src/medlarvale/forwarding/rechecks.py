"""Checks whether failed servers can be reached again, without risking a request."""

from __future__ import annotations

from medlarvale.clock import Clock
from medlarvale.forwarding.background_tasks import BackgroundTasks
from medlarvale.forwarding.errors import BackendError
from medlarvale.forwarding.interface import Backends
from medlarvale.forwarding.servers import ServerLoad, ServerTable
from medlarvale.ids import ServerId

# Half of the shortest pause after a failure.
RECHECK_PERIOD_MS = 100.0


class RecheckTask:
    """Opens a connection to each suspect server when its pause is over.

    It also checks the servers that requests have been waiting for.

    Args:
        servers: the servers and their failures.
        backends: opens the connections.
        clock: time service.
    """

    def __init__(self, servers: ServerTable, backends: Backends, clock: Clock) -> None:
        self._servers = servers
        self._backends = backends
        self._clock = clock
        self._background = BackgroundTasks()
        self._in_progress: set[ServerId] = set()

    def start(self) -> None:
        """Starts the periodic checks."""
        self._clock.every_ms(RECHECK_PERIOD_MS, self._tick)

    def _tick(self) -> None:
        self._servers.waits.end_expired(self._clock.now_ms())
        for load in self._servers.due_for_recheck(self._clock.now_ms()):
            if load.server.server not in self._in_progress:
                load.check_due = False
                self._in_progress.add(load.server.server)
                self._background.start(self._recheck(load))

    async def _recheck(self, load: ServerLoad) -> None:
        try:
            await self._backends.probe(load.server)
        except BackendError as error:
            self._servers.note_unreachable(load, self._clock.now_ms(), error.message)
        else:
            self._servers.note_reachable(load, self._clock.now_ms())
        finally:
            self._in_progress.discard(load.server.server)

    async def close(self) -> None:
        """Cancels the checks in progress."""
        await self._background.finish(0.0)
