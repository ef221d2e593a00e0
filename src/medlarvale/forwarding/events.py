"""Splits the body of an event stream into whole events (WHATWG HTML, section 9.2)."""

from __future__ import annotations

import re

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)


class EventSplitter:
    """Buffers an incomplete event until its remaining bytes arrive.

    Attributes:
        last_id: number of the last whole event; None before the first event with a number.
        rest: bytes after the last whole event.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self.rest = b""

    def feed(self, chunk: bytes) -> bytes:
        """Returns the events that a chunk completes; empty if there is none."""
        data = self.rest + chunk
        end = 0
        for match in _EVENT_END.finditer(data):
            end = match.end()
        whole, self.rest = data[:end], data[end:]
        for match in _EVENT_ID.finditer(whole):
            self.last_id = int(match.group(1))
        return whole
