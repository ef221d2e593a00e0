"""The engine protocol over real sockets."""

import asyncio
import json

from medlarvale.standins.engine_model import expected_answer
from tests.standins.support import KEY, LOAD_FIELDS, PROMPT, StandinTestCase, prefill_body

LONG_PROMPT = list(range(50_000))


class EngineProtocolTest(StandinTestCase):
    async def test_answer_is_generated_by_prefill_import_and_decode(self) -> None:
        """Guards against wrong tokens, answers that differ after a restart, and leaked memory."""
        expected = expected_answer(PROMPT, 20)
        for sent in (0, 1, 7, 19):
            with self.subTest(sent=sent):
                prefill, decode = await self.start_pair()
                answer = await self.import_prompt(
                    prefill, decode, attempt=2, generated_tokens=expected[:sent]
                )
                self.assertEqual(answer["first_token"], expected[sent])
                async with decode.decode(20, attempt=2, position=sent) as response:
                    self.assertEqual(await self.read_tokens(response, sent), expected[sent:])
                memory = await decode.get("/test/memory")
                self.assertEqual((memory["slots_used"], memory["pieces_used"]), (0, 0))
                self.assertEqual(memory["requests_answered"], 1)
                source = await prefill.get("/test/memory")
                self.assertEqual((source["kv_handles"], source["wasted_prefill_ms"]), (0, 0))

    async def test_newer_attempt_supersedes_the_older(self) -> None:
        """Guards against superseded attempts that are admitted, and leaked reservations."""
        decode = await self.start_engine("decode")
        await decode.reserve(attempt=1)
        await decode.reserve(attempt=2, pieces=3, ttl_ms=500)
        refused = await decode.reserve(409, attempt=1)
        self.assertEqual(refused["error"]["code"], "stale_attempt")
        memory = await decode.get("/test/memory")
        self.assertEqual((memory["slots_used"], memory["pieces_used"]), (1, 3))
        await decode.wait_until("/test/memory", lambda m: m["slots_used"] + m["pieces_used"] == 0)

    async def test_live_prompt_overtakes_batch_prompt(self) -> None:
        """Guards against live work that waits for the end of a batch prompt."""
        prefill = await self.start_engine("prefill", prefill_tokens_per_s=20_000)
        batch = prefill_body(LONG_PROMPT, request_id="slow", priority="batch")
        waiting = asyncio.create_task(prefill.call("/v1/prefill", batch))
        await prefill.wait_for_phases("prefilling")
        await prefill.call("/v1/prefill", prefill_body(PROMPT))
        self.assertFalse(waiting.done())
        waiting.cancel()

    async def test_live_prompt_without_memory_lets_batch_prompt_finish(self) -> None:
        """Guards against a deadlock of a live prompt and the batch prompt that holds its memory."""
        prefill = await self.start_engine(
            "prefill", prefill_tokens_per_s=20_000, pieces=1, kv_ttl_ms=50
        )
        batch = prefill_body(LONG_PROMPT[:2_000], request_id="slow", priority="batch")
        first = asyncio.create_task(prefill.call("/v1/prefill", batch))
        await prefill.wait_for_phases("prefilling")
        async with asyncio.timeout(10):
            await prefill.call("/v1/prefill", prefill_body(PROMPT))
            await first

    async def test_repeated_prompt_is_cached(self) -> None:
        """Guards against a prefix cache that saves no time or publishes no events."""
        prefill = await self.start_engine("prefill")
        prompt = PROMPT * 2
        first = await prefill.call("/v1/prefill", prefill_body(prompt))
        second = await prefill.call("/v1/prefill", prefill_body([*prompt, 1], request_id="r2"))
        self.assertEqual((first["cached_tokens"], second["cached_tokens"]), (0, 512))
        self.assertLess(second["prefill_ms"], first["prefill_ms"])
        published = await prefill.get("/v1/cache-events?from=1")
        self.assertEqual([event["kind"] for event in published["events"]], ["stored"] * 2)
        self.assertEqual(published["next"], 3)

    async def test_load_and_leaving(self) -> None:
        """Guards against wrong fields of the load report, and unrecorded work after leaving."""
        decode = await self.start_engine("decode")
        self.assertEqual(" ".join(await decode.get("/v1/load")), LOAD_FIELDS)
        await decode.call("/test/leaving", {"leaving": True})
        self.assertTrue((await decode.get("/v1/load"))["leaving"])
        field = "latest_work_after_leaving_ms"
        self.assertIsNone((await decode.get("/test/memory"))[field])
        await decode.reserve()
        self.assertGreaterEqual((await decode.get("/test/memory"))[field], 0)

    async def test_orders_with_older_fencing_numbers(self) -> None:
        """Guards against engines that ignore the setting ``check_fencing``."""
        order = {"kind": "set_role", "role": "prefill"}
        for check_fencing, status in ((True, 409), (False, 200)):
            with self.subTest(check_fencing=check_fencing):
                decode = await self.start_engine("decode", check_fencing=check_fencing)
                for fencing, expected in (("7", 200), ("7", 200), ("6", status)):
                    call = decode.post("/v1/orders", order, **{"X-Fencing": fencing})
                    async with call as response:
                        self.assertEqual(response.status, expected)
                self.assertEqual((await decode.get("/v1/load"))["role"], "prefill")

    async def test_invalid_calls_are_refused(self) -> None:
        """Guards against accepted calls that violate the protocol."""
        source = {"source_address": "127.0.0.1:1", "kv_handle": "x"}
        reserve = {**KEY, "pieces": 1, "ttl_ms": 10}
        cases = (
            ("/v1/prefill", prefill_body(PROMPT), {}, "wrong_role"),
            ("/v1/reserve", {**reserve, "pieces": 257}, {}, "engine_full"),
            ("/v1/reserve", {**reserve, "pieces": 0}, {}, "bad_request"),
            ("/v1/reserve", KEY, {}, "bad_request"),
            ("/v1/reserve", reserve, {"X-Owner": ""}, "bad_request"),
            ("/v1/cancel", KEY, {"X-Attempt": "2"}, "bad_request"),
            ("/v1/import", {**KEY, **source}, {}, "no_reservation"),
            ("/v1/decode", {**KEY, "position": 0, "max_tokens": 5}, {}, "unknown_request"),
            ("/v1/resume", {**KEY, "position": 0}, {}, "unknown_request"),
            ("/v1/orders", {"kind": "load_model"}, {"X-Fencing": "1"}, "bad_request"),
            ("/v1/orders", {"kind": "load_model", "model": "m"}, {}, "bad_request"),
            ("/fault", {"kind": "slow", "factor": 0}, {}, "bad_request"),
        )
        decode = await self.start_engine("decode")
        for path, body, headers, code in cases:
            with self.subTest(path=path, code=code, body=body):
                async with decode.post(path, body, **headers) as response:
                    self.assertEqual((await response.json())["error"]["code"], code)
                    self.assertNotEqual(response.status, 200)


class EngineMemoryReleaseTest(StandinTestCase):
    async def test_closed_prefill_connection_frees_memory(self) -> None:
        """Guards against running or queued prefills whose caller has disconnected."""
        prefill = await self.start_engine("prefill", prefill_tokens_per_s=5_000)
        bodies = [prefill_body(LONG_PROMPT, request_id=name) for name in ("running", "queued")]
        tasks = [asyncio.create_task(prefill.call("/v1/prefill", body)) for body in bodies]
        await prefill.wait_for_phases("prefilling", "queued")
        await prefill.wait_until("/test/memory", lambda memory: memory["prefill_ms"] > 0)
        for task in tasks:
            task.cancel()
        memory = await self.assert_freed(prefill)
        self.assertEqual(memory["prefill_queue"], 0)
        self.assertGreater(memory["wasted_prefill_ms"], 0)
        self.assertEqual(memory["wasted_prefill_ms"], memory["prefill_ms"])

    async def test_closed_decode_connection_frees_memory(self) -> None:
        """Guards against a slot and KV blocks that are held after their caller disconnects."""
        prefill, decode = await self.start_pair()
        await self.import_prompt(prefill, decode)
        async with decode.decode(10**6) as response:
            await response.content.readline()
            self.assertEqual((await decode.get("/test/memory"))["slots_used"], 1)
            response.close()
        memory = await self.assert_freed(decode)
        self.assertEqual(memory["requests_answered"], 0)

    async def test_cancel_ends_prefill_and_stream(self) -> None:
        """Guards against calls that hang after a cancel, and cancelled attempts that restart."""
        prefill, decode = await self.start_pair(prefill_tokens_per_s=20_000)
        key = {"request_id": "r2", "attempt": 3}
        long = prefill_body(LONG_PROMPT, **key)
        call = asyncio.create_task(prefill.call("/v1/prefill", long, 409))
        await prefill.wait_for_phases("prefilling")
        self.assertEqual(await prefill.call("/v1/cancel", key), {"cancelled": 1})
        self.assertEqual((await call)["error"]["code"], "cancelled")
        self.assertEqual(await prefill.call("/v1/cancel", key), {"cancelled": 0})
        refused = await prefill.call("/v1/prefill", long, 409)
        self.assertEqual(refused["error"]["code"], "stale_attempt")

        await self.import_prompt(prefill, decode)
        async with decode.decode(10**6) as response:
            await response.content.readline()
            await decode.call("/v1/cancel", KEY)
            await self.assert_freed(decode)
            lines = [json.loads(line) async for line in response.content]
        self.assertEqual(lines[-1]["error"]["code"], "cancelled")

    async def test_expired_kv_cache_counts_as_wasted(self) -> None:
        """Guards against unused KV caches that are leaked or not counted as wasted time."""
        prefill, decode = await self.start_pair(kv_ttl_ms=30)
        answer = await prefill.call("/v1/prefill", prefill_body(PROMPT))
        memory = await prefill.wait_until("/test/memory", lambda m: m["kv_handles"] == 0)
        freed = (memory["pieces_used"], memory["wasted_prefill_ms"])
        self.assertEqual(freed, (0, answer["prefill_ms"]))
        await decode.reserve()
        source = {"source_address": prefill.address, "kv_handle": answer["kv_handle"]}
        failed = await decode.call("/v1/import", {**KEY, **source}, 404)
        self.assertEqual(failed["error"]["code"], "unknown_kv")

    async def test_import_that_is_never_decoded_counts_as_wasted_once(self) -> None:
        """Guards against wasted time that is counted by both engines or by neither."""
        prefill, decode = await self.start_pair(kv_ttl_ms=200)
        answer = await self.import_prompt(prefill, decode)
        memory = await decode.wait_until("/test/memory", lambda m: m["slots_used"] == 0)
        freed = (memory["pieces_used"], memory["wasted_prefill_ms"])
        self.assertEqual(freed, (0, answer["prefill_ms"]))
        self.assertEqual((await prefill.get("/test/memory"))["wasted_prefill_ms"], 0)

    async def test_stalled_transfer_ends_with_its_fault_or_caller(self) -> None:
        """Guards against stalls that end by themselves, and memory leaked by a stalled transfer."""
        for stalled, closed in (("prefill", False), ("prefill", True), ("decode", True)):
            with self.subTest(stalled=stalled, closed=closed):
                prefill, decode = await self.start_pair(kv_ttl_ms=500)
                engine = prefill if stalled == "prefill" else decode
                await engine.call("/fault", {"kind": "stall", "target": "transfers"})
                call = asyncio.create_task(self.import_prompt(prefill, decode))
                await decode.wait_for_phases("transferring")
                await prefill.wait_for_phases(*["kv_sending"] * (engine is prefill))
                if not closed:
                    self.assertFalse(call.done())
                    await engine.call("/fault", {"kind": "none"})
                    await call
                    continue
                call.cancel()
                freed = await self.assert_freed(decode)
                memory = await prefill.wait_until("/test/memory", lambda m: not m["kv_handles"])
                wasted = memory["wasted_prefill_ms"] + freed["wasted_prefill_ms"]
                self.assertEqual(wasted, memory["prefill_ms"])


class EngineStreamTest(StandinTestCase):
    async def test_blocked_reader_is_reported_as_idle_and_can_resume(self) -> None:
        """Guards against a blocked reader that is reported as active or cannot resume."""
        prefill, decode = await self.start_pair(pad_chunk_bytes=65_536)
        await self.import_prompt(prefill, decode)
        async with decode.decode(1_000):
            idle = await decode.wait_until(
                "/v1/requests", lambda reports: reports[0]["idle_ms"] > 300
            )
            self.assertEqual((idle[0]["phase"], idle[0]["owner"]), ("decoding", "host-a/1"))
            async with decode.post("/v1/resume", {**KEY, "position": 0}) as response:
                tokens = await self.read_tokens(response, 0)
        self.assertEqual(tokens, expected_answer(PROMPT, 1_000))
        memory = await self.assert_freed(decode)
        self.assertEqual(memory["requests_answered"], 1)

    async def test_resumed_stream_ends_the_old_connection(self) -> None:
        """Guards against an answer that is read completely on two connections."""
        prefill, decode = await self.start_pair()
        await self.import_prompt(prefill, decode)
        async with decode.decode(200) as old:
            first = json.loads(await old.content.readline())["tokens"]
            resume = {**KEY, "position": len(first)}
            async with decode.post("/v1/resume", resume) as new:
                lines = [json.loads(line) async for line in old.content]
                self.assertFalse(any(chunk["done"] for chunk in lines))
                tokens = first + await self.read_tokens(new, len(first))
        self.assertEqual(tokens, expected_answer(PROMPT, 200))
        memory = await self.assert_freed(decode)
        self.assertEqual(memory["requests_answered"], 1)
