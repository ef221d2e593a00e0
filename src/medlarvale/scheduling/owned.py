"""The requests that this host has placed or is placing, and the bookers that hold places."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from medlarvale.ids import AttemptNumber, HostId, RequestId, ServiceName
from medlarvale.scheduling.messages import attempt_digest


class OwnedRequest(msgspec.Struct):
    """A request of this host.

    Attributes:
        booker: host that was asked last; None for a placement in fallback.
    """

    attempt: AttemptNumber
    service: ServiceName
    digest: int
    scheduler_host: HostId | None = None


class OwnedRequests:
    """Requests of this host by id, with the digests that each booker may hold places for."""

    def __init__(self) -> None:
        self._by_request: dict[RequestId, OwnedRequest] = {}
        # Counted, since two requests may share a digest.
        self._by_booker: dict[HostId, dict[int, int]] = {}

    def add(self, request: RequestId, attempt: AttemptNumber, service: ServiceName) -> None:
        """Starts an attempt, in place of older ones of the request."""
        self.remove(request)
        digest = attempt_digest(request, attempt)
        self._by_request[request] = OwnedRequest(attempt, service, digest)

    def get(self, request: RequestId) -> OwnedRequest | None:
        """Returns the newest attempt of a request, or None."""
        return self._by_request.get(request)

    def set_scheduler_host(self, request: RequestId, scheduler_host: HostId | None) -> None:
        """Records which host is asked for a place; the one asked before may end its own."""
        owned = self._by_request.get(request)
        if owned is None:
            return
        self._leave_booker(owned)
        owned.scheduler_host = scheduler_host
        if scheduler_host is not None:
            served = self._by_booker.setdefault(scheduler_host, {})
            served[owned.digest] = served.get(owned.digest, 0) + 1

    def remove(self, request: RequestId) -> None:
        """Drops a request that has ended."""
        owned = self._by_request.pop(request, None)
        if owned is not None:
            self._leave_booker(owned)

    def end(self, request: RequestId, attempt: AttemptNumber) -> None:
        """Drops a request unless a newer attempt of it has started."""
        owned = self._by_request.get(request)
        if owned is not None and owned.attempt <= attempt:
            self.remove(request)

    def ended(self, scheduler_host: HostId, digests: Iterable[int]) -> list[int]:
        """Returns those of a booker's digests that this host does not serve from its place."""
        served = self._by_booker.get(scheduler_host, {})
        return [digest for digest in digests if digest not in served]

    def _leave_booker(self, owned: OwnedRequest) -> None:
        if owned.scheduler_host is None:
            return
        served = self._by_booker[owned.scheduler_host]
        served[owned.digest] -= 1
        if not served[owned.digest]:
            del served[owned.digest]
        if not served:
            del self._by_booker[owned.scheduler_host]
