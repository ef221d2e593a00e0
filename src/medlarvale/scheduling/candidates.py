"""Joint choice of a prefill engine, a transfer time and a decode engine for one request."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from medlarvale.scheduling.engines import MAX_PREFILL_JOBS, DecodeEngine, EngineTable, PrefillEngine
from medlarvale.scheduling.limits import GroupLimits
from medlarvale.scheduling.messages import Reserve
from medlarvale.scheduling.prefixes import PrefixIndex

# A transfer that waits longer than this share of the KV TTL risks losing the finished prefill.
KV_WAIT_SHARE = 0.5


class Choice(msgspec.Struct):
    """The engines for one request, with the expected times.

    Attributes:
        prefill_ms: prefill time without the cached tokens.
        transfer_end_ms: time at which the KV cache has arrived at the decode engine, so that the
            first token can be sent.
    """

    prefill: PrefillEngine
    decode: DecodeEngine
    kv_blocks: int
    cached_tokens: int
    prefill_ms: float
    prefill_end_ms: float
    transfer_end_ms: float


def open_prefill_engines(table: EngineTable, now_ms: float) -> list[PrefillEngine]:
    """Returns the prefill engines that accept work and whose queue is short enough for more."""
    latest_ms = now_ms + table.limits.place_ahead_ms
    return [
        engine
        for engine in table.prefill.values()
        if engine.busy_until_ms <= latest_ms and engine.accepts(now_ms)
    ]


class _PrefillChoice(msgspec.Struct):
    engine: PrefillEngine
    cached_tokens: int
    prefill_ms: float
    end_ms: float


def choose_engines(
    request: Reserve,
    open_prefill: list[PrefillEngine],
    table: EngineTable,
    prefixes: PrefixIndex,
    now_ms: float,
) -> Choice | None:
    """Returns the engines with the earliest first token, or None if no placement is possible.

    Args:
        open_prefill: engines that ``open_prefill_engines`` returned for the same time.
    """
    kv_blocks = table.limits.kv_blocks_for(request.prompt_tokens + request.expected_output_tokens)
    if not _may_fit(request, table, kv_blocks, now_ms):
        return None
    prefill = _choose_prefill(request, open_prefill, table, prefixes, now_ms)
    if prefill is None:
        return None
    decode = _choose_decode(request, table.slots.emptiest_first(), kv_blocks, prefill.end_ms)
    if decode is None:
        return None
    start_ms = max(prefill.end_ms, prefill.engine.link_free_ms, decode.link_free_ms)
    if start_ms - prefill.end_ms > table.limits.kv_ttl_ms * KV_WAIT_SHARE:
        return None
    return Choice(
        prefill=prefill.engine,
        decode=decode,
        kv_blocks=kv_blocks,
        cached_tokens=prefill.cached_tokens,
        prefill_ms=prefill.prefill_ms,
        prefill_end_ms=prefill.end_ms,
        transfer_end_ms=start_ms + table.limits.transfer_ms(request.prompt_tokens),
    )


def is_constrained(request: Reserve) -> bool:
    """Returns whether some engines with free capacity may be forbidden for a request."""
    return bool(request.excluded) or request.isolate


def usable_cached_tokens(request: Reserve, blocks: int) -> int:
    """Returns the cached tokens that a prefill may skip; the last token is always computed."""
    return max(0, min(blocks * request.prefix_block_tokens, request.prompt_tokens - 1))


def _may_fit(request: Reserve, table: EngineTable, kv_blocks: int, now_ms: float) -> bool:
    """Returns whether any decode engine has enough KV blocks and a link that is free in time.

    This cheap check rejects most requests under load, before the prefill engines are compared.
    """
    limits = table.limits
    prefill_ms = 1000.0 * request.prompt_tokens / limits.prefill_tokens_per_s
    latest_ms = now_ms + MAX_PREFILL_JOBS * prefill_ms + limits.kv_ttl_ms * KV_WAIT_SHARE
    return any(
        engine.link_free_ms <= latest_ms and engine.free_kv_blocks >= kv_blocks
        for engine in table.slots.emptiest_first()
    )


def _choose_prefill(
    request: Reserve,
    open_prefill: list[PrefillEngine],
    table: EngineTable,
    prefixes: PrefixIndex,
    now_ms: float,
) -> _PrefillChoice | None:
    cached = _choose_cached(request, table, prefixes, now_ms)
    allowed = _allowed(open_prefill, request)
    if not allowed:
        # While all engines are busy the request stays queued in the scheduler, which can still
        # choose any of them later.
        return cached if cached and cached.engine in open_prefill else None
    prefill_ms = 1000.0 * request.prompt_tokens / table.limits.prefill_tokens_per_s
    engine = min(allowed, key=lambda item: max(item.busy_until_ms + prefill_ms, item.link_free_ms))
    uncached = _estimate(engine, request, 0, table.limits, now_ms)
    if cached is None or _score(uncached) < _score(cached):
        return uncached
    return cached


def _choose_cached(
    request: Reserve, table: EngineTable, prefixes: PrefixIndex, now_ms: float
) -> _PrefillChoice | None:
    best: _PrefillChoice | None = None
    for server, blocks in prefixes.cached_blocks(request.prefix_hashes).items():
        engine = table.prefill.get(server)
        if engine is None or not engine.accepts(now_ms) or not _may_use(engine, request):
            continue
        option = _estimate(engine, request, blocks, table.limits, now_ms)
        if best is None or _score(option) < _score(best):
            best = option
    return best


def _score(option: _PrefillChoice) -> float:
    # Prefill time counts twice, because it delays both this request and those queued behind it. A
    # prefill that ends before the engine's link is free waits for the link.
    return max(option.end_ms, option.engine.link_free_ms) + option.prefill_ms


def _estimate(
    engine: PrefillEngine, request: Reserve, blocks: int, limits: GroupLimits, now_ms: float
) -> _PrefillChoice:
    cached_tokens = usable_cached_tokens(request, blocks)
    prefill_ms = (request.prompt_tokens - cached_tokens) / engine.tokens_per_ms
    start_ms = max(now_ms + limits.message_delay_ms, engine.busy_until_ms)
    return _PrefillChoice(engine, cached_tokens, prefill_ms, start_ms + prefill_ms)


def _choose_decode(
    request: Reserve, emptiest_first: Iterable[DecodeEngine], kv_blocks: int, prefill_end_ms: float
) -> DecodeEngine | None:
    """Returns the emptiest engine whose link is free in time, or the one whose link is free first.

    The emptiest engine has the shortest time between tokens and the largest margin for wrong
    estimates.
    """
    best: DecodeEngine | None = None
    constrained = is_constrained(request)
    for engine in emptiest_first:
        if engine.free_kv_blocks < kv_blocks or (constrained and not _may_use(engine, request)):
            continue
        if engine.link_free_ms <= prefill_end_ms:
            return engine
        if best is None or engine.link_free_ms < best.link_free_ms:
            best = engine
    return best


def _allowed(engines: list[PrefillEngine], request: Reserve) -> list[PrefillEngine]:
    if not is_constrained(request):
        return engines
    return [engine for engine in engines if _may_use(engine, request)]


def _may_use(engine: PrefillEngine | DecodeEngine, request: Reserve) -> bool:
    if engine.server in request.excluded:
        return False
    return not (request.isolate and engine.suspects)
