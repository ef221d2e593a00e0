"""``make demo-forward``: hosts of ``medlarvale forward`` before a stand-in platform, with faults.

Two hosts serve lookups, bookings and streams. Midway one of them is killed and starts again,
streams are cut, a server leaves and the store is away. Exits with 0 only if no booking ran twice,
no refused request ran, and every answer was whole and right.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import aiohttp

from medlarvale.platform.standin import StandinPlatform, stream_body
from medlarvale.standins.users_platform_command import ROUTES
from scripts.deployment import REPOSITORY

IP = "127.0.0.1"
DURATION_S = 10.0
CALLERS = 12
DEADLINE_MS = 3_000
READY_S = 20.0
SEED = 20_261_204
BOOT = """
NodeName={name}
Zone=a
Listen.Front={front}
Listen.Ready={ready}
Listen.Control={control}
Seeds={seeds}
Bounds.GraceS=4
Bounds.RetryBudgetRatio=0.2
Bounds.BudgetSlack=54
Bounds.LeaseMs=3000
Platform.Address={store}
"""


def free_address() -> str:
    """Returns a loopback address with a port that is free now."""
    with socket.socket() as probe:
        probe.bind((IP, 0))
        return f"{IP}:{probe.getsockname()[1]}"


class Host:
    """One process of ``medlarvale forward``.

    Args:
        name: name of the host.
        folder: where its settings file is written.
    """

    def __init__(self, name: str, folder: Path) -> None:
        self.name = name
        self.front, self.ready, self.control, self.metrics = (free_address() for _ in range(4))
        self._boot = folder / f"{name}.conf"
        self._process: asyncio.subprocess.Process | None = None

    def write_settings(self, store: str, seeds: list[str]) -> None:
        """Writes the settings file."""
        text = BOOT.format(
            name=self.name,
            front=self.front,
            ready=self.ready,
            control=self.control,
            seeds=",".join(seeds),
            store=store,
        )
        self._boot.write_text(text)

    async def start(self) -> None:
        """Starts the process."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "medlarvale", "forward", "--boot", str(self._boot)),
            *("--metrics-port", self.metrics.rpartition(":")[2]),
            env=os.environ | {"PYTHONPATH": str(REPOSITORY / "src")},
            stdout=asyncio.subprocess.DEVNULL,
        )

    async def wait_until_ready(self, session: aiohttp.ClientSession) -> None:
        """Waits for the readiness check to pass."""
        async with asyncio.timeout(READY_S):
            while True:
                try:
                    async with session.get(f"http://{self.ready}/ready") as response:
                        if response.status == 200:
                            return
                except aiohttp.ClientError:
                    # It is not listening yet.
                    pass
                await asyncio.sleep(0.05)

    async def end(self, number: signal.Signals) -> None:
        """Sends a signal and waits for the end of the process."""
        assert self._process is not None
        self._process.send_signal(number)
        await self._process.wait()


class Load:
    """Callers, and what they were told."""

    def __init__(self, platform: StandinPlatform, hosts: list[Host]) -> None:
        self._platform = platform
        self._hosts = hosts
        self._numbers = itertools.count(1)
        self._random = random.Random(SEED)
        self.outcomes: Counter[str] = Counter()
        self.refused: list[str] = []
        self.bookings: list[str] = []
        self.wrong: list[str] = []

    async def run(self, session: aiohttp.ClientSession, end_s: float) -> None:
        """Sends requests one after the other until a time."""
        while time.monotonic() < end_s:
            route = self._random.choice(list(ROUTES))
            request_id = f"{route}-{next(self._numbers)}"
            if route == "book":
                self.bookings.append(request_id)
            try:
                await self._send(session, route, request_id)
            except (aiohttp.ClientError, TimeoutError):
                self.outcomes[f"{route}: connection lost"] += 1
            await asyncio.sleep(0.01)

    async def _send(self, session: aiohttp.ClientSession, route: str, request_id: str) -> None:
        host = self._random.choice(self._hosts)
        headers = {
            "Host": "callers.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(DEADLINE_MS),
            "X-Token-Counts": "100,20",
        }
        url = f"http://{host.front}/{route}/1"
        async with session.post(url, headers=headers, data=request_id.encode()) as response:
            body = await response.read()
        self.outcomes[f"{route}: {response.status}"] += 1
        if response.status == 503:
            self.refused.append(request_id)
        expected = stream_body(request_id) if route == "chat" else b"ok:" + request_id.encode()
        if response.status == 200 and body != expected:
            self.wrong.append(request_id)


async def cause_faults(platform: StandinPlatform, hosts: list[Host]) -> None:
    """Disturbs the deployment while the load runs."""
    await asyncio.sleep(DURATION_S * 0.2)
    for name in ("d1", "d2"):
        platform.servers[name].break_after = 3
    await platform.store.set_down(True)
    await asyncio.sleep(DURATION_S * 0.1)
    await hosts[0].end(signal.SIGKILL)
    await platform.store.set_down(False)
    await hosts[0].start()
    await asyncio.sleep(DURATION_S * 0.2)
    leaving = platform.servers["s1"]
    leaving.state = "draining"
    await platform.publish(leaving)
    await asyncio.sleep(DURATION_S * 0.1)
    await hosts[1].end(signal.SIGTERM)
    await hosts[1].start()


def report(platform: StandinPlatform, load: Load) -> int:
    """Prints the figures; returns the exit status."""
    runs = platform.runs()
    twice = [request for request in load.bookings if runs[request] > 1]
    false_refusals = [request for request in load.refused if runs[request]]
    for outcome, number in sorted(load.outcomes.items()):
        print(f"{outcome:28} {number}")
    faults = {
        "bookings run twice": twice,
        "refused requests that ran": false_refusals,
        "wrong or cut answers": load.wrong,
    }
    for name, requests in faults.items():
        print(f"{name:28} {len(requests)} {' '.join(requests[:3])}")
    served = sum(number for outcome, number in load.outcomes.items() if outcome.endswith("200"))
    return 1 if any(faults.values()) or not served else 0


async def run_demo() -> int:
    """Runs the demonstration; returns the exit status."""
    platform = StandinPlatform()
    await platform.start()
    await platform.configure(1, **ROUTES)
    with tempfile.TemporaryDirectory() as folder:
        hosts = [Host(name, Path(folder)) for name in ("a1", "a2")]
        for host in hosts:
            host.write_settings(platform.address, [peer.control for peer in hosts])
            await host.start()
        try:
            timeout = aiohttp.ClientTimeout(total=DEADLINE_MS / 1000.0 + 1.0)
            async with aiohttp.ClientSession(timeout=timeout) as session:
                for host in hosts:
                    await host.wait_until_ready(session)
                load = Load(platform, hosts)
                end_s = time.monotonic() + DURATION_S
                callers = [load.run(session, end_s) for _ in range(CALLERS)]
                await asyncio.gather(cause_faults(platform, hosts), *callers)
        finally:
            for host in hosts:
                await host.end(signal.SIGTERM)
    status = report(platform, load)
    await platform.close()
    return status


if __name__ == "__main__":
    sys.exit(asyncio.run(run_demo()))
