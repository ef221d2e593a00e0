"""Assembles an answer from chunks so that each token is delivered once and in order."""

from __future__ import annotations

import enum

from medlarvale.completions.errors import SequenceConflictError
from medlarvale.ids import AttemptNumber


class FinishReason(enum.Enum):
    """Why an answer is complete, with the values of the openai API."""

    STOP = "stop"
    LENGTH = "length"


class TokenSequence:
    """The tokens of one answer over all attempts of its request.

    Chunks may be repeated, overlap, arrive late or out of order, or belong to an older attempt.
    A token that differs from the one already received for its index is an error, because the
    caller would otherwise receive a mixture of two answers.

    Args:
        limit: maximum number of tokens of the answer.

    Attributes:
        tokens: the answer so far, without gaps.
        complete: whether every token of the answer is in ``tokens``.
    """

    def __init__(self, limit: int) -> None:
        self.tokens: list[int] = []
        self.complete = False
        self._limit = limit
        self._attempt = AttemptNumber(0)
        self._out_of_order: dict[int, int] = {}
        self._end: int | None = None

    def start_attempt(self, attempt: AttemptNumber) -> None:
        """Accepts only chunks of ``attempt`` from now on; they continue ``tokens``."""
        self._attempt = attempt
        self._out_of_order.clear()
        self._end = None

    @property
    def finish_reason(self) -> FinishReason:
        """Why the complete answer ended."""
        return FinishReason.LENGTH if len(self.tokens) >= self._limit else FinishReason.STOP

    def accept(
        self, attempt: AttemptNumber, first_index: int, tokens: list[int], done: bool
    ) -> list[int]:
        """Adds a chunk and returns the tokens that may now be sent to the caller.

        Args:
            first_index: index in the answer of the first token of the chunk.
            done: the answer ends with this chunk.

        Raises:
            SequenceConflictError: the chunk contradicts an earlier one.
        """
        if attempt != self._attempt:
            return []
        if first_index < 0:
            raise SequenceConflictError(f"chunk starts at index {first_index}")
        known = len(self.tokens)
        if done:
            self._set_end(first_index + len(tokens))
        if first_index == known and not self._out_of_order and self._end is None:
            new_tokens = (
                tokens if known + len(tokens) <= self._limit else tokens[: self._limit - known]
            )
            self.tokens += new_tokens
        else:
            self._store(first_index, tokens)
            new_tokens = self._pop_contiguous()
        known = len(self.tokens)
        self.complete = known >= self._limit or known == self._end
        return new_tokens

    def _set_end(self, end: int) -> None:
        if self._end not in (None, end) or end < len(self.tokens):
            raise SequenceConflictError(f"answer ends at index {end} and at another index")
        if any(index >= end for index in self._out_of_order):
            raise SequenceConflictError(f"answer ends at index {end}, before a token that was sent")
        self._end = end

    def _store(self, first_index: int, tokens: list[int]) -> None:
        known = len(self.tokens)
        for index, token in enumerate(tokens, first_index):
            if index >= self._limit:
                break
            if self._end is not None and index >= self._end:
                raise SequenceConflictError(f"token {index} is after the end of the answer")
            held = self.tokens[index] if index < known else self._out_of_order.get(index)
            if held is None:
                self._out_of_order[index] = token
            elif held != token:
                raise SequenceConflictError(f"token {index} was sent with two different values")

    def _pop_contiguous(self) -> list[int]:
        new_tokens = []
        while (token := self._out_of_order.pop(len(self.tokens), None)) is not None:
            self.tokens.append(token)
            new_tokens.append(token)
        return new_tokens
