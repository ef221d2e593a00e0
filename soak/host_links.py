"""Links between hosts, which are cut for some while the store, servers and callers reach all.

Hosts announce an address of a relay. A cut is between two groups of hosts, and of all their
connections: messages and relayed requests.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from contextlib import AbstractContextManager, AsyncExitStack
from enum import Enum

from medlarvale.ids import HostId
from medlarvale.standins.link import Direction, LinkMode, LinkState
from scripts.forward_hosts import ForwardHost
from soak.network import DELAY_MS, Network, Way
from soak.plan import Fault

# Hosts bind their ports at another address of loopback.
RELAY_IP = "127.0.0.2"


class Cut(Enum):
    """How two groups of hosts are cut off from each other."""

    HANG = "hang"
    ONE_WAY = "one way"
    RESET = "reset"
    LATE = "late"


class CutPlan(Enum):
    """Which hosts are cut off from which."""

    PAIR = "pair"
    HOST = "host"
    DOMAIN = "domain"


def draw_sides(draws: random.Random, host: int, domains: Sequence[str]) -> tuple[set[int], ...]:
    """Returns two groups: a host and another, a host and all others, or a domain and the rest.

    Args:
        domains: failure domain of each host.
    """
    hosts = set(range(len(domains)))
    kind = draws.choice(list(CutPlan))
    other = draws.choice(sorted(hosts - {host}))
    near = {number for number in hosts if domains[number] == domains[host]}
    if kind is CutPlan.PAIR:
        return {host}, {other}
    if kind is CutPlan.HOST or near == hosts:
        near = {host}
    return near, hosts - near


def draw_states(draws: random.Random) -> tuple[Cut, LinkState, LinkState]:
    """Returns a cut, with the states of links that the first group and the second have opened."""
    cut = draws.choice(list(Cut))
    # What is silent goes on later, or has been lost.
    silent = draws.choice((LinkMode.HOLD, LinkMode.DROP))
    if cut is Cut.ONE_WAY:
        ways = [Direction.TO_TARGET, Direction.FROM_TARGET]
        draws.shuffle(ways)
        first, second = (LinkState(silent, direction=way) for way in ways)
        return cut, first, second
    states = {
        Cut.HANG: LinkState(silent),
        Cut.RESET: LinkState(LinkMode.CLOSE),
        Cut.LATE: LinkState(LinkMode.PASS, draws.uniform(*DELAY_MS)),
    }
    return cut, states[cut], states[cut]


class HostLinks:
    """Faults between hosts.

    Args:
        network: relays of the run.
        hosts: all hosts.
        domains: failure domain of each.
        disrupted: notes a disruption of a host while it lasts.
    """

    def __init__(
        self,
        network: Network,
        hosts: Sequence[ForwardHost],
        domains: Sequence[str],
        disrupted: Callable[..., AbstractContextManager[None]],
    ) -> None:
        self._network, self._hosts, self._domains = network, hosts, domains
        self._disrupted = disrupted

    async def open(self) -> None:
        """Lets hosts that start from now on reach each other over links."""
        for host in self._hosts:
            host.announced = _relayed(host.control)
            for address in (host.control, host.relay):
                await self._network.open_peer_links(HostId(host.name), _relayed(address), address)

    async def harm(self, fault: Fault) -> None:
        """Lets a fault happen."""
        draws = random.Random(fault.choice)
        sides = draw_sides(draws, fault.host, self._domains)
        cut, *states = draw_states(draws)
        names = [{HostId(self._hosts[number].name) for number in side} for side in sides]
        async with AsyncExitStack() as stack:
            for host in sorted(names[0]):
                stack.enter_context(self._disrupted(host, kind=f"cut off, {cut.value}"))
            for near, far, state in zip(names, reversed(names), states, strict=True):
                affects = _between(near, far)
                await stack.enter_async_context(self._network.disturbed(affects, state))
            await asyncio.sleep(fault.lasts_s)


def _relayed(address: str) -> str:
    return f"{RELAY_IP}:{address.rpartition(':')[2]}"


def _between(near: set[HostId], far: set[HostId]) -> Callable[[Way], bool]:
    return lambda way: way.host in near and way.peer in far
