"""Checks that an accepted configuration is in force on all hosts within 3 s and never reverts.

The state machine drives several hosts through loss, delay, duplication, reordering, restarts,
partitions, and a stale or unavailable service.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from medlarvale.ids import ConfigVersion, HostId
from medlarvale.settings.propagation import SPOT_CHECK_MS
from medlarvale.settings.store import NO_VERSION
from tests.settings.simulated_cell import SimulatedCell

# Section 1.2 of the design, property 8.
IN_FORCE_WITHIN_MS = 3_000
# Section 10 of the design.
WATCHES_PER_CELL = 2
STEADY_MS = 3_000
HOSTS = 5
host_indexes = st.integers(0, HOSTS - 1)
# Long enough for a silent host to become suspect and for a lost watch to time out.
durations_ms = st.integers(0, 1_600)


class PropagationMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 2**32 - 1))
    def start(self, seed: int) -> None:
        self.cell = SimulatedCell(HOSTS, seed)

    @rule(valid=st.sampled_from([True, True, False]), duration_ms=durations_ms)
    def publish(self, valid: bool, duration_ms: int) -> None:
        self.cell.publish(valid)
        self.cell.run(duration_ms)

    @rule(index=host_indexes, duration_ms=durations_ms)
    def restart(self, index: int, duration_ms: int) -> None:
        self.cell.restart(HostId(f"h{index}"))
        self.cell.run(duration_ms)

    @rule(
        sides=st.none() | st.lists(st.integers(0, 2), min_size=HOSTS, max_size=HOSTS),
        duration_ms=durations_ms,
    )
    def partition(self, sides: list[int] | None, duration_ms: int) -> None:
        """Splits the cell; only side 0 reaches the service. None ends the partition."""
        # Hosts of another side reach only the hosts of their own side.
        self.cell.groups = {HostId(f"h{index}"): side for index, side in enumerate(sides or [])}
        self.cell.run(duration_ms)

    @rule(
        loss=st.sampled_from([0, 10, 60]),
        duplicates=st.sampled_from([0, 50]),
        delay_ms=st.sampled_from([5.0, 100.0, 900.0]),
        duration_ms=durations_ms,
    )
    def disturb(self, loss: int, duplicates: int, delay_ms: float, duration_ms: int) -> None:
        self.cell.loss_percent = loss
        self.cell.duplicate_percent = duplicates
        self.cell.max_delay_ms = delay_ms
        self.cell.run(duration_ms)

    @rule(down=st.booleans(), versions_back=st.none() | st.integers(1, 3), duration_ms=durations_ms)
    def switch_service(self, down: bool, versions_back: int | None, duration_ms: int) -> None:
        """Starts or ends an outage; with ``versions_back`` the service returns an old version."""
        self.cell.down = down
        stale = None if versions_back is None else ConfigVersion(self.cell.newest - versions_back)
        self.cell.stale_version = stale if stale in self.cell.published else None
        self.cell.service_changed()
        self.cell.run(duration_ms)

    @rule()
    def heal(self) -> None:
        cell = self.cell
        cell.clear_faults()
        highest = max(host.store.version for host in cell.hosts.values())
        cell.run(IN_FORCE_WITHIN_MS)
        versions = {host.store.version for host in cell.hosts.values()}
        assert len(versions) == 1, f"hosts disagree: {versions}"
        if cell.newest in cell.valid:
            assert versions == {cell.newest}, f"{versions} in force, newest is {cell.newest}"
        assert versions.pop() >= highest
        self._check_calls()

    @rule(reaching=host_indexes, offset_ms=st.integers(0, 1_500), settled=st.booleans())
    def cut_off_all_but_one(self, reaching: int, offset_ms: int, settled: bool) -> None:
        """Checks that a new version reaches all hosts if only one of them reaches the service."""
        self.heal()
        cell = self.cell
        cell.run(offset_ms)
        # These hosts lose the service but not their peers.
        cell.cut_off = set(cell.hosts) - {HostId(f"h{reaching}")}
        cell.run(IN_FORCE_WITHIN_MS if settled else 0)
        cell.publish(True)
        cell.run(IN_FORCE_WITHIN_MS)
        versions = {host.store.version for host in cell.hosts.values()}
        assert versions == {cell.newest}, f"{versions} in force, newest is {cell.newest}"
        cell.peak_waiting_watches = 0
        cell.run(STEADY_MS)
        assert cell.peak_waiting_watches <= WATCHES_PER_CELL, f"{cell.peak_waiting_watches} watches"

    @rule(index=host_indexes)
    def one_host_rejects_what_others_accept(self, index: int) -> None:
        """Checks that a host which rejects a version reports it and accepts the next one."""
        self.heal()
        cell, name = self.cell, HostId(f"h{index}")
        # Like a host with other software, it stays on its version until the next one.
        cell.forced_rejections.add((name, ConfigVersion(max(cell.newest, 0) + 1)))
        cell.publish(True)
        cell.run(IN_FORCE_WITHIN_MS)
        behind = {host.name for host in cell.hosts.values() if host.store.version != cell.newest}
        assert behind == {name} and (name, cell.newest) in cell.diverged
        cell.publish(True)
        cell.run(IN_FORCE_WITHIN_MS)
        assert {host.store.version for host in cell.hosts.values()} == {cell.newest}

    def _check_calls(self) -> None:
        """Checks that in steady state two hosts watch and one reads the service each second."""
        cell = self.cell
        cell.peak_waiting_watches = cell.read_count = 0
        cell.run(STEADY_MS)
        if next(iter(cell.hosts.values())).store.version != NO_VERSION:
            assert (
                cell.peak_waiting_watches == WATCHES_PER_CELL
            ), f"{cell.peak_waiting_watches} watches"
            assert cell.read_count <= STEADY_MS // SPOT_CHECK_MS + 1, f"{cell.read_count} reads"

    def teardown(self) -> None:
        if hasattr(self, "cell"):
            self.heal()
            self.properties_hold()

    @invariant()
    def properties_hold(self) -> None:
        if hasattr(self, "cell"):
            assert not self.cell.violations, self.cell.violations


TestPropagation = PropagationMachine.TestCase
