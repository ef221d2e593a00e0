"""Messages between entry hosts about the settings tree."""

from __future__ import annotations

import msgspec

from medlarvale.ids import ConfigVersion


class TreeRequest(msgspec.Struct, tag="tree_request", frozen=True):
    """Requests a peer's tree.

    Attributes:
        newer_than: the peer includes the text only if its version is above this one.
    """

    newer_than: ConfigVersion


class TreeAnswer(msgspec.Struct, tag="tree_answer", frozen=True):
    """Response to a ``TreeRequest``.

    Attributes:
        version: the version in force at the peer; ``NO_VERSION`` if there is none.
        text: the text of the version; empty unless it is above ``newer_than``.
    """

    version: ConfigVersion
    text: bytes = b""


MESSAGE_TYPES: tuple[type[msgspec.Struct], ...] = (TreeRequest, TreeAnswer)
