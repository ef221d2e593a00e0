"""Decoding of incoming requests of callers."""

from __future__ import annotations

from aiohttp import web

from medlarvale.forwarding.messages import ClientRequest
from medlarvale.platform.headers import decode_request


def decode_incoming(incoming: web.BaseRequest, body: bytes, received_ms: float) -> ClientRequest:
    """Returns the request that arrived at the callers' port.

    Args:
        received_ms: monotonic time at which the request's head had arrived.
    """
    return decode_request(incoming.method, incoming.raw_path, incoming.headers, body, received_ms)
