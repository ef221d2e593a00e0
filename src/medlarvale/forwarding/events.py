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
_LINE_END = re.compile(rb"\r\n|\n|\r")
_EVENT_DATA = re.compile(rb"^data:", re.MULTILINE)
# A number with more digits may not fit in 64 bits.
_EVENT_ID = re.compile(rb"id: ?(\d{1,19})")
# Servers may add fields of their own to an event. Lines of other text, and header names, which
# usually have capitals, are none.
_FIELD = re.compile(rb"[a-z][a-z0-9-]*:")
# Lines of a part without data.
_NO_DATA = re.compile(rb":|retry:|event:")


def _event_id(part: bytes, last_id: int | None) -> int | None:
    """Returns the number of an event; ``last_id`` for comments and events without numbers.

    Args:
        part: the event, or comments.
        last_id: number of the event before; None if no event had a number so far.

    Raises:
        BackendError: if it is no event that may follow.
    """
    lines = [line for line in _LINE_END.split(part) if line]
    if not has_data(part):
        if all(_NO_DATA.match(line) for line in lines):
            return last_id
        raise BackendError("the stream contains something else than events")
    if not all(line.startswith(b":") or _FIELD.match(line) for line in lines):
        raise BackendError("the stream contains something else than events")
    ids = [line for line in lines if line.startswith(b"id:")]
    if not ids and last_id is None:
        return None
    number = _EVENT_ID.fullmatch(ids[0]) if len(ids) == 1 else None
    if number is None:
        raise BackendError("an event of the stream has no number, or several")
    if last_id is not None and int(number.group(1)) <= last_id:
        raise BackendError(f"an event of the stream does not come after event {last_id}")
    return int(number.group(1))


class EventSplitter:
    """Buffers an incomplete event until its remaining bytes arrive.

    Attributes:
        last_id: number of the last whole event; None before the first event with a number.
        rest: bytes after the last whole event.
        fault: why the bytes after the last returned event are no event; None while they may be.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self.rest = b""
        self.fault: BackendError | None = None

    def begin_run(self) -> None:
        """Drops what is left of the run before; the next one continues after the last event."""
        self.rest, self.fault = b"", None

    def feed(self, chunk: bytes) -> bytes:
        """Returns the events that a chunk completes, up to the first fault; empty if there is none.

        Raises:
            BackendError: if an event is too long, or after a fault.
        """
        if self.fault is not None:
            raise self.fault
        data = self.rest + chunk
        end = 0
        for match in _EVENT_END.finditer(data):
            try:
                self.last_id = _event_id(data[end : match.end()], self.last_id)
            except BackendError as error:
                self.fault = error
                break
            end = match.end()
        whole, self.rest = data[:end], data[end:]
        if len(self.rest) > MAX_EVENT_BYTES and self.fault is None:
            raise BackendError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        return whole


def has_data(events: bytes) -> bool:
    """Returns whether some event has data; comments and events without data are no progress."""
    return _EVENT_DATA.search(events) is not None


async def events_until_silent(
    answer: BackendAnswer,
    splitter: EventSplitter,
    clock: Clock,
    limit_ms: float,
    *,
    may_be_empty: bool = False,
) -> AsyncIterator[bytes]:
    """Yields the whole events of an answer.

    Args:
        answer: the answer, whose body is an event stream.
        splitter: keeps an incomplete event.
        clock: time service.
        limit_ms: longest time without an event, whatever other bytes arrive.
        may_be_empty: whether the stream may have no events, as its last one was passed on before.

    Raises:
        BackendError: if there is no event in time, something else than an event, or the body ends
            early, inside an event or, with its connection, before the first event.
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
            _check_end(answer, splitter.rest, any_data or may_be_empty)
            return
        except TimeoutError as error:
            raise BackendError("no event of the stream in time") from error
        events = splitter.feed(chunk)
        if events:
            yield events
        if splitter.fault is not None:
            raise splitter.fault
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
        if splitter.fault is not None:
            raise splitter.fault
        _check_end(answer, splitter.rest, any_data)
    return body


def _check_end(answer: BackendAnswer, rest: bytes, may_end: bool) -> None:
    """Raises BackendError if the end of an event stream shows that it is incomplete.

    Args:
        answer: the answer, whose body has ended.
        rest: bytes after its last whole event.
        may_end: whether an event had data, or none is needed.
    """
    if rest.strip(b"\r\n"):
        raise BackendError("the stream ended inside an event")
    if not may_end and answer.framing is BodyFraming.CLOSE:
        raise BackendError("the connection ended before the first event of the stream")
