"""Checks the promises on what reached servers, beside what callers saw."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Iterator, Mapping, Sequence

from medlarvale.platform.standin import Arrival
from soak.checks import STABLE_WINDOW_S, Promise, Verdict, case_of, shown
from soak.plan import Trouble
from soak.records import Attempt, AttemptEnd, Case, Disruption, Exchange, Route

# Rule GONE holds from this time after a caller has left.
LATE_S = 0.5
# So many requests may reach a server later.
FEW_ARRIVALS = 3
# Share of the requests that would have lasted so long at which servers may still work then.
MAX_AT_WORK_SHARE = 0.25
# Ends of attempts whose caller has closed the connection.
CALLER_ENDS = frozenset((AttemptEnd.LEFT, AttemptEnd.SILENT, AttemptEnd.OUT_OF_TIME))
# Faults of servers that cut their links.
CUTS_OF_SERVERS = frozenset((Trouble.SERVER_CRASH.value, Trouble.SERVER_SILENCE.value))

# Bounds of rule BUDGET, as in the settings of the hosts.
RETRY_BUDGET_RATIO = 0.2
BUDGET_SLACK = 54
BUDGET_WINDOW_S = 10.0
# A window, the one half a window before it, and the one before it.
COUNTED_WINDOWS = (0.0, 0.5, 1.0)


def check_gone(
    exchanges: Iterable[Exchange], arrivals: Iterable[Arrival], disruptions: Sequence[Disruption]
) -> Verdict:
    """Checks rule GONE: servers neither get nor go on with requests whose callers have left."""
    left = {
        attempt.request: (exchange.route, attempt)
        for exchange in exchanges
        for attempt in exchange.attempts
        if attempt.end in CALLER_ENDS
    }
    late: list[Case] = []
    lasting: set[str] = set()
    at_work: dict[str, Case] = {}
    for arrival in arrivals:
        route, attempt = left.get(arrival.request, (None, None))
        if attempt is None:
            continue
        due_s = attempt.ended_at_s + LATE_S
        judged_s = max(due_s, arrival.at_s)
        if not _counts(attempt, arrival, judged_s, disruptions):
            continue
        text = f"{shown(attempt)}, caller left at {attempt.ended_at_s:.2f} s, {arrival.server}"
        if arrival.at_s > due_s:
            late.append(case_of(attempt, f"{text} got it at {arrival.at_s:.2f} s"))
        elif route is not Route.BOOK and arrival.at_s + arrival.work_s > due_s:
            lasting.add(arrival.request)
            if arrival.ended_s > due_s:
                ended = f"{text} worked until {arrival.ended_s:.2f} s"
                at_work[arrival.request] = case_of(attempt, ended)
    broken = late if len(late) > FEW_ARRIVALS else []
    if len(at_work) > MAX_AT_WORK_SHARE * len(lasting):
        broken = [*broken, *at_work.values()]
    note = f"{len(late)} arrived late, {len(at_work)}/{len(lasting)} still at work"
    return Verdict(Promise.GONE, len(lasting) + len(late), tuple(broken), note)


def _counts(
    attempt: Attempt, arrival: Arrival, judged_s: float, disruptions: Iterable[Disruption]
) -> bool:
    """Returns whether the host was in touch at a time, and the link of the server sound."""
    # Hosts were started at time 0.
    since_s = judged_s - STABLE_WINDOW_S
    return since_s >= 0.0 and not any(
        _harms(item, attempt, arrival) and item.from_s <= judged_s and item.to_s >= since_s
        for item in disruptions
    )


def _harms(disruption: Disruption, attempt: Attempt, arrival: Arrival) -> bool:
    if disruption.server is not None:
        return disruption.server == arrival.server and disruption.kind in CUTS_OF_SERVERS
    return disruption.host in (attempt.host, None)


def check_budget(
    exchanges: Iterable[Exchange], arrivals: Iterable[Arrival], services: Mapping[Route, str]
) -> Verdict:
    """Checks rule BUDGET: services get few arrivals beyond the first of each request.

    Args:
        services: service of each route.
    """
    sent_at_s: dict[str, list[float]] = {service: [] for service in services.values()}
    for exchange in exchanges:
        sent_at_s[services[exchange.route]] += (item.sent_at_s for item in exchange.attempts)
    extras_at_s: dict[str, list[float]] = {service: [] for service in sent_at_s}
    for extra in _extras(arrivals):
        extras_at_s[extra.service].append(extra.at_s)
    broken, notes = [], []
    for service, times_s in extras_at_s.items():
        sent_at_s[service].sort()
        most, over = 0, 0
        for at_s in times_s:
            extra_count = _count(times_s, at_s)
            windows_s = [at_s - share * BUDGET_WINDOW_S for share in COUNTED_WINDOWS]
            requests = max(_count(sent_at_s[service], end_s) for end_s in windows_s)
            most = max(most, extra_count)
            over += extra_count > RETRY_BUDGET_RATIO * requests + BUDGET_SLACK
        notes.append(f"{service} {len(times_s)} extra arrivals, {most} in a window")
        if over:
            broken.append(Case(f"{notes[-1]}, over the budget at {over}"))
    return Verdict(Promise.BUDGET, len(extras_at_s), tuple(broken), "; ".join(notes))


def _extras(arrivals: Iterable[Arrival]) -> Iterator[Arrival]:
    """Yields arrivals beyond the first of each request, without the first reading of its prompt."""
    arrived, read = set(), set()
    for arrival in sorted(arrivals, key=lambda arrival: arrival.at_s):
        key = arrival.service, arrival.request
        if arrival.read_prompt and key not in read:
            read.add(key)
        elif key in arrived:
            yield arrival
        else:
            arrived.add(key)


def _count(times_s: Sequence[float], end_s: float) -> int:
    """Returns how many of some times in order are in the window that ends at a time."""
    return bisect_right(times_s, end_s) - bisect_right(times_s, end_s - BUDGET_WINDOW_S)
