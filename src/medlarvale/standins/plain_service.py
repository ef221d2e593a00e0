"""Stand-in for a plain service, which counts the runs of each idempotency key."""

from __future__ import annotations

import asyncio
import enum
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import msgspec
import xxhash
from aiohttp import web

from medlarvale.clock import Clock, SystemClock
from medlarvale.ids import new_incarnation
from medlarvale.standins.engine_errors import BadRequestError, StaleFencingError
from medlarvale.standins.engine_faults import MAX_PAUSE_MS, block_process, exit_immediately
from medlarvale.standins.engine_messages import LeavingCall, LoadReport
from medlarvale.standins.engine_reports import LaggedLoad
from medlarvale.standins.http_answers import (
    answer,
    answer_errors,
    decode_body,
    require_number,
)
from medlarvale.standins.serving import Address, serve_until_stopped

KEY_HEADER = "Idempotency-Key"
FENCING_HEADER = "X-Fencing"
TICK_MS = 20
# Delay before the event loop blocks, so that the answer to the fault call is sent first.
PAUSE_DELAY_S = 0.01


class PlainFaultKind(enum.Enum):
    """Kind of a fault.

    ``crash_before`` and ``crash_after`` take effect at the next POST, ``crash`` immediately.
    """

    CRASH = "crash"
    CRASH_BEFORE = "crash_before"
    CRASH_AFTER = "crash_after"
    PAUSE = "pause"
    LATE = "late"
    POISON = "poison"
    NONE = "none"


class PlainFault(msgspec.Struct, frozen=True):
    """A fault to inject.

    Attributes:
        duration_ms: duration of a pause, or delay of the answer after the run.
        word: text that crashes the service before it runs a call whose body contains it.
    """

    kind: PlainFaultKind
    duration_ms: int = 0
    word: str = ""


class PlainSettings(msgspec.Struct, frozen=True):
    """Settings of a plain service.

    Attributes:
        delay_ms: delay before a call runs.
        slots: capacity in the load report; calls beyond it are not refused.
        runs_file: file that preserves the counted runs across a crash, or "".
    """

    server: str
    service: str
    delay_ms: int = 0
    slots: int = 100
    report_lag_ms: int = 200
    check_fencing: bool = False
    runs_file: str = ""


class RunsReport(msgspec.Struct, frozen=True):
    """Body of ``GET /test/runs``: runs of POST calls by key; "" counts calls without a key.

    Attributes:
        calls: number of calls of any method that ran.
        latest_work_after_leaving_ms: time between the start of leaving and the last call
            accepted after it, or None.
    """

    runs: dict[str, int]
    total: int
    calls: int
    refused_fencing: int
    latest_work_after_leaving_ms: float | None


class CallAnswer(msgspec.Struct, frozen=True):
    """Answer to a call; it echoes the call so that a caller can recognise its own answer.

    Attributes:
        run: number of runs of the key including this call; 0 for methods other than POST.
        body_xxh3: hash of the body of the call.
    """

    server: str
    method: str
    path: str
    key: str
    run: int
    body_xxh3: str


class RunRecord:
    """Counts runs by key.

    Args:
        path: file to which each run is appended before it is counted, or None. Without a file,
            runs before a crash are not counted after a restart.
    """

    def __init__(self, path: Path | None = None) -> None:
        self._path = path
        lines = path.read_bytes().splitlines() if path is not None and path.exists() else []
        self.runs = Counter(msgspec.json.decode(line, type=str) for line in lines)

    def add(self, key: str) -> int:
        """Records a run and returns the number of runs of the key."""
        if self._path is not None:
            with self._path.open("ab") as file:
                file.write(msgspec.json.encode(key) + b"\n")
        self.runs[key] += 1
        return self.runs[key]


class PlainService:
    """Application of a plain service.

    Args:
        crash: function that ends the process immediately.
        block: function that blocks the process for the given time in ms.
    """

    def __init__(
        self,
        settings: PlainSettings,
        clock: Clock,
        crash: Callable[[], None] = exit_immediately,
        block: Callable[[float], None] = block_process,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._crash = crash
        self._block = block
        self._epoch = new_incarnation(clock.wall_ms())
        self._record = RunRecord(Path(settings.runs_file) if settings.runs_file else None)
        self._load = LaggedLoad(settings.report_lag_ms)
        self._fault = PlainFault(PlainFaultKind.NONE)
        self._calls = 0
        self._in_flight = 0
        self._highest_fencing = 0
        self._refused_fencing = 0
        self._leaving_since_ms: float | None = None
        self._latest_work_after_leaving_ms: float | None = None

    def build(self) -> web.Application:
        """Returns the application."""
        application = web.Application(middlewares=[answer_errors])
        application.add_routes(
            [
                web.get("/v1/load", self._handle_load),
                web.get("/test/load", self._handle_load),
                web.get("/test/runs", self._handle_runs),
                web.post("/test/leaving", self._handle_leaving),
                web.post("/fault", self._handle_fault),
                web.route("*", "/{path:.*}", self._handle_call),
            ]
        )
        return application

    async def _handle_call(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        # A call that has arrived runs even if its caller disconnects, as in a real service.
        return await asyncio.shield(asyncio.ensure_future(self._run_call(request, body)))

    async def _run_call(self, request: web.Request, body: bytes) -> web.Response:
        self._record_arrival()
        self._in_flight += 1
        try:
            await self._clock.sleep_ms(self._settings.delay_ms)
            self._check_fencing(request)
            is_post = request.method == "POST"
            self._crash_if(is_post, PlainFaultKind.CRASH_BEFORE)
            if self._fault.kind is PlainFaultKind.POISON and self._fault.word.encode() in body:
                self._crash()
            key = request.headers.get(KEY_HEADER, "")
            run = self._record.add(key) if is_post else 0
            self._calls += 1
            self._crash_if(is_post, PlainFaultKind.CRASH_AFTER)
            if self._fault.kind is PlainFaultKind.LATE:
                await self._clock.sleep_ms(self._fault.duration_ms)
            return answer(
                CallAnswer(
                    self._settings.server,
                    request.method,
                    request.path_qs,
                    key,
                    run,
                    xxhash.xxh3_64_hexdigest(body),
                )
            )
        finally:
            self._in_flight -= 1

    def _record_arrival(self) -> None:
        if self._leaving_since_ms is not None:
            self._latest_work_after_leaving_ms = self._clock.now_ms() - self._leaving_since_ms

    def _check_fencing(self, request: web.Request) -> None:
        text = request.headers.get(FENCING_HEADER)
        if text is None or not self._settings.check_fencing:
            return
        number = require_number(text, FENCING_HEADER)
        if number < self._highest_fencing:
            self._refused_fencing += 1
            raise StaleFencingError(
                f"fencing number {number} is older than {self._highest_fencing}"
            )
        self._highest_fencing = number

    def _crash_if(self, is_post: bool, kind: PlainFaultKind) -> None:
        if is_post and self._fault.kind is kind:
            self._crash()

    async def _handle_fault(self, request: web.Request) -> web.StreamResponse:
        fault = await decode_body(request, PlainFault)
        if fault.duration_ms < 0 or (fault.kind is PlainFaultKind.POISON and not fault.word):
            raise BadRequestError("duration_ms must not be negative, and poison requires a word")
        if fault.kind is PlainFaultKind.CRASH:
            self._crash()
        elif fault.kind is PlainFaultKind.PAUSE:
            duration_ms = min(fault.duration_ms, MAX_PAUSE_MS)
            asyncio.get_running_loop().call_later(PAUSE_DELAY_S, self._block, duration_ms)
        else:
            self._fault = fault
        return answer({})

    async def _handle_leaving(self, request: web.Request) -> web.StreamResponse:
        leaving = (await decode_body(request, LeavingCall)).leaving
        self._load.record(self._clock.now_ms(), self._current_load())
        self._leaving_since_ms = self._clock.now_ms() if leaving else None
        self._latest_work_after_leaving_ms = None
        self._load.record(self._clock.now_ms(), self._current_load())
        return answer({})

    async def _handle_load(self, request: web.Request) -> web.StreamResponse:
        now_ms = self._clock.now_ms()
        self._load.record(now_ms, self._current_load())
        return answer(self._load.read(now_ms) or self._current_load())

    async def _handle_runs(self, request: web.Request) -> web.StreamResponse:
        return answer(
            RunsReport(
                dict(self._record.runs),
                self._record.runs.total(),
                self._calls,
                self._refused_fencing,
                self._latest_work_after_leaving_ms,
            )
        )

    def _current_load(self) -> LoadReport:
        return LoadReport(
            role="plain",
            model="",
            slots=self._settings.slots,
            slots_used=self._in_flight,
            pieces=0,
            pieces_used=0,
            queue_ms=0.0,
            leaving=self._leaving_since_ms is not None,
            epoch=self._epoch,
        )


async def run_plain_service(settings: PlainSettings, address: Address) -> None:
    """Serves a plain service until SIGTERM or SIGINT."""
    service = PlainService(settings, SystemClock())
    await serve_until_stopped(service.build(), address, settings.server)
