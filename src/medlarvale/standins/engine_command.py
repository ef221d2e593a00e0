"""The ``medlarvale standin engine`` command."""

from __future__ import annotations

import argparse
import asyncio
from typing import Any

from medlarvale.flags import add_flag
from medlarvale.standins.engine import run_engine
from medlarvale.standins.engine_core import EngineSettings
from medlarvale.standins.engine_messages import EngineRole
from medlarvale.standins.flag_table import SettingFlag, add_setting_flags, read_settings
from medlarvale.standins.serving import parse_address, parse_bool

DEFAULTS = EngineSettings("", "", EngineRole.PREFILL, "")

SETTING_FLAGS = (
    SettingFlag("slots", int, "requests that may decode at once"),
    SettingFlag("pieces", int, "number of KV blocks"),
    SettingFlag("tokens_per_piece", int, "tokens whose KV cache fills one KV block"),
    SettingFlag(
        "kv_ttl_ms", int, "time after which a KV cache that is not pulled or decoded expires"
    ),
    SettingFlag("kv_bytes_per_token", int, "KV cache bytes per token"),
    SettingFlag("link_rate_bytes_per_s", int, "rate shared by all transfers of the engine"),
    SettingFlag("prefill_tokens_per_s", int, "prefill rate for uncached prompt tokens"),
    SettingFlag("step_base_ms", float, "base time of a decode step"),
    SettingFlag("step_per_request_ms", float, "time that each request adds to a decode step"),
    SettingFlag("cache_blocks", int, "blocks of 256 tokens in the prefix cache"),
    SettingFlag("report_lag_ms", int, "lag of the load report"),
    SettingFlag("cache_event_lag_ms", int, "lag of cache events"),
    SettingFlag("cache_event_gap", int, "every n-th cache event is lost; 0 loses none"),
    SettingFlag(
        "check_fencing", parse_bool, "whether orders with an outdated fencing number are refused"
    ),
    SettingFlag("poison_word", str, "word in a prompt that crashes the engine; empty for none"),
    SettingFlag("pad_chunk_bytes", int, "spaces after each chunk, to fill TCP buffers sooner"),
)


def add_commands(subparsers: Any) -> None:
    """Adds the subcommand and its flags."""
    parser = subparsers.add_parser("engine", help="run a stand-in model engine")
    add_flag(
        parser,
        "--listen",
        help_text="address to listen on; port 0 lets the system choose",
        default="127.0.0.1:0",
        parse=parse_address,
    )
    add_flag(parser, "--server", help_text="id of this server")
    add_flag(parser, "--service", help_text="name of the service")
    add_flag(parser, "--role", help_text="role of the pool: prefill or decode", parse=EngineRole)
    add_flag(parser, "--model", help_text="name of the loaded model")
    add_setting_flags(parser, SETTING_FLAGS, DEFAULTS)
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Runs an engine until it is stopped."""
    settings = EngineSettings(
        options.server,
        options.service,
        options.role,
        options.model,
        **read_settings(options, SETTING_FLAGS),
    )
    asyncio.run(run_engine(settings, options.listen))
    return 0
