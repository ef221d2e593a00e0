"""Runs a whole deployment on loopback: each stand-in and entry host is a separate process."""

from __future__ import annotations

import asyncio
import json
import os
import secrets
import signal
import sys
import tempfile
import weakref
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import msgspec

from medlarvale.settings.parsing import parse_text
from medlarvale.settings.schema import PoolRole, SettingsTree
from scripts.held_ports import HeldPort

REPOSITORY = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 120.0
PROGRAM = (sys.executable, "-m", "medlarvale")


class StartFailedError(Exception):
    """A process ended before it became ready."""


@dataclass
class Node:
    """One running process.

    Attributes:
        arguments: command line without the program, used again for a restart.
        address: base URL of its interface; for entry hosts, of the callers' interface.
        operators: base URL of the operators' interface of an entry host.
    """

    name: str
    arguments: list[str]
    process: asyncio.subprocess.Process
    address: str = ""
    operators: str = ""

    @property
    def alive(self) -> bool:
        """Whether the process is still running."""
        return self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to this process only."""
        if self.alive:
            self.process.send_signal(number)

    async def wait(self) -> int:
        """Waits until the process ends and returns its exit status."""
        return await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_S)


@dataclass
class DeploymentPlan:
    """Processes to start and their settings.

    Attributes:
        tree_file: settings tree; one entry host is started in each failure domain.
        extra_entry_hosts: number of additional entry hosts, placed in the first failure domains.
        engine_flags: additional flags of all stand-in engines.
        plain_flags: additional flags of all stand-in plain servers.
        serve_flags: additional flags of all entry hosts.
        program: command that starts medlarvale.
        linked_host: whether the first entry host and its peers reach each other through link
            stand-ins, which ``set_links`` controls. That host gets a platform stand-in of its own,
            whose host list contains the addresses of the links.
    """

    tree_file: Path
    extra_entry_hosts: int = 0
    engine_flags: list[str] = field(default_factory=list)
    plain_flags: list[str] = field(default_factory=list)
    serve_flags: list[str] = field(default_factory=list)
    program: tuple[str, ...] = PROGRAM
    linked_host: bool = False


class Deployment:
    """The processes of one deployment.

    Args:
        plan: processes to start.
        log_file: file to which all processes write their standard error.
    """

    def __init__(self, plan: DeploymentPlan, log_file: Path) -> None:
        self._plan = plan
        self._log = log_file.open("ab")
        self._folder = tempfile.TemporaryDirectory()
        text = parse_text(plan.tree_file.read_bytes())
        self.tree = SettingsTree.model_validate_json(json.dumps(text.value))
        self.platform: Node | None = None
        self.links: list[Node] = []
        self._linked_platform: Node | None = None
        self.engines: dict[str, Node] = {}
        self.plain: dict[str, Node] = {}
        self.entry_hosts: dict[str, Node] = {}
        self._servers: list[dict[str, str]] = []
        self._hosts: list[dict[str, str]] = []
        self.operator_token = secrets.token_hex(16)

    async def start(self) -> None:
        """Starts all processes and returns when all entry hosts are ready.

        Raises:
            StartFailedError: if a process does not become ready.
        """
        self._write_secrets()
        await self._start_backend_servers()
        self._plan_entry_hosts()
        if self._plan.linked_host:
            await self._link_first_host()
        self.platform = await self._start_platform("platform", self._hosts)
        await asyncio.gather(*(self.start_entry_host(host["host"]) for host in self._hosts))
        await asyncio.gather(*(self.await_ready(node) for node in self.entry_hosts.values()))

    async def _start_platform(self, name: str, hosts: list[dict[str, str]]) -> Node:
        hosts_file = Path(self._folder.name) / f"{name}.json"
        listed = {"entry_hosts": hosts, "backend_servers": self._servers}
        hosts_file.write_text(json.dumps(listed))
        tree = str(self._plan.tree_file)
        return await self._spawn_standin(
            name, ["platform", "--tree", tree, "--hosts", str(hosts_file)]
        )

    async def _link_first_host(self) -> None:
        first, *others = self._hosts
        seen_by_first = [first] + [
            dict(host, peer_address=await self._start_link(host)) for host in others
        ]
        self._linked_platform = await self._start_platform("linked-platform", seen_by_first)
        self._hosts[0] = dict(first, peer_address=await self._start_link(first))

    async def _start_link(self, host: dict[str, str]) -> str:
        """Starts a link to a host's peer port and returns the peer address of the link."""
        name = f"link-{host['host']}"
        target = host["peer_address"].removeprefix("tcp://")
        link = await self._spawn_standin(name, ["link", "--server", name, "--target", target])
        relay = link.address
        link.address = json.loads(await self._read_line(link))["address"]
        self.links.append(link)
        return f"tcp://{relay}"

    async def set_links(self, mode: str) -> None:
        """Sets the mode of all links between the first entry host and its peers.

        Args:
            mode: ``pass``, ``hold``, ``drop`` or ``close``; see the link stand-in.
        """
        async with aiohttp.ClientSession() as session:
            for link in self.links:
                await post(session, f"{link.address}/link", {"mode": mode})

    def _write_secrets(self) -> None:
        folder = Path(self._folder.name)
        (folder / "peer-keys").write_text(f"first {secrets.token_hex(32)}\n")
        (folder / "operator-token").write_text(self.operator_token + "\n")

    async def _start_backend_servers(self) -> None:
        starts = []
        for region in self.tree.regions.values():
            for domain, branch in region.failure_domains.items():
                for service, service_branch in branch.services.items():
                    for pool, pool_branch in service_branch.pools.items():
                        for number in range(pool_branch.workers or 0):
                            starts.append(self._start_server(domain, service, pool, number))
        await asyncio.gather(*starts)
        self._servers.sort(key=lambda server: server["server"])

    async def _start_server(self, domain: str, service: str, pool: str, number: int) -> None:
        declaration = self.tree.services[service]
        role = declaration.pools[pool].role
        name = f"{service}-{pool}-{domain}-{number}"
        if role is PoolRole.PLAIN:
            flags = ["plain", "--server", name, "--service", service, *self._plan.plain_flags]
            node = await self._spawn_standin(name, flags)
            self.plain[name] = node
        else:
            flags = ["engine", "--server", name, "--service", service, "--role", role.value]
            flags += ["--model", declaration.model or service, *self._plan.engine_flags]
            node = await self._spawn_standin(name, flags)
            self.engines[name] = node
        self._servers.append(
            {
                "server": name,
                "address": node.address,
                "service": service,
                "pool": pool,
                "role": role.value,
                "failure_domain": domain,
                "state": "live",
            }
        )

    def _plan_entry_hosts(self) -> None:
        locations = [
            (region, domain)
            for region, branch in self.tree.regions.items()
            for domain in branch.failure_domains
        ]
        locations += locations[: self._plan.extra_entry_hosts]
        self._arguments: dict[str, list[str]] = {}
        for number, (region, domain) in enumerate(locations, start=1):
            ip = f"127.0.0.{10 + number}"
            name = f"entry-{domain}-{number}"
            ports = {kind: HeldPort(ip) for kind in ("caller", "peer", "operators")}
            # Held between starts too.
            for port in ports.values():
                weakref.finalize(self, port.release)
            self._hosts.append(
                {
                    "host": name,
                    "peer_address": f"tcp://{ports['peer'].address}",
                    "failure_domain": domain,
                    "state": "live",
                }
            )
            arguments = ["serve", "--host", name, "--region", region, "--failure-domain", domain]
            for kind, port in ports.items():
                arguments += [f"--listen-{kind}", port.address]
            folder = Path(self._folder.name)
            arguments += ["--peer-key-file", str(folder / "peer-keys")]
            arguments += ["--operator-token-file", str(folder / "operator-token")]
            self._arguments[name] = [*arguments, *self._plan.serve_flags]

    async def start_entry_host(self, name: str) -> Node:
        """Starts an entry host, or a new incarnation of one that has ended."""
        assert self.platform is not None
        platform = self.platform
        if self._linked_platform is not None and name == self._hosts[0]["host"]:
            platform = self._linked_platform
        arguments = [*self._arguments[name], "--platform-url", platform.address]
        process = await self._spawn(arguments)
        flags = dict(zip(arguments[1::2], arguments[2::2], strict=False))
        node = Node(name, arguments, process)
        node.address = f"http://{flags['--listen-caller']}"
        node.operators = f"http://{flags['--listen-operators']}"
        await self._read_line(node)
        self.entry_hosts[name] = node
        return node

    async def await_ready(self, node: Node) -> None:
        """Waits until an entry host reports that it is ready for callers.

        Raises:
            StartFailedError: if the process ends first.
        """
        async with asyncio.timeout(START_TIMEOUT_S), aiohttp.ClientSession() as session:
            while node.alive:
                try:
                    async with session.get(f"{node.operators}/readyz") as response:
                        if response.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.05)
        raise StartFailedError(f"{node.name} ended before it was ready")

    async def publish(self, message: Mapping[str, object]) -> None:
        """Sends a control message to the platform stand-in."""
        assert self.platform is not None
        async with aiohttp.ClientSession() as session:
            await post(session, f"{self.platform.address}/control", message)

    async def publish_hosts(self, leaving: Collection[str]) -> None:
        """Publishes a new host list in which the given backend servers are leaving."""
        servers = [
            dict(server, state="leaving" if server["server"] in leaving else "live")
            for server in self._servers
        ]
        await self.publish(
            {"kind": "publish_hosts", "entry_hosts": self._hosts, "backend_servers": servers}
        )

    async def stop(self) -> None:
        """Kills all processes, entry hosts first."""
        nodes = [*self.entry_hosts.values(), *self.engines.values(), *self.plain.values()]
        platforms = [node for node in (self.platform, self._linked_platform) if node is not None]
        nodes += [*self.links, *platforms]
        for node in nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
        await asyncio.gather(*(node.process.wait() for node in nodes))
        self._folder.cleanup()
        self._log.close()

    async def _spawn_standin(self, name: str, flags: list[str]) -> Node:
        arguments = ["standin", *flags]
        node = Node(name, arguments, await self._spawn(arguments))
        line = await self._read_line(node)
        node.address = json.loads(line)["address"]
        return node

    async def _spawn(self, arguments: list[str]) -> asyncio.subprocess.Process:
        environment = dict(os.environ, PYTHONPATH=str(REPOSITORY / "src"))
        return await asyncio.create_subprocess_exec(
            *self._plan.program,
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=self._log,
            env=environment,
        )

    async def _read_line(self, node: Node) -> str:
        assert node.process.stdout is not None
        line = await asyncio.wait_for(node.process.stdout.readline(), START_TIMEOUT_S)
        if not line:
            raise StartFailedError(f"{node.name} ended before it was ready")
        return line.decode()


async def post(session: aiohttp.ClientSession, url: str, body: Mapping[str, object]) -> object:
    """Posts a JSON body and returns the decoded JSON answer, None if it is empty.

    Raises:
        aiohttp.ClientResponseError: if the status is 400 or higher.
    """
    async with session.post(url, json=dict(body)) as response:
        text = await response.read()
        response.raise_for_status()
        return msgspec.json.decode(text) if text else None
