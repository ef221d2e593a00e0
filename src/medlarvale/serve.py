"""Subcommand ``medlarvale serve``: runs one entry host until it is stopped."""

from __future__ import annotations

import argparse
import asyncio
import sys
from typing import Any

import uvloop

from medlarvale.composition import EntryHost
from medlarvale.logs import Event, configure_logging, log_warning
from medlarvale.process_settings import (
    ProcessSettings,
    ProcessSettingsError,
    add_serve_flags,
    read_process_settings,
)
from medlarvale.process_signals import STOPS, process_signals

EXIT_SETTINGS = 2
EXIT_NOT_STARTED = 1


def add_commands(subparsers: Any) -> None:
    """Adds the subcommand."""
    parser = subparsers.add_parser("serve", help="run an entry host")
    add_serve_flags(parser)
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Runs an entry host; returns the exit status."""
    try:
        process = read_process_settings(options)
    except ProcessSettingsError as error:
        configure_logging("info")
        log_warning(Event.SETTINGS_REFUSED, faults=error.message.splitlines())
        return EXIT_SETTINGS
    configure_logging(process.log_level)
    try:
        uvloop.run(_serve(process))
    except OSError as error:
        print(f"medlarvale serve: {error}", file=sys.stderr)
        return EXIT_NOT_STARTED
    return 0


async def _serve(process: ProcessSettings) -> None:
    """Serves until a signal or drain request, then drains; a second signal stops it immediately."""
    host = EntryHost(process)
    drain_requested, stop_requested = host.drain_requested, asyncio.Event()

    def stop() -> None:
        (stop_requested if drain_requested.is_set() else drain_requested).set()

    call_soon = asyncio.get_running_loop().call_soon_threadsafe
    process_signals.take_over(call_soon, dict.fromkeys(STOPS, stop))
    try:
        await host.start()
        scheme = "https" if process.tls.caller else "http"
        print(f"serving callers at {scheme}://{process.listen_caller}", flush=True)
        await drain_requested.wait()
        drained = asyncio.ensure_future(host.drain())
        stopped = asyncio.ensure_future(stop_requested.wait())
        await asyncio.wait({drained, stopped}, return_when=asyncio.FIRST_COMPLETED)
        drained.cancel()
        stopped.cancel()
    finally:
        await host.close()
        process_signals.ignore("serve")
