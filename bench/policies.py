"""Placement policies: the placement scheduler, and hosts that each decide by delayed reports."""

from __future__ import annotations

import random
from collections import deque

import msgspec

from bench.fakes import Attempt, FakeDecode, FakePrefill
from bench.runner import ONE_WAY_MS, Runner
from medlarvale.ids import (
    AttemptNumber,
    HostId,
    HostIdentity,
    Incarnation,
    RequestId,
    ServerId,
    ServiceName,
    WorkspaceId,
)
from medlarvale.scheduling.admission import Decision
from medlarvale.scheduling.fallback import LoadTable, place_locally
from medlarvale.scheduling.group import QUEUE_POLL_MS
from medlarvale.scheduling.limits import GroupLimits
from medlarvale.scheduling.messages import (
    Phase,
    Placed,
    Progress,
    Release,
    Reserve,
)
from medlarvale.scheduling.owned import OwnedRequests
from medlarvale.scheduling.owners import OWNER_CHECK_MS, OwnerQuery
from medlarvale.scheduling.reports import (
    CacheEvent,
    CacheEventKind,
    CacheEvents,
    EngineRequest,
    LoadReport,
)
from medlarvale.scheduling.scheduler import PlacementScheduler

SERVICE = ServiceName("model")
POLL_MS = 500.0
SCHEDULER_HOST = HostId("booker")
TICK_MS = 5.0
REPORT_SAMPLE_MS = 100.0
CACHE_EVENT_LAG_MS = 500.0
CACHE_EVENT_LOSS_SHARE = 0.05


def owner_of(attempt: Attempt) -> HostIdentity:
    """Returns the identity of the entry host that received a request."""
    return HostIdentity(HostId(f"host-{attempt.request.host}"), Incarnation(1))


def reserve_message(attempt: Attempt, now_ms: float) -> Reserve:
    """Returns the message that requests a placement for an attempt."""
    request = attempt.request
    return Reserve(
        request_id=RequestId(attempt.key),
        attempt=AttemptNumber(attempt.number),
        owner=owner_of(attempt),
        service=SERVICE,
        workspace=WorkspaceId(request.workspace),
        work_class=request.work_class,
        prompt_tokens=attempt.prompt_tokens,
        expected_output_tokens=max(1, request.expected_output_tokens - attempt.start_tokens),
        prefix_hashes=request.hashes,
        deadline_ms=max(1, int(attempt.due_ms - now_ms)),
        excluded=[ServerId(server) for server in request.excluded],
    )


def load_report(engine: FakePrefill | FakeDecode) -> LoadReport | None:
    """Returns the current load of an engine, or None if it is lost."""
    if isinstance(engine, FakePrefill):
        return LoadReport("prefill", 0, 0, 0, 0, queue_ms=engine.queue_ms())
    if not engine.alive:
        return None
    limits = engine.limits
    return LoadReport(
        "decode",
        limits.slots_per_engine,
        engine.slots_used,
        limits.pieces_per_engine,
        engine.kv_blocks_used,
        epoch=engine.epoch,
    )


class LaggingReports:
    """Load reports, delayed by the report lag of the scenario."""

    def __init__(self, runner: Runner) -> None:
        self._runner = runner
        self._samples: dict[str, deque[LoadReport | None]] = {}
        depth = max(1, round(runner.scenario.report_lag_ms / REPORT_SAMPLE_MS))
        for server in runner.by_server:
            self._samples[server] = deque(maxlen=depth + 1)
        runner.events.every(REPORT_SAMPLE_MS, self._sample)

    def read(self, server: str) -> LoadReport | None:
        """Returns the oldest sample, or None while the engine is lost or has no sample."""
        samples = self._samples[server]
        return samples[0] if samples and samples[-1] is not None else None

    def _sample(self) -> None:
        for server, engine in self._runner.by_server.items():
            self._samples[server].append(load_report(engine))


class SchedulerPolicy:
    """The placement scheduler, with message delays, engine polls and owner checks."""

    def __init__(self, limits: GroupLimits) -> None:
        self.scheduler = PlacementScheduler(limits)
        self._attempts: dict[tuple[str, int], Attempt] = {}
        self._generator = random.Random(7)
        self._placement_scheduled = False

    def attach(self, runner: Runner) -> None:
        """Starts the ticks, the polls and the checks of owners and queued requests."""
        self._runner = runner
        self._events = runner.events
        self.scheduler.set_engines(
            [ServerId(engine.server) for engine in runner.prefill],
            [ServerId(engine.server) for engine in runner.decode],
            [],
            0.0,
        )
        self._reports = LaggingReports(runner)
        self._cache_next = {engine.server: 0 for engine in runner.prefill}
        self._events.every(TICK_MS, lambda: self._deliver(self.scheduler.tick(self._events.now_ms)))
        self._events.every(POLL_MS, self._poll)
        self._owned: dict[HostIdentity, OwnedRequests] = {}
        self._events.every(OWNER_CHECK_MS, self._check_owners)
        self._events.every(QUEUE_POLL_MS, self._repeat_queued)

    def reserve(self, attempt: Attempt) -> None:
        """Sends the request to the placement scheduler."""
        self._attempts[attempt.key, attempt.number] = attempt
        message = reserve_message(attempt, self._events.now_ms + ONE_WAY_MS)
        owned = self._owned.setdefault(message.owner, OwnedRequests())
        owned.add(message.request_id, message.attempt, SERVICE)
        owned.set_scheduler_host(message.request_id, SCHEDULER_HOST)
        self._send(message)

    def pick_decode(self, attempt: Attempt, tried: set[str]) -> FakeDecode | None:
        """Not used: every placement includes a decode engine."""
        raise NotImplementedError

    def prefilled(self, attempt: Attempt) -> None:
        """Reports the end of the prefill to the scheduler."""
        self._progress(attempt, Phase.PREFILLED)

    def decoding(self, attempt: Attempt) -> None:
        """Reports the first token to the scheduler."""
        self._progress(attempt, Phase.DECODING)

    def ended(self, attempt: Attempt, failed: str | None) -> None:
        """Releases the reservation."""
        self._attempts.pop((attempt.key, attempt.number), None)
        server = ServerId(failed) if failed else None
        owned = self._owned[owner_of(attempt)]
        owned.end(RequestId(attempt.key), AttemptNumber(attempt.number))
        self._send(
            Release(
                RequestId(attempt.key),
                AttemptNumber(attempt.number),
                owner_of(attempt),
                SERVICE,
                server,
            )
        )

    def _progress(self, attempt: Attempt, phase: Phase) -> None:
        self._send(
            Progress(
                RequestId(attempt.key),
                AttemptNumber(attempt.number),
                owner_of(attempt),
                SERVICE,
                phase,
            )
        )

    def _send(self, message: msgspec.Struct) -> None:
        self._events.after(ONE_WAY_MS, self._handle, message)

    def _handle(self, message: msgspec.Struct) -> None:
        now_ms = self._events.now_ms
        match message:
            case Reserve():
                self._deliver(self.scheduler.reserve(message, now_ms))
            case Progress():
                self._deliver(self.scheduler.progress(message, now_ms))
            case Release():
                self._deliver(self.scheduler.release(message, now_ms))

    def _place_waiting(self) -> None:
        self._placement_scheduled = False
        self._deliver(self.scheduler.place_waiting(self._events.now_ms))

    def _deliver(self, decisions: list[Decision]) -> None:
        if self.scheduler.more_to_place and not self._placement_scheduled:
            self._placement_scheduled = True
            self._events.after(0.0, self._place_waiting)
        for decision in decisions:
            self._events.after(ONE_WAY_MS, self._receive, decision)

    def _receive(self, decision: Decision) -> None:
        answer = decision.answer
        attempt = self._attempts.get((answer.request_id, answer.attempt))
        if attempt is None:
            return
        if isinstance(answer, Placed):
            prefill = self._runner.by_server[answer.prefill]
            decode = self._runner.by_server[answer.decode]
            assert isinstance(prefill, FakePrefill) and isinstance(decode, FakeDecode)
            self._runner.placed(attempt, prefill, decode)
        else:
            self._runner.refused(attempt)

    def _check_owners(self) -> None:
        check = self.scheduler.check_owners(self._owned.keys(), self._events.now_ms)
        self._deliver(check.decisions)
        for query in check.queries:
            self._events.after(ONE_WAY_MS, self._answer_query, query)

    def _answer_query(self, query: OwnerQuery) -> None:
        ended = self._owned[query.owner].ended_digests(SCHEDULER_HOST, query.digests)
        self._events.after(ONE_WAY_MS, self._handle_owner_reply, query.owner, ended)

    def _handle_owner_reply(self, owner: HostIdentity, ended: list[int]) -> None:
        self._deliver(self.scheduler.apply_owner_reply(owner, ended, self._events.now_ms))

    def _repeat_queued(self) -> None:
        """Repeats the queued requests, as hosts do after a ``Queued`` reply."""
        now_ms = self._events.now_ms
        for entry in self.scheduler.waiting.entries():
            self.scheduler.reserve(entry.request, now_ms)

    def _poll(self) -> None:
        now_ms = self._events.now_ms
        for prefill in self._runner.prefill:
            self._observe_load(prefill.server)
            events = self._cache_events(prefill)
            self.scheduler.observe_cache(ServerId(prefill.server), events, now_ms)
        for decode in self._runner.decode:
            if decode.alive:
                self._observe_load(decode.server)
                self._observe_requests(decode)
            else:
                self.scheduler.observe_unreachable(ServerId(decode.server), now_ms)

    def _observe_load(self, server: str) -> None:
        report = self._reports.read(server)
        if report is not None:
            self.scheduler.observe_load(ServerId(server), report, self._events.now_ms)

    def _observe_requests(self, decode: FakeDecode) -> None:
        requests = [
            EngineRequest(
                RequestId(attempt.key),
                AttemptNumber(attempt.number),
                str(owner_of(attempt)),
                "decoding",
                kv_blocks,
                0.0,
            )
            for attempt, kv_blocks in [*decode.reserved.items(), *decode.active.items()]
        ]
        self.scheduler.observe_requests(ServerId(decode.server), requests, self._events.now_ms)

    def _cache_events(self, engine: FakePrefill) -> CacheEvents:
        """Returns the events published since the last poll; a random share of them is missing."""
        events = []
        position = self._cache_next[engine.server]
        published_until_ms = self._events.now_ms - CACHE_EVENT_LAG_MS
        while position < len(engine.published):
            at_ms, prefix, stored = engine.published[position]
            if at_ms > published_until_ms:
                break
            if self._generator.random() >= CACHE_EVENT_LOSS_SHARE:
                kind = CacheEventKind.STORED if stored else CacheEventKind.EVICTED
                events.append(CacheEvent(position, kind, prefix))
            position += 1
        self._cache_next[engine.server] = position
        return CacheEvents(events, position)


class _UncoordinatedPolicy:
    """Entry hosts that poll the engines on their own and do not coordinate."""

    def __init__(self, limits: GroupLimits) -> None:
        self._limits = limits
        self._generator = random.Random(11)

    def attach(self, runner: Runner) -> None:
        """Starts the polls of the hosts, staggered over the poll period."""
        self._runner = runner
        self._events = runner.events
        self._reports = LaggingReports(runner)
        hosts = runner.scenario.hosts
        self._tables = [LoadTable() for _ in range(hosts)]
        for host in range(hosts):
            start_ms = host * POLL_MS / hosts
            self._events.every(
                POLL_MS, lambda table=self._tables[host]: self._poll(table), start_ms
            )

    def prefilled(self, attempt: Attempt) -> None:
        """Does nothing: there is no scheduler to notify."""

    def decoding(self, attempt: Attempt) -> None:
        """Does nothing: there is no scheduler to notify."""

    def ended(self, attempt: Attempt, failed: str | None) -> None:
        """Ignores a failed engine until it answers a poll again."""
        if failed is not None:
            self._tables[attempt.request.host].forget(ServerId(failed))

    def _poll(self, table: LoadTable) -> None:
        for server in self._runner.by_server:
            report = self._reports.read(server)
            if report is None:
                table.forget(ServerId(server))
            else:
                table.observe(ServerId(server), report, self._events.now_ms)


class IndependentPolicy(_UncoordinatedPolicy):
    """Picks the prefill and the decode engine separately, each by the delayed reports.

    The decode engine is chosen after the prefill, as in routers that place the two stages
    separately. If it is full, the next best one is tried, until the KV cache expires.
    """

    def reserve(self, attempt: Attempt) -> None:
        """Picks the prefill engine with the shortest reported queue."""
        table = self._tables[attempt.request.host]
        now_ms = self._events.now_ms
        queues = [
            (queue_ms, self._generator.random(), engine)
            for engine in self._runner.prefill
            if (queue_ms := table.queue_ms(ServerId(engine.server), now_ms)) is not None
        ]
        best = min(queues, default=None)
        prefill_ms = 1000.0 * attempt.prompt_tokens / self._limits.prefill_tokens_per_s
        if best is None or now_ms + best[0] + prefill_ms > attempt.due_ms:
            self._runner.refused(attempt)
            return
        self._runner.placed(attempt, best[2], None)

    def pick_decode(self, attempt: Attempt, tried: set[str]) -> FakeDecode | None:
        """Picks the untried decode engine with the most reported free slots."""
        table = self._tables[attempt.request.host]
        options = [
            (slots, self._generator.random(), engine)
            for engine in self._runner.decode
            if engine.server not in tried
            and (slots := table.free_slots(ServerId(engine.server), self._events.now_ms))
            is not None
        ]
        best = max(options, default=None)
        return best[2] if best is not None else None


class TwoChoicesPolicy(_UncoordinatedPolicy):
    """The local fallback: picks both engines at once, each the better of two random ones.

    The slot is reserved at the decode engine while the prefill starts, so a full engine costs a
    cancelled prefill and a new attempt.
    """

    def reserve(self, attempt: Attempt) -> None:
        """Places an attempt with the fallback module."""
        answer = place_locally(
            reserve_message(attempt, self._events.now_ms),
            [ServerId(engine.server) for engine in self._runner.prefill],
            [ServerId(engine.server) for engine in self._runner.decode],
            self._tables[attempt.request.host],
            self._limits,
            self._generator,
            self._events.now_ms,
        )
        if not isinstance(answer, Placed):
            self._runner.refused(attempt)
            return
        prefill = self._runner.by_server[answer.prefill]
        decode = self._runner.by_server[answer.decode]
        assert isinstance(prefill, FakePrefill) and isinstance(decode, FakeDecode)
        self._runner.placed(attempt, prefill, decode)

    def pick_decode(self, attempt: Attempt, tried: set[str]) -> FakeDecode | None:
        """Not used: every placement includes a decode engine."""
        raise NotImplementedError
