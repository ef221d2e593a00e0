"""The requests that this host has placed or is placing, and the hosts that scheduled them."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from medlarvale.ids import AttemptNumber, HostId, RequestId, ServiceName
from medlarvale.scheduling.messages import attempt_digest


class OwnedRequest(msgspec.Struct):
    """A request of this host.

    Attributes:
        scheduler_host: host of the scheduler that got the last ``Reserve``; None for a placement in
            fallback.
    """

    attempt: AttemptNumber
    service: ServiceName
    digest: int
    scheduler_host: HostId | None = None


class OwnedRequests:
    """Requests of this host by id, with the digests that each scheduler may have reserved for."""

    def __init__(self) -> None:
        self._by_request: dict[RequestId, OwnedRequest] = {}
        # Counts the requests of each digest, because two requests may have the same one.
        self._digests_by_host: dict[HostId, dict[int, int]] = {}

    def add(self, request: RequestId, attempt: AttemptNumber, service: ServiceName) -> None:
        """Adds an attempt, replacing older attempts of the request."""
        self.remove(request)
        digest = attempt_digest(request, attempt)
        self._by_request[request] = OwnedRequest(attempt, service, digest)

    def get(self, request: RequestId) -> OwnedRequest | None:
        """Returns the newest attempt of a request, or None."""
        return self._by_request.get(request)

    def set_scheduler_host(self, request: RequestId, scheduler_host: HostId | None) -> None:
        """Records the host whose scheduler places a request.

        From then on, replies to the scheduler that was recorded before report its reservation as
        unused.
        """
        owned = self._by_request.get(request)
        if owned is None:
            return
        self._remove_from_host(owned)
        owned.scheduler_host = scheduler_host
        if scheduler_host is not None:
            served = self._digests_by_host.setdefault(scheduler_host, {})
            served[owned.digest] = served.get(owned.digest, 0) + 1

    def remove(self, request: RequestId) -> None:
        """Removes a request that has ended."""
        owned = self._by_request.pop(request, None)
        if owned is not None:
            self._remove_from_host(owned)

    def end(self, request: RequestId, attempt: AttemptNumber) -> None:
        """Removes a request unless a newer attempt of it has started."""
        owned = self._by_request.get(request)
        if owned is not None and owned.attempt <= attempt:
            self.remove(request)

    def ended_digests(self, scheduler_host: HostId, digests: Iterable[int]) -> list[int]:
        """Returns the digests for which this host serves no attempt placed by that scheduler."""
        served = self._digests_by_host.get(scheduler_host, {})
        return [digest for digest in digests if digest not in served]

    def _remove_from_host(self, owned: OwnedRequest) -> None:
        if owned.scheduler_host is None:
            return
        served = self._digests_by_host[owned.scheduler_host]
        served[owned.digest] -= 1
        if not served[owned.digest]:
            del served[owned.digest]
        if not served:
            del self._digests_by_host[owned.scheduler_host]
