"""DRAIN: requests reach a worker that is gone, because a waiting watch was cut.

A worker of a plain service leaves without reporting that it drains: its entry is removed. At the
same moment the store cuts the watches that wait. It answers everything else as always, and no watch
is cut again.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import aiohttp

from review.hosts import Host, Sites
from review.script import has_trouble, run
from review.standins import Record, Store, Worker

HOST_ZONES = ("finistere", "finistere", "morbihan", "armor", "ille")
WORKER_ZONES = ("finistere", "morbihan", "armor", "ille")
SERVICE = "wuno96b"
CLIENTS_PER_HOST, PERIOD_S = 4, 0.1
BEFORE_S, AFTER_S = 6.0, 6.0
DRAIN_S, LINGER_S = 2.0, 0.2
DEADLINE_MS = 4_000


class Clients:
    """Clients that keep a connection open and send bookings on it, one after the other."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._number = 0
        self.statuses: dict[str, str] = {}

    async def run(self, host: Host) -> None:
        """Sends bookings to a machine until it is cancelled."""
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as session:
            while True:
                self._number += 1
                await self._book(session, host, f"{self._number:016x}")
                await asyncio.sleep(PERIOD_S)

    async def _book(self, session: aiohttp.ClientSession, host: Host, request_id: str) -> None:
        headers = {
            "Host": "ficu95.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        url = f"http://{host.front}/puxa403/2f"
        try:
            async with session.post(url, headers=headers, data=b"x" * 600) as response:
                await response.read()
                status = str(response.status)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            status = repr(error)
        self.statuses[request_id] = status
        self._record.note(f"booking {request_id} to {host.name}: {status}")


def configuration() -> dict[str, object]:
    """Returns a configuration with one unsafe route."""
    route = {
        "Name": "r-i9n73hh",
        "Host": "ficu95.example",
        "PathPrefix": "/puxa403/",
        "Kind": "unsafe",
        "TimeoutMs": 2000,
        "TargetLatencyMs": 300,
        "Priority": 2,
        "Service": SERVICE,
        "MaxAttempts": 1,
    }
    service = {
        "Name": SERVICE,
        "HealthPath": "/health",
        "MaxConns": 100,
        "Protocol": "h1",
        "Tls": False,
    }
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    return {"Version": 7, "Routes": [route], "Services": [service], "Limits": limits}


async def play(record: Record, folder: Path) -> int:
    """Plays the case; returns the exit status."""
    sites, leaving_site, store = Sites(), Sites(), Store(record)
    store_address = await sites.serve(store.application())
    workers = []
    for number, zone in enumerate(WORKER_ZONES):
        worker = Worker(record, store, {}, SERVICE, zone)
        site = sites if number else leaving_site
        worker.address = await site.serve(worker.application())
        worker.publish()
        workers.append(worker)
    leaving = workers[0]
    store.put("op/config", configuration())
    hosts = [Host(f"front-{zone}-{n}", zone, folder) for n, zone in enumerate(HOST_ZONES, 1)]
    for host in hosts:
        host.write_settings(store_address, [seed.control for seed in hosts[:3]])
    tasks: list[asyncio.Task[None]] = []
    clients = Clients(record)
    try:
        async with aiohttp.ClientSession() as session:
            for host in hosts:
                await host.start()
            for host in hosts:
                await host.wait_until_ready(session)
                record.note(f"{host.name} is ready, pid {host.pid}")
        for host in hosts:
            tasks += [asyncio.create_task(clients.run(host)) for _ in range(CLIENTS_PER_HOST)]
        await asyncio.sleep(BEFORE_S)
        store.cut_watches_on_delete = has_trouble()
        store.delete(f"servers/{leaving.id}")
        store.cut_watches_on_delete = False
        gone_s = record.now_s()
        record.note(f"the entry of {leaving.id} is removed")
        await asyncio.sleep(DRAIN_S + LINGER_S)
        await leaving_site.close()
        record.note(f"{leaving.id} has ended")
        await asyncio.sleep(AFTER_S)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for host in hosts:
            await host.kill()
        await sites.close()
        await leaving_site.close()
    return judge(record, leaving, gone_s, clients.statuses)


def judge(record: Record, leaving: Worker, gone_s: float, statuses: dict[str, str]) -> int:
    """Checks DRAIN: no request reaches the worker later than ``DrainMs`` after its removal."""
    served = sum(status == "200" for status in statuses.values())
    record.note(f"{served} of {len(statuses)} bookings served, {len(leaving.runs)} by {leaving.id}")
    if not leaving.runs or not served:
        record.note("the case couldn't run: the worker got no request")
        return 2
    late = [
        (at_s - gone_s, request_id)
        for at_s, request_id in leaving.arrivals
        if at_s - gone_s > DRAIN_S
    ]
    for after_s, request_id in late:
        status = statuses.get(request_id, "no answer")
        record.note(
            f"DRAIN is broken: {request_id} reached {leaving.id} {after_s:.3f} s after its removal;"
            f" answer: {status}"
        )
    record.note("DRAIN is broken" if late else "DRAIN holds")
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(run(play, __file__))
