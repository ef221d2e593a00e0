"""Actions returned by the decisions; ``SetRole`` and ``LoadModel`` are orders to an engine."""

from __future__ import annotations

import msgspec

from medlarvale.ids import ServerId
from medlarvale.settings.schema import PoolRole


class Drain(msgspec.Struct, frozen=True):
    """Stop assigning new work to an engine."""

    server: ServerId


class EndDrain(msgspec.Struct, frozen=True):
    """Resume assigning new work to an engine."""

    server: ServerId


class SetRole(msgspec.Struct, frozen=True):
    """Order an engine to change its role; idempotent.

    Attributes:
        fencing: start of the order coordinator's lease, larger for each later coordinator.
    """

    server: ServerId
    role: PoolRole
    fencing: int


class LoadModel(msgspec.Struct, frozen=True):
    """Order an engine to load a model; idempotent."""

    server: ServerId
    model: str
    fencing: int


OrderAction = Drain | EndDrain | SetRole | LoadModel
