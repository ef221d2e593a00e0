"""Hosts, store and servers of a run, and the faults that happen to them."""

from __future__ import annotations

import asyncio
import math
import random
import signal
import time
from collections import Counter
from collections.abc import AsyncIterator, Collection, Iterator
from contextlib import AsyncExitStack, asynccontextmanager, contextmanager
from pathlib import Path

import aiohttp
import msgspec

from medlarvale.ids import HostId, SoftwareVersion
from medlarvale.platform.standin import Arrival, StandinServer
from scripts.forward_hosts import ForwardHost, OwnEnd
from soak.host_links import HostLinks
from soak.network import Network, RelayedPlatform, Way, draw_state
from soak.plan import (
    EVENT_COUNT,
    EVENT_INTERVAL_S,
    Fault,
    Release,
    Trouble,
    draw_domains,
    draw_framings,
    draw_group,
)
from soak.records import Case, Disruption, Route, Span
from soak.reloads import ADDED_KIND, Reloads
from soak.server_faults import ServerFaults
from soak.store_links import StoreLinks

SLOTS = 16
ROUTE_TIMEOUT_MS = 15_000
ROUTES = {
    Route.CHAT.value: "streaming llm",
    Route.LOOK.value: "safe app",
    Route.BOOK.value: "unsafe app",
}
SERVICES = {
    Route(name): text.split()[1]
    for name, text in (ROUTES | {Route.ADDED.value: ADDED_KIND}).items()
}
# Servers of a version, by service and stage.
SERVERS = (("llm", "decode"), ("llm", "decode"), ("llm", "prefill"), ("app", None))
# Durations of calls in s.
CALL_S = (0.02, 0.6)
# Longest time until a host has ended: a standstill, the grace period of 4 s and a busy machine.
MAX_STOP_S = 15.0
# Time for the end of a process that is aborted; one that stands still takes no signal.
ABORT_S = 3.0
# Hosts that the faults leave in place.
MIN_RUNNING = 2
# Where all hosts are killed at once, callers wait longer by this, until some have started again.
HERD_WAITS = 4.0
# Kinds of trouble by what they happen to.
OF_LINKS = (Trouble.CALLER_LINK, Trouble.SERVER_LINK)
OF_SETTINGS = (Trouble.SETTINGS, Trouble.CONFIGURATION)
OF_SERVERS = (
    Trouble.SERVER_CRASH,
    Trouble.SERVER_KILL,
    Trouble.SERVER_SILENCE,
    Trouble.SERVER_LEAVING,
    Trouble.SERVER_BUSY,
)
# Those that need a link to each server.
OF_SERVER_LINKS = frozenset((Trouble.SERVER_LINK, Trouble.SERVER_CRASH, Trouble.SERVER_SILENCE))


class Fleet:
    """Hosts before the stand-in of the platform.

    Args:
        seed: seed of the run.
        folder: directory of settings files and logs.
        sources: directory of the packages that each host runs.
        troubles: kinds of trouble in the run.

    Attributes:
        disruptions: what has happened to hosts and store.
        planned_stops: number of stops with notice.
        late_stops: those that took too long.
        spells: when engines took new streams, by the name of the engine.
        reloads: changes of settings files and configurations.
        server_faults: faults of servers.
        waits: by how much callers wait longer than usual before an attempt.
    """

    def __init__(
        self, seed: int, folder: Path, sources: list[Path], troubles: Collection[Trouble]
    ) -> None:
        self.platform = RelayedPlatform()
        self.platform.servers.clear()
        self.platform.timeout_ms = ROUTE_TIMEOUT_MS
        self._domains = draw_domains(seed, len(sources))
        self.hosts = [
            ForwardHost(f"a{number}", folder, keep_log=True, domain=domain)
            for number, domain in enumerate(self._domains, start=1)
        ]
        for host, source in zip(self.hosts, sources, strict=True):
            host.source = source
        self._links = StoreLinks(seed, self._processes)
        self._draws = random.Random(f"{seed} servers")
        self._framings = draw_framings(seed)
        self._server_domains = random.Random(f"{seed} server domains")
        self._all_servers: list[StandinServer] = []
        self._started_s = time.monotonic()
        self.disruptions: list[Disruption] = []
        self._ending: list[ForwardHost] = []
        self.planned_stops = 0
        self.late_stops: list[Case] = []
        self.spells: dict[str, Span] = {}
        self._versions = 0
        self._names = 0
        self._fronts: dict[str, str] = {}
        self._troubles = frozenset(troubles)
        self.waits = HERD_WAITS if Trouble.HERD_KILL in self._troubles else 1.0
        self._network = Network(self._processes)
        self.reloads = Reloads(self.platform, self.hosts, ROUTES, self.now_s)
        self.server_faults = ServerFaults(
            self.platform,
            self._network,
            self._add_like,
            lambda server, trouble: self._disrupted(None, trouble.value, server),
            self.now_s,
        )
        self._host_links = HostLinks(self._network, self.hosts, self._domains, self._disrupted)
        self._harms = {
            Trouble.HOST_LINK: self._host_links.harm,
            **dict.fromkeys(OF_LINKS, self._disturb_link),
            **dict.fromkeys(OF_SERVERS, self.server_faults.harm),
            **dict.fromkeys(OF_SETTINGS, self.reloads.harm),
            Trouble.GROUP_KILL: self._kill_group,
            Trouble.HERD_KILL: self._kill_herd,
            Trouble.SERVER_HEARTBEATS: self.server_faults.miss_heartbeats,
        }

    @asynccontextmanager
    async def running(self) -> AsyncIterator[Fleet]:
        """Starts servers and hosts, and stops them in the end."""
        async with AsyncExitStack() as stack:
            await self.platform.start(self._links.disturb)
            stack.push_async_callback(self.platform.close)
            stack.push_async_callback(self._network.close)
            if self._troubles & OF_SERVER_LINKS:
                self.platform.network = self._network
            await self.platform.configure(1, **ROUTES)
            await self._add_version(SERVERS + SERVERS)
            if Trouble.HOST_LINK in self._troubles:
                await self._host_links.open()
            seeds = [host.peer_address for host in self.hosts]
            for host in self.hosts:
                host.write_settings(self.platform.address, seeds)
            stack.push_async_callback(self._stop)
            await asyncio.gather(*(host.start() for host in self.hosts))
            async with aiohttp.ClientSession() as session:
                await asyncio.gather(*(host.wait_until_ready(session) for host in self.hosts))
            if Trouble.CALLER_LINK in self._troubles:
                for host in self.hosts:
                    self._fronts[host.name] = await self._network.open_caller_link(
                        HostId(host.name), host.front
                    )
            self._started_s = time.monotonic()
            yield self

    async def _stop(self) -> None:
        for host in self.hosts:
            host.send_signal(signal.SIGCONT)
        await asyncio.gather(*(self._stop_planned(host) for host in self.hosts))

    async def _stop_planned(self, host: ForwardHost) -> None:
        self.planned_stops += 1
        told_s = self.now_s()
        try:
            async with asyncio.timeout(MAX_STOP_S):
                await host.stop(signal.SIGTERM)
        except TimeoutError:
            late_s = self.now_s()
            text = f"{host.name}, told at {told_s:.2f} s of the run, still ran at {late_s:.2f} s"
            self.late_stops.append(Case(text, HostId(host.name), late_s))
            await self._abort(host)

    async def _abort(self, host: ForwardHost) -> None:
        """Ends a process, whose log then shows the stacks of its threads."""
        try:
            async with asyncio.timeout(ABORT_S):
                await host.stop(signal.SIGABRT)
        except TimeoutError:
            await host.stop(signal.SIGKILL)

    async def _add_version(self, servers: tuple[tuple[str, str | None], ...]) -> None:
        self._versions += 1
        for service, stage in servers:
            await self._add_server(service, stage, f"v{self._versions}")

    async def _add_server(self, service: str, stage: str | None, software: str) -> None:
        self._names += 1
        name, domain = f"{service}{self._names}", self._server_domains.choice(self._domains)
        server = StandinServer(name, service, stage, domain, software)
        server.delay_s = EVENT_INTERVAL_S if stage else self._draws.uniform(*CALL_S)
        server.event_count, server.slots = EVENT_COUNT, SLOTS
        server.framing = next(self._framings)
        self._all_servers.append(server)
        await self.platform.add(server)
        if stage == "decode":
            self.spells[server.name] = Span(software, "serves", self.now_s())

    async def _add_like(self, server: StandinServer) -> None:
        await self._add_server(server.service, server.stage, server.software)

    async def release(self, release: Release) -> None:
        """Adds servers of a new version; half of the others drain and leave."""
        older = [server for server in self.platform.servers.values() if server.state == "ready"]
        await self._add_version(SERVERS)
        leaving = random.Random(release.choice).sample(older, len(older) // 2)
        # Some may have left by themselves meanwhile.
        for server in leaving:
            if server.name in self.platform.servers:
                await self.platform.drain(server.name)
            if server.name in self.spells:
                self.spells[server.name].to_s = self.now_s()
        await asyncio.sleep(release.leaving_s)
        for server in leaving:
            if server.name in self.platform.servers:
                await self.platform.remove(server.name)

    def serving(self, software: SoftwareVersion) -> bool:
        """Returns whether an engine of a version takes new streams."""
        return any(
            (server.software, server.stage) == (software, "decode")
            and self.server_faults.sound(server)
            for server in self.platform.servers.values()
        )

    def choose_host(self, draw: float) -> ForwardHost:
        """Returns a host that runs, by a draw from 0 to 1; any host if none runs."""
        running = [host for host in self.hosts if host.running] or self.hosts
        return running[math.floor(draw * len(running))]

    def front(self, host: ForwardHost) -> str:
        """Returns the address at which callers reach a host."""
        return self._fronts.get(host.name, host.front)

    async def harm(self, fault: Fault) -> None:
        """Lets a fault happen, unless too few hosts would run."""
        if fault.trouble in self._harms:
            await self._harms[fault.trouble](fault)
        else:
            await self._harm_host(fault)

    async def _harm_host(self, fault: Fault, *, min_running: int = MIN_RUNNING) -> None:
        host = self.hosts[fault.host]
        of_store = fault.trouble in (Trouble.LATE_STORE, Trouble.CUT_STORE, Trouble.STORE_DOWN)
        ends = fault.trouble in (Trouble.KILL, Trouble.STOP)
        if not of_store and not host.running:
            return
        if ends and (host in self._ending or self._others_running(host) < min_running):
            return
        disruption = Disruption(
            None if fault.trouble is Trouble.STORE_DOWN else HostId(host.name),
            fault.trouble is Trouble.STOP,
            self.now_s(),
            halts=ends or fault.trouble is Trouble.STANDSTILL,
            kind=fault.trouble.value,
        )
        self.disruptions.append(disruption)
        if fault.trouble in (Trouble.LATE_STORE, Trouble.CUT_STORE):
            late = fault.trouble is Trouble.LATE_STORE
            disturb = self._links.delay if late else self._links.cut
            disturb(HostId(host.name), fault.lasts_s)
            await asyncio.sleep(fault.lasts_s)
        elif fault.trouble is Trouble.STORE_DOWN:
            await self.platform.store.set_down(True)
            await asyncio.sleep(fault.lasts_s)
            await self.platform.store.set_down(False)
        elif fault.trouble is Trouble.STANDSTILL:
            host.send_signal(signal.SIGSTOP)
            await asyncio.sleep(fault.lasts_s)
            host.send_signal(signal.SIGCONT)
        else:
            await self._end_and_start(host, fault)
        disruption.to_s = self.now_s()

    async def _kill_group(self, fault: Fault) -> None:
        """Kills hosts at once, as far as enough others run."""
        kills = (
            msgspec.structs.replace(fault, trouble=Trouble.KILL, host=host)
            for host in draw_group(fault, self._domains)
        )
        await asyncio.gather(*map(self._harm_host, kills))

    async def _kill_herd(self, fault: Fault) -> None:
        """Kills all hosts at once, so that none is left that knows the streams."""
        kills = (
            msgspec.structs.replace(fault, trouble=Trouble.KILL, host=host)
            for host in range(len(self.hosts))
        )
        await asyncio.gather(*(self._harm_host(kill, min_running=0) for kill in kills))

    async def _disturb_link(self, fault: Fault) -> None:
        host = HostId(self.hosts[fault.host].name)
        to_callers = fault.trouble is Trouble.CALLER_LINK

        def affects(way: Way) -> bool:
            return way.host == host and way.peer is None and (way.server is None) == to_callers

        state = draw_state(random.Random(fault.choice))
        with self._disrupted(host, "link fault"):
            async with self._network.disturbed(affects, state):
                await asyncio.sleep(fault.lasts_s)

    @contextmanager
    def _disrupted(
        self, host: HostId | None, kind: str, server: str | None = None
    ) -> Iterator[None]:
        disruption = Disruption(host, False, self.now_s(), kind=kind, server=server)
        self.disruptions.append(disruption)
        yield
        disruption.to_s = self.now_s()

    def _others_running(self, host: ForwardHost) -> int:
        staying = [other for other in self.hosts if other.running and other not in self._ending]
        return len(staying) - (host in staying)

    async def _end_and_start(self, host: ForwardHost, fault: Fault) -> None:
        self._ending.append(host)
        if fault.trouble is Trouble.KILL:
            await host.stop(signal.SIGKILL)
        else:
            await self._stop_planned(host)
        await asyncio.sleep(fault.lasts_s)
        await host.start()
        self._ending.remove(host)

    def _processes(self) -> list[tuple[HostId, int]]:
        return [
            (HostId(host.name), host.process_id)
            for host in self.hosts
            if host.process_id is not None
        ]

    def now_s(self) -> float:
        """Returns the time since the start of the run."""
        return time.monotonic() - self._started_s

    def runs(self) -> Counter[str]:
        """Returns how many times each request ran, at servers that have left too."""
        return Counter(run for server in self._all_servers for run in server.runs)

    def arrivals(self) -> list[Arrival]:
        """Returns what reached servers, also those that have left; times since the start."""
        return [
            msgspec.structs.replace(
                arrival,
                at_s=arrival.at_s - self._started_s,
                ended_s=arrival.ended_s - self._started_s,
            )
            for server in self._all_servers
            for arrival in server.arrivals
        ]

    def own_ends(self) -> dict[HostId, list[OwnEnd]]:
        """Returns the ends of the processes that ended by themselves, by host."""
        return {HostId(host.name): host.own_ends for host in self.hosts}
