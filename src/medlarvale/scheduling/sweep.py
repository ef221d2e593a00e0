"""Which requests on an engine have lost their owner and have to be cancelled."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

import msgspec

from medlarvale.ids import AttemptNumber, HostIdentity, RequestId
from medlarvale.scheduling.reports import EngineRequest, parse_owner

# Part of the stated bound for a dead entry host: 3 s less detection (1.25 s) and poll (0.5 s).
IDLE_LIMIT_MS = 1_000.0


class SweepFindings(msgspec.Struct, frozen=True):
    """What to do about the requests of one engine.

    Attributes:
        cancel: requests without a live owner.
        ask: idle requests whose live owner has to say whether it still serves them.
    """

    cancel: list[EngineRequest]
    query: dict[HostIdentity, list[EngineRequest]]


def classify_requests(
    requests: Iterable[EngineRequest], live_owners: Collection[HostIdentity]
) -> SweepFindings:
    """Sorts the requests that an engine lists.

    A request that its client reads is never touched, whatever is believed of its owner: the
    belief may lag, the reading does not.
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
        asked: requests that the owner was asked about.
        known: newest attempt of each of these that the owner serves.
    """
    return [
        request
        for request in queried
        if request.request_id not in known or request.attempt < known[request.request_id]
    ]
