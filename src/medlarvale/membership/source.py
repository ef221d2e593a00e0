"""Sources of the host list: the platform over HTTP, or memory in tests."""

from __future__ import annotations

from typing import Any, Protocol

import aiohttp
import msgspec

from medlarvale.errors import DECODE_ERRORS
from medlarvale.ids import FailureDomain, HostId, ListVersion, PoolName, ServerId, ServiceName
from medlarvale.membership.errors import HostListError
from medlarvale.membership.messages import EntryHost, HostList
from medlarvale.membership.servers import BackendServer, ServerState
from medlarvale.settings.schema import PoolRole

READ_TIMEOUT_S = 2.0


class HostListSource(Protocol):
    """Reads the platform's list."""

    async def read(self) -> HostList:
        """Returns the current list of the platform.

        Raises:
            HostListError: if the list can't be read.
        """


class MemoryHostListSource:
    """In-memory replacement of the platform's list for tests."""

    def __init__(self, host_list: HostList) -> None:
        self.host_list = host_list

    async def read(self) -> HostList:
        """Returns the list that was set."""
        return self.host_list


class _WireHost(msgspec.Struct):
    host: str
    peer_address: str
    failure_domain: str
    state: ServerState


class _WireServer(msgspec.Struct):
    server: str
    address: str
    service: str
    pool: str
    role: PoolRole
    failure_domain: str
    state: ServerState


class _WireList(msgspec.Struct):
    version: int
    entry_hosts: list[_WireHost]
    backend_servers: list[_WireServer]


def decode_host_list(data: bytes) -> HostList:
    """Decodes a list from the platform's JSON format.

    Raises:
        HostListError: if the data is not in this format.
    """
    try:
        wire = msgspec.json.decode(data, type=_WireList)
    except DECODE_ERRORS as error:
        raise HostListError(f"host list: {error}") from error
    return HostList(
        ListVersion(wire.version),
        [
            EntryHost(
                HostId(entry.host),
                entry.peer_address,
                FailureDomain(entry.failure_domain),
                entry.state is ServerState.LEAVING,
            )
            for entry in wire.entry_hosts
        ],
        [
            BackendServer(
                ServerId(server.server),
                server.address,
                ServiceName(server.service),
                PoolName(server.pool),
                server.role,
                FailureDomain(server.failure_domain),
                server.state,
            )
            for server in wire.backend_servers
        ],
    )


class PlatformHostListSource:
    """Reads ``GET /hosts`` of the platform.

    Args:
        session: HTTP client session of the composition root.
        base_url: address of the platform, such as ``http://127.0.0.1:7000``.
    """

    def __init__(self, session: aiohttp.ClientSession, base_url: str) -> None:
        self._session = session
        self._url = base_url.rstrip("/") + "/hosts"

    async def read(self) -> HostList:
        """Returns the current list of the platform; see ``HostListSource.read``."""
        timeout: Any = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
        try:
            async with self._session.get(self._url, timeout=timeout) as response:
                if response.status != 200:
                    raise HostListError(
                        f"host list: the platform answered with HTTP status {response.status}"
                    )
                return decode_host_list(await response.read())
        except (aiohttp.ClientError, TimeoutError) as error:
            raise HostListError(f"host list: {type(error).__name__}: {error}") from error
