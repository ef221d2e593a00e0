"""Sizes and rates that the placement scheduler of one engine group uses."""

from __future__ import annotations

import msgspec

from medlarvale.ids import WorkspaceId
from medlarvale.settings.schema import DEFAULT_VALUES, Values


class GroupLimits(msgspec.Struct, frozen=True):
    """Settings of an engine group.

    Attributes:
        message_delay_ms: time from a decision to the start of the prefill at the engine: one
            message to the entry host and one to the engine.
        place_ahead_ms: an engine gets the next prefill when its queue is at most this long.
            With longer queues the scheduler would choose the next request too early; with an
            empty queue the engine would be idle for the message delay.
        weights: relative shares of the workspaces; 1 for workspaces not listed.
    """

    slots_per_engine: int = 20
    pieces_per_engine: int = 256
    tokens_per_piece: int = 2_000
    kv_ttl_ms: float = 800.0
    kv_bytes_per_token: int = 100_000
    link_rate_bytes_per_s: float = 3e9
    prefill_tokens_per_s: float = 20_000.0
    batch_share: float = 0.1
    retry_budget_share: float = 0.1
    message_delay_ms: float = 3.0
    place_ahead_ms: float = 20.0
    weights: dict[WorkspaceId, int] = {}

    def kv_blocks_for(self, tokens: int) -> int:
        """Returns the number of KV blocks that the KV cache of a number of tokens needs."""
        return max(1, -(-tokens // self.tokens_per_piece))

    def transfer_ms(self, tokens: int) -> float:
        """Returns the time to transfer the KV cache of a number of tokens over one link."""
        return 1000.0 * tokens * self.kv_bytes_per_token / self.link_rate_bytes_per_s


def limits_from_values(values: Values, weights: dict[WorkspaceId, int]) -> GroupLimits:
    """Returns the limits from the current settings of a service; unset values get defaults."""

    def value(name: str) -> int:
        found = getattr(values, name)
        return getattr(DEFAULT_VALUES, name) if found is None else found

    return GroupLimits(
        slots_per_engine=value("slots_per_engine"),
        pieces_per_engine=value("pieces_per_engine"),
        tokens_per_piece=value("tokens_per_piece"),
        kv_ttl_ms=value("kv_ttl_ms"),
        kv_bytes_per_token=value("kv_bytes_per_token"),
        link_rate_bytes_per_s=value("link_rate_bytes_per_s"),
        prefill_tokens_per_s=value("prefill_tokens_per_s"),
        batch_share=value("batch_share_percent") / 100.0,
        retry_budget_share=value("retry_budget_percent") / 100.0,
        weights=weights,
    )
