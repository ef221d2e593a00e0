"""Placement policy with perfect knowledge: actual queues, caches and remaining output lengths.

It uses the order of the placement scheduler (live before batch, fair shares) and its deadlines, so
the difference between the two is the cost of report lag, message delays, estimates and reserved
slots. Because it knows when streams end, it starts prefills for slots that are still in use.
"""

from __future__ import annotations

import itertools

from bench.fakes import Attempt, FakeDecode, FakePrefill
from bench.policies import reserve_message
from bench.runner import ONE_WAY_MS, Runner
from medlarvale.scheduling.engines import MAX_PREFILL_JOBS
from medlarvale.scheduling.limits import GroupLimits
from medlarvale.scheduling.waiting import AttemptQueues, QueuedAttempt

TICK_MS = 1.0
QUEUE_HEADS_TRIED = 4


class OraclePolicy:
    """Places attempts with perfect knowledge and without message delays."""

    def __init__(self, limits: GroupLimits) -> None:
        self._limits = limits
        self._waiting = AttemptQueues(limits)
        self._attempts: dict[str, Attempt] = {}
        self._link_free_ms: dict[str, float] = {}
        self._pending: dict[FakeDecode, dict[Attempt, float]] = {}

    def attach(self, runner: Runner) -> None:
        """Starts the periodic placement."""
        self._runner = runner
        self._events = runner.events
        self._pending = {engine: {} for engine in runner.decode}
        runner.events.every(TICK_MS, self._dispatch)

    def reserve(self, attempt: Attempt) -> None:
        """Queues an attempt."""
        now_ms = self._events.now_ms
        request = reserve_message(attempt, now_ms)
        nominal_ms = 1000.0 * attempt.prompt_tokens / self._limits.prefill_tokens_per_s
        self._attempts[request.request_id] = attempt
        self._waiting.push(
            QueuedAttempt(
                request=request,
                arrived_ms=now_ms,
                due_ms=attempt.due_ms,
                min_first_token_ms=0.0,
                cost_ms=nominal_ms,
                last_polled_ms=now_ms,
            )
        )
        self._dispatch()

    def pick_decode(self, attempt: Attempt, tried: set[str]) -> FakeDecode | None:
        """Not used: every placement includes a decode engine."""
        raise NotImplementedError

    def prefilled(self, attempt: Attempt) -> None:
        """Does nothing: the policy reads the state of the engine."""

    def decoding(self, attempt: Attempt) -> None:
        """Does nothing: the policy reads the state of the engine."""

    def ended(self, attempt: Attempt, failed: str | None) -> None:
        """Removes the attempt from the pending ones."""
        for pending in self._pending.values():
            pending.pop(attempt, None)

    def _dispatch(self) -> None:
        while self._waiting and self._place_one(self._events.now_ms):
            pass

    def _entries(self) -> list[QueuedAttempt]:
        return [
            entry
            for queue in self._waiting.queues_in_order()
            for entry in itertools.islice(queue.heads(), QUEUE_HEADS_TRIED)
        ]

    def _serve(self, entry: QueuedAttempt, prefill_ms: float) -> None:
        self._waiting.serve(entry, prefill_ms)

    def _place_one(self, now_ms: float) -> bool:
        prefill = [
            (engine, engine.queue_ms())
            for engine in self._runner.prefill
            if len(engine.jobs()) < MAX_PREFILL_JOBS
        ]
        if not any(queue_ms <= self._limits.place_ahead_ms for _, queue_ms in prefill):
            return False
        slots_ms = {
            engine: self._slot_free_ms(engine, now_ms)
            for engine in self._runner.decode
            if engine.alive
        }
        return any(self._try_entry(entry, prefill, slots_ms, now_ms) for entry in self._entries())

    def _try_entry(
        self,
        entry: QueuedAttempt,
        engines: list[tuple[FakePrefill, float]],
        slots_ms: dict[FakeDecode, float],
        now_ms: float,
    ) -> bool:
        """Places or refuses an entry; returns False if it has to wait."""
        attempt = self._attempts[entry.request.request_id]
        option = min(
            self._option(attempt, prefill, queue_ms, slots_ms, now_ms)
            for prefill, queue_ms in engines
        )
        _, _, end_ms, hold_ms, duration_ms, prefill_server, decode_server = option
        if end_ms > entry.due_ms:
            # Wait while the prefill alone fits: a slot may become free sooner than predicted.
            if hold_ms > 0.0 and now_ms + duration_ms < entry.due_ms:
                return False
            self._waiting.remove(entry)
            self._runner.refused(attempt)
            return True
        if hold_ms > self._limits.kv_ttl_ms / 4:
            return False
        self._serve(entry, duration_ms)
        prefill = self._runner.by_server[prefill_server]
        decode = self._runner.by_server[decode_server]
        assert isinstance(prefill, FakePrefill) and isinstance(decode, FakeDecode)
        self._pending[decode][attempt] = end_ms
        self._link_free_ms[prefill.server] = self._link_free_ms[decode.server] = end_ms - ONE_WAY_MS
        self._runner.placed_by_oracle(attempt, prefill, decode)
        return True

    def _option(
        self,
        attempt: Attempt,
        prefill: FakePrefill,
        queue_ms: float,
        slots_ms: dict[FakeDecode, float],
        now_ms: float,
    ) -> tuple[float, int, float, float, float, str, str]:
        """Returns score, tie-break, first token time, KV cache wait, prefill time and servers."""
        duration_ms = prefill.duration_ms(attempt)
        transfer_ms = self._limits.transfer_ms(attempt.prompt_tokens)
        ready_ms = now_ms + queue_ms + duration_ms + 2 * ONE_WAY_MS
        link_ms = max(ready_ms, prefill.link_free_ms, self._link_free_ms.get(prefill.server, 0.0))
        start_ms, used, server = min(
            (
                max(
                    link_ms,
                    engine.link_free_ms,
                    self._link_free_ms.get(engine.server, 0.0),
                    slot_ms - transfer_ms,
                ),
                engine.slots_used + len(self._pending[engine]),
                engine.server,
            )
            for engine, slot_ms in slots_ms.items()
        )
        end_ms = start_ms + transfer_ms + ONE_WAY_MS
        hold_ms = start_ms - ready_ms
        score = end_ms + duration_ms
        return score, used, end_ms, hold_ms, duration_ms, prefill.server, server

    def _slot_free_ms(self, engine: FakeDecode, now_ms: float) -> float:
        """Returns when the engine has a slot for one more attempt than those already placed."""
        pending = self._pending[engine]
        for attempt in [item for item in pending if item in engine.active or item.ended]:
            del pending[attempt]
        needed = len(engine.active) + len(pending) + 1 - self._limits.slots_per_engine
        return now_ms + engine.remaining_ms(needed) if needed > 0 else now_ms


class ShortestFirstOraclePolicy(OraclePolicy):
    """Oracle without fair shares and work classes: the shortest answer is placed first.

    It shows the goodput that the scheduling order costs; no target refers to it.
    """

    def _entries(self) -> list[QueuedAttempt]:
        shortest = min(
            self._waiting.entries(),
            key=lambda entry: self._attempts[entry.request.request_id].request.output_tokens,
        )
        return [shortest]

    def _serve(self, entry: QueuedAttempt, prefill_ms: float) -> None:
        self._waiting.remove(entry)
