"""Guards against misread host lists and unhandled platform failures."""

from __future__ import annotations

import json
import unittest

import aiohttp

from medlarvale.membership.errors import HostListError
from medlarvale.membership.servers import ServerState
from medlarvale.membership.source import PlatformHostListSource, decode_host_list
from medlarvale.settings.schema import PoolRole

HOST = {"host": "a", "peer_address": "tcp://a", "failure_domain": "d", "state": "leaving"}
SERVER = {
    "server": "s",
    "address": "http://s",
    "service": "chat",
    "pool": "p",
    "role": "decode",
    "failure_domain": "d",
    "state": "leaving",
}
LIST = {"version": 3, "entry_hosts": [HOST], "backend_servers": [SERVER]}


class HostListSourceTest(unittest.IsolatedAsyncioTestCase):
    def test_list_is_decoded(self) -> None:
        found = decode_host_list(json.dumps(LIST).encode())
        self.assertEqual((found.version, found.entry_hosts[0].host), (3, "a"))
        self.assertTrue(found.entry_hosts[0].leaving)
        server = found.backend_servers[0]
        self.assertEqual((server.role, server.state), (PoolRole.DECODE, ServerState.LEAVING))

    def test_malformed_data_is_rejected(self) -> None:
        unknown_state = {**LIST, "entry_hosts": [{**HOST, "state": "asleep"}]}
        deep = b'{"future":' + b"[" * 20_000 + b"]" * 20_000 + b"}"
        for data in (b"", b"{}", b"\xff", deep, json.dumps(unknown_state).encode()):
            with self.subTest(data=data[:40]), self.assertRaises(HostListError):
                decode_host_list(data)

    async def test_unreachable_platform_raises_host_list_error(self) -> None:
        async with aiohttp.ClientSession() as session:
            source = PlatformHostListSource(session, "http://127.0.0.1:1")
            with self.assertRaises(HostListError):
                await source.read()
