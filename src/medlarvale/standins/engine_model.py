"""Deterministic model and tokenizer of the stand-in engines; tests can check whole answers."""

from __future__ import annotations

import struct
from collections.abc import Iterable, Sequence

import msgspec
import xxhash

ANSWER_VOCABULARY = 50_000
TOKEN_MASK = (1 << 31) - 1
# Prompts share cached prefixes in whole blocks; smaller blocks need more hashes per prompt.
CACHE_BLOCK_TOKENS = 256


def token_of_word(word: str) -> int:
    """Returns the token of a word, which is the same in every process."""
    return xxhash.xxh3_64_intdigest(word.encode()) & TOKEN_MASK


def tokenize(text: str) -> list[int]:
    """Returns one token for each whitespace-separated word."""
    return [token_of_word(word) for word in text.split()]


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str


def chat_prompt(messages: Iterable[ChatMessage]) -> list[int]:
    """Returns the prompt tokens of a chat: for each message, its role and then its content."""
    return [
        token
        for message in messages
        for token in (token_of_word(f"<|{message.role}|>"), *tokenize(message.content))
    ]


def token_text(token: int) -> str:
    """Returns the text of an answer token."""
    return f" w{token}"


def hash_tokens(tokens: Sequence[int], seed: int = 0) -> int:
    """Returns the 64-bit hash of a token sequence."""
    packed = struct.pack(f"<{len(tokens)}Q", *tokens)
    return xxhash.xxh3_64_intdigest(packed, seed=seed)


def answer_token(prompt_hash: int, index: int) -> int:
    """Returns token ``index`` of the answer.

    It depends only on the original prompt and not on tokens that an earlier attempt generated: a
    prefill that continues an answer passes these separately, as ``generated_tokens``.

    Args:
        prompt_hash: ``hash_tokens`` of the original prompt.
        index: index of the token in the whole answer, from 0.
    """
    return xxhash.xxh3_64_intdigest(struct.pack("<QQ", prompt_hash, index)) % ANSWER_VOCABULARY


def expected_answer(prompt_tokens: Sequence[int], count: int) -> list[int]:
    """Returns the first ``count`` tokens of the answer to a prompt."""
    prompt_hash = hash_tokens(prompt_tokens)
    return [answer_token(prompt_hash, index) for index in range(count)]


def prefix_hashes(tokens: Sequence[int], block_tokens: int = CACHE_BLOCK_TOKENS) -> list[int]:
    """Returns the hash of each prefix of whole blocks, shortest first.

    The hash of a prefix is the xxh3_64 of its tokens, encoded as little-endian 32-bit integers.
    """
    digest = xxhash.xxh3_64()
    hashes: list[int] = []
    for start in range(0, len(tokens) - block_tokens + 1, block_tokens):
        block = tokens[start : start + block_tokens]
        digest.update(struct.pack(f"<{block_tokens}I", *block))
        hashes.append(digest.intdigest())
    return hashes
