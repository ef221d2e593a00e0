"""The scheduler's view of the engines of its group."""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable, Iterator

import msgspec

from medlarvale.ids import AttemptNumber, RequestId, ServerId
from medlarvale.scheduling.limits import GroupLimits
from medlarvale.scheduling.reports import EngineRequest, LoadReport

# One job runs and two more keep the engine busy while a message is on its way; further jobs would
# only queue at the engine.
MAX_PREFILL_JOBS = 3
# A prefill this much later than predicted indicates a paused or slow engine, not a wrong estimate.
PREFILL_OVERDUE_MS = 500.0
# An engine's answer may be older than a release by at most one poll round trip.
RELEASE_SETTLE_MS = 1_000.0


class Availability(enum.Enum):
    """Whether an engine may be chosen for new work."""

    OPEN = "open"
    LEAVING = "leaving"
    EJECTED = "ejected"


class PrefillJob(msgspec.Struct):
    """A placed prefill whose end has not been reported."""

    prefill_ms: float
    due_ms: float


class PrefillEngine:
    """Queue, link and suspect requests of one prefill engine."""

    def __init__(self, server: ServerId, limits: GroupLimits) -> None:
        self.server = server
        self.tokens_per_ms = limits.prefill_tokens_per_s / 1000.0
        self.availability = Availability.OPEN
        self.busy_until_ms = 0.0
        self._overdue_ms = math.inf
        self.link_free_ms = 0.0
        self.jobs: dict[RequestId, PrefillJob] = {}
        self.suspects: set[RequestId] = set()
        self.epoch: int | None = None

    def accepts(self, now_ms: float) -> bool:
        """Returns whether another prefill may be placed."""
        return (
            len(self.jobs) < MAX_PREFILL_JOBS
            and now_ms <= self._overdue_ms
            and self.availability is Availability.OPEN
        )

    def start(self, request: RequestId, prefill_ms: float, due_ms: float) -> None:
        """Queues a prefill that is expected to end at ``due_ms``."""
        if not self.jobs:
            self._overdue_ms = due_ms + PREFILL_OVERDUE_MS
        self.jobs[request] = PrefillJob(prefill_ms, due_ms)
        self.busy_until_ms = due_ms

    def finish(self, request: RequestId, now_ms: float) -> None:
        """Removes a prefill and predicts that the remaining jobs run back to back from now."""
        if self.jobs.pop(request, None) is None:
            return
        end_ms = now_ms
        for job in self.jobs.values():
            end_ms += job.prefill_ms
            job.due_ms = end_ms
        self.busy_until_ms = end_ms
        first = next(iter(self.jobs.values()), None)
        self._overdue_ms = math.inf if first is None else first.due_ms + PREFILL_OVERDUE_MS


class SlotIndex:
    """Index of the decode engines by their number of free slots, with totals.

    It lets a decision check the emptiest engines first without iterating over all of them.
    """

    def __init__(self) -> None:
        self._by_free: dict[int, dict[ServerId, DecodeEngine]] = {}
        self.free_slots = 0
        self.held_slots = 0

    def move(self, engine: DecodeEngine, free_before: int) -> None:
        """Updates the index for an engine whose number of free slots has changed."""
        if free_before:
            bucket = self._by_free[free_before]
            del bucket[engine.server]
            if not bucket:
                del self._by_free[free_before]
        if engine.free_slots:
            self._by_free.setdefault(engine.free_slots, {})[engine.server] = engine
        self.free_slots += engine.free_slots - free_before

    def emptiest_first(self) -> Iterator[DecodeEngine]:
        """Yields the engines with free slots, the emptiest first."""
        for free in sorted(self._by_free, reverse=True):
            yield from self._by_free[free].values()


class DecodeEngine:
    """Slots, KV blocks, link and suspect requests of one decode engine.

    ``held`` contains the scheduler's own reservations. ``foreign`` contains requests that the
    engine reports but this scheduler did not place: those of an earlier scheduler or of a host in
    fallback.
    """

    def __init__(self, server: ServerId, limits: GroupLimits, index: SlotIndex) -> None:
        self.server = server
        self._index = index
        self.availability = Availability.OPEN
        self.slots = limits.slots_per_engine
        self.kv_blocks = limits.pieces_per_engine
        self.slot_limit = self.slots
        self.held: dict[RequestId, int] = {}
        self.held_kv_blocks = 0
        self.foreign: dict[RequestId, EngineRequest] = {}
        self.foreign_kv_blocks = 0
        self.free_slots = 0
        self.link_free_ms = 0.0
        self.suspects: set[RequestId] = set()
        self.epoch: int | None = None
        # A new scheduler does not know which requests an engine holds until the engine has reported
        # them.
        self.requests_known = False

    @property
    def free_kv_blocks(self) -> int:
        """KV blocks that are neither reserved nor held by foreign requests."""
        return self.kv_blocks - self.held_kv_blocks - self.foreign_kv_blocks

    def refresh(self) -> None:
        """Recomputes ``free_slots`` after a change."""
        free_before = self.free_slots
        if self.availability is Availability.OPEN and self.requests_known:
            used = len(self.held) + len(self.foreign)
            self.free_slots = max(0, min(self.slots, self.slot_limit) - used)
        else:
            self.free_slots = 0
        if self.free_slots != free_before:
            self._index.move(self, free_before)

    def hold(self, request: RequestId, kv_blocks: int) -> None:
        """Reserves one slot and a number of KV blocks."""
        self.held[request] = kv_blocks
        self.held_kv_blocks += kv_blocks
        self._index.held_slots += 1
        self.refresh()

    def free(self, request: RequestId) -> None:
        """Ends a reservation."""
        kv_blocks = self.held.pop(request, None)
        if kv_blocks is not None:
            self.held_kv_blocks -= kv_blocks
            self._index.held_slots -= 1
            self.refresh()

    def retire(self) -> None:
        """Removes the engine from the index when it is no longer listed."""
        self._index.held_slots -= len(self.held)
        self.held.clear()
        self.availability = Availability.EJECTED
        self.refresh()

    def forget_foreign(self, request: RequestId, attempt: AttemptNumber) -> None:
        """Drops a foreign request whose owner ended this attempt or a newer one."""
        found = self.foreign.get(request)
        if found is not None and found.attempt <= attempt:
            del self.foreign[request]
            self.foreign_kv_blocks -= found.pieces
            self.refresh()

    def replace_foreign(self, foreign: Iterable[EngineRequest]) -> None:
        """Replaces the requests that the engine holds and this scheduler did not place."""
        self.foreign = {request.request_id: request for request in foreign}
        self.foreign_kv_blocks = sum(request.pieces for request in self.foreign.values())
        self.requests_known = True
        self.refresh()

    def resize(self, report: LoadReport) -> None:
        """Applies the numbers of slots and KV blocks that the engine reports."""
        if report.slots != self.slots or report.pieces != self.kv_blocks:
            self.slots = self.slot_limit = report.slots
            self.kv_blocks = report.pieces
            self.refresh()


class EngineTable:
    """The engines of one group."""

    def __init__(self, limits: GroupLimits) -> None:
        self.limits = limits
        self.prefill: dict[ServerId, PrefillEngine] = {}
        self.decode: dict[ServerId, DecodeEngine] = {}
        self.slots = SlotIndex()

    def replace(self, prefill: Iterable[ServerId], decode: Iterable[ServerId]) -> set[ServerId]:
        """Replaces the list of engines and returns those that were removed."""
        prefill, decode = set(prefill), set(decode)
        gone = (self.prefill.keys() - prefill) | (self.decode.keys() - decode)
        for server in gone:
            self.prefill.pop(server, None)
            decode_engine = self.decode.pop(server, None)
            if decode_engine is not None:
                decode_engine.retire()
        for server in sorted(prefill - self.prefill.keys()):
            self.prefill[server] = PrefillEngine(server, self.limits)
        for server in sorted(decode - self.decode.keys()):
            self.decode[server] = DecodeEngine(server, self.limits, self.slots)
        return gone

    def get(self, server: ServerId) -> PrefillEngine | DecodeEngine | None:
        """Returns the engine of either role, or None if it is not listed."""
        return self.prefill.get(server) or self.decode.get(server)

    def open_prefill(self) -> int:
        """Returns the number of prefill engines that are neither leaving nor ejected."""
        return [engine.availability for engine in self.prefill.values()].count(Availability.OPEN)
