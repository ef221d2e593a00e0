"""Complete answers through the openai client, and freed memory after callers disconnect."""

from __future__ import annotations

import asyncio
import time

import openai

from tests.processes.support import API_KEY, MODEL, ProcessTestCase, expected_text

FREED_AFTER_DISCONNECT_S = 1.0  # bound from docs/design.md, section 7
LONG_ANSWER = 2_000
# Takes one second of prefill on the stand-in engines.
LONG_PROMPT_WORDS = 20_000


class CallersGoneTest(ProcessTestCase):
    def client(self, number: int) -> openai.AsyncOpenAI:
        base_url = f"{self.hosts[number].address}/v1"
        return openai.AsyncOpenAI(base_url=base_url, api_key=API_KEY, max_retries=0)

    async def open_stream(self, client: openai.AsyncOpenAI, prompt: str, max_tokens: int):  # type: ignore[no-untyped-def]
        return await client.chat.completions.create(
            model=MODEL,
            messages=[{"role": "user", "content": prompt}],
            max_tokens=max_tokens,
            stream=True,
        )

    async def test_openai_client_reads_whole_answers_through_two_hosts(self) -> None:
        # Guards against truncated, mixed or repeated answers, and streams that clients can't parse.
        for number in (0, 1):
            prompt = self.prompt(400)
            async with self.client(number) as client:
                stream = await self.open_stream(client, prompt, 60)
                text = "".join(
                    [c.choices[0].delta.content or "" async for c in stream if c.choices]
                )
            self.assertEqual(text.strip(), expected_text(prompt, 60))

    async def test_disconnect_during_the_answer_frees_all_memory(self) -> None:
        # Guards against engine memory that is held after the caller of a request disconnects.
        async with self.client(0) as client:
            stream = await self.open_stream(client, self.prompt(400), LONG_ANSWER)
            async for chunk in stream:
                if chunk.choices and chunk.choices[0].delta.content:
                    break
            self.assertGreater((await self.held_memory())["slots_used"], 0)
            disconnected_s = time.monotonic()
            await stream.close()
        await self.assert_freed(disconnected_s, FREED_AFTER_DISCONNECT_S)

    async def test_disconnect_during_the_prefill_frees_all_memory(self) -> None:
        # Guards against a prefill that continues, and a decode reservation that is held, after the
        # caller disconnects.
        async def prefilling() -> bool:
            reports = [
                await self.get(f"{node.address}/v1/requests") for node in self.engines("prefill")
            ]
            return any(request["phase"] == "prefilling" for report in reports for request in report)

        async with self.client(1) as client:
            call = asyncio.ensure_future(
                self.open_stream(client, self.prompt(LONG_PROMPT_WORDS), LONG_ANSWER)
            )
            await self.eventually(prefilling)
            disconnected_s = time.monotonic()
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
        await self.assert_freed(disconnected_s, FREED_AFTER_DISCONNECT_S)
        self.assertFalse(await prefilling())
