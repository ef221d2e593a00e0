"""Finds the engines that hold the KV cache of a stream whose host was lost."""

from __future__ import annotations

import asyncio

from medlarvale.forwarding.errors import BackendError
from medlarvale.forwarding.interface import Backends
from medlarvale.forwarding.messages import EngineStage, PromptPartId
from medlarvale.forwarding.servers import ServerLoad, ServerTable
from medlarvale.ids import ServerId, ServiceName, SoftwareVersion
from medlarvale.logs import Event, log_info, log_warning

# Callers of a lost host reconnect within a few seconds, and one list serves many of them.
LIST_AGE_MS = 500.0


class CacheHolderFinder:
    """Queries engines for their cached prompts, at most once per ``LIST_AGE_MS``.

    Args:
        backends: calls to engines.
        servers: published engines.
    """

    def __init__(self, backends: Backends, servers: ServerTable) -> None:
        self._backends = backends
        self._servers = servers
        self._lists: dict[ServerId, tuple[float, asyncio.Task[dict[PromptPartId, int]]]] = {}

    async def find(
        self,
        service: ServiceName,
        part: PromptPartId,
        now_ms: float,
        software: SoftwareVersion | None = None,
    ) -> tuple[int, ServerId | None]:
        """Returns the most cached tokens of a prompt part, and the decode engine that has them.

        Args:
            service: its service.
            part: the part.
            now_ms: monotonic time.
            software: version of the engines to consider; None for all.
        """
        holders = [
            (tokens, load.server.server)
            for load, tokens in await self.holders(service, part, now_ms, software)
        ]
        tokens, engine = max(holders, default=(0, None))
        log_info(Event.KEEPER_SOUGHT, part=part, server=engine, tokens=tokens)
        return tokens, engine

    async def holders(
        self,
        service: ServiceName,
        part: PromptPartId,
        now_ms: float,
        software: SoftwareVersion | None = None,
    ) -> list[tuple[ServerLoad, int]]:
        """Returns the decode engines that have a prompt part cached, and how many tokens.

        Args:
            service: its service.
            part: the part.
            now_ms: monotonic time.
            software: version of the engines to consider; None for all.
        """
        loads = self._servers.candidates(
            service, now_ms, stage=EngineStage.DECODE, software=software, healthy_only=True
        )
        cached = await asyncio.gather(*(self._cached_tokens(load, part, now_ms) for load in loads))
        return [(load, tokens) for load, tokens in zip(loads, cached, strict=True) if tokens]

    async def _cached_tokens(self, load: ServerLoad, part: PromptPartId, now_ms: float) -> int:
        server = load.server.server
        queried_ms, task = self._lists.get(server, (0.0, None))
        if task is None or now_ms - queried_ms > LIST_AGE_MS:
            task = asyncio.get_running_loop().create_task(self._backends.cached_parts(load.server))
            self._lists[server] = (now_ms, task)
        try:
            return (await asyncio.shield(task)).get(part, 0)
        except BackendError as error:
            log_warning(Event.KEEPER_UNKNOWN, server=server, error=error.message)
            return 0
