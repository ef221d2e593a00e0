"""Model requests, as passed from the callers' interface to the runner."""

from __future__ import annotations

from typing import Protocol

import msgspec

from medlarvale.completions.sequence import FinishReason
from medlarvale.ids import RequestId, ServiceName, WorkspaceId
from medlarvale.scheduling.messages import WorkClass

DEFAULT_EXPECTED_OUTPUT_TOKENS = 256


class ModelRequest(msgspec.Struct, frozen=True):
    """A validated request.

    Attributes:
        max_tokens: maximum length of the answer.
        expected_output_tokens: estimate for the placement scheduler.
        deadline_ms: time left for the complete answer.
        first_token_deadline_ms: time left until the first token.
        fingerprint: equal for repeats of the request; see ``completions.fingerprint``.
        traceparent: trace context of the caller, or empty.
    """

    request_id: RequestId
    service: ServiceName
    model: str
    workspace: WorkspaceId
    work_class: WorkClass
    prompt_tokens: list[int]
    max_tokens: int
    expected_output_tokens: int
    deadline_ms: int
    first_token_deadline_ms: int
    fingerprint: int
    traceparent: str = ""


class TokenSink(Protocol):
    """Receives the tokens of an answer."""

    async def deliver(self, tokens: list[int]) -> None:
        """Sends tokens to the caller; waits while the caller is slow to read.

        Raises:
            CallerGoneError: the caller's connection is closed.
        """


class Completion(msgspec.Struct, frozen=True):
    """Metadata of a complete answer, whose tokens went to the sink."""

    finish_reason: FinishReason
    prompt_tokens: int
    output_tokens: int


class TokenCollector:
    """Sink that collects the tokens of an answer that is not streamed."""

    def __init__(self) -> None:
        self.tokens: list[int] = []

    async def deliver(self, tokens: list[int]) -> None:
        """Appends the tokens."""
        self.tokens.extend(tokens)
