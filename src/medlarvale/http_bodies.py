"""How the body of an HTTP/1.1 response is delimited (RFC 9112, section 6)."""

from __future__ import annotations

import enum

from multidict import MultiMapping


class BodyFraming(enum.Enum):
    """What marks the end of a body."""

    LENGTH = "length"
    CHUNKED = "chunked"
    # Only the end of the connection does, so an answer that breaks off may look complete.
    CLOSE = "close"


def body_framing(headers: MultiMapping[str]) -> BodyFraming:
    """Returns the framing that the headers of a response declare.

    A body with transfer codings is delimited by chunks only if "chunked" is the last one.
    """
    codings = ",".join(headers.getall("Transfer-Encoding", ())).lower().split(",")
    if codings[-1].strip() == "chunked":
        return BodyFraming.CHUNKED
    return BodyFraming.LENGTH if "Content-Length" in headers else BodyFraming.CLOSE
