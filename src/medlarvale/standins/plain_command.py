"""The ``medlarvale standin plain`` command."""

from __future__ import annotations

import argparse
import asyncio
from typing import Any

from medlarvale.flags import add_flag
from medlarvale.standins.flag_table import SettingFlag, add_setting_flags, read_settings
from medlarvale.standins.plain_service import PlainSettings, run_plain_service
from medlarvale.standins.serving import parse_address, parse_bool

DEFAULTS = PlainSettings("", "")

SETTING_FLAGS = (
    SettingFlag("delay_ms", int, "delay before a call runs"),
    SettingFlag("slots", int, "capacity in the load report"),
    SettingFlag("report_lag_ms", int, "lag of the load report"),
    SettingFlag(
        "check_fencing", parse_bool, "whether calls with an outdated fencing number are refused"
    ),
    SettingFlag(
        "runs_file", str, "file that preserves the counted runs across a crash; empty for none"
    ),
)


def add_commands(subparsers: Any) -> None:
    """Adds the subcommand and its flags."""
    parser = subparsers.add_parser("plain", help="run a stand-in plain service")
    add_flag(
        parser,
        "--listen",
        help_text="address to listen on; port 0 lets the system choose",
        default="127.0.0.1:0",
        parse=parse_address,
    )
    add_flag(parser, "--server", help_text="id of this server")
    add_flag(parser, "--service", help_text="name of the service")
    add_setting_flags(parser, SETTING_FLAGS, DEFAULTS)
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Runs a plain service until it is stopped."""
    settings = PlainSettings(
        options.server, options.service, **read_settings(options, SETTING_FLAGS)
    )
    asyncio.run(run_plain_service(settings, options.listen))
    return 0
