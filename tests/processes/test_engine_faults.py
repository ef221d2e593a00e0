"""Engines that crash, pause or stall, and callers that don't read."""

from __future__ import annotations

import asyncio
import signal
import socket
import time
from urllib.parse import urlsplit

import msgspec

from tests.processes.support import API_KEY, MODEL, ChatAnswer, ProcessTestCase

ANSWERS = 8
ANSWER_TOKENS = 200
# At 5 ms per token, an answer fills the buffers of its connections well within this time.
BUFFERS_FULL_S = 5.0
# Limit for slow callers (10 s), its check period, and the bound of 1 s from cancel to free memory.
SLOW_READER_FREED_S = BUFFERS_FULL_S + 10.0 + 10.0 / 8 + 1.0
# This answer takes more than 20 s, so it ends after the limit.
LONGEST_ANSWER = 4_096


class EngineFaultsTest(ProcessTestCase):
    async def start_answers(self) -> tuple[list[str], list[asyncio.Task[ChatAnswer]]]:
        """Starts answers through all hosts and returns once each has some tokens."""
        prompts = [self.prompt(300) for _ in range(ANSWERS)]
        starts = [
            self.start_chat(self.hosts[n % len(self.hosts)], prompt, ANSWER_TOKENS)
            for n, prompt in enumerate(prompts)
        ]
        return prompts, await asyncio.gather(*starts)

    async def decoding_engine(self):  # type: ignore[no-untyped-def]
        """Returns a decode engine that is generating an answer."""
        for node in self.engines("decode"):
            if node.alive and (await self.get(f"{node.address}/test/memory"))["slots_used"]:
                return node
        raise AssertionError("no decode engine has a request")

    async def test_a_answers_continue_after_a_paused_engine(self) -> None:
        # Guards against tokens that are lost or repeated when an engine pauses and resumes late.
        prompts, calls = await self.start_answers()
        engine = await self.decoding_engine()
        engine.signal(signal.SIGSTOP)
        try:
            answers = await asyncio.gather(*calls)
        finally:
            engine.signal(signal.SIGCONT)
        resumed_s = time.monotonic()
        for prompt, answer in zip(prompts, answers, strict=True):
            self.assert_complete(answer, prompt, ANSWER_TOKENS)
        await self.assert_freed(resumed_s, 3.0)

    async def test_b_stalled_transfer_is_repeated_elsewhere(self) -> None:
        # Guards against a request that waits for a stalled transfer until its deadline, and
        # against memory that the two engines of the transfer don't free.
        stalled = self.engines("prefill")[0]
        await self.inject_fault(stalled, kind="stall", target="transfers")
        try:
            prompts = [self.prompt(300) for _ in range(4)]
            answers = await asyncio.gather(*(self.chat(self.hosts[1], p, 20) for p in prompts))
        finally:
            await self.inject_fault(stalled, kind="none")
        for prompt, answer in zip(prompts, answers, strict=True):
            self.assert_complete(answer, prompt, 20)
        await self.assert_freed(time.monotonic(), 3.0)

    async def test_c_caller_that_does_not_read_loses_its_memory(self) -> None:
        # Guards against engine memory held forever by a connected caller that doesn't read.
        host = self.hosts[2]
        address = urlsplit(host.address)
        reader = socket.socket()
        self.addCleanup(reader.close)
        reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2_048)
        reader.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(reader, (address.hostname, address.port))
        body = msgspec.json.encode(
            {
                "model": MODEL,
                "messages": [{"role": "user", "content": self.prompt(300)}],
                "max_tokens": LONGEST_ANSWER,
                "stream": True,
            }
        )
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: {address.netloc}\r\n"
            f"Authorization: Bearer {API_KEY}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        await loop.sock_sendall(reader, head.encode() + body)

        async def holds_memory() -> bool:
            return (await self.held_memory())["slots_used"] > 0

        await self.eventually(holds_memory)
        started_s = time.monotonic()
        await self.assert_chat(host, self.prompt(300), ANSWER_TOKENS)
        self.assertTrue(await holds_memory())
        await self.assert_freed(started_s, SLOW_READER_FREED_S)

    async def test_d_answers_continue_after_a_killed_engine(self) -> None:
        # Guards against tokens that are lost or repeated when an engine crashes during an answer.
        prompts, calls = await self.start_answers()
        (await self.decoding_engine()).signal(signal.SIGKILL)
        for prompt, answer in zip(prompts, await asyncio.gather(*calls), strict=True):
            self.assert_complete(answer, prompt, ANSWER_TOKENS)
        await self.assert_freed(time.monotonic(), 3.0)
