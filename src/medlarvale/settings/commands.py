"""Subcommands ``check`` and ``explain``."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path
from typing import Any

from medlarvale.settings.check import check_text
from medlarvale.settings.errors import SettingsError, SettingsRejectedError
from medlarvale.settings.schema import SettingsTree
from medlarvale.settings.tree import parse_branch, setting_at, settings_at

EXIT_OK = 0
EXIT_REFUSED = 2


def add_commands(subparsers: Any) -> None:
    """Adds the subcommands of this package.

    Args:
        subparsers: return value of ``argparse.ArgumentParser.add_subparsers``.
    """
    check = subparsers.add_parser("check", help="check a settings tree and print every error")
    check.add_argument("file", type=Path, metavar="FILE")
    check.set_defaults(run=run_check)
    explain = subparsers.add_parser(
        "explain", help="print the values in force at a branch and which branch set them"
    )
    explain.add_argument("file", type=Path, metavar="FILE")
    explain.add_argument(
        "--at", default="", metavar="REGION/DOMAIN/SERVICE/POOL", help="branch; default: the fleet"
    )
    explain.add_argument("--key", metavar="NAME", help="one setting; default: all")
    explain.set_defaults(run=run_explain)


def run_check(options: argparse.Namespace) -> int:
    """Checks a file, prints one error per line and returns the exit status."""
    try:
        tree = _read_tree(options.file)
    except (OSError, SettingsError) as error:
        return _report_error(options.file, error)
    print(
        f"{options.file}: {len(tree.services)} services, {len(tree.workspaces)} workspaces, "
        f"{len(tree.regions)} regions"
    )
    return EXIT_OK


def run_explain(options: argparse.Namespace) -> int:
    """Prints the values in force and the branch that set each; returns the exit status."""
    try:
        tree = _read_tree(options.file)
        path = parse_branch(options.at)
        if options.key is None:
            settings = settings_at(tree, path)
        else:
            settings = [setting_at(tree, path, options.key)]
    except (OSError, SettingsError) as error:
        return _report_error(options.file, error)
    for setting in settings:
        value = str(setting.value).lower()
        print(f"{setting.key} = {value}  (set by {setting.origin})")
    return EXIT_OK


def _read_tree(path: Path) -> SettingsTree:
    return check_text(path.read_bytes())


def _report_error(path: Path, error: Exception) -> int:
    if isinstance(error, SettingsRejectedError):
        for problem in error.problems:
            print(f"{path}: {problem}", file=sys.stderr)
        print(f"{path}: {len(error.problems)} errors", file=sys.stderr)
    else:
        print(f"{path}: {error}", file=sys.stderr)
    return EXIT_REFUSED
