"""Writes the heads of HTTP/1.1 messages with the bytes that were received.

aiohttp decodes bytes of headers that are not UTF-8 as surrogates (``surrogateescape``), but leaves
surrogates out when it writes a head.
"""

from __future__ import annotations

import re

from aiohttp import http_writer
from multidict import CIMultiDict

# Line breaks could begin further headers (RFC 9110, section 5.5).
_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")

_serialize_text = http_writer._serialize_headers


def serialize_head(status_line: str, headers: CIMultiDict[str]) -> bytes:
    """Returns the bytes of a head.

    Raises:
        ValueError: if it contains a control character.
    """
    if status_line.isascii() and all(map(str.isascii, headers.values())):
        return _serialize_text(status_line, headers)
    lines = [status_line, *(f"{name}: {value}" for name, value in headers.items())]
    if any(map(_CONTROL_CHARACTER.search, lines)):
        raise ValueError("control character in the head of a message")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("utf-8", "surrogateescape")


def keep_header_bytes() -> None:
    """Makes the HTTP clients and servers of this process write heads with ``serialize_head``."""
    http_writer._serialize_headers = serialize_head
