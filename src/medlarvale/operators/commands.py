"""The ``status`` subcommand."""

from __future__ import annotations

import argparse
import asyncio
import sys
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

from medlarvale.flags import add_flag
from medlarvale.operators.accounting import Dimension, Figures, Window
from medlarvale.operators.fleet import FleetStatus
from medlarvale.operators.status import NodeStatus, PoolStatus
from medlarvale.tls import TlsFilesError, client_context

REQUEST_TIMEOUT_S = 5.0


def add_commands(subparsers: Any) -> None:
    """Adds ``medlarvale status`` to the command line."""
    parser = subparsers.add_parser("status", help="print the status of a node or of all nodes")
    add_flag(parser, "--address", help_text="URL of a node's operators' port")
    add_flag(parser, "--token-file", help_text="file with the operators' token")
    add_flag(parser, "--ca-file", help_text="certificates trusted for https:// (PEM)", default="")
    parser.add_argument("--json", action="store_true", help="print the answer as JSON")
    parser.add_argument("--fleet", action="store_true", help="ask all nodes")
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
    if status.rejected_config is not None:
        lines.append(f"  rejected configuration {status.rejected_config.version}")
        lines += [f"    {error}" for error in status.rejected_config.errors]
    lines += [f"  leaving {server.server}" for server in status.leaving_servers]
    lines += [f"  {name} {number}" for name, number in sorted(status.counts.items())]
    return lines + _describe_pools(status.pools) + _describe_figures(status.figures)


def describe_fleet(fleet: FleetStatus) -> list[str]:
    """Returns the lines that describe all nodes."""
    lines = [f"unreachable {node.host}: {node.reason}" for node in fleet.unreachable]
    for node in fleet.nodes:
        lines += describe_node(node)
    return lines + _describe_pools(fleet.pools) + _describe_figures(fleet.figures)


def _describe_pools(pools: list[PoolStatus]) -> list[str]:
    return [
        f"pool {pool.failure_domain}/{pool.service}/{pool.pool}  {pool.used_share:.0%} used"
        + ("  NEARLY FULL" if pool.nearly_full else "")
        for pool in pools
    ]


def _describe_figures(figures: list[Figures]) -> list[str]:
    shown = (Dimension.ALL, Dimension.SERVICE, Dimension.FAILURE_DOMAIN)
    return [
        f"{group.dimension.value} {group.name}  last minute: {group.requests} requests,"
        f" {group.good} within targets, {group.refused} not run, {group.unknown} unknown,"
        f" TTFT p95 {group.ttft_p95_ms:.0f} ms, TBT p95 {group.tbt_p95_ms:.0f} ms"
        for group in figures
        if group.dimension in shown and group.window == Window.ONE_MINUTE.label
    ]
