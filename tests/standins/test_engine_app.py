"""The engine protocol over real sockets."""

import asyncio
import json
import unittest

from medlarvale.standins.engine_messages import EngineRole
from medlarvale.standins.engine_model import expected_answer, tokenize
from tests.standins.running import (
    Client,
    engine,
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

    async def test_restart_refuses_the_older_attempt(self) -> None:
        """Guards against a paused entry host that wakes and uses an attempt that was replaced."""
        async with engine(EngineRole.DECODE) as decode:
            reserve = {"request_id": "r1", "pieces": 1, "ttl_ms": 10_000}
            await decode.call("/v1/reserve", {**reserve, "attempt": 1})
            await decode.call("/v1/reserve", {**reserve, "attempt": 2})
            refused = await decode.call("/v1/reserve", {**reserve, "attempt": 1}, 409)
            self.assertEqual(refused["error"]["code"], "stale_attempt")
            self.assertEqual((await decode.get("/test/memory"))["slots_used"], 1)

    async def test_live_prompt_overtakes_batch_prompt(self) -> None:
        """Guards against live work that waits for a whole batch prompt."""
        async with engine(EngineRole.PREFILL, prefill_tokens_per_s=20_000) as prefill:
            batch = prefill_body("slow", list(range(40_000)), priority="batch")
            waiting = asyncio.create_task(prefill.call("/v1/prefill", batch))
            await prefill.wait_until("/v1/requests", bool)
            await prefill.call("/v1/prefill", prefill_body("fast", PROMPT))
            self.assertFalse(waiting.done())
            waiting.cancel()

    async def test_repeated_prompt_is_cached(self) -> None:
        """Guards against a prefix cache that saves no time or publishes nothing."""
        async with engine(EngineRole.PREFILL) as prefill:
            first = await prefill.call("/v1/prefill", prefill_body("r1", PROMPT))
            second = await prefill.call("/v1/prefill", prefill_body("r2", [*PROMPT, 1]))
            self.assertEqual((first["cached_tokens"], second["cached_tokens"]), (0, 256))
            self.assertLess(second["prefill_ms"], first["prefill_ms"])
            published = await prefill.get("/v1/cache-events?from=1")
            self.assertEqual([event["kind"] for event in published["events"]], ["added"] * 2)
            self.assertEqual(published["next"], 3)

    async def test_load_and_leaving(self) -> None:
        """Guards against load reports of another form, and late work that goes unnoticed."""
        async with engine(EngineRole.DECODE) as decode:
            names = "role model slots slots_used pieces pieces_used queue_ms leaving epoch"
            load = await decode.get("/v1/load")
            self.assertEqual(set(load), set(names.split()))
            await decode.call("/test/leaving", {"leaving": True})
            self.assertTrue((await decode.get("/v1/load"))["leaving"])
            memory = await decode.get("/test/memory")
            self.assertIsNone(memory["latest_work_after_leaving_ms"])
            reserve = {"request_id": "r1", "attempt": 1, "pieces": 1, "ttl_ms": 10_000}
            await decode.call("/v1/reserve", reserve)
            memory = await decode.get("/test/memory")
            self.assertGreaterEqual(memory["latest_work_after_leaving_ms"], 0)

    async def test_orders(self) -> None:
        """Guards against engines that all check the fencing number, or none."""
        order = {"kind": "set_role", "role": "prefill"}
        for check_fencing, status in ((True, 409), (False, 200)):
            with self.subTest(check_fencing=check_fencing):
                async with engine(EngineRole.DECODE, check_fencing=check_fencing) as decode:
                    for fencing, expected in (("7", 200), ("7", 200), ("6", status)):
                        headers = {"X-Fencing": fencing}
                        async with decode.post("/v1/orders", order, **headers) as response:
                            self.assertEqual(response.status, expected)
                    self.assertEqual((await decode.get("/v1/load"))["role"], "prefill")

    async def test_refused_calls(self) -> None:
        """Guards against calls that are let in although they break the protocol."""
        key = {"request_id": "r1", "attempt": 1}
        source = {"source_address": "127.0.0.1:1", "kv_handle": "x"}
        decode_call = {**key, "position": 0, "max_tokens": 5}
        cases = (
            ("/v1/prefill", prefill_body("r1", PROMPT), {}, "wrong_role"),
            ("/v1/reserve", {**key, "pieces": 257, "ttl_ms": 10}, {}, "engine_full"),
            ("/v1/reserve", {**key, "pieces": 0, "ttl_ms": 10}, {}, "bad_request"),
            ("/v1/reserve", {**key, "pieces": 1}, {}, "bad_request"),
            ("/v1/reserve", {**key, "pieces": 1, "ttl_ms": 10}, {"X-Owner": ""}, "bad_request"),
            ("/v1/cancel", key, {"X-Attempt": "2"}, "bad_request"),
            ("/v1/import", {**key, **source}, {}, "no_reservation"),
            ("/v1/decode", decode_call, {}, "unknown_request"),
            ("/v1/resume", {**key, "position": 0}, {}, "unknown_request"),
            ("/v1/orders", {"kind": "load_model"}, {"X-Fencing": "1"}, "bad_request"),
            ("/v1/orders", {"kind": "load_model", "model": "m"}, {}, "bad_request"),
            ("/fault", {"kind": "slow", "factor": 0}, {}, "bad_request"),
        )
        async with engine(EngineRole.DECODE) as decode:
            for path, body, headers, code in cases:
                with self.subTest(path=path, code=code, body=body):
                    async with decode.post(path, body, **headers) as response:
                        self.assertEqual((await response.json())["error"]["code"], code)
                        self.assertNotEqual(response.status, 200)


class EngineMemoryReleaseTest(unittest.IsolatedAsyncioTestCase):
    async def test_closed_prefill_connection(self) -> None:
        """Guards against prefill for a caller that is gone, running or still queued."""
        async with engine(EngineRole.PREFILL, prefill_tokens_per_s=5_000) as prefill:
            tasks = [
                asyncio.create_task(
                    prefill.call("/v1/prefill", prefill_body(name, list(range(50_000))))
                )
                for name in ("running", "queued")
            ]
            await prefill.wait_until(
                "/v1/requests", lambda all: {r["phase"] for r in all} == {"prefilling", "queued"}
            )
            await prefill.wait_until("/test/memory", lambda memory: memory["prefill_ms"] > 0)
            for task in tasks:
                task.cancel()
            memory = await assert_freed(self, prefill)
            self.assertEqual(memory["prefill_queue"], 0)
            wasted = await prefill.wait_until(
                "/test/memory", lambda memory: memory["wasted_prefill_ms"] > 0
            )
            self.assertEqual(wasted["wasted_prefill_ms"], wasted["prefill_ms"])

    async def test_closed_decode_connection(self) -> None:
        """Guards against a slot and pieces that outlive their caller."""
        async with engine_pair() as (prefill, decode):
            await import_prompt(prefill, decode, prefill_body("r1", PROMPT))
            body = {"request_id": "r1", "attempt": 1, "position": 0, "max_tokens": 10**6}
            async with decode.post("/v1/decode", body) as response:
                await response.content.readline()
                self.assertEqual((await decode.get("/test/memory"))["slots_used"], 1)
                response.close()
            memory = await assert_freed(self, decode)
            self.assertEqual(memory["requests_answered"], 0)

    async def test_cancel_ends_prefill_and_stream(self) -> None:
        """Guards against calls that hang after a cancel, and attempts that come back."""
        async with engine_pair(prefill_tokens_per_s=20_000) as (prefill, decode):
            key = {"request_id": "r2", "attempt": 3}
            long = prefill_body("r2", list(range(50_000)), 3)
            call = asyncio.create_task(prefill.call("/v1/prefill", long, 409))
            await prefill.wait_until("/v1/requests", bool)
            self.assertEqual(await prefill.call("/v1/cancel", key), {"cancelled": 1})
            self.assertEqual((await call)["error"]["code"], "cancelled")
            self.assertEqual(await prefill.call("/v1/cancel", key), {"cancelled": 0})
            refused = await prefill.call("/v1/prefill", long, 409)
            self.assertEqual(refused["error"]["code"], "stale_attempt")

            await import_prompt(prefill, decode, prefill_body("r1", PROMPT))
            body = {"request_id": "r1", "attempt": 1, "position": 0, "max_tokens": 10**6}
            async with decode.post("/v1/decode", body) as response:
                await response.content.readline()
                await decode.call("/v1/cancel", {"request_id": "r1", "attempt": 1})
                await assert_freed(self, decode)
                lines = [json.loads(line) async for line in response.content]
            self.assertEqual(lines[-1]["error"]["code"], "cancelled")

    async def test_expired_kv_is_wasted(self) -> None:
        """Guards against KV caches that nobody pulls and that stay or are not counted."""
        async with engine_pair(kv_ttl_ms=30) as (prefill, decode):
            answer = await prefill.call("/v1/prefill", prefill_body("r1", PROMPT))
            memory = await prefill.wait_until("/test/memory", lambda m: m["kv_handles"] == 0)
            self.assertEqual(memory["pieces_used"], 0)
            self.assertEqual(memory["wasted_prefill_ms"], answer["prefill_ms"])
            key = {"request_id": "r1", "attempt": 1}
            await decode.call("/v1/reserve", {**key, "pieces": 1, "ttl_ms": 10_000})
            source = {"source_address": prefill.address, "kv_handle": answer["kv_handle"]}
            failed = await decode.call("/v1/import", {**key, **source}, 404)
            self.assertEqual(failed["error"]["code"], "unknown_kv")

    async def test_import_that_is_never_decoded_is_wasted_once(self) -> None:
        """Guards against waste counted on both engines or on none."""
        async with engine_pair(kv_ttl_ms=200) as (prefill, decode):
            answer = await import_prompt(prefill, decode, prefill_body("r1", PROMPT))
            memory = await decode.wait_until("/test/memory", lambda m: m["slots_used"] == 0)
            self.assertEqual(memory["pieces_used"], 0)
            self.assertEqual(memory["wasted_prefill_ms"], answer["prefill_ms"])
            self.assertEqual((await prefill.get("/test/memory"))["wasted_prefill_ms"], 0)

    async def test_unused_reservation_expires(self) -> None:
        """Guards against reservations whose entry host died."""
        async with engine(EngineRole.DECODE) as decode:
            reserve = {"request_id": "r1", "attempt": 1, "pieces": 3, "ttl_ms": 30}
            await decode.call("/v1/reserve", reserve)
            self.assertEqual((await decode.get("/test/memory"))["pieces_used"], 3)
            memory = await decode.wait_until("/test/memory", lambda m: not m["reservations"])
            self.assertEqual((memory["slots_used"], memory["pieces_used"]), (0, 0))

    async def test_stalled_transfer(self) -> None:
        """Guards against stalls that end by themselves, and memory that a stall keeps."""
        for closed in (False, True):
            with self.subTest(closed=closed):
                async with engine_pair(kv_ttl_ms=500) as (prefill, decode):
                    await prefill.call("/fault", {"kind": "stall", "target": "transfers"})
                    body = prefill_body("r1", PROMPT)
                    call = asyncio.create_task(import_prompt(prefill, decode, body))
                    await prefill.wait_until(
                        "/v1/requests", lambda all: [r["phase"] for r in all] == ["kv_sending"]
                    )
                    if closed:
                        call.cancel()
                        await assert_freed(self, decode)
                        memory = await prefill.wait_until(
                            "/test/memory", lambda m: m["kv_handles"] == 0
                        )
                        self.assertEqual(memory["wasted_prefill_ms"], memory["prefill_ms"])
                    else:
                        self.assertFalse(call.done())
                        await prefill.call("/fault", {"kind": "none"})
                        await call


class EngineStreamTest(unittest.IsolatedAsyncioTestCase):
    async def test_reader_that_stops_grows_idle(self) -> None:
        """Guards against a stuck reader that looks active, and one that cannot be resumed."""
        async with engine_pair(pad_chunk_bytes=65_536) as (prefill, decode):
            await import_prompt(prefill, decode, prefill_body("r1", PROMPT))
            key = {"request_id": "r1", "attempt": 1}
            body = {**key, "position": 0, "max_tokens": 2_000}
            async with decode.post("/v1/decode", body):
                idle = await decode.wait_until("/v1/requests", lambda all: all[0]["idle_ms"] > 300)
                self.assertEqual(idle[0]["phase"], "decoding")
                self.assertEqual(idle[0]["owner"], "host-a/1")
                async with decode.post("/v1/resume", {**key, "position": 0}) as response:
                    tokens = await read_tokens(response, 0)
            self.assertEqual(tokens, expected_answer(PROMPT, 2_000))
            memory = await assert_freed(self, decode)
            self.assertEqual(memory["requests_answered"], 1)

    async def test_resumed_stream_ends_the_old_connection(self) -> None:
        """Guards against one answer that is read in full on two connections."""
        async with engine_pair() as (prefill, decode):
            await import_prompt(prefill, decode, prefill_body("r1", PROMPT))
            key = {"request_id": "r1", "attempt": 1}
            body = {**key, "position": 0, "max_tokens": 200}
            async with decode.post("/v1/decode", body) as old:
                first = json.loads(await old.content.readline())["tokens"]
                start = len(first)
                async with decode.post("/v1/resume", {**key, "position": start}) as new:
                    lines = [json.loads(line) async for line in old.content]
                    self.assertFalse(any(chunk["done"] for chunk in lines))
                    tokens = first + await read_tokens(new, start)
            self.assertEqual(tokens, expected_answer(PROMPT, 200))
            memory = await assert_freed(self, decode)
            self.assertEqual(memory["requests_answered"], 1)
