"""Actions that the decisions ask for; ``SetRole`` and ``LoadModel`` are orders to an engine."""

from __future__ import annotations

import msgspec

from medlarvale.ids import ServerId
from medlarvale.settings.schema import PoolRole


class Drain(msgspec.Struct, frozen=True):
    """Give an engine no new work."""

    server: ServerId


class EndDrain(msgspec.Struct, frozen=True):
    """Give an engine new work again."""

    server: ServerId


class SetRole(msgspec.Struct, frozen=True):
    """Order an engine to change role; repeating it changes nothing.

    Attributes:
        fencing: start of the giver's lease, larger for each later giver.
    """

    server: ServerId
    role: PoolRole
    fencing: int


class LoadModel(msgspec.Struct, frozen=True):
    """Order an engine to load a model; repeating it changes nothing."""

    server: ServerId
    model: str
    fencing: int


OrderAction = Drain | EndDrain | SetRole | LoadModel
