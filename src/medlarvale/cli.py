"""Command line of medlarvale; each package adds its own subcommands."""

from __future__ import annotations

import argparse
import importlib
import sys
from collections.abc import Sequence

# A module is imported only if its command is run: each one needs libraries that the others don't,
# and a host has to be ready soon after its start.
COMMAND_MODULES = {
    "serve": "medlarvale.serve",
    "check": "medlarvale.settings.commands",
    "explain": "medlarvale.settings.commands",
    "status": "medlarvale.operators.commands",
    "demo": "medlarvale.demo",
    "standin": "medlarvale.standins.commands",
    "forward": "medlarvale.forward_command",
}


def _modules(command: str | None) -> list[str]:
    if command in COMMAND_MODULES:
        return [COMMAND_MODULES[command]]
    return list(dict.fromkeys(COMMAND_MODULES.values()))


def build_parser(command: str | None = None) -> argparse.ArgumentParser:
    """Returns the parser; each subcommand sets ``run``, which returns the exit status.

    Args:
        command: the only subcommand to add; None adds all of them.
    """
    parser = argparse.ArgumentParser(
        prog="medlarvale", description="Router for separate prefill and decode pools."
    )
    subparsers = parser.add_subparsers(dest="command", required=True)
    for name in _modules(command):
        importlib.import_module(name).add_commands(subparsers)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the program and returns its exit status."""
    arguments = sys.argv[1:] if arguments is None else arguments
    command = arguments[0] if arguments else None
    options = build_parser(command).parse_args(arguments)
    status: int = options.run(options)
    return status
