"""Runs a load on forwarding hosts with emulated engines and counts the outcomes of requests."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec
from multidict import CIMultiDict

from bench.forwarding.engines import EmulatedBackends, EmulatedEngine, EngineModel
from bench.forwarding.groups import CallerGroup, CallerRecord, Outcome
from bench.forwarding.virtual_time import VirtualClock, run_virtual
from medlarvale.forwarding.context import ForwardingContext, RetryLimits
from medlarvale.forwarding.errors import ForwardingError, OverloadedError
from medlarvale.forwarding.memory_request import patience_ms
from medlarvale.forwarding.messages import (
    ClientRequest,
    EngineStage,
    EngineTraits,
    PromptPartId,
    RequestIdentity,
    RequestLimits,
    Route,
    RouteKind,
    RouteTable,
    Server,
    ServerState,
    Target,
    TokenCounts,
    Workspace,
)
from medlarvale.forwarding.servers import ServerTable
from medlarvale.forwarding.stream_versions import versions_without_history
from medlarvale.forwarding.streams import StreamForwarder
from medlarvale.ids import (
    ConfigVersion,
    FailureDomain,
    HostId,
    RequestId,
    ServerId,
    ServiceName,
)
from medlarvale.overload.priorities import ConfiguredPriorities

SERVICE = ServiceName("llm")
FIRST_EVENT_TARGET_MS = 900.0
GAP_TARGET_MS = 300.0
DEADLINE_MS = 14_000.0
# Share of its value that a late answer retains.
LATE_VALUE_SHARE = 0.2
# Time after which a caller that heeds no Retry-After returns.
RETURN_MS = 20.0
# Period in which two hosts exchange what they have measured.
FIGURES_PERIOD_S = 1.0


@dataclass(frozen=True, slots=True)
class LoadPattern:
    """Load of one run; the defaults are those of the site Glatføre on a day with disruptions.

    Attributes:
        rate_per_s: streams per second outside bursts.
        bursts: start in s, duration in s and factor on the rate of each burst.
        losses: name of each lost engine, with the times of its loss and return in s.
        slow: names of slow engines, with the factor on their durations.
        host_weights: relative shares of the callers at the first hosts; others have 1.
        prompt_mean: prompt tokens, without the shared part.
        events_mean: events of an answer.
        events_spread: standard deviation of the logarithm of the number of events.
        hint_error: standard deviation of the logarithm of output hints against outputs.
        groups: groups of callers, instead of ``rate_per_s`` and ``bursts``.
        drains: name of each engine that drains and comes back, with both times in s.
        sessions: number of sessions, whose prompts begin with a part of their own.
        session_tokens: size of this part, which comes on top of the prompt.
    """

    name: str
    domains: tuple[str, ...] = ("a", "b", "c")
    hosts: int = 4
    prefill: int = 2
    decode: int = 3
    rate_per_s: float = 6.0
    duration_s: float = 20.0
    bursts: tuple[tuple[float, float, float], ...] = ()
    losses: tuple[tuple[str, float, float], ...] = ()
    slow: tuple[tuple[str, float], ...] = ()
    host_weights: tuple[float, ...] = (1.4, 0.6)
    model: EngineModel = field(default_factory=EngineModel)
    prompt_mean: float = 5_000.0
    prompt_max: float = 11_000.0
    events_mean: float = 67.0
    events_spread: float = 0.7
    events_max: int = 160
    hint_error: float = 0.5
    groups: tuple[CallerGroup, ...] = ()
    drains: tuple[tuple[str, float, float], ...] = ()
    sessions: int = 0
    session_tokens: int = 0


@dataclass(slots=True)
class Figures:
    """Outcomes of the requests of a load."""

    requests: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    earned_value: float = 0.0
    total_value: float = 0.0
    prefilled_tokens: int = 0
    cached_tokens: int = 0
    prompt_tokens: int = 0
    preempted: int = 0
    pauses: int = 0
    first_event_ms: list[float] = field(default_factory=list)
    records: list[CallerRecord] = field(default_factory=list)

    @property
    def value_share(self) -> float:
        """Share of the total value of the requests that was earned."""
        return self.earned_value / max(1e-9, self.total_value)


class _Caller:
    """Receiver of one stream, which records the times of its events."""

    def __init__(self) -> None:
        self.started_ms: float | None = None
        self.last_ms: float | None = None
        self.gap_ms = 0.0
        self.finished = False

    async def start(self, status: int, headers: CIMultiDict[str]) -> None:
        """Ignores the head of the response."""

    async def write(self, data: bytes) -> None:
        """Records the time of events."""
        now_ms = asyncio.get_running_loop().time() * 1000.0
        if self.started_ms is None:
            self.started_ms = now_ms
        if self.last_ms is not None:
            self.gap_ms = max(self.gap_ms, now_ms - self.last_ms)
        self.last_ms = now_ms

    async def finish(self) -> None:
        """Records the end of the stream."""
        self.finished = True


class _Told:
    """Refusals of one request, see ``CallerRecord``."""

    def __init__(self) -> None:
        self.reasons: list[str] = []
        self.after_ms: list[float] = []
        self.retry_after_ms: list[float] = []


class _PermissiveGuard:
    """Guard that admits every request."""

    def identify(
        self, request: ClientRequest, service: ServiceName, targets: Iterable[Target] = ()
    ) -> RequestIdentity:
        """Returns the same fingerprint for every request."""
        return RequestIdentity(request.request_id, (0,))

    def check(self, identity: RequestIdentity) -> None:
        """Permits the request."""

    def note_broken_run(
        self, identity: RequestIdentity, server: Server, events: int, *, went_on: bool = False
    ) -> None:
        """Ignores broken runs."""

    def note_clean_run(self, identity: RequestIdentity, *, complete: bool = True) -> None:
        """Ignores clean runs."""


def _lognormal(rng: random.Random, mean: float, sigma: float, maximum: float) -> float:
    return min(maximum, rng.lognormvariate(math.log(mean) - sigma * sigma / 2.0, sigma))


class LoadRun:
    """One run of a pattern.

    Args:
        pattern: load of the run.
        seed: seed of all random choices.
    """

    def __init__(self, pattern: LoadPattern, seed: int) -> None:
        self._pattern = pattern
        self._rng = random.Random(seed)
        self._outputs: dict[str, int] = {}
        self.figures = Figures()
        self._engines: dict[ServerId, EmulatedEngine] = {}
        self._hosts: list[StreamForwarder] = []
        self._tables: list[ServerTable] = []
        self._route = Route(
            "r",
            "callers.example",
            "/",
            RouteKind.STREAM,
            DEADLINE_MS,
            FIRST_EVENT_TARGET_MS,
            1,
            (Target(SERVICE, 1.0),),
            2,
            resumable=True,
            gap_target_ms=GAP_TARGET_MS,
        )

    async def run(self) -> Figures:
        """Runs the load until every caller has an outcome."""
        self._build()
        callers: list[asyncio.Task[None]] = []
        loop = asyncio.get_running_loop()
        for name, lost_s, back_s in self._pattern.losses:
            engine = self._engines[ServerId(name)]
            loop.call_later(lost_s, engine.crash)
            loop.call_later(back_s, setattr, engine, "alive", True)
        for name, drained_s, back_s in self._pattern.drains:
            loop.call_later(drained_s, self._list, ServerId(name), ServerState.DRAINING)
            loop.call_later(back_s, self._list, ServerId(name), ServerState.READY)
        sharing = loop.create_task(self._share_figures())
        number = 0
        while loop.time() < self._pattern.duration_s:
            await asyncio.sleep(self._rng.expovariate(self._rate_per_s(loop.time())))
            number += 1
            callers.append(loop.create_task(self._call(number, self._draw_group(loop.time()))))
        await asyncio.gather(*callers)
        sharing.cancel()
        for engine in self._engines.values():
            self.figures.prefilled_tokens += engine.counts.prefilled_tokens
            self.figures.cached_tokens += engine.counts.cached_tokens
            self.figures.preempted += engine.counts.preempted
        return self.figures

    async def _share_figures(self) -> None:
        """Sends what each host has measured to all others, as hellos do."""
        while True:
            await asyncio.sleep(FIGURES_PERIOD_S)
            for number, host in enumerate(self._hosts):
                figures = host.own_figures()
                for other in self._hosts:
                    if other is not host:
                        other.note_peer(HostId(f"h{number}"), figures)
                        other.note_peer_waiting(HostId(f"h{number}"), host.waiting())

    def _list(self, name: ServerId, state: ServerState) -> None:
        entry = msgspec.structs.replace(_server_entry(self._engines[name]), state=state)
        for table in self._tables:
            table.upsert(entry)

    def _draw_group(self, now_s: float) -> CallerGroup | None:
        groups = self._pattern.groups
        if not groups:
            return None
        return self._rng.choices(groups, [group.rate_at(now_s) for group in groups])[0]

    def _rate_per_s(self, now_s: float) -> float:
        if self._pattern.groups:
            return sum(group.rate_at(now_s) for group in self._pattern.groups)
        rate = self._pattern.rate_per_s
        for start_s, duration_s, factor in self._pattern.bursts:
            if start_s <= now_s < start_s + duration_s:
                rate *= factor
        return rate

    def _build(self) -> None:
        pattern, clock = self._pattern, VirtualClock()
        slow = dict(pattern.slow)
        for stage, count in (
            (EngineStage.PREFILL, pattern.prefill),
            (EngineStage.DECODE, pattern.decode),
        ):
            for number in range(count):
                name = f"{stage.value[0]}{number}"
                domain = pattern.domains[len(self._engines) % len(pattern.domains)]
                self._engines[ServerId(name)] = EmulatedEngine(
                    name, domain, stage, pattern.model, slow.get(name, 1.0)
                )
        traits = EngineTraits(
            pattern.model.slots, pattern.model.memory_tokens, 500.0, 2_000.0, 6_000.0
        )
        configured = _route_table(pattern.groups, self._route)
        for number in range(pattern.hosts):
            domain = FailureDomain(pattern.domains[number % len(pattern.domains)])
            table = ServerTable(domain, random.Random(self._rng.random()))
            for engine in self._engines.values():
                table.upsert(_server_entry(engine))
            backends = EmulatedBackends(self._engines, domain, self._outputs)
            context = ForwardingContext(
                backends,
                table,
                clock,
                random.Random(self._rng.random()),
                lambda: RetryLimits(0.2, 54.0 / pattern.hosts),
                _PermissiveGuard(),
                lambda: pattern.hosts,
                versions_without_history(backends, table, clock),
            )
            context.priorities = ConfiguredPriorities(lambda: configured)
            self._tables.append(table)
            self._hosts.append(StreamForwarder(context, lambda service: traits))

    def _draw_host(self) -> StreamForwarder:
        weights = [1.0] * len(self._hosts)
        weights[: len(self._pattern.host_weights)] = self._pattern.host_weights
        return self._rng.choices(self._hosts, weights[: len(self._hosts)])[0]

    async def _call(self, number: int, group: CallerGroup | None) -> None:
        rng, pattern = self._rng, self._pattern
        prompt_factor = group.prompt_factor if group is not None else 1.0
        events_factor = group.events_factor if group is not None else 1.0
        prompt_mean = pattern.prompt_mean * prompt_factor
        prompt = int(_lognormal(rng, prompt_mean, 0.5, pattern.prompt_max)) + 200
        events_mean = pattern.events_mean * events_factor
        shared: tuple[PromptPartId, ...] = ()
        if pattern.sessions:
            shared = (PromptPartId(f"session-{rng.randrange(pattern.sessions)}"),)
            prompt += pattern.session_tokens
        events = max(
            1, int(_lognormal(rng, events_mean, pattern.events_spread, pattern.events_max))
        )
        per_event = pattern.model.tokens_per_event
        output = events * per_event
        hint = max(1, int(output * rng.lognormvariate(0.0, pattern.hint_error)))
        mean_output = pattern.events_mean * per_event
        size = (prompt + 10 * output) / (pattern.prompt_mean + 200 + 10 * mean_output)
        value = min(4.0, 0.3 + 0.7 * size)
        figures = self.figures
        figures.requests += 1
        figures.total_value += value
        figures.prompt_tokens += prompt
        loop = asyncio.get_running_loop()
        arrived_ms = loop.time() * 1000.0
        leaves_ms = math.inf
        if group is not None and rng.random() < group.leaving_share:
            leaves_ms = arrived_ms + rng.uniform(0.0, DEADLINE_MS / 2.0)
        told = _Told()

        def note(outcome: Outcome) -> None:
            if group is not None:
                ended_ms = loop.time() * 1000.0
                figures.records.append(
                    CallerRecord(
                        group,
                        arrived_ms,
                        prompt + output,
                        outcome,
                        ended_ms,
                        tuple(told.reasons),
                        tuple(told.after_ms),
                        tuple(told.retry_after_ms),
                    )
                )

        attempts = group.attempts if group is not None else 2
        for attempt in range(attempts):
            now_ms = loop.time() * 1000.0
            request = ClientRequest(
                RequestId(f"{number}-{attempt}"),
                "POST",
                "callers.example",
                "/x",
                CIMultiDict(),
                b"",
                now_ms,
                DEADLINE_MS - (now_ms - arrived_ms),
                TokenCounts(prompt, pattern.events_max * per_event, hint),
                workspace=group.workspace if group is not None else None,
                priority=group.priority if group is not None else None,
                shared_parts=shared,
                part_tokens=(*(pattern.session_tokens for _ in shared), 0),
            )
            self._outputs[request.request_id] = output
            caller = _Caller()
            retry_after_ms = await self._attempt(request, caller, told, leaves_ms)
            if caller.finished:
                assert caller.started_ms is not None
                figures.first_event_ms.append(caller.started_ms - arrived_ms)
                in_time = (
                    caller.started_ms - arrived_ms <= FIRST_EVENT_TARGET_MS
                    and caller.gap_ms <= GAP_TARGET_MS
                )
                figures.in_time += in_time
                figures.pauses += caller.gap_ms > GAP_TARGET_MS
                figures.late += not in_time
                figures.earned_value += value * (1.0 if in_time else LATE_VALUE_SHARE)
                note(Outcome.IN_TIME if in_time else Outcome.LATE)
                return
            if retry_after_ms is None:
                figures.failed += 1
                note(Outcome.LEFT if loop.time() * 1000.0 >= leaves_ms else Outcome.FAILED)
                return
            if group is not None and group.returns_at_once:
                await asyncio.sleep(RETURN_MS / 1000.0)
            elif attempt < attempts - 1:
                left_ms = DEADLINE_MS - (loop.time() * 1000.0 - arrived_ms)
                await asyncio.sleep(min(retry_after_ms, left_ms / 3.0) / 1000.0)
        figures.refused += 1
        note(Outcome.REFUSED)

    async def _attempt(
        self, request: ClientRequest, caller: _Caller, told: _Told, leaves_ms: float
    ) -> float | None:
        """Sends one attempt; returns the delay before a retry, or None if there is no retry."""
        host = self._draw_host()
        task = asyncio.get_running_loop().create_task(
            host.forward(request, self._route, SERVICE, caller)
        )
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=0.1)
                since_ms = caller.last_ms or request.received_ms
                waited_ms = asyncio.get_running_loop().time() * 1000.0 - since_ms
                left = asyncio.get_running_loop().time() * 1000.0 >= leaves_ms
                if not task.done() and (left or waited_ms > patience_ms(self._route)):
                    task.cancel()
                    await asyncio.wait({task})
                    return None
            task.result()
        except OverloadedError as error:
            told.reasons.append(error.message)
            told.after_ms.append(asyncio.get_running_loop().time() * 1000.0 - request.received_ms)
            told.retry_after_ms.append(float(error.retry_after_ms or 0.0))
            return float(error.retry_after_ms or 0.0)
        except ForwardingError:
            return None
        return None


def _server_entry(engine: EmulatedEngine) -> Server:
    return Server(
        engine.name,
        SERVICE,
        f"{engine.name}:80",
        engine.domain,
        64,
        ServerState.READY,
        engine.stage,
        born_ms=1,
    )


def _route_table(groups: tuple[CallerGroup, ...], route: Route) -> RouteTable | None:
    if not groups:
        return None
    priorities = {group.workspace: group.priority for group in groups}
    workspaces = tuple(
        Workspace(workspace, (), priority)
        for workspace, priority in priorities.items()
        if workspace is not None
    )
    routes = tuple(
        msgspec.structs.replace(route, priority=priority)
        for priority in sorted({group.priority for group in groups})
    )
    limits = RequestLimits(16_384, 4_194_304, 3_000.0, 15_000.0)
    return RouteTable(ConfigVersion(1), routes, {}, limits, workspaces)


def run_pattern(pattern: LoadPattern, seed: int) -> Figures:
    """Runs a pattern in virtual time."""

    async def main() -> Figures:
        return await LoadRun(pattern, seed).run()

    return run_virtual(main())
