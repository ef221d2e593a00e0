"""Crashed or earlier incarnations and leaving servers get no work; hosts that answer stay.

The machine runs several views under message loss, delay, reordering, pauses, crashes, restarts,
replacements, partitions, and lists that lag, go back to older versions or are lost.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from medlarvale.ids import HostIdentity
from medlarvale.membership.view import MAX_CRASH_DETECTION_MS
from tests.membership.cell import SERVERS, SimulatedCell, SimulatedHost

HOSTS = 4
# Section 4 of the design: the lists and states of all hosts agree this long after healing.
AGREE_WITHIN_MS = MAX_CRASH_DETECTION_MS + 500
# Section 1.2 of the design, property 6.
LEAVING_WITHIN_MS = 3_000
# Section 9 of the design.
BACK_WITHIN_MS = 3_000
host_indexes = st.integers(0, HOSTS - 1)
durations_ms = st.integers(0, 1_600)


class MembershipMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 2**32 - 1))
    def start(self, seed: int) -> None:
        self.cell = SimulatedCell(HOSTS, seed)
        self.cell.run(AGREE_WITHIN_MS)

    def host(self, index: int) -> SimulatedHost:
        return self.cell.hosts[sorted(self.cell.hosts)[index]]

    @rule(
        index=host_indexes,
        fault=st.sampled_from(["restart", "replace", "pause", "resume"]),
        duration_ms=durations_ms,
    )
    def disturb_host(self, index: int, fault: str, duration_ms: int) -> None:
        host = self.host(index)
        name = host.identity.host
        if fault == "restart":
            self.cell.crash(name)
            self.cell.run(duration_ms)
            self.cell.start(name)
        elif fault == "replace":
            self.cell.replace(name)
        elif fault == "pause":
            host.paused = True
        else:
            self.cell.resume(host)
        self.cell.run(duration_ms)

    @rule(
        loss=st.sampled_from([0, 10, 60]),
        delay_ms=st.sampled_from([5.0, 400.0, 5_000.0]),
        sides=st.none() | st.lists(st.integers(0, 1), min_size=HOSTS, max_size=HOSTS),
        duration_ms=durations_ms,
    )
    def disturb_network(
        self, loss: int, delay_ms: float, sides: list[int] | None, duration_ms: int
    ) -> None:
        cell = self.cell
        cell.loss_percent, cell.max_delay_ms = loss, delay_ms
        cell.groups = dict(zip(sorted(cell.hosts), sides or [], strict=False))
        cell.run(duration_ms)

    @rule(index=host_indexes, replaced=st.booleans(), duration_ms=st.integers(300, 3_000))
    def host_stops_with_messages_in_transit(
        self, index: int, replaced: bool, duration_ms: int
    ) -> None:
        cell, name = self.cell, self.host(index).identity.host
        cell.max_delay_ms = 5_000.0
        cell.run(duration_ms)
        if replaced:
            cell.replace(name)
        else:
            cell.crash(name)
            cell.start(name)
        cell.max_delay_ms = 5.0
        cell.run(duration_ms)

    @rule(index=host_indexes, lag=st.none() | st.integers(0, 3), duration_ms=durations_ms)
    def disturb_list(self, index: int, lag: int | None, duration_ms: int) -> None:
        """Serves one host a list that is ``lag`` versions old, or none."""
        self.cell.lag[self.host(index).identity.host] = lag
        self.cell.publish_list(set(self.cell.leaving))
        self.cell.run(duration_ms)

    @rule(cut=st.sets(host_indexes), duration_ms=durations_ms)
    def cut_off_from_servers(self, cut: set[int], duration_ms: int) -> None:
        self.cell.without_servers = {self.host(index).identity.host for index in cut}
        self.cell.run(duration_ms)

    @rule(server=st.sampled_from(SERVERS), index=host_indexes, by_list=st.booleans())
    def server_leaves(self, server: str, index: int, by_list: bool) -> None:
        """Only one host receives the new list or the server's report."""
        cell = self.cell
        self.heal()
        names = set(cell.hosts)
        informed = {self.host(index).identity.host}
        if by_list:
            cell.without_servers = names
            cell.lag = dict.fromkeys(names - informed)
            cell.publish_list({*cell.leaving, server})
        else:
            cell.without_servers = names - informed
        cell.leaving.add(server)
        cell.run(LEAVING_WITHIN_MS)
        late = [host for host in cell.hosts.values() if host.directory.accepts_work(server)]
        assert not late, f"{[host.identity for host in late]} send work to {server}"

    @rule(server=st.sampled_from(SERVERS), cut=st.sets(host_indexes))
    def server_returns(self, server: str, cut: set[int]) -> None:
        """Hosts that no longer reach the server do not prevent other hosts from using it."""
        cell = self.cell
        self.heal()
        cell.without_servers = {self.host(index).identity.host for index in cut}
        cell.leaving.discard(server)
        cell.publish_list(set(cell.leaving))
        cell.run(BACK_WITHIN_MS)
        for host in cell.hosts.values():
            if host.identity.host not in cell.without_servers:
                assert host.directory.accepts_work(server), f"{host.identity} avoids {server}"

    @rule()
    def heal(self) -> None:
        cell = self.cell
        cell.heal()
        cell.run(AGREE_WITHIN_MS)
        identities: set[HostIdentity] = {host.identity for host in cell.hosts.values()}
        for host in cell.hosts.values():
            answering = host.view.answering_identities(cell.now_ms)
            assert (
                answering == identities
            ), f"{host.identity} considers {answering} live, not {identities}"
            assert host.view.list_version == cell.lists[-1].version

    def teardown(self) -> None:
        if hasattr(self, "cell"):
            self.heal()
            self.properties_hold()

    @invariant()
    def properties_hold(self) -> None:
        if hasattr(self, "cell"):
            assert not self.cell.violations, self.cell.violations[:3]


TestMembership = MembershipMachine.TestCase
