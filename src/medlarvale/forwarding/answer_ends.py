"""Decides whether an answer that ends with its connection is whole (RFC 9112, section 8).

The system closes the connections of a process that is killed in the same order as a process that
has written its whole answer. Without a length or chunks, only the server can tell the two apart.
"""

from __future__ import annotations

import enum
from collections import OrderedDict

from medlarvale.forwarding.errors import BackendError, ServerDownError
from medlarvale.forwarding.interface import Backends
from medlarvale.forwarding.messages import Server
from medlarvale.ids import ServiceName, SoftwareVersion
from medlarvale.logs import Event, log_info

# Streams in a row that have to turn out to be whole before the ends of a software's connections are
# trusted without a continuation of each stream.
TRUSTED_ENDS = 8
# Calls without an answer after which a server counts as gone. A sound server may be silent for
# about a second, which is less than the time limits of three calls.
MAX_UNANSWERED = 3
# Number of software versions whose ends are remembered.
REMEMBERED_VERSIONS = 256


class EndEvidence(enum.Enum):
    """What shows that an answer is whole."""

    # Its length, or its last chunk.
    FRAMING = "framing"
    # A run that continued the stream after its last event ended without another one.
    CONTINUATION = "continuation"
    # The server still answers as the instance that it was.
    SERVER = "server"


async def still_serves(backends: Backends, server: Server, max_calls: int = MAX_UNANSWERED) -> bool:
    """Returns whether a server can be reached as the instance that it was.

    Args:
        backends: calls it.
        server: its entry when the request was sent.
        max_calls: calls without an answer after which it counts as gone.
    """
    reason = ""
    for _ in range(max_calls):
        try:
            if server.stage is None:
                await backends.probe(server)
            elif not await backends.is_same_instance(server):
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


class ConnectionEnds:
    """How often streams that ended with their connection were whole, by software version."""

    def __init__(self) -> None:
        self._whole: OrderedDict[tuple[ServiceName, SoftwareVersion], int] = OrderedDict()

    def were_whole(self, server: Server, count: int) -> bool:
        """Returns whether at least so many last streams of a server's software were whole."""
        return self._whole.get((server.service, server.software), 0) >= count

    def note(self, server: Server, *, whole: bool) -> None:
        """Records what a continuation has shown of a stream."""
        key = (server.service, server.software)
        self._whole[key] = self._whole.get(key, 0) + 1 if whole else 0
        self._whole.move_to_end(key)
        if len(self._whole) > REMEMBERED_VERSIONS:
            self._whole.popitem(last=False)
