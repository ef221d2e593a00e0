"""Rendezvous hashing: chooses which of several candidates is responsible for a key.

Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998).
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

import xxhash

Candidate = TypeVar("Candidate", bound=str)


def weight(key: str, candidate: str) -> int:
    """Returns the 64-bit rendezvous weight of ``candidate`` for ``key``."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{candidate}".encode("utf-8", "surrogateescape"))


def rank(key: str, candidates: Iterable[Candidate]) -> list[Candidate]:
    """Returns the candidates from the highest weight for ``key`` to the lowest."""
    return sorted(candidates, key=lambda candidate: weight(key, candidate), reverse=True)


def choose(key: str, candidates: Iterable[Candidate]) -> Candidate | None:
    """Returns the candidate with the highest weight for ``key``, or None without candidates."""
    return max(candidates, key=lambda candidate: weight(key, candidate), default=None)
