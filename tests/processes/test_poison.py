"""A request that crashes each engine that runs it and that its caller sends repeatedly."""

from __future__ import annotations

import asyncio

from tests.processes.support import FAST_ENGINES, ProcessTestCase

POISON_WORD = "thistle"
CRASH_LIMIT = 3  # default of the settings tree; docs/design.md, section 8
MAX_SENDS = 12
NEIGHBOURS = 8
NEIGHBOUR_WORDS = (
    6_000  # 0.3 s of prefill, so that they share prefill engines with the poisoned request
)
NEIGHBOUR_TOKENS = 30
NEIGHBOUR_SENDS = 6


class PoisonTest(ProcessTestCase):
    # Poison crashes prefill engines. Six of them leave enough capacity after the permitted losses.
    prefill_workers = 3
    engine_flags = [*FAST_ENGINES, "--poison-word", POISON_WORD]

    async def test_request_that_crashes_engines_is_quarantined(self) -> None:
        # Guards against a request that crashes one server after another, and against permanent
        # refusal of other requests that shared a server with it.
        prompts = [self.prompt(NEIGHBOUR_WORDS) for _ in range(NEIGHBOURS)]
        neighbours = [
            asyncio.create_task(self.repeat_until_answered(n, prompt))
            for n, prompt in enumerate(prompts)
        ]
        poisoned = f"{self.prompt(200)} {POISON_WORD}"
        codes = []
        for number in range(MAX_SENDS):
            answer = await self.chat(self.hosts[number % len(self.hosts)], poisoned, 50)
            codes.append(answer.code)
            if answer.code == "request_quarantined":
                break
        self.assertEqual(codes[-1], "request_quarantined", codes)
        for host in self.hosts:
            answer = await self.chat(host, poisoned, 50)
            self.assertEqual(answer.code, "request_quarantined")
        lost = [node.name for node in self.deployment.engines.values() if not node.alive]
        self.assertTrue(lost)
        self.assertLessEqual(len(lost), CRASH_LIMIT)
        await asyncio.gather(*neighbours)
        await self.assert_chat(self.hosts[0], self.prompt(200), 30)

    async def repeat_until_answered(self, number: int, prompt: str) -> None:
        """Repeats a harmless request, which shares engines with the poisoned one, until its answer
        is complete."""
        for attempt in range(NEIGHBOUR_SENDS):
            host = self.hosts[(number + attempt) % len(self.hosts)]
            answer = await self.chat(host, prompt, NEIGHBOUR_TOKENS)
            self.assertNotEqual(answer.code, "request_quarantined")
            if answer.complete:
                self.assert_complete(answer, prompt, NEIGHBOUR_TOKENS)
                return
        self.fail(f"never answered; the last error was {answer.code}")
