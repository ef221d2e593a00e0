"""KV transfers between stand-in engines: a small body that takes the time of a large one."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec

from medlarvale.standins.engine_core import EngineCore
from medlarvale.standins.engine_decode import DecodeRunner
from medlarvale.standins.engine_errors import (
    AttemptCancelledError,
    TransferFailedError,
    UnknownKvError,
)
from medlarvale.standins.engine_faults import StallTarget
from medlarvale.standins.engine_memory import Holding, HoldKey
from medlarvale.standins.engine_messages import ImportAnswer, ImportCall
from medlarvale.standins.engine_prefill import KvCache

KV_HEADER = "X-KV-Cache"
# One half is sent at the start and one at the end, so that a failed transfer has a truncated body.
KV_BODY_BYTES = 16_384
# Interval at which the remaining time is recomputed, because the share of the link rate may change.
POLL_MS = 5


async def wait_for_transfer(core: EngineCore, size_bytes: int) -> None:
    """Waits for the time of a transfer on the shared link of the engine, including stalls."""
    clock, faults, link = core.clock, core.faults, core.link
    now_ms = clock.now_ms()
    transfer = link.start(size_bytes, now_ms, faults.transfer_factor(now_ms))
    try:
        while link.remaining_bytes(transfer) > 0:
            finish_ms = link.finish_ms(transfer) * faults.factor
            stalled = faults.is_stalled(StallTarget.TRANSFERS, clock.now_ms())
            await clock.sleep_ms(POLL_MS if stalled else min(POLL_MS, max(finish_ms, 0.2)))
            now_ms = clock.now_ms()
            link.advance(now_ms, faults.transfer_factor(now_ms))
    finally:
        link.stop(transfer)


class KvImporter:
    """Pulls KV caches into a decode engine.

    Each engine has one link, which its outgoing and incoming transfers share. A transfer takes the
    longer of its times on the links of the two engines.
    """

    def __init__(
        self, core: EngineCore, decode: DecodeRunner, session: aiohttp.ClientSession
    ) -> None:
        self._core = core
        self._decode = decode
        self._session = session
        self._pulls: dict[HoldKey, asyncio.Task[KvCache]] = {}
        core.subscribe_releases(self._handle_release)

    async def import_kv(self, call: ImportCall) -> ImportAnswer:
        """Pulls a KV cache into a reservation; cancelling the coroutine releases the reservation.

        After a failed transfer the reservation remains for ``kv_ttl_ms``, so that the caller can
        cancel it or try another source.

        Raises:
            EngineError: the attempt has no reservation or has ended, or the source failed.
        """
        started_ms = self._core.clock.now_ms()
        holding = self._decode.begin_import(HoldKey(call.request_id, call.attempt))
        pull = asyncio.ensure_future(self._pull(call, holding))
        self._pulls[holding.key] = pull
        try:
            cache = await pull
        except asyncio.CancelledError:
            pull.cancel()
            if self._core.memory.find(holding.key) is not holding:
                raise AttemptCancelledError("the attempt was cancelled") from None
            self._decode.abandon(holding)
            raise
        except BaseException:
            self._decode.revert_import(holding)
            raise
        finally:
            self._pulls.pop(holding.key, None)
        if self._core.memory.find(holding.key) is not holding:
            self._core.counters.wasted_prefill_ms += cache.prefill_ms
            raise AttemptCancelledError("the attempt was cancelled")
        self._decode.finish_import(holding, cache)
        return ImportAnswer(self._core.clock.now_ms() - started_ms)

    async def _pull(self, call: ImportCall, holding: Holding) -> KvCache:
        address = call.source_address
        base = address if "://" in address else f"http://{address}"
        try:
            async with self._session.get(f"{base}/v1/kv/{call.kv_handle}") as response:
                if response.status != 200:
                    raise UnknownKvError(f"the source answered with status {response.status}")
                cache = msgspec.json.decode(response.headers[KV_HEADER], type=KvCache)
                self._decode.check_size(holding, cache)
                return await self._receive(response, cache)
        except (aiohttp.ClientError, OSError) as error:
            raise TransferFailedError(f"KV transfer from {address} failed: {error!r}") from error

    async def _receive(self, response: aiohttp.ClientResponse, cache: KvCache) -> KvCache:
        own_link = asyncio.ensure_future(wait_for_transfer(self._core, cache.kv_bytes))
        received = False
        try:
            await response.read()
            received = True
            await own_link
        except BaseException:
            # The source counts a body that was sent completely as imported.
            if received:
                self._core.counters.wasted_prefill_ms += cache.prefill_ms
            raise
        finally:
            own_link.cancel()
        return cache

    def _handle_release(self, holding: Holding) -> None:
        pull = self._pulls.get(holding.key)
        if pull is not None:
            pull.cancel()
