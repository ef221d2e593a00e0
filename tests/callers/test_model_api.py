"""Tests that the unmodified openai client gets complete answers and distinct errors."""

import asyncio
import json

import openai

from medlarvale.completions.memory_engines import EngineFault, answer_tokens
from medlarvale.completions.tokens import text_of_tokens, tokens_of_messages, tokens_of_text
from medlarvale.ids import ServerId
from tests.callers.support import CallerTestCase
from tests.completions.fakes import API_KEY, RIVAL_KEY

PROMPT = tokens_of_messages([("user", "how many cleats")])
TEXT = text_of_tokens(answer_tokens(PROMPT, 10))
USAGE = (len(PROMPT), 10, len(PROMPT) + 10)


class ModelApiTest(CallerTestCase):
    values = {"max_restarts": 1}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.client = openai.AsyncOpenAI(base_url=f"{self.url}/v1", api_key=API_KEY, max_retries=0)

    async def asyncTearDown(self) -> None:
        await self.client.close()
        await super().asyncTearDown()

    async def chat(self, **options: object) -> object:
        arguments: dict[str, object] = {
            "model": "slidsk",
            "messages": [{"role": "user", "content": "how many cleats"}],
            "max_tokens": 10,
            **options,
        }
        return await self.client.chat.completions.create(**arguments)  # type: ignore[call-overload]

    async def test_client_reads_chat_body_and_usage(self) -> None:
        """Guards against a body that the client cannot parse, and against wrong usage counts."""
        answer = await self.chat()
        choice, usage = answer.choices[0], answer.usage
        self.assertEqual((choice.message.content, choice.finish_reason), (TEXT, "length"))
        counts = usage.prompt_tokens, usage.completion_tokens, usage.total_tokens
        self.assertEqual(counts, USAGE)

    async def test_streamed_chat_is_complete(self) -> None:
        """Guards against lost text, a missing end and a usage event that was not requested."""
        for include in (False, True):
            with self.subTest(include_usage=include):
                options = {"stream_options": {"include_usage": True}} if include else {}
                stream = await self.chat(stream=True, **options)
                events = [event async for event in stream]
                choices = [event.choices[0] for event in events if event.choices]
                text = "".join(choice.delta.content or "" for choice in choices)
                self.assertEqual((text, choices[0].delta.role), (TEXT, "assistant"))
                self.assertEqual(choices[-1].finish_reason, "length")
                usages = [event.usage for event in events if event.usage]
                self.assertEqual(
                    [(u.prompt_tokens, u.completion_tokens, u.total_tokens) for u in usages],
                    [USAGE] if include else [],
                )

    async def test_completion_is_the_same_for_each_prompt_form(self) -> None:
        """Guards against answers that depend on the prompt form or on streaming."""
        prompt = tokens_of_text("two pairs")
        text = text_of_tokens(answer_tokens(prompt, 40))
        for given in ("two pairs", prompt):
            answer = await self.client.completions.create(model="slidsk", prompt=given)
            self.assertEqual(
                (answer.choices[0].text, answer.choices[0].finish_reason), (text, "stop")
            )
            stream = await self.client.completions.create(model="slidsk", prompt=given, stream=True)
            self.assertEqual("".join([e.choices[0].text async for e in stream]), text)

    async def test_workspace_sees_only_its_own_models(self) -> None:
        """Guards against a workspace that sees or uses the models of another."""
        rival = self.client.with_options(api_key=RIVAL_KEY)
        self.assertEqual([model.id async for model in await rival.models.list()], ["redacteur"])
        with self.assertRaises(openai.PermissionDeniedError) as caught:
            await rival.completions.create(model="slidsk", prompt="a")
        self.assertEqual(caught.exception.code, "service_forbidden")

    async def test_client_distinguishes_errors_and_retries_none(self) -> None:
        """Guards against errors that the client cannot distinguish, and against hidden retries."""
        self.path.placement.refuse_from_attempt = 1
        with self.assertRaises(openai.RateLimitError) as refused:
            await self.chat()
        self.assertEqual(refused.exception.code, "overloaded")
        headers = refused.exception.response.headers
        self.assertEqual(headers["x-outcome"], "not_run")
        self.assertEqual((headers["retry-after"], headers["retry-after-ms"]), ("2", "1500"))
        with self.assertRaises(openai.NotFoundError) as unknown:
            await self.chat(model="nobody")
        self.assertEqual(
            (unknown.exception.code, unknown.exception.param), ("model_not_found", "model")
        )
        self.path.placement.refuse_from_attempt = 9
        self.engines.faults = {ServerId(f"p{n}"): EngineFault.LOST_IN_PREFILL for n in (1, 2, 3)}
        with self.assertRaises(openai.InternalServerError) as failed:
            await self.client.with_options(max_retries=2).completions.create(
                model="slidsk", prompt="a"
            )
        self.assertEqual(failed.exception.code, "restarts_exhausted")
        self.assertEqual(failed.exception.response.headers["x-outcome"], "unknown")
        self.assertEqual(len(self.path.placement.reserved), 3)

    async def test_interrupted_stream_ends_with_an_error(self) -> None:
        """Guards against a truncated answer that looks complete."""
        self.engines.chunks_before_fault = 0
        self.engines.faults = {ServerId(f"d{n}"): EngineFault.LOST_IN_DECODE for n in (1, 2, 3)}
        stream = await self.chat(stream=True)
        with self.assertRaises(openai.APIError) as caught:
            async for _ in stream:
                pass
        self.assertEqual(caught.exception.code, "restarts_exhausted")
        body = {"model": "slidsk", "prompt": "a", "stream": True}
        async with self.session.post(f"{self.url}/v1/completions", json=body) as answer:
            events = (await answer.read()).split(b"\n\n")
        self.assertEqual(json.loads(events[-2][6:])["error"]["outcome"], "unknown")
        self.assertNotIn(b"data: [DONE]", events)

    async def test_engine_memory_is_released_after_disconnect(self) -> None:
        """Guards against engine memory that stays occupied after a disconnect during a stream."""
        self.engines.faults[ServerId("d1")] = EngineFault.STALL_IN_DECODE
        stream = await self.chat(stream=True)
        await anext(aiter(stream))
        await stream.close()
        async with asyncio.timeout(5):
            while not self.path.placement.released:  # noqa: ASYNC110 - the fake has no event
                await asyncio.sleep(0.001)
        await self.runner.drain()
        self.assertEqual({call[0] for call in self.engines.cancelled}, {"p1", "d1"})
        self.assertEqual((self.engines.held, self.engines.open_streams), ({}, 0))
        self.assertEqual(self.path.observer.reports[0].code, "caller_gone")
