"""HTTP servers whose connections are bounded."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from aiohttp import web

from medlarvale.uploads.bounds import Uploads
from medlarvale.uploads.connections import LINGERING_S, READ_BUFFER_BYTES, CallerConnection
from medlarvale.uploads.read_pacing import MAX_READ_BYTES, SmallReads
from medlarvale.uploads.reader import DEFAULT_LIMITS, LimitsSource


class CallerConnectionServer(web.Server):
    """Server whose connections are bounded.

    Args:
        handler: answers a request.
        uploads: the bounds.
        limits: returns the limits of the configuration.
        connection_type: class of the connections.
        options: further options of aiohttp's server.
    """

    def __init__(
        self,
        handler: Callable[..., Any],
        uploads: Uploads,
        limits: LimitsSource = lambda: DEFAULT_LIMITS,
        connection_type: type[CallerConnection] = CallerConnection,
        **options: Any,
    ) -> None:
        super().__init__(
            handler, read_bufsize=READ_BUFFER_BYTES, lingering_time=LINGERING_S, **options
        )
        self._uploads = uploads
        self._limits = limits
        self._connection_type = connection_type
        self._read_buffer = memoryview(bytearray(MAX_READ_BYTES))
        new_request = self.request_factory

        def begin_request(
            message: Any, payload: Any, protocol: Any, writer: Any, task: Any
        ) -> web.BaseRequest:
            protocol.begin_request(message)
            return new_request(message, payload, protocol, writer, task)

        self.request_factory = begin_request

    def new_connection(self) -> CallerConnection:
        """Returns the state of a new connection, which reads ``bytes``."""
        return self._connection_type(
            self._uploads, self._limits, self, loop=self._loop, **self._kwargs
        )

    def __call__(self) -> Any:
        """Returns the protocol of a new connection."""
        connection = self.new_connection()
        return SmallReads(connection, connection.next_read_bytes, self._read_buffer)


class BoundedAppRunner(web.AppRunner):
    """Runner of an application whose connections are bounded.

    Args:
        app: the application.
        uploads: the bounds.
        limits: returns the limits on requests.
        connection_type: class of the connections.
        options: further options of aiohttp's runner.
    """

    def __init__(
        self,
        app: web.Application,
        uploads: Uploads,
        limits: LimitsSource = lambda: DEFAULT_LIMITS,
        connection_type: type[CallerConnection] = CallerConnection,
        **options: Any,
    ) -> None:
        super().__init__(app, **options)
        self._uploads = uploads
        self._limits = limits
        self._connection_type = connection_type

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        return CallerConnectionServer(
            server.request_handler,
            self._uploads,
            self._limits,
            self._connection_type,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            **server._kwargs,
        )
