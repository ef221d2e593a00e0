"""Splits the body of an event stream into whole events (WHATWG HTML, section 9.2)."""

from __future__ import annotations

import asyncio
import re
from collections.abc import AsyncIterator

from medlarvale.clock import Clock
from medlarvale.forwarding.errors import BackendError
from medlarvale.forwarding.interface import BackendAnswer
from medlarvale.http_bodies import BodyFraming

# An event that is longer is no event of a model; hosts hold an incomplete event in memory.
MAX_EVENT_BYTES = 256 * 1024

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_DATA = re.compile(rb"^data:", re.MULTILINE)
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
        """Returns the events that a chunk completes; empty if there is none.

        Raises:
            BackendError: if an event is too long.
        """
        data = self.rest + chunk
        end = 0
        for match in _EVENT_END.finditer(data):
            end = match.end()
        whole, self.rest = data[:end], data[end:]
        if len(self.rest) > MAX_EVENT_BYTES:
            raise BackendError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        for match in _EVENT_ID.finditer(whole):
            self.last_id = int(match.group(1))
        return whole


def has_data(events: bytes) -> bool:
    """Returns whether some event has data; comments and events without data are no progress."""
    return _EVENT_DATA.search(events) is not None


async def events_until_silent(
    answer: BackendAnswer, splitter: EventSplitter, clock: Clock, limit_ms: float
) -> AsyncIterator[bytes]:
    """Yields the whole events of an answer.

    Args:
        answer: the answer, whose body is an event stream.
        splitter: keeps an incomplete event.
        clock: time service.
        limit_ms: longest time without an event, whatever other bytes arrive.

    Raises:
        BackendError: if there is no event in time, or the body ends early, inside an event or, with
            its connection, before the first event.
    """
    chunks = aiter(answer.chunks())
    silent_since_ms = clock.now_ms()
    any_data = False
    while True:
        left_ms = silent_since_ms + limit_ms - clock.now_ms()
        try:
            async with asyncio.timeout(max(0.0, left_ms) / 1000.0):
                chunk = await anext(chunks)
        except StopAsyncIteration:
            _check_end(answer, splitter.rest, any_data)
            return
        except TimeoutError as error:
            raise BackendError("no event of the stream in time") from error
        events = splitter.feed(chunk)
        if events:
            yield events
        if has_data(events):
            any_data = True
            silent_since_ms = clock.now_ms()


async def read_answer(answer: BackendAnswer) -> bytes:
    """Returns the complete body of an answer.

    Raises:
        BackendError: if it ends early, or is an event stream that is incomplete.
    """
    body = await answer.read()
    if answer.event_stream and answer.status < 300:
        splitter = EventSplitter()
        any_data = has_data(splitter.feed(body))
        _check_end(answer, splitter.rest, any_data)
    return body


def _check_end(answer: BackendAnswer, rest: bytes, any_data: bool) -> None:
    """Raises BackendError if the end of an event stream shows that it is incomplete.

    Args:
        answer: the answer, whose body has ended.
        rest: bytes after its last whole event.
        any_data: whether an event had data.
    """
    if rest.strip(b"\r\n"):
        raise BackendError("the stream ended inside an event")
    if not any_data and answer.framing is BodyFraming.CLOSE:
        raise BackendError("the connection ended before the first event of the stream")
