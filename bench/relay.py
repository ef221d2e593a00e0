"""Measures the CPU cost of relaying an answer, relative to a relay that only copies bytes.

The relays run in this process, which measures its own CPU time; the engines and the callers run in
separate processes. Rounds of the relays alternate within one run, so that noise of the machine
affects all of them.
"""

from __future__ import annotations

import argparse
import asyncio
import multiprocessing
import statistics
import time
from multiprocessing.connection import Connection
from multiprocessing.context import SpawnProcess

import aiohttp
import msgspec
import uvloop
from aiohttp import web

from medlarvale.callers.app import CallerServerRunner, build_app
from medlarvale.callers.dependencies import CallerDependencies
from medlarvale.callers.workspaces import WorkspaceDirectory
from medlarvale.clock import SystemClock
from medlarvale.completions.cleanup import EngineCleanup
from medlarvale.completions.dependencies import RequestPathDependencies
from medlarvale.completions.engine_client import HttpEngineClient, new_engine_session
from medlarvale.completions.runner import CompletionRunner
from medlarvale.ids import (
    BookingKey,
    FailureDomain,
    HostId,
    HostIdentity,
    Incarnation,
    PoolName,
    RegionName,
    ServerId,
    ServiceName,
)
from medlarvale.membership.servers import BackendServer, ServerDirectory
from medlarvale.operators.reports import RequestReport
from medlarvale.plain.messages import PlainAnswer, PlainCall
from medlarvale.scheduling.messages import Placed, Progress, Release, Reserve
from medlarvale.settings.schema import DEFAULT_VALUES, PoolRole, SettingsTree
from medlarvale.tracing import Tracing

REGION, DOMAIN, SERVICE = RegionName("r"), FailureDomain("d"), ServiceName("llm")
TREE = SettingsTree.model_validate_json(
    '{"services": {"llm": {"kind": "model", "pools": {}}},'
    '"workspaces": {"bench": {"services": ["llm"]}}, "regions": {}}'
)
PROMPT_WORDS = 500
RESULT_TIMEOUT_S = 120


class Plan(msgspec.Struct, frozen=True):
    """Load of one round.

    Attributes:
        answer_tokens: length of each answer.
        chunk_tokens: tokens in each chunk of an engine's stream.
        interval_ms: time between two chunks of a stream.
    """

    streams: int
    requests: int
    answer_tokens: int
    chunk_tokens: int
    interval_ms: float


class DefaultSettings:
    """Settings with their default values everywhere."""

    def tree(self) -> SettingsTree:
        return TREE

    def value(
        self,
        name: str,
        region: RegionName,
        failure_domain: FailureDomain,
        service: ServiceName | None = None,
        pool: PoolName | None = None,
    ) -> int:
        value: int = getattr(DEFAULT_VALUES, name)
        return value


class StubDependencies:
    """Placement on one pair of engines, a guard that admits all, and a counting observer."""

    def __init__(self) -> None:
        self.answered = 0

    async def reserve(self, request: Reserve) -> Placed:
        return Placed(
            request_id=request.request_id,
            attempt=request.attempt,
            prefill=ServerId("p"),
            decode=ServerId("d"),
            pieces=1,
        )

    def report(self, progress: Progress) -> None:
        pass

    def release(self, release: Release) -> None:
        pass

    async def admit(self, fingerprint: int) -> bool:
        return False

    def started(self, fingerprint: int, server: ServerId) -> None:
        pass

    def finished(self, fingerprint: int, server: ServerId, *, server_lost: bool) -> None:
        pass

    def ended(self, fingerprint: int, *, answered: bool) -> None:
        pass

    def request_finished(self, report: RequestReport) -> None:
        self.answered += not report.code

    async def dispatch_idempotent(self, call: PlainCall) -> PlainAnswer:
        raise NotImplementedError

    async def dispatch_once(self, call: PlainCall) -> PlainAnswer:
        raise NotImplementedError

    async def submit(self, key: BookingKey, call: PlainCall) -> PlainAnswer:
        raise NotImplementedError


def run_engines(pipe: Connection, plan: Plan) -> None:
    """Runs the engines in a child process: sends their port, then serves until terminated."""
    lines = [
        msgspec.json.encode(
            {
                "i": start,
                "tokens": [
                    1_000_000_007 * (index + 1) % 2**31
                    for index in range(start, min(start + plan.chunk_tokens, plan.answer_tokens))
                ],
                "done": start + plan.chunk_tokens >= plan.answer_tokens,
            }
        )
        + b"\n"
        for start in range(1, plan.answer_tokens, plan.chunk_tokens)
    ]

    async def answer(request: web.Request) -> web.StreamResponse:
        await request.read()
        return web.json_response(
            {
                "kv_handle": "h",
                "kv_bytes": 1,
                "cached_tokens": 0,
                "prefill_ms": 1.0,
                "first_token": 1_000_000_007,
                "transfer_ms": 1.0,
            }
        )

    async def decode(request: web.Request) -> web.StreamResponse:
        await request.read()
        response = web.StreamResponse()
        await response.prepare(request)
        loop = asyncio.get_running_loop()
        due = loop.time()
        for line in lines:
            due += plan.interval_ms / 1_000
            await asyncio.sleep(max(0.0, due - loop.time()))
            await response.write(line)
        return response

    async def serve() -> None:
        app = web.Application()
        app.router.add_post("/v1/decode", decode)
        app.router.add_post("/v1/{call}", answer)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        pipe.send(runner.addresses[0][1])
        await asyncio.sleep(RESULT_TIMEOUT_S * 10)

    uvloop.run(serve())


def run_callers(pipe: Connection, plan: Plan) -> None:
    """Runs the callers in a child process.

    For each URL received, they send the requests of the plan and report the number of bytes read.
    """
    prompt = " ".join(f"word{number}" for number in range(PROMPT_WORDS))

    async def send_request(session: aiohttp.ClientSession, url: str) -> int:
        body = {"model": "llm", "stream": True, "prompt": prompt, "max_tokens": plan.answer_tokens}
        size = 0
        async with session.post(url, json=body, headers={"X-Workspace": "bench"}) as answer:
            assert answer.status == 200, await answer.text()
            async for part in answer.content.iter_any():
                size += len(part)
        return size

    async def load(url: str) -> int:
        limit = asyncio.Semaphore(plan.streams)
        timeout = aiohttp.ClientTimeout(total=RESULT_TIMEOUT_S)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:

            async def limited() -> int:
                async with limit:
                    return await send_request(session, url)

            return sum(await asyncio.gather(*(limited() for _ in range(plan.requests))))

    while url := pipe.recv():
        pipe.send(uvloop.run(load(url)))


class ChildProcess:
    """Child process of the measurement, with a pipe to it."""

    def __init__(self, target: object, plan: Plan) -> None:
        context = multiprocessing.get_context("spawn")
        self.pipe, child_end = context.Pipe()
        self.process: SpawnProcess = context.Process(
            target=target, args=(child_end, plan), daemon=True  # type: ignore[arg-type]
        )
        self.process.start()

    async def receive(self) -> int:
        """Waits for a number from the process without blocking the event loop."""
        loop = asyncio.get_running_loop()
        arrived = asyncio.Event()
        loop.add_reader(self.pipe.fileno(), arrived.set)
        try:
            await asyncio.wait_for(arrived.wait(), RESULT_TIMEOUT_S)
        finally:
            loop.remove_reader(self.pipe.fileno())
        number: int = self.pipe.recv()
        return number

    def stop(self) -> None:
        """Terminates the process."""
        self.process.terminate()
        self.process.join()


def bare_app(session: aiohttp.ClientSession, engine: str) -> web.Application:
    """Returns an application that relays the bytes of the engine unchanged.

    ``/calls`` first makes the calls that precede a decode, so the full application differs from it
    only by the cost of parsing, checks, accounting and tracing.
    """

    async def relay(request: web.Request) -> web.StreamResponse:
        await request.read()
        call = {"request_id": "r", "attempt": 1, "position": 1, "max_tokens": 1}
        if request.path == "/calls":
            for name in ("prefill", "reserve", "import"):
                async with session.post(f"{engine}/v1/{name}", json=call) as answer:
                    await answer.read()
        async with session.post(f"{engine}/v1/decode", json=call) as answer:
            response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
            await response.prepare(request)
            async for part in answer.content.iter_any():
                await response.write(part)
            await response.write_eof()
            return response

    app = web.Application()
    app.router.add_post("/bare", relay)
    app.router.add_post("/calls", relay)
    return app


def full_app(
    session: aiohttp.ClientSession, engine: str, stubs: StubDependencies
) -> web.Application:
    """Returns the application for callers with tracing, accounting and sequence checks."""
    directory = ServerDirectory()
    directory.replace(
        BackendServer(
            server=ServerId(name),
            address=engine,
            service=SERVICE,
            pool=PoolName(role.value),
            role=role,
            failure_domain=DOMAIN,
        )
        for name, role in (("p", PoolRole.PREFILL), ("d", PoolRole.DECODE))
    )
    clock, settings, engines = SystemClock(), DefaultSettings(), HttpEngineClient(session)
    tracer = Tracing("bench").tracer
    runner = CompletionRunner(
        RequestPathDependencies(
            identity=HostIdentity(HostId("bench"), Incarnation(1)),
            region=REGION,
            failure_domain=DOMAIN,
            clock=clock,
            settings=settings,
            placement=stubs,
            directory=directory,
            engines=engines,
            cleanup=EngineCleanup(engines, clock),
            guard=stubs,
            observer=stubs,
            tracer=tracer,
        )
    )
    return build_app(
        CallerDependencies(
            region=REGION,
            failure_domain=DOMAIN,
            clock=clock,
            settings=settings,
            workspaces=WorkspaceDirectory(settings),
            runner=runner,
            dispatcher=stubs,
            bookings=stubs,
            observer=stubs,
            tracer=tracer,
        )
    )


async def measure(plan: Plan, rounds: int) -> None:
    """Runs alternating rounds and prints the CPU time per token of each relay."""
    engines, callers = ChildProcess(run_engines, plan), ChildProcess(run_callers, plan)
    stubs = StubDependencies()
    try:
        engine = f"http://127.0.0.1:{await engines.receive()}"
        async with new_engine_session() as session:
            bare = web.AppRunner(bare_app(session, engine), access_log=None)
            full = CallerServerRunner(full_app(session, engine, stubs))
            urls = {}
            for runner in (bare, full):
                await runner.setup()
                await web.TCPSite(runner, "127.0.0.1", 0).start()
            for name, runner, path in (
                ("bare", bare, "/bare"),
                ("calls", bare, "/calls"),
                ("full", full, "/v1/completions"),
            ):
                urls[name] = f"http://127.0.0.1:{runner.addresses[0][1]}{path}"
            cost_us: dict[str, list[float]] = {name: [] for name in urls}
            for number in range(rounds + 1):
                for name, url in urls.items():
                    before_s = time.process_time()
                    callers.pipe.send(url)
                    await callers.receive()
                    used_us = (time.process_time() - before_s) * 1e6
                    # Skip the first round, which opens the connections.
                    if number:
                        cost_us[name].append(used_us / (plan.requests * plan.answer_tokens))
            callers.pipe.send("")
            await bare.cleanup()
            await full.cleanup()
    finally:
        engines.stop()
        callers.stop()
    assert stubs.answered == plan.requests * (rounds + 1), "some answers failed or are missing"
    print(f"answers of {plan.answer_tokens} tokens, {plan.chunk_tokens} per chunk:")
    for name, costs in cost_us.items():
        ratios = [cost / bare for bare, cost in zip(cost_us["bare"], costs, strict=True)]
        print(
            f"  {name}: {statistics.median(costs):.2f} us/token, to bare"
            f" {statistics.median(ratios):.2f} (rounds {min(ratios):.2f}..{max(ratios):.2f})"
        )


def main() -> None:
    """Measures each combination of answer length and chunk size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--streams", type=int, default=32)
    arguments = parser.parse_args()
    # Long answers show the cost of the relay itself. 350 tokens are the mean answer at the planned
    # size; their cost includes prefill, reservation and transfer calls, which the bare relay omits.
    for answer_tokens in (4_000, 350):
        for chunk_tokens in (4, 16):
            plan = Plan(
                streams=arguments.streams,
                requests=arguments.streams,
                answer_tokens=answer_tokens,
                chunk_tokens=chunk_tokens,
                interval_ms=5.0,
            )
            uvloop.run(measure(plan, arguments.rounds))


if __name__ == "__main__":
    main()
