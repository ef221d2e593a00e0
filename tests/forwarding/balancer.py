"""Balancer of the users' platform with callers that make first tries through it."""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import socket
from collections import Counter, defaultdict
from collections.abc import Collection, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import aiohttp
from aiohttp.abc import AbstractResolver

from medlarvale.platform.standin import stream_body
from tests.forwarding.partitions import IP, FleetHost

CHECK_PERIOD_S = 1.0
MISSES_TO_LEAVE = 2
PATHS = ("/look/1", "/book/1", "/chat/1")
BODY = b"van"
DEADLINE_S = 3.0
# Callers of a failure domain that keep their connections.
KEPT_CLIENTS = 12
# Callers allow a new connection this time to be established.
CONNECT_S = 1.0
# Statuses that promise that the request has not run and never will.
PROMISES = (408, 421, 429, 503)


class Balancer:
    """Chooses a host for each new connection.

    Args:
        hosts: the hosts by name.
    """

    def __init__(self, hosts: Mapping[str, FleetHost]) -> None:
        self._hosts = hosts
        self._misses: Counter[str] = Counter()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts the readiness checks."""
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._check(name)) for name in self._hosts]

    async def close(self) -> None:
        """Ends the readiness checks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def note(self, name: str, ready: bool) -> None:
        """Notes the result of a readiness check."""
        self._misses[name] = 0 if ready else self._misses[name] + 1

    def in_rotation(self, name: str) -> bool:
        """Returns whether a host answers its readiness checks."""
        return self._misses[name] < MISSES_TO_LEAVE

    def choose(self, domain: str, client: str) -> str:
        """Returns the host for a new connection of a client in a failure domain."""
        domains = sorted({member.domain for member in self._hosts.values()})
        nearest = sorted(domains, key=lambda other: other != domain)
        for near in nearest:
            pool = self._pool(near)
            if pool:
                break
        else:
            pool = self._members(domain)
        digest = hashlib.sha256(client.encode()).digest()
        return pool[int.from_bytes(digest[:8]) % len(pool)]

    def _members(self, domain: str) -> list[str]:
        return [name for name, member in self._hosts.items() if member.domain == domain]

    def _pool(self, domain: str) -> list[str]:
        members = self._members(domain)
        rotated = [name for name in members if self.in_rotation(name)]
        return members if rotated and 2 * len(rotated) < len(members) else rotated

    async def _check(self, name: str) -> None:
        url = f"http://{IP}:{self._hosts[name].ready_port}/ready"
        timeout = aiohttp.ClientTimeout(total=CHECK_PERIOD_S)
        loop = asyncio.get_running_loop()
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                began_s, ready = loop.time(), False
                with suppress(aiohttp.ClientError, TimeoutError):
                    async with session.get(url) as response:
                        ready = response.status == 200
                self.note(name, ready)
                await asyncio.sleep(began_s + CHECK_PERIOD_S - loop.time())


class _Client(AbstractResolver):
    """Client of the balancer with one connection at a time.

    Resolving the name for each new connection applies the balancer's choice at the right moment: a
    kept connection stays with its host.
    """

    def __init__(
        self,
        balancer: Balancer,
        hosts: Mapping[str, FleetHost],
        domain: str,
        name: str,
        kept: bool,
    ) -> None:
        self._balancer, self._hosts, self._domain = balancer, hosts, domain
        self._name = name
        self.host = ""
        connector = aiohttp.TCPConnector(
            resolver=self, use_dns_cache=False, limit=1, force_close=not kept
        )
        timeout = aiohttp.ClientTimeout(total=DEADLINE_S, sock_connect=CONNECT_S)
        self.session = aiohttp.ClientSession(connector=connector, timeout=timeout)

    async def resolve(self, host: str, port: int = 0, family: Any = socket.AF_INET) -> Any:
        """Returns the address of the host that the balancer chooses."""
        self.host = self._balancer.choose(self._domain, self._name)
        return [
            {
                "hostname": host,
                "host": IP,
                "port": self._hosts[self.host].caller_port,
                "family": socket.AF_INET,
                "proto": 0,
                "flags": socket.AI_NUMERICHOST,
            }
        ]

    async def close(self) -> None:
        """Nothing to close."""


@dataclass(frozen=True)
class FirstTry:
    """A first try and its end.

    Attributes:
        request_id: id of the request.
        path: path of the request.
        host: name of the host that got the connection.
        at_s: when it began, on the clock of the loop.
        ended_s: when it ended.
        status: status of the answer; 0 for none.
        served: whether the whole answer of a server came.
        mixed: whether a complete success differs from what a server answers to this request.
        error: what ended it early.
    """

    request_id: str
    path: str
    host: str
    at_s: float
    ended_s: float
    status: int
    served: bool
    mixed: bool
    error: str


@dataclass
class Callers:
    """Callers in all failure domains, half of which keep their connections.

    They make no second tries.

    Attributes:
        balancer: chooses the hosts.
        hosts: the hosts by name.
        tries: the first tries that have ended.
    """

    balancer: Balancer
    hosts: Mapping[str, FleetHost]
    tries: list[FirstTry] = field(default_factory=list)
    _idle: dict[str, list[_Client]] = field(default_factory=lambda: defaultdict(list))
    _kept: Counter[str] = field(default_factory=Counter)
    _numbers: itertools.count[int] = field(default_factory=itertools.count)

    async def send(self, rate_per_s: float, for_s: float) -> None:
        """Makes first tries at a constant rate and waits for their ends."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        async with asyncio.TaskGroup() as tries:
            for number in range(int(rate_per_s * for_s)):
                await asyncio.sleep(began_s + number / rate_per_s - loop.time())
                tries.create_task(self._try(next(self._numbers)))

    async def close(self) -> None:
        """Closes the kept connections."""
        for client in itertools.chain.from_iterable(self._idle.values()):
            await client.session.close()

    async def _try(self, number: int) -> None:
        domains = sorted({member.domain for member in self.hosts.values()})
        domain = domains[number % len(domains)]
        rest = number // len(domains)
        kept, path = rest % 2 == 0, PATHS[rest // 2 % len(PATHS)]
        idle = self._idle[domain]
        if kept and idle and self._kept[domain] >= KEPT_CLIENTS:
            # The client that has been idle for the longest time.
            client = idle.pop(0)
        else:
            client = _Client(self.balancer, self.hosts, domain, f"client-{number}", kept)
            self._kept[domain] += kept
        self.tries.append(await self._send(client, path, f"q{number}"))
        if kept:
            idle.append(client)
        else:
            await client.session.close()

    async def _send(self, client: _Client, path: str, request_id: str) -> FirstTry:
        loop = asyncio.get_running_loop()
        at_s = loop.time()
        headers = {
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "X-Token-Counts": "100,20",
        }
        expected = stream_body(request_id) if path == "/chat/1" else b"ok:" + BODY
        status, served, mixed, error = 0, False, False, ""
        try:
            async with client.session.post(
                f"http://callers.example{path}", headers=headers, data=BODY
            ) as response:
                status = response.status
                whole = await response.read() == expected
                signed = "X-Response-Signature" in response.headers
                served = status == 200 and signed and whole
                mixed = status == 200 and not whole
        except (aiohttp.ClientError, TimeoutError) as failure:
            error = repr(failure)
        return FirstTry(
            request_id, path, client.host, at_s, loop.time(), status, served, mixed, error
        )


@dataclass(frozen=True)
class Tally:
    """Number of first tries, and of those that were served."""

    served: int
    tried: int

    @property
    def share(self) -> float:
        """Share of the tries that were served."""
        return self.served / self.tried if self.tried else 1.0

    def __str__(self) -> str:
        return f"{self.served} of {self.tried}"


def tally(tries: Collection[FirstTry]) -> Tally:
    """Counts first tries."""
    return Tally(sum(first.served for first in tries), len(tries))
