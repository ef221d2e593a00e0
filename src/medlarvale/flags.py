"""Command-line flags that can also be given as environment variables of the same name."""

from __future__ import annotations

import argparse
import os
from collections.abc import Callable
from typing import Any

ENVIRONMENT_PREFIX = "MEDLARVALE_"


def environment_name(flag: str) -> str:
    """Returns the environment variable of a flag.

    For example, the variable of ``--listen-caller`` is ``MEDLARVALE_LISTEN_CALLER``.
    """
    return ENVIRONMENT_PREFIX + flag.removeprefix("--").replace("-", "_").upper()


def add_flag(
    parser: argparse.ArgumentParser,
    flag: str,
    *,
    help_text: str,
    default: str | None = None,
    parse: Callable[[str], Any] = str,
) -> None:
    """Adds a flag; it overrides its environment variable, which overrides the default.

    A flag without a default is required unless its environment variable is set.
    """
    variable = environment_name(flag)
    value = os.environ.get(variable, default)
    parser.add_argument(
        flag,
        type=parse,
        default=value,
        required=value is None,
        help=f"{help_text} (environment: {variable})",
    )
