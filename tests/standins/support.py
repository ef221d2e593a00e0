"""Support for tests that run stand-ins in the test process and call them over real sockets."""

from __future__ import annotations

import asyncio
import json
import unittest
from collections.abc import Callable
from typing import Any

import aiohttp
import msgspec
from aiohttp import web

from medlarvale.ids import AttemptNumber, RequestId
from medlarvale.standins.engine import build_engine
from medlarvale.standins.engine_core import EngineSettings
from medlarvale.standins.engine_memory import HoldKey
from medlarvale.standins.engine_messages import EngineRole
from medlarvale.standins.engine_model import tokenize
from medlarvale.standins.serving import parse_address, serve

LOOPBACK = parse_address("127.0.0.1:0")
EVENT_TIMEOUT_S = 20.0  # a hang fails the test instead of blocking the run
EVENT_TIMEOUT = aiohttp.ClientTimeout(total=EVENT_TIMEOUT_S)
FREED_WITHIN_S = 0.2  # documented bound from a closed connection until its memory is free
LOAD_FIELDS = "role model slots slots_used pieces pieces_used queue_ms leaving epoch"
PROMPT = tokenize("which cleats are left in the depot " * 40)
KEY = {"request_id": "r1", "attempt": 1}
FAST = EngineSettings(
    *("e1", "slidsk-llm", EngineRole.PREFILL, "slidsk"),
    prefill_tokens_per_s=200_000,
    step_base_ms=1.0,
    step_per_request_ms=0.1,
    kv_bytes_per_token=1_000,
    report_lag_ms=0,
    cache_event_lag_ms=0,
    cache_event_gap=0,
)


def hold_key(request: str, attempt: int = 1) -> HoldKey:
    return HoldKey(RequestId(request), AttemptNumber(attempt))


def prefill_body(prompt: list[int], **changes: Any) -> dict[str, Any]:
    return {**KEY, "prompt_tokens": prompt, "model": "slidsk", **changes}


class Client:
    """HTTP client of one stand-in."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self.session = session
        self.address = address

    def post(self, path: str, body: dict[str, Any], **headers: str) -> Any:
        """Returns the context manager of a POST that has the headers for its attempt."""
        sent = {"X-Owner": "host-a/1", "X-Attempt": str(body.get("attempt", 0)), **headers}
        return self.session.post(self.address + path, json=body, headers=sent)

    async def call(self, path: str, body: dict[str, Any], status: int = 200) -> Any:
        """Returns the JSON answer to a POST and checks that its status is ``status``."""
        async with self.post(path, body) as response:
            answer = await response.json()
            assert response.status == status, f"{path}: {response.status} {answer}"
            return answer

    async def reserve(self, status: int = 200, **changes: Any) -> Any:
        body = {**KEY, "pieces": 1, "ttl_ms": 10_000, **changes}
        return await self.call("/v1/reserve", body, status)

    def decode(self, max_tokens: int, **changes: Any) -> Any:
        """Returns the context manager of a stream that starts at the first token of the answer."""
        return self.post("/v1/decode", {**KEY, "position": 0, "max_tokens": max_tokens, **changes})

    async def get(self, path: str) -> Any:
        async with self.session.get(self.address + path) as response:
            return await response.json()

    async def wait_until(self, path: str, condition: Callable[[Any], bool]) -> Any:
        """Reads ``path`` until its answer meets a condition, and returns this answer."""
        async with asyncio.timeout(EVENT_TIMEOUT_S):
            while not condition(answer := await self.get(path)):  # noqa: ASYNC110
                await asyncio.sleep(0.005)
        return answer

    async def wait_for_phases(self, *phases: str) -> None:
        await self.wait_until(
            "/v1/requests", lambda reports: [r["phase"] for r in reports] == [*phases]
        )


class StandinTestCase(unittest.IsolatedAsyncioTestCase):
    """Test case whose stand-ins run until the end of a test."""

    async def start(self, application: web.Application) -> Client:
        bound = await self.enterAsyncContext(serve(application, LOOPBACK))
        session = await self.enterAsyncContext(aiohttp.ClientSession(timeout=EVENT_TIMEOUT))
        return Client(session, f"http://{bound}")

    async def start_engine(self, role: str, **changes: Any) -> Client:
        """Starts a fast engine without lags and returns its client."""
        settings = msgspec.structs.replace(FAST, role=EngineRole(role), **changes)
        return await self.start(build_engine(settings))

    async def start_pair(self, **changes: Any) -> tuple[Client, Client]:
        prefill = await self.start_engine("prefill", **changes)
        return prefill, await self.start_engine("decode", **changes)

    async def assert_freed(self, client: Client) -> dict[str, Any]:
        """Checks that an engine frees its slots and KV blocks within the documented bound."""
        async with asyncio.timeout(FREED_WITHIN_S):
            return await client.wait_until(
                "/test/memory", lambda m: m["slots_used"] + m["pieces_used"] == 0
            )

    async def import_prompt(
        self, prefill: Client, decode: Client, **changes: Any
    ) -> dict[str, Any]:
        """Runs reservation, prefill and import of PROMPT; returns the answer of the prefill."""
        body = prefill_body(PROMPT, **changes)
        await decode.reserve(attempt=body["attempt"])
        answer = await prefill.call("/v1/prefill", body)
        source = {"source_address": prefill.address, "kv_handle": answer["kv_handle"]}
        await decode.call("/v1/import", {**KEY, "attempt": body["attempt"], **source})
        return answer

    async def read_tokens(self, response: aiohttp.ClientResponse, first: int) -> list[int]:
        """Returns the tokens of a stream up to ``done``; checks that its chunks have no gaps."""
        tokens: list[int] = []
        async for line in response.content:
            chunk = json.loads(line)
            assert chunk.get("i") == first + len(tokens), chunk
            tokens += chunk["tokens"]
            if chunk["done"]:
                return tokens
        raise AssertionError("the stream ended before its last chunk")
