"""Request rates that backend servers in trouble name as the most they take; without I/O."""

from __future__ import annotations

from medlarvale.forwarding.messages import Server
from medlarvale.ids import ServerId
from medlarvale.logs import Event, log_info


class ServerLimits:
    """The limits that servers have named, for all hosts together."""

    def __init__(self) -> None:
        self._limits_per_s: dict[ServerId, float] = {}

    def note(self, server: Server, limit_per_s: float | None) -> None:
        """Records what an answer of a server says.

        Args:
            server: the server.
            limit_per_s: the limit that it names; None if it names none.
        """
        known = self._limits_per_s.get(server.server)
        if limit_per_s != known:
            log_info(Event.LIMIT_CHANGED, server=server.server, limit_per_s=limit_per_s)
        if limit_per_s is None:
            self._limits_per_s.pop(server.server, None)
        else:
            self._limits_per_s[server.server] = limit_per_s
