"""Tests of requests in progress while a configuration removes their service."""

from __future__ import annotations

import asyncio
import json
import unittest
from typing import Any

from medlarvale.platform.standin import stream_body
from tests.forwarding.test_host import HostTestCase


class ChangedServicesTest(HostTestCase):
    async def replace_services(self, version: int, *services: dict[str, Any]) -> None:
        """Publishes a configuration whose routes stay and whose services are others."""
        config = json.loads(self.platform.store.items["op/config"][0])
        config |= {"Version": version, "Services": list(services)}
        await self.platform.store.put("op/config", config)
        await self.wait_until(lambda: self.version() == version)

    async def test_a_stream_goes_on_after_the_removal_of_its_service(self) -> None:
        """Guards against a stream that fails because the configuration in force, which is not the
        one it was accepted under, does not have its service, or not its engines."""
        plain = {"Name": "llm", "MaxConns": 360}
        table: list[tuple[str, list[dict[str, Any]]]] = [
            ("removed", []),
            ("without engines", [plain]),
        ]
        for name, services in table:
            with self.subTest(name):
                await self.asyncSetUp()
                await self.configure()
                engines = [self.servers[engine] for engine in ("d1", "d2")]
                for engine in engines:
                    engine.full = True
                waiting = asyncio.create_task(self._stream())
                await asyncio.sleep(0.2)
                await self.replace_services(2, {"Name": "app", "MaxConns": 100}, *services)
                await asyncio.sleep(0.2)
                for engine in engines:
                    engine.full = False
                self.assertEqual(await waiting, (200, stream_body("q1")))

    async def _stream(self) -> tuple[int, bytes]:
        async with self.call("/chat/1") as response:
            return response.status, await response.read()


if __name__ == "__main__":
    unittest.main()
