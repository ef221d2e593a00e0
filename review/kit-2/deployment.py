"""A small deployment on loopback: the store, hosts, workers, links between them, and clients."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import wire

KIT = Path(__file__).resolve().parent
REPOSITORY = KIT.parents[1]
HELD, PASSED = 1, 0
NOT_RUN = 2

# The link of the store in SYSTEM.md.
STORE_BITS_PER_S = 1e6 * float(os.environ.get("STORE_MBITS", "1000"))
STORE_PART_BYTES = 16 * 1024
HEARTBEAT_S = 1.2

SETTINGS = """NodeName={name}
Role=forward
MachineClass=front
Serves=front,control
Ip={ip}
Zone={zone}
Region=bretagne
Zones.finistere=bretagne
Zones.morbihan=bretagne
Zones.armor=bretagne
Zones.ille=bretagne
Listen.Front={ip}:8149
Listen.Ready={ip}:8141
Listen.Control={ip}:8144
InternalPorts=7380,7395
Seeds={seeds}
Bootstrap=true
CountsTowardLoss=false
Limits.CpuShare=0.537
Limits.Cores=2
Limits.MemoryMb=300
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Limits.DiskMb=0
Discovery=platform
Entry=vip
HeartbeatMs=1200
Contracts=base,drain,config,cost,retry,recover,split,stream,engine,platform
FaultTolerance.Machines=2
FaultTolerance.Zones=1
FaultTolerance.Regions=0
Bounds.SeedLagS=3
Bounds.AddrReuseS=2
Bounds.StableWindowMs=3000
Bounds.AckTimeoutMs=4000
Bounds.CatchUpS=4
Bounds.DrainMs=2000
Bounds.GraceS=8
Bounds.LossSlackMs=200
Bounds.ConfigApplyMs=2000
Bounds.RollbackSlackMs=250
Bounds.SkewMaxMs=5000
Bounds.RetryBudgetRatio=0.2
Bounds.BudgetWindowS=10
Bounds.BudgetSlack=54
Bounds.RecoveryS=12
Bounds.TransitMs=120
Bounds.ReuseWindowS=8.5
Bounds.RequireFence=true
Bounds.LeaseMs=3000
Bounds.ThawSlackMs=300
Platform.Address={store}
Platform.form=read
Platform.WritesPerS=400
Platform.ReadsPerS=2000
Platform.HistoryS=20
Platform.ValueBytes=1048576
Platform.TtlMinMs=1000
"""


def trouble() -> bool:
    """Returns whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What happened, with the time since the start; written to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._began_s = time.monotonic()
        self.lines: list[str] = []

    def note(self, text: str) -> None:
        """Adds a line."""
        self.lines.append(f"{time.monotonic() - self._began_s:8.3f} {text}")

    def write(self) -> None:
        """Writes the file."""
        self._path.write_text("\n".join(self.lines) + "\n")


class Store:
    """The platform's store, which can fall silent."""

    def __init__(self, ip: str) -> None:
        self.address = f"{ip}:8142"
        self._ip = ip
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.revision = 10
        self.silent = False
        self._changed = asyncio.Condition()

    async def start(self) -> None:
        """Listens."""
        await asyncio.start_server(self._serve, self._ip, 8142)

    async def put(self, key: str, value: Any) -> None:
        """Writes an item."""
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        item = {"Key": key, "Value": text, "Revision": self.revision, "Created": 1, "Lease": 0}
        self.items[key] = item
        await self._note(item)

    async def delete(self, key: str) -> None:
        """Removes an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            await self._note({"Key": key, "Revision": self.revision, "Deleted": True})

    async def _note(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def set_silent(self, silent: bool) -> None:
        """Begins or ends a time in which nothing is answered."""
        self.silent = silent
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await wire.read_head(reader)) is not None:
                answer = await self._answer(head.line.split(" ")[1])
                if self.silent:
                    # What was lost is not answered later: the connection says nothing more.
                    await asyncio.sleep(60.0)
                    return
                await asyncio.sleep(0.004)
                await self._write(answer, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _write(self, answer: bytes, writer: asyncio.StreamWriter) -> None:
        """Writes an answer no faster than the store's link."""
        began_s = time.monotonic()
        for first in range(0, len(answer), STORE_PART_BYTES):
            part = answer[first : first + STORE_PART_BYTES]
            writer.write(part)
            await writer.drain()
            due_s = began_s + 8.0 * (first + len(part)) / STORE_BITS_PER_S
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))

    async def _answer(self, target: str) -> bytes:
        path, _, query_text = target.partition("?")
        query = dict(part.partition("=")[::2] for part in query_text.split("&") if part)
        if path == "/kv-range":
            items = [self.items[key] for key in sorted(self.items)]
            return wire.encode_json({"items": items, "HasMore": False, "CurrentRev": self.revision})
        after, wait_s = int(query["after"]), int(query["WaitMs"]) / 1000.0
        end_s = time.monotonic() + wait_s
        while not (events := [e for e in self.history if e["Revision"] > after]):
            left_s = end_s - time.monotonic()
            if left_s <= 0 or self.silent:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s), self._changed:
                    await self._changed.wait()
        return wire.encode_json({"events": events, "CurrentRev": self.revision})


class Link:
    """A path to one address that can be cut: nothing passes, and new connections hang.

    What was on its way passes when it heals, as TCP sends it again.
    """

    def __init__(self, ip: str, port: int, target: str) -> None:
        self.address = f"{ip}:{port}"
        self._target = target
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.setblocking(False)
        self._listener.bind((ip, port))
        self._listener.listen(128)
        self._open = asyncio.Event()
        self._open.set()
        self._dummies: list[socket.socket] = []
        self._accepting: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Listens."""
        self._accepting = asyncio.get_running_loop().create_task(self._accept())

    async def cut(self) -> None:
        """Cuts the path."""
        assert self._accepting is not None
        self._open.clear()
        self._accepting.cancel()
        # With a full queue the system drops the opening packets of further connections.
        self._listener.listen(0)
        for _ in range(2):
            dummy = socket.socket()
            dummy.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                dummy.connect(self._listener.getsockname())
            self._dummies.append(dummy)

    async def heal(self) -> None:
        """Ends the cut."""
        for dummy in self._dummies:
            dummy.close()
        self._dummies.clear()
        self._listener.listen(128)
        self._open.set()
        self.start()

    def _run(self, step: Awaitable[None]) -> None:
        task = asyncio.ensure_future(step)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(self._listener)
            self._run(self._serve(accepted))

    async def _serve(self, accepted: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=accepted)
        ip, _, port = self._target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            # The system refuses: no process listens there.
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            writer.close()
            return
        self._run(self._pass(reader, far_writer))
        self._run(self._pass(far_reader, writer))

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                await self._open.wait()
                writer.write(data)
                await writer.drain()
            await self._open.wait()
            writer.write_eof()
        except ConnectionResetError:
            await self._open.wait()
            writer.transport.abort()
        except (OSError, RuntimeError):
            pass


class PeerLink:
    """The way of all other hosts to the control port of one, by which host each connection is.

    The name of the sending host stands in each frame. While its path is cut, nothing passes.
    """

    def __init__(self, names: list[str], ip: str, target: str) -> None:
        self._names = [name.encode() for name in names]
        self._ip, self._target = ip, target
        self.address = f"{ip}:8145"
        self.cut: set[str] = set()
        self.healed = asyncio.Event()

    async def start(self) -> None:
        """Listens."""
        await asyncio.start_server(self._serve, self._ip, 8145)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ip, _, port = self._target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._pass(reader, far_writer, True), self._pass(far_reader, writer, False)
        )

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, names_sender: bool
    ) -> None:
        sender = ""
        try:
            while data := await reader.read(65536):
                if names_sender and not sender:
                    found = [(data.find(name), name) for name in self._names if name in data]
                    sender = min(found)[1].decode() if found else ""
                while sender in self.cut:
                    await self.healed.wait()
                writer.write(data)
                await writer.drain()
        except (OSError, RuntimeError):
            pass
        finally:
            writer.close()


class Worker:
    """A process of ``worker.py``."""

    def __init__(self, deployment: Deployment, name: str, service: str, **options: Any) -> None:
        self._deployment = deployment
        self.name, self.service = name, service
        self.zone = options.pop("zone", "finistere")
        self.stage = options.pop("stage", "")
        self.version = options.pop("version", "v1")
        self.address = options.pop("address", "") or f"{deployment.new_ip()}:8080"
        # Where clients of the store find it.
        self.listed = options.pop("listed", "") or self.address
        self._options = options
        self.born_ms = 0
        self.notes: list[dict[str, Any]] = []
        self.on_note: Callable[[dict[str, Any]], None] | None = None
        self._process: asyncio.subprocess.Process | None = None
        self._listens = asyncio.Event()

    async def start(self, *, publish: bool = True) -> None:
        """Starts the process, which registers itself in the store."""
        self.born_ms = time.time_ns() // 1_000_000
        self._listens.clear()
        words = [sys.executable, str(KIT / "worker.py"), "--id", self.name]
        words += ["--address", self.address, "--stage", self.stage, "--version", self.version]
        words += ["--born", str(self.born_ms)]
        for name, value in self._options.items():
            words.append(f"--{name.replace('_', '-')}")
            words += [] if value is True else [str(value)]
        self._process = await asyncio.create_subprocess_exec(
            *words, stdout=asyncio.subprocess.PIPE, cwd=KIT
        )
        self._deployment.keep(self._process)
        self._deployment.run(self._read(self._process))
        async with asyncio.timeout(10.0):
            await self._listens.wait()
        if publish:
            await self.publish()

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        while line := await process.stdout.readline():
            fields = json.loads(line)
            self.notes.append(fields)
            self._deployment.record.note(f"worker {json.dumps(fields)}")
            if fields["what"] == "listens":
                self._listens.set()
            if fields["what"] == "stage":
                self.stage = fields["stage"]
                await self.publish()
            if self.on_note is not None:
                self.on_note(fields)

    async def publish(self, **changes: Any) -> None:
        """Writes the entry of the worker into the store."""
        entry = {
            "Service": self.service,
            "Address": self.listed,
            "Zone": self.zone,
            "Version": self.version,
            "Slots": 64 if self.stage else 6,
            "State": "ready",
            "ColdLeftMs": 0,
            # Counts the heartbeats since the start.
            "Sequence": 1 + int((time.time() - self.born_ms / 1000.0) / HEARTBEAT_S),
            "born": self.born_ms,
        }
        if self.stage:
            entry |= {"Stage": self.stage, "Models": [{"Name": "m", "Version": 1}]}
        await self._deployment.store.put(f"servers/{self.name}", entry | changes)
        self._deployment.record.note(f"entry of {self.name}: {entry['Version']} {self.born_ms}")

    def kill(self) -> None:
        """Ends the process without notice."""
        assert self._process is not None
        self._deployment.record.note(f"kill {self.name}")
        self._process.kill()

    async def ended(self) -> None:
        """Waits for the end of the process."""
        assert self._process is not None
        await self._process.wait()


class Host:
    """A process of the deploy file's role ``forward``."""

    def __init__(self, deployment: Deployment, name: str, zone: str, ip: str) -> None:
        self._deployment = deployment
        self.name, self.zone, self.ip = name, zone, ip
        self.front, self.ready = f"{ip}:8149", f"{ip}:8141"
        self.control = f"{ip}:8144"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, seeds: list[str], extra: str = "") -> None:
        """Starts the process with the command of the deploy file."""
        folder = self._deployment.folder
        settings = folder / f"{self.name}.conf"
        settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                seeds=",".join(seeds),
                store=self._deployment.store.address,
            )
            + extra
        )
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        words = shlex.split(deploy["roles"]["forward"]["run"])
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment |= {
            "MEDLARVALE_BOOT": str(settings),
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = os.open(folder / f"{self.name}.log", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=REPOSITORY, env=environment, stdout=log, stderr=log
        )
        os.close(log)
        self._deployment.keep(self.process)

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal."""
        assert self.process is not None
        self._deployment.record.note(f"{number.name} to {self.name}")
        self.process.send_signal(number)

    async def wait_until_ready(self) -> None:
        """Waits until the platform would send clients."""
        async with asyncio.timeout(30.0):
            while True:
                with contextlib.suppress(OSError):
                    answer = await send(self.ready, "GET /ready HTTP/1.1", {"Host": "platform"})
                    if answer.status == 200:
                        return
                await asyncio.sleep(0.1)


class Answer:
    """What a client has received."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        # Whether the end of the answer was marked as its end.
        self.complete = False


async def send(
    address: str, line: str, headers: dict[str, str], body: bytes = b"", limit_s: float = 30.0
) -> Answer:
    """Sends a request on a new connection; returns what arrives until its end or the limit."""
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    answer = Answer()
    try:
        fields = headers | ({"Content-Length": str(len(body))} if body else {})
        text = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"{line}\r\n{text}\r\n".encode() + body)
        async with asyncio.timeout(limit_s):
            await _receive(reader, answer)
    except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.transport.abort()
    return answer


async def _receive(reader: asyncio.StreamReader, answer: Answer) -> None:
    head = await wire.read_head(reader)
    if head is None:
        return
    answer.status, answer.headers = int(head.line.split(" ")[1]), head.headers
    if "chunked" in head.headers.get("transfer-encoding", ""):
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        answer.complete = True
    elif "content-length" in head.headers:
        answer.body = await reader.readexactly(int(head.headers["content-length"]))
        answer.complete = True
    else:
        while data := await reader.read(65536):
            answer.body += data
        answer.complete = True


class Deployment:
    """All parts of a deployment; ``close`` ends every process that it has started."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self._rng = random.Random()
        self._used: set[str] = set()
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self._processes: list[asyncio.subprocess.Process] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self.store = Store(self.new_ip())
        self.hosts: list[Host] = []
        self.peer_links: dict[str, PeerLink] = {}

    def new_ip(self) -> str:
        """Returns a loopback address of its own, on which all ports are free."""
        while True:
            ip = "127." + ".".join(str(self._rng.randint(1, 250)) for _ in range(3))
            if ip in self._used or ip.startswith("127.0.0."):
                continue
            with socket.socket() as probe:
                probe.bind((ip, 8149))
            self._used.add(ip)
            return ip

    def keep(self, process: asyncio.subprocess.Process) -> None:
        """Remembers a process that has to end."""
        self._processes.append(process)

    def run(self, step: Awaitable[Any]) -> asyncio.Task[Any]:
        """Runs something beside the rest."""
        task = asyncio.ensure_future(step)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def start_hosts(self, zones: dict[str, str], *, linked: bool = False) -> None:
        """Starts hosts, by name and zone, and waits until they are ready.

        Args:
            zones: the zone of each.
            linked: whether the others reach each of them through a link that can be cut.
        """
        hosts = [Host(self, name, zone, self.new_ip()) for name, zone in zones.items()]
        seeds = [host.control for host in hosts]
        if linked:
            for host in hosts:
                link = PeerLink(list(zones), self.new_ip(), host.control)
                await link.start()
                self.peer_links[host.name] = link
            seeds = [self.peer_links[host.name].address for host in hosts]
        for host, address in zip(hosts, seeds, strict=True):
            await host.start(seeds[:3], f"Announce.Control={address}\n" if linked else "")
        for host in hosts:
            await host.wait_until_ready()
        self.hosts = hosts
        self.record.note(f"hosts {', '.join(zones)} are ready")

    def cut_hosts(self, one: str, other: str) -> None:
        """Cuts two hosts off from each other; the rest reach both."""
        self.peer_links[one].cut.add(other)
        self.peer_links[other].cut.add(one)
        self.record.note(f"{one} and {other} are cut off from each other")

    def heal_hosts(self) -> None:
        """Ends all cuts between hosts."""
        for link in self.peer_links.values():
            link.cut.clear()
            link.healed.set()
        self.record.note("all hosts reach each other")

    async def close(self) -> None:
        """Ends all processes, and keeps the logs of the hosts beside the record."""
        for process in self._processes:
            if process.returncode is None:
                process.kill()
        for process in self._processes:
            await process.wait()
        for task in list(self._tasks):
            task.cancel()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            for log in self.folder.glob("*.log"):
                (Path(logs) / log.name).write_bytes(log.read_bytes())
        self._folder.cleanup()


def play(folder: Path, case: Callable[[Deployment], Awaitable[int]], limit_s: float = 110.0) -> int:
    """Plays a case; returns its exit status."""
    record = Record(folder / "record.txt")
    record.note(f"TROUBLE={int(trouble())}")

    async def run() -> int:
        deployment = Deployment(record)
        try:
            async with asyncio.timeout(limit_s):
                return await case(deployment)
        finally:
            await deployment.close()

    try:
        status = asyncio.run(run())
    except Exception as error:  # The case could not run.
        record.note(f"could not run: {error!r}")
        status = NOT_RUN
    record.note(f"exit status {status}")
    record.write()
    print("\n".join(record.lines[-12:]))
    return status


def route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Returns a route of the configuration at ``/name/``."""
    return {
        "Name": f"r-{name}",
        "Host": "quimper.example",
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 14000 if kind == "streaming" else 4000,
        "TargetLatencyMs": 900 if kind == "streaming" else 400,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "Sticky": kind == "streaming",
        "Resumable": kind == "streaming",
        "GapTargetMs": 300 if kind == "streaming" else 0,
    } | changes


def configuration(*routes: dict[str, Any], version: int = 7) -> dict[str, Any]:
    """Returns a configuration with the services of a small deployment."""
    engine = {
        "Slots": 64,
        "KvTokenCapacity": 59496,
        "KvTokenBytes": 18432,
        "LinkMbps": 240000.0,
        "KvHoldS": 0.5,
        "SwitchS": 6.0,
        "PinMs": 4000.0,
        "HoldMs": 2000.0,
        "Models": [{"Name": "m"}],
    }
    return {
        "Version": version,
        "Routes": list(routes),
        "Services": [
            {"Name": "redacteur", "HealthPath": "/health", "MaxConns": 360, "Engine": engine},
            {"Name": "comptoir", "HealthPath": "/health", "MaxConns": 100},
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }
