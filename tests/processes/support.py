"""Support for tests against a deployment of real processes, which the tests of a class share."""

from __future__ import annotations

import asyncio
import random
import tempfile
import threading
import time
import unittest
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any, ClassVar, TypeVar

import aiohttp
import msgspec

from medlarvale.demo import new_booking_key
from medlarvale.standins.engine_model import ChatMessage, chat_prompt, expected_answer, token_text
from scripts.deployment import REPOSITORY, Deployment, DeploymentPlan, Node, post

SEED = 20_261_204
# A hang fails the test instead of blocking the run; no assertion depends on this limit.
EVENT_LIMIT_S = 30.0
POLL_S = 0.02
API_KEY = "demo-key-ventilo-leon"
AUTHORIZED = {"Authorization": f"Bearer {API_KEY}"}
MODEL = "redacteur"
FAST_ENGINES = ["--step-base-ms", "5", "--step-per-request-ms", "0.2"]

ResultT = TypeVar("ResultT")


@dataclass
class ChatAnswer:
    """The part of an answer that a caller has read.

    Attributes:
        code: code of the error that ended the answer, or "".
        complete: whether the answer ended with ``[DONE]``.
    """

    text: str = ""
    complete: bool = False
    code: str = ""


@dataclass(frozen=True)
class BookingAnswer:
    """Outcome header, error code (or "") and body of the answer to a booking."""

    outcome: str
    code: str
    body: bytes


def expected_text(prompt: str, max_tokens: int) -> str:
    """Returns the complete answer of the stand-in model to a chat with one message."""
    tokens = expected_answer(chat_prompt([ChatMessage("user", prompt)]), max_tokens)
    return "".join(token_text(token) for token in tokens).strip()


class SharedDeployment:
    """A deployment whose processes belong to an event loop in a separate thread.

    A process is bound to the event loop that started it, and each test has its own event loop.
    """

    def __init__(self, plan: DeploymentPlan, prefill_workers: int = 1) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.tree_file = self.write_tree(Path(self._folder.name), prefill_workers)
        plan.tree_file = self.tree_file
        self.log_file = Path(self._folder.name) / "deployment.log"
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self.deployment = Deployment(plan, self.log_file)

    @staticmethod
    def write_tree(folder: Path, prefill_workers: int) -> Path:
        """Writes a copy of the example tree with this number of engines in each prefill pool."""
        example = REPOSITORY / "examples" / "ventilo-breizh.yaml"
        tree = msgspec.yaml.decode(example.read_bytes())
        for domain in tree["regions"]["bretagne"]["failure_domains"].values():
            pools = domain["services"]["redacteur"]["pools"]
            if "prefill" in pools:
                pools["prefill"]["workers"] = prefill_workers
        file = folder / "tree.json"
        file.write_bytes(msgspec.json.encode(tree))
        return file

    def start(self) -> None:
        self._wait(self.deployment.start())

    def stop(self) -> None:
        self._wait(self.deployment.stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()
        self._folder.cleanup()

    async def run(self, coroutine: Coroutine[Any, Any, ResultT]) -> ResultT:
        """Runs a coroutine of the deployment in the event loop of the deployment."""
        return await asyncio.wrap_future(asyncio.run_coroutine_threadsafe(coroutine, self._loop))

    def _wait(self, coroutine: Coroutine[Any, Any, None]) -> None:
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(2 * EVENT_LIMIT_S)


class ProcessTestCase(unittest.IsolatedAsyncioTestCase):
    """Test case with a deployment that is started once for the class."""

    engine_flags: ClassVar[list[str]] = FAST_ENGINES
    plain_flags: ClassVar[list[str]] = []
    serve_flags: ClassVar[list[str]] = []
    linked_host: ClassVar[bool] = False
    prefill_workers: ClassVar[int] = 1
    shared: ClassVar[SharedDeployment]

    @classmethod
    def setUpClass(cls) -> None:
        cls.shared = SharedDeployment(
            DeploymentPlan(
                REPOSITORY / "examples" / "ventilo-breizh.yaml",
                engine_flags=cls.engine_flags,
                plain_flags=cls.plain_flags,
                serve_flags=cls.serve_flags,
                linked_host=cls.linked_host,
            ),
            cls.prefill_workers,
        )
        cls.addClassCleanup(cls.shared.stop)
        cls.shared.start()

    async def asyncSetUp(self) -> None:
        self.random = random.Random(SEED + name_hash(self.id()))
        self.session = await self.enterAsyncContext(
            aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=2 * EVENT_LIMIT_S),
                connector=aiohttp.TCPConnector(limit=0, force_close=True),
            )
        )

    @property
    def deployment(self) -> Deployment:
        return self.shared.deployment

    @property
    def hosts(self) -> list[Node]:
        """The entry hosts in order of their names; a restarted host keeps its place."""
        return [node for _, node in sorted(self.deployment.entry_hosts.items())]

    def engines(self, role: str) -> list[Node]:
        nodes = sorted(self.deployment.engines.items())
        return [node for name, node in nodes if f"-{role}-" in name]

    def prompt(self, words: int) -> str:
        return " ".join(f"word{self.random.randrange(100_000)}" for _ in range(words))

    async def chat(
        self,
        host: Node,
        prompt: str,
        max_tokens: int,
        started: asyncio.Event | None = None,
        after_tokens: int = 3,
    ) -> ChatAnswer:
        """Reads a streamed answer to its end; sets ``started`` after ``after_tokens`` tokens."""
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": True,
        }
        answer = ChatAnswer()
        url = f"{host.address}/v1/chat/completions"
        try:
            async with self.session.post(url, json=body, headers=AUTHORIZED) as response:
                if response.status != 200:
                    answer.code = (await response.json())["error"]["code"]
                    return answer
                async for line in response.content:
                    self._read_line(line, answer)
                    if started is not None and answer.text.count(" w") >= after_tokens:
                        started.set()
        except (aiohttp.ClientError, OSError):
            answer.code = "connection lost"
        return answer

    async def start_chat(
        self, host: Node, prompt: str, max_tokens: int
    ) -> asyncio.Task[ChatAnswer]:
        """Starts a call and returns it once it has read some tokens or has ended."""
        started = asyncio.Event()
        call = asyncio.create_task(self.chat(host, prompt, max_tokens, started))
        waiting = asyncio.create_task(started.wait())
        await asyncio.wait({call, waiting}, return_when=asyncio.FIRST_COMPLETED)
        waiting.cancel()
        return call

    def _read_line(self, line: bytes, answer: ChatAnswer) -> None:
        if not line.startswith(b"data: "):
            return
        data = line[len(b"data: ") :]
        if data.startswith(b"[DONE]"):
            answer.complete = True
            return
        event = msgspec.json.decode(data)
        if "error" in event:
            answer.code = event["error"]["code"]
        elif event.get("choices"):
            answer.text += event["choices"][0].get("delta", {}).get("content") or ""

    async def assert_chat(self, host: Node, prompt: str, max_tokens: int) -> None:
        self.assert_complete(await self.chat(host, prompt, max_tokens), prompt, max_tokens)

    def assert_complete(self, answer: ChatAnswer, prompt: str, max_tokens: int) -> None:
        self.assertEqual(answer.code, "")
        self.assertEqual(answer.text.strip(), expected_text(prompt, max_tokens))
        self.assertTrue(answer.complete)

    async def book(self, host: Node, key: str, deadline_ms: int = 0) -> BookingAnswer:
        """Sends a booking, which runs at most once; a lost connection also counts as an outcome."""
        headers = {"Idempotency-Key": key, **AUTHORIZED}
        if deadline_ms:
            headers["X-Deadline-Ms"] = str(deadline_ms)
        url = f"{host.address}/services/comptoir/bookings"
        try:
            async with self.session.post(url, json={"key": key}, headers=headers) as response:
                body = await response.read()
                outcome = response.headers.get("X-Outcome", "missing")
                code = "" if outcome == "answered" else msgspec.json.decode(body)["error"]["code"]
                return BookingAnswer(outcome, code, body)
        except (aiohttp.ClientError, OSError):
            return BookingAnswer("connection lost", "", b"")

    async def lookup(self, host: Node) -> int:
        """Sends an idempotent call and returns its status."""
        url = f"{host.address}/services/comptoir/stock"
        async with self.session.get(url, headers=AUTHORIZED) as response:
            await response.read()
            return response.status

    async def await_bookings(self, *hosts: Node) -> None:
        """Waits until new bookings are answered through each host."""

        async def answered() -> bool:
            # Keys are hashed to shards, so several keys are needed to cover the shards.
            sends = [
                self.book(host, new_booking_key()) for host in hosts or self.hosts for _ in range(8)
            ]
            return {a.outcome for a in await asyncio.gather(*sends)} == {"answered"}

        await self.eventually(answered)

    async def count_runs(self) -> Counter[str]:
        """Returns the number of runs of each key on all plain servers."""
        runs: Counter[str] = Counter()
        for node in self.deployment.plain.values():
            runs.update((await self.get(f"{node.address}/test/runs"))["runs"])
        return runs

    async def assert_outcomes_match_runs(
        self, answers_by_key: dict[str, list[BookingAnswer]]
    ) -> None:
        """Checks that no booking ran twice and that all outcomes agree with the runs."""
        runs = await self.count_runs()
        for key, answers in answers_by_key.items():
            outcomes = [answer.outcome for answer in answers]
            with self.subTest(key=key, outcomes=outcomes):
                self.assertLessEqual(runs[key], 1)
                if "not_run" in outcomes:
                    self.assertEqual(runs[key], 0)
                if "answered" in outcomes:
                    self.assertEqual(runs[key], 1)
                bodies = {answer.body for answer in answers if answer.outcome == "answered"}
                self.assertLessEqual(len(bodies), 1)

    async def get(self, url: str) -> Any:
        async with self.session.get(url) as response:
            response.raise_for_status()
            return await response.json()

    async def inject_fault(self, node: Node, **fault: object) -> None:
        await post(self.session, f"{node.address}/fault", fault)

    async def held_memory(self) -> dict[str, int]:
        """Returns the slots, KV blocks, KV handles and reservations held by all running engines."""
        held: Counter[str] = Counter()
        nodes = [node for node in self.deployment.engines.values() if node.alive]
        reports = await asyncio.gather(*(self.get(f"{n.address}/test/memory") for n in nodes))
        for report in reports:
            for name in ("slots_used", "pieces_used", "kv_handles", "reservations"):
                held[name] += report[name]
        return dict(held)

    async def assert_freed(self, since_s: float, limit_s: float) -> None:
        """Checks that all engines free their memory within a time limit.

        Args:
            since_s: monotonic time at which the limit starts.
            limit_s: maximum time until all memory is free.
        """

        async def nothing_held() -> bool:
            return not any((await self.held_memory()).values())

        await self.eventually(nothing_held)
        self.assertLessEqual(time.monotonic() - since_s, limit_s)

    async def eventually(
        self, condition: Callable[[], Awaitable[bool]], limit_s: float = EVENT_LIMIT_S
    ) -> None:
        """Waits until a condition is true."""
        async with asyncio.timeout(limit_s):
            while not await condition():  # noqa: ASYNC110
                await asyncio.sleep(POLL_S)


def name_hash(name: str) -> int:
    """Returns a number derived from a test name, which is the same in every run."""
    return sum(name.encode())
