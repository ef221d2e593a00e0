"""The ``medlarvale standin platform`` command."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from pathlib import Path
from typing import Any

import msgspec

from medlarvale.clock import SystemClock
from medlarvale.flags import add_flag
from medlarvale.settings.parsing import parse_text
from medlarvale.standins.platform import (
    ControlRefusedError,
    PlatformServer,
    PlatformState,
    PublishHosts,
    PublishTree,
)
from medlarvale.standins.serving import Address, parse_address, serve_until_stopped

EXIT_REFUSED = 2


def add_commands(subparsers: Any) -> None:
    """Adds the subcommand and its flags."""
    parser = subparsers.add_parser(
        "platform", help="run a stand-in configuration service and host list"
    )
    add_flag(
        parser,
        "--listen",
        help_text="address to listen on; port 0 lets the system choose",
        default="127.0.0.1:0",
        parse=parse_address,
    )
    parser.add_argument(
        "--tree", type=Path, metavar="FILE", help="YAML or JSON tree published as version 1"
    )
    parser.add_argument(
        "--hosts",
        type=Path,
        metavar="FILE",
        help="JSON with entry_hosts and backend_servers, published as version 1",
    )
    parser.set_defaults(run=run_platform)


def run_platform(options: argparse.Namespace) -> int:
    """Serves the stand-in until it is stopped; returns the exit status."""
    clock = SystemClock()
    state = PlatformState()
    try:
        if options.tree is not None:
            state.apply(PublishTree(_read_tree(options.tree)), clock.now_ms())
        if options.hosts is not None:
            hosts = msgspec.json.decode(options.hosts.read_bytes(), type=PublishHosts)
            state.apply(hosts, clock.now_ms())
    except (OSError, msgspec.MsgspecError, ControlRefusedError) as error:
        print(f"standin platform: {error}", file=sys.stderr)
        return EXIT_REFUSED
    asyncio.run(_serve(state, clock, options.listen))
    return 0


async def _serve(state: PlatformState, clock: SystemClock, address: Address) -> None:
    await serve_until_stopped(PlatformServer(state, clock).app(), address, "platform")


def _read_tree(path: Path) -> msgspec.Raw:
    """Returns a tree as JSON; its content is not validated, as in the real platform.

    Raises:
        ControlRefusedError: the file is neither YAML nor JSON.
    """
    parsed = parse_text(path.read_bytes())
    if not parsed.readable:
        raise ControlRefusedError(f"{path}: {parsed.problems[0]}")
    return msgspec.Raw(json.dumps(parsed.value).encode())
