"""What the ``medlarvale standin ...`` subcommands share."""

from __future__ import annotations

import argparse
import asyncio
import signal
import weakref
from typing import Any

from aiohttp import web

_standin_parsers: weakref.WeakKeyDictionary[Any, Any] = weakref.WeakKeyDictionary()


def standin_subparsers(subparsers: Any) -> Any:
    """Returns the subparsers below ``standin``, which the first stand-in of a parser creates.

    Args:
        subparsers: subparsers of the program, as ``add_commands`` of each slice receives them.
    """
    existing = _standin_parsers.get(subparsers)
    if existing is None:
        parser: argparse.ArgumentParser = subparsers.add_parser(
            "standin", help="run a stand-in of an outside system as a process"
        )
        existing = parser.add_subparsers(dest="standin", required=True)
        _standin_parsers[subparsers] = existing
    return existing


def parse_address(text: str) -> tuple[str, int]:
    """Returns IP address and port of ``ip:port``.

    Raises:
        argparse.ArgumentTypeError: for any other text.
    """
    ip, separator, port = text.rpartition(":")
    if not separator or not ip or not port.isdecimal():
        raise argparse.ArgumentTypeError(f"{text!r}: expected ip:port")
    return ip, int(port)


async def serve_until_stopped(app: web.Application, address: tuple[str, int]) -> None:
    """Serves an application until SIGTERM or SIGINT.

    Prints ``listening on http://ip:port`` once calls are accepted, so that whoever started the
    process learns the port chosen for port 0.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    # Calls that wait must not delay the end of the process.
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    try:
        await web.TCPSite(runner, *address).start()
        ip, port = runner.addresses[0][:2]
        print(f"listening on http://{ip}:{port}", flush=True)
        await stopped.wait()
    finally:
        await runner.cleanup()
