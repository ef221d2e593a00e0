"""Propagation of new versions to a host: from the configuration service or from a peer.

The module does no I/O: it receives the time, responses and the state of the cell, and returns
actions. In steady state two hosts of a cell watch the service, and all others follow the versions
in heartbeats. Heartbeats also report which hosts can't reach the service, so that other hosts watch
instead.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from medlarvale.hashing import choose, rank
from medlarvale.ids import ConfigVersion, HostId
from medlarvale.settings.source import SourceAnswer
from medlarvale.settings.store import (
    DEFAULT_VERSION,
    NO_VERSION,
    Accepted,
    Rejected,
    SettingsStore,
)

WATCH_KEY = "config"
# A single watcher would leave the cell without updates until its loss is detected (1 s).
WATCHERS_PER_CELL = 2
# A watcher without access to the service is detected after this wait and WATCH_SLACK_MS (500 ms).
# After two heartbeat periods and two checks (300 ms each for 0.9 MB), the version of another host
# is in force; the total has to stay below 3 s.
WATCH_WAIT_MS = 800
RETRY_MS = 250
PEER_TIMEOUT_MS = 600
# Two heartbeat periods of 250 ms, in which a starting host receives the versions of its peers.
START_GATHER_MS = 500
# Longer than START_GATHER_MS plus one timed-out call of each kind.
DEFAULT_AFTER_MS = 3_000
# One host of the cell reads the service in each of these periods, so that the cell does not miss a
# version if only its watchers can't reach the service.
SPOT_CHECK_MS = 1_000
# Pause between the attempts of a host that can't reach the service.
UNREACHABLE_RETRY_MS = 1_000


class Watch(msgspec.Struct, frozen=True):
    """Wait for the service to have a version above ``after`` (long poll)."""

    after: ConfigVersion
    wait_ms: int


class CancelWatch(msgspec.Struct, frozen=True):
    """Cancel the pending watch because another host has taken over."""


class ReadService(msgspec.Struct, frozen=True):
    """Read the newest version from the service, with its text only if it is above ``after``."""

    after: ConfigVersion


class QueryPeer(msgspec.Struct, frozen=True):
    """Request the tree of a peer."""

    peer: HostId
    newer_than: ConfigVersion
    timeout_ms: int


class Check(msgspec.Struct, frozen=True):
    """Check the text of a version; checks run one at a time to keep the versions in order."""

    answer: SourceAnswer


class NotifySubscribers(msgspec.Struct, frozen=True):
    """Notify the subscribers of a newly accepted version."""

    accepted: Accepted


class ReportRejection(msgspec.Struct, frozen=True):
    """Log a version that failed the check."""

    rejected: Rejected


class ReportDivergence(msgspec.Struct, frozen=True):
    """Log that peers run a version that this host rejected, as with different software versions."""

    version: ConfigVersion
    peers: tuple[HostId, ...]


Action = (
    Watch
    | CancelWatch
    | ReadService
    | QueryPeer
    | Check
    | NotifySubscribers
    | ReportRejection
    | ReportDivergence
)


def watchers(live_hosts: Iterable[HostId], cut_off: Iterable[HostId] = ()) -> list[HostId]:
    """Returns the hosts of a cell that watch the service.

    Args:
        cut_off: hosts that can't reach the service; they watch only if no host reaches it.
    """
    members = set(live_hosts)
    return rank(WATCH_KEY, members.difference(cut_off) or members)[:WATCHERS_PER_CELL]


def spot_checker(live_hosts: Iterable[HostId], slot: int) -> HostId | None:
    """Returns the host of a cell that reads the service in a time slot of ``SPOT_CHECK_MS``."""
    return choose(f"{WATCH_KEY}-check/{slot}", live_hosts)


class VersionPropagation:
    """Decides how one host obtains new versions.

    Args:
        host: this host.
        store: store of the version in force; only this object changes it.
        now_ms: monotonic time at the start.
        default: text of the tree used if neither a peer nor the service responds; with None, the
            host serves nothing until one of them does.
    """

    def __init__(
        self, host: HostId, store: SettingsStore, now_ms: float, default: bytes | None = None
    ) -> None:
        self._host = host
        self._store = store
        self._started_ms = now_ms
        self._default = default
        self._live: set[HostId] = set()
        self._peer_versions: dict[HostId, ConfigVersion] = {}
        self._cut_off_peers: set[HostId] = set()
        self._reaches_service = True
        self._probe_requested = False
        self._diverged_version = NO_VERSION
        self._startup_candidate: SourceAnswer | None = None
        self._checking: SourceAnswer | None = None
        self._next_check: SourceAnswer | None = None
        self._watching = False
        self._reading = False
        self._queried_peer: HostId | None = None
        self._tried_peers: set[HostId] = set()
        self._watch_due_ms = now_ms
        self._read_due_ms = now_ms
        self._query_due_ms = now_ms
        self._last_spot_check_slot = -1
        self._pending_actions: list[Action] = []

    def set_live_hosts(self, hosts: Iterable[HostId]) -> None:
        """Replaces the live hosts of the cell; this host is always included."""
        self._live = set(hosts) | {self._host}
        for host in [known for known in self._peer_versions if known not in self._live]:
            del self._peer_versions[host]
        self._cut_off_peers &= self._live

    @property
    def reaches_service(self) -> bool:
        """Whether the service responded to the last call; reported in this host's heartbeats."""
        return self._reaches_service

    def record_peer_version(
        self, host: HostId, version: ConfigVersion, reaches_service: bool = True
    ) -> None:
        """Records the state in a peer's heartbeat; a restarted peer may run an older version."""
        if host == self._host:
            return
        self._peer_versions[host] = version
        if reaches_service:
            self._cut_off_peers.discard(host)
        elif host not in self._cut_off_peers:
            # The peer may have been a watcher, and its successors may not reach the service either.
            self._cut_off_peers.add(host)
            self._probe_requested = True

    def watch_answered(
        self, after: ConfigVersion, answer: SourceAnswer | None, now_ms: float
    ) -> None:
        """Handles the end of a watch; the answer is None if there was no newer version."""
        self._watching = False
        self._reaches_service = True
        # A stale service may return an older version at once; without a pause, watches would loop.
        stale = answer is not None and answer.version <= after
        self._watch_due_ms = now_ms + (RETRY_MS if stale else 0)
        if answer is not None:
            self._receive_version(answer)

    def watch_failed(self, now_ms: float, reached: bool = False) -> None:
        """Handles the failure of a watch.

        Args:
            reached: whether the service responded, but rejected the call.
        """
        self._watching = False
        self._reaches_service = reached
        self._watch_due_ms = now_ms + RETRY_MS

    def read_answered(self, answer: SourceAnswer | None, now_ms: float) -> None:
        """Handles the response to ``ReadService``; None if there is no newer version."""
        self._reading = False
        self._reaches_service = True
        self._read_due_ms = now_ms + RETRY_MS
        if answer is not None:
            self._receive_version(answer)

    def read_failed(self, now_ms: float, reached: bool = False) -> None:
        """Handles the failure of ``ReadService``; see ``watch_failed``."""
        self._reading = False
        self._reaches_service = reached
        starting = self._store.in_force is None
        self._read_due_ms = now_ms + (RETRY_MS if starting else UNREACHABLE_RETRY_MS)

    def check_finished(self, verdict: Accepted | Rejected) -> None:
        """Handles the result of ``Check``."""
        self._checking = None
        applied = self._store.apply_check_result(verdict)
        if isinstance(applied, Accepted):
            self._pending_actions.append(NotifySubscribers(applied))
        elif isinstance(applied, Rejected):
            self._pending_actions.append(ReportRejection(applied))

    def peer_answered(self, peer: HostId, answer: SourceAnswer | None, now_ms: float) -> None:
        """Handles the response to ``QueryPeer``; None if the peer has no newer version."""
        previous_version = self._known_version()
        if answer is not None:
            self._receive_version(answer)
        if self._known_version() > previous_version:
            self._queried_peer = None
            self._tried_peers.clear()
        else:
            self.peer_failed(peer, now_ms)

    def peer_failed(self, peer: HostId, now_ms: float) -> None:
        """Handles the failure of ``QueryPeer``; another peer is queried next."""
        self._queried_peer = None
        self._tried_peers.add(peer)
        if not self._candidate_peers():
            self._tried_peers.clear()
            self._query_due_ms = now_ms + RETRY_MS

    def actions(self, now_ms: float, wall_ms: int) -> list[Action]:
        """Returns the actions due now; must be called after each event and periodically."""
        self._finish_startup(now_ms)
        actions, self._pending_actions = self._pending_actions, []
        actions += self._check_actions()
        actions += self._divergence_actions()
        actions += self._watch_actions(now_ms)
        actions += self._read_actions(now_ms, wall_ms)
        actions += self._query_actions(now_ms)
        return actions

    def _receive_version(self, answer: SourceAnswer) -> None:
        """Queues a version for its check, or keeps the newest one during startup."""
        if self._store.in_force is not None or self._checking is not None:
            self._enqueue_check(answer)
        elif not self._store.needs_check(answer.version, answer.text):
            # It was rejected, and would hide the older version that the peers run.
            return
        elif self._startup_candidate is None or answer.version > self._startup_candidate.version:
            self._startup_candidate = answer

    def _enqueue_check(self, answer: SourceAnswer) -> None:
        """Queues a version for its check; a newer version replaces the queued one."""
        if answer == self._checking or not self._store.needs_check(answer.version, answer.text):
            return
        if self._next_check is None or answer.version > self._next_check.version:
            self._next_check = answer

    def _check_actions(self) -> list[Action]:
        if self._checking is not None or self._next_check is None:
            return []
        answer, self._next_check = self._next_check, None
        if not self._store.needs_check(answer.version, answer.text):
            return []
        self._checking = answer
        return [Check(answer)]

    def diverged(self) -> dict[HostId, ConfigVersion]:
        """Returns the live peers that run a version which this host rejected."""
        return {
            host: version
            for host, version in sorted(self._peer_versions.items())
            if host in self._live
            and version > self._store.version
            and self._store.is_rejected(version)
        }

    def _divergence_actions(self) -> list[Action]:
        diverged = self.diverged()
        version = max(diverged.values(), default=NO_VERSION)
        if version <= self._diverged_version:
            return []
        self._diverged_version = version
        peers = tuple(host for host in diverged if diverged[host] == version)
        return [ReportDivergence(version, peers)]

    def _known_version(self) -> ConfigVersion:
        """Returns the highest version in force, kept during startup, queued or being checked."""
        pending = (self._startup_candidate, self._checking, self._next_check)
        return max([self._store.version, *(answer.version for answer in pending if answer)])

    def _seen_version(self) -> ConfigVersion:
        return max(self._known_version(), self._store.newest_seen)

    def _finish_startup(self, now_ms: float) -> None:
        """Queues the first version after peers and service have had time to respond."""
        if self._store.in_force is not None or self._queried_peer is not None:
            return
        if self._checking is not None or self._next_check is not None:
            return
        waited_ms = now_ms - self._started_ms
        if self._startup_candidate is not None and waited_ms >= START_GATHER_MS:
            candidate, self._startup_candidate = self._startup_candidate, None
            self._enqueue_check(candidate)
        elif (
            self._default is not None
            and waited_ms >= DEFAULT_AFTER_MS
            and not self._candidate_peers()
        ):
            default, self._default = self._default, None
            self._enqueue_check(SourceAnswer(DEFAULT_VERSION, default))

    def _watch_actions(self, now_ms: float) -> list[Action]:
        cut_off = self._cut_off_peers | (set() if self._reaches_service else {self._host})
        is_watcher = self._store.in_force is not None and self._host in watchers(
            self._members(), cut_off
        )
        if self._watching and not is_watcher:
            self._watching = False
            return [CancelWatch()]
        if self._watching or not is_watcher or now_ms < self._watch_due_ms:
            return []
        self._watching = True
        return [Watch(self._seen_version(), WATCH_WAIT_MS)]

    def _read_actions(self, now_ms: float, wall_ms: int) -> list[Action]:
        starting = self._store.in_force is None and self._known_version() == NO_VERSION
        unreachable = not self._reaches_service and not self._watching
        due = (starting or unreachable) and now_ms >= self._read_due_ms
        slot = wall_ms // SPOT_CHECK_MS
        is_spot_checker = (
            slot != self._last_spot_check_slot and spot_checker(self._members(), slot) == self._host
        )
        self._last_spot_check_slot = slot
        if self._reading or not (is_spot_checker or due or self._probe_requested):
            return []
        self._reading = True
        self._probe_requested = False
        return [ReadService(NO_VERSION if starting else self._seen_version())]

    def _query_actions(self, now_ms: float) -> list[Action]:
        if self._queried_peer is not None or now_ms < self._query_due_ms:
            return []
        # Each host ranks the peers by its own key, so that the hosts query different peers.
        peer = choose(f"{WATCH_KEY}-tree/{self._host}", self._candidate_peers())
        if peer is None:
            return []
        self._queried_peer = peer
        return [QueryPeer(peer, self._known_version(), PEER_TIMEOUT_MS)]

    def _candidate_peers(self) -> list[HostId]:
        """Returns the live peers, not yet queried, with the newest version above the known one."""
        newer = {
            host: version
            for host, version in self._peer_versions.items()
            if host in self._live
            and version > self._known_version()
            and not self._store.is_rejected(version)
        }
        newest = max(newer.values(), default=NO_VERSION)
        return [host for host in newer if newer[host] == newest and host not in self._tried_peers]

    def _members(self) -> set[HostId]:
        return self._live | {self._host}
