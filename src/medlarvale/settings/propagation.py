"""Decides how a host learns new versions: from the configuration service or from a peer.

All functions are pure: time, answers and views of the cell come in, actions go out. In steady
state two hosts of a cell wait at the service and all others follow the versions in heartbeats.
Heartbeats also say which hosts do not reach the service, so that another host watches instead.
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
# One watcher would leave the cell without news while its loss goes unnoticed (1 s).
WATCHERS_PER_CELL = 2
# A cut-off watcher is noticed after wait and slack (500 ms). Two heartbeat periods and two checks
# (300 ms each for 0.9 MB) follow before the version of another host is in force, within 3 s.
WATCH_WAIT_MS = 800
RETRY_MS = 250
PEER_TIMEOUT_MS = 600
# Heartbeats come every 250 ms; two periods tell a starting host the versions of its peers.
START_GATHER_MS = 500
# Longer than the gathering and one timed-out call of each kind together.
DEFAULT_AFTER_MS = 3_000
# Once a second one host of the cell reads the service, so that the cell does not miss a version
# when only its watchers are cut off from the service.
SPOT_CHECK_MS = 1_000
# Pause between the tries of a host that does not reach the service.
REACH_RETRY_MS = 1_000


class Watch(msgspec.Struct, frozen=True):
    """Wait at the service for a version above ``after``."""

    after: ConfigVersion
    wait_ms: int


class StopWatch(msgspec.Struct, frozen=True):
    """End the waiting watch; another host watches now."""


class ReadService(msgspec.Struct, frozen=True):
    """Read the newest version from the service, without its text unless it is above ``after``."""

    after: ConfigVersion


class AskPeer(msgspec.Struct, frozen=True):
    """Ask a peer for its tree."""

    peer: HostId
    newer_than: ConfigVersion
    timeout_ms: int


class Check(msgspec.Struct, frozen=True):
    """Check the text of a version; one check at a time keeps the versions in order."""

    answer: SourceAnswer


class Announce(msgspec.Struct, frozen=True):
    """Tell the subscribers of a newly accepted version."""

    accepted: Accepted


class ReportRejection(msgspec.Struct, frozen=True):
    """Log a version that failed the check."""

    rejected: Rejected


class ReportDivergence(msgspec.Struct, frozen=True):
    """Log that peers run a version that this host rejected, as other software may."""

    version: ConfigVersion
    peers: tuple[HostId, ...]


Action = (
    Watch
    | StopWatch
    | ReadService
    | AskPeer
    | Check
    | Announce
    | ReportRejection
    | ReportDivergence
)


def watchers(live_hosts: Iterable[HostId], cut_off: Iterable[HostId] = ()) -> list[HostId]:
    """Returns the hosts of a cell that watch the service.

    Args:
        cut_off: hosts that do not reach the service; they watch only if no host reaches it.
    """
    members = set(live_hosts)
    return rank(WATCH_KEY, members.difference(cut_off) or members)[:WATCHERS_PER_CELL]


def spot_checker(live_hosts: Iterable[HostId], slot: int) -> HostId | None:
    """Returns the host of a cell that reads the service in a slot of ``SPOT_CHECK_MS``."""
    return choose(f"{WATCH_KEY}-check/{slot}", live_hosts)


class VersionPropagation:
    """How one host learns new versions.

    Args:
        host: this host.
        store: version in force; only this object offers versions to it.
        now_ms: monotonic time of the start.
        default: text served when neither a peer nor the service answers; None to serve nothing.
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
        self._probe_wanted = False
        self._diverged_version = NO_VERSION
        self._held: SourceAnswer | None = None
        self._checking: SourceAnswer | None = None
        self._next_check: SourceAnswer | None = None
        self._watching = False
        self._reading = False
        self._asking: HostId | None = None
        self._tried: set[HostId] = set()
        self._watch_due_ms = now_ms
        self._read_due_ms = now_ms
        self._ask_due_ms = now_ms
        self._checked_slot = -1
        self._outcomes: list[Action] = []

    def set_live(self, hosts: Iterable[HostId]) -> None:
        """Replaces the live hosts of the cell; this host always counts as live."""
        self._live = set(hosts) | {self._host}
        for host in [known for known in self._peer_versions if known not in self._live]:
            del self._peer_versions[host]
        self._cut_off_peers &= self._live

    @property
    def reaches_service(self) -> bool:
        """Whether the last call to the service was answered, for this host's heartbeats."""
        return self._reaches_service

    def record_peer_version(
        self, host: HostId, version: ConfigVersion, reaches_service: bool = True
    ) -> None:
        """Records a peer's heartbeat; a restarted peer may run an older version."""
        if host == self._host:
            return
        self._peer_versions[host] = version
        if reaches_service:
            self._cut_off_peers.discard(host)
        elif host not in self._cut_off_peers:
            # The lost peer may have watched for the cell, and its successors may be cut off too.
            self._cut_off_peers.add(host)
            self._probe_wanted = True

    def watch_answered(
        self, after: ConfigVersion, answer: SourceAnswer | None, now_ms: float
    ) -> None:
        """Takes the end of a watch; None means that no newer version came."""
        self._watching = False
        self._reaches_service = True
        # A stale service may answer an older version at once; asking again at once would loop.
        stale = answer is not None and answer.version <= after
        self._watch_due_ms = now_ms + (RETRY_MS if stale else 0)
        if answer is not None:
            self._take(answer)

    def watch_failed(self, now_ms: float, reached: bool = False) -> None:
        """Takes the failure of a watch.

        Args:
            reached: the service answered, but refused the call.
        """
        self._watching = False
        self._reaches_service = reached
        self._watch_due_ms = now_ms + RETRY_MS

    def read_answered(self, answer: SourceAnswer | None, now_ms: float) -> None:
        """Takes the answer to ``ReadService``; None means that there is nothing newer."""
        self._reading = False
        self._reaches_service = True
        self._read_due_ms = now_ms + RETRY_MS
        if answer is not None:
            self._take(answer)

    def read_failed(self, now_ms: float, reached: bool = False) -> None:
        """Takes the failure of ``ReadService``; see ``watch_failed``."""
        self._reading = False
        self._reaches_service = reached
        starting = self._store.in_force is None
        self._read_due_ms = now_ms + (RETRY_MS if starting else REACH_RETRY_MS)

    def check_finished(self, verdict: Accepted | Rejected) -> None:
        """Takes the result of ``Check``."""
        self._checking = None
        concluded = self._store.conclude(verdict)
        if isinstance(concluded, Accepted):
            self._outcomes.append(Announce(concluded))
        elif isinstance(concluded, Rejected):
            self._outcomes.append(ReportRejection(concluded))

    def peer_answered(self, peer: HostId, answer: SourceAnswer | None, now_ms: float) -> None:
        """Takes the answer to ``AskPeer``; None means that the peer has nothing newer."""
        before = self._known_version()
        if answer is not None:
            self._take(answer)
        if self._known_version() > before:
            self._asking = None
            self._tried.clear()
        else:
            self.peer_failed(peer, now_ms)

    def peer_failed(self, peer: HostId, now_ms: float) -> None:
        """Takes the failure of ``AskPeer``; another peer is asked next."""
        self._asking = None
        self._tried.add(peer)
        if not self._candidates():
            self._tried.clear()
            self._ask_due_ms = now_ms + RETRY_MS

    def actions(self, now_ms: float, wall_ms: int) -> list[Action]:
        """Returns what has to be done now; to be called after each event and regularly."""
        self._finish_start(now_ms)
        actions, self._outcomes = self._outcomes, []
        actions += self._check_actions()
        actions += self._divergence_actions()
        actions += self._watch_actions(now_ms)
        actions += self._read_actions(now_ms, wall_ms)
        actions += self._ask_actions(now_ms)
        return actions

    def _take(self, answer: SourceAnswer) -> None:
        """Offers a version, or holds the newest one while the host is starting."""
        if self._store.in_force is not None or self._checking is not None:
            self._offer(answer)
        elif self._held is None or answer.version > self._held.version:
            self._held = answer

    def _offer(self, answer: SourceAnswer) -> None:
        """Lines a version up for its check; a newer one takes the place of one that waits."""
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
        """Returns the highest version in force, held, or on its way through the check."""
        pending = (self._held, self._checking, self._next_check)
        return max([self._store.version, *(answer.version for answer in pending if answer)])

    def _seen_version(self) -> ConfigVersion:
        return max(self._known_version(), self._store.newest_seen)

    def _finish_start(self, now_ms: float) -> None:
        """Puts the first version in force once peers and service had time to answer."""
        if self._store.in_force is not None or self._asking is not None:
            return
        if self._checking is not None or self._next_check is not None:
            return
        waited_ms = now_ms - self._started_ms
        if self._held is not None and waited_ms >= START_GATHER_MS:
            held, self._held = self._held, None
            self._offer(held)
        elif self._default is not None and waited_ms >= DEFAULT_AFTER_MS and not self._candidates():
            default, self._default = self._default, None
            self._offer(SourceAnswer(DEFAULT_VERSION, default))

    def _watch_actions(self, now_ms: float) -> list[Action]:
        cut_off = self._cut_off_peers | (set() if self._reaches_service else {self._host})
        chosen = self._store.in_force is not None and self._host in watchers(
            self._members(), cut_off
        )
        if self._watching and not chosen:
            self._watching = False
            return [StopWatch()]
        if self._watching or not chosen or now_ms < self._watch_due_ms:
            return []
        self._watching = True
        return [Watch(self._seen_version(), WATCH_WAIT_MS)]

    def _read_actions(self, now_ms: float, wall_ms: int) -> list[Action]:
        starting = self._store.in_force is None and self._known_version() == NO_VERSION
        lost = not self._reaches_service and not self._watching
        due = (starting or lost) and now_ms >= self._read_due_ms
        slot = wall_ms // SPOT_CHECK_MS
        checking = slot != self._checked_slot and spot_checker(self._members(), slot) == self._host
        self._checked_slot = slot
        if self._reading or not (checking or due or self._probe_wanted):
            return []
        self._reading = True
        self._probe_wanted = False
        return [ReadService(NO_VERSION if starting else self._seen_version())]

    def _ask_actions(self, now_ms: float) -> list[Action]:
        if self._asking is not None or now_ms < self._ask_due_ms:
            return []
        # Each host ranks the peers by a key of its own, so that not all ask the same one.
        peer = choose(f"{WATCH_KEY}-tree/{self._host}", self._candidates())
        if peer is None:
            return []
        self._asking = peer
        return [AskPeer(peer, self._known_version(), PEER_TIMEOUT_MS)]

    def _candidates(self) -> list[HostId]:
        """Returns the untried live peers that run the newest version above the known one."""
        newer = {
            host: version
            for host, version in self._peer_versions.items()
            if host in self._live
            and version > self._known_version()
            and not self._store.is_rejected(version)
        }
        newest = max(newer.values(), default=NO_VERSION)
        return [host for host in newer if newer[host] == newest and host not in self._tried]

    def _members(self) -> set[HostId]:
        return self._live | {self._host}
