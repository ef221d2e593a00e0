"""Conversion between text and tokens, as defined by the engine protocol."""

from __future__ import annotations

from array import array

import msgspec
import xxhash

TOKEN_MASK = 0x7FFF_FFFF
MAX_TOKEN = TOKEN_MASK

# Cache events and the scheduler's prefix index must use this block length too.
PREFIX_BLOCK_TOKENS = 256


def token_of_word(word: str) -> int:
    """Returns the token of a word: its xxh3_64 hash reduced to 31 bits."""
    return xxhash.xxh3_64_intdigest(word.encode()) & TOKEN_MASK


def tokens_of_text(text: str) -> list[int]:
    """Splits a text on whitespace and returns the token of each word."""
    digest = xxhash.xxh3_64_intdigest
    return [digest(word.encode()) & TOKEN_MASK for word in text.split()]


def tokens_of_messages(messages: list[tuple[str, str]]) -> list[int]:
    """Returns the prompt of a chat: per message a role token and the tokens of its content.

    Args:
        messages: (role, content) of each message, oldest first.
    """
    tokens: list[int] = []
    for role, content in messages:
        tokens.append(token_of_word(f"<|{role}|>"))
        tokens.extend(tokens_of_text(content))
    return tokens


def utf8_of_tokens(tokens: list[int]) -> bytes:
    """Returns the text of answer tokens as UTF-8 that needs no escaping in JSON.

    Encoding via JSON takes about half the time of formatting each number in Python.
    """
    if not tokens:
        return b""
    return b" w" + msgspec.json.encode(tokens)[1:-1].replace(b",", b" w")


def text_of_tokens(tokens: list[int]) -> str:
    """Returns the text of answer tokens."""
    return utf8_of_tokens(tokens).decode()


def prefix_hashes(tokens: list[int], block_tokens: int = PREFIX_BLOCK_TOKENS) -> list[int]:
    """Returns the hash of each prefix of complete blocks, shortest prefix first.

    The hash of a prefix is the xxh3_64 of its tokens as little-endian 32-bit integers.
    """
    packed = array("I", tokens)
    digest = xxhash.xxh3_64()
    hashes = []
    for end in range(block_tokens, len(tokens) + 1, block_tokens):
        digest.update(packed[end - block_tokens : end].tobytes())
        hashes.append(digest.intdigest())
    return hashes
