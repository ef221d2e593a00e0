"""Selects the servers of a peer's list that requests can be sent to."""

from __future__ import annotations

from collections.abc import Iterable

from medlarvale.forwarding.messages import Server, is_usable_address, is_usable_id
from medlarvale.ids import HostId
from medlarvale.logs import Event, log_warning

# Log lines name at most this much of an id.
MAX_SHOWN_CHARS = 100


def usable_servers(servers: Iterable[Server], peer: HostId) -> tuple[Server, ...]:
    """Returns the servers that requests can be sent to, and logs the others.

    Args:
        servers: what a peer lists.
        peer: the peer; one of an earlier build doesn't check the store's entries.
    """
    usable = []
    for server in servers:
        if is_usable_id(server.server) and is_usable_address(server.address):
            usable.append(server)
        else:
            log_warning(
                Event.PEER_SERVER_UNUSABLE,
                peer=peer,
                server=server.server[:MAX_SHOWN_CHARS],
                address=server.address[:MAX_SHOWN_CHARS],
            )
    return tuple(usable)
