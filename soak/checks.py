"""Checks the promises to callers on what they saw."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from enum import StrEnum

import msgspec

from medlarvale.ids import HostId
from scripts.forward_hosts import OwnEnd
from soak.records import Attempt, AttemptEnd, Case, Disruption, Exchange, Route

# Rule LOST counts from this number of take-ups on.
MIN_TAKE_UPS = 12
# Rule LOST: share of take-ups that go on, against the share of new streams that begin.
MIN_SHARE_OF_NEW = 0.5
# Attempts with less time left are not counted in these shares.
MIN_LEFT_MS = 2_000.0
# Grace period of the hosts, and time after it in which rule LOST holds for a planned stop.
GRACE_S = 4.0
STOP_SLACK_S = 1.0
# An unplanned disruption excuses requests until this time after it.
STABLE_WINDOW_S = 5.0
# Rule RECOVER: hosts have this time after the last disruption.
RECOVERY_S = 12.0
MIN_SERVED_SHARE = 0.25
# A host that ends a request at its deadline does so in time for the way back to the caller.
TRANSIT_S = 0.12


class Promise(StrEnum):
    """What the soak checks, by the rule that it belongs to."""

    ORDER = "ORDER"
    TAKE_UPS = "LOST (take-ups)"
    ANSWERS = "MIXED (calls)"
    TWICE = "TWICE"
    REFUSED = "REFUSED"
    UNASKED = "UNASKED"
    PLANNED_STOPS = "LOST (planned stops)"
    SIGNALS = "LOST (SIGHUP)"
    DENIED = "DENIED"
    CONFIGURATIONS = "CONFIG"
    LEAVINGS = "DRAIN (Server-Leaving)"
    GONE = "GONE"
    BUDGET = "BUDGET"
    RECOVERY = "RECOVER"
    PROCESSES = "no process ends by itself"
    STOPS_IN_TIME = "stops end in time"


class Verdict(msgspec.Struct, frozen=True):
    """Result of one check.

    Attributes:
        broken: what was seen in each case.
        note: figure to print whether it is broken or not.
    """

    promise: Promise
    checked: int
    broken: tuple[Case, ...] = ()
    note: str = ""


def order_fault(stream: Exchange, event_count: int) -> str | None:
    """Returns what is wrong with the events of a stream over all its attempts; None if nothing."""
    for attempt in stream.attempts:
        if attempt.spoiled:
            return f"spoiled bytes {attempt.spoiled}"
    for before, event in enumerate(stream.events):
        if event.number != before + 1:
            return f"event {event.number} after {before}"
        if event.number > event_count:
            return f"event {event.number} after the last"
        if event.stream != stream.began_as:
            return f"event {event.number} belongs to {event.stream}"
        if event.software != stream.events[0].software:
            return f"event {event.number} of {event.software} after {stream.events[0].software}"
    if any(attempt.end is AttemptEnd.COMPLETE for attempt in stream.attempts) and (
        len(stream.events) != event_count
    ):
        return f"complete after {len(stream.events)} events"
    return None


def check_order(streams: Sequence[Exchange], event_count: int) -> Verdict:
    """Checks rule ORDER: each event once, in order, of one software version."""
    broken = []
    for stream in streams:
        fault = order_fault(stream, event_count)
        if fault is not None:
            tries = ", ".join(shown(attempt) for attempt in stream.attempts if attempt.events)
            broken.append(case_of(stream.attempts[-1], f"{fault}: {tries}"))
    return Verdict(Promise.ORDER, sum(bool(stream.events) for stream in streams), tuple(broken))


def check_take_ups(streams: Iterable[Exchange]) -> Verdict:
    """Checks rule LOST for streams that are taken up while servers of their version serve."""
    counted = [
        attempt
        for stream in streams
        for attempt in stream.attempts
        if attempt.left_ms >= MIN_LEFT_MS and attempt.serving
    ]
    new = [attempt for attempt in counted if attempt.resume_after is None]
    taken_up = [attempt for attempt in counted if attempt.resume_after is not None]
    shares = f"{_went_on(taken_up)}/{len(taken_up)} went on, {_went_on(new)}/{len(new)} began"
    lost = len(taken_up) >= MIN_TAKE_UPS and _went_on(taken_up) * len(
        new
    ) < MIN_SHARE_OF_NEW * _went_on(new) * len(taken_up)
    return Verdict(Promise.TAKE_UPS, len(taken_up), (Case(shares),) if lost else (), shares)


def _went_on(attempts: Iterable[Attempt]) -> int:
    return sum(bool(attempt.events) for attempt in attempts)


def check_answers(calls: Sequence[Exchange]) -> Verdict:
    """Checks rule MIXED: each success is the whole answer to the same request."""
    attempts = [attempt for call in calls for attempt in call.attempts]
    broken = [
        case_of(attempt, f"{attempt.request} at {attempt.host}: {attempt.spoiled}")
        for attempt in attempts
        if attempt.spoiled
    ]
    complete = sum(attempt.end is AttemptEnd.COMPLETE for attempt in attempts)
    note = f"{complete}/{len(attempts)} answered"
    return Verdict(Promise.ANSWERS, complete + len(broken), tuple(broken), note)


def check_runs(calls: Sequence[Exchange], runs: Mapping[str, int]) -> list[Verdict]:
    """Checks rules TWICE and REFUSED for calls that may run once.

    Args:
        runs: number of runs by request, at the end.
    """
    attempts = [attempt for call in calls if call.route is Route.BOOK for attempt in call.attempts]
    refused = [attempt for attempt in attempts if attempt.end is AttemptEnd.REFUSED]
    twice = [_ran(attempt, runs) for attempt in attempts if runs.get(attempt.request, 0) > 1]
    false = [_ran(attempt, runs) for attempt in refused if runs.get(attempt.request, 0) > 0]
    return [
        Verdict(Promise.TWICE, len(attempts), tuple(twice)),
        Verdict(Promise.REFUSED, len(refused), tuple(false)),
    ]


def check_asked(exchanges: Iterable[Exchange], runs: Mapping[str, int]) -> Verdict:
    """Checks rule UNASKED: servers run only requests whose id a caller has sent.

    Args:
        runs: number of runs by request, at the end.
    """
    asked = {attempt.request for exchange in exchanges for attempt in exchange.attempts}
    broken = tuple(Case(request) for request in runs if request not in asked)
    return Verdict(Promise.UNASKED, len(runs), broken)


def _ran(attempt: Attempt, runs: Mapping[str, int]) -> Case:
    ran = f"{shown(attempt)}: status {attempt.status}, {runs[attempt.request]} runs"
    return case_of(attempt, ran)


def case_of(attempt: Attempt, text: str) -> Case:
    """Returns the case of a promise that was broken at the end of an attempt."""
    return Case(text, attempt.host, attempt.ended_at_s)


def shown(attempt: Attempt) -> str:
    """Returns which attempt it was, for the report."""
    return f"{attempt.request} at {attempt.host} after {attempt.sent_at_s:.2f} s"


def check_planned_stops(
    exchanges: Iterable[Exchange], disruptions: Sequence[Disruption], runs: Mapping[str, int]
) -> Verdict:
    """Checks rule LOST: a host that stops with notice cuts no request that it has passed on.

    Args:
        runs: number of runs by request, at the end.
    """
    checked, broken = 0, []
    for stop in (item for item in disruptions if item.planned):
        end_s = stop.from_s + GRACE_S + STOP_SLACK_S
        for exchange in exchanges:
            unplanned = [item for item in disruptions if _excuses(item, exchange.route)]
            for attempt in exchange.attempts:
                if attempt.host != stop.host or not stop.from_s <= attempt.ended_at_s <= end_s:
                    continue
                since_s = attempt.sent_at_s - STABLE_WINDOW_S
                if any(
                    item.from_s <= attempt.ended_at_s and item.to_s >= since_s for item in unplanned
                ):
                    continue
                checked += 1
                was_cut = attempt.end is AttemptEnd.CUT and runs.get(attempt.request, 0) > 0
                excused = reached_deadline(attempt) or _at_work_to_the_end(attempt, stop)
                if was_cut and not excused:
                    cut = f"{shown(attempt)}, stopped at {stop.from_s:.2f} s"
                    broken.append(case_of(attempt, cut))
    return Verdict(Promise.PLANNED_STOPS, checked, tuple(broken))


def reached_deadline(attempt: Attempt) -> bool:
    """Returns whether an attempt ended when its caller's time was over."""
    return attempt.ended_at_s >= attempt.sent_at_s + attempt.left_ms / 1000.0 - TRANSIT_S


def _excuses(disruption: Disruption, route: Route) -> bool:
    """Returns whether a disruption excuses cuts; one of the store alone does so for streams."""
    of_store = disruption.host is None and disruption.server is None
    return not disruption.planned and (not of_store or route is Route.CHAT)


def _at_work_to_the_end(attempt: Attempt, stop: Disruption) -> bool:
    """Returns whether a request sent early in the grace period lasted to its last sixth."""
    last_sixth_s = stop.from_s + GRACE_S * 5.0 / 6.0
    return attempt.sent_at_s <= stop.from_s + 3.0 and attempt.ended_at_s >= last_sixth_s


def check_processes(own_ends: Mapping[HostId, Sequence[OwnEnd]]) -> Verdict:
    """Checks that no process ended without being told to."""
    broken = [Case(f"{host}: {end}", host) for host, ends in own_ends.items() for end in ends]
    return Verdict(Promise.PROCESSES, len(own_ends), tuple(broken))


def check_recovery(exchanges: Iterable[Exchange], disruptions: Sequence[Disruption]) -> Verdict:
    """Checks rule RECOVER: requests are served again some time after the final disruption.

    Attempts that the caller left as planned are not counted.
    """
    fault_s = max((item.from_s for item in disruptions), default=math.inf)
    back_s = max((item.to_s for item in disruptions), default=math.inf)
    counted = [
        attempt
        for exchange in exchanges
        for attempt in exchange.attempts
        if attempt.end is not AttemptEnd.LEFT
    ]
    before = [attempt for attempt in counted if attempt.ended_at_s < fault_s]
    after = [attempt for attempt in counted if attempt.sent_at_s > back_s + RECOVERY_S]
    shares = f"{_served(after)}/{len(after)} served, {_served(before)}/{len(before)} before"
    lost = 0 < _served(before) >= MIN_SERVED_SHARE * len(before) and _served(
        after
    ) < MIN_SERVED_SHARE * len(after)
    broken = (Case(shares, at_s=back_s),) if lost else ()
    return Verdict(Promise.RECOVERY, len(after), broken, shares if after else "")


def _served(attempts: Iterable[Attempt]) -> int:
    return sum(attempt.end is AttemptEnd.COMPLETE for attempt in attempts)
