"""The engine protocol over real sockets."""

import asyncio
import unittest

from medlarvale.standins.engine_model import expected_answer, tokenize
from tests.standins.running import (
    Client,
    engine_pair,
    import_prompt,
    prefill_body,
    read_tokens,
)

PROMPT = tokenize("which cleats are left in the depot " * 40)
# Stated bound between a closed connection and free memory.
FREED_WITHIN_S = 0.2


async def assert_freed(test: unittest.TestCase, client: Client) -> dict:
    """Waits until an engine holds nothing, and checks the stated bound."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    memory = await client.wait_until(
        "/test/memory", lambda m: not m["slots_used"] and not m["pieces_used"]
    )
    test.assertLess(loop.time() - start_s, FREED_WITHIN_S)
    return memory


class EngineProtocolTest(unittest.IsolatedAsyncioTestCase):
    async def test_answer_passes_through_prefill_import_and_decode(self) -> None:
        """Guards against lost or wrong tokens, and memory that outlives an answer."""
        async with engine_pair() as (prefill, decode):
            answer = await import_prompt(prefill, decode, prefill_body("r1", PROMPT))
            expected = expected_answer(PROMPT, 30)
            self.assertEqual(answer["first_token"], expected[0])
            body = {"request_id": "r1", "attempt": 1, "position": 0, "max_tokens": 30}
            async with decode.post("/v1/decode", body) as response:
                self.assertEqual(await read_tokens(response, 0), expected)
            memory = await decode.get("/test/memory")
            self.assertEqual((memory["slots_used"], memory["pieces_used"]), (0, 0))
            self.assertEqual(memory["requests_answered"], 1)
            source = await prefill.get("/test/memory")
            self.assertEqual((source["kv_handles"], source["wasted_prefill_ms"]), (0, 0))

    async def test_restart_continues_the_same_answer(self) -> None:
        """Guards against a second attempt that answers differently from the first."""
        expected = expected_answer(PROMPT, 20)
        for sent in (1, 7, 19):
            with self.subTest(sent=sent):
                async with engine_pair() as (prefill, decode):
                    call = prefill_body("r1", PROMPT, 2, generated_tokens=expected[:sent])
                    answer = await import_prompt(prefill, decode, call)
                    self.assertEqual(answer["first_token"], expected[sent])
                    body = {"request_id": "r1", "attempt": 2, "position": sent}
                    async with decode.post("/v1/decode", {**body, "max_tokens": 20}) as response:
                        self.assertEqual(await read_tokens(response, sent), expected[sent:])


if __name__ == "__main__":
    unittest.main()
