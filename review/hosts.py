"""Starts the project's forwarding hosts as separate processes, with the deploy file's command."""

from __future__ import annotations

import asyncio
import os
import random
import shlex
import signal
import socket
import time
import tomllib
from pathlib import Path
from typing import BinaryIO

import aiohttp
from aiohttp import web

REPOSITORY = Path(__file__).resolve().parents[1]
READY_S = 20.0
# Ports of the deploy file that are the same on all machines.
METRICS_PORT, RELAY_PORT = 7380, 7381

SETTINGS = """NodeName={name}
Role=forward
MachineClass=front
Serves=front,control
Ip={ip}
Zone={zone}
Region=bretagne
Listen.Front={front}
Listen.Ready={ready}
Listen.Control={control}
InternalPorts=7380,7395
Seeds={seeds}
Bootstrap={bootstrap}
Limits.MemoryMb=300
Limits.MaxFds=4100
Discovery=platform
Entry=vip
HeartbeatMs=1200
Contracts=base,drain,config,cost,retry,recover,split,stream,engine,platform
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
Platform.ReadsPerS=2000
Platform.HistoryS=20
Platform.ValueBytes=1048576
"""


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
        return True


def free_ip() -> str:
    """Returns a loopback address on which the fixed ports of the deploy file are free."""
    while True:
        ip = f"127.{random.randint(16, 250)}.{random.randint(0, 250)}.{random.randint(2, 250)}"
        if _is_free(ip, METRICS_PORT) and _is_free(ip, RELAY_PORT):
            return ip


def free_port(ip: str) -> int:
    """Returns a free port of an address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return int(probe.getsockname()[1])


class Host:
    """One machine with the role ``forward``.

    Args:
        name: its name.
        zone: its zone.
        folder: gets the settings file and the log.
    """

    def __init__(self, name: str, zone: str, folder: Path) -> None:
        self.name, self.zone = name, zone
        self.ip = free_ip()
        self.front, self.ready, self.control = (f"{self.ip}:{port}" for port in self._free_ports(3))
        self._boot = folder / f"{name}.conf"
        self._log = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None
        self.started_s = 0.0

    def _free_ports(self, count: int) -> list[int]:
        ports: set[int] = set()
        while len(ports) < count:
            ports.add(free_port(self.ip))
        return list(ports)

    def write_settings(self, store: str, seeds: list[str]) -> None:
        """Writes the settings file, as for the first start of the system until it has started."""
        self._boot.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                front=self.front,
                ready=self.ready,
                control=self.control,
                seeds=",".join(seeds),
                bootstrap="true" if self._process is None else "false",
                store=store,
            )
        )

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
        words = shlex.split(deploy["roles"]["forward"]["run"])
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with self._open_log() as log:
            self._process = await asyncio.create_subprocess_exec(
                *words,
                cwd=REPOSITORY,
                env=kept
                | {
                    "MEDLARVALE_BOOT": str(self._boot),
                    "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
                stdout=log,
                stderr=log,
            )
        self.started_s = time.monotonic()

    def _open_log(self) -> BinaryIO:
        return self._log.open("ab")

    @property
    def runs(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        """Id of the process."""
        assert self._process is not None
        return self._process.pid

    async def wait_until_ready(self, session: aiohttp.ClientSession) -> None:
        """Waits until the readiness check passes."""
        async with asyncio.timeout(READY_S):
            while True:
                if await self.is_ready(session):
                    return
                await asyncio.sleep(0.05)

    async def is_ready(self, session: aiohttp.ClientSession) -> bool:
        """Asks for readiness as the platform does."""
        try:
            async with session.get(f"http://{self.ready}/ready") as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError):
            return False

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self.runs:
            assert self._process is not None
            self._process.send_signal(number)

    async def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self._process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self._process.wait()

    def log_text(self) -> str:
        """Returns what the process has logged."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""


class Sites:
    """HTTP servers of stand-ins on loopback."""

    def __init__(self) -> None:
        self._runners: list[web.AppRunner] = []

    async def serve(self, app: web.Application, ip: str = "127.0.0.1", port: int = 0) -> str:
        """Serves an application, on a free port if it is 0; returns its address."""
        # Workers drop a request when its connection closes.
        runner = web.AppRunner(app, handler_cancellation=True, access_log=None)
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(runner, ip, port, backlog=512).start()
        return f"{ip}:{runner.addresses[0][1]}"

    async def crash(self) -> None:
        """Ends all servers as if their process had crashed: every connection is reset."""
        for runner in self._runners:
            for site in list(runner.sites):
                await site.stop()
            for connection in runner.server.connections if runner.server is not None else []:
                if connection.transport is not None:
                    connection.transport.abort()
        await self.close()

    async def close(self) -> None:
        """Ends all servers."""
        for runner in self._runners:
            for site in list(runner.sites):
                await site.stop()
            runner._shutdown_timeout = 0.01
            await runner.cleanup()
