"""Seeds that broke a promise once, which ``make soak-regressions`` plays again."""

from __future__ import annotations

from pathlib import Path

import msgspec

from soak.plan import Trouble

REGRESSIONS = Path(__file__).with_suffix(".yaml")


class Regression(msgspec.Struct, frozen=True):
    """A seed with what it had when it broke a promise.

    Attributes:
        cause: why it broke it.
    """

    seed: int
    hosts: int
    troubles: tuple[Trouble, ...]
    cause: str


def load_regressions() -> list[Regression]:
    """Returns the seeds of regressions.yaml."""
    return msgspec.yaml.decode(REGRESSIONS.read_bytes(), type=list[Regression], strict=True)
