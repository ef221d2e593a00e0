"""Processes of ``medlarvale forward`` on loopback."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
import weakref
from pathlib import Path
from typing import IO

import aiohttp
import msgspec

from scripts.deployment import REPOSITORY
from scripts.held_ports import HeldPort

IP = "127.0.0.1"
READY_S = 20.0
SOURCE = REPOSITORY / "src"
SETTINGS_TEMPLATE = """
NodeName={name}
Zone={domain}
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


class OwnEnd(msgspec.Struct, frozen=True):
    """End of a process that nobody told to end.

    Attributes:
        status: exit status, or the negative number of a signal.
        age_s: time from its start to its end.
        last_signal: the last signal that was sent to it, if any.
        signal_age_s: time from its start to that signal.
    """

    status: int
    age_s: float
    last_signal: signal.Signals | None = None
    signal_age_s: float | None = None

    def __str__(self) -> str:
        text = f"status {self.status}, {self.age_s:.3f} s after its start"
        if self.last_signal is None:
            return text
        return f"{text}, {self.last_signal.name} sent after {self.signal_age_s:.3f} s"


class ForwardHost:
    """One process of ``medlarvale forward``.

    Args:
        name: name of the host.
        folder: directory of its settings file and log.
        keep_log: whether its output is kept in a file.
        domain: its failure domain.

    Attributes:
        source: directory of the packages that it runs from its next start on.
        log_file: where its output goes; None if it is dropped.
        own_ends: ends of processes that were not told to end.
        relay: address that it binds for requests that peers relay, if it announces another address.
        announced: address that it names to peers; None for the one that it binds.
    """

    def __init__(
        self, name: str, folder: Path, *, keep_log: bool = False, domain: str = "a"
    ) -> None:
        self.name, self._domain = name, domain
        self.own_ends: list[OwnEnd] = []
        self.source = SOURCE
        self.log_file: Path | None = folder / f"{name}.log" if keep_log else None
        self._told_to_end = False
        self._started_s = 0.0
        self._last_signal: signal.Signals | None = None
        self._signal_age_s: float | None = None
        self._ended: asyncio.Task[None] | None = None
        ports = [HeldPort(IP) for _ in range(5)]
        addresses = (port.address for port in ports)
        self.front, self.ready, self.control, self.metrics, self.relay = addresses
        self.announced: str | None = None
        # Held between starts too.
        for port in ports:
            weakref.finalize(self, port.release)
        self._settings_file = folder / f"{name}.conf"
        self._process: asyncio.subprocess.Process | None = None

    def write_settings(self, store: str, seeds: list[str]) -> None:
        """Writes the settings file."""
        text = SETTINGS_TEMPLATE.format(
            name=self.name,
            domain=self._domain,
            front=self.front,
            ready=self.ready,
            control=self.control,
            seeds=",".join(seeds),
            store=store,
        )
        if self.announced is not None:
            text += f"Announce.Control={self.announced}\n"
        # A process that reads it meanwhile finds the old file or the new one.
        written = self._settings_file.with_suffix(".new")
        written.write_text(text)
        written.replace(self._settings_file)

    @property
    def peer_address(self) -> str:
        """Address at which peers reach it."""
        return self.announced or self.control

    @property
    def running(self) -> bool:
        """Whether the process runs or stands still."""
        return self._process is not None and self._process.returncode is None

    @property
    def process_id(self) -> int | None:
        """Id of the process; None if it has ended."""
        return self._process.pid if self._process is not None and self.running else None

    async def start(self) -> None:
        """Starts the process."""
        self._told_to_end = False
        relay_port = ("--relay-port", self.relay.rpartition(":")[2]) if self.announced else ()
        with self._open_output() as output:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", "medlarvale", "forward", "--boot", str(self._settings_file)),
                *("--metrics-port", self.metrics.rpartition(":")[2]),
                *relay_port,
                env=os.environ | {"PYTHONPATH": str(self.source)},
                stdout=output,
                stderr=output if self.log_file else None,
            )
        self._started_s = time.monotonic()
        self._last_signal = self._signal_age_s = None
        self._ended = asyncio.create_task(self._note_end(self._process))

    def _open_output(self) -> IO[bytes]:
        return open(self.log_file or os.devnull, "ab")

    async def _note_end(self, process: asyncio.subprocess.Process) -> None:
        status = await process.wait()
        if not self._told_to_end:
            end = OwnEnd(status, self._age_s(), self._last_signal, self._signal_age_s)
            self.own_ends.append(end)

    def _age_s(self) -> float:
        return time.monotonic() - self._started_s

    async def wait_until_ready(self, session: aiohttp.ClientSession) -> None:
        """Waits until the readiness check passes."""
        async with asyncio.timeout(READY_S):
            while True:
                try:
                    async with session.get(f"http://{self.ready}/ready") as response:
                        if response.status == 200:
                            return
                except aiohttp.ClientError:
                    # The host is not listening yet.
                    pass
                await asyncio.sleep(0.05)

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it has not ended."""
        assert self._process is not None
        if self.running:
            self._last_signal, self._signal_age_s = number, self._age_s()
            self._process.send_signal(number)

    async def stop(self, number: signal.Signals) -> None:
        """Sends a signal that ends the process and waits until it has ended."""
        self._told_to_end = True
        self.send_signal(number)
        await self.wait_until_ended()

    async def wait_until_ended(self) -> None:
        """Waits until the process has ended."""
        assert self._ended is not None
        await asyncio.shield(self._ended)
