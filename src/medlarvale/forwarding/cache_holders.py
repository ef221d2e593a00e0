"""Finds the engine that keeps the KV cache of a stream whose host was lost."""

from __future__ import annotations

import asyncio

from medlarvale.forwarding.errors import BackendError
from medlarvale.forwarding.interface import Backends
from medlarvale.forwarding.messages import EngineStage, PromptPartId
from medlarvale.forwarding.servers import ServerLoad, ServerTable
from medlarvale.ids import ServerId, ServiceName
from medlarvale.logs import Event, log_info, log_warning

# Callers of a lost host come back within a few seconds, and one list serves many of them.
LIST_AGE_MS = 500.0


class CacheHolderFinder:
    """Asks engines what they keep, at most once in a while.

    Args:
        backends: calls to engines.
        servers: engines as published.
    """

    def __init__(self, backends: Backends, servers: ServerTable) -> None:
        self._backends = backends
        self._servers = servers
        self._lists: dict[ServerId, tuple[float, asyncio.Task[dict[PromptPartId, int]]]] = {}

    async def find(
        self, service: ServiceName, part: PromptPartId, now_ms: float
    ) -> tuple[int, ServerId | None]:
        """Returns the decode engine that keeps most tokens of a part, and their number."""
        loads = self._servers.candidates(service, now_ms, stage=EngineStage.DECODE, sound_only=True)
        kept = await asyncio.gather(*(self._kept_tokens(load, part, now_ms) for load in loads))
        tokens, engine = max(
            zip(kept, (load.server.server for load in loads), strict=True), default=(0, None)
        )
        log_info(Event.KEEPER_SOUGHT, part=part, server=engine, tokens=tokens, asked=len(loads))
        return (tokens, engine) if tokens else (0, None)

    async def _kept_tokens(self, load: ServerLoad, part: PromptPartId, now_ms: float) -> int:
        server = load.server.server
        asked_ms, task = self._lists.get(server, (0.0, None))
        if task is None or now_ms - asked_ms > LIST_AGE_MS:
            task = asyncio.get_running_loop().create_task(self._backends.cached_parts(load.server))
            self._lists[server] = (now_ms, task)
        try:
            return (await asyncio.shield(task)).get(part, 0)
        except BackendError as error:
            log_warning(Event.KEEPER_UNKNOWN, server=server, error=error.message)
            return 0
