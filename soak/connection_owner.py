"""Which host has opened a connection on loopback, as Linux tells it."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress

from medlarvale.ids import HostId

# Constants of linux/netlink.h and linux/sock_diag.h.
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
# struct nlmsghdr and inet_diag_req_v2; type and inode in nlmsghdr and inet_diag_msg.
REQUEST = struct.Struct("=IHHIIBBBBI2s2s16s16sIII")
ANSWER = struct.Struct("=4xH10x4x48x16xI")
ANY = 0xFFFFFFFF
ANSWER_BYTES = 8_192
SOCKET_FILE = "socket:[{}]"
# Time for which connections are gathered before the files of all processes are listed.
GATHERING_S = 0.02


class ConnectionOwners:
    """Hosts at the other ends of many connections, which are looked for together.

    Args:
        processes: returns the hosts and the ids of their processes.
    """

    def __init__(self, processes: Callable[[], Iterable[tuple[HostId, int]]]) -> None:
        self._processes = processes
        self._search: asyncio.Task[dict[str, HostId]] | None = None

    async def find(self, transport: asyncio.BaseTransport) -> HostId | None:
        """Returns the host at the other end of a connection; None if it is none of them."""
        inode = _inode_of_connection(transport)
        if inode is None:
            return None
        if self._search is None:
            self._search = asyncio.create_task(self._find_all())
        owners = await asyncio.shield(self._search)
        return owners.get(SOCKET_FILE.format(inode))

    async def _find_all(self) -> dict[str, HostId]:
        await asyncio.sleep(GATHERING_S)
        self._search = None
        return await asyncio.to_thread(_owners_of_sockets, list(self._processes()))


def _owners_of_sockets(processes: Iterable[tuple[HostId, int]]) -> dict[str, HostId]:
    return {link: host for host, process in processes for link in _open_files(process)}


def host_of_connection(
    transport: asyncio.BaseTransport, processes: Iterable[tuple[HostId, int]]
) -> HostId | None:
    """Returns the host at the other end of a connection; None if it is none of them.

    Args:
        processes: hosts and the ids of their processes.
    """
    inode = _inode_of_connection(transport)
    for host, process in processes:
        if inode is not None and SOCKET_FILE.format(inode) in _open_files(process):
            return host
    return None


def _inode_of_connection(transport: asyncio.BaseTransport) -> int | None:
    ends = transport.get_extra_info("peername"), transport.get_extra_info("sockname")
    return _inode_of_socket(*ends) if all(ends) else None


def _inode_of_socket(local: tuple[str, int], peer: tuple[str, int]) -> int | None:
    """Returns the inode of the socket of a TCP connection, by its addresses.

    A query for one socket takes no longer on a machine with many of them, as /proc/net/tcp does.
    """
    request = REQUEST.pack(
        *(REQUEST.size, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 0, 0),
        *(socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ANY),
        *(port.to_bytes(2, "big") for _, port in (local, peer)),
        *(socket.inet_aton(ip) for ip, _ in (local, peer)),
        *(0, ANY, ANY),
    )
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as query:
        query.send(request)
        answer = query.recv(ANSWER_BYTES)
    # The answer for a connection that is gone is a short one.
    kind, inode = ANSWER.unpack_from(answer) if len(answer) >= ANSWER.size else (0, None)
    return inode if kind == SOCK_DIAG_BY_FAMILY else None


def _open_files(process: int) -> Iterator[str]:
    folder = f"/proc/{process}/fd"
    # The process may have ended, or have closed a file meanwhile.
    with suppress(OSError):
        for file in os.listdir(folder):
            with suppress(OSError):
                yield os.readlink(f"{folder}/{file}")
