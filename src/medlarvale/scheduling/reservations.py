"""Reservations of the booker, with their owners, attempts and ends."""

from __future__ import annotations

import heapq

import msgspec

from medlarvale.ids import AttemptNumber, HostIdentity, RequestId
from medlarvale.scheduling.messages import Phase, Placed, Reserve

# Longer than any message of an ended attempt can be on its way (STALE_FRAME_MS of the peers).
ENDED_MEMORY_MS = 12_000.0


class Reservation(msgspec.Struct):
    """One placed attempt.

    Attributes:
        phase: newest phase reported, None before the prefill has ended.
    """

    request: Reserve
    placed: Placed
    prefill_ms: float
    placed_at_ms: float
    expires_ms: float
    phase: Phase | None = None

    @property
    def owner(self) -> HostIdentity:
        """The entry host that holds the reservation."""
        return self.request.owner


class ReservationTable:
    """All reservations, by request; each request has at most one, of its newest attempt."""

    def __init__(self, lease_ms: float) -> None:
        self._lease_ms = lease_ms
        self._by_request: dict[RequestId, Reservation] = {}
        self._expiry: list[tuple[float, RequestId]] = []
        self._ended: dict[RequestId, tuple[AttemptNumber, float]] = {}

    def __len__(self) -> int:
        return len(self._by_request)

    def get(self, request: RequestId) -> Reservation | None:
        """Returns the reservation of a request, or None."""
        return self._by_request.get(request)

    def all_reservations(self) -> list[Reservation]:
        """Returns all reservations."""
        return list(self._by_request.values())

    def add(self, reservation: Reservation) -> None:
        """Stores a reservation."""
        request = reservation.request.request_id
        self._by_request[request] = reservation
        heapq.heappush(self._expiry, (reservation.expires_ms, request))

    def renew(self, reservation: Reservation, now_ms: float) -> None:
        """Moves the end of a reservation to a full lease from now."""
        reservation.expires_ms = now_ms + self._lease_ms

    def end(self, request: RequestId, attempt: AttemptNumber, now_ms: float) -> Reservation | None:
        """Ends an attempt and all older ones for good.

        Returns:
            The reservation that this ended, or None: a message of an old attempt ends nothing.
        """
        known, _ = self._ended.pop(request, (attempt, 0.0))
        self._ended[request] = (max(known, attempt), now_ms + ENDED_MEMORY_MS)
        reservation = self._by_request.get(request)
        if reservation is None or reservation.request.attempt > attempt:
            return None
        return self._by_request.pop(request)

    def has_ended(self, request: RequestId, attempt: AttemptNumber) -> bool:
        """Tells whether this attempt, or a newer one, is known to have ended."""
        ended = self._ended.get(request)
        return ended is not None and attempt <= ended[0]

    def ended_since(self, request: RequestId, attempt: AttemptNumber, since_ms: float) -> bool:
        """Tells whether this attempt, or a newer one, ended after a time."""
        ended = self._ended.get(request)
        return ended is not None and attempt <= ended[0] and ended[1] - ENDED_MEMORY_MS >= since_ms

    def expire(self, now_ms: float) -> list[Reservation]:
        """Ends the reservations that were not renewed in time and returns them."""
        expired = []
        while self._expiry and self._expiry[0][0] <= now_ms:
            _, request = heapq.heappop(self._expiry)
            reservation = self._by_request.get(request)
            if reservation is None:
                continue
            if reservation.expires_ms > now_ms:
                heapq.heappush(self._expiry, (reservation.expires_ms, request))
                continue
            self.end(request, reservation.request.attempt, now_ms)
            expired.append(reservation)
        self._forget_ended(now_ms)
        return expired

    def _forget_ended(self, now_ms: float) -> None:
        while self._ended:
            request = next(iter(self._ended))
            if self._ended[request][1] > now_ms:
                return
            del self._ended[request]
