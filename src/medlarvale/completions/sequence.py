"""Assembles an answer from chunks so that each token is handed out once and in order."""

from __future__ import annotations

import enum

from medlarvale.completions.errors import SequenceConflictError
from medlarvale.ids import AttemptNumber


class FinishReason(enum.Enum):
    """Why an answer is whole, in the words of the openai API."""

    STOP = "stop"
    LENGTH = "length"


class TokenSequence:
    """The tokens of one answer over all attempts of its request.

    Chunks may be repeated, overlap, arrive late or out of order, or belong to an older attempt.
    A token that differs from the one already known at its index means that two answers would be
    mixed, which is an error instead of a silent choice.

    Args:
        limit: the answer ends at this number of tokens at the latest.

    Attributes:
        tokens: the answer so far, without gaps.
        whole: whether every token of the answer is in ``tokens``.
    """

    def __init__(self, limit: int) -> None:
        self.tokens: list[int] = []
        self.whole = False
        self._limit = limit
        self._attempt = AttemptNumber(0)
        self._ahead: dict[int, int] = {}
        self._end: int | None = None

    def start_attempt(self, attempt: AttemptNumber) -> None:
        """Makes ``attempt`` the only one whose chunks count; they continue ``tokens``."""
        self._attempt = attempt
        self._ahead.clear()
        self._end = None

    @property
    def finish_reason(self) -> FinishReason:
        """Why the whole answer ended."""
        return FinishReason.LENGTH if len(self.tokens) >= self._limit else FinishReason.STOP

    def accept(
        self, attempt: AttemptNumber, first_index: int, tokens: list[int], done: bool
    ) -> list[int]:
        """Takes a chunk and returns the tokens that may now be sent to the caller.

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
        if first_index == known and not self._ahead and self._end is None:
            fresh = tokens if known + len(tokens) <= self._limit else tokens[: self._limit - known]
            self.tokens += fresh
        else:
            self._store(first_index, tokens)
            fresh = self._take_ahead()
        known = len(self.tokens)
        self.whole = known >= self._limit or known == self._end
        return fresh

    def _set_end(self, end: int) -> None:
        if self._end not in (None, end) or end < len(self.tokens):
            raise SequenceConflictError(f"answer ends at {end} and at another index")
        if any(index >= end for index in self._ahead):
            raise SequenceConflictError(f"answer ends at {end} before a token that was sent")
        self._end = end

    def _store(self, first_index: int, tokens: list[int]) -> None:
        known = len(self.tokens)
        for index, token in enumerate(tokens, first_index):
            if index >= self._limit:
                break
            if self._end is not None and index >= self._end:
                raise SequenceConflictError(f"token {index} follows the end of the answer")
            held = self.tokens[index] if index < known else self._ahead.get(index)
            if held is None:
                self._ahead[index] = token
            elif held != token:
                raise SequenceConflictError(f"token {index} was sent with two values")

    def _take_ahead(self) -> list[int]:
        fresh = []
        while (token := self._ahead.pop(len(self.tokens), None)) is not None:
            self.tokens.append(token)
            fresh.append(token)
        return fresh
