"""Simulates entry hosts that serve requests on fake engines with one placement policy."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Protocol

from bench.events import EventQueue
from bench.fakes import Attempt, FakeDecode, FakePrefill
from bench.workload import LIVE_TTFT_MS, Request, make_requests
from medlarvale.scheduling.limits import GroupLimits

ONE_WAY_MS = 1.5
MAX_RESTARTS = 2
OUTAGE_MS = 20_000.0
DECODE_RETRY_MS = 20.0
SLOT_RETRY_MS = 2.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """Parameters of one run.

    Attributes:
        load: arrival rate as a share of the capacity.
        report_lag_ms: age of a load report when a policy reads it.
        losses_per_minute: decode engines lost per minute; each restarts empty after 20 s.
    """

    prefill_engines: int
    decode_engines: int
    hosts: int
    rate_per_s: float
    load: float
    bursty: bool = False
    losses_per_minute: int = 0
    report_lag_ms: float = 500.0
    warm_up_ms: float = 40_000.0
    window_ms: float = 180_000.0
    seed: int = 1


class Policy(Protocol):
    """Placement policy; called at the entry host, it simulates its own message delays."""

    def attach(self, runner: Runner) -> None:
        """Starts the periodic tasks of the policy."""

    def reserve(self, attempt: Attempt) -> None:
        """Requests a placement; calls ``runner.placed`` or ``runner.refused`` later."""

    def pick_decode(self, attempt: Attempt, tried: set[str]) -> FakeDecode | None:
        """Returns the next decode engine to try after a prefill without a reservation."""

    def prefilled(self, attempt: Attempt) -> None:
        """Called when a prefill has ended."""

    def decoding(self, attempt: Attempt) -> None:
        """Called when the first token has arrived."""

    def ended(self, attempt: Attempt, failed: str | None) -> None:
        """Called when an attempt has ended; ``failed`` is the engine that was lost, if any."""


class Runner:
    """Runs one scenario and keeps its state."""

    def __init__(self, scenario: Scenario, limits: GroupLimits, policy: Policy) -> None:
        self.scenario = scenario
        self.limits = limits
        self.events = EventQueue()
        self.policy = policy
        self.prefill = [
            FakePrefill(f"prefill-{index:03}", limits, self.events)
            for index in range(scenario.prefill_engines)
        ]
        self.decode = [
            FakeDecode(f"decode-{index:03}", limits, self.events)
            for index in range(scenario.decode_engines)
        ]
        self.by_server = {engine.server: engine for engine in [*self.prefill, *self.decode]}
        self.prefill_ms = 0.0
        self.wasted_ms = 0.0
        self.engine_refusals = 0
        self._open_requests = 0
        self.requests: list[Request] = []

    def run(self) -> list[Request]:
        """Runs all requests to completion and returns those of the measured window."""
        scenario = self.scenario
        end_ms = scenario.warm_up_ms + scenario.window_ms
        self.requests = make_requests(
            scenario.rate_per_s, end_ms, scenario.hosts, scenario.bursty, scenario.seed
        )
        self._open_requests = len(self.requests)
        for request in self.requests:
            self.events.at(request.arrival_ms, self._arrive, request)
        if scenario.losses_per_minute:
            generator = random.Random(scenario.seed + 1)
            period_ms = 60_000.0 / scenario.losses_per_minute
            start_ms = scenario.warm_up_ms + period_ms / 2
            self.events.every(period_ms, lambda: self._crash_random_engine(generator), start_ms)
        self.policy.attach(self)
        self.events.run(end_ms + 300_000.0, lambda: self._open_requests == 0)
        return [item for item in self.requests if item.arrival_ms >= scenario.warm_up_ms]

    # Callbacks of the policy at the entry host

    def placed(self, attempt: Attempt, prefill: FakePrefill, decode: FakeDecode | None) -> None:
        """Starts the prefill and reserves the slot at the decode engine if one was chosen."""
        if attempt.ended:
            return
        attempt.prefill, attempt.decode = prefill, decode
        self.events.after(ONE_WAY_MS, self._submit, attempt)
        if decode is not None:
            self.events.after(ONE_WAY_MS, self._reserve_decode, attempt, decode)

    def placed_by_oracle(self, attempt: Attempt, prefill: FakePrefill, decode: FakeDecode) -> None:
        """Starts the prefill immediately; the slot may be in use until the KV cache arrives."""
        attempt.prefill, attempt.decode = prefill, decode
        prefill.submit(attempt, self._prefill_done)

    def refused(self, attempt: Attempt) -> None:
        """Ends a request that the policy refused."""
        if not attempt.ended:
            self._close(attempt, "refused" if attempt.number == 1 else "failed")

    def kv_blocks_for(self, attempt: Attempt) -> int:
        """Returns the number of KV blocks that an attempt needs."""
        remaining_tokens = max(1, attempt.request.expected_output_tokens - attempt.start_tokens)
        return self.limits.kv_blocks_for(attempt.prompt_tokens + remaining_tokens)

    # Steps of an attempt

    def _arrive(self, request: Request) -> None:
        due_ms = self.events.now_ms + request.ttft_target_ms
        self._start_attempt(request, due_ms)

    def _start_attempt(self, request: Request, due_ms: float) -> None:
        request.attempts += 1
        attempt = Attempt(request, request.attempts, request.sent_tokens, due_ms)
        self.policy.reserve(attempt)

    def _submit(self, attempt: Attempt) -> None:
        if not attempt.ended and attempt.prefill is not None:
            attempt.prefill.submit(attempt, self._prefill_done)

    def _reserve_decode(self, attempt: Attempt, decode: FakeDecode) -> None:
        if attempt.ended:
            return
        if decode.reserve(attempt, self.kv_blocks_for(attempt)):
            return
        self.engine_refusals += 1
        self.events.after(ONE_WAY_MS, self._fail, attempt, decode if not decode.alive else None)

    def _prefill_done(self, attempt: Attempt) -> None:
        attempt.prefilled = True
        self.events.after(ONE_WAY_MS, self._prefilled_at_host, attempt)

    def _prefilled_at_host(self, attempt: Attempt) -> None:
        if attempt.ended:
            return
        self.policy.prefilled(attempt)
        if attempt.decode is not None:
            self.events.after(ONE_WAY_MS, self._import, attempt)
        else:
            self._find_decode(attempt, set())

    def _find_decode(self, attempt: Attempt, tried: set[str]) -> None:
        if attempt.ended:
            return
        if self.events.now_ms > attempt.kv_end_ms:
            self._fail(attempt, None)
            return
        decode = self.policy.pick_decode(attempt, tried)
        if decode is None:
            self.events.after(DECODE_RETRY_MS, self._find_decode, attempt, set())
            return
        self.events.after(ONE_WAY_MS, self._try_decode, attempt, decode, tried)

    def _try_decode(self, attempt: Attempt, decode: FakeDecode, tried: set[str]) -> None:
        if decode.reserve(attempt, self.kv_blocks_for(attempt)):
            attempt.decode = decode
            self._import(attempt)
            return
        self.engine_refusals += 1
        self.events.after(ONE_WAY_MS, self._find_decode, attempt, tried | {decode.server})

    def _import(self, attempt: Attempt) -> None:
        if attempt.ended or attempt.decode is None or attempt.prefill is None:
            return
        start_ms = max(
            self.events.now_ms, attempt.prefill.link_free_ms, attempt.decode.link_free_ms
        )
        if start_ms > attempt.kv_end_ms:
            self.events.after(ONE_WAY_MS, self._fail, attempt, None)
            return
        end_ms = start_ms + self.limits.transfer_ms(attempt.prompt_tokens)
        attempt.prefill.link_free_ms = attempt.decode.link_free_ms = end_ms
        self.events.at(end_ms, self._start_decode, attempt)

    def _start_decode(self, attempt: Attempt) -> None:
        decode = attempt.decode
        if attempt.ended or decode is None:
            return
        if attempt not in decode.reserved and not decode.reserve(
            attempt, self.kv_blocks_for(attempt)
        ):
            self._wait_for_slot(attempt, decode)
            return
        decode.start(attempt, self._decode_done)
        self.events.after(ONE_WAY_MS, self._receive_first_token, attempt)

    def _wait_for_slot(self, attempt: Attempt, decode: FakeDecode) -> None:
        """Retries until the slot predicted by the oracle is free or the KV cache expires.

        The KV cache may arrive a little before the slot becomes free.
        """
        if not decode.alive or self.events.now_ms > attempt.kv_end_ms:
            self._fail(attempt, None if decode.alive else decode)
        else:
            self.events.after(SLOT_RETRY_MS, self._start_decode, attempt)

    def _receive_first_token(self, attempt: Attempt) -> None:
        if attempt.request.first_token_ms is None:
            attempt.request.first_token_ms = self.events.now_ms
        if not attempt.ended:
            self.policy.decoding(attempt)

    def _decode_done(self, attempt: Attempt) -> None:
        self.events.after(ONE_WAY_MS, self._receive_answer, attempt)

    def _receive_answer(self, attempt: Attempt) -> None:
        attempt.request.last_token_ms = self.events.now_ms
        self._close(attempt, "answered")

    # End of an attempt

    def _close(self, attempt: Attempt, outcome: str, failed: str | None = None) -> None:
        self._account(attempt, used=outcome == "answered")
        attempt.request.outcome = outcome
        self._open_requests -= 1
        self.policy.ended(attempt, failed)

    def _account(self, attempt: Attempt, *, used: bool) -> None:
        attempt.ended = True
        if attempt.prefill is not None and not attempt.prefilled:
            attempt.prefill.cancel(attempt)
        if attempt.decode is not None:
            attempt.decode.free(attempt)
        # An attempt without an answer wastes its prefill, even if a restart repeats it and the
        # caller is not affected.
        if attempt.request.arrival_ms >= self.scenario.warm_up_ms:
            self.prefill_ms += attempt.prefill_ms
            self.wasted_ms += 0.0 if used else attempt.prefill_ms

    def _fail(self, attempt: Attempt, lost: FakeDecode | None) -> None:
        if attempt.ended:
            return
        request = attempt.request
        restarted = request.first_token_ms is not None
        due_ms = self.events.now_ms + LIVE_TTFT_MS if restarted else attempt.due_ms
        server = lost.server if lost is not None else None
        if request.attempts > MAX_RESTARTS or due_ms <= self.events.now_ms:
            self._close(attempt, "failed", server)
            return
        self._account(attempt, used=False)
        self.policy.ended(attempt, server)
        if server is not None:
            request.excluded.append(server)
        self._start_attempt(request, due_ms)

    def _crash_random_engine(self, generator: random.Random) -> None:
        alive = [engine for engine in self.decode if engine.alive]
        engine = generator.choice(alive)
        for attempt in engine.crash():
            self.events.after(ONE_WAY_MS, self._fail, attempt, engine)
        self.events.after(OUTAGE_MS, engine.restart)
