"""Command line of the one program; each slice adds its own subcommands."""

from __future__ import annotations

import argparse
from collections.abc import Sequence

from medlarvale import demo, serve
from medlarvale.operators import commands as operator_commands
from medlarvale.settings import commands as settings_commands
from medlarvale.standins import commands as standin_commands

SLICES = (serve, settings_commands, operator_commands, demo, standin_commands)


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser; each subcommand sets ``run``, which returns the exit status."""
    parser = argparse.ArgumentParser(
        prog="medlarvale", description="Router for separate prefill and decode pools."
    )
    subparsers = parser.add_subparsers(dest="command", required=True)
    for part in SLICES:
        part.add_commands(subparsers)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the program and returns its exit status."""
    options = build_parser().parse_args(arguments)
    status: int = options.run(options)
    return status
