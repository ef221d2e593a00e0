"""Status of all nodes, queried from the peers and merged."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

import msgspec

from medlarvale.clock import Clock
from medlarvale.ids import HostId, HostIdentity
from medlarvale.operators.accounting import Figures, GroupKey, merge_figures
from medlarvale.operators.status import NodeStatus, PoolStatus
from medlarvale.peers.errors import PeerError
from medlarvale.peers.transport import Transport

# The wall page has to show an event within 2 s. The age of a cached status, the page's refresh
# period (700 ms) and the timeout for an unreachable node add up to 1.9 s.
STATUS_TIMEOUT_MS = 600.0
# Several wall pages share one round of status requests.
CACHE_MS = 600.0
# Prevents 360 replies of about 50 KB each from being in flight at once.
MAX_CONCURRENT_REQUESTS = 32


class StatusRequest(msgspec.Struct, tag="ask_status", frozen=True):
    """Requests the status of a peer."""


class StatusReply(msgspec.Struct, tag="status_reply", frozen=True):
    """The status of the node that received the request."""

    status: NodeStatus


FLEET_MESSAGES: tuple[type[msgspec.Struct], ...] = (StatusRequest, StatusReply)


class UnreachableNode(msgspec.Struct):
    """A listed node that returned no status."""

    host: HostId
    reason: str


class FleetStatus(msgspec.Struct):
    """Status of all nodes that could be reached.

    Attributes:
        asked_by: the node that queried the others.
        figures: figures merged over the nodes.
        pools: for each pool, the load reported by the node that sees the highest use.
        unreachable: listed nodes that did not answer; ``figures`` does not include theirs.
    """

    asked_by: HostId
    nodes: list[NodeStatus]
    unreachable: list[UnreachableNode]
    figures: list[Figures]
    pools: list[PoolStatus]


def merge_statuses(
    asked_by: HostId, nodes: list[NodeStatus], unreachable: list[UnreachableNode]
) -> FleetStatus:
    """Returns the merged status; it omits the figures and pools of the single nodes."""
    totals: dict[tuple[GroupKey, str], Figures] = {}
    pools: dict[tuple[str, str, str], PoolStatus] = {}
    for node in nodes:
        for figures in node.figures:
            group = (GroupKey(figures.dimension, figures.name), figures.window)
            if group not in totals:
                totals[group] = Figures(
                    *(figures.dimension, figures.name, figures.window),
                    reasons={},
                    waited_for={},
                    faults={},
                )
            merge_figures(totals[group], figures)
        for pool in node.pools:
            name = (pool.service, pool.pool, pool.failure_domain)
            if name not in pools or pool.used_share > pools[name].used_share:
                pools[name] = pool
    node_summaries = [msgspec.structs.replace(node, figures=[], pools=[]) for node in nodes]
    node_summaries.sort(key=lambda node: node.host)
    return FleetStatus(
        asked_by, node_summaries, unreachable, list(totals.values()), list(pools.values())
    )


class FleetTask:
    """Answers status requests of peers and queries the status of all peers.

    Args:
        identity: this host.
        transport: requests to peers.
        clock: time service.
        listed_hosts: returns the hosts of the newest host list, including this one.
        own_status: returns the status of this node.
    """

    def __init__(
        self,
        identity: HostIdentity,
        transport: Transport,
        clock: Clock,
        listed_hosts: Callable[[], Iterable[HostId]],
        own_status: Callable[[], NodeStatus],
    ) -> None:
        self._identity = identity
        self._transport = transport
        self._clock = clock
        self._listed_hosts = listed_hosts
        self._own_status = own_status
        self._lock = asyncio.Lock()
        self._cached: FleetStatus | None = None
        self._cached_at_ms = 0.0

    def start(self) -> None:
        """Registers the message handler."""
        self._transport.register(StatusRequest, self._on_status_request)

    async def fleet_status(self) -> FleetStatus:
        """Returns the status of all listed nodes, at most 0.6 s old."""
        async with self._lock:
            now_ms = self._clock.now_ms()
            if self._cached is None or now_ms - self._cached_at_ms >= CACHE_MS:
                self._cached = await self._query_all()
                self._cached_at_ms = now_ms
            return self._cached

    async def _query_all(self) -> FleetStatus:
        limit = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
        hosts = sorted(set(self._listed_hosts()) - {self._identity.host})
        answers = await asyncio.gather(*(self._query(host, limit) for host in hosts))
        nodes = [self._own_status()]
        nodes += [answer for answer in answers if isinstance(answer, NodeStatus)]
        unreachable = [answer for answer in answers if isinstance(answer, UnreachableNode)]
        return merge_statuses(self._identity.host, nodes, unreachable)

    async def _query(self, host: HostId, limit: asyncio.Semaphore) -> NodeStatus | UnreachableNode:
        async with limit:
            try:
                reply = await self._transport.request(host, StatusRequest(), STATUS_TIMEOUT_MS)
            except PeerError as error:
                return UnreachableNode(host, error.message)
        if isinstance(reply, StatusReply):
            return reply.status
        return UnreachableNode(host, f"unexpected reply {type(reply).__name__}")

    async def _on_status_request(
        self, _sender: HostIdentity, _message: StatusRequest
    ) -> msgspec.Struct:
        return StatusReply(self._own_status())
