"""Links between callers, hosts and servers, which are delayed, reset or cut."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial

import msgspec

from medlarvale.clock import SystemClock
from medlarvale.ids import HostId
from medlarvale.platform.standin import LOOPBACK, StandinPlatform, StandinServer
from medlarvale.standins.link import (
    PASSING,
    Direction,
    Link,
    LinkMode,
    LinkState,
    relay,
    reset,
)
from medlarvale.standins.serving import Address, parse_address
from soak.connection_owner import ConnectionOwners, host_of_connection

DELAY_MS = (50.0, 700.0)
# Of several faults of one link, the last of these has its way.
SEVERITY = (LinkMode.PASS, LinkMode.HOLD, LinkMode.DROP, LinkMode.CLOSE)


class Way(msgspec.Struct, frozen=True):
    """One link.

    Attributes:
        host: host at one end; None if a connection's host is not known.
        server: name of the server at the other end.
        peer: host that this host connects to. With neither, the link is that of its callers.
    """

    host: HostId | None
    server: str | None = None
    peer: HostId | None = None


def draw_state(draws: random.Random) -> LinkState:
    """Returns the state of a link that is delayed, reset, silent, or cut one way."""
    return draws.choice(
        (
            LinkState(LinkMode.PASS, draws.uniform(*DELAY_MS)),
            LinkState(LinkMode.CLOSE),
            LinkState(LinkMode.HOLD),
            LinkState(LinkMode.DROP, direction=Direction.TO_TARGET),
            LinkState(LinkMode.DROP, direction=Direction.FROM_TARGET),
        )
    )


class Network:
    """Relays between callers, hosts and servers.

    Args:
        processes: returns the hosts and the ids of their processes.
    """

    def __init__(self, processes: Callable[[], Iterable[tuple[HostId, int]]]) -> None:
        self._processes = processes
        self._clock = SystemClock()
        self._owners = ConnectionOwners(processes)
        self._links: dict[tuple[Way, Address], Link] = {}
        # Links that are disturbed, and the state that they are in.
        self._faults: list[tuple[Callable[[Way], bool], LinkState]] = []
        self._stack = AsyncExitStack()

    async def close(self) -> None:
        """Ends all connections."""
        await self._stack.aclose()

    async def open_caller_link(self, host: HostId, front: str) -> str:
        """Returns the address at which callers reach a host over its link."""
        link = self._link(Way(host), parse_address(front))
        return str(await self._stack.enter_async_context(relay(link, LOOPBACK)))

    async def open_server_links(self, server: str, address: str) -> str:
        """Returns the address at which hosts reach a server, each over a link of its own."""
        accept = partial(self._accept, server, parse_address(address))
        listener = await asyncio.start_server(accept, LOOPBACK.host, LOOPBACK.port)
        self._stack.callback(listener.close)
        return str(Address(*listener.sockets[0].getsockname()[:2]))

    async def open_peer_links(self, peer: HostId, listen: str, address: str) -> None:
        """Listens for the peers of a host, each of which reaches it over a link of its own.

        Raises:
            OSError: if the address to listen on can't be bound.
        """
        accept = partial(self._accept_peer, peer, parse_address(address))
        listener = await asyncio.start_server(accept, *listen.split(":"))
        self._stack.callback(listener.close)

    def _accept(
        self,
        server: str,
        target: Address,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        way = Way(host_of_connection(writer.transport, self._processes()), server)
        self._opened_link(way, target).accept(reader, writer)

    async def _accept_peer(
        self,
        peer: HostId,
        target: Address,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        host = await self._owners.find(writer.transport)
        if host is None:
            # It must not pass a fault of the host that it may belong to.
            reset(writer)
        else:
            self._opened_link(Way(host, peer=peer), target).accept(reader, writer)

    def _opened_link(self, way: Way, target: Address) -> Link:
        if (way, target) not in self._links:
            self._stack.push_async_callback(self._link(way, target).stop)
        return self._links[way, target]

    def _link(self, way: Way, target: Address) -> Link:
        self._links[way, target] = link = Link(target, self._clock, self._state(way))
        return link

    @asynccontextmanager
    async def disturbed(
        self, affects: Callable[[Way], bool], state: LinkState
    ) -> AsyncIterator[None]:
        """Puts links into a state, also those that are opened meanwhile."""
        fault = affects, state
        self._faults.append(fault)
        await self._apply(affects)
        try:
            yield
        finally:
            self._faults.remove(fault)
            await self._apply(affects)

    async def _apply(self, affects: Callable[[Way], bool]) -> None:
        for (way, _), link in list(self._links.items()):
            if affects(way):
                await link.set_state(self._state(way))

    def _state(self, way: Way) -> LinkState:
        states = [state for affects, state in self._faults if affects(way)]
        return max(states, key=lambda state: SEVERITY.index(state.mode), default=PASSING)


class RelayedPlatform(StandinPlatform):
    """Stand-in of the platform whose servers are reached over links.

    Attributes:
        network: links to use; None for none.
        crashed: names of the servers that publish nothing, since they have crashed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.network: Network | None = None
        self.crashed: set[str] = set()
        self._relayed: set[str] = set()

    async def publish(self, server: StandinServer) -> None:
        """Writes the current entry of a server to the store, with the address of its links."""
        if server.name in self.crashed:
            return
        if self.network is not None and server.name not in self._relayed:
            self._relayed.add(server.name)
            server.address = await self.network.open_server_links(server.name, server.address)
            server.servers_by_address[server.address] = server
        await super().publish(server)
