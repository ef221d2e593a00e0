"""Published backend servers, with this host's load on them and their failures."""

from __future__ import annotations

import itertools
import math
import random
from collections import OrderedDict
from collections.abc import Callable, Container, Iterable

import msgspec

from medlarvale.forwarding.backlog import PrefillBacklog
from medlarvale.forwarding.isolation import IsolationDetector
from medlarvale.forwarding.messages import DEFAULT_HEARTBEAT_MS, EngineStage, Server, ServerState
from medlarvale.forwarding.outdated_entries import REMEMBERED_SERVERS, OutdatedEntries
from medlarvale.forwarding.server_limits import ServerLimits
from medlarvale.forwarding.server_waits import ServerWaits
from medlarvale.ids import FailureDomain, HostId, ServerId, ServiceName, SoftwareVersion
from medlarvale.logs import Event, log_info, log_warning

# Name of a host without peers.
UNNAMED_HOST = HostId("")
# Live backend servers are listed again within about 2 s of the store's recovery.
MISSING_GRACE_MS = 2_200.0
# The entry of a server lapses after three silent heartbeats; one more covers a late check.
LAPSED_HEARTBEATS = 4
# Added to the load of servers in other failure domains, because traffic to them costs more.
REMOTE_PENALTY = 0.2
# The first pause equals the retransmission time of one lost packet, about 200 ms. A server that
# stays unreachable is retried every few seconds.
FIRST_PAUSE_MS = 200.0
MAX_PAUSE_MS = 3_000.0
# A single failure may be a lost packet.
FAILURES_UNTIL_SUSPECT = 2
# Weight of the newest answer in the smoothed share of failed answers.
ERROR_SMOOTHING = 0.1
# Weight of the newest stream in the smoothed gap between events of an engine.
GAP_SMOOTHING = 0.2
# Load that is added per unit by which the error share exceeds that of the best server.
ERROR_PENALTY = 3.0
# Shortest time between two checks of a server that is asked for by requests that wait for it.
CHECK_INTERVAL_MS = 400.0


_instances = itertools.count()


class ServerLoad:
    """One backend server, with this host's load on it and its failures.

    Attributes:
        server: the published entry.
        instance: number that changes when it starts again, is listed again or changes its stage.
        in_flight: requests of this host that run there.
        tokens: KV cache that this host's requests use there, in tokens.
        error_share: smoothed share of answers that are failures.
        event_gap_ms: smoothed gap between two events of its streams; 0 before the first stream.
        backlog: estimated queue of a prefill engine.
        paused_until_ms: time before which it gets no new work after a failure or rejection.
        failures: failures since the last success.
        refusals: pauses since the last success because it asked for no requests for a time.
        suspect: whether it failed and has not been reached since; it gets new work only if no
            healthy server is left.
        check_due: whether to check that it accepts connections, because a request waits for it.
        unreachable_ms: when a connection could not be established last.
        contact_ms: when it was last heard of, or checked.
        missing_since_ms: when its entry was first found missing; None while it is listed.
    """

    def __init__(self, server: Server) -> None:
        self.server = server
        self.instance = next(_instances)
        self.in_flight = 0
        self.tokens = 0
        self.error_share = 0.0
        self.missing_since_ms: float | None = None
        self.paused_until_ms = 0.0
        self.failures = 0
        self.refusals = 0
        self.suspect = False
        self.check_due = False
        self.unreachable_ms = -math.inf
        self.contact_ms = -math.inf
        self.event_gap_ms = 0.0
        self.backlog = PrefillBacklog()

    def note_event_gap(self, pause_ms: float) -> None:
        """Updates the smoothed gap between two events."""
        if not self.event_gap_ms:
            self.event_gap_ms = pause_ms
        self.event_gap_ms += GAP_SMOOTHING * (pause_ms - self.event_gap_ms)

    def pause_after_failure(self, now_ms: float) -> float:
        """Pauses new work for the server; returns the length of the pause in ms."""
        self.failures += 1
        return self._pause(self.failures, now_ms)

    def pause_after_refusal(self, now_ms: float) -> None:
        """Pauses new work for a server that refused the first requests after the last pause."""
        if self.paused_until_ms <= now_ms:
            self.refusals += 1
            self._pause(self.refusals, now_ms)

    def _pause(self, times: int, now_ms: float) -> float:
        pause_ms = min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (times - 1))
        self.paused_until_ms = max(self.paused_until_ms, now_ms + pause_ms)
        return pause_ms

    def note_answer(self, failed: bool) -> None:
        """Updates the smoothed share of failures."""
        self.error_share += ERROR_SMOOTHING * (float(failed) - self.error_share)


def _serves(server: Server, stage: EngineStage | None) -> bool:
    """Returns whether a server serves a stage; one without a stage answers whole requests."""
    return server.stage is stage or (server.stage is None and stage is EngineStage.DECODE)


def _is_restarted(known: Server, entry: Server) -> bool:
    """Returns whether an entry is from another incarnation of a server than the known one."""
    if entry.born_ms and known.born_ms != entry.born_ms:
        return True
    return known.software != entry.software


def can_begin_streams(server: Server) -> bool:
    """Returns whether new streams may be sent to a server."""
    return server.state is ServerState.READY and _serves(server, EngineStage.DECODE)


class ServerTable:
    """All backend servers by id.

    Args:
        failure_domain: failure domain of this host.
        rng: breaks ties.
        host: this host.
        heartbeat_ms: time between two heartbeats of a backend server.
    """

    def __init__(
        self,
        failure_domain: FailureDomain,
        rng: random.Random,
        host: HostId = UNNAMED_HOST,
        heartbeat_ms: float = DEFAULT_HEARTBEAT_MS,
    ) -> None:
        self._failure_domain = failure_domain
        self._rng = rng
        self._loads: dict[ServerId, ServerLoad] = {}
        self._changing: frozenset[ServerId] = frozenset()
        # Cleared by each change of the list.
        self._stream_versions: dict[ServiceName, frozenset[SoftwareVersion]] = {}
        self._outdated = OutdatedEntries(LAPSED_HEARTBEATS * heartbeat_ms)
        # Incarnations (id and start) that have said that they are leaving, the oldest first.
        self._leaving: OrderedDict[tuple[ServerId, int], None] = OrderedDict()
        self.isolation = IsolationDetector()
        self.limits = ServerLimits(host, failure_domain)
        self.waits = ServerWaits()
        # Number of changes of the list, without changes of ``cold_left_ms``.
        self.generation = 0
        self._change_callbacks: list[Callable[[], None]] = []
        self._failure_callbacks: list[Callable[[float], None]] = []

    def __len__(self) -> int:
        return len(self._loads)

    def on_change(self, callback: Callable[[], None]) -> None:
        """Registers a callback for each change of the list."""
        self._change_callbacks.append(callback)

    def on_failure(self, callback: Callable[[float], None]) -> None:
        """Registers a callback for the time in ms at which each server becomes suspect."""
        self._failure_callbacks.append(callback)

    def _note_change(self) -> None:
        self.generation += 1
        self._stream_versions.clear()
        for callback in self._change_callbacks:
            callback()

    def get(self, server: ServerId) -> ServerLoad | None:
        """Returns a listed server."""
        return self._loads.get(server)

    def upsert(self, server: Server) -> None:
        """Adds or updates a server; a new incarnation starts without load and failures.

        An entry that is older than what is known is held back; see ``OutdatedEntries``.
        """
        self._take(server, None)

    def _take(self, server: Server, missing_since_ms: float | None) -> None:
        """Adds or updates a server.

        Args:
            server: its entry.
            missing_since_ms: when its entry was first found missing; None while it is listed.
        """
        listed = server.server in self._loads
        if self._outdated.admit(server, listed=listed):
            self._use(server)
        self._note_missing(server.server, missing_since_ms)

    def _note_missing(self, server: ServerId, missing_since_ms: float | None) -> None:
        """Records since when an entry is missing, which is a change of the list for neighbours."""
        load = self._loads.get(server)
        if load is None:
            return
        changed = (load.missing_since_ms is None) is not (missing_since_ms is None)
        load.missing_since_ms = missing_since_ms
        if changed:
            self._note_change()

    def _missing_since_ms(self, server: ServerId) -> float | None:
        load = self._loads.get(server)
        return load.missing_since_ms if load is not None else None

    def note_leaving(self, server: Server) -> None:
        """Records that a server has said itself that it is leaving, whatever its entry says.

        Args:
            server: its entry when it was called.
        """
        incarnation = (server.server, server.born_ms)
        if incarnation in self._leaving:
            return
        log_info(Event.SERVER_LEAVING, server=server.server)
        self._leaving[incarnation] = None
        if len(self._leaving) > REMEMBERED_SERVERS:
            self._leaving.popitem(last=False)
        known = self._loads.get(server.server)
        if known is not None and known.server.born_ms == server.born_ms:
            self._use(known.server)

    def note_wait(self, server: Server, asked_ms: float, now_ms: float) -> None:
        """Records that a server has turned a request away and wants no requests for a time.

        Each refused request may cost a retry, so it is also paused, longer each time that it does
        so again.

        Args:
            server: its entry when it was called.
            asked_ms: the time, which may be infinite.
            now_ms: monotonic time.
        """
        self.waits.note(server, asked_ms, now_ms)
        known = self._loads.get(server.server)
        if known is not None and known.server.born_ms == server.born_ms:
            known.pause_after_refusal(now_ms)

    def _use(self, server: Server) -> None:
        """Takes an entry as the newest of its server."""
        if (server.server, server.born_ms) in self._leaving:
            server = msgspec.structs.replace(server, state=ServerState.DRAINING)
        known = self._loads.get(server.server)
        if known is not None and not server.software:
            # The list of a peer of an earlier build does not name versions.
            server = msgspec.structs.replace(server, software=known.server.software)
        if known is None or _is_restarted(known.server, server):
            self._loads[server.server] = ServerLoad(server)
            self.limits.note_listed(server)
            self._note_change()
            log_info(
                Event.SERVER_LEARNED,
                server=server.server,
                service=server.service,
                state=server.state.value,
                software=server.software,
            )
            return
        if known.server.state is not server.state or known.server.stage is not server.stage:
            log_info(
                Event.SERVER_CHANGED,
                server=server.server,
                state=server.state.value,
                stage=server.stage.value if server.stage else "",
            )
        if known.server.stage is not server.stage:
            known.instance = next(_instances)
        changed = server != msgspec.structs.replace(
            known.server, cold_left_ms=server.cold_left_ms, heartbeats=server.heartbeats
        )
        known.server = server
        if changed:
            self._note_change()

    def remove(self, server: ServerId) -> None:
        """Removes a server whose entry was deleted."""
        self._outdated.forget(server)
        # Another incarnation can't be told apart without its start.
        self._leaving.pop((server, 0), None)
        self.waits.forget_unknown_start(server)
        removed = self._loads.pop(server, None)
        if removed is not None:
            self.limits.note_unlisted(removed.server)
            self._note_change()
            log_info(Event.SERVER_REMOVED, server=server)

    def replace_all(
        self,
        servers: Iterable[Server],
        now_ms: float,
        *,
        after_outage: bool,
        missing: Container[ServerId] = (),
    ) -> None:
        """Replaces the list of servers.

        Args:
            servers: all published servers.
            now_ms: monotonic time.
            after_outage: whether entries may have expired while the store was unavailable; servers
                that are not listed are kept until ``expire_missing`` removes them.
            missing: servers among them that the store does not list, and that are only kept until
                ``expire_missing`` removes them.
        """
        listed = set()
        for server in servers:
            listed.add(server.server)
            since_ms = None
            if server.server in missing:
                since_ms = self._missing_since_ms(server.server)
                since_ms = now_ms if since_ms is None else since_ms
            self._take(server, since_ms)
        self._outdated.keep_only(listed)
        for unlisted in [known for known in self._loads if known not in listed]:
            if not after_outage:
                self.remove(unlisted)
            elif self._missing_since_ms(unlisted) is None:
                self._note_missing(unlisted, now_ms)

    def expire_missing(self, now_ms: float) -> None:
        """Removes servers that were not listed again in time after an outage of the store.

        Entries that were held back, and have not lapsed in time either, are used.
        """
        for valid in self._outdated.take_valid(now_ms):
            self._use(valid)
        for server, load in list(self._loads.items()):
            missing_ms = load.missing_since_ms
            if missing_ms is not None and now_ms - missing_ms > MISSING_GRACE_MS:
                self.remove(server)

    def candidates(
        self,
        service: ServiceName,
        now_ms: float,
        *,
        stage: EngineStage | None = None,
        excluded: Iterable[ServerId] = (),
        software: SoftwareVersion | None = None,
        healthy_only: bool = False,
    ) -> list[ServerLoad]:
        """Returns the servers that may get new work.

        Args:
            service: their service.
            now_ms: monotonic time.
            stage: stage that they must serve.
            excluded: servers to leave out.
            software: version of the software that they must run; None for any.
            healthy_only: whether to return an empty list rather than paused or suspect servers.
        """
        listed = [
            load
            for load in self._listed(service, stage, excluded)
            if software in (None, load.server.software)
            and not self.limits.wait_ms(load.server, now_ms)
            and not self.waits.left_ms(load.server, now_ms)
        ]
        unpaused = [load for load in listed if load.paused_until_ms <= now_ms]
        healthy = [load for load in unpaused if not load.suspect]
        return healthy if healthy or healthy_only else unpaused or listed

    def _listed(
        self, service: ServiceName, stage: EngineStage | None, excluded: Iterable[ServerId]
    ) -> list[ServerLoad]:
        excluded = set(excluded)
        return [
            load
            for load in self._loads.values()
            if load.server.service == service
            and load.server.state is ServerState.READY
            and _serves(load.server, stage)
            and load.server.server not in self._changing
            and load.server.server not in excluded
        ]

    def admission_wait_ms(
        self, service: ServiceName, now_ms: float, excluded: Iterable[ServerId] = ()
    ) -> float:
        """Returns the time until some server of a plain service may get a request.

        Neither its limit nor a time for which it wants no requests stands against it then. Infinite
        if there is no server, or none whose limit this host shares.
        """
        waits_ms = (
            max(self.limits.wait_ms(load.server, now_ms), self.waits.left_ms(load.server, now_ms))
            for load in self._listed(service, None, excluded)
        )
        return min(waits_ms, default=math.inf)

    def asked_wait_ms(
        self,
        service: ServiceName,
        now_ms: float,
        *,
        stage: EngineStage | None = None,
        software: SoftwareVersion | None = None,
    ) -> float:
        """Returns the shortest time for which no server of a service wants requests.

        0 if some server takes them, or none is listed.
        """
        if not self.waits:
            return 0.0
        waits_ms = (
            self.waits.left_ms(load.server, now_ms)
            for load in self._listed(service, stage, ())
            if software in (None, load.server.software)
        )
        return min(waits_ms, default=0.0)

    def due_for_recheck(self, now_ms: float) -> list[ServerLoad]:
        """Returns the suspect servers whose pause is over, and those that a request waits for."""
        return [
            load
            for load in self._loads.values()
            if load.check_due or (load.suspect and load.paused_until_ms <= now_ms)
        ]

    def request_check(self, load: ServerLoad, now_ms: float) -> None:
        """Asks for a check of a server that a request has been waiting for.

        Unless it fails, the server goes on getting work.
        """
        if not load.suspect and now_ms - load.contact_ms >= CHECK_INTERVAL_MS:
            load.check_due = True

    def check_again(self, load: ServerLoad) -> None:
        """Asks for a check of a server, also before its pause is over or if it was heard of."""
        load.check_due = True

    def note_reachable(self, load: ServerLoad, now_ms: float) -> None:
        """Marks a server as healthy; its next failure still causes a longer pause."""
        was_suspect, load.suspect = load.suspect, False
        load.contact_ms = now_ms
        if was_suspect:
            load.paused_until_ms = min(load.paused_until_ms, now_ms)
            self._recheck_all(load.server.service, now_ms)

    def _recheck_all(self, service: ServiceName, now_ms: float) -> None:
        """Ends the pauses of the suspect servers of a service: a partition may have healed."""
        for load in self.of_service(service):
            if load.suspect:
                load.paused_until_ms = min(load.paused_until_ms, now_ms)

    def set_changing(self, servers: Iterable[ServerId]) -> None:
        """Sets the engines that are about to change their stage; they get no new work.

        Such an engine still grants holds, but rejects the requests that use them.
        """
        changing = frozenset(servers)
        if changing != self._changing:
            self._changing = changing
            self._stream_versions.clear()

    def is_remote(self, load: ServerLoad) -> bool:
        """Returns whether a server is in another failure domain."""
        return load.server.failure_domain != self._failure_domain

    def takes_work(self, load: ServerLoad) -> bool:
        """Returns whether a server is still listed and ready."""
        known = self._loads.get(load.server.server)
        return known is load and load.server.state is ServerState.READY

    def of_service(self, service: ServiceName) -> list[ServerLoad]:
        """Returns all listed servers of a service."""
        return [load for load in self._loads.values() if load.server.service == service]

    def all_servers(self) -> tuple[Server, ...]:
        """Returns the entries of all listed servers."""
        return tuple(load.server for load in self._loads.values())

    def missing_servers(self) -> tuple[ServerId, ...]:
        """Returns the servers that are kept although the store does not list them."""
        return tuple(
            server for server, load in self._loads.items() if load.missing_since_ms is not None
        )

    def stream_engines(self) -> list[Server]:
        """Returns the servers of all services that new streams may be sent to."""
        return [load.server for load in self._loads.values() if can_begin_streams(load.server)]

    def decode_engines(self, service: ServiceName) -> list[Server]:
        """Returns the ready servers of a service that can run streams, also failing ones."""
        return [load.server for load in self._listed(service, EngineStage.DECODE, ())]

    def stream_versions(self, service: ServiceName) -> frozenset[SoftwareVersion]:
        """Returns the software versions of the servers that can run streams of a service."""
        versions = self._stream_versions.get(service)
        if versions is None:
            versions = frozenset(engine.software for engine in self.decode_engines(service))
            self._stream_versions[service] = versions
        return versions

    def service_size(self, service: ServiceName) -> int:
        """Returns the number of listed servers of a service."""
        return len(self.of_service(service))

    def order_by_load(self, candidates: list[ServerLoad]) -> list[ServerLoad]:
        """Returns the candidates sorted by load, the least loaded first."""
        best_error = min((load.error_share for load in candidates), default=0.0)

        def cost(load: ServerLoad) -> tuple[float, float]:
            share = load.in_flight / max(1, load.server.slots)
            if self.is_remote(load):
                share += REMOTE_PENALTY
            share += ERROR_PENALTY * (load.error_share - best_error)
            return share, self._rng.random()

        return sorted(candidates, key=cost)

    def note_success(self, load: ServerLoad, now_ms: float) -> None:
        """Resets the failures of a server."""
        load.failures = 0
        load.refusals = 0
        load.contact_ms = now_ms
        load.suspect = False
        if self.is_remote(load):
            self.isolation.note_contact(now_ms)

    def has_local_server(self, service: ServiceName, stage: EngineStage | None) -> bool:
        """Returns whether a healthy server of a service is in this failure domain."""
        return any(
            load.server.failure_domain == self._failure_domain
            and load.server.state is ServerState.READY
            and _serves(load.server, stage)
            and load.failures < FAILURES_UNTIL_SUSPECT
            for load in self.of_service(service)
        )

    def note_unreachable(self, load: ServerLoad, now_ms: float, reason: str) -> None:
        """Pauses a server to which no connection could be established."""
        load.unreachable_ms = now_ms
        self.note_failure(load, now_ms, reason)

    def note_failure(self, load: ServerLoad, now_ms: float, reason: str) -> None:
        """Pauses a server that was unreachable or lost an answer, longer with each failure."""
        if self.is_remote(load):
            self.isolation.note_failure(load.server.server)
        if not load.suspect:
            load.suspect = True
            for callback in self._failure_callbacks:
                callback(now_ms)
        paused = load.paused_until_ms > now_ms
        pause_ms = load.pause_after_failure(now_ms)
        if paused:
            # If all servers of a service are paused, requests still try them, many times a second.
            return
        log_warning(
            Event.SERVER_PAUSED,
            server=load.server.server,
            reason=reason,
            failures=load.failures,
            pause_ms=int(pause_ms),
        )
