"""Order in which the decode engines of a service are asked for memory."""

from __future__ import annotations

import random
from collections.abc import Sequence

from medlarvale.forwarding.servers import ERROR_PENALTY, ServerLoad, ServerTable
from medlarvale.ids import ServerId

# Load, as a share of engine memory, added to engines in other failure domains, because events from
# there cost more.
REMOTE_PENALTY = 0.05


def order_engines(
    candidates: Sequence[ServerLoad],
    servers: ServerTable,
    memory_tokens: int,
    rng: random.Random,
    preferred: ServerId | None,
) -> list[ServerLoad]:
    """Returns the engines, the one to ask first at the beginning.

    Args:
        candidates: engines that may get work.
        servers: what is known of them.
        memory_tokens: memory of one engine.
        rng: breaks ties.
        preferred: engine that holds the KV cache of the request.
    """
    best_error = min((load.error_share for load in candidates), default=0.0)

    def cost(load: ServerLoad) -> tuple[bool, float, float]:
        other = load.server.server != preferred
        share = load.tokens / memory_tokens + ERROR_PENALTY * (load.error_share - best_error)
        share += REMOTE_PENALTY * servers.is_remote(load)
        return other, share, rng.random()

    return sorted(candidates, key=cost)
