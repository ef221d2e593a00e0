"""The ``status`` subcommand."""

from __future__ import annotations

import argparse
import asyncio
import sys
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

from medlarvale.bookings.keys import SHARD_COUNT
from medlarvale.flags import add_flag
from medlarvale.operators.accounting import Dimension, Figures, Window
from medlarvale.operators.fleet import FleetStatus
from medlarvale.operators.status import NodeStatus, PoolStatus
from medlarvale.tls import TlsFilesError, client_context

REQUEST_TIMEOUT_S = 5.0
# Share of requests within targets below which a service is reported; the wall page marks it as bad.
LOW_SHARE = 0.85
CAUSES_SHOWN = 3


def add_commands(subparsers: Any) -> None:
    """Adds ``medlarvale status`` to the command line."""
    parser = subparsers.add_parser("status", help="print the status of a node or of all nodes")
    add_flag(parser, "--address", help_text="URL of the operators' port of a node")
    add_flag(parser, "--token-file", help_text="file with the operators' token")
    add_flag(parser, "--ca-file", help_text="certificates trusted for https:// (PEM)", default="")
    parser.add_argument("--json", action="store_true", help="print the answer as JSON")
    parser.add_argument("--fleet", action="store_true", help="query all nodes")
    parser.set_defaults(run=run_status)


def run_status(options: argparse.Namespace) -> int:
    """Prints the status; returns 1 if it can't be read or a node can't be reached."""
    try:
        token = Path(options.token_file).read_text().strip()
        body = asyncio.run(fetch_status(options.address, token, options.fleet, options.ca_file))
        if options.json:
            print(body.decode())
            return 0
        if not options.fleet:
            print("\n".join(describe_node(msgspec.json.decode(body, type=NodeStatus))))
            return 0
        fleet = msgspec.json.decode(body, type=FleetStatus)
    except (
        OSError,
        TimeoutError,
        aiohttp.ClientError,
        msgspec.MsgspecError,
        TlsFilesError,
    ) as error:
        print(f"medlarvale status: {error}", file=sys.stderr)
        return 1
    print("\n".join(describe_fleet(fleet)))
    return 1 if fleet.unreachable else 0


async def fetch_status(address: str, token: str, fleet: bool, ca_file: str = "") -> bytes:
    """Returns the body of ``/status``.

    Raises:
        aiohttp.ClientError: the node can't be reached or refuses the token.
        TlsFilesError: ``ca_file`` can't be used.
    """
    connector = aiohttp.TCPConnector(ssl=client_context(Path(ca_file)) if ca_file else True)
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    headers = {"Authorization": f"Bearer {token}"}
    url = address.rstrip("/") + ("/status?fleet=1" if fleet else "/status")
    async with (
        aiohttp.ClientSession(timeout=timeout, headers=headers, connector=connector) as session,
        session.get(url, raise_for_status=True) as response,
    ):
        return await response.read()


def describe_node(status: NodeStatus) -> list[str]:
    """Returns the lines that describe one node."""
    lines = [
        f"host {status.host}/{status.incarnation}  {status.state}  {status.failure_domain}",
        f"  configuration {status.config_version}  host list {status.list_version}"
        f"  booking shards {status.lease.shards_held}",
        "  peers " + (", ".join(f"{p.host} {p.state}" for p in status.peers) or "none"),
    ]
    if (
        status.rejected_config is not None
        and status.rejected_config.version > status.config_version
    ):
        lines.append(f"  rejected configuration {status.rejected_config.version}")
        lines += [f"    {error}" for error in status.rejected_config.errors]
    lines += [f"  leaving {server.server}" for server in status.leaving_servers]
    lines += [f"  {name} {number}" for name, number in sorted(status.counts.items())]
    return lines + _describe_pools(status.pools) + _describe_figures(status.figures)


def describe_fleet(fleet: FleetStatus) -> list[str]:
    """Returns the lines that describe all nodes."""
    listed = len(fleet.nodes) + len(fleet.unreachable)
    lines = [f"{len(fleet.nodes)} of {listed} nodes reached, queried by {fleet.asked_by}"]
    lines += [f"ATTENTION {line}" for line in describe_faults(fleet)] or ["no faults found"]
    for node in fleet.nodes:
        lines += describe_node(node)
    return lines + _describe_pools(fleet.pools) + _describe_figures(fleet.figures)


def describe_faults(fleet: FleetStatus) -> list[str]:
    """Returns the faults that need an operator's attention, one line each."""
    lines = [f"unreachable {node.host}: {node.reason}" for node in fleet.unreachable]
    lines += _describe_suspects(fleet)
    lines += [f"host {node.host} is {node.state}" for node in fleet.nodes if node.state != "live"]
    versions = sorted({node.config_version for node in fleet.nodes})
    for version in versions[:-1]:
        hosts = [node.host for node in fleet.nodes if node.config_version == version]
        lines.append(f"configuration {version} instead of {versions[-1]} at {' '.join(hosts)}")
    without_config_service = [node.host for node in fleet.nodes if not node.reaches_config]
    if without_config_service:
        lines.append(f"configuration service does not answer {' '.join(without_config_service)}")
    lines += _describe_rejected(fleet)
    held = sum(node.lease.shards_held for node in fleet.nodes)
    if held < SHARD_COUNT:
        lines.append(f"booking shards held by reached nodes: {held} of {SHARD_COUNT}")
    lines += [
        f"changed key or certificate file could not be loaded by {node.host}, see event 1103"
        for node in fleet.nodes
        if node.counts.get("files_refused")
    ]
    lines += _describe_degraded_services(fleet)
    leaving = {server.server for node in fleet.nodes for server in node.leaving_servers}
    lines += [f"backend server {server} is leaving" for server in sorted(leaving)]
    lines += [line.strip() for line in _describe_pools(fleet.pools) if "NEARLY FULL" in line]
    if quarantined := max(
        (n.counts.get("quarantined_requests", 0) for n in fleet.nodes), default=0
    ):
        lines.append(f"quarantined requests {quarantined}")
    return lines


def _describe_suspects(fleet: FleetStatus) -> list[str]:
    """Returns a line for each reached host whose heartbeats other hosts miss, with their names."""
    missed_by: dict[str, list[str]] = {}
    unreachable = {node.host for node in fleet.unreachable}
    for node in fleet.nodes:
        for peer in node.peers:
            if peer.state in ("suspect", "gone") and peer.host not in unreachable:
                missed_by.setdefault(peer.host, []).append(node.host)
    return [
        f"heartbeats of host {host} do not reach {' '.join(names)}"
        for host, names in sorted(missed_by.items())
    ]


def _describe_degraded_services(fleet: FleetStatus) -> list[str]:
    """Returns the services far below their targets in the last minute, with the main causes."""
    lines = []
    for group in sorted(fleet.figures, key=_figures_sort_key):
        if group.dimension is not Dimension.SERVICE or group.window != Window.ONE_MINUTE.label:
            continue
        if group.good < LOW_SHARE * group.requests:
            causes = sorted(group.reasons.items(), key=lambda cause: -cause[1])[:CAUSES_SHOWN]
            lines.append(
                f"service {group.name}: {group.good} of {group.requests} within targets"
                + "".join(f", {number} x {code}" for code, number in causes)
            )
    return lines


def _describe_rejected(fleet: FleetStatus) -> list[str]:
    """Returns the rejected versions that are newer than the version in force, with the errors."""
    rejected: dict[int, list[str]] = {}
    errors: dict[int, list[str]] = {}
    for node in fleet.nodes:
        found = node.rejected_config
        if found is not None and found.version > node.config_version:
            rejected.setdefault(found.version, []).append(node.host)
            errors[found.version] = found.errors
    return [
        line
        for version, hosts in sorted(rejected.items())
        for line in [
            f"configuration {version} was rejected by {' '.join(hosts)}",
            *(f"  {error}" for error in errors[version]),
        ]
    ]


def _describe_pools(pools: list[PoolStatus]) -> list[str]:
    return [
        f"pool {pool.failure_domain}/{pool.service}/{pool.pool}  {pool.used_share:.0%} used"
        + ("  NEARLY FULL" if pool.nearly_full else "")
        for pool in pools
    ]


def _figures_sort_key(group: Figures) -> tuple[bool, str, str]:
    return group.dimension is not Dimension.ALL, group.dimension.value, group.name


def _describe_figures(figures: list[Figures]) -> list[str]:
    shown = (Dimension.ALL, Dimension.SERVICE, Dimension.FAILURE_DOMAIN)
    return [
        f"{group.dimension.value} {group.name}  last minute: {group.requests} requests,"
        f" {group.good} within targets, {group.refused} not run, {group.unknown} unknown,"
        f" TTFT p95 {group.ttft_p95_ms:.0f} ms, TBT p95 {group.tbt_p95_ms:.0f} ms"
        for group in sorted(figures, key=_figures_sort_key)
        if group.dimension in shown and group.window == Window.ONE_MINUTE.label
    ]
