"""Ways of the hosts to the store, each with its own faults.

All hosts have the same address of the store, since they derive the key of their messages from it.
So the host that makes a connection is found by the owner of its socket.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Iterable
from weakref import WeakKeyDictionary

from aiohttp import web
from aiohttp.typedefs import Handler

from medlarvale.ids import HostId
from soak.connection_owner import host_of_connection

LATE_ANSWER_S = (0.2, 2.5)


class StoreLinks:
    """Faults between hosts and the store.

    Args:
        seed: seed of the run.
        processes: returns the hosts and the ids of their processes.
    """

    def __init__(self, seed: int, processes: Callable[[], Iterable[tuple[HostId, int]]]) -> None:
        self._late_until_s: dict[HostId, float] = {}
        self._cut_until_s: dict[HostId, float] = {}
        self._draws = random.Random(f"{seed} store")
        self._processes = processes
        self._hosts: WeakKeyDictionary[asyncio.Transport, HostId] = WeakKeyDictionary()

    def delay(self, host: HostId, lasts_s: float) -> None:
        """Delays each answer to a host for some time."""
        self._late_until_s[host] = time.monotonic() + lasts_s

    def cut(self, host: HostId, lasts_s: float) -> None:
        """Holds all answers to a host back for some time, and then breaks its connections."""
        self._cut_until_s[host] = time.monotonic() + lasts_s

    @web.middleware
    async def disturb(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Passes on, delays or drops the answer to a host."""
        response = await handler(request)
        transport = request.transport
        host = self._host_of(transport) if transport is not None else None
        if transport is None or host is None:
            return response
        if self._late_until_s.get(host, 0.0) > time.monotonic():
            await asyncio.sleep(self._draws.uniform(*LATE_ANSWER_S))
        cut_s = self._cut_until_s.get(host, 0.0) - time.monotonic()
        if cut_s > 0.0:
            await asyncio.sleep(cut_s)
            transport.abort()
        return response

    def _host_of(self, transport: asyncio.Transport) -> HostId | None:
        if transport not in self._hosts:
            owner = host_of_connection(transport, self._processes())
            if owner is not None:
                self._hosts[transport] = owner
        return self._hosts.get(transport)
