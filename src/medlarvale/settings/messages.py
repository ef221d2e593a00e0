"""Messages between entry hosts about the settings tree."""

from __future__ import annotations

import msgspec

from medlarvale.ids import ConfigVersion


class TreeRequest(msgspec.Struct, tag="tree_request", frozen=True):
    """Asks a peer for its tree.

    Attributes:
        newer_than: the peer sends the text only of a version above this one.
    """

    newer_than: ConfigVersion


class TreeAnswer(msgspec.Struct, tag="tree_answer", frozen=True):
    """Answers a ``TreeRequest``.

    Attributes:
        version: the version in force at the peer; ``NO_VERSION`` if there is none.
        text: its text; empty unless the version is newer than asked for.
    """

    version: ConfigVersion
    text: bytes = b""


MESSAGE_TYPES: tuple[type[msgspec.Struct], ...] = (TreeRequest, TreeAnswer)
