"""Checks the promises around SIGHUP and new configurations on what callers saw."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from http import HTTPStatus

from soak.checks import (
    STABLE_WINDOW_S,
    Promise,
    Verdict,
    case_of,
    reached_deadline,
    shown,
)
from soak.records import Attempt, AttemptEnd, Disruption, Exchange, Route
from soak.reloads import Configuration, Reloads

CONFIG_APPLY_S = 2.0
LOSS_SLACK_S = 0.2
# Statuses of a route that no configuration in force allows.
DENIALS = frozenset((HTTPStatus.UNAUTHORIZED, HTTPStatus.FORBIDDEN, HTTPStatus.NOT_FOUND))


def check_signals(
    exchanges: Iterable[Exchange],
    reloads: Reloads,
    disruptions: Sequence[Disruption],
    runs: Mapping[str, int],
) -> Verdict:
    """Checks rule LOST: a host that reads its settings again cuts no request.

    Args:
        runs: number of runs by request, at the end.
    """
    counted = [
        attempt
        for exchange in exchanges
        for attempt in exchange.attempts
        if not any(
            _overlaps(item, attempt) and _excuses_cut(item, attempt, exchange.route)
            for item in disruptions
        )
    ]
    checked, broken = 0, []
    for host, at_s in reloads.signals:
        for attempt in counted:
            sent_in_time = attempt.sent_at_s <= at_s + CONFIG_APPLY_S
            if attempt.host == host and sent_in_time and attempt.ended_at_s >= at_s:
                checked += 1
                if _was_cut(attempt, runs):
                    cut = f"{shown(attempt)}, settings changed at {at_s:.2f} s"
                    broken.append(case_of(attempt, cut))
    return Verdict(Promise.SIGNALS, checked, tuple(broken))


def check_configurations(
    exchanges: Iterable[Exchange],
    configurations: Sequence[Configuration],
    disruptions: Sequence[Disruption],
) -> list[Verdict]:
    """Checks rules DENIED and CONFIG: routes are there from their version on, and no longer."""
    attempts, checked, denied, stale = 0, 0, [], []
    for exchange in exchanges:
        for attempt in exchange.attempts:
            attempts += 1
            answered = f"{shown(attempt)}: status {attempt.status}"
            if exchange.route is not Route.ADDED:
                denied += [case_of(attempt, answered)] if attempt.status in DENIALS else []
                continue
            allowed = _allowed(attempt, configurations)
            if len(allowed) > 1 or not _in_touch(attempt, disruptions):
                continue
            checked += 1
            if attempt.status == (HTTPStatus.NOT_FOUND if True in allowed else HTTPStatus.OK):
                stale.append(case_of(attempt, f"{answered}, route there {allowed}"))
    return [
        Verdict(Promise.DENIED, attempts, tuple(denied)),
        Verdict(Promise.CONFIGURATIONS, checked, tuple(stale)),
    ]


def _allowed(attempt: Attempt, configurations: Sequence[Configuration]) -> set[bool]:
    """Returns whether versions that may be in force for a request have the added route."""
    since_s = attempt.sent_at_s - CONFIG_APPLY_S
    # The first configuration does not have it.
    latest = [False, *(item.has_added for item in configurations if item.acked_s < since_s)][-1]
    newer = (
        item.has_added
        for item in configurations
        if item.acked_s >= since_s and item.sent_s <= attempt.ended_at_s
    )
    return {latest, *newer}


def _overlaps(disruption: Disruption, attempt: Attempt) -> bool:
    since_s = attempt.sent_at_s - STABLE_WINDOW_S
    return disruption.from_s <= attempt.ended_at_s and disruption.to_s >= since_s


def _excuses_cut(disruption: Disruption, attempt: Attempt, route: Route) -> bool:
    """Returns whether a disruption excuses a cut; one of the store alone does so for streams."""
    if disruption.planned:
        return disruption.host == attempt.host
    return bool(disruption.host or disruption.server or route is Route.CHAT)


def _in_touch(attempt: Attempt, disruptions: Iterable[Disruption]) -> bool:
    """Returns whether neither the host nor the store was disturbed."""
    return not any(
        item.host in (attempt.host, None) and item.server is None and _overlaps(item, attempt)
        for item in disruptions
    )


def _was_cut(attempt: Attempt, runs: Mapping[str, int]) -> bool:
    """Returns whether a request that a host has read was cut before its deadline."""
    lasted_s = attempt.ended_at_s - attempt.sent_at_s
    was_read = runs.get(attempt.request, 0) > 0 or lasted_s > LOSS_SLACK_S
    return attempt.end is AttemptEnd.CUT and was_read and not reached_deadline(attempt)
