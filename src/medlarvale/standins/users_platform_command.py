"""The ``medlarvale standin users-platform`` command."""

from __future__ import annotations

import argparse
import asyncio
from typing import Any

from medlarvale.platform.standin import StandinPlatform
from medlarvale.standins.serving import announce, stop_event

ROUTES = {"look": "safe app", "book": "unsafe app", "chat": "streaming llm"}


def add_commands(subparsers: Any) -> None:
    """Adds the subcommand."""
    parser = subparsers.add_parser(
        "users-platform", help="run a stand-in for the users' platform with servers and engines"
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Runs the platform with its servers and engines until the process is stopped."""
    asyncio.run(_serve())
    return 0


async def _serve() -> None:
    stopped = stop_event()
    platform = StandinPlatform()
    await platform.start()
    await platform.configure(1, **ROUTES)
    announce("users-platform", platform.address)
    await stopped.wait()
    await platform.close()
