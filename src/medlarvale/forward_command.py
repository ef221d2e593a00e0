"""Subcommand ``medlarvale forward``: runs a forwarding host on the users' platform."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import time
from pathlib import Path
from typing import Any

import uvloop

from medlarvale.body_memory import BodyMemory, limit_of_process
from medlarvale.file_watch import FileWatch, WatchedFiles
from medlarvale.flags import add_flag
from medlarvale.forwarding.host import ANY_PORT, ForwardingHost, run_until_stopped
from medlarvale.forwarding.messages import HostParameters
from medlarvale.log_writer import BoundedLineWriter
from medlarvale.logs import Event, configure_logging, log_warning
from medlarvale.platform.backends import HttpBackends
from medlarvale.platform.boot import BootSettingsError, read_boot_settings
from medlarvale.platform.connections import BackendConnection, new_session
from medlarvale.platform.incoming import decode_incoming
from medlarvale.platform.store import PlatformStore
from medlarvale.process_signals import STOPS, process_signals

METRICS_PORT = 7380
DROP_REPORT_MS = 5_000.0
EXIT_SETTINGS = 2
EXIT_NOT_STARTED = 1


def add_commands(subparsers: Any) -> None:
    """Adds the subcommand."""
    parser = subparsers.add_parser("forward", help="run a host on the users' platform")
    add_flag(parser, "--boot", help_text="settings file of the platform")
    add_flag(parser, "--log-level", help_text="debug, info, warning or error", default="info")
    add_flag(
        parser,
        "--metrics-port",
        help_text="port of the metrics, as in deploy/system.toml",
        default=str(METRICS_PORT),
        parse=int,
    )
    add_flag(
        parser,
        "--relay-port",
        help_text="port for requests that peers relay; 0 for any free port",
        default=str(ANY_PORT),
        parse=int,
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Runs a host until a stop signal arrives; returns the exit status."""
    writer = BoundedLineWriter(sys.stdout.fileno(), lambda: time.monotonic() * 1000.0)
    configure_logging(options.log_level, writer)
    try:
        parameters = read_boot_settings(Path(options.boot))
    except BootSettingsError as error:
        log_warning(Event.SETTINGS_REFUSED, faults=error.message.split("; "))
        return EXIT_SETTINGS
    try:
        uvloop.run(_serve(parameters, options, writer))
    except OSError as error:
        print(f"medlarvale forward: {error}", file=sys.stderr)
        return EXIT_NOT_STARTED
    return 0


async def _serve(
    parameters: HostParameters, options: argparse.Namespace, writer: BoundedLineWriter
) -> None:
    session, calls = new_session(), new_session(BackendConnection)
    host = ForwardingHost(
        parameters,
        PlatformStore(session, parameters.platform_address),
        HttpBackends(session, calls, BodyMemory(limit_of_process(parameters.memory_bytes))),
        decode_incoming,
        options.metrics_port,
        lambda: {"log_lines_dropped": writer.dropped},
        options.relay_port,
    )
    host.clock.every_ms(DROP_REPORT_MS, _DropReport(writer).tick)
    stop = asyncio.Event()
    settings = _watch_settings(host, Path(options.boot))
    process_signals.take_over(
        asyncio.get_running_loop().call_soon_threadsafe,
        {**dict.fromkeys(STOPS, stop.set), signal.SIGHUP: settings.reload},
    )
    # The file may also change without a signal.
    settings.start()
    try:
        await run_until_stopped(stop, host)
    finally:
        settings.close()
        await session.close()
        await calls.close()
        process_signals.ignore("forward")


def _watch_settings(host: ForwardingHost, boot: Path) -> FileWatch:
    """Returns a watch of the settings file; an invalid file changes nothing."""

    def load() -> None:
        host.apply_settings(read_boot_settings(boot))

    return FileWatch(host.clock, [WatchedFiles(str(boot), (boot,), load)])


class _DropReport:
    """Logs the number of dropped log lines when it has grown since the last report."""

    def __init__(self, writer: BoundedLineWriter) -> None:
        self._writer = writer
        self._reported = 0

    def tick(self) -> None:
        if self._writer.dropped > self._reported:
            self._reported = self._writer.dropped
            log_warning(Event.LOG_LINES_DROPPED, dropped=self._reported)
