"""Demonstration load: sends long prompts and bookings to a running deployment and checks them.

It starts no process. Every answer is compared with the expected answer of the stand-in model, and
every booking outcome with the runs that the plain services report.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import secrets
import time
import uuid
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import msgspec
from hdrh.histogram import HdrHistogram

from medlarvale.errors import Outcome
from medlarvale.standins.engine_model import ChatMessage, chat_prompt, expected_answer, token_text

WORDS = (
    *("cleat", "fan", "ceiling", "beam", "damp", "report", "pair"),
    *("strap", "motor", "blade", "farm", "slate", "van", "depot"),
)
MAX_TTFT_MS = 60_000
TTFT_TARGET_MS = 1_900.0
TBT_TARGET_MS = 73.0
DONE_LINE = b"data: [DONE]"
DATA_PREFIX = b"data: "
BOOKING_REPEATS = 3
SETTLE_MS = 3_000


@dataclass(frozen=True)
class DemoTargets:
    """Addresses and names of the deployment that receives the load.

    Attributes:
        entry_hosts: base URLs of callers' interfaces.
        engines: base URLs of the stand-in engines, queried for memory in use.
        plain: base URLs of the stand-in plain servers, queried for the bookings that they ran.
    """

    entry_hosts: list[str]
    engines: list[str]
    plain: list[str]
    model: str
    plain_service: str
    api_keys: list[str]


@dataclass
class DemoFigures:
    """Counts and latencies as seen by the callers."""

    requests: int = 0
    answered: int = 0
    within_targets: int = 0
    disconnected: int = 0
    wrong_answers: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    failed: Counter[str] = field(default_factory=Counter)
    bookings: int = 0
    booking_outcomes: Counter[str] = field(default_factory=Counter)
    differing_answers: int = 0
    ttft_us: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))
    booking_us: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 100_000_000, 3))
    reported_not_run: set[str] = field(default_factory=set)
    reported_answered: set[str] = field(default_factory=set)


@dataclass
class DemoResult:
    """Figures of the callers, together with those of the servers."""

    figures: DemoFigures
    runs: dict[str, int]
    slots_held: int
    kv_blocks_held: int
    kv_handles_held: int
    prefill_ms: float
    wasted_prefill_ms: float
    unreachable_servers: int

    @property
    def run_twice(self) -> int:
        """Bookings that ran more than once."""
        return sum(1 for count in self.runs.values() if count > 1)

    @property
    def wrong_not_run(self) -> int:
        """Bookings that ran although a caller received the outcome ``not_run``."""
        return sum(1 for key in self.figures.reported_not_run if self.runs.get(key, 0) > 0)

    @property
    def answered_without_run(self) -> int:
        """Bookings reported as answered that no reachable server ran."""
        return sum(1 for key in self.figures.reported_answered if self.runs.get(key, 0) == 0)

    @property
    def passed(self) -> bool:
        """Whether requests and bookings succeeded without a violated guarantee."""
        faults = (
            self.run_twice,
            self.wrong_not_run,
            self.figures.wrong_answers,
            self.figures.differing_answers,
            self.slots_held,
            self.kv_blocks_held,
        )
        return not any(faults) and self.figures.answered > 0 and bool(self.runs)


def new_booking_key() -> str:
    """Returns a UUIDv7 (RFC 9562) as idempotency key of a new booking."""
    now_ms = time.time_ns() // 1_000_000
    value = (now_ms << 80) | (7 << 76) | (secrets.randbits(12) << 64) | (2 << 62)
    return str(uuid.UUID(int=value | secrets.randbits(62)))


class DemoLoad:
    """Callers that send prompts and bookings for a given time.

    Args:
        targets: the deployment; the lists in it may change while the load runs.
        seed: seed of the random prompts, pauses and disconnects.
    """

    def __init__(self, targets: DemoTargets, seed: int) -> None:
        self.targets = targets
        self.figures = DemoFigures()
        self._random = random.Random(seed)
        self._session: aiohttp.ClientSession | None = None

    async def run(self, duration_s: float, callers: int, bookers: int) -> DemoFigures:
        """Runs the callers for ``duration_s``; returns when the last one has its answer."""
        end_s = time.monotonic() + duration_s
        timeout = aiohttp.ClientTimeout(total=MAX_TTFT_MS / 1000.0)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
            self._session = session
            await asyncio.gather(
                *(self._call_models(end_s, number) for number in range(callers)),
                *(self._send_bookings(end_s, number) for number in range(bookers)),
            )
        return self.figures

    async def _call_models(self, end_s: float, number: int) -> None:
        while time.monotonic() < end_s:
            await asyncio.sleep(self._random.expovariate(2.0))
            words = self._random.randint(800, 6_000)
            prompt = " ".join(self._random.choices(WORDS, k=words))
            disconnect = self._random.random() < 0.1
            await self._call_model(number, prompt, self._random.randint(20, 80), disconnect)

    async def _call_model(
        self, number: int, prompt: str, max_tokens: int, disconnect: bool
    ) -> None:
        assert self._session is not None
        self.figures.requests += 1
        body = {
            "model": self.targets.model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": True,
        }
        url = f"{self._random.choice(self.targets.entry_hosts)}/v1/chat/completions"
        headers = self._headers(number)
        started_s = time.monotonic()
        try:
            async with self._session.post(url, json=body, headers=headers) as response:
                if response.status != 200:
                    self._count_error(await response.read(), self.figures.refused)
                    return
                await self._read_stream(response, prompt, max_tokens, disconnect, started_s)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.figures.failed[type(error).__name__] += 1

    async def _read_stream(
        self,
        response: aiohttp.ClientResponse,
        prompt: str,
        max_tokens: int,
        disconnect: bool,
        started_s: float,
    ) -> None:
        first_s = last_s = 0.0
        text, complete = "", False
        async for line in response.content:
            if line.startswith(DONE_LINE):
                complete = True
                break
            if not line.startswith(DATA_PREFIX):
                continue
            event = msgspec.json.decode(line[len(DATA_PREFIX) :])
            if "error" in event:
                self.figures.failed[event["error"]["code"]] += 1
                return
            content = _content_of(event)
            if content:
                first_s, last_s = first_s or time.monotonic(), time.monotonic()
                text += content
            if disconnect and text.count(" w") > 5:
                self.figures.disconnected += 1
                return
        self._check_answer(text, prompt, max_tokens, complete)
        # A chunk carries several tokens, so the time between chunks is divided among them.
        tokens = max(1, text.count(" w"))
        ttft_ms = (first_s - started_s) * 1000.0
        tbt_ms = (last_s - first_s) * 1000.0 / tokens
        self.figures.ttft_us.record_value(max(1, int(ttft_ms * 1000)))
        if complete and ttft_ms <= TTFT_TARGET_MS and tbt_ms <= TBT_TARGET_MS:
            self.figures.within_targets += 1

    def _check_answer(self, text: str, prompt: str, max_tokens: int, complete: bool) -> None:
        tokens = expected_answer(chat_prompt([ChatMessage("user", prompt)]), max_tokens)
        expected = "".join(token_text(token) for token in tokens)
        if not complete:
            # The connection ended without an error event: the caller has an incomplete answer.
            self.figures.failed["stream cut"] += 1
        elif text.strip() != expected.strip():
            self.figures.wrong_answers += 1
        else:
            self.figures.answered += 1

    async def _send_bookings(self, end_s: float, number: int) -> None:
        while time.monotonic() < end_s:
            await asyncio.sleep(self._random.expovariate(8.0))
            key = new_booking_key()
            self.figures.bookings += 1
            answers = set()
            repeats = self._random.choice([1, 1, 2, BOOKING_REPEATS])
            for _ in range(repeats):
                sent_s = time.monotonic()
                outcome, body = await self._send_booking(key, number)
                taken_us = int((time.monotonic() - sent_s) * 1_000_000)
                self.figures.booking_us.record_value(max(1, taken_us))
                if outcome == Outcome.ANSWERED.value:
                    answers.add(body)
                    self.figures.reported_answered.add(key)
                elif outcome == Outcome.NOT_RUN.value:
                    self.figures.reported_not_run.add(key)
                self.figures.booking_outcomes[outcome] += 1
            if len(answers) > 1:
                self.figures.differing_answers += 1

    async def _send_booking(self, key: str, number: int) -> tuple[str, bytes]:
        assert self._session is not None
        host = self._random.choice(self.targets.entry_hosts)
        url = f"{host}/services/{self.targets.plain_service}/bookings"
        headers = {"Idempotency-Key": key, **self._headers(number)}
        try:
            async with self._session.post(
                url, json={"pair": number, "key": key}, headers=headers
            ) as response:
                body = await response.read()
                return response.headers.get("X-Outcome", "missing"), body
        except (aiohttp.ClientError, TimeoutError, OSError):
            return "connection lost", b""

    def _headers(self, number: int) -> dict[str, str]:
        keys = self.targets.api_keys
        return {"Authorization": f"Bearer {keys[number % len(keys)]}"}

    def _count_error(self, body: bytes, counter: Counter[str]) -> None:
        try:
            counter[msgspec.json.decode(body)["error"]["code"]] += 1
        except (msgspec.MsgspecError, KeyError, TypeError):
            counter["malformed error"] += 1


def _content_of(event: dict[str, Any]) -> str:
    choices = event.get("choices") or []
    content: str = choices[0].get("delta", {}).get("content") or "" if choices else ""
    return content


async def collect(targets: DemoTargets, figures: DemoFigures) -> DemoResult:
    """Queries all stand-ins for the bookings that they ran and the memory in use."""
    result = DemoResult(figures, {}, 0, 0, 0, 0.0, 0.0, 0)
    timeout = aiohttp.ClientTimeout(total=5.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for address in targets.plain:
            answer = await _read_json(session, f"{address}/test/runs")
            if answer is None:
                result.unreachable_servers += 1
                continue
            for key, count in answer["runs"].items():
                result.runs[key] = result.runs.get(key, 0) + count
        for address in targets.engines:
            answer = await _read_json(session, f"{address}/test/memory")
            if answer is None:
                result.unreachable_servers += 1
                continue
            result.slots_held += answer["slots_used"]
            result.kv_blocks_held += answer["pieces_used"]
            result.kv_handles_held += answer["kv_handles"]
            result.prefill_ms += answer["prefill_ms"]
            result.wasted_prefill_ms += answer["wasted_prefill_ms"]
    return result


async def _read_json(session: aiohttp.ClientSession, url: str) -> dict[str, Any] | None:
    try:
        async with session.get(url) as response:
            decoded: dict[str, Any] = msgspec.json.decode(await response.read())
            return decoded
    except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError):
        return None


def describe(result: DemoResult) -> str:
    """Returns the result as text for a terminal."""
    figures = result.figures
    finished = figures.requests - figures.disconnected
    goodput = figures.within_targets / finished if finished else 0.0
    wasted = result.wasted_prefill_ms / result.prefill_ms if result.prefill_ms else 0.0
    histogram = figures.ttft_us
    bookings = figures.booking_us
    lines = [
        f"model requests            {figures.requests}"
        f" ({figures.disconnected} disconnected on purpose)",
        f"complete answers          {figures.answered}",
        f"refused, not run          {dict(figures.refused)}",
        f"ended with an error       {dict(figures.failed)}",
        f"wrong answers             {figures.wrong_answers}",
        f"goodput                   {goodput:.1%} within both latency targets",
        "time to first token       "
        f"p50 {histogram.get_value_at_percentile(50) / 1000.0:.0f} ms, "
        f"p95 {histogram.get_value_at_percentile(95) / 1000.0:.0f} ms",
        f"wasted prefill            {wasted:.2%} of {result.prefill_ms:.0f} ms"
        f" ({result.unreachable_servers} servers down and not counted)",
        f"bookings                  {figures.bookings}, outcomes of all sends"
        f" {dict(figures.booking_outcomes)}",
        "time of a booking         "
        f"p50 {bookings.get_value_at_percentile(50) / 1000.0:.1f} ms, "
        f"p99 {bookings.get_value_at_percentile(99) / 1000.0:.0f} ms, "
        f"longest {bookings.get_max_value() / 1000.0:.0f} ms",
        f"bookings run twice        {result.run_twice}",
        f"run despite not_run       {result.wrong_not_run}",
        f"differing answers         {figures.differing_answers}",
        f"memory still in use       {result.kv_blocks_held} KV blocks, {result.slots_held} slots,"
        f" {result.kv_handles_held} KV handles",
    ]
    return "\n".join(lines)


def add_commands(subparsers: Any) -> None:
    """Adds ``medlarvale demo``."""
    parser = subparsers.add_parser("demo", help="send the demonstration load to a deployment")
    for name, purpose in [
        ("entry-hosts", "base URLs of callers' interfaces"),
        ("engines", "base URLs of stand-in engines"),
        ("plain", "base URLs of stand-in plain servers"),
        ("api-keys", "API keys of the callers"),
    ]:
        parser.add_argument(
            f"--{name}",
            required=True,
            type=lambda text: text.split(","),
            help=f"{purpose}, separated by commas",
        )
    parser.add_argument("--model", required=True, help="model name of the requests")
    parser.add_argument("--plain-service", required=True, help="service of the bookings")
    parser.add_argument("--duration-s", type=float, default=20.0)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--bookers", type=int, default=6)
    parser.add_argument("--seed", type=int, default=1)
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Sends the load and prints the result; returns 1 if it shows a fault."""
    targets = DemoTargets(
        options.entry_hosts,
        options.engines,
        options.plain,
        options.model,
        options.plain_service,
        options.api_keys,
    )
    return asyncio.run(_run(targets, options))


async def _run(targets: DemoTargets, options: argparse.Namespace) -> int:
    load = DemoLoad(targets, options.seed)
    figures = await load.run(options.duration_s, options.callers, options.bookers)
    await asyncio.sleep(SETTLE_MS / 1000.0)
    result = await collect(targets, figures)
    print(describe(result))
    return 0 if result.passed else 1
