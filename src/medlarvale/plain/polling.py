"""Polls the load reports of plain servers, which show whether a server is leaving."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec

from medlarvale.clock import Clock, Subscription
from medlarvale.ids import ServerId
from medlarvale.membership.servers import BackendServer, ServerDirectory
from medlarvale.settings.schema import PoolRole

POLL_PERIOD_MS = 500.0
POLL_TIMEOUT_S = 0.4
LOAD_PATH = "/v1/load"


class PlainLoad(msgspec.Struct, frozen=True):
    """The field of a load report that the poller reads."""

    leaving: bool


class PlainPoller:
    """Marks plain servers as leaving by their own load report, because the host list may lag.

    Args:
        session: client session; its owner closes it.
        directory: the listed servers; leaving servers are marked in it.
        clock: schedules the polls.
    """

    def __init__(
        self, session: aiohttp.ClientSession, directory: ServerDirectory, clock: Clock
    ) -> None:
        self._session = session
        self._directory = directory
        self._clock = clock
        self._polling: dict[ServerId, asyncio.Task[None]] = {}
        self._subscription: Subscription | None = None

    def start(self) -> None:
        """Starts the timer."""
        self._subscription = self._clock.every_ms(POLL_PERIOD_MS, self._poll_all)

    async def close(self) -> None:
        """Stops the timer and cancels running polls."""
        if self._subscription is not None:
            self._subscription.cancel()
        polls = list(self._polling.values())
        for poll in polls:
            poll.cancel()
        await asyncio.gather(*polls, return_exceptions=True)

    def _poll_all(self) -> None:
        for server in self._directory.all_servers():
            if server.role is PoolRole.PLAIN and server.server not in self._polling:
                poll = asyncio.get_running_loop().create_task(self._poll(server))
                self._polling[server.server] = poll

    async def _poll(self, server: BackendServer) -> None:
        timeout = aiohttp.ClientTimeout(total=POLL_TIMEOUT_S)
        try:
            async with self._session.get(server.address + LOAD_PATH, timeout=timeout) as answer:
                if answer.status == 200:
                    report = msgspec.json.decode(await answer.read(), type=PlainLoad)
                    self._directory.mark_leaving(server.server, report.leaving)
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError):
            # Without a report, only the host list shows whether the server is leaving.
            pass
        finally:
            self._polling.pop(server.server, None)
