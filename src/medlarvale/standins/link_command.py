"""The ``medlarvale standin link`` command."""

from __future__ import annotations

import argparse
import asyncio
from typing import Any

from medlarvale.flags import add_flag
from medlarvale.standins.link import run_link
from medlarvale.standins.serving import parse_address


def add_commands(subparsers: Any) -> None:
    """Adds the subcommand and its flags."""
    parser = subparsers.add_parser("link", help="run a TCP link that tests can interrupt")
    for flag, help_text in (
        ("--listen", "address to listen on; port 0 lets the system choose"),
        ("--control", "address of the control port; port 0 lets the system choose"),
    ):
        add_flag(parser, flag, help_text=help_text, default="127.0.0.1:0", parse=parse_address)
    add_flag(parser, "--target", help_text="address to relay to", parse=parse_address)
    add_flag(parser, "--server", help_text="name printed with the addresses", default="link")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Runs a link until it is stopped."""
    asyncio.run(run_link(options.server, options.listen, options.control, options.target))
    return 0
