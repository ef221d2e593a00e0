"""Determines which host grants the quota of a workspace, and how much of it."""

from __future__ import annotations

from medlarvale.clock import Clock
from medlarvale.forwarding.fleet import FORGET_AFTER_MS, FleetView
from medlarvale.hashing import rank
from medlarvale.ids import HostId, WorkspaceId

# A host that did not reply in time to this many messages in a row is skipped for this time. With
# one, and 2 % of lost messages, a window was 1.36 times its bound.
SKIP_AFTER = 2
SKIP_MS = 1_000.0
# A host that has just started does not grant: it does not know its peers yet, and would take itself
# for the owner of every workspace.
JOIN_MS = 3_000.0
# Hosts that share the quotas as long as this host does not know its peers.
ASSUMED_HOSTS = 32
# Time for which the number of known hosts is remembered. FleetView forgets silent hosts after 30 s,
# and each side of a longer partition would then grant the whole quota.
REMEMBERED_MS = 120_000.0
# Share of the overage that the sides of a partition use up together for as long as it lasts. The
# rest covers the second until they notice it, and the half burst of each new owner.
LASTING_OVERAGE = 0.5
# Age of the list of candidates.
MEMBERS_MS = 100.0


class QuotaOwners:
    """Ranks the hosts that may own the bucket of a workspace.

    Args:
        view: the hosts as this one knows them.
        clock: time service.
        overage: share by which a quota may be exceeded.
    """

    def __init__(self, view: FleetView, clock: Clock, overage: float) -> None:
        self._view = view
        self._clock = clock
        self._lasting = 1.0 + LASTING_OVERAGE * overage
        self._started_ms = clock.now_ms()
        self._skipped_until_ms: dict[HostId, float] = {}
        self._silences: dict[HostId, int] = {}
        self._members: frozenset[HostId] = frozenset()
        self._members_at_ms = float("-inf")
        self._ranked: dict[WorkspaceId, list[HostId]] = {}
        self._scale = 0.0
        self._heard: set[HostId] = set()
        # Numbers of known hosts that were the highest since their time, in decreasing order.
        self._known: list[tuple[float, int]] = []

    @property
    def own(self) -> HostId:
        """This host."""
        return self._view.identity.host

    @property
    def grants(self) -> bool:
        """Whether this host grants quotas; announced to the peers."""
        joined = self._clock.now_ms() - self._started_ms >= JOIN_MS
        return joined or self._view.is_alone()

    def ranking(self, workspace: WorkspaceId) -> list[HostId]:
        """Returns the hosts to ask, best first, without those that are skipped."""
        now_ms = self._clock.now_ms()
        self._refresh(now_ms)
        ranked = self._rank(workspace)
        if not self._skipped_until_ms:
            return ranked
        return [host for host in ranked if self._skipped_until_ms.get(host, now_ms) <= now_ms]

    def _rank(self, workspace: WorkspaceId) -> list[HostId]:
        ranked = self._ranked.get(workspace)
        if ranked is None:
            ranked = self._ranked[workspace] = rank(f"quota\0{workspace}", self._members)
        return ranked

    def note_reply(self, host: HostId) -> None:
        """Notes that a host has replied."""
        self._silences.pop(host, None)

    def note_silence(self, host: HostId) -> None:
        """Notes that a host did not reply in time."""
        self._silences[host] = self._silences.get(host, 0) + 1
        if self._silences[host] < SKIP_AFTER:
            return
        self._skipped_until_ms[host] = self._clock.now_ms() + SKIP_MS

    def scale(self) -> float:
        """Returns the share of a quota that this host grants as its owner."""
        self._refresh(self._clock.now_ms())
        return self._scale

    def substitute_scale(self, askers: int) -> float:
        """Returns the share that this host grants to some hosts while a better owner is heard."""
        return min(self.scale(), askers * self.equal_share() * self._lasting)

    def is_substitute(self, workspace: WorkspaceId) -> bool:
        """Returns whether a better owner than this host is heard.

        The path to it may be slow, or a message was lost, and it goes on granting to other hosts.
        """
        self._refresh(self._clock.now_ms())
        for host in self._rank(workspace):
            if host == self.own:
                break
            if host in self._heard:
                return True
        return False

    def equal_share(self) -> float:
        """Returns the share of a quota that each known host may use."""
        self._refresh(self._clock.now_ms())
        return 1.0 / self._known[0][1]

    def _refresh(self, now_ms: float) -> None:
        if now_ms - self._members_at_ms < MEMBERS_MS:
            return
        self._members_at_ms = now_ms
        members = {host for host, hello in self._view.live(now_ms).items() if hello.grants_quotas}
        if self.grants:
            members.add(self.own)
        if members != self._members:
            self._members = frozenset(members)
            self._ranked.clear()
        for host, until_ms in list(self._skipped_until_ms.items()):
            if until_ms <= now_ms:
                del self._skipped_until_ms[host]
        self._note_known(now_ms)
        self._heard = self._view.recently_heard(now_ms)
        self._scale = min(1.0, (len(self._heard) + 1) / self._known[0][1] * self._lasting)

    def _note_known(self, now_ms: float) -> None:
        known = self._view.host_count()
        if now_ms - self._started_ms < FORGET_AFTER_MS:
            # Later, addresses from which nothing came are stale ones.
            known = max(known, len(self._view.addresses()) + 1)
        if not self.grants:
            known = max(known, ASSUMED_HOSTS)
        while self._known and self._known[-1][1] <= known:
            self._known.pop()
        self._known.append((now_ms, known))
        # An assumed number does not outlive the join.
        while len(self._known) > 1 and now_ms - self._known[0][0] > self._memory_ms(now_ms):
            del self._known[0]

    def _memory_ms(self, now_ms: float) -> float:
        return min(REMEMBERED_MS, max(0.0, now_ms - self._started_ms - JOIN_MS))
