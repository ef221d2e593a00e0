"""A model request as the callers' interface hands it to the runner."""

from __future__ import annotations

from typing import Protocol

import msgspec

from medlarvale.completions.sequence import FinishReason
from medlarvale.ids import RequestId, ServiceName, WorkspaceId
from medlarvale.scheduling.messages import WorkClass

DEFAULT_EXPECTED_OUTPUT_TOKENS = 256


class ModelRequest(msgspec.Struct, frozen=True):
    """A checked request.

    Attributes:
        max_tokens: the answer ends at this length at the latest.
        expected_output_tokens: estimate for the booker.
        deadline_ms: time left for the whole answer.
        first_token_deadline_ms: time left until the first token.
        fingerprint: identifies repeats of the request; see ``completions.fingerprint``.
        traceparent: trace of the caller, or empty.
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
        """Sends tokens on; waits while the caller is slow to read.

        Raises:
            CallerGoneError: the caller's connection is closed.
        """


class Completion(msgspec.Struct, frozen=True):
    """What is known of a whole answer, beside the tokens that went to the sink."""

    finish_reason: FinishReason
    prompt_tokens: int
    output_tokens: int


class TokenList:
    """Sink for answers that are sent as a whole."""

    def __init__(self) -> None:
        self.tokens: list[int] = []

    async def deliver(self, tokens: list[int]) -> None:
        """Keeps the tokens."""
        self.tokens.extend(tokens)
