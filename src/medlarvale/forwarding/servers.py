"""Backend servers as published, with the load that this host puts on them and their failures."""

from __future__ import annotations

import random
from collections.abc import Iterable

from medlarvale.forwarding.backlog import PrefillBacklog
from medlarvale.forwarding.isolation import IsolationDetector
from medlarvale.forwarding.messages import EngineStage, Server, ServerState
from medlarvale.ids import FailureDomain, ServerId, ServiceName
from medlarvale.logs import Event, log_info, log_warning

# A backend server that is alive is listed again within about 2 s of the store's return.
MISSING_GRACE_MS = 2_200.0
# Load that a server of another failure domain must have less to be preferred: its bytes cost more.
REMOTE_PENALTY = 0.2
# One lost packet delays a call by a retransmission time, about 200 ms, and means little; a server
# that is gone is tried again every few seconds.
FIRST_PAUSE_MS = 200.0
MAX_PAUSE_MS = 3_000.0
# One failure may be a lost packet.
FAILURES_TO_DOUBT = 2
# Weight of the newest answer in the share of failed answers.
ERROR_SMOOTHING = 0.1
# Weight of the newest stream in the pause between events that an engine is known for.
PAUSE_SMOOTHING = 0.2
# Load that a share of failed answers of 1 above the best server's counts as.
ERROR_PENALTY = 3.0


class ServerLoad:
    """One backend server and what this host knows of it.

    Attributes:
        in_flight: requests of this host that run there.
        tokens: KV cache that this host's requests take there, in tokens.
        error_share: smoothed share of answers that are failures.
        event_pause_ms: usual pause between two events of its streams; 0 before the first.
        backlog: queue of a prefill engine.
        paused_until_ms: time before which it gets no new work, after it failed or
            rejected some.
        failures: failures since the last success.
        doubted: whether it failed and has not been reached since; it gets new work only if no other
            server is left.
        missing_since_ms: when its entry was first found missing; None while it is listed.
    """

    def __init__(self, server: Server) -> None:
        self.server = server
        self.in_flight = 0
        self.tokens = 0
        self.error_share = 0.0
        self.missing_since_ms: float | None = None
        self.paused_until_ms = 0.0
        self.failures = 0
        self.doubted = False
        self.event_pause_ms = 0.0
        self.backlog = PrefillBacklog()

    def note_event_pause(self, pause_ms: float) -> None:
        """Learns the usual pause between two events of a stream."""
        if not self.event_pause_ms:
            self.event_pause_ms = pause_ms
        self.event_pause_ms += PAUSE_SMOOTHING * (pause_ms - self.event_pause_ms)

    def pause_after_failure(self, now_ms: float) -> float:
        """Gives the server no new work for a time, which is returned in ms."""
        self.failures += 1
        pause_ms = min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (self.failures - 1))
        self.paused_until_ms = max(self.paused_until_ms, now_ms + pause_ms)
        return pause_ms

    def note_answer(self, failed: bool) -> None:
        """Takes an answer into the share of failures."""
        self.error_share += ERROR_SMOOTHING * (float(failed) - self.error_share)


def _serves(server: Server, stage: EngineStage | None) -> bool:
    """Tells whether a server serves a stage; one without stages answers whole requests."""
    return server.stage is stage or (server.stage is None and stage is EngineStage.DECODE)


class ServerTable:
    """All backend servers by id.

    Args:
        failure_domain: where this host is.
        rng: breaks ties.
    """

    def __init__(self, failure_domain: FailureDomain, rng: random.Random) -> None:
        self._failure_domain = failure_domain
        self._rng = rng
        self._loads: dict[ServerId, ServerLoad] = {}
        self._changing: frozenset[ServerId] = frozenset()
        self.contact = IsolationDetector()

    def __len__(self) -> int:
        return len(self._loads)

    def get(self, server: ServerId) -> ServerLoad | None:
        """Returns a listed server."""
        return self._loads.get(server)

    def upsert(self, server: Server) -> None:
        """Takes over a server's entry."""
        known = self._loads.get(server.server)
        if known is None or (server.born_ms and known.server.born_ms != server.born_ms):
            self._loads[server.server] = ServerLoad(server)
            log_info(
                Event.SERVER_LEARNED,
                server=server.server,
                service=server.service,
                state=server.state.value,
            )
            return
        if known.server.state is not server.state or known.server.stage is not server.stage:
            log_info(
                Event.SERVER_CHANGED,
                server=server.server,
                state=server.state.value,
                stage=server.stage.value if server.stage else "",
            )
        known.server = server
        known.missing_since_ms = None

    def remove(self, server: ServerId) -> None:
        """Drops a server whose entry was removed."""
        if self._loads.pop(server, None) is not None:
            log_info(Event.SERVER_REMOVED, server=server)

    def replace_all(self, servers: Iterable[Server], now_ms: float, *, after_outage: bool) -> None:
        """Takes over a full list.

        Args:
            after_outage: entries may have lapsed while the store was away; a server that is not
                listed stays until ``expire_missing`` finds it missing for too long.
        """
        listed = set()
        for server in servers:
            listed.add(server.server)
            self.upsert(server)
        for missing in [known for known in self._loads if known not in listed]:
            if not after_outage:
                self.remove(missing)
            elif self._loads[missing].missing_since_ms is None:
                self._loads[missing].missing_since_ms = now_ms

    def expire_missing(self, now_ms: float) -> None:
        """Drops servers whose entries did not come back after an outage of the store."""
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
        sound_only: bool = False,
    ) -> list[ServerLoad]:
        """Returns the servers that may take new work.

        Args:
            sound_only: return none rather than servers that are paused or doubted.
        """
        excluded = set(excluded)
        listed = [
            load
            for load in self._loads.values()
            if load.server.service == service
            and load.server.state is ServerState.READY
            and _serves(load.server, stage)
            and load.server.server not in self._changing
            and load.server.server not in excluded
        ]
        awake = [load for load in listed if load.paused_until_ms <= now_ms]
        sound = [load for load in awake if not load.doubted]
        return sound if sound or sound_only else awake or listed

    def to_recheck(self, now_ms: float) -> list[ServerLoad]:
        """Returns the doubted servers whose pause is over."""
        return [
            load for load in self._loads.values() if load.doubted and load.paused_until_ms <= now_ms
        ]

    def note_reachable(self, load: ServerLoad) -> None:
        """Ends the doubt in a server; its next failure still pauses it for longer."""
        load.doubted = False

    def set_changing(self, servers: Iterable[ServerId]) -> None:
        """Sets the engines that are about to change their stage; they get no new work.

        Such an engine still grants reservations, but rejects the requests that come with them.
        """
        self._changing = frozenset(servers)

    def is_far(self, load: ServerLoad) -> bool:
        """Tells whether a server is in another failure domain."""
        return load.server.failure_domain != self._failure_domain

    def takes_work(self, load: ServerLoad) -> bool:
        """Tells whether a server is still listed and not leaving."""
        known = self._loads.get(load.server.server)
        return known is load and load.server.state is ServerState.READY

    def of_service(self, service: ServiceName) -> list[ServerLoad]:
        """Returns all listed servers of a service."""
        return [load for load in self._loads.values() if load.server.service == service]

    def all_servers(self) -> tuple[Server, ...]:
        """Returns the entries of all listed servers."""
        return tuple(load.server for load in self._loads.values())

    def service_size(self, service: ServiceName) -> int:
        """Returns the number of listed servers of a service."""
        return len(self.of_service(service))

    def order_by_load(self, candidates: list[ServerLoad]) -> list[ServerLoad]:
        """Returns candidates, the least loaded first."""
        best_error = min((load.error_share for load in candidates), default=0.0)

        def cost(load: ServerLoad) -> tuple[float, float]:
            share = load.in_flight / max(1, load.server.slots)
            if self.is_far(load):
                share += REMOTE_PENALTY
            share += ERROR_PENALTY * (load.error_share - best_error)
            return share, self._rng.random()

        return sorted(candidates, key=cost)

    def note_success(self, load: ServerLoad, now_ms: float) -> None:
        """Ends a server's series of failures."""
        load.failures = 0
        load.doubted = False
        if self.is_far(load):
            self.contact.note_contact(now_ms)

    def serves_alone(self, service: ServiceName, stage: EngineStage | None) -> bool:
        """Tells whether a sound server of a service is in this failure domain."""
        return any(
            load.server.failure_domain == self._failure_domain
            and load.server.state is ServerState.READY
            and _serves(load.server, stage)
            and load.failures < FAILURES_TO_DOUBT
            for load in self.of_service(service)
        )

    def note_failure(self, load: ServerLoad, now_ms: float, reason: str) -> None:
        """Pauses a server that could not be reached or lost an answer; repeated failures longer."""
        if self.is_far(load):
            self.contact.note_failure(load.server.server)
        load.doubted = True
        pause_ms = load.pause_after_failure(now_ms)
        log_warning(
            Event.SERVER_PAUSED,
            server=load.server.server,
            reason=reason,
            failures=load.failures,
            pause_ms=int(pause_ms),
        )
