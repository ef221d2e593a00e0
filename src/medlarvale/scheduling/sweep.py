"""Finds the requests on an engine that have lost their owner and have to be cancelled."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

import msgspec

from medlarvale.ids import AttemptNumber, HostIdentity, RequestId
from medlarvale.scheduling.reports import EngineRequest, parse_owner

# Fits into the bound of 3 s for a dead entry host, after detection (1.25 s) and poll (0.5 s).
IDLE_LIMIT_MS = 1_000.0


class SweepFindings(msgspec.Struct, frozen=True):
    """The idle requests of one engine that need an action.

    Attributes:
        cancel: requests without a live owner.
        query: requests by their live owner, which may no longer serve them and has to be queried.
    """

    cancel: list[EngineRequest]
    query: dict[HostIdentity, list[EngineRequest]]


def classify_requests(
    requests: Iterable[EngineRequest], live_owners: Collection[HostIdentity]
) -> SweepFindings:
    """Classifies the requests that an engine lists.

    A request whose client is still reading is never cancelled, even if its owner seems dead:
    the membership view may be outdated, whereas the read shows that the owner is alive.
    """
    cancel: list[EngineRequest] = []
    query: dict[HostIdentity, list[EngineRequest]] = {}
    for request in requests:
        if request.idle_ms <= IDLE_LIMIT_MS:
            continue
        owner = parse_owner(request.owner)
        if owner is None or owner not in live_owners:
            cancel.append(request)
        else:
            query.setdefault(owner, []).append(request)
    return SweepFindings(cancel, query)


def find_disowned(
    queried: Iterable[EngineRequest], known: Mapping[RequestId, AttemptNumber]
) -> list[EngineRequest]:
    """Returns the requests that their owner no longer serves.

    Args:
        queried: requests that the owner was queried for.
        known: newest attempt of each request that the owner still serves.
    """
    return [
        request
        for request in queried
        if request.request_id not in known or request.attempt < known[request.request_id]
    ]
