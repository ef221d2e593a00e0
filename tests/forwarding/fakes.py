"""In-memory backend servers and builders for tests of the forwarding path."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import AsyncIterator, Callable, Iterable
from typing import Any

from multidict import CIMultiDict

from medlarvale.clock import SystemClock
from medlarvale.forwarding.context import ForwardingContext, RetryLimits
from medlarvale.forwarding.demand import DemandMeter
from medlarvale.forwarding.errors import BackendError, NotSentError, RejectedError
from medlarvale.forwarding.interface import LeavingCallback, LimitCallback, WaitCallback
from medlarvale.forwarding.messages import (
    ClientRequest,
    Dispatch,
    EngineReport,
    EngineStage,
    EngineTraits,
    HandleId,
    HoldId,
    PrefillResult,
    PromptPartId,
    RequestIdentity,
    RequestLimits,
    Route,
    RouteKind,
    RouteTable,
    Server,
    ServerState,
    Service,
    Target,
    TokenCounts,
    Workspace,
)
from medlarvale.forwarding.servers import ServerTable
from medlarvale.forwarding.stream_versions import versions_without_history
from medlarvale.http_bodies import BodyFraming
from medlarvale.ids import (
    ConfigVersion,
    FailureDomain,
    RequestId,
    ServerId,
    ServiceName,
    SoftwareVersion,
)

LLM = ServiceName("llm")
APP = ServiceName("app")
HERE = FailureDomain("a")
# Enough evidence for a minute.
MEASURED_STREAMS = 200
TRAITS = EngineTraits(
    slots=64, memory_tokens=20_000, handle_ttl_ms=500.0, hold_ttl_ms=2_000.0, switch_ms=6_000.0
)


def learned_meter(
    hold_ms: float = 3_000.0, tokens_per_ms: float = 40.0, now_ms: float | None = None
) -> DemandMeter:
    """Returns a meter that has measured enough streams for estimates."""
    meter = DemandMeter()
    at_ms = SystemClock().now_ms() if now_ms is None else now_ms
    for _ in range(MEASURED_STREAMS):
        meter.model.note_hold(hold_ms, at_ms)
        meter.model.note_prefill(int(100 * tokens_per_ms), 100.0, at_ms)
    return meter


def make_route(name: str = "r", **changes: Any) -> Route:
    fields: dict[str, Any] = {
        "host": "callers.example",
        "path_prefix": "/",
        "kind": RouteKind.STREAM,
        "timeout_ms": 5_000.0,
        "target_latency_ms": 900.0,
        "priority": 1,
        "targets": (Target(LLM, 1.0),),
        "max_attempts": 2,
        "resumable": True,
    }
    return Route(name, **(fields | changes))


def make_table(
    *routes: Route, version: int = 1, workspaces: tuple[Workspace, ...] | None = ()
) -> RouteTable:
    return RouteTable(
        ConfigVersion(version),
        routes,
        {LLM: Service(LLM, 360, TRAITS), APP: Service(APP, 100)},
        RequestLimits(16_384, 4_194_304, 3_000.0, 15_000.0),
        workspaces=workspaces,
    )


def make_server(
    name: str,
    *,
    service: ServiceName = LLM,
    stage: EngineStage | None = None,
    domain: str = "a",
    state: ServerState = ServerState.READY,
    born_ms: int = 1,
    slots: int = 6,
    software: str = "v1",
) -> Server:
    return Server(
        ServerId(name),
        service,
        f"10.0.0.{len(name)}:80",
        FailureDomain(domain),
        slots,
        state,
        stage,
        born_ms=born_ms,
        software=SoftwareVersion(software),
    )


def make_request(
    name: str = "q1", *, deadline_ms: float = 5_000.0, **changes: Any
) -> ClientRequest:
    fields: dict[str, Any] = {
        "method": "POST",
        "host": "callers.example",
        "path": "/x",
        "headers": CIMultiDict(),
        "body": b"",
        "received_ms": SystemClock().now_ms(),
        "tokens": TokenCounts(5_000, 1_000, 700),
    }
    return ClientRequest(RequestId(name), deadline_ms=deadline_ms, **(fields | changes))


class FakeAnswer:
    """An answer with a scripted body: a float delays it by seconds, an exception ends it early."""

    def __init__(
        self,
        chunks: list[bytes | Exception | float],
        *,
        status: int = 200,
        signed: bool = True,
        event_stream: bool = True,
        framing: BodyFraming = BodyFraming.CHUNKED,
    ) -> None:
        self.status = status
        self.headers: CIMultiDict[str] = CIMultiDict({"X-Mark": "worker"})
        self.signed = signed
        self.event_stream = event_stream
        self.framing = framing
        self.closed = False
        self._chunks = chunks

    async def chunks(self) -> AsyncIterator[bytes]:
        for chunk in self._chunks:
            if isinstance(chunk, Exception):
                raise chunk
            if isinstance(chunk, float):
                await asyncio.sleep(chunk)
                continue
            yield chunk

    async def read(self) -> bytes:
        return b"".join([chunk async for chunk in self.chunks()])

    def close(self) -> None:
        self.closed = True


Script = Callable[[Server, ClientRequest, Dispatch], "FakeAnswer | Exception"]


class FakeBackends:
    """In-memory implementation of ``Backends``.

    Attributes:
        script: returns the answer to a send, or an exception to raise.
        prefill_script: returns the duration of a prefill in seconds, or an exception to raise.
        free_tokens: memory that can be reserved, by server; unlimited if missing.
        calls: kind and server of all calls, in order.
    """

    def __init__(self) -> None:
        self.script: Script = lambda server, request, dispatch: FakeAnswer([])
        self.prefill_script: Callable[[Server], float | Exception] = lambda server: 0.0
        self.free_tokens: dict[ServerId, int] = {}
        self.hold_errors: dict[ServerId, Exception] = {}
        self.probe_errors: dict[ServerId, Exception] = {}
        self.reports: dict[ServerId, EngineReport] = {}
        self.cached: dict[ServerId, dict[PromptPartId, int] | Exception] = {}
        self.hold_delays_s: dict[ServerId, float] = {}
        self.calls: list[tuple[str, str]] = []
        self.dispatches: list[tuple[ServerId, Dispatch]] = []
        self.orders: list[tuple[ServerId, EngineStage, str, int, int]] = []
        self.limit_callbacks: list[LimitCallback] = []
        self.leaving_callbacks: list[LeavingCallback] = []
        self.wait_callbacks: list[WaitCallback] = []
        self._send_callbacks: list[Callable[[ServerId], None]] = []
        self._holds: dict[HoldId, tuple[ServerId, int]] = {}
        self._hold_numbers = itertools.count(1)

    def on_limit(self, callback: LimitCallback) -> None:
        self.limit_callbacks.append(callback)

    def on_leaving(self, callback: LeavingCallback) -> None:
        self.leaving_callbacks.append(callback)

    def on_wait(self, callback: WaitCallback) -> None:
        self.wait_callbacks.append(callback)

    def on_send(self, callback: Callable[[ServerId], None]) -> None:
        """Registers a callback for the server of each send."""
        self._send_callbacks.append(callback)

    async def send(self, server: Server, request: ClientRequest, dispatch: Dispatch) -> FakeAnswer:
        for callback in self._send_callbacks:
            callback(server.server)
        self.calls.append(("send", server.server))
        self.dispatches.append((server.server, dispatch))
        answer = self.script(server, request, dispatch)
        request.possible_runs += not isinstance(answer, NotSentError | RejectedError)
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def prefill(
        self,
        server: Server,
        request: ClientRequest,
        left_ms: float,
        priority: int | None = None,
    ) -> PrefillResult:
        self.calls.append(("prefill", server.server))
        result = self.prefill_script(server)
        if isinstance(result, Exception):
            raise result
        await asyncio.sleep(result)
        return PrefillResult(server, HandleId(f"handle-{len(self.calls)}"))

    async def acquire_hold(self, server: Server, tokens: int, ttl_ms: float) -> HoldId | None:
        self.calls.append(("hold", server.server))
        await asyncio.sleep(self.hold_delays_s.get(server.server, 0.0))
        if server.server in self.hold_errors:
            raise self.hold_errors[server.server]
        free = self.free_tokens.get(server.server)
        if free is not None and tokens > free:
            return None
        if free is not None:
            self.free_tokens[server.server] = free - tokens
        hold = HoldId(f"hold-{next(self._hold_numbers)}")
        self._holds[hold] = (server.server, tokens)
        return hold

    async def release_hold(self, server: Server, hold: HoldId) -> None:
        self.calls.append(("release hold", server.server))
        held = self._holds.pop(hold, None)
        if held is not None and server.server in self.free_tokens:
            self.free_tokens[server.server] += held[1]

    @property
    def held(self) -> int:
        """Number of reservations that were neither used nor released."""
        return len(self._holds)

    async def release_handle(self, server: Server, handle: HandleId) -> None:
        self.calls.append(("release handle", server.server))

    async def cached_parts(self, server: Server) -> dict[PromptPartId, int]:
        self.calls.append(("cached parts", server.server))
        cached = self.cached.get(server.server, {})
        if isinstance(cached, Exception):
            raise cached
        return cached

    async def probe(self, server: Server) -> None:
        self.calls.append(("probe", server.server))
        if server.server in self.probe_errors:
            raise self.probe_errors[server.server]

    async def is_same_instance(self, server: Server) -> bool:
        self.calls.append(("instance", server.server))
        if server.server in self.probe_errors:
            raise self.probe_errors[server.server]
        return True

    async def report(self, server: Server) -> EngineReport:
        if server.server not in self.reports:
            raise BackendError("no report")
        return self.reports[server.server]

    async def order_stage(
        self,
        server: Server,
        stage: EngineStage,
        coordinator: str,
        fencing: int,
        orders_accepted: int,
    ) -> bool:
        self.orders.append((server.server, stage, coordinator, fencing, orders_accepted))
        return True

    def count(self, kind: str) -> int:
        """Returns the number of calls of a kind."""
        return sum(call == kind for call, _ in self.calls)


class FakeGuard:
    """Permits every request and records broken runs."""

    def __init__(self) -> None:
        self.breaks: list[ServerId] = []

    def identify(
        self, request: ClientRequest, service: ServiceName, targets: Iterable[Target] = ()
    ) -> RequestIdentity:
        return RequestIdentity(request.request_id, (1,))

    def check(self, identity: RequestIdentity) -> None:
        """Permits the request."""

    def note_broken_run(
        self, identity: RequestIdentity, server: Server, events: int, *, went_on: bool = False
    ) -> None:
        self.breaks.append(server.server)

    def note_clean_run(self, identity: RequestIdentity, *, complete: bool = True) -> None:
        """Ignores clean runs."""


def make_context(
    backends: FakeBackends, *servers: Server, reserve: float = 10.0
) -> ForwardingContext:
    table = ServerTable(HERE, random.Random(1))
    for server in servers:
        table.upsert(server)
    clock = SystemClock()
    return ForwardingContext(
        backends,
        table,
        clock,
        random.Random(2),
        lambda: RetryLimits(0.2, reserve),
        FakeGuard(),
        lambda: 1,
        versions_without_history(backends, table, clock),
    )


class FakeSink:
    """Records what a caller would receive."""

    def __init__(self) -> None:
        self.status: int | None = None
        self.data = b""
        self.finished = False

    @property
    def started(self) -> bool:
        return self.status is not None

    async def start(self, status: int, headers: CIMultiDict[str]) -> None:
        assert self.status is None, "a second response head on one connection"
        self.status = status

    async def write(self, data: bytes) -> None:
        self.data += data

    async def finish(self) -> None:
        self.finished = True
