"""The model endpoints, compatible with the openai API."""

from __future__ import annotations

import msgspec
from aiohttp import web

from medlarvale.callers.dependencies import REQUEST_ID, CallerDependencies
from medlarvale.callers.error_body import OUTCOME_HEADER, REQUEST_ID_HEADER
from medlarvale.callers.errors import BadValueError, BodyTooLargeError, PromptTooLongError
from medlarvale.callers.sse import AnswerShape, EventStream, completion_body
from medlarvale.callers.validation import (
    ChatBody,
    CompletionBody,
    ModelBody,
    deadline_ms,
    decode_body,
    read_body,
    single_header,
    work_class,
)
from medlarvale.completions.fingerprint import fingerprint_of
from medlarvale.completions.request import (
    DEFAULT_EXPECTED_OUTPUT_TOKENS,
    ModelRequest,
    TokenCollector,
)
from medlarvale.completions.tokens import tokens_of_messages, tokens_of_text
from medlarvale.errors import MedlarvaleError, Outcome
from medlarvale.ids import ServiceName, WorkspaceId
from medlarvale.scheduling.messages import WorkClass
from medlarvale.tracing import TRACEPARENT

MODEL_OWNER = "medlarvale"


class ModelApi:
    """Handlers of the model endpoints."""

    def __init__(self, deps: CallerDependencies) -> None:
        self._deps = deps

    async def chat(self, request: web.Request) -> web.StreamResponse:
        """``POST /v1/chat/completions``."""
        workspace = self._deps.workspaces.workspace_of(request)
        data = await self._read(request)
        body = decode_body(data, ChatBody)
        prompt = tokens_of_messages([(message.role, message.text()) for message in body.messages])
        requested_tokens = body.max_completion_tokens or body.max_tokens
        model_request = self._model_request(
            request, workspace, data, body, prompt, requested_tokens
        )
        return await self._answer(request, model_request, body, chat=True)

    async def completions(self, request: web.Request) -> web.StreamResponse:
        """``POST /v1/completions``."""
        workspace = self._deps.workspaces.workspace_of(request)
        data = await self._read(request)
        body = decode_body(data, CompletionBody)
        prompt = tokens_of_text(body.prompt) if isinstance(body.prompt, str) else body.prompt
        if not prompt:
            raise BadValueError("the prompt is empty", param="prompt")
        model_request = self._model_request(request, workspace, data, body, prompt, body.max_tokens)
        return await self._answer(request, model_request, body, chat=False)

    async def models(self, request: web.Request) -> web.Response:
        """``GET /v1/models``."""
        workspace = self._deps.workspaces.workspace_of(request)
        models = [
            {"id": model, "object": "model", "created": 0, "owned_by": MODEL_OWNER}
            for model in self._deps.workspaces.models(workspace)
        ]
        return self._json(request, msgspec.json.encode({"object": "list", "data": models}))

    async def _read(self, request: web.Request) -> bytes:
        deps = self._deps
        return await read_body(request, deps.value("max_body_bytes"), deps.clock, deps.uploads)

    def _model_request(
        self,
        request: web.Request,
        workspace: WorkspaceId,
        data: bytes,
        body: ModelBody,
        prompt: list[int],
        requested_tokens: int | None,
    ) -> ModelRequest:
        """Checks the limits of the service and returns the request for the runner."""
        deps = self._deps
        service = deps.workspaces.model_service(workspace, body.model)
        self._check_limits(service, data, prompt, requested_tokens)
        total_ms = deadline_ms(request, deps.value("request_deadline_ms", service))
        request_class = work_class(request)
        # A user waits for live work: a first token later than the target is of little use, and an
        # early refusal lets the caller use an alternative. Batch work may wait until its deadline.
        first_token_ms = total_ms
        if request_class is WorkClass.LIVE:
            first_token_ms = min(total_ms, deps.value("ttft_target_ms", service))
        max_output = deps.value("max_output_tokens", service)
        return ModelRequest(
            request_id=request[REQUEST_ID],
            service=service,
            model=body.model,
            workspace=workspace,
            work_class=request_class,
            prompt_tokens=prompt,
            max_tokens=requested_tokens or max_output,
            expected_output_tokens=requested_tokens
            or min(max_output, DEFAULT_EXPECTED_OUTPUT_TOKENS),
            deadline_ms=total_ms,
            first_token_deadline_ms=first_token_ms,
            fingerprint=fingerprint_of(workspace, service, data),
            traceparent=single_header(request, TRACEPARENT) or "",
        )

    def _check_limits(
        self, service: ServiceName, data: bytes, prompt: list[int], requested_tokens: int | None
    ) -> None:
        deps = self._deps
        if len(data) > deps.value("max_body_bytes", service):
            raise BodyTooLargeError("the body is larger than the service accepts")
        max_prompt = deps.value("max_prompt_tokens", service)
        if len(prompt) > max_prompt:
            raise PromptTooLongError(f"the prompt has more than {max_prompt} tokens")
        max_output = deps.value("max_output_tokens", service)
        if requested_tokens is not None and requested_tokens > max_output:
            raise BadValueError(f"max_tokens must be at most {max_output}", param="max_tokens")

    async def _answer(
        self, request: web.Request, model_request: ModelRequest, body: ModelBody, *, chat: bool
    ) -> web.StreamResponse:
        shape = AnswerShape(
            request_id=model_request.request_id,
            model=body.model,
            created_s=self._deps.clock.wall_ms() // 1_000,
            chat=chat,
        )
        if body.stream:
            usage = body.stream_options is not None and body.stream_options.include_usage
            return await self._stream(
                EventStream(request, shape, include_usage=usage), model_request
            )
        sink = TokenCollector()
        completion = await self._deps.runner.run(model_request, sink)
        return self._json(request, completion_body(shape, sink.tokens, completion))

    async def _stream(self, stream: EventStream, request: ModelRequest) -> web.StreamResponse:
        try:
            await stream.finish(await self._deps.runner.run(request, stream))
        except MedlarvaleError as error:
            if not stream.started:
                raise
            await stream.fail(error, request.request_id)
        except Exception as error:
            if not stream.started:
                raise
            await stream.fail(MedlarvaleError(type(error).__name__), request.request_id)
        return stream.response

    def _json(self, request: web.Request, body: bytes) -> web.Response:
        return web.Response(
            body=body,
            content_type="application/json",
            headers={
                OUTCOME_HEADER: Outcome.ANSWERED.value,
                REQUEST_ID_HEADER: request[REQUEST_ID],
            },
        )
