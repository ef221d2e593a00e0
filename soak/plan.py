"""What a run of the soak does, drawn from its seed before the run."""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterator, Sequence
from enum import Enum

import msgspec

from medlarvale.http_bodies import BodyFraming
from soak.records import Route

HOST_COUNT = 4
DOMAINS = "abc"
USUAL_HOSTS = (4, 12)
MANY_HOSTS = (13, 24)
MANY_HOSTS_SHARE = 0.1
EVENT_COUNT = 30
EVENT_INTERVAL_S = 0.1
RATES_PER_S = {Route.CHAT: 12.0, Route.LOOK: 6.0, Route.BOOK: 6.0}
# Rate of calls on the route that only some configurations have.
ADDED_PER_S = 4.0
DEADLINE_MS = 8_000
MIXED_DEADLINES_MS = (5_000, 8_000, 11_000, 14_000)
MAX_ATTEMPTS = 8
MAX_BREAKS = 3
READ_EVENTS = (2, 15)
RELEASE_GAP_S = (2.0, 5.0)
# A server that leaves drains for this time.
LEAVING_S = (1.0, 4.0)
LATE_SHARE = 0.3
LATE_S = (0.3, 2.5)
KEPT_SHARE = 0.5
# Share of the kinds of trouble that a seed has.
TROUBLE_SHARE = 0.6
# Share of kinds that excuse much of what happens meanwhile.
RARE_SHARE = 0.3
QUIET_START_S = 1.0
# Number of prompts that the callers of streams share.
PROMPT_COUNT = 40
# Share of the servers whose answers have neither a length nor chunks.
UNFRAMED_SHARE = (0.4, 0.9)


class Trouble(Enum):
    """Kind of trouble in a run."""

    LATE_REQUESTS = "late"
    MIXED_DEADLINES = "deadlines"
    STANDSTILL = "standstill"
    KILL = "kill"
    STOP = "stop"
    LATE_STORE = "late-store"
    STORE_DOWN = "store-down"
    CUT_STORE = "store-cut"
    CALLER_LINK = "caller-link"
    SERVER_LINK = "server-link"
    SERVER_CRASH = "server-crash"
    SERVER_SILENCE = "server-silence"
    SERVER_LEAVING = "server-leaving"
    SERVER_BUSY = "server-busy"
    SETTINGS = "settings"
    CONFIGURATION = "configuration"
    SERVER_KILL = "server-kill"
    GROUP_KILL = "group-kill"
    SHARED_PROMPTS = "prompts"
    HERD_KILL = "herd-kill"
    SERVER_HEARTBEATS = "server-heartbeats"
    HOST_LINK = "host-link"


# Seeds of findings made before these kinds were added play the kinds that they had then.
ADDED_SINCE = frozenset({Trouble.HERD_KILL, Trouble.SERVER_HEARTBEATS, Trouble.HOST_LINK})
SEEDS_OF_FINDINGS = frozenset({310, 1006, 1011, 1018, 1046, 1050})


class FaultTimes(msgspec.Struct, frozen=True):
    """When faults of a kind happen.

    Attributes:
        gap_s: least and longest time between two faults.
        lasts_s: least and longest time of one. A host that was killed starts again after it.
        share: share of the seeds that have this kind.
        overlap: whether the next may begin before one is over.
    """

    gap_s: tuple[float, float]
    lasts_s: tuple[float, float]
    share: float = TROUBLE_SHARE
    overlap: bool = False


FAULT_TIMES = {
    Trouble.STANDSTILL: FaultTimes((0.5, 3.0), (0.5, 3.0)),
    Trouble.KILL: FaultTimes((3.0, 8.0), (0.2, 2.0)),
    Trouble.STOP: FaultTimes((4.0, 9.0), (0.0, 0.5)),
    Trouble.LATE_STORE: FaultTimes((1.0, 4.0), (1.0, 5.0)),
    Trouble.STORE_DOWN: FaultTimes((4.0, 9.0), (0.5, 4.0)),
    Trouble.CUT_STORE: FaultTimes((1.0, 4.0), (0.5, 6.0)),
    Trouble.CALLER_LINK: FaultTimes((1.0, 5.0), (0.1, 3.0), RARE_SHARE),
    Trouble.SERVER_LINK: FaultTimes((1.0, 5.0), (0.1, 3.0), RARE_SHARE),
    Trouble.SERVER_CRASH: FaultTimes((2.0, 6.0), (0.5, 6.0), RARE_SHARE),
    Trouble.SERVER_SILENCE: FaultTimes((2.0, 6.0), (0.5, 4.0), RARE_SHARE),
    Trouble.SERVER_LEAVING: FaultTimes((3.0, 8.0), (1.0, 6.0), RARE_SHARE),
    Trouble.SERVER_BUSY: FaultTimes((1.0, 4.0), (0.5, 3.0), RARE_SHARE),
    Trouble.SERVER_KILL: FaultTimes((0.3, 1.5), (0.3, 2.0), RARE_SHARE),
    Trouble.GROUP_KILL: FaultTimes((2.0, 6.0), (0.2, 2.0), RARE_SHARE),
    Trouble.HERD_KILL: FaultTimes((3.0, 8.0), (0.2, 2.0), RARE_SHARE),
    # The silence of a server, of one to three heartbeats.
    Trouble.SERVER_HEARTBEATS: FaultTimes((0.2, 1.0), (1.2, 3.6), RARE_SHARE),
    Trouble.HOST_LINK: FaultTimes((0.5, 4.0), (0.5, 6.0), RARE_SHARE, overlap=True),
    Trouble.SETTINGS: FaultTimes((0.3, 3.0), (0.0, 0.0), RARE_SHARE),
    Trouble.CONFIGURATION: FaultTimes((0.5, 5.0), (0.0, 0.0), RARE_SHARE),
}


# Other kinds of trouble excuse requests that planned work cuts off, so the seeds that this number
# divides have planned work only.
PLANNED_EVERY = 5
PLANNED = frozenset({Trouble.LATE_REQUESTS, Trouble.MIXED_DEADLINES, Trouble.STOP})

# Seeds with this remainder, unless they have planned work only, have no fault in their last part,
# in which hosts recover.
CALM_EVERY = 11
CALM_REMAINDER = 3
CALM_END_S = 16.0


class AttemptPlan(msgspec.Struct, frozen=True):
    """One attempt of a caller.

    Attributes:
        host: draw from which the host is chosen.
        wait_s: time before it, after the end of the attempt before.
        late_s: how much later than the caller states its deadline the request is sent.
        read_events: events after which the connection breaks; None if it doesn't.
        kept: whether the caller may use a connection that is open.
    """

    host: float
    wait_s: float
    late_s: float
    read_events: int | None
    kept: bool


class ExchangePlan(msgspec.Struct, frozen=True):
    """One stream or call, with the attempts that its caller may make.

    Attributes:
        prompt: number of its prompt, which other streams may have as well; None to name none.
    """

    route: Route
    start_s: float
    deadline_ms: int
    attempts: tuple[AttemptPlan, ...]
    prompt: int | None = None


class Fault(msgspec.Struct, frozen=True):
    """Something that happens to one host, or to a server.

    Attributes:
        choice: seed from which its details are chosen.
    """

    start_s: float
    trouble: Trouble
    host: int
    lasts_s: float
    choice: int


class Release(msgspec.Struct, frozen=True):
    """Release of a software version, after which half of the older servers leave.

    Attributes:
        choice: seed from which the servers that leave are chosen.
    """

    start_s: float
    choice: int
    leaving_s: float


class SoakPlan(msgspec.Struct, frozen=True):
    """All that one run does."""

    seed: int
    host_count: int
    troubles: frozenset[Trouble]
    exchanges: tuple[ExchangePlan, ...]
    faults: tuple[Fault, ...]
    releases: tuple[Release, ...]


def draw_plan(
    seed: int,
    duration_s: float,
    troubles: Collection[Trouble] | None = None,
    host_count: int | None = None,
) -> SoakPlan:
    """Returns the plan of a seed.

    Args:
        troubles: kinds of trouble; None to draw them.
        host_count: number of hosts; None to draw it.
    """
    draws = random.Random(f"{seed} troubles")
    drawn = frozenset(kind for kind in Trouble if draws.random() < _share(kind))
    if seed in SEEDS_OF_FINDINGS:
        drawn -= ADDED_SINCE
    if seed % PLANNED_EVERY == 0:
        drawn = PLANNED
    chosen = drawn if troubles is None else frozenset(troubles)
    hosts = _draw_host_count(seed) if host_count is None else host_count
    added = {Route.ADDED: ADDED_PER_S} if Trouble.CONFIGURATION in chosen else {}
    return SoakPlan(
        seed,
        hosts,
        chosen,
        tuple(
            exchange
            for route, rate in (RATES_PER_S | added).items()
            for exchange in _exchanges(seed, duration_s, chosen, route, rate)
        ),
        tuple(
            fault
            for kind in Trouble
            if kind in chosen and kind in FAULT_TIMES
            for fault in _faults(seed, duration_s, kind, hosts)
            if fault.start_s + fault.lasts_s <= _faults_end_s(seed, duration_s)
        ),
        tuple(_releases(seed, duration_s)),
    )


def _faults_end_s(seed: int, duration_s: float) -> float:
    """Returns the time at which faults have passed; infinity if they may last to the end."""
    is_calm = seed % CALM_EVERY == CALM_REMAINDER and seed % PLANNED_EVERY != 0
    return duration_s - CALM_END_S if is_calm else math.inf


def _share(kind: Trouble) -> float:
    return FAULT_TIMES[kind].share if kind in FAULT_TIMES else TROUBLE_SHARE


def _draw_host_count(seed: int) -> int:
    draws = random.Random(f"{seed} hosts")
    return draws.randint(*(MANY_HOSTS if draws.random() < MANY_HOSTS_SHARE else USUAL_HOSTS))


def _exchanges(
    seed: int, duration_s: float, troubles: frozenset[Trouble], route: Route, per_s: float
) -> Iterator[ExchangePlan]:
    draws, prompts = random.Random(f"{seed} {route.value}"), random.Random(f"{seed} prompts")
    names_prompt = route is Route.CHAT and Trouble.SHARED_PROMPTS in troubles
    for number in range(int(duration_s * per_s)):
        mixed_ms = draws.choice(MIXED_DEADLINES_MS)
        breaks = draws.randint(1, MAX_BREAKS) if route is Route.CHAT else 0
        attempts = tuple(
            _attempt(draws, index < breaks, Trouble.LATE_REQUESTS in troubles)
            for index in range(MAX_ATTEMPTS)
        )
        deadline_ms = mixed_ms if Trouble.MIXED_DEADLINES in troubles else DEADLINE_MS
        prompt = prompts.randrange(PROMPT_COUNT) if names_prompt else None
        yield ExchangePlan(route, number / per_s, deadline_ms, attempts, prompt)


def _attempt(draws: random.Random, breaks: bool, may_be_late: bool) -> AttemptPlan:
    host, wait_s = draws.random(), draws.uniform(0.0, 0.3)
    late, late_s = draws.random() < LATE_SHARE, draws.uniform(*LATE_S)
    read_events, kept = draws.randint(*READ_EVENTS), draws.random() < KEPT_SHARE
    return AttemptPlan(
        host,
        wait_s,
        late_s if late and may_be_late else 0.0,
        read_events if breaks else None,
        kept,
    )


def _faults(seed: int, duration_s: float, kind: Trouble, host_count: int) -> Iterator[Fault]:
    times, draws = FAULT_TIMES[kind], random.Random(f"{seed} {kind.value}")
    # With streams of their own, these leave the other draws of a seed as they are.
    choices, hosts = (random.Random(f"{seed} {kind.value} {name}") for name in ("choice", "host"))
    start_s = QUIET_START_S + draws.uniform(*times.gap_s)
    while start_s < duration_s:
        lasts_s = draws.uniform(*times.lasts_s)
        host = draws.randrange(HOST_COUNT)
        if host_count != HOST_COUNT:
            host = hosts.randrange(host_count)
        yield Fault(start_s, kind, host, lasts_s, choices.getrandbits(32))
        start_s += (0.0 if times.overlap else lasts_s) + draws.uniform(*times.gap_s)


def draw_domains(seed: int, host_count: int) -> list[str]:
    """Returns the failure domain of each host: one for all, or two or three in turn."""
    count = random.Random(f"{seed} domains").randint(1, len(DOMAINS))
    return [DOMAINS[number % count] for number in range(host_count)]


def draw_group(fault: Fault, domains: Sequence[str]) -> list[int]:
    """Returns the hosts that are killed at once: two, half of them, or a failure domain.

    Args:
        domains: failure domain of each host.
    """
    draws, hosts = random.Random(fault.choice), range(len(domains))
    kind = draws.choice(("two", "half", "domain"))
    if kind == "domain" and len(set(domains)) > 1:
        return [host for host in hosts if domains[host] == domains[fault.host]]
    others = [host for host in hosts if host != fault.host]
    count = 2 if kind == "two" else max(2, len(domains) // 2)
    return [fault.host, *draws.sample(others, min(count - 1, len(others)))]


def draw_framings(seed: int) -> Iterator[BodyFraming]:
    """Yields what marks the end of the answers of each server of a seed."""
    draws = random.Random(f"{seed} framing")
    share = draws.uniform(*UNFRAMED_SHARE)
    while True:
        yield BodyFraming.CLOSE if draws.random() < share else BodyFraming.CHUNKED


def _releases(seed: int, duration_s: float) -> Iterator[Release]:
    draws = random.Random(f"{seed} releases")
    start_s = draws.uniform(*RELEASE_GAP_S)
    while start_s < duration_s:
        yield Release(start_s, draws.getrandbits(32), draws.uniform(*LEAVING_S))
        start_s += draws.uniform(*RELEASE_GAP_S)
