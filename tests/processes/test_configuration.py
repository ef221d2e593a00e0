"""Propagation of settings versions to all hosts."""

from __future__ import annotations

import asyncio
import copy
import json
import signal
import time
from typing import Any

import msgspec

from medlarvale.demo import new_booking_key
from scripts.deployment import Node
from tests.processes.support import AUTHORIZED, MODEL, ProcessTestCase

IN_FORCE_S = 3.0  # sentence 8 of docs/design.md, section 1.2
CONFIG_REJECTED = 2002
TIGHT_OUTPUT_TOKENS = 30


class ConfigurationTest(ProcessTestCase):
    def tree(self) -> dict[str, Any]:
        """Returns a copy of the initial tree."""
        decoded: dict[str, Any] = msgspec.json.decode(self.shared.tree_file.read_bytes())
        return copy.deepcopy(decoded)

    async def publish(self, tree: dict[str, Any]) -> float:
        """Publishes a tree under the next version and returns the time of publication."""
        await self.shared.run(self.deployment.publish({"kind": "publish_tree", "tree": tree}))
        return time.monotonic()

    async def set_down(self, down: bool) -> None:
        await self.shared.run(self.deployment.publish({"kind": "set_faults", "down": down}))

    async def accepts_tokens(self, host: Node, tokens: int) -> bool:
        """Returns whether the limit of a host admits an answer of this length."""
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": "how long may an answer be"}],
            "max_tokens": tokens,
        }
        url = f"{host.address}/v1/chat/completions"
        async with self.session.post(url, json=body, headers=AUTHORIZED) as response:
            await response.read()
            self.assertIn(response.status, (200, 400))
            return response.status == 200

    async def await_limit(self, tokens: int) -> None:
        """Waits until all hosts refuse answers longer than ``tokens``."""

        async def in_force() -> bool:
            answers = [self.accepts_tokens(host, tokens + 1) for host in self.hosts]
            return not any(await asyncio.gather(*answers))

        await self.eventually(in_force)

    def events(self, number: int) -> list[dict[str, Any]]:
        lines = self.shared.log_file.read_text().splitlines()
        entries = [json.loads(line) for line in lines if line.startswith("{")]
        return [entry for entry in entries if entry.get("event_number") == number]

    async def test_a_valid_version_is_in_force_everywhere_in_time(self) -> None:
        # Guards against hosts that receive a version late or never.
        for host in self.hosts:
            self.assertTrue(await self.accepts_tokens(host, TIGHT_OUTPUT_TOKENS + 1))
        tree = self.tree()
        tree["values"]["max_output_tokens"] = TIGHT_OUTPUT_TOKENS
        published_s = await self.publish(tree)
        await self.await_limit(TIGHT_OUTPUT_TOKENS)
        self.assertLessEqual(time.monotonic() - published_s, IN_FORCE_S)
        for host in self.hosts:
            self.assertTrue(await self.accepts_tokens(host, TIGHT_OUTPUT_TOKENS))

    async def test_b_bad_version_changes_nothing_and_is_logged(self) -> None:
        # Guards against an invalid version that is partly applied or rejected without a log entry.
        tree = self.tree()
        tree["values"]["max_output_tokens"] = 10
        tree["values"]["retry_budget_percent"] = 1_000
        tree["services"]["comptoir"]["retry_policy"] = "no-such-policy"
        await self.publish(tree)

        async def rejected() -> bool:
            return bool(self.events(CONFIG_REJECTED))

        await self.eventually(rejected)
        logged = json.dumps(self.events(CONFIG_REJECTED))
        self.assertIn("retry_budget_percent", logged)
        self.assertIn("no-such-policy", logged)
        for host in self.hosts:
            self.assertTrue(await self.accepts_tokens(host, TIGHT_OUTPUT_TOKENS))
            self.assertFalse(await self.accepts_tokens(host, TIGHT_OUTPUT_TOKENS + 1))

    async def test_c_later_valid_version_comes_into_force(self) -> None:
        # Guards against a rejected version that blocks later ones.
        tree = self.tree()
        tree["values"]["max_output_tokens"] = TIGHT_OUTPUT_TOKENS - 5
        published_s = await self.publish(tree)
        await self.await_limit(TIGHT_OUTPUT_TOKENS - 5)
        self.assertLessEqual(time.monotonic() - published_s, IN_FORCE_S)

    async def test_d_host_that_restarts_without_the_platform_learns_from_its_peers(self) -> None:
        # Guards against a restarted host that serves no requests, or serves an older version,
        # until the platform is available again.
        await self.await_bookings()
        await self.set_down(True)
        try:
            victim = self.hosts[0]
            victim.signal(signal.SIGKILL)
            await self.shared.run(victim.wait())
            node = await self.shared.run(self.deployment.start_entry_host(victim.name))
            await self.shared.run(self.deployment.await_ready(node))
            self.assertFalse(await self.accepts_tokens(node, TIGHT_OUTPUT_TOKENS))
            await self.assert_chat(node, self.prompt(100), 20)
            self.assertEqual(await self.lookup(node), 200)
            key = new_booking_key()
            await self.await_bookings(node)
            self.assertEqual((await self.book(node, key)).outcome, "answered")
        finally:
            await self.set_down(False)
