"""How slow engines are, as this host and its peers have measured it.

That is the gap between two events of a stream at a decode engine, and the time that a prefill
engine takes for 1,000 tokens.

In a large fleet a host runs few streams on each engine, so that it learns of a slow engine only
after its callers have noticed. Hosts therefore name the engines that are slow to their peers.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Mapping

import msgspec

from medlarvale.forwarding.messages import EngineStage, Server
from medlarvale.ids import ServerId

# Weight of the newest stream in the smoothed gap of an engine.
GAP_SMOOTHING = 0.2
# A gap is forgotten after this time without a measurement. Slow engines get few streams, so one
# that has recovered is found out only by new ones.
KNOWN_MS = 15_000.0
# Prompt tokens to whose time the gap of a prefill engine refers.
PACE_TOKENS = 1_000
# Engines whose gaps are known before their median counts as usual.
MIN_KNOWN = 4
# Own measurements are named to peers for this time, in which each peer of a fleet of 80 hosts gets
# a hello.
ANNOUNCED_MS = 5_000.0
# Share of the streams of a service whose gap is at most the usual one.
USUAL_SHARE = 0.5
# An engine is slow if its gap is this many times the usual one of its service.
SLOW_FACTOR = 1.5
# Slow engines in one hello.
MAX_ANNOUNCED = 8
# Load, as a share of engine memory, that is added for each multiple by which the gap of an engine
# exceeds the usual one, and the most that is added: slow engines are used when the others are full.
SLOW_PENALTY = 0.15
MAX_PENALTY = 0.45
# Up to this number of hosts each one runs enough streams to measure all engines itself.
SMALL_FLEET_HOSTS = 8


def sees_few_streams(hosts: int) -> bool:
    """Returns whether a host of a fleet runs too few streams to know all engines itself."""
    return hosts > SMALL_FLEET_HOSTS


class _Gap(msgspec.Struct):
    """Gap of one incarnation of an engine in one stage.

    Attributes:
        smoothed_ms: smoothed gap.
        noted_ms: time of the last measurement.
        own_ms: time of the last own measurement; None if it is known from peers only.
    """

    born_ms: int
    stage: EngineStage | None
    smoothed_ms: float
    noted_ms: float
    own_ms: float | None = None


class EngineGaps:
    """Gaps of all engines by id."""

    def __init__(self) -> None:
        self._gaps: dict[ServerId, _Gap] = {}

    def note_own(self, server: Server, gap_ms: float, now_ms: float) -> None:
        """Records the median gap of a stream of this host."""
        self._note(server, gap_ms, now_ms).own_ms = now_ms

    def note_peer(self, server: Server, gap_ms: float, now_ms: float) -> None:
        """Records the gap that a peer has named for a slow engine."""
        self._note(server, gap_ms, now_ms)

    def _note(self, server: Server, gap_ms: float, now_ms: float) -> _Gap:
        gap = self._known(server, now_ms)
        if gap is None:
            gap = self._gaps[server.server] = _Gap(server.born_ms, server.stage, gap_ms, now_ms)
        gap.smoothed_ms += GAP_SMOOTHING * (gap_ms - gap.smoothed_ms)
        gap.noted_ms = now_ms
        return gap

    def _known(self, server: Server, now_ms: float) -> _Gap | None:
        gap = self._gaps.get(server.server)
        if gap is None or gap.born_ms != server.born_ms or now_ms - gap.noted_ms > KNOWN_MS:
            return None
        return gap if gap.stage is server.stage else None

    def usual_ms(self, servers: Iterable[Server], now_ms: float) -> float | None:
        """Returns the median of the known gaps; None if too few are known."""
        gaps = (self.gap_ms(server, now_ms) for server in servers)
        known = [gap_ms for gap_ms in gaps if gap_ms is not None]
        return statistics.median(known) if len(known) >= MIN_KNOWN else None

    def gap_ms(self, server: Server, now_ms: float) -> float | None:
        """Returns the gap of an engine; None if it has not been measured lately."""
        gap = self._known(server, now_ms)
        return None if gap is None else gap.smoothed_ms

    def penalty(self, server: Server, usual_ms: float | None, now_ms: float) -> float:
        """Returns the load that counts against an engine, as a share of its memory.

        Args:
            server: the engine.
            usual_ms: median gap of the streams of its service; None if it is unknown.
            now_ms: monotonic time.
        """
        slower_ms = self.slower_ms(server, usual_ms, now_ms)
        return min(MAX_PENALTY, SLOW_PENALTY * slower_ms / usual_ms) if usual_ms else 0.0

    def slower_ms(self, server: Server, usual_ms: float | None, now_ms: float) -> float:
        """Returns by how much the gap of a slow engine exceeds the usual one; 0 for others."""
        gap_ms = self.gap_ms(server, now_ms)
        if gap_ms is None or not usual_ms or gap_ms < SLOW_FACTOR * usual_ms:
            return 0.0
        return gap_ms - usual_ms

    def to_announce(self, usual_ms: Mapping[ServerId, float], now_ms: float) -> dict[ServerId, int]:
        """Returns the gaps in ms of the slowest engines that this host has measured lately.

        Args:
            usual_ms: median gap of the service of each listed engine, as far as it is known.
            now_ms: monotonic time.
        """
        for server, gap in list(self._gaps.items()):
            if now_ms - gap.noted_ms > KNOWN_MS:
                del self._gaps[server]
        slow = {
            server: gap.smoothed_ms
            for server, gap in self._gaps.items()
            if gap.own_ms is not None
            and now_ms - gap.own_ms <= ANNOUNCED_MS
            and server in usual_ms
            and gap.smoothed_ms >= SLOW_FACTOR * usual_ms[server]
        }
        slowest = sorted(slow, key=lambda server: (-slow[server], server))[:MAX_ANNOUNCED]
        return {server: round(slow[server]) for server in slowest}
