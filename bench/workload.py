"""Generates the requests of the placement experiments.

The mean lengths follow from the planned size in docs/design.md: 5.6 million tokens/s at 16,000
requests/s are 350 output tokens per request, and 3,600 GB/s of KV cache at 100 KB per token are
2,250 prompt tokens per request.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from medlarvale.scheduling.messages import WorkClass

MEAN_PROMPT_TOKENS = 2_250
MEAN_OUTPUT_TOKENS = 350
PROMPT_SIGMA = 1.0
OUTPUT_SIGMA = 0.7
# Errors of the output length that the entry host estimates, and of the predicted prefill time.
OUTPUT_ESTIMATE_SIGMA = 0.4
PREFILL_NOISE_SIGMA = 0.1
BLOCK_TOKENS = 256
WORKSPACES = 12
HEAVY_SHARE = 0.3
SHARED_PREFIX_SHARE = 0.4
TEMPLATES_PER_WORKSPACE = 3
BATCH_SHARE = 0.15
LIVE_TTFT_MS = 1_900
BATCH_TTFT_MS = 20_000
BURST_PERIOD_MS = 10_000.0
BURST_MS = 4_000.0
BURST_FACTOR = 1.6


@dataclass(slots=True, eq=False)
class Request:
    """One request and its outcome in a run."""

    number: int
    arrival_ms: float
    host: int
    workspace: str
    work_class: WorkClass
    prompt_tokens: int
    output_tokens: int
    expected_output_tokens: int
    prefill_noise: float
    hashes: list[int]
    ttft_target_ms: int
    first_token_ms: float | None = None
    last_token_ms: float | None = None
    sent_tokens: int = 0
    attempts: int = 0
    outcome: str = "open"
    excluded: list[str] = field(default_factory=list)

    @property
    def ttft_ms(self) -> float:
        """Time from arrival to the first token."""
        return math.inf if self.first_token_ms is None else self.first_token_ms - self.arrival_ms

    @property
    def tbt_ms(self) -> float:
        """Mean time between tokens, including the pauses of restarts."""
        if self.first_token_ms is None or self.last_token_ms is None:
            return math.inf
        return (self.last_token_ms - self.first_token_ms) / max(1, self.output_tokens)


def make_requests(
    rate_per_s: float, duration_ms: float, hosts: int, bursty: bool, seed: int
) -> list[Request]:
    """Returns the requests of one run in the order of arrival."""
    generator = random.Random(seed)
    requests: list[Request] = []
    now_ms = 0.0
    while True:
        factor = _burst_factor(now_ms) if bursty else 1.0
        now_ms += generator.expovariate(rate_per_s * factor / 1000.0)
        if now_ms >= duration_ms:
            return requests
        requests.append(_make_request(len(requests), now_ms, hosts, generator))


def _burst_factor(now_ms: float) -> float:
    if now_ms % BURST_PERIOD_MS < BURST_MS:
        return BURST_FACTOR
    quiet_ms = BURST_PERIOD_MS - BURST_MS
    return (BURST_PERIOD_MS - BURST_FACTOR * BURST_MS) / quiet_ms


def _make_request(number: int, arrival_ms: float, hosts: int, generator: random.Random) -> Request:
    heavy = generator.random() < HEAVY_SHARE
    workspace = 0 if heavy else generator.randrange(1, WORKSPACES)
    batch = generator.random() < BATCH_SHARE
    prompt = _draw_length(generator, MEAN_PROMPT_TOKENS, PROMPT_SIGMA, 20, 40_000)
    output = _draw_length(generator, MEAN_OUTPUT_TOKENS, OUTPUT_SIGMA, 5, 2_000)
    estimate = output * generator.lognormvariate(0.0, OUTPUT_ESTIMATE_SIGMA)
    return Request(
        number=number,
        arrival_ms=arrival_ms,
        host=generator.randrange(hosts),
        workspace=f"workspace-{workspace:02}",
        work_class=WorkClass.BATCH if batch else WorkClass.LIVE,
        prompt_tokens=prompt,
        output_tokens=output,
        expected_output_tokens=max(1, int(estimate)),
        prefill_noise=generator.lognormvariate(0.0, PREFILL_NOISE_SIGMA),
        hashes=_prefix_hashes(number, workspace, prompt, generator),
        ttft_target_ms=BATCH_TTFT_MS if batch else LIVE_TTFT_MS,
    )


def _draw_length(generator: random.Random, mean: float, sigma: float, low: int, high: int) -> int:
    value = generator.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)
    return int(min(high, max(low, value)))


def _prefix_hashes(number: int, workspace: int, prompt: int, generator: random.Random) -> list[int]:
    blocks = min(16, prompt // BLOCK_TOKENS)
    shared = 0
    template = generator.randrange(TEMPLATES_PER_WORKSPACE)
    if generator.random() < SHARED_PREFIX_SHARE:
        shared = min(blocks, 4 + 2 * template)
    start = 1_000 * (TEMPLATES_PER_WORKSPACE * workspace + template)
    own = 1_000_000 + 100 * number
    return [start + block if block < shared else own + block for block in range(blocks)]
