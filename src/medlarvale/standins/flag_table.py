"""Optional flags of the stand-ins with defaults from a settings struct."""

from __future__ import annotations

import argparse
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from medlarvale.flags import add_flag


class SettingFlag(msgspec.Struct, frozen=True):
    """A flag that sets the field of the same name: ``--kv-ttl-ms`` sets ``kv_ttl_ms``."""

    field: str
    parse: Callable[[str], Any]
    help_text: str

    @property
    def name(self) -> str:
        """The flag as written on the command line."""
        return "--" + self.field.replace("_", "-")


def add_setting_flags(
    parser: argparse.ArgumentParser, flags: Sequence[SettingFlag], defaults: msgspec.Struct
) -> None:
    """Adds flags whose defaults are the values of a settings struct."""
    for flag in flags:
        default = getattr(defaults, flag.field)
        text = str(default).lower() if isinstance(default, bool) else str(default)
        add_flag(parser, flag.name, help_text=flag.help_text, default=text, parse=flag.parse)


def read_settings(options: argparse.Namespace, flags: Sequence[SettingFlag]) -> dict[str, Any]:
    """Returns the parsed values by field, for use as keyword arguments of the settings struct."""
    return {flag.field: getattr(options, flag.field) for flag in flags}
