"""The ``medlarvale standin`` command, which runs one stand-in as a process."""

from __future__ import annotations

from typing import Any

from medlarvale.standins import (
    engine_command,
    link_command,
    plain_command,
    platform_command,
    users_platform_command,
)

STANDIN_COMMANDS = (
    engine_command,
    plain_command,
    link_command,
    platform_command,
    users_platform_command,
)


def add_commands(subparsers: Any) -> None:
    """Adds the ``standin`` command with one subcommand for each kind of stand-in."""
    parser = subparsers.add_parser("standin", help="run a stand-in for tests and demonstrations")
    kinds = parser.add_subparsers(dest="standin", required=True)
    for command in STANDIN_COMMANDS:
        command.add_commands(kinds)
