"""Which entry hosts this host considers live."""

from __future__ import annotations

import enum

import msgspec

from medlarvale.hashing import rank
from medlarvale.ids import HostId, HostIdentity, ListVersion
from medlarvale.membership.messages import EntryHost, Heartbeat, HostList, HostState

HEARTBEAT_PERIOD_MS = 250
SUSPECT_AFTER_MS = 1_000
# Largest difference between the clocks of two hosts.
CLOCK_BOUND_MS = 500
# Time within which a crashed incarnation stops counting as answering. The age of a heartbeat that
# arrives late is uncertain by up to twice the clock bound. The observer's own pauses don't count.
MAX_CRASH_DETECTION_MS = SUSPECT_AFTER_MS + 2 * CLOCK_BOUND_MS
# A host that is not listed and sent no heartbeat for this long is removed.
FORGET_AFTER_MS = 30_000
# Two readers, so that the platform is still read after the loss of one.
READERS_PER_CELL = 2


class PeerState(enum.Enum):
    """State of a peer in this host's view."""

    JOINING = "joining"
    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    UNHEARD = "unheard"


class Peer(msgspec.Struct):
    """The last heartbeat of a peer."""

    identity: HostIdentity
    heartbeat: Heartbeat
    last_heard_ms: float


class MembershipView:
    """Peers known from heartbeats and from the platform's list.

    The list lags, so it only adds hosts to contact and never removes a host that still answers.

    Args:
        identity: this host.
    """

    def __init__(self, identity: HostIdentity) -> None:
        self.identity = identity
        self.state = HostState.JOINING
        self.host_list: HostList | None = None
        self._listed: dict[HostId, EntryHost] = {}
        self._peers: dict[HostId, Peer] = {}
        self._last_tick_ms: float | None = None

    @property
    def list_version(self) -> ListVersion:
        """Version of the newest known list; 0 without one."""
        return self.host_list.version if self.host_list is not None else ListVersion(0)

    def learn_list(self, host_list: HostList) -> bool:
        """Applies a list if it is newer than the present one.

        Returns:
            Whether it was newer.
        """
        if self.host_list is not None and host_list.version <= self.host_list.version:
            return False
        self.host_list = host_list
        for entry in host_list.entry_hosts:
            self._listed[entry.host] = entry
        current = {entry.host for entry in host_list.entry_hosts}
        for host in [known for known in self._listed if known not in current]:
            if host not in self._peers:
                del self._listed[host]
        return True

    def learn_heartbeat(
        self, sender: HostIdentity, heartbeat: Heartbeat, now_ms: float, wall_ms: int = 0
    ) -> bool:
        """Records a heartbeat.

        Args:
            wall_ms: own wall-clock time of the arrival; 0 treats the heartbeat as just sent.

        Returns:
            Whether the heartbeat comes from a new incarnation of the peer.
        """
        known = self._peers.get(sender.host)
        if known is not None and sender.incarnation < known.identity.incarnation:
            return False
        last_heard_ms = now_ms
        if wall_ms and heartbeat.sent_wall_ms:
            last_heard_ms -= max(0, wall_ms - heartbeat.sent_wall_ms - CLOCK_BOUND_MS)
        if known is None or known.identity != sender:
            self._peers[sender.host] = Peer(sender, heartbeat, last_heard_ms)
            return True
        if heartbeat.number >= known.heartbeat.number:
            last_heard_ms = max(last_heard_ms, known.last_heard_ms)
            self._peers[sender.host] = Peer(sender, heartbeat, last_heard_ms)
        return False

    def tick(self, now_ms: float) -> None:
        """Removes unlisted silent hosts, and compensates for time in which this process was paused.

        During a pause this host receives no heartbeats, so the missing ones must not make its
        peers suspect.
        """
        if self._last_tick_ms is not None:
            gap_ms = now_ms - self._last_tick_ms - HEARTBEAT_PERIOD_MS
            if gap_ms > SUSPECT_AFTER_MS / 2:
                for peer in self._peers.values():
                    # Heartbeats that arrived during the pause may already have been handled.
                    peer.last_heard_ms = min(now_ms, peer.last_heard_ms + gap_ms)
        self._last_tick_ms = now_ms
        listed = {entry.host for entry in self.host_list.entry_hosts} if self.host_list else set()
        for host, peer in list(self._peers.items()):
            if host not in listed and now_ms - peer.last_heard_ms > FORGET_AFTER_MS:
                del self._peers[host]
                self._listed.pop(host, None)

    def peer_addresses(self) -> dict[HostId, str]:
        """Returns the peer addresses of all other hosts that may be running."""
        return {
            host: entry.peer_address
            for host, entry in sorted(self._listed.items())
            if host != self.identity.host
        }

    def peer_state(self, host: HostId, now_ms: float) -> PeerState:
        """Returns the state of a peer."""
        peer = self._peers.get(host)
        if peer is None:
            return PeerState.UNHEARD
        if now_ms - peer.last_heard_ms > SUSPECT_AFTER_MS:
            return PeerState.SUSPECT
        return PeerState(peer.heartbeat.state.value)

    def peer(self, host: HostId) -> Peer | None:
        """Returns the last heartbeat of a peer, or None if there is none."""
        return self._peers.get(host)

    def peers(self) -> list[HostId]:
        """Returns all other hosts that are listed or sent a heartbeat, sorted."""
        return sorted((set(self._listed) | set(self._peers)) - {self.identity.host})

    def live_hosts(self, now_ms: float) -> list[HostId]:
        """Returns the hosts that may be assigned responsibility, including this host, sorted."""
        hosts = [host for host in self._peers if self.peer_state(host, now_ms) is PeerState.LIVE]
        if self.state is HostState.LIVE:
            hosts.append(self.identity.host)
        return sorted(hosts)

    def live_identities(self, now_ms: float) -> list[HostIdentity]:
        """Returns the identities of ``live_hosts``, in the same order."""
        return [
            self.identity if host == self.identity.host else self._peers[host].identity
            for host in self.live_hosts(now_ms)
        ]

    def answering_identities(self, now_ms: float) -> set[HostIdentity]:
        """Returns the identities of hosts that answer, including leaving hosts and this host."""
        identities = {
            peer.identity
            for host, peer in self._peers.items()
            if self.peer_state(host, now_ms) not in (PeerState.SUSPECT, PeerState.UNHEARD)
        }
        return identities | {self.identity}

    def reads_platform(self, topic: str, now_ms: float) -> bool:
        """Returns whether this host is one of the readers of a topic of the platform.

        A host without a live peer reads for itself.
        """
        candidates = {*self.live_hosts(now_ms), self.identity.host}
        return self.identity.host in rank(topic, candidates)[:READERS_PER_CELL]

    def peer_with_newer_list(self, now_ms: float) -> HostId | None:
        """Returns a peer that has a newer list, or None if there is none."""
        for host, peer in sorted(self._peers.items()):
            fresh = now_ms - peer.last_heard_ms <= SUSPECT_AFTER_MS
            if fresh and peer.heartbeat.list_version > self.list_version:
                return host
        return None
