"""Lets one host of a failure domain read the store for its neighbours.

Each change of the store wakes each host that watches it. In a large failure domain, only the first
live host by name watches the store; its neighbours wait for changes at that host, which costs no
traffic between failure domains. A neighbour reads the store itself whenever the reader doesn't
answer, may miss changes of the store or is behind what the neighbour knows.
"""

from __future__ import annotations

import asyncio

from medlarvale.clock import Clock
from medlarvale.forwarding.fleet import FleetView
from medlarvale.forwarding.fleet_messages import SharedState, SharedStateRequest, StateMark
from medlarvale.forwarding.follower import StateFollower
from medlarvale.forwarding.servers import ServerTable
from medlarvale.forwarding.usable_servers import usable_servers
from medlarvale.forwarding.version_timeline import EngineKey, engine_key
from medlarvale.ids import FailureDomain, HostId, HostIdentity, Incarnation
from medlarvale.logs import Event, log_info, log_warning
from medlarvale.peers.errors import PeerError
from medlarvale.peers.transport import Transport

# In a smaller failure domain, sharing would save too little to depend on another host.
MIN_DOMAIN_HOSTS = 4
# A reader answers after this time if nothing has changed.
ANSWER_AFTER_MS = 800.0
# Time for an answer beyond that. With both, the loss of a reader delays a change by 1.2 s.
ANSWER_SLACK_MS = 400.0
# Age of the list of a reader of an earlier build: one watch of the store.
DEFAULT_AGE_MS = 2_000.0
# Delay before a reader that did not answer is tried again, and between checks for a reader.
RETRY_PERIOD_MS = 1_000.0


class DomainReaderTask:
    """Follows the published state at the reader of this host's failure domain.

    Args:
        view: the peers.
        failure_domain: failure domain of this host.
        transport: messages to peers.
        follower: reads the store unless a reader does so for this host.
        servers: backend servers of this host.
        clock: time service.
    """

    def __init__(
        self,
        view: FleetView,
        failure_domain: FailureDomain,
        transport: Transport,
        follower: StateFollower,
        servers: ServerTable,
        clock: Clock,
    ) -> None:
        self._view = view
        self._failure_domain = failure_domain
        self._transport = transport
        self._follower = follower
        self._servers = servers
        self._clock = clock
        self._task: asyncio.Task[None] | None = None
        self._mark: StateMark | None = None
        # Number of the last gap that a reader has named.
        self._heard_gap: tuple[Incarnation, int] | None = None
        # Engines that take streams, how often one has begun or ceased to, and that number as the
        # reader has last named it.
        self._engines: frozenset[EngineKey] = frozenset()
        self._engine_changes = 0
        self._heard_changes: int | None = None
        self.reader: HostId | None = None
        self._changed = asyncio.Event()
        servers.on_change(self._note_change)
        follower.on_accept(self._note_change)
        follower.on_silence(self._wake_neighbours)
        transport.register(SharedStateRequest, self._answer)

    def start(self) -> None:
        """Starts looking for a reader."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Stops following a reader."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def choose_reader(self, now_ms: float) -> HostId | None:
        """Returns the host that reads for this one; None if this host reads itself."""
        if self._follower.index is None:
            return None
        neighbours = [
            (host, hello)
            for host, hello in self._view.live(now_ms).items()
            if hello.failure_domain == self._failure_domain
        ]
        if len(neighbours) + 1 < MIN_DOMAIN_HOSTS:
            return None
        own = self._view.identity.host
        readers = [host for host, hello in neighbours if hello.store_reachable and host < own]
        return min(readers, default=None)

    async def _run(self) -> None:
        while True:
            try:
                reader = self.choose_reader(self._clock.now_ms())
                if reader is not None and await self._follow(reader):
                    self._note_reader(reader)
                    continue
            except Exception as error:  # This host would otherwise never read the store again.
                log_warning(Event.TASK_FAILED, task="follow the reader", error=repr(error))
            self._note_reader(None)
            await self._clock.sleep_ms(RETRY_PERIOD_MS)

    def _note_reader(self, reader: HostId | None) -> None:
        if reader is None:
            self._mark = None
            self._follower.resume()
        if reader != self.reader:
            log_info(Event.STORE_READER_CHANGED, reader=reader or "", before=self.reader or "")
        self.reader = reader

    async def _follow(self, reader: HostId) -> bool:
        """Waits for a change at the reader; returns False if this host has to read itself."""
        if reader != self.reader:
            self._mark = None
        asked_ms = self._clock.now_ms()
        wait_ms = self._follower.confirmation.period_ms(ANSWER_AFTER_MS)
        try:
            reply = await self._transport.request(
                reader,
                SharedStateRequest(self._mark, int(wait_ms)),
                wait_ms + ANSWER_SLACK_MS,
            )
        except PeerError as error:
            log_info(Event.PEER_STATE_FAILED, peer=reader, error=error.message)
            return False
        if not isinstance(reply, SharedState) or not reply.store_reachable:
            return False
        if reply.config_age_ms is None and self._follower.confirmation.bounded:
            # A reader of an earlier build does not tell how recent the configuration is.
            return False
        if self._follower.is_ahead_of(reply.era, reply.revision):
            # The reader was paused or has just started; what this host knows is newer.
            return False
        before_ms, changes = self._follower.left_after_ms(), self._engine_changes
        if reply.mark != self._mark:
            if reply.table is not None and not self._follower.accept(reply.table, reader):
                return False
            if reply.table is not None and self._follower.differs_from(reply.table):
                # A restored store has given out the version again; its own answer shows that.
                return False
            servers = usable_servers(reply.servers, reader)
            self._servers.replace_all(
                servers, self._clock.now_ms(), after_outage=False, missing=set(reply.missing)
            )
        if self._has_unseen(reply, self._engine_changes - changes):
            self._follower.gaps.note(before_ms, self._clock.now_ms())
        self._mark, self._heard_changes = reply.mark, reply.engine_changes
        age_ms = DEFAULT_AGE_MS if reply.age_ms is None else reply.age_ms
        self._follower.suspend(reply.era, reply.revision, asked_ms - age_ms)
        self._follower.note_reader()
        self._follower.confirmation.note_peer(
            asked_ms,
            reply.config_age_ms,
            reply.mark.config_version,
            self._follower.version,
            same_era=reply.era == self._follower.era,
        )
        self._note_gap(reply, asked_ms, before_ms)
        return True

    def _has_unseen(self, reply: SharedState, seen: int) -> bool:
        """Returns whether engines have come and gone since the last answer of the reader.

        Args:
            reply: the next answer.
            seen: changes that its list has made here.
        """
        if self._mark is None or self._heard_changes is None or reply.engine_changes is None:
            return False
        if reply.mark.incarnation != self._mark.incarnation:
            return True
        made = reply.engine_changes - self._heard_changes
        # A single change can't be undone by another one; this host has heard of it elsewhere.
        return made > max(1, seen)

    def _note_gap(self, reply: SharedState, asked_ms: float, before_ms: float) -> None:
        """Records a gap of the reader, which it goes on naming, once.

        Args:
            reply: its answer.
            asked_ms: when it was asked.
            before_ms: time up to which all changes were known before the answer.
        """
        if reply.gap_ages_ms is None:
            return
        since_ms = asked_ms - reply.gap_ages_ms[0]
        until_ms = self._clock.now_ms() - reply.gap_ages_ms[1]
        if reply.gap_number is None:
            # A reader of an earlier build. The begin may be estimated too early.
            last_gap = self._follower.gaps.last
            if last_gap is None or since_ms > last_gap[1]:
                self._follower.gaps.note(since_ms, until_ms)
            return
        heard, self._heard_gap = self._heard_gap, (reply.mark.incarnation, reply.gap_number)
        if heard == self._heard_gap:
            return
        if heard is not None and heard != (reply.mark.incarnation, reply.gap_number - 1):
            # Gaps before the named one have not been named.
            since_ms = min(since_ms, before_ms)
        self._follower.gaps.note(since_ms, until_ms)

    async def _answer(self, sender: HostIdentity, message: SharedStateRequest) -> SharedState:
        arrived_ms = self._clock.now_ms()
        if self._present_mark() == message.mark and self._knows_all():
            try:
                async with asyncio.timeout(min(message.wait_ms, ANSWER_AFTER_MS) / 1000.0):
                    await self._changed.wait()
            except TimeoutError:
                # Answering without a change shows that this host is alive.
                pass
        mark = self._present_mark()
        index = self._follower.index
        changed = mark != message.mark
        return SharedState(
            mark,
            self._follower.revision,
            self._knows_all(),
            index.table if changed and index is not None else None,
            self._servers.all_servers() if changed else (),
            self._follower.era,
            self._follower.age_ms(),
            self._gap_ages_ms(),
            self._servers.missing_servers() if changed else (),
            self._follower.gaps.number,
            self._engine_changes,
            self._follower.confirmation.age_to_send(arrived_ms, mark.config_version),
        )

    def _knows_all(self) -> bool:
        """Returns whether this host misses no changes as far as it can tell."""
        follower = self._follower
        return follower.reachable and follower.watching and follower.index is not None

    def _gap_ages_ms(self) -> tuple[float, float] | None:
        if self._follower.gaps.last is None:
            return None
        since_ms, until_ms = self._follower.gaps.last
        now_ms = self._clock.now_ms()
        return now_ms - since_ms, now_ms - until_ms

    def _note_change(self) -> None:
        engines = frozenset(map(engine_key, self._servers.stream_engines()))
        self._engine_changes += len(engines ^ self._engines)
        self._engines = engines
        self._wake_neighbours()

    def _wake_neighbours(self) -> None:
        """Answers the neighbours that wait for a change."""
        self._changed.set()
        self._changed = asyncio.Event()

    def _present_mark(self) -> StateMark:
        return StateMark(
            self._view.identity.incarnation, self._servers.generation, self._follower.version
        )
