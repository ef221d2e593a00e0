"""Clients of a streaming route, its configuration, and the check of the rule ONE."""

from __future__ import annotations

import asyncio
import random

import aiohttp

from review.hosts import Host, Sites
from review.standins import Record, Store, Worker

SERVICE = "huvo11a"
DEADLINE_MS = 14_000
# Bounds of the settings.
LEASE_S, STABLE_S = 3.0, 3.0


class Clients:
    """Clients of a streaming route, which use the machines that are ready.

    Attributes:
        sent: number of requests.
        served: number of answers with status 200.
        ready: names of the machines that are ready.
        shares: share of the requests by machine; each has the same share if it is empty.
    """

    def __init__(self, hosts: list[Host], record: Record, session: aiohttp.ClientSession) -> None:
        self._hosts, self._record, self._session = hosts, record, session
        self._rng = random.Random(7)
        self._tasks: set[asyncio.Task[None]] = set()
        self.sent = 0
        self.served = 0
        self.ready: set[str] = set()
        self.shares: dict[str, float] = {}

    async def run(self, per_s: float, for_s: float) -> None:
        """Sends requests at a rate."""
        end_s = self._record.now_s() + for_s
        credit = {host.name: 0.0 for host in self._hosts}
        while self._record.now_s() < end_s:
            ready = [host for host in self._hosts if host.runs and host.name in self.ready]
            total = sum(self.shares.get(host.name, 1.0) for host in ready)
            for host in ready:
                credit[host.name] += self.shares.get(host.name, 1.0) / total
            if ready:
                host = max(ready, key=lambda known: credit[known.name])
                credit[host.name] -= 1.0
                self.sent += 1
                task = asyncio.create_task(self._send(host, f"{self.sent:016x}"))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1.0 / per_s)

    async def watch_ready(self) -> None:
        """Asks for readiness once a second, as the platform does."""
        while True:
            answers = await asyncio.gather(*(host.is_ready(self._session) for host in self._hosts))
            self.ready = {
                host.name for host, ready in zip(self._hosts, answers, strict=True) if ready
            }
            await asyncio.sleep(1.0)

    async def _send(self, host: Host, request_id: str) -> None:
        prompt, output = self._rng.randint(4000, 6000), 67
        headers = {
            "Host": "ficu95.example",
            "X-Request-Id": request_id,
            "X-Model": "m",
            "X-Token-Counts": f"{prompt},{output}",
            "X-Prompt-Prefix": f"{request_id}:{prompt}",
            "X-Length-Hint": "60",
            "X-Deadline-Ms": str(DEADLINE_MS),
            "Connection": "close",
        }
        try:
            async with self._session.post(
                f"http://{host.front}/lohu930/2f",
                headers=headers,
                data=b"x" * 5000,
                timeout=aiohttp.ClientTimeout(total=DEADLINE_MS / 1000.0),
            ) as response:
                await response.read()
                status = str(response.status)
                self.served += response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            status = repr(error)
        self._record.note(f"request {request_id} to {host.name}: {status}")


def configuration(*, resumable: bool = True) -> dict[str, object]:
    """Returns a configuration with the values that ``fleetbench wire`` shows.

    Args:
        resumable: whether streams of its route may be resumed.
    """
    engine = {
        "Slots": 64,
        "KvTokenCapacity": Worker.capacity_tokens,
        "KvTokenBytes": 18432,
        "LinkMbps": 240000.0,
        "Stride": 11,
        "most": 12,
        "KvHoldS": Worker.handle_s,
        "SwitchS": Worker.switch_s,
        "PinMs": 4000.0,
        "HoldMs": 2000.0,
        "Models": [{"Name": "m"}],
    }
    route = {
        "Name": "r-2b9wu3f",
        "Host": "ficu95.example",
        "PathPrefix": "/lohu930/",
        "Kind": "streaming",
        "TimeoutMs": 14000,
        "TargetLatencyMs": 900,
        "Priority": 1,
        "Service": SERVICE,
        "MaxAttempts": 2 if resumable else 1,
        "Sticky": True,
        "Resumable": resumable,
        "GapTargetMs": 300,
    }
    service = {
        "Name": SERVICE,
        "HealthPath": "/health",
        "MaxConns": 360,
        "Protocol": "h1",
        "Tls": False,
        "Engine": engine,
    }
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    return {"Version": 7, "Routes": [route], "Services": [service], "Limits": limits}


class Engines:
    """The engines of the service.

    Attributes:
        workers: all of them, in the order of their start.

    Args:
        sites: gets their servers.
        record: gets their events.
        store: gets their entries.
    """

    def __init__(self, sites: Sites, record: Record, store: Store) -> None:
        self._sites, self._record, self._store = sites, record, store
        self._by_address: dict[str, Worker] = {}
        self.workers: list[Worker] = []

    async def start(self, zone: str, stage: str) -> None:
        """Starts an engine and publishes it."""
        worker = Worker(self._record, self._store, self._by_address, SERVICE, zone, stage, slots=64)
        worker.address = await self._sites.serve(worker.application())
        self._by_address[worker.address] = worker
        worker.publish()
        self.workers.append(worker)

    def leave(self) -> None:
        """Lets the decode engine that has started last leave, as planned."""
        deciding = [
            worker
            for worker in self.workers
            if worker.stage == "decode" and worker.state == "ready"
        ]
        deciding[-1].leave()


def judge_orders(
    record: Record, workers: list[Worker], running_since_s: dict[str, float], served: int
) -> int:
    """Checks ONE: no two holders in touch order one worker within ``LeaseMs``.

    Where workers check fences, orders count only among holders in touch.

    Args:
        record: gets the result.
        workers: the workers with the orders that arrived.
        running_since_s: since when each holder has run without disruption.
        served: number of requests served.

    Returns:
        The exit status: 1 if the rule was broken, 0 if it held, 2 if nothing was ordered or served.
    """
    orders = [order for worker in workers for order in worker.orders]
    record.note(f"{len(orders)} orders by {sorted({order[1] for order in orders})}")
    broken = 0
    for worker in workers:
        for before, after in zip(worker.orders, worker.orders[1:], strict=False):
            in_touch = all(
                at_s - running_since_s[holder] >= STABLE_S for at_s, holder, _, _ in (before, after)
            )
            if before[1] != after[1] and in_touch and after[0] - before[0] < LEASE_S:
                broken += 1
                record.note(
                    f"ONE is broken: {before[1]} ordered {worker.id} at {before[0]:.3f} s, and"
                    f" {after[1]} at {after[0]:.3f} s"
                )
    if not orders or not served:
        record.note("the case couldn't run: no order, or nothing was served")
        return 2
    record.note("ONE is broken" if broken else "ONE holds")
    return 1 if broken else 0
