"""The joint choice of a prefill engine, a link time and a decode engine for one request."""

from __future__ import annotations

from collections.abc import Iterable
from operator import attrgetter

import msgspec

from medlarvale.scheduling.engines import DecodeEngine, EngineTable, PrefillEngine
from medlarvale.scheduling.limits import GroupLimits
from medlarvale.scheduling.messages import Reserve
from medlarvale.scheduling.prefixes import PrefixIndex

# A transfer that waits longer than this share of the KV ttl risks losing the finished prefill.
KV_WAIT_SHARE = 0.5

_by_busy_until = attrgetter("busy_until_ms")
_by_free_slots = attrgetter("free_slots")


class Choice(msgspec.Struct):
    """A place for one request and the times expected there.

    Attributes:
        prefill_ms: prefill time without the cached tokens.
        transfer_end_ms: when the KV cache is at the decode engine, which is when the first token
            can be sent.
    """

    prefill: PrefillEngine
    decode: DecodeEngine
    pieces: int
    cached_tokens: int
    prefill_ms: float
    prefill_end_ms: float
    transfer_end_ms: float


class OpenEngines(msgspec.Struct):
    """Engines that could take one more request now."""

    prefill: list[PrefillEngine]
    decode: list[DecodeEngine]

    def __bool__(self) -> bool:
        return bool(self.prefill) and bool(self.decode)


def open_engines(table: EngineTable, now_ms: float) -> OpenEngines:
    """Returns the engines with a short prefill queue, and those with a free decode slot."""
    latest_ms = now_ms + table.limits.place_ahead_ms
    return OpenEngines(
        [
            engine
            for engine in table.prefill.values()
            if engine.busy_until_ms <= latest_ms and engine.accepts(now_ms)
        ],
        [engine for engine in table.decode.values() if engine.free_slots > 0],
    )


class _PrefillChoice(msgspec.Struct):
    engine: PrefillEngine
    cached_tokens: int
    prefill_ms: float
    end_ms: float


def choose(
    request: Reserve, engines: OpenEngines, table: EngineTable, prefixes: PrefixIndex, now_ms: float
) -> Choice | None:
    """Returns the place where the first token comes earliest, or None if no place is free."""
    prefill = _choose_prefill(request, engines, table, prefixes, now_ms)
    if prefill is None:
        return None
    pieces = table.limits.pieces_for(request.prompt_tokens + request.expected_output_tokens)
    decode = _choose_decode(request, engines.decode, pieces, prefill)
    if decode is None:
        return None
    start_ms = max(prefill.end_ms, prefill.engine.link_free_ms, decode.link_free_ms)
    if start_ms - prefill.end_ms > table.limits.kv_ttl_ms * KV_WAIT_SHARE:
        return None
    return Choice(
        prefill=prefill.engine,
        decode=decode,
        pieces=pieces,
        cached_tokens=prefill.cached_tokens,
        prefill_ms=prefill.prefill_ms,
        prefill_end_ms=prefill.end_ms,
        transfer_end_ms=start_ms + table.limits.transfer_ms(request.prompt_tokens),
    )


def usable_cached_tokens(request: Reserve, blocks: int) -> int:
    """Returns the cached tokens that a prefill may skip; the last token is always computed."""
    return max(0, min(blocks * request.prefix_block_tokens, request.prompt_tokens - 1))


def _choose_prefill(
    request: Reserve, engines: OpenEngines, table: EngineTable, prefixes: PrefixIndex, now_ms: float
) -> _PrefillChoice | None:
    found = _choose_cached(request, table, prefixes, now_ms)
    plain = _allowed(engines.prefill, request)
    if not plain:
        # With every engine busy the request waits in the booker, where the choice stays open.
        return found if found and found.engine in engines.prefill else None
    engine = min(plain, key=_by_busy_until)
    uncached = _estimate(engine, request, 0, table.limits, now_ms)
    if found is None or _score(uncached) < _score(found):
        return uncached
    return found


def _choose_cached(
    request: Reserve, table: EngineTable, prefixes: PrefixIndex, now_ms: float
) -> _PrefillChoice | None:
    best: _PrefillChoice | None = None
    for server, blocks in prefixes.cached_blocks(request.prefix_hashes).items():
        engine = table.prefill.get(server)
        if engine is None or not engine.accepts(now_ms) or not _allows(engine, request):
            continue
        option = _estimate(engine, request, blocks, table.limits, now_ms)
        if best is None or _score(option) < _score(best):
            best = option
    return best


def _score(option: _PrefillChoice) -> float:
    # Prefill time counts twice: once as this request's delay and once as others' queueing.
    return option.end_ms + option.prefill_ms


def _estimate(
    engine: PrefillEngine, request: Reserve, blocks: int, limits: GroupLimits, now_ms: float
) -> _PrefillChoice:
    cached_tokens = usable_cached_tokens(request, blocks)
    prefill_ms = (request.prompt_tokens - cached_tokens) / engine.tokens_per_ms
    start_ms = max(now_ms + limits.message_delay_ms, engine.busy_until_ms)
    return _PrefillChoice(engine, cached_tokens, prefill_ms, start_ms + prefill_ms)


def _choose_decode(
    request: Reserve, engines: Iterable[DecodeEngine], pieces: int, prefill: _PrefillChoice
) -> DecodeEngine | None:
    fitting = [
        engine
        for engine in engines
        if engine.pieces - engine.held_pieces - engine.foreign_pieces >= pieces
    ]
    if request.excluded or request.isolate:
        fitting = [engine for engine in fitting if _allows(engine, request)]
    if not fitting:
        return None
    # The emptiest engine has the shortest time between tokens and the most room for error.
    end_ms = prefill.end_ms
    link_free = [engine for engine in fitting if engine.link_free_ms <= end_ms]
    if link_free:
        return max(link_free, key=_by_free_slots)
    return min(fitting, key=lambda engine: engine.link_free_ms)


def _allowed(engines: list[PrefillEngine], request: Reserve) -> list[PrefillEngine]:
    if not request.excluded and not request.isolate:
        return engines
    return [engine for engine in engines if _allows(engine, request)]


def _allows(engine: PrefillEngine | DecodeEngine, request: Reserve) -> bool:
    if engine.server in request.excluded:
        return False
    return not (request.isolate and engine.suspects)
