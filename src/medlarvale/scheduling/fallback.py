"""Placement by the entry host itself, used while the placement scheduler is unreachable.

Power of two choices: Mitzenmacher, "The power of two choices in randomized load balancing" (2001).
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection

import msgspec

from medlarvale.ids import ServerId
from medlarvale.scheduling.limits import GroupLimits
from medlarvale.scheduling.messages import Placed, Refused, Reserve
from medlarvale.scheduling.reports import LoadReport

FALLBACK_RETRY_AFTER_MS = 500
# An older report is not used, because it says nothing about the present load of an engine.
MAX_REPORT_AGE_MS = 5_000.0


class _EngineLoad(msgspec.Struct):
    report: LoadReport
    received_ms: float
    sent_ms: float = 0.0
    sent_requests: int = 0


class LoadTable:
    """Newest load report of each engine, with the work that this host has sent to it since."""

    def __init__(self) -> None:
        self._loads: dict[ServerId, _EngineLoad] = {}

    def observe(self, server: ServerId, report: LoadReport, now_ms: float) -> None:
        """Stores a report."""
        self._loads[server] = _EngineLoad(report, now_ms)

    def report(self, server: ServerId) -> LoadReport | None:
        """Returns the newest report, or None if the engine did not answer the last poll."""
        load = self._loads.get(server)
        return load.report if load is not None else None

    def forget(self, server: ServerId) -> None:
        """Drops the report of an engine that did not answer or is no longer listed."""
        self._loads.pop(server, None)

    def record_prefill(self, server: ServerId, prefill_ms: float) -> None:
        """Counts prefill time sent to a prefill engine."""
        if server in self._loads:
            self._loads[server].sent_ms += prefill_ms

    def record_decode(self, server: ServerId) -> None:
        """Counts a request sent to a decode engine."""
        if server in self._loads:
            self._loads[server].sent_requests += 1

    def queue_ms(self, server: ServerId, now_ms: float) -> float | None:
        """Returns the estimated prefill queue, or None without a usable report."""
        load = self._recent_load(server, now_ms)
        if load is None:
            return None
        return max(0.0, load.report.queue_ms + load.sent_ms - (now_ms - load.received_ms))

    def free_slots(self, server: ServerId, now_ms: float) -> int | None:
        """Returns the estimated number of free decode slots, or None without a usable report."""
        load = self._recent_load(server, now_ms)
        if load is None:
            return None
        return load.report.slots - load.report.slots_used - load.sent_requests

    def _recent_load(self, server: ServerId, now_ms: float) -> _EngineLoad | None:
        load = self._loads.get(server)
        if load is None or now_ms - load.received_ms > MAX_REPORT_AGE_MS or load.report.leaving:
            return None
        return load


def better_of_two(
    candidates: list[ServerId],
    score: Callable[[ServerId], float | None],
    generator: random.Random,
) -> ServerId | None:
    """Returns the candidate with the lower score among two random ones.

    Candidates whose score is None are ignored.
    """
    scored = [server for server in candidates if score(server) is not None]
    picked = generator.sample(scored, min(2, len(scored)))
    return min(picked, key=lambda server: score(server) or 0.0, default=None)


def place_locally(
    request: Reserve,
    prefill: Collection[ServerId],
    decode: Collection[ServerId],
    table: LoadTable,
    limits: GroupLimits,
    generator: random.Random,
    now_ms: float,
) -> Placed | Refused:
    """Places an attempt by outdated load reports; a full decode engine refuses it."""
    prefill_server = better_of_two(
        _allowed(prefill, request), lambda server: table.queue_ms(server, now_ms), generator
    )
    with_free_slots = [
        server
        for server in _allowed(decode, request)
        if (table.free_slots(server, now_ms) or 0) > 0
    ]
    decode_server = better_of_two(
        with_free_slots, lambda server: -float(table.free_slots(server, now_ms) or 0), generator
    )
    prefill_ms = 1000.0 * request.prompt_tokens / limits.prefill_tokens_per_s
    if prefill_server is None or decode_server is None:
        return _refuse(request)
    needed_ms = (table.queue_ms(prefill_server, now_ms) or 0.0) + prefill_ms
    if needed_ms + limits.transfer_ms(request.prompt_tokens) > request.deadline_ms:
        return _refuse(request)
    table.record_prefill(prefill_server, prefill_ms)
    table.record_decode(decode_server)
    return Placed(
        request_id=request.request_id,
        attempt=request.attempt,
        prefill=prefill_server,
        decode=decode_server,
        pieces=limits.kv_blocks_for(request.prompt_tokens + request.expected_output_tokens),
    )


def _allowed(servers: Collection[ServerId], request: Reserve) -> list[ServerId]:
    return [server for server in servers if server not in request.excluded]


def _refuse(request: Reserve) -> Refused:
    return Refused(
        request_id=request.request_id,
        attempt=request.attempt,
        code="overloaded",
        retry_after_ms=FALLBACK_RETRY_AFTER_MS,
        waited_for=[],
    )
