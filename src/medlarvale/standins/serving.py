"""Serves the HTTP application of a stand-in until the process is stopped."""

from __future__ import annotations

import asyncio
import signal
import socket
import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
from aiohttp import web

from medlarvale.http_heads import keep_header_bytes

# With a small send buffer, a blocked reader is noticed after a few KB instead of megabytes.
SEND_BUFFER_BYTES = 8_192
# Requests may have one header as long as all of them may be together.
MAX_HEADER_BYTES = 16_384


class Address(msgspec.Struct, frozen=True):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Listening(msgspec.Struct, frozen=True):
    """The line that a stand-in prints once it accepts connections."""

    server: str
    address: str


def parse_address(text: str) -> Address:
    """Parses an address ``host:port``; port 0 lets the system choose.

    Raises:
        ValueError: the text does not have this form.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host:
        raise ValueError(f"address is not host:port: {text}")
    return Address(host, int(port))


def parse_bool(text: str) -> bool:
    """Parses ``true`` or ``false``.

    Raises:
        ValueError: the text is neither.
    """
    if text not in ("true", "false"):
        raise ValueError(f"value is neither true nor false: {text}")
    return text == "true"


@asynccontextmanager
async def serve(
    application: web.Application, address: Address, tls: ssl.SSLContext | None = None
) -> AsyncIterator[Address]:
    """Serves an application and yields the listening address.

    A handler is cancelled when its caller closes the connection.

    Args:
        tls: context for HTTPS; None for plain HTTP.
    """
    keep_header_bytes()
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    listener.bind((address.host, address.port))
    runner = web.AppRunner(
        application,
        handler_cancellation=True,
        access_log=None,
        shutdown_timeout=0.1,
        max_field_size=MAX_HEADER_BYTES,
    )
    await runner.setup()
    try:
        await web.SockSite(runner, listener, ssl_context=tls).start()
        yield Address(*listener.getsockname())
    finally:
        await runner.cleanup()


def announce(server: str, address: str) -> None:
    """Prints the JSON line that the parent process waits for."""
    print(msgspec.json.encode(Listening(server, address)).decode(), flush=True)


def stop_event() -> asyncio.Event:
    """Installs handlers of SIGTERM and SIGINT and returns the event that they set."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    return stopped


async def serve_until_stopped(application: web.Application, address: Address, server: str) -> None:
    """Serves an application, announces its address and runs until SIGTERM or SIGINT."""
    stopped = stop_event()
    async with serve(application, address) as bound:
        announce(server, f"http://{bound}")
        await stopped.wait()
