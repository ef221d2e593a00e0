"""HTTP servers whose connections are bounded."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from aiohttp import web

from medlarvale.uploads.bounds import Uploads
from medlarvale.uploads.connections import LINGERING_S, READ_BUFFER_BYTES, CallerConnection
from medlarvale.uploads.reader import DEFAULT_LIMITS, LimitsSource


class CallerConnectionServer(web.Server):
    """Server whose connections are bounded.

    Args:
        handler: answers a request.
        uploads: the bounds.
        limits: returns the limits of the configuration.
        options: further options of aiohttp's server.
    """

    def __init__(
        self,
        handler: Callable[..., Any],
        uploads: Uploads,
        limits: LimitsSource = lambda: DEFAULT_LIMITS,
        **options: Any,
    ) -> None:
        super().__init__(
            handler, read_bufsize=READ_BUFFER_BYTES, lingering_time=LINGERING_S, **options
        )
        self._uploads = uploads
        self._limits = limits

    def __call__(self) -> web.RequestHandler:
        """Returns the protocol of a new connection."""
        return CallerConnection(self._uploads, self._limits, self, loop=self._loop, **self._kwargs)
