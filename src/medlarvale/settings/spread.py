"""Decides how a host learns new versions: from the configuration service or from a peer.

All functions are pure: time, answers and views of the cell come in, actions go out. In steady
state two hosts of a cell wait at the service and all others follow the versions in heartbeats.
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
# Wait, slack (500 ms) and retry pause stay below the 3 s within which a version has to be in
# force, because a watch whose answer is lost in a partition is repeated only after all three.
WATCH_WAIT_MS = 1_000
RETRY_MS = 250
PEER_TIMEOUT_MS = 600
# Heartbeats come every 250 ms; two periods tell a starting host the versions of its peers.
START_GATHER_MS = 500
# Longer than the gathering and one timed-out call of each kind together.
DEFAULT_AFTER_MS = 3_000
# Once a second one host of the cell reads the service, so that the cell does not miss a version
# when only its watchers are cut off from the service.
SPOT_CHECK_MS = 1_000


class Watch(msgspec.Struct, frozen=True):
    """Wait at the service for a version above ``after``."""

    after: ConfigVersion
    wait_ms: int


class StopWatch(msgspec.Struct, frozen=True):
    """End the waiting watch; another host watches now."""


class ReadService(msgspec.Struct, frozen=True):
    """Read the newest version from the service."""


class AskPeer(msgspec.Struct, frozen=True):
    """Ask a peer for its tree."""

    peer: HostId
    newer_than: ConfigVersion
    timeout_ms: int


class Announce(msgspec.Struct, frozen=True):
    """Tell the subscribers of a newly accepted version."""

    accepted: Accepted


class ReportRejection(msgspec.Struct, frozen=True):
    """Log a version that failed the check."""

    rejected: Rejected


Action = Watch | StopWatch | ReadService | AskPeer | Announce | ReportRejection


def watchers(live_hosts: Iterable[HostId]) -> list[HostId]:
    """Returns the hosts of a cell that watch the service."""
    return rank(WATCH_KEY, live_hosts)[:WATCHERS_PER_CELL]


def spot_checker(live_hosts: Iterable[HostId], slot: int) -> HostId | None:
    """Returns the host of a cell that reads the service in a slot of ``SPOT_CHECK_MS``."""
    return choose(f"{WATCH_KEY}-check/{slot}", live_hosts)


class Spread:
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
        self._held: SourceAnswer | None = None
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

    def peer_version(self, host: HostId, version: ConfigVersion) -> None:
        """Records the version that a peer runs; a restarted peer may run an older one."""
        if host != self._host:
            self._peer_versions[host] = version

    def watch_answered(
        self, after: ConfigVersion, answer: SourceAnswer | None, now_ms: float
    ) -> None:
        """Takes the end of a watch; None means that no newer version came."""
        self._watching = False
        # A stale service may answer an older version at once; asking again at once would loop.
        stale = answer is not None and answer.version <= after
        self._watch_due_ms = now_ms + (RETRY_MS if stale else 0)
        if answer is not None:
            self._take(answer)

    def watch_failed(self, now_ms: float) -> None:
        """Takes the failure of a watch."""
        self._watching = False
        self._watch_due_ms = now_ms + RETRY_MS

    def read_answered(self, answer: SourceAnswer, now_ms: float) -> None:
        """Takes the answer to ``ReadService``."""
        self._reading = False
        self._read_due_ms = now_ms + RETRY_MS
        self._take(answer)

    def read_failed(self, now_ms: float) -> None:
        """Takes the failure of ``ReadService``."""
        self._reading = False
        self._read_due_ms = now_ms + RETRY_MS

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
        actions += self._watch_actions(now_ms)
        actions += self._read_actions(now_ms, wall_ms)
        actions += self._ask_actions(now_ms)
        return actions

    def _take(self, answer: SourceAnswer) -> None:
        """Offers a version, or holds the newest one while the host is starting."""
        if self._store.in_force is not None:
            self._offer(answer)
        elif self._held is None or answer.version > self._held.version:
            self._held = answer

    def _offer(self, answer: SourceAnswer) -> None:
        verdict = self._store.offer(answer.version, answer.text)
        if isinstance(verdict, Accepted):
            self._outcomes.append(Announce(verdict))
        elif isinstance(verdict, Rejected):
            self._outcomes.append(ReportRejection(verdict))

    def _known_version(self) -> ConfigVersion:
        held = NO_VERSION if self._held is None else self._held.version
        return max(self._store.version, held)

    def _finish_start(self, now_ms: float) -> None:
        """Puts the first version in force once peers and service had time to answer."""
        if self._store.in_force is not None or self._asking is not None:
            return
        waited_ms = now_ms - self._started_ms
        if self._held is not None and waited_ms >= START_GATHER_MS:
            held, self._held = self._held, None
            self._offer(held)
        elif self._default is not None and waited_ms >= DEFAULT_AFTER_MS and not self._candidates():
            default, self._default = self._default, None
            self._offer(SourceAnswer(DEFAULT_VERSION, default))

    def _watch_actions(self, now_ms: float) -> list[Action]:
        chosen = self._store.in_force is not None and self._host in watchers(self._members())
        if self._watching and not chosen:
            self._watching = False
            return [StopWatch()]
        if self._watching or not chosen or now_ms < self._watch_due_ms:
            return []
        self._watching = True
        return [Watch(self._store.newest_seen, WATCH_WAIT_MS)]

    def _read_actions(self, now_ms: float, wall_ms: int) -> list[Action]:
        starting = self._store.in_force is None and self._held is None
        slot = wall_ms // SPOT_CHECK_MS
        checking = slot != self._checked_slot and spot_checker(self._members(), slot) == self._host
        self._checked_slot = slot
        if self._reading or not (checking or (starting and now_ms >= self._read_due_ms)):
            return []
        self._reading = True
        return [ReadService()]

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
