"""Runs stand-ins inside the test process and calls them over real sockets."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import aiohttp

from medlarvale.standins.engine import build_engine
from medlarvale.standins.engine_core import EngineSettings
from medlarvale.standins.engine_messages import EngineRole
from medlarvale.standins.serving import parse_address, serve

LOOPBACK = parse_address("127.0.0.1:0")
# A hang fails the test instead of the run.
EVENT_TIMEOUT_S = 20.0
OWNER = "host-a/1"


class Client:
    """Calls one stand-in."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self.session = session
        self.address = address

    def post(self, path: str, body: dict[str, Any], **headers: str) -> Any:
        """Returns the context manager of a POST with the headers of its attempt."""
        sent = {"X-Owner": OWNER, "X-Attempt": str(body.get("attempt", 0)), **headers}
        return self.session.post(self.address + path, json=body, headers=sent)

    async def call(self, path: str, body: dict[str, Any], status: int = 200) -> Any:
        """Returns the JSON answer to a POST, whose status has to be ``status``."""
        async with self.post(path, body) as response:
            text = await response.text()
            assert response.status == status, f"{path}: {response.status} {text}"
            return json.loads(text)

    async def get(self, path: str) -> Any:
        """Returns the JSON answer to a GET."""
        async with self.session.get(self.address + path) as response:
            return await response.json()

    async def wait_until(self, path: str, holds: Callable[[Any], bool]) -> Any:
        """Reads ``path`` until ``holds`` is true of the answer, and returns it."""
        async with asyncio.timeout(EVENT_TIMEOUT_S):
            while True:
                answer = await self.get(path)
                if holds(answer):
                    return answer
                await asyncio.sleep(0.005)


def settings(role: EngineRole, **changes: Any) -> EngineSettings:
    """Returns settings of a fast engine without lags."""
    values = {
        "prefill_tokens_per_s": 200_000,
        "step_base_ms": 1.0,
        "step_per_request_ms": 0.1,
        "kv_bytes_per_token": 1_000,
        "report_lag_ms": 0,
        "cache_event_lag_ms": 0,
        "cache_event_gap": 0,
        **changes,
    }
    return EngineSettings(f"{role.value}-1", "slidsk-llm", role, "slidsk", **values)


@asynccontextmanager
async def engine(role: EngineRole, **changes: Any) -> AsyncIterator[Client]:
    """Runs an engine and yields its client."""
    async with (
        serve(build_engine(settings(role, **changes)), LOOPBACK) as bound,
        aiohttp.ClientSession() as session,
    ):
        yield Client(session, f"http://{bound}")


@asynccontextmanager
async def engine_pair(**changes: Any) -> AsyncIterator[tuple[Client, Client]]:
    """Runs a prefill and a decode engine and yields their clients."""
    async with (
        engine(EngineRole.PREFILL, **changes) as prefill,
        engine(EngineRole.DECODE, **changes) as decode,
    ):
        yield prefill, decode


def prefill_body(request_id: str, prompt: list[int], attempt: int = 1, **more: Any) -> dict:
    """Returns the body of a prefill call."""
    return {
        "request_id": request_id,
        "attempt": attempt,
        "prompt_tokens": prompt,
        "model": "slidsk",
        **more,
    }


async def import_prompt(
    prefill: Client, decode: Client, body: dict[str, Any], pieces: int = 2
) -> dict[str, Any]:
    """Takes a prompt through reservation, prefill and import; returns the prefill's answer."""
    key = {"request_id": body["request_id"], "attempt": body["attempt"]}
    await decode.call("/v1/reserve", {**key, "pieces": pieces, "ttl_ms": 10_000})
    answer = await prefill.call("/v1/prefill", body)
    source = {"source_address": prefill.address, "kv_handle": answer["kv_handle"]}
    await decode.call("/v1/import", {**key, **source})
    return answer


async def read_tokens(response: aiohttp.ClientResponse, first: int) -> list[int]:
    """Returns the tokens of a stream, whose chunks have to be gapless, and ends at ``done``."""
    tokens: list[int] = []
    async for line in response.content:
        chunk = json.loads(line)
        assert "error" not in chunk, chunk
        assert chunk["i"] == first + len(tokens), chunk
        tokens += chunk["tokens"]
        if chunk["done"]:
            return tokens
    raise AssertionError("the stream ended without its last chunk")
