"""Decides whether an answer that ends with its connection is whole (RFC 9112, section 8).

The system closes the connections of a process that is killed in the same order as a process that
has written its whole answer. Without a length or chunks, only the server can tell the two apart.
"""

from __future__ import annotations

import enum
from collections import OrderedDict

import msgspec

from medlarvale.forwarding.errors import BackendError, ServerDownError
from medlarvale.forwarding.interface import Backends
from medlarvale.forwarding.messages import Server
from medlarvale.ids import ServiceName, SoftwareVersion
from medlarvale.logs import Event, log_info

# Streams in a row that have to turn out to be whole before the ends of a software's connections are
# trusted without a continuation of each stream. Fewer for each early end raise doubts.
TRUSTED_ENDS = 8
# Number of software versions whose ends are remembered, and of checked streams that count.
REMEMBERED_VERSIONS = 256
REMEMBERED_ENDS = 256
# Calls without an answer after which a server counts as gone. A sound server may be silent for
# about a second, which is less than the time limits of three calls.
MAX_UNANSWERED = 3


class EndEvidence(enum.Enum):
    """What shows that an answer is whole."""

    # Its length, or its last chunk.
    FRAMING = "framing"
    # A run that continued the stream after its last event ended without another one.
    CONTINUATION = "continuation"
    # The server still answers as the instance that it was.
    SERVER = "server"


async def still_serves(
    backends: Backends,
    server: Server,
    max_calls: int = MAX_UNANSWERED,
    *,
    wants_calls: bool = True,
    leaves: bool = False,
) -> bool:
    """Returns whether a server can be reached as the instance that it was.

    Args:
        backends: calls it.
        server: its entry when the request was sent.
        max_calls: calls without an answer after which it counts as gone.
        wants_calls: whether it may be called; otherwise only a connection is opened.
        leaves: whether it leaves. A process that stops accepts no new connections, but may still
            answer on others, so a new one has to be accepted too.
    """
    reason = ""
    for _ in range(max_calls):
        try:
            if leaves or not wants_calls:
                await backends.probe(server)
            if wants_calls and not await backends.is_same_instance(server):
                reason = "another instance answers"
                break
            return True
        except ServerDownError as error:
            reason = error.message
            break
        except BackendError as error:
            reason = error.message
    log_info(Event.INSTANCE_GONE, server=server.server, error=reason)
    return False


class _Ends(msgspec.Struct):
    """Checked streams of one software version.

    Attributes:
        whole: streams that were whole.
        early: streams that went on.
        in_a_row: whole ones since the last that went on.
    """

    whole: float = 0.0
    early: float = 0.0
    in_a_row: int = 0


class ConnectionEnds:
    """How often streams that ended with their connection were whole, by software version."""

    def __init__(self) -> None:
        self._ends: OrderedDict[tuple[ServiceName, SoftwareVersion], _Ends] = OrderedDict()

    def _of(self, server: Server) -> _Ends:
        return self._ends.get((server.service, server.software)) or _Ends()

    def are_trusted(self, server: Server) -> bool:
        """Returns whether the last streams of a server's software were whole."""
        return self._of(server).in_a_row >= TRUSTED_ENDS

    def are_doubted(self, server: Server) -> bool:
        """Returns whether too many streams of a server's software went on."""
        ends = self._of(server)
        return ends.early * TRUSTED_ENDS > ends.whole

    def note(self, server: Server, *, whole: bool) -> None:
        """Records what a continuation has shown of a stream."""
        key = (server.service, server.software)
        ends = self._ends.setdefault(key, _Ends())
        ends.whole += whole
        ends.early += not whole
        ends.in_a_row = ends.in_a_row + 1 if whole else 0
        if ends.whole + ends.early > REMEMBERED_ENDS:
            ends.whole, ends.early = ends.whole / 2.0, ends.early / 2.0
        self._ends.move_to_end(key)
        if len(self._ends) > REMEMBERED_VERSIONS:
            self._ends.popitem(last=False)
