"""Times for which backend servers want no requests after they have turned one away; without I/O."""

from __future__ import annotations

from collections import OrderedDict

from medlarvale.forwarding.messages import Server
from medlarvale.forwarding.outdated_entries import REMEMBERED_SERVERS
from medlarvale.ids import ServerId
from medlarvale.logs import Event, log_info, log_warning

# A server that asks for longer gets a request after this time, and may ask again.
MAX_WAIT_MS = 60_000.0


class ServerWaits:
    """What each incarnation of a server (its id and start) has asked for."""

    def __init__(self) -> None:
        self._until_ms: OrderedDict[tuple[ServerId, int], float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._until_ms)

    def note(self, server: Server, asked_ms: float, now_ms: float) -> None:
        """Records that a server wants no requests for a time.

        Args:
            server: its entry when it was called.
            asked_ms: the time, which may be infinite.
            now_ms: monotonic time.
        """
        wait_ms = min(asked_ms, MAX_WAIT_MS)
        if wait_ms < asked_ms:
            log_warning(Event.SERVER_WAIT_INVALID, server=server.server, error=f"{asked_ms:g} ms")
        if wait_ms <= 0.0:
            return
        incarnation = (server.server, server.born_ms)
        until_ms = self._until_ms.get(incarnation)
        if until_ms is None:
            log_info(Event.SERVER_WAIT_BEGAN, server=server.server, wait_ms=int(wait_ms))
            if len(self._until_ms) >= REMEMBERED_SERVERS:
                self._until_ms.popitem(last=False)
        # Requests that were under way may be answered with what is left of the time.
        self._until_ms[incarnation] = max(until_ms or now_ms, now_ms + wait_ms)

    def left_ms(self, server: Server, now_ms: float) -> float:
        """Returns the rest of the time for which a server wants no requests; 0 if it takes them."""
        until_ms = self._until_ms.get((server.server, server.born_ms), now_ms)
        return max(0.0, until_ms - now_ms)

    def end_expired(self, now_ms: float) -> None:
        """Forgets the times that are over."""
        for incarnation, until_ms in list(self._until_ms.items()):
            if until_ms <= now_ms:
                del self._until_ms[incarnation]
                log_info(Event.SERVER_WAIT_ENDED, server=incarnation[0])

    def forget_unknown_start(self, server: ServerId) -> None:
        """Forgets a removed server whose next incarnation could not be told apart from it."""
        self._until_ms.pop((server, 0), None)
