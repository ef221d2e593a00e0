"""Load patterns of the deployments: bursts, lost or slow engines, other splits into stages.

Rates, memory sizes and bursts are those of the standard days with disruptions at the deployments.
"""

from __future__ import annotations

import dataclasses

from bench.forwarding.engines import EngineModel
from bench.forwarding.load import LoadPattern

BURSTS = ((3.0, 5.0, 1.8), (12.0, 4.0, 2.1))
GLATFORE_PER_S = 6.2
VENTILO_PER_S = 8.0
VENTILO_DOMAINS = ("a", "b", "c", "d")
VENTILO_ENGINE = EngineModel(memory_tokens=59_496)
SLOWDOWN = 1.3


def glatfore(
    name: str,
    prefill: int,
    decode: int,
    *,
    bursts: tuple[tuple[float, float, float], ...] = (),
    hosts: int = 4,
) -> LoadPattern:
    """Returns a load pattern of the site Glatføre with a number of engines per stage."""
    return LoadPattern(
        name, prefill=prefill, decode=decode, rate_per_s=GLATFORE_PER_S, bursts=bursts, hosts=hosts
    )


def ventilo(
    name: str,
    prefill: int,
    decode: int,
    *,
    bursts: tuple[tuple[float, float, float], ...] = (),
    hosts: int = 5,
) -> LoadPattern:
    """Returns a load pattern of the site Ventilo Breizh, where a third of the engines is slow."""
    slow = (
        (("d2", SLOWDOWN), ("p0", SLOWDOWN))
        if prefill > 1
        else (("d1", SLOWDOWN), ("d2", SLOWDOWN))
    )
    return LoadPattern(
        name,
        domains=VENTILO_DOMAINS,
        prefill=prefill,
        decode=decode,
        rate_per_s=VENTILO_PER_S,
        bursts=bursts,
        hosts=hosts,
        slow=slow,
        model=VENTILO_ENGINE,
    )


CALM = glatfore("calm", 2, 3)
BURSTS_AS_INSTALLED = glatfore("bursts, engines as installed", 2, 3, bursts=BURSTS)
BURSTS_ONE_PREFILL = glatfore("bursts, one prefill engine", 1, 4, bursts=BURSTS)
NO_PREFILL_LEFT = glatfore("bursts, no prefill engine", 0, 5, bursts=BURSTS)
DECODE_LOST = glatfore("a decode engine lost", 2, 2)
TWO_LOST = glatfore("two engines lost", 1, 2)
MEMORY_SHORT = ventilo("bursts, memory short, engines as installed", 3, 3, bursts=BURSTS)
SLOW_ENGINES = ventilo("bursts, slow engines, one prefill engine", 1, 5, bursts=BURSTS)
SLOW_ENGINES_TWO = ventilo("bursts, slow engines, two prefill engines", 2, 4, bursts=BURSTS)
# A larger Glatføre: many hosts with few requests each, and too few prefill engines.
MANY_HOSTS = LoadPattern(
    "thirty hosts, few prefill engines",
    hosts=30,
    prefill=7,
    decode=38,
    rate_per_s=45.0,
    bursts=((2.0, 4.0, 1.9),),
    duration_s=7.0,
    model=EngineModel(memory_tokens=42_278),
)
# Fast engines with few slots, on which an answer needs more memory than its prompt.
SUVA_ENGINE = EngineModel(
    memory_tokens=81_432,
    step_ms=0.529,
    step_ms_per_request=0.0001,
    prefill_setup_ms=0.3,
    prefill_chunk_tokens=256,
    tokens_per_event=86,
    slots=12,
)


def suva(
    name: str,
    prefill: int,
    decode: int,
    *,
    bursts: tuple[tuple[float, float, float], ...] = (),
    hosts: int = 4,
) -> LoadPattern:
    """Returns a load pattern of the site Suva, with long answers of fast engines."""
    return LoadPattern(
        name,
        hosts=hosts,
        prefill=prefill,
        decode=decode,
        rate_per_s=5.2,
        bursts=bursts,
        model=SUVA_ENGINE,
        events_mean=70.0,
        events_spread=0.5,
        events_max=130,
    )


LONG_ANSWERS = suva("long answers of fast engines", 2, 4)
LONG_ANSWERS_BURSTS = suva("long answers of fast engines, bursts", 2, 4, bursts=BURSTS)
LONG_ANSWERS_ONE_PREFILL = suva("long answers, one prefill engine, bursts", 1, 5, bursts=BURSTS)
# 63 sessions, whose prompts begin with a part of their own: a large one, of which each of the
# prefill engines has room for 25, and a small one.
LARGE_SESSIONS = LoadPattern(
    "63 sessions with 13,300 tokens of their own",
    prefill=3,
    decode=4,
    rate_per_s=5.0,
    duration_s=120.0,
    prompt_mean=700.0,
    prompt_max=2_000.0,
    sessions=63,
    session_tokens=13_300,
    model=EngineModel(memory_tokens=120_000, cache_tokens=25 * 13_300),
)
SMALL_SESSIONS = dataclasses.replace(
    LARGE_SESSIONS,
    name="63 sessions with 200 tokens of their own",
    prompt_mean=5_000.0,
    prompt_max=11_000.0,
    session_tokens=200,
    model=EngineModel(cache_tokens=25 * 200),
)
PATTERNS = (
    LONG_ANSWERS,
    LONG_ANSWERS_BURSTS,
    LONG_ANSWERS_ONE_PREFILL,
    CALM,
    BURSTS_AS_INSTALLED,
    BURSTS_ONE_PREFILL,
    NO_PREFILL_LEFT,
    DECODE_LOST,
    TWO_LOST,
    MEMORY_SHORT,
    SLOW_ENGINES,
    SLOW_ENGINES_TWO,
    MANY_HOSTS,
    LARGE_SESSIONS,
    SMALL_SESSIONS,
)
