"""How the body of an HTTP/1.1 response is delimited (RFC 9112, section 6)."""

from __future__ import annotations

import enum
from collections.abc import Mapping


class BodyFraming(enum.Enum):
    """What marks the end of a body."""

    LENGTH = "length"
    CHUNKED = "chunked"
    # Only the end of the connection does, so an answer that breaks off may look complete.
    CLOSE = "close"


def body_framing(headers: Mapping[str, str]) -> BodyFraming:
    """Returns the framing that the headers of a response declare."""
    if "Transfer-Encoding" in headers:
        return BodyFraming.CHUNKED
    return BodyFraming.LENGTH if "Content-Length" in headers else BodyFraming.CLOSE
