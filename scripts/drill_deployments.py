"""Deployments in which drills cut links, restart engines or rotate keys and certificates."""

from __future__ import annotations

import asyncio
import json
import secrets
import signal
from pathlib import Path

import aiohttp
import trustme

from medlarvale.tls import client_context
from scripts.deployment import START_TIMEOUT_S, Deployment, DeploymentPlan, Node, post


class LinkedDeployment(Deployment):
    """A deployment whose entry hosts reach each other through links that can be cut."""

    async def set_links(self, mode: str) -> None:
        """Sets the mode of all links; see the link stand-in."""
        async with aiohttp.ClientSession() as session:
            for link in self.links:
                await post(session, f"{link.operators}/link", {"mode": mode})

    async def _spawn_standin(self, name: str, flags: list[str]) -> Node:
        if name == "platform":
            self.links = [await self._start_link(host) for host in self._hosts]
            self._write_hosts(Path(flags[flags.index("--hosts") + 1]))
        return await super()._spawn_standin(name, flags)

    def _write_hosts(self, file: Path) -> None:
        listed = {"entry_hosts": self._hosts, "backend_servers": self._servers}
        file.write_text(json.dumps(listed))

    async def _start_link(self, host: dict[str, str]) -> Node:
        target = host["peer_address"].removeprefix("tcp://")
        link = await super()._spawn_standin("link", ["link", "--target", target])
        link.operators = json.loads(await self._read_line(link))["address"]
        host["peer_address"] = f"tcp://{link.address.removeprefix('tcp://')}"
        return link

    async def stop(self) -> None:
        """Kills all processes, including the links."""
        for link in getattr(self, "links", []):
            link.signal(signal.SIGKILL)
            await link.process.wait()
        await super().stop()


class RestartingDeployment(Deployment):
    """A deployment whose engines can be restarted at their address after they ended."""

    async def restart_engine(self, name: str, flags: list[str]) -> None:
        """Starts a new incarnation of an engine.

        Args:
            flags: additional flags.
        """
        former = self.engines[name]
        address = former.address.removeprefix("http://")
        self.engines[name] = await self._spawn_standin(
            name, [*former.arguments[1:], "--listen", address, *flags]
        )


class TlsDeployment(Deployment):
    """A deployment whose peer key file and operators' certificate can be replaced.

    Args:
        folder: directory of the key and certificate files.
    """

    def __init__(self, plan: DeploymentPlan, log_file: Path, folder: Path) -> None:
        self.folder = folder
        self.ca_file = folder / "ca.pem"
        self.key_file = folder / "peer-keys"
        self._authority = trustme.CA()
        self._authority.cert_pem.write_to_path(self.ca_file)
        self.issue_certificate(with_key=True)
        self.key_file.write_text(f"first {secrets.token_hex(32)}\n")
        plan.serve_flags = ["--peer-key-file", str(self.key_file)]
        plan.serve_flags += ["--operators-cert-file", str(folder / "cert.pem")]
        plan.serve_flags += ["--operators-key-file", str(folder / "key.pem")]
        super().__init__(plan, log_file)

    def issue_certificate(self, *, with_key: bool) -> None:
        """Writes a new certificate, and its private key if ``with_key`` is set."""
        issued = self._authority.issue_cert(*(f"127.0.0.{10 + n}" for n in range(1, 9)))
        issued.cert_chain_pems[0].write_to_path(self.folder / "cert.pem")
        if with_key:
            issued.private_key_pem.write_to_path(self.folder / "key.pem")

    async def await_ready(self, node: Node) -> None:
        """Waits until an entry host reports over TLS that it is ready."""
        node.operators = node.operators.replace("http://", "https://")
        connector = aiohttp.TCPConnector(ssl=client_context(self.ca_file))
        new_session = aiohttp.ClientSession(connector=connector)
        async with asyncio.timeout(START_TIMEOUT_S), new_session as session:
            while True:
                async with session.get(f"{node.operators}/readyz") as response:
                    if response.status == 200:
                        return
                await asyncio.sleep(0.05)

    async def read_certificate(self, node: Node) -> bytes:
        """Returns the certificate that an entry host presents on a new connection."""
        ip, port = node.operators.removeprefix("https://").split(":")
        context = client_context(self.ca_file)
        _, writer = await asyncio.open_connection(ip, int(port), ssl=context)
        read_certificate: bytes = writer.get_extra_info("ssl_object").getpeercert(binary_form=True)
        writer.close()
        return read_certificate
