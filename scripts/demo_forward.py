"""``make demo-forward``: runs ``medlarvale forward`` hosts on a stand-in platform with faults.

Two hosts serve lookups, bookings and streams. While they do, one host is killed and restarted, the
other is restarted gracefully, streams are cut, a server drains and the store is unreachable for a
time. Exits with 0 only if no booking ran twice, no refused request ran, and every answer was
complete and correct.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import aiohttp

from medlarvale.platform.standin import StandinPlatform, stream_body
from medlarvale.standins.users_platform_command import ROUTES
from scripts.forward_hosts import ForwardHost

DURATION_S = 10.0
CALLERS = 12
DEADLINE_MS = 3_000
SEED = 20_261_204


class Load:
    """Callers that send requests to random hosts and record the outcomes.

    Attributes:
        outcomes: number of responses by route and status.
        refused: ids of requests that were answered with status 503.
        bookings: ids of all booking requests.
        wrong_answers: ids of requests whose answer differs from the expected one.
    """

    def __init__(self, platform: StandinPlatform, hosts: list[ForwardHost]) -> None:
        self._platform = platform
        self._hosts = hosts
        self._numbers = itertools.count(1)
        self._random = random.Random(SEED)
        self.outcomes: Counter[str] = Counter()
        self.refused: list[str] = []
        self.bookings: list[str] = []
        self.wrong_answers: list[str] = []

    async def run(self, session: aiohttp.ClientSession, end_s: float) -> None:
        """Sends one request at a time until ``end_s`` on the monotonic clock."""
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
            self.wrong_answers.append(request_id)


async def cause_faults(platform: StandinPlatform, hosts: list[ForwardHost]) -> None:
    """Injects faults into the deployment while the load runs."""
    await asyncio.sleep(DURATION_S * 0.2)
    for name in ("d1", "d2"):
        platform.servers[name].break_after = 3
    await platform.store.set_down(True)
    await asyncio.sleep(DURATION_S * 0.1)
    await hosts[0].stop(signal.SIGKILL)
    await platform.store.set_down(False)
    await hosts[0].start()
    await asyncio.sleep(DURATION_S * 0.2)
    leaving = platform.servers["s1"]
    leaving.state = "draining"
    await platform.publish(leaving)
    await asyncio.sleep(DURATION_S * 0.1)
    await hosts[1].stop(signal.SIGTERM)
    await hosts[1].start()


def report(platform: StandinPlatform, load: Load) -> int:
    """Prints the outcomes and the violated guarantees; returns the process exit status."""
    runs = platform.runs()
    run_twice = [request for request in load.bookings if runs[request] > 1]
    false_refusals = [request for request in load.refused if runs[request]]
    for outcome, number in sorted(load.outcomes.items()):
        print(f"{outcome:28} {number}")
    faults = {
        "bookings run twice": run_twice,
        "refused requests that ran": false_refusals,
        "wrong or incomplete answers": load.wrong_answers,
    }
    for name, requests in faults.items():
        print(f"{name:28} {len(requests)} {' '.join(requests[:3])}")
    served = sum(number for outcome, number in load.outcomes.items() if outcome.endswith("200"))
    return 1 if any(faults.values()) or not served else 0


async def run_demo() -> int:
    """Runs the demonstration and returns the process exit status."""
    platform = StandinPlatform()
    await platform.start()
    await platform.configure(1, **ROUTES)
    with tempfile.TemporaryDirectory() as folder:
        hosts = [ForwardHost(name, Path(folder)) for name in ("a1", "a2")]
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
                await host.stop(signal.SIGTERM)
    status = report(platform, load)
    await platform.close()
    return status


if __name__ == "__main__":
    sys.exit(asyncio.run(run_demo()))
