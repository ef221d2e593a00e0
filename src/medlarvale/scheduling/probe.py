"""Reads reports from engines and cancels requests there, with an in-memory version for tests."""

from __future__ import annotations

from typing import Any, Protocol, TypeVar

import aiohttp
import msgspec

from medlarvale.errors import DECODE_ERRORS
from medlarvale.ids import AttemptNumber, HostIdentity, RequestId, ServerId
from medlarvale.membership.servers import BackendServer
from medlarvale.scheduling.errors import ProbeError
from medlarvale.scheduling.reports import CacheEvents, EngineRequest, LoadReport

AnswerT = TypeVar("AnswerT")

# Shorter than the poll period, so that an unresponsive engine is detected before the next poll.
PROBE_TIMEOUT_MS = 400.0


class EngineProbe(Protocol):
    """Calls to engines that the placement scheduler needs.

    All methods raise ``ProbeError`` if the engine does not answer in time or answers with an error.
    """

    async def load(self, engine: BackendServer) -> LoadReport:
        """Returns the load report, which lags behind the state of the engine."""

    async def requests(self, engine: BackendServer) -> list[EngineRequest]:
        """Returns the requests that the engine holds memory for."""

    async def cache_events(self, engine: BackendServer, start: int) -> CacheEvents:
        """Returns the cache events from number ``start`` on."""

    async def cancel(
        self, engine: BackendServer, request: RequestId, attempt: AttemptNumber
    ) -> None:
        """Cancels an attempt and all older ones; idempotent."""


class HttpEngineProbe:
    """Probe over the engines' HTTP protocol.

    Args:
        session: client session; the caller closes it.
        identity: this host, sent as the owner with each cancel.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        identity: HostIdentity,
        timeout_ms: float = PROBE_TIMEOUT_MS,
    ) -> None:
        self._session = session
        self._identity = identity
        self._timeout = aiohttp.ClientTimeout(total=timeout_ms / 1000.0)

    async def load(self, engine: BackendServer) -> LoadReport:
        """Returns the load report, which lags behind the state of the engine."""
        return await self._get(engine, "/v1/load", LoadReport)

    async def requests(self, engine: BackendServer) -> list[EngineRequest]:
        """Returns the requests that the engine holds memory for."""
        return await self._get(engine, "/v1/requests", list[EngineRequest])

    async def cache_events(self, engine: BackendServer, start: int) -> CacheEvents:
        """Returns the cache events from number ``start`` on."""
        return await self._get(engine, f"/v1/cache-events?from={start}", CacheEvents)

    async def cancel(
        self, engine: BackendServer, request: RequestId, attempt: AttemptNumber
    ) -> None:
        """Cancels an attempt and all older ones; idempotent."""
        headers = {"X-Owner": str(self._identity), "X-Attempt": str(attempt)}
        body = {"request_id": request, "attempt": attempt}
        await self._call("POST", f"{engine.address}/v1/cancel", headers=headers, json=body)

    async def _get(self, engine: BackendServer, path: str, answer_type: type[AnswerT]) -> AnswerT:
        body = await self._call("GET", f"{engine.address}{path}")
        try:
            return msgspec.json.decode(body, type=answer_type, strict=False)
        except DECODE_ERRORS as error:
            raise ProbeError(f"{engine.server}: unexpected answer to {path}: {error}") from error

    async def _call(self, method: str, url: str, **options: Any) -> bytes:
        try:
            async with self._session.request(
                method, url, timeout=self._timeout, **options
            ) as response:
                body = await response.read()
                if response.status >= 300:
                    raise ProbeError(f"{url}: status {response.status}")
                return body
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise ProbeError(f"{url}: {error!r}") from error


class MemoryEngine(msgspec.Struct):
    """Reports of one engine in a ``MemoryEngineProbe``."""

    load: LoadReport
    requests: list[EngineRequest] = []
    events: CacheEvents = CacheEvents([], 0)
    reachable: bool = True


class MemoryEngineProbe:
    """In-memory version of the probe: tests set the reports and read the cancels."""

    def __init__(self) -> None:
        self.engines: dict[ServerId, MemoryEngine] = {}
        self.cancelled: list[tuple[ServerId, RequestId, AttemptNumber]] = []

    async def load(self, engine: BackendServer) -> LoadReport:
        """Returns the load report that the test set."""
        return self._reachable_engine(engine).load

    async def requests(self, engine: BackendServer) -> list[EngineRequest]:
        """Returns the requests that the test set."""
        return list(self._reachable_engine(engine).requests)

    async def cache_events(self, engine: BackendServer, start: int) -> CacheEvents:
        """Returns the cache events that the test set, from number ``start`` on."""
        answer = self._reachable_engine(engine).events
        return CacheEvents([event for event in answer.events if event.n >= start], answer.next)

    async def cancel(
        self, engine: BackendServer, request: RequestId, attempt: AttemptNumber
    ) -> None:
        """Removes this attempt and older attempts of a request, and records the cancel."""
        found = self._reachable_engine(engine)
        found.requests = [
            held for held in found.requests if held.request_id != request or held.attempt > attempt
        ]
        self.cancelled.append((engine.server, request, attempt))

    def _reachable_engine(self, engine: BackendServer) -> MemoryEngine:
        found = self.engines.get(engine.server)
        if found is None or not found.reachable:
            raise ProbeError(f"{engine.server} does not answer")
        return found
