"""Joint placement of prefill and decode for one engine group.

The scheduler does no I/O: callers pass messages and reports with the current time and get
decisions back. It stores nothing durably, and its view may be outdated: an engine refuses a
request that does not fit, even if the scheduler has reserved a slot for it.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

import msgspec

from medlarvale.ids import AttemptNumber, HostIdentity, RequestId, ServerId
from medlarvale.scheduling.admission import Admission, Decision, RefusalCode
from medlarvale.scheduling.candidates import (
    Choice,
    choose_engines,
    is_constrained,
    open_prefill_engines,
)
from medlarvale.scheduling.engines import (
    RELEASE_SETTLE_MS,
    Availability,
    EngineTable,
    PrefillEngine,
)
from medlarvale.scheduling.health import HealthTable
from medlarvale.scheduling.limits import GroupLimits
from medlarvale.scheduling.messages import (
    Phase,
    Placed,
    Progress,
    Release,
    Reserve,
)
from medlarvale.scheduling.owners import OwnerQuery
from medlarvale.scheduling.prefixes import PrefixIndex
from medlarvale.scheduling.reports import CacheEvents, EngineRequest, LoadReport
from medlarvale.scheduling.reservations import Reservation, ReservationTable
from medlarvale.scheduling.waiting import ABANDONED_AFTER_MS, AttemptQueues, QueuedAttempt

HEALTH_PERIOD_MS = 100.0
PHASE_ORDER = list(Phase)


def _matches_reservation(message: Progress, reservation: Reservation) -> bool:
    return message.attempt == reservation.request.attempt and message.owner == reservation.owner


def _is_later(phase: Phase, known: Phase | None) -> bool:
    return known is None or PHASE_ORDER.index(phase) > PHASE_ORDER.index(known)


class OwnerCheck(msgspec.Struct, frozen=True):
    """Result of a check of the owners.

    Attributes:
        decisions: decisions on queued requests that use the freed slots.
        queries: queries to send to owners now.
    """

    decisions: list[Decision]
    queries: list[OwnerQuery]


class PlacementScheduler:
    """Places attempts of one engine group on prefill and decode engines.

    Args:
        limits: sizes, rates and shares of the group.
    """

    def __init__(self, limits: GroupLimits) -> None:
        self.limits = limits
        self.engines = EngineTable(limits)
        self.reservations = ReservationTable()
        self.waiting = AttemptQueues(limits)
        self.prefixes = PrefixIndex()
        self.health = HealthTable()
        self.admission = Admission(self.engines, self.waiting, self.prefixes)
        self._leaving: set[ServerId] = set()
        self._next_health_ms = 0.0
        self.more_to_place = False

    # Messages from entry hosts

    def reserve(self, request: Reserve, now_ms: float) -> list[Decision]:
        """Handles a placement request; it is queued if the result has no decision on it.

        A repeated request gets the same answer while its reservation lasts.
        """
        if self.reservations.has_ended(request.request_id, request.attempt):
            return [self.admission.refuse(request, RefusalCode.ATTEMPT_ENDED, now_ms)]
        known = self._known_attempt(request.request_id)
        if known is not None and (known.attempt > request.attempt or known.owner != request.owner):
            return [self.admission.refuse(request, RefusalCode.ATTEMPT_ENDED, now_ms)]
        if known is not None and known.attempt == request.attempt:
            return self._handle_repeat(request, now_ms)
        if known is not None:
            self._end(request.request_id, known.attempt, now_ms)
        admitted = self.admission.admit(request, now_ms)
        if isinstance(admitted, Decision):
            return [admitted]
        if self.waiting:
            self.waiting.push(admitted)
            return self._dispatch(now_ms)
        return self._place_at_once(admitted, now_ms)

    def progress(self, message: Progress, now_ms: float) -> list[Decision]:
        """Handles a phase change of an attempt."""
        reservation = self.reservations.get(message.request_id)
        if reservation is None or not _matches_reservation(message, reservation):
            return []
        if reservation.phase is None:
            # Every phase implies that the prefill has ended, even if messages arrive out of order.
            self._finish_prefill(reservation, now_ms)
        if _is_later(message.phase, reservation.phase):
            reservation.phase = message.phase
        return self._dispatch(now_ms)

    def release(self, message: Release, now_ms: float) -> list[Decision]:
        """Handles the end of an attempt."""
        known = self._known_attempt(message.request_id)
        if known is not None and known.owner != message.owner:
            return []
        ended = self._end(message.request_id, message.attempt, now_ms)
        # A repeated or late release must not count the same failure twice.
        if ended and message.failed is not None:
            self._record_failure(message.failed, now_ms)
        return self._dispatch(now_ms)

    def check_owners(self, live_owners: Collection[HostIdentity], now_ms: float) -> OwnerCheck:
        """Ends reservations whose owners are gone; called every ``OWNER_CHECK_MS``.

        Args:
            live_owners: incarnations of hosts whose last heartbeat is recent enough.
        """
        findings = self.reservations.owners.check(live_owners, now_ms)
        return OwnerCheck(self._end_all(findings.gone, now_ms), findings.queries)

    def apply_owner_reply(
        self, owner: HostIdentity, ended: Iterable[int], now_ms: float
    ) -> list[Decision]:
        """Ends the reservations that their owner reports as unused."""
        return self._end_all(self.reservations.owners.apply_reply(owner, ended), now_ms)

    def tick(self, now_ms: float) -> list[Decision]:
        """Drops queued requests that are abandoned or too late, and places the next that fits.

        Called every few milliseconds.
        """
        self.reservations.forget_ended(now_ms)
        decisions = [
            self._drop(entry, now_ms)
            for entry in self.waiting.entries()
            if entry.due_ms - now_ms < entry.min_first_token_ms
            or now_ms - entry.last_polled_ms > ABANDONED_AFTER_MS
        ]
        if now_ms >= self._next_health_ms:
            self._next_health_ms = now_ms + HEALTH_PERIOD_MS
            for server in [*self.engines.prefill, *self.engines.decode]:
                self._apply_health(server, now_ms)
        return decisions + self._dispatch(now_ms)

    # Reports of the platform and the engines

    def set_engines(
        self,
        prefill: Iterable[ServerId],
        decode: Iterable[ServerId],
        leaving: Iterable[ServerId],
        now_ms: float,
    ) -> None:
        """Replaces the list of engines; leaving engines get no new work."""
        for server in self.engines.replace(prefill, decode):
            self.prefixes.forget(server)
            self.health.forget(server)
        self._leaving = set(leaving)
        for server in [*self.engines.prefill, *self.engines.decode]:
            self._apply_health(server, now_ms)

    def observe_load(self, server: ServerId, report: LoadReport, now_ms: float) -> None:
        """Applies a load report, which may be outdated."""
        engine = self.engines.get(server)
        if engine is None:
            return
        if engine.epoch not in (None, report.epoch):
            self.prefixes.forget(server)
        if server in self.engines.decode:
            self.engines.decode[server].resize(report)
        elif engine.epoch is None:
            # Later reports lag behind the scheduler's own placements and would count them twice.
            prefill = self.engines.prefill[server]
            prefill.busy_until_ms = max(prefill.busy_until_ms, now_ms + report.queue_ms)
        engine.epoch = report.epoch
        if report.leaving:
            self._leaving.add(server)
        else:
            self._leaving.discard(server)
        self.health.record_reachable(server, now_ms)
        self._apply_health(server, now_ms)

    def observe_unreachable(self, server: ServerId, now_ms: float) -> None:
        """Records a probe that the engine did not answer."""
        self.health.record_unreachable(server, now_ms, self._group_size(server))
        self._apply_health(server, now_ms)

    def observe_requests(
        self, server: ServerId, requests: Iterable[EngineRequest], now_ms: float
    ) -> None:
        """Counts the requests on a decode engine that this scheduler did not place."""
        engine = self.engines.decode.get(server)
        if engine is None:
            return
        since_ms = now_ms - RELEASE_SETTLE_MS
        engine.replace_foreign(
            request
            for request in requests
            if request.request_id not in engine.held
            and not self.reservations.ended_since(request.request_id, request.attempt, since_ms)
        )

    def observe_cache(self, server: ServerId, answer: CacheEvents, now_ms: float) -> None:
        """Applies cache events of a prefill engine."""
        if server in self.engines.prefill:
            self.prefixes.apply(server, answer, now_ms)

    # Attempts

    def _known_attempt(self, request_id: RequestId) -> Reserve | None:
        reservation = self.reservations.get(request_id)
        if reservation is not None:
            return reservation.request
        entry = self.waiting.get(request_id)
        return entry.request if entry is not None else None

    def _handle_repeat(self, request: Reserve, now_ms: float) -> list[Decision]:
        reservation = self.reservations.get(request.request_id)
        if reservation is not None:
            return [Decision(request.owner, reservation.placed)]
        entry = self.waiting.get(request.request_id)
        if entry is not None:
            entry.last_polled_ms = now_ms
        return []

    def _end_all(self, requests: list[RequestId], now_ms: float) -> list[Decision]:
        for request_id in requests:
            reservation = self.reservations.get(request_id)
            if reservation is not None:
                self._end(request_id, reservation.request.attempt, now_ms)
        return self._dispatch(now_ms) if requests else []

    def _end(self, request_id: RequestId, attempt: AttemptNumber, now_ms: float) -> bool:
        entry = self.waiting.get(request_id)
        if entry is not None and entry.request.attempt <= attempt:
            self.waiting.remove(entry)
        reservation = self.reservations.end(request_id, attempt, now_ms)
        if reservation is not None:
            self._free(reservation, now_ms)
            return True
        for engine in self.engines.decode.values():
            engine.forget_foreign(request_id, attempt)
        return False

    def _free(self, reservation: Reservation, now_ms: float) -> None:
        request_id = reservation.request.request_id
        decode = self.engines.decode.get(reservation.placed.decode)
        if decode is not None:
            decode.free(request_id)
            decode.suspects.discard(request_id)
        prefill = self.engines.prefill.get(reservation.placed.prefill)
        if prefill is not None:
            prefill.finish(request_id, now_ms)
            prefill.suspects.discard(request_id)
        if reservation.phase is Phase.DECODING:
            self.admission.estimate.record_residence(now_ms - reservation.placed_at_ms)

    def _finish_prefill(self, reservation: Reservation, now_ms: float) -> None:
        server = reservation.placed.prefill
        prefill = self.engines.prefill.get(server)
        if prefill is not None:
            prefill.finish(reservation.request.request_id, now_ms)
            prefill.suspects.discard(reservation.request.request_id)

    # Placement

    def _place_at_once(self, entry: QueuedAttempt, now_ms: float) -> list[Decision]:
        """Places an entry while no other is queued, or queues it."""
        open_prefill = open_prefill_engines(self.engines, now_ms)
        choice = None
        if open_prefill and self.engines.slots.free_slots:
            choice = choose_engines(
                entry.request, open_prefill, self.engines, self.prefixes, now_ms
            )
        if choice is not None and choice.transfer_end_ms <= entry.due_ms:
            return [self._place(entry, choice, now_ms)]
        self.waiting.push(entry)
        return [] if choice is None else [self._drop(entry, now_ms)]

    def place_waiting(self, now_ms: float) -> list[Decision]:
        """Decides on the next queued request; called until ``more_to_place`` is false."""
        return self._dispatch(now_ms)

    def _dispatch(self, now_ms: float) -> list[Decision]:
        """Decides on at most one queued request.

        One message may free capacity for several requests. Deciding on one of them in each call
        keeps their order and lets other messages be handled in between.
        """
        self.more_to_place = False
        if not self.waiting or not self.engines.slots.free_slots:
            return []
        open_prefill = open_prefill_engines(self.engines, now_ms)
        decision = self._place_next(open_prefill, now_ms) if open_prefill else None
        if decision is None:
            return []
        self.more_to_place = bool(self.waiting)
        return [decision]

    def _place_next(self, open_prefill: list[PrefillEngine], now_ms: float) -> Decision | None:
        for queue in self.waiting.queues_in_order():
            for entry in queue.heads():
                choice = choose_engines(
                    entry.request, open_prefill, self.engines, self.prefixes, now_ms
                )
                if choice is not None:
                    return self._place_or_drop(entry, choice, now_ms)
                # Later requests must not overtake this one: as long as some of them have a longer
                # prefill or need fewer KV blocks, they would take the link time or memory that it
                # waits for. Only a constrained request is overtaken, because engines that it may
                # not use can be free.
                if not is_constrained(entry.request):
                    return None
        return None

    def _place_or_drop(self, entry: QueuedAttempt, choice: Choice, now_ms: float) -> Decision:
        if choice.transfer_end_ms > entry.due_ms:
            return self._drop(entry, now_ms)
        self.waiting.serve(entry, choice.prefill_ms)
        return self._place(entry, choice, now_ms)

    def _place(self, entry: QueuedAttempt, choice: Choice, now_ms: float) -> Decision:
        request = entry.request
        choice.prefill.start(request.request_id, choice.prefill_ms, choice.prefill_end_ms)
        choice.decode.hold(request.request_id, choice.kv_blocks)
        choice.prefill.link_free_ms = choice.decode.link_free_ms = choice.transfer_end_ms
        if request.isolate:
            choice.prefill.suspects.add(request.request_id)
            choice.decode.suspects.add(request.request_id)
        self.prefixes.record_expected(choice.prefill.server, request.prefix_hashes, now_ms)
        self.admission.waits.record_wait(request.workspace, entry.arrived_ms, now_ms)
        self.admission.waits.record_served(request.workspace, choice.prefill_ms, now_ms)
        placed = Placed(
            request_id=request.request_id,
            attempt=request.attempt,
            prefill=choice.prefill.server,
            decode=choice.decode.server,
            pieces=choice.kv_blocks,
        )
        self.reservations.add(
            Reservation(
                request=request,
                placed=placed,
                prefill_ms=choice.prefill_ms,
                placed_at_ms=now_ms,
            )
        )
        return Decision(request.owner, placed)

    def _drop(self, entry: QueuedAttempt, now_ms: float) -> Decision:
        self.waiting.remove(entry)
        return self.admission.refuse(entry.request, RefusalCode.DEADLINE, now_ms, entry.arrived_ms)

    # Health

    def _record_failure(self, server: ServerId, now_ms: float) -> None:
        self.health.record_failure(server, now_ms, self._group_size(server))
        self._apply_health(server, now_ms)

    def _group_size(self, server: ServerId) -> int:
        in_prefill = server in self.engines.prefill
        return len(self.engines.prefill if in_prefill else self.engines.decode)

    def _apply_health(self, server: ServerId, now_ms: float) -> None:
        engine = self.engines.get(server)
        if engine is None:
            return
        share = self.health.share_allowed(server, now_ms)
        if server in self._leaving:
            engine.availability = Availability.LEAVING
        elif share <= 0.0:
            engine.availability = Availability.EJECTED
        else:
            engine.availability = Availability.OPEN
        decode = self.engines.decode.get(server)
        if decode is not None:
            decode.slot_limit = max(1, int(decode.slots * share))
            decode.refresh()
