"""Slopes of resident memory, each measured in a separate process."""

from __future__ import annotations

import asyncio
import gc
import multiprocessing
import os
from collections.abc import Callable
from pathlib import Path

import aiohttp

from bench.slope_fit import Slope, fit
from bench.slopes_control import booking_key, lease_round, new_cell
from bench.slopes_versions import TREE_FILE, make_tree
from medlarvale.bookings.ledger import Ledger
from medlarvale.bookings.messages import LeaseReply, LeaseRequest, Verdict, VerdictKind
from medlarvale.ids import ConfigVersion, ServerId
from medlarvale.peers.transport import MessageCodec
from medlarvale.plain.messages import PlainAnswer
from medlarvale.scheduling.limits import GroupLimits
from medlarvale.scheduling.reports import LoadReport
from medlarvale.scheduling.scheduler import PlacementScheduler
from medlarvale.settings.store import SettingsStore
from scripts.deployment import Deployment, DeploymentPlan, Node

START_MS = 1_750_000_000_000
RECORD_COUNTS = (10_000, 40_000, 80_000, 120_000)
ENGINE_COUNTS = (500, 2_000, 4_000, 6_500)
WORKSPACE_COUNTS = (350, 1_000, 2_000, 4_000)
CONNECTION_COUNTS = (100, 300, 500)
REQUEST_COUNTS = (20, 40, 80)
ANSWER_BODY = b'{"id": 1234567, "state": "booked", "slot": "2026-12-04T10:00"}'
STREAM_TOKENS = 3_000
SETTLE_S = 1.0
IDLE_S = 10.0


def resident_kb(process: str | int = "self") -> float:
    """Returns the resident memory of a process in KB."""
    for line in Path(f"/proc/{process}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return float(line.split()[1])
    raise ValueError(f"no VmRSS in the status of process {process}")


def cpu_time_s(process: int) -> float:
    """Returns the CPU time that a process has used."""
    fields = Path(f"/proc/{process}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def idle_percent(nodes: list[Node]) -> list[float]:
    """Returns the share of a core in % that each process uses without callers."""
    before = [cpu_time_s(node.process.pid) for node in nodes]
    await asyncio.sleep(IDLE_S)
    after = [cpu_time_s(node.process.pid) for node in nodes]
    return [100.0 * (late - early) / IDLE_S for early, late in zip(before, after, strict=True)]


Grow = Callable[[int, int], None]


def ledger_growth() -> Grow:
    """Returns a function that adds answered records, each with an answer of 62 bytes."""
    cell = new_cell(3)
    lease_round(cell, MessageCodec((LeaseRequest, LeaseReply)), 64, START_MS)
    ledger = Ledger(cell[0], 600_000)

    def grow(start: int, end: int) -> None:
        for number in range(start, end):
            key = booking_key(number)
            assert ledger.accept(key, number, START_MS).dispatch
            answer = PlainAnswer(
                200, [("Content-Type", "application/json")], bytes(ANSWER_BODY[:-1] + b"}")
            )
            ledger.record_verdict(key, Verdict(VerdictKind.ANSWERED, answer))

    return grow


def engine_growth() -> Grow:
    """Returns a function that adds decode engines with a load report to a scheduler."""
    scheduler = PlacementScheduler(GroupLimits())

    def grow(start: int, end: int) -> None:
        servers = [ServerId(f"llm-decode-domain-{number}") for number in range(end)]
        prefill = [ServerId("llm-prefill-domain-0")]
        scheduler.set_engines(prefill, servers, [], 0.0)
        for server in servers[start:]:
            scheduler.observe_load(server, LoadReport("decode", 20, 10, 400, 200), 0.0)

    return grow


def workspace_growth() -> Grow:
    """Returns a function that activates a settings tree with more workspaces."""
    store = SettingsStore()

    def grow(start: int, end: int) -> None:
        store.offer(ConfigVersion(end), make_tree(end))

    return grow


GROWTHS: dict[str, tuple[Callable[[], Grow], tuple[int, ...], str]] = {
    "ledger record, answer of 62 bytes": (ledger_growth, RECORD_COUNTS, "record"),
    "engine in a booker's view": (engine_growth, ENGINE_COUNTS, "engine"),
    "workspace in the tree in force": (workspace_growth, WORKSPACE_COUNTS, "workspace"),
}


def measure_growth(job: tuple[str, int]) -> float:
    """Returns the memory growth in KB of a new process that adds a number of items."""
    name, count = job
    grow = GROWTHS[name][0]()
    gc.collect()
    before_kb = resident_kb()
    grow(0, count)
    gc.collect()
    return resident_kb() - before_kb


def state_slopes() -> list[Slope]:
    """Measures the memory of each kind of state by its number of items."""
    slopes = []
    context = multiprocessing.get_context("spawn")
    with context.Pool(1, maxtasksperchild=1) as pool:
        for name, (_, counts, per) in GROWTHS.items():
            sizes = pool.map(measure_growth, [(name, count) for count in counts], chunksize=1)
            slopes.append(fit(f"memory: {name}", per, "KB", list(zip(counts, sizes, strict=True))))
    return slopes


async def _open_connections(node: Node, count: int) -> list[asyncio.StreamWriter]:
    host, port = node.address.removeprefix("http://").split(":")
    writers = []
    for _ in range(count):
        _, writer = await asyncio.open_connection(host, int(port))
        # The request makes the server allocate all state of a kept-alive connection.
        writer.write(b"GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n")
        writers.append(writer)
    return writers


async def _stream(session: aiohttp.ClientSession, node: Node, model: str, key: str) -> None:
    body = {"model": model, "stream": True, "prompt": "survey " * 500, "max_tokens": STREAM_TOKENS}
    headers = {"Authorization": f"Bearer {key}"}
    async with session.post(f"{node.address}/v1/completions", json=body, headers=headers) as answer:
        async for _ in answer.content.iter_any():
            pass


async def _memory_with_streams_kb(node: Node, model: str, key: str, count: int) -> float:
    """Returns the memory in KB of an entry host with a number of running streams."""
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        tasks = [asyncio.create_task(_stream(session, node, model, key)) for _ in range(count)]
        await asyncio.sleep(4 * SETTLE_S)
        ended = sum(task.done() for task in tasks)
        assert ended == 0, f"{ended} of {count} streams ended before the measurement"
        size_kb = resident_kb(node.process.pid)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.sleep(2 * SETTLE_S)
    return size_kb


async def _process_slopes(log_file: Path) -> list[Slope]:
    deployment = Deployment(DeploymentPlan(TREE_FILE), log_file)
    try:
        await deployment.start()
        await asyncio.sleep(2 * SETTLE_S)
        nodes = [deployment.entry_hosts[name] for name in sorted(deployment.entry_hosts)]
        # Use a separate host per series, because memory that a host retains distorts later series.
        connected, busy = nodes[0], nodes[1]
        start_kb = resident_kb(nodes[2].process.pid)
        idle = await idle_percent(nodes)
        connections = [(0.0, resident_kb(connected.process.pid))]
        writers: list[asyncio.StreamWriter] = []
        for count in CONNECTION_COUNTS:
            writers += await _open_connections(connected, count - len(writers))
            await asyncio.sleep(SETTLE_S)
            connections.append((count, resident_kb(connected.process.pid)))
        for writer in writers:
            writer.close()
        model = next(s.model for s in deployment.tree.services.values() if s.model)
        key = f"demo-key-{next(iter(deployment.tree.workspaces))}"
        requests = [
            (float(count), await _memory_with_streams_kb(busy, str(model), key, count))
            for count in REQUEST_COUNTS
        ]
    finally:
        await deployment.stop()
    start = Slope(
        "memory: serving process at start", "process", "KB", start_kb, 0.0, 0.0, "1 point"
    )
    shown = " ".join(f"{percent:.2f}" for percent in idle)
    return [
        start,
        Slope("control, idle deployment", "process", "% of a core", max(idle), 0.0, 0.0, shown),
        fit("memory: connection kept alive", "connection", "KB", connections),
        fit("memory: running request", "request", "KB", requests),
    ]


def process_slopes(log_file: Path) -> list[Slope]:
    """Measures the serving processes of a small deployment on loopback."""
    return asyncio.run(_process_slopes(log_file))
