"""Response bodies and server-sent events in the format of the openai API."""

from __future__ import annotations

import msgspec
from aiohttp import web

from medlarvale.callers.error_body import REQUEST_ID_HEADER, error_body
from medlarvale.completions.errors import CallerGoneError
from medlarvale.completions.request import Completion
from medlarvale.completions.tokens import text_of_tokens, utf8_of_tokens
from medlarvale.errors import MedlarvaleError
from medlarvale.ids import RequestId

DONE_EVENT = b"data: [DONE]\n\n"


class AnswerShape(msgspec.Struct, frozen=True):
    """Fields common to all objects of one answer.

    Attributes:
        chat: the answer belongs to the chat endpoint.
        created_s: time of the request in seconds since the Unix epoch.
    """

    request_id: RequestId
    model: str
    created_s: int
    chat: bool

    @property
    def answer_id(self) -> str:
        """The id of the answer in the format of the openai API."""
        return f"{'chatcmpl' if self.chat else 'cmpl'}-{self.request_id}"

    def head(self, kind: str) -> bytes:
        """Returns the common fields of an object as JSON, without the closing brace.

        Args:
            kind: value of the field ``object``.
        """
        fields = {
            "id": self.answer_id,
            "object": kind,
            "created": self.created_s,
            "model": self.model,
        }
        return msgspec.json.encode(fields)[:-1]


def usage_json(completion: Completion) -> bytes:
    """Returns the ``usage`` object of an answer."""
    return msgspec.json.encode(
        {
            "prompt_tokens": completion.prompt_tokens,
            "completion_tokens": completion.output_tokens,
            "total_tokens": completion.prompt_tokens + completion.output_tokens,
        }
    )


def completion_body(shape: AnswerShape, tokens: list[int], completion: Completion) -> bytes:
    """Returns the body of an answer that is not streamed."""
    text = msgspec.json.encode(text_of_tokens(tokens))
    if shape.chat:
        kind = "chat.completion"
        content = b'"message":{"role":"assistant","content":' + text + b"}"
    else:
        kind = "text_completion"
        content = b'"text":' + text
    return b"".join(
        [
            shape.head(kind),
            b',"choices":[{"index":0,',
            content,
            b',"logprobs":null,"finish_reason":"',
            completion.finish_reason.value.encode(),
            b'"}],"usage":',
            usage_json(completion),
            b"}",
        ]
    )


class EventStream:
    """Sink that sends each delivery to the caller as one event.

    The constant parts of an event are built once, so that an event costs only the text of its
    tokens and one write. The headers are sent with the first tokens; until then an error can
    still be reported with an HTTP status.
    """

    def __init__(self, request: web.Request, shape: AnswerShape, *, include_usage: bool) -> None:
        self._request = request
        self._include_usage = include_usage
        self._chat = shape.chat
        kind = "chat.completion.chunk" if shape.chat else "text_completion"
        self._object_start = b"data: " + shape.head(kind)
        object_end = b',"usage":null}\n\n' if include_usage else b"}\n\n"
        field = b'"delta":{"content":"' if shape.chat else b'"text":"'
        self._event_start = self._object_start + b',"choices":[{"index":0,' + field
        self._event_end = (b'"}' if shape.chat else b'"') + b',"finish_reason":null}]' + object_end
        self._object_end = object_end
        self._started = False
        self.response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-cache",
                REQUEST_ID_HEADER: shape.request_id,
            }
        )

    @property
    def started(self) -> bool:
        """Whether the status of the response has already been sent."""
        return self._started

    async def deliver(self, tokens: list[int]) -> None:
        """Sends tokens as one event."""
        event = self._event_start + utf8_of_tokens(tokens) + self._event_end
        if not self._started:
            await self._write(self._opening_event() + event)
            return
        try:
            await self.response.write(event)
        except ConnectionError as error:
            raise CallerGoneError from error

    async def finish(self, completion: Completion) -> None:
        """Sends the closing events of a complete answer."""
        content = b'"delta":{}' if self._chat else b'"text":""'
        reason = completion.finish_reason.value.encode()
        parts = [
            b"" if self.started else self._opening_event(),
            self._object_start + b',"choices":[{"index":0,' + content,
            b',"finish_reason":"' + reason + b'"}]' + self._object_end,
        ]
        if self._include_usage:
            parts.append(
                self._object_start + b',"choices":[],"usage":' + usage_json(completion) + b"}\n\n"
            )
        parts.append(DONE_EVENT)
        await self._write(b"".join(parts))
        await self._end()

    async def fail(self, error: MedlarvaleError, request_id: RequestId) -> None:
        """Ends a started answer with an error event, without the final ``[DONE]``."""
        await self._write(b"data: " + error_body(error, request_id) + b"\n\n")
        await self._end()

    def _opening_event(self) -> bytes:
        if not self._chat:
            return b""
        return (
            self._object_start
            + b',"choices":[{"index":0,"delta":{"role":"assistant","content":""},'
            + b'"finish_reason":null}]'
            + self._object_end
        )

    async def _write(self, data: bytes) -> None:
        try:
            if not self._started:
                self._started = True
                await self.response.prepare(self._request)
            await self.response.write(data)
        except ConnectionError as error:
            raise CallerGoneError from error

    async def _end(self) -> None:
        try:
            await self.response.write_eof()
        except ConnectionError as error:
            raise CallerGoneError from error
