"""Ports that are held for processes that will listen on them."""

from __future__ import annotations

import random
import socket
from contextlib import suppress

# Below the ports that systems choose for outgoing connections.
PORTS = (10_240, 32_768)
TRIED_PORTS = 100


class HeldPort:
    """A port that nobody else takes, while processes that are told of it can listen on it.

    It stays bound without listening. Linux lets others listen on such a port if they set
    SO_REUSEADDR, as servers do, but gives it to no connection, and to nobody who looks for a free
    port as this class does.

    Args:
        ip: its IP address.

    Raises:
        OSError: if no port is free.
    """

    def __init__(self, ip: str) -> None:
        self._socket = _bind(ip)
        self.number: int = self._socket.getsockname()[1]
        self.address = f"{ip}:{self.number}"
        # Set only now: with it, the port of another holder would have counted as free.
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)

    def release(self) -> None:
        """Gives the port up."""
        self._socket.close()


def _bind(ip: str) -> socket.socket:
    for port in random.sample(range(*PORTS), TRIED_PORTS):
        holder = socket.socket()
        with suppress(OSError):
            holder.bind((ip, port))
            return holder
        holder.close()
    raise OSError("no port is free")
