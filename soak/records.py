"""What callers saw of their requests."""

from __future__ import annotations

import math
import re
from enum import Enum

import msgspec

from medlarvale.ids import HostId, RequestId, SoftwareVersion

EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\d+) (\S+)")


class Route(Enum):
    """Name of a route."""

    CHAT = "chat"
    LOOK = "look"
    BOOK = "book"
    # Only some configurations have it.
    ADDED = "added"


class AttemptEnd(Enum):
    """How an attempt ended."""

    COMPLETE = "complete"
    # The caller's connection broke, as planned.
    LEFT = "left"
    # The connection ended, or none was made.
    CUT = "cut"
    # The caller gave up, as the answer did not begin or go on.
    SILENT = "silent"
    REFUSED = "refused"
    FAILED = "failed"
    OUT_OF_TIME = "out of time"


class SeenEvent(msgspec.Struct, frozen=True):
    """An event of a stream.

    Attributes:
        stream: id of the attempt that began the run, as the engine understood it.
    """

    number: int
    stream: RequestId
    software: SoftwareVersion


class Attempt(msgspec.Struct):
    """One request of a caller, and what came of it.

    Attributes:
        sent_at_s: time since the start of the run, as all times in records.
        left_ms: time left when it was sent.
        resume_after: number of the last event received before, in a take-up.
        software: version of these events.
        serving: whether engines of this version served when it was sent, and still at its end.
        events: events of a stream.
        spoiled: bytes of the answer that are not the server's; empty if there are none.
        ended_at_s: when its connection ended.
    """

    request: RequestId
    host: HostId
    sent_at_s: float
    left_ms: float
    resume_after: int | None = None
    software: SoftwareVersion | None = None
    serving: bool = True
    status: int | None = None
    events: list[SeenEvent] = msgspec.field(default_factory=list)
    spoiled: str = ""
    end: AttemptEnd = AttemptEnd.CUT
    ended_at_s: float = 0.0


class Exchange(msgspec.Struct):
    """All attempts of a caller for one stream or call.

    Attributes:
        began_as: id of the attempt that received the first event.
        prompt: number of its prompt; None if it names none.
    """

    route: Route
    attempts: list[Attempt] = msgspec.field(default_factory=list)
    began_as: RequestId | None = None
    prompt: int | None = None

    @property
    def events(self) -> list[SeenEvent]:
        """Events of all attempts in the order in which they arrived."""
        return [event for attempt in self.attempts for event in attempt.events]


class Disruption(msgspec.Struct):
    """Something that happened to a host or a server, or to the store if both are None.

    Attributes:
        planned: whether it is a stop with notice.
        to_s: when it had passed; for a host that ended, when it was started again.
        kind: what it was.
        server: name of the server.
        halts: whether the process of the host ended or stood still.
    """

    host: HostId | None
    planned: bool
    from_s: float
    to_s: float = math.inf
    kind: str = ""
    server: str | None = None
    halts: bool = False


class Case(msgspec.Struct, frozen=True):
    """One case of a broken promise, and where and when it was seen if that is known."""

    text: str
    host: HostId | None = None
    at_s: float = math.inf


class Span(msgspec.Struct):
    """Time for which something lasted, by the row that shows it."""

    row: str
    kind: str
    from_s: float
    to_s: float = math.inf


class SpoiledAnswerError(Exception):
    """Bytes that are no answer of the server."""


def parse_event(block: bytes) -> SeenEvent:
    """Returns the event of a block of lines.

    Raises:
        SpoiledAnswerError: if it is none.
    """
    match = EVENT.fullmatch(block)
    if match is None or match[1] != match[3]:
        raise SpoiledAnswerError(repr(block[:80]))
    return SeenEvent(
        int(match[1]), RequestId(match[2].decode()), SoftwareVersion(match[4].decode())
    )
