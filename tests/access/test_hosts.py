"""Tests of complete hosts with API keys, as callers and backend servers see them."""

from __future__ import annotations

from typing import Any

from structlog.testing import capture_logs

from tests.forwarding.test_host import HostTestCase

KEY = "k7b2-secret"
KEYED = {"Authorization": f"Token {KEY}"}
FORGED = {"X-Tenant": "other"}
WORKSPACES = [
    {"Name": "hule930", "ApiKeys": ["asnm-secret", KEY], "Priority": 0},
    {"Name": "other", "ApiKeys": ["o1-secret"]},
]
ROUTES = {"look": "safe app", "book": "unsafe app", "chat": "streaming llm", "open": "safe app"}
# Long enough for a watch of the store, short enough for a test to wait until it is over.
REVOKE_MS = 1_500.0


def identity_of(headers: Any) -> tuple[str | None, str | None]:
    """Returns the key and the workspace that a server received."""
    return headers.get("Authorization"), headers.get("X-Tenant")


class KeyedHostTest(HostTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.platform.workspaces = WORKSPACES
        self.platform.public_routes = frozenset({"open"})
        await self.configure(1, **ROUTES)

    def received(self, *paths: str) -> set[tuple[str | None, str | None]]:
        """Returns the identities that servers received with requests to some paths."""
        return {
            identity_of(headers)
            for server in self.servers.values()
            for path, headers in server.heads
            if path.startswith(paths)
        }

    async def test_servers_get_the_workspace_and_never_a_key(self) -> None:
        """Guards against a key, or a workspace that a caller names, at a server (KEY, TENANT)."""
        table: list[tuple[str, dict[str, str], int, set[tuple[str | None, str | None]]]] = [
            ("/look/1", KEYED | FORGED, 200, {(None, "hule930")}),
            ("/book/1", {"authorization": f"tOKEN   {KEY}"}, 200, {(None, "hule930")}),
            ("/chat/1", KEYED | FORGED, 200, {(None, "hule930")}),
            ("/open/1", KEYED | FORGED, 200, {(None, None)}),
            ("/open/2", {}, 200, {(None, None)}),
            ("/look/2", FORGED, 401, set()),
            ("/look/3", {"Authorization": "Token wrong-secret"}, 401, set()),
            ("/look/4", {"Authorization": f"Bearer {KEY}"}, 401, set()),
            ("/look/5", {"Authorization": "Token "}, 401, set()),
        ]
        with capture_logs() as logged:
            for number, (path, headers, status, identities) in enumerate(table):
                with self.subTest(path, headers=headers):
                    async with self.call(path, f"q{number}", headers=headers) as response:
                        text = await response.text()
                        self.assertEqual(response.status, status)
                        self.assertNotIn("secret", text + repr(response.headers))
                    self.assertEqual(self.received(path), identities)
        self.assertEqual(self.servers["p1"].prefills, 1)
        self.assertNotIn("secret", repr(logged))
        self.assertNotIn("secret", self.host.metrics.render().decode())
        held = [head for server in self.servers.values() for head in server.heads]
        self.assertNotIn("secret", repr(held))

    async def test_repeats_and_resumed_streams_carry_the_workspace(self) -> None:
        """Guards against a key or a missing workspace on the second server of a request."""
        for name in ("d1", "d2"):
            self.servers[name].break_after = 3
        async with self.call("/chat/9", "q9", headers=KEYED | FORGED) as response:
            await response.read()
        runs = [name for name, server in self.servers.items() if "q9" in server.runs]
        self.assertGreater(self.platform.runs()["q9"], 1, runs)
        self.assertEqual(self.received("/chat/9"), {(None, "hule930")})

    async def test_without_workspaces_the_headers_are_ordinary(self) -> None:
        self.platform.workspaces = []
        await self.configure(2, **ROUTES)
        for path in ("/look/1", "/chat/1"):
            with self.subTest(path):
                self.assertEqual(await self.status(path, headers=KEYED | FORGED), 200)
                self.assertEqual(self.received(path), {(KEYED["Authorization"], "other")})

    async def test_keys_follow_the_configuration(self) -> None:
        """Guards against a removed key that is accepted, and an added one that is refused."""
        self.assertEqual(await self.status("/look/1", headers=KEYED), 200)
        self.platform.workspaces = [{"Name": "hule930", "ApiKeys": ["new-secret"]}]
        await self.configure(2, **ROUTES)
        self.assertEqual(await self.status("/look/2", headers=KEYED), 401)
        added = {"Authorization": "Token new-secret"}
        self.assertEqual(await self.status("/look/3", headers=added), 200)
