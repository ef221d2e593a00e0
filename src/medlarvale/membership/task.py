"""Task of the membership view: exchanges heartbeats and reads the host list."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from medlarvale.clock import Clock, Subscription
from medlarvale.ids import ConfigVersion, HostId, HostIdentity, ServerId
from medlarvale.logs import Event, log_info, log_warning
from medlarvale.membership.errors import HostListError
from medlarvale.membership.messages import Heartbeat, HostList, HostListRequest, HostState
from medlarvale.membership.servers import ServerDirectory
from medlarvale.membership.source import HostListSource
from medlarvale.membership.view import (
    CLOCK_BOUND_MS,
    HEARTBEAT_PERIOD_MS,
    SUSPECT_AFTER_MS,
    MembershipView,
    PeerState,
)
from medlarvale.peers.errors import PeerError
from medlarvale.peers.transport import Transport

LIST_READ_PERIOD_MS = 500
HEARTBEAT_TIMEOUT_MS = 500
# This host sends heartbeats again to a peer that sent none for one and a half periods.
RECENT_HEARTBEAT_MS = 1.5 * HEARTBEAT_PERIOD_MS
HOST_LIST_TOPIC = "hosts"


class PeerAddressRegistry(Protocol):
    """The part of the transport that stores the peers' addresses."""

    def set_peers(self, addresses: Mapping[HostId, str]) -> None:
        """Replaces all addresses."""


class MembershipTask:
    """Heartbeats and host list of one host.

    Args:
        view: decides on the states of peers.
        directory: backend servers, from the list and from the servers' own reports.
        transport: sends messages to peers.
        addresses: receives the peers' addresses.
        source: reads the platform's list.
        clock: time service.
        config_version: returns the configuration version in force, for heartbeats.
    """

    def __init__(
        self,
        view: MembershipView,
        directory: ServerDirectory,
        transport: Transport,
        addresses: PeerAddressRegistry,
        source: HostListSource,
        clock: Clock,
        config_version: Callable[[], ConfigVersion],
    ) -> None:
        self.view = view
        self.directory = directory
        self._transport = transport
        self._addresses = addresses
        self._source = source
        self._clock = clock
        self._config_version = config_version
        self._leaving_servers_source: Callable[[], Iterable[ServerId]] = tuple
        self._heartbeat_numbers = itertools.count(1)
        self._config_reach_source: Callable[[], bool] = lambda: True
        self._list_callbacks: list[Callable[[HostList], None]] = []
        self._heartbeat_callbacks: list[Callable[[HostIdentity, Heartbeat], None]] = []
        self._tick_callbacks: list[Callable[[], None]] = []
        self._states: dict[HostId, PeerState] = {}
        self._subscriptions: list[Subscription] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._reading_list = False
        self._heartbeat_received_ms: dict[HostId, float] = {}
        transport.register(Heartbeat, self._answer_heartbeat)
        transport.register(HostListRequest, self._answer_list_request)

    def on_list(self, callback: Callable[[HostList], None]) -> None:
        """Registers a callback for each newer host list."""
        self._list_callbacks.append(callback)

    def on_heartbeat(self, callback: Callable[[HostIdentity, Heartbeat], None]) -> None:
        """Registers a callback for each heartbeat of a peer."""
        self._heartbeat_callbacks.append(callback)

    def on_tick(self, callback: Callable[[], None]) -> None:
        """Registers a callback for each heartbeat period, called after peer states are updated."""
        self._tick_callbacks.append(callback)

    def set_leaving_servers_source(self, source: Callable[[], Iterable[ServerId]]) -> None:
        """Sets the source of the servers that reported to this host that they are leaving."""
        self._leaving_servers_source = source

    def set_config_reach_source(self, source: Callable[[], bool]) -> None:
        """Sets the source of whether this host reaches the configuration service."""
        self._config_reach_source = source

    def start(self) -> None:
        """Starts the timers."""
        self._subscriptions = [
            self._clock.every_ms(HEARTBEAT_PERIOD_MS, self.send_heartbeats),
            self._clock.every_ms(LIST_READ_PERIOD_MS, self.read_list),
        ]
        self.read_list()

    async def close(self) -> None:
        """Cancels the timers and all running tasks."""
        for subscription in self._subscriptions:
            subscription.cancel()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def live_hosts(self) -> list[HostId]:
        """Returns the hosts that may be assigned responsibility now."""
        return self.view.live_hosts(self._clock.now_ms())

    def set_state(self, state: HostState) -> None:
        """Changes this host's own state and notifies the peers at once."""
        self.view.state = state
        self.send_heartbeats(to_all=True)

    def send_heartbeats(self, *, to_all: bool = False) -> None:
        """Sends a heartbeat to each peer without waiting for the replies.

        A reply carries the same data as a heartbeat, so of two connected hosts only the one whose
        name sorts first sends heartbeats.

        Args:
            to_all: also send to peers that send heartbeats to this host.
        """
        now_ms = self._clock.now_ms()
        self.view.tick(now_ms)
        heartbeat = self._heartbeat()
        for host in self.view.peer_addresses():
            if to_all or not self._recently_received_from(host, now_ms):
                self._spawn(self._exchange(host, heartbeat))
        self._log_state_changes(now_ms)
        for callback in self._tick_callbacks:
            callback()
        peer_ahead = self.view.peer_with_newer_list(now_ms)
        if peer_ahead is not None:
            self._spawn(self._fetch_list(peer_ahead))

    def _recently_received_from(self, host: HostId, now_ms: float) -> bool:
        received_ms = self._heartbeat_received_ms.get(host)
        if host > self.view.identity.host or received_ms is None:
            return False
        return now_ms - received_ms < RECENT_HEARTBEAT_MS

    def read_list(self) -> None:
        """Reads the platform's list if this host is a reader of it and no read is in progress."""
        if self._reading_list or not self.view.reads_platform(
            HOST_LIST_TOPIC, self._clock.now_ms()
        ):
            return
        self._reading_list = True
        self._spawn(self._read_source())

    async def _read_source(self) -> None:
        try:
            self._learn_list(await self._source.read())
        except HostListError as error:
            log_warning(Event.HOST_LIST_FAILED, reason=error.message)
        finally:
            self._reading_list = False

    async def _fetch_list(self, peer: HostId) -> None:
        try:
            reply = await self._transport.request(peer, HostListRequest(), HEARTBEAT_TIMEOUT_MS)
        except PeerError:
            return
        if isinstance(reply, HostList):
            self._learn_list(reply)

    def _learn_list(self, host_list: HostList) -> None:
        if not self.view.learn_list(host_list):
            return
        log_info(Event.HOST_LIST_ACCEPTED, version=host_list.version)
        self._addresses.set_peers(self.view.peer_addresses())
        self.directory.replace(host_list.backend_servers)
        for callback in self._list_callbacks:
            callback(host_list)

    async def _exchange(self, host: HostId, heartbeat: Heartbeat) -> None:
        sent_ms = self._clock.now_ms()
        try:
            reply = await self._transport.request(host, heartbeat, HEARTBEAT_TIMEOUT_MS)
        except PeerError:
            return
        # The reply proves that the peer was live at the time of sending, not when it arrives late.
        late = self._clock.now_ms() - sent_ms >= SUSPECT_AFTER_MS
        if isinstance(reply, Heartbeat) and not late:
            self._learn_heartbeat(HostIdentity(host, reply.incarnation), reply)

    def _learn_heartbeat(self, sender: HostIdentity, heartbeat: Heartbeat) -> None:
        wall_ms = self._clock.wall_ms()
        self.view.learn_heartbeat(sender, heartbeat, self._clock.now_ms(), wall_ms)
        # A late heartbeat may list a server that has returned to service since.
        if wall_ms - heartbeat.sent_wall_ms <= SUSPECT_AFTER_MS + CLOCK_BOUND_MS:
            self.directory.mark_leaving_by_peer(heartbeat.leaving_servers)
        for callback in self._heartbeat_callbacks:
            callback(sender, heartbeat)

    async def _answer_heartbeat(self, sender: HostIdentity, heartbeat: Heartbeat) -> Heartbeat:
        self._heartbeat_received_ms[sender.host] = self._clock.now_ms()
        self._learn_heartbeat(sender, heartbeat)
        return self._heartbeat()

    async def _answer_list_request(
        self, sender: HostIdentity, request: HostListRequest
    ) -> HostList:
        if self.view.host_list is None:
            raise HostListError("no host list has been received yet")
        return self.view.host_list

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(
            self.view.identity.incarnation,
            self.view.state,
            self._config_version(),
            self.view.list_version,
            list(self._leaving_servers_source()),
            self._config_reach_source(),
            next(self._heartbeat_numbers),
            self._clock.wall_ms(),
        )

    def _log_state_changes(self, now_ms: float) -> None:
        for host in self.view.peers():
            state = self.view.peer_state(host, now_ms)
            if self._states.get(host) is not state:
                self._states[host] = state
                log_info(Event.PEER_STATE_CHANGED, peer=host, state=state.value)

    def _spawn(self, coroutine) -> None:  # type: ignore[no-untyped-def]
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
