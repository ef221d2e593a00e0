"""Recognizes server entries that the store has brought back from an older copy."""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from medlarvale.forwarding.messages import Server
from medlarvale.ids import ServerId
from medlarvale.logs import Event, log_info

# Number of servers whose newest entry is remembered, listed or not.
REMEMBERED_SERVERS = 8_192


class _Held(msgspec.Struct):
    """An entry that is held back.

    Attributes:
        since_ms: monotonic time of the first check after it was read; None before.
    """

    server: Server
    since_ms: float | None = None


class OutdatedEntries:
    """Holds back entries that are older than what this host knows.

    A server writes its entry with a growing number of heartbeats, so one with fewer was written
    earlier. It is held back until the server has written again. If that takes longer than the entry
    of a lost server needs to lapse, the server is alive and the entry still holds.

    Args:
        lapse_ms: time after which the entry of a server that is gone has lapsed.
    """

    def __init__(self, lapse_ms: float) -> None:
        self._lapse_ms = lapse_ms
        # Start time and heartbeats of the newest entry.
        self._newest: OrderedDict[ServerId, tuple[int, int]] = OrderedDict()
        self._held: dict[ServerId, _Held] = {}

    def admit(self, server: Server, *, listed: bool) -> bool:
        """Returns whether an entry may be used now; holds it back otherwise.

        Args:
            server: the entry.
            listed: whether the server is listed; if its entry was removed, the same one is
                outdated too.
        """
        if not server.heartbeats:
            # The list of a peer of an earlier build does not tell the age of its entries.
            self._held.pop(server.server, None)
            return True
        age = (server.born_ms, server.heartbeats)
        newest = self._newest.get(server.server)
        if newest is None or age > newest or (age == newest and listed):
            self._record(server)
            return True
        held = self._held.setdefault(server.server, _Held(server))
        if held.server is server:
            log_info(Event.SERVER_ENTRY_OUTDATED, server=server.server, state=server.state.value)
        held.server = server
        return False

    def _record(self, server: Server) -> None:
        self._held.pop(server.server, None)
        self._newest[server.server] = (server.born_ms, server.heartbeats)
        self._newest.move_to_end(server.server)
        if len(self._newest) > REMEMBERED_SERVERS:
            self._newest.popitem(last=False)

    def forget(self, server: ServerId) -> None:
        """Drops an entry that is held back, because the store no longer lists it."""
        self._held.pop(server, None)

    def keep_only(self, listed: set[ServerId]) -> None:
        """Drops the entries that are held back and no longer listed."""
        self._held = {server: held for server, held in self._held.items() if server in listed}

    def take_valid(self, now_ms: float) -> list[Server]:
        """Returns the entries that have not lapsed in time, which hold after all."""
        valid = []
        for held in self._held.values():
            if held.since_ms is None:
                held.since_ms = now_ms
            elif now_ms - held.since_ms > self._lapse_ms:
                valid.append(held.server)
        for server in valid:
            self._record(server)
        return valid
