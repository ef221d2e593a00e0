"""Gets what this host lacks when a peer has a newer configuration, and answers such requests.

A host that hears of a newer configuration reads the store itself, whoever reads it for this host. A
peer is asked for the configuration and the servers while the store can't be read, and for a newer
configuration if the store has not told of it, as after it has come back from an older copy. Where
revocation of API keys is bounded, also when the configuration was confirmed last.
"""

from __future__ import annotations

import math
import random

from medlarvale.clock import Clock
from medlarvale.forwarding.background_tasks import BackgroundTasks
from medlarvale.forwarding.fleet import FleetView
from medlarvale.forwarding.fleet_messages import StateReply, StateRequest
from medlarvale.forwarding.follower import StateFollower
from medlarvale.forwarding.servers import ServerTable
from medlarvale.forwarding.stream_records import StreamRecords
from medlarvale.forwarding.usable_servers import usable_servers
from medlarvale.ids import ConfigVersion, HostId, HostIdentity
from medlarvale.logs import Event, log_info
from medlarvale.peers.errors import PeerError
from medlarvale.peers.transport import Transport

# A change must take effect within 2 s, so half of that is the longest useful period.
QUERY_PERIOD_MS = 1_000.0
QUERY_TIMEOUT_MS = 800.0
# Period of the comparison with the versions of the peers.
COMPARE_PERIOD_MS = 250.0
# Time after which a configuration that a peer has named is no longer on its way: this host reads
# the store itself.
READ_AFTER_MS = 250.0
# Time after which the store has not told of it: this host asks a peer.
ASK_AFTER_MS = 750.0
# Peers that are asked at a time whether the configuration is recent, in case that one is lost.
CONFIRMING_PEERS = 2


class PeerStateTask:
    """Queries a peer that reads the store if this host can't, or if the peer's version is newer.

    Args:
        view: the peers.
        transport: messages to peers.
        follower: configuration of this host.
        servers: backend servers of this host.
        records: what this host remembers of streams.
        clock: time service.
        rng: selects the peers that are asked.
    """

    def __init__(
        self,
        view: FleetView,
        transport: Transport,
        follower: StateFollower,
        servers: ServerTable,
        records: StreamRecords,
        clock: Clock,
        rng: random.Random | None = None,
    ) -> None:
        self._rng = rng or random.Random()
        self._view = view
        self._transport = transport
        self._follower = follower
        self._servers = servers
        self._records = records
        self._clock = clock
        self._background = BackgroundTasks()
        self._turn = 0
        # Newest version that a peer has named and this host lacked.
        self._heard = ConfigVersion(0)
        # While this host lacks a version that a peer has named: when it reads the store and when
        # it asks a peer next.
        self._read_ms = math.inf
        self._ask_ms = math.inf
        transport.register(StateRequest, self._answer)

    def start(self) -> None:
        """Starts the periodic checks."""
        self._clock.every_ms(self._period_ms(COMPARE_PERIOD_MS), self._compare)
        self._clock.every_ms(self._period_ms(QUERY_PERIOD_MS), self._tick)

    def _period_ms(self, usual_ms: float) -> float:
        return self._follower.confirmation.period_ms(usual_ms)

    def _tick(self) -> None:
        now_ms, known = self._clock.now_ms(), self._follower.version
        versions, readers = self._versions(now_ms)
        if readers and self._needs_state():
            self._background.start(self._query(self._choose(readers)))
        if max(readers.values(), default=known) > known:
            # Each reply of a confirming peer would be another copy of the newer configuration.
            return
        if self._follower.confirmation.asks_peers(now_ms, known):
            # A peer that can't reach the store may know of one that does.
            for host in self._next_peers(sorted(readers) or sorted(versions)):
                self._background.start(self._query_confirmation(host))

    def _versions(
        self, now_ms: float
    ) -> tuple[dict[HostId, ConfigVersion], dict[HostId, ConfigVersion]]:
        """Returns the versions of the live peers, and of those that read the store."""
        live = self._view.live(now_ms)
        versions = {host: hello.config_version for host, hello in live.items()}
        readers = {
            host: version
            for host, version in versions.items()
            if version and live[host].store_reachable
        }
        return versions, readers

    def _compare(self) -> None:
        """Catches up with the peers if one of them has a newer configuration."""
        now_ms, known = self._clock.now_ms(), self._follower.version
        versions, readers = self._versions(now_ms)
        newest = max(versions.values(), default=ConfigVersion(0))
        self._follower.confirmation.note_heard(newest, known, now_ms)
        if newest > max(self._heard, known):
            self._heard = newest
            log_info(Event.CONFIG_BEHIND, version=newest, known=known)
        if newest <= known:
            self._read_ms = self._ask_ms = math.inf
            return
        if self._read_ms == math.inf:
            self._read_ms, self._ask_ms = now_ms + READ_AFTER_MS, now_ms + ASK_AFTER_MS
        if self._needs_state():
            # Peers are asked in any case.
            return
        if now_ms >= self._read_ms:
            self._read_ms = now_ms + QUERY_PERIOD_MS
            self._background.start(self._follower.confirm(now_ms))
        if now_ms >= self._ask_ms and max(readers.values(), default=known) > known:
            self._ask_ms = now_ms + QUERY_PERIOD_MS
            self._background.start(self._query(self._choose(readers)))

    def _choose(self, readers: dict[HostId, ConfigVersion]) -> HostId:
        """Returns one of the hosts with the newest configuration.

        It is a random one: a large configuration that all fetch from one host fills its link.
        """
        newest = max(readers.values())
        return self._rng.choice([host for host in readers if readers[host] == newest])

    def _needs_state(self) -> bool:
        return not self._follower.reachable or self._follower.index is None

    def _next_peers(self, hosts: list[HostId]) -> list[HostId]:
        """Returns some hosts, in turns, so that no single one decides."""
        first, self._turn = self._turn, self._turn + CONFIRMING_PEERS
        chosen = (hosts[number % len(hosts)] for number in range(first, self._turn) if hosts)
        return list(dict.fromkeys(chosen))

    async def _ask(self, host: HostId, request: StateRequest) -> tuple[StateReply | None, float]:
        """Returns the reply of a peer, or None, and the time at which it was asked."""
        asked_ms = self._clock.now_ms()
        try:
            reply = await self._transport.request(host, request, self._period_ms(QUERY_TIMEOUT_MS))
        except PeerError as error:
            log_info(Event.PEER_STATE_FAILED, peer=host, error=error.message)
            return None, asked_ms
        return (reply if isinstance(reply, StateReply) else None), asked_ms

    async def _query_confirmation(self, host: HostId) -> None:
        reply, asked_ms = await self._ask(host, StateRequest(known=self._follower.version))
        if reply is None or reply.config_age_ms is None:
            return
        if reply.table is not None and not self._follower.accept(reply.table, host):
            return
        self._note_confirmation(reply, asked_ms)

    def _note_confirmation(self, reply: StateReply, asked_ms: float) -> None:
        self._follower.confirmation.note_peer(
            asked_ms, reply.config_age_ms, reply.config_version, self._follower.version
        )

    async def _query(self, host: HostId) -> None:
        reply, asked_ms = await self._ask(host, StateRequest(has_version=self._follower.version))
        if reply is None or not reply.store_reachable:
            return
        needs_state = self._needs_state()
        if reply.table is not None:
            self._follower.accept(reply.table, host)
        self._note_confirmation(reply, asked_ms)
        if not needs_state:
            # The store answers, or has answered in the meantime: its list takes precedence.
            return
        servers = usable_servers(reply.servers, host)
        self._servers.replace_all(servers, self._clock.now_ms(), after_outage=True)

    async def _answer(self, sender: HostIdentity, message: StateRequest) -> StateReply:
        if message.is_about_streams:
            return await self._records.answer(message)
        follower, wants_servers = self._follower, message.known is None
        table = follower.index.table if follower.index is not None else None
        known = message.has_version if wants_servers else message.known
        return StateReply(
            table if follower.version > (known or 0) else None,
            self._servers.all_servers() if wants_servers else (),
            follower.reachable,
            config_version=follower.version,
            config_age_ms=follower.confirmation.age_to_send(self._clock.now_ms(), follower.version),
        )
