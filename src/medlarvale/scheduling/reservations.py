"""Reservations of the booker, with their owners, attempts and ends."""

from __future__ import annotations

import msgspec

from medlarvale.ids import AttemptNumber, HostIdentity, RequestId
from medlarvale.scheduling.messages import Phase, Placed, Reserve, attempt_digest
from medlarvale.scheduling.owners import OwnerTable

# Longer than any message of an ended attempt can be on its way (STALE_FRAME_MS of the peers).
ENDED_RETENTION_MS = 12_000.0


class Reservation(msgspec.Struct):
    """One placed attempt.

    Attributes:
        phase: newest phase reported, None before the prefill has ended.
    """

    request: Reserve
    placed: Placed
    prefill_ms: float
    placed_at_ms: float
    phase: Phase | None = None

    @property
    def owner(self) -> HostIdentity:
        """The entry host that holds the reservation."""
        return self.request.owner


class ReservationTable:
    """All reservations, by request; each request has at most one, of its newest attempt."""

    def __init__(self) -> None:
        self.owners = OwnerTable()
        self._by_request: dict[RequestId, Reservation] = {}
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
        digest = attempt_digest(request, reservation.request.attempt)
        self.owners.add(reservation.owner, request, digest, reservation.placed_at_ms)

    def end(self, request: RequestId, attempt: AttemptNumber, now_ms: float) -> Reservation | None:
        """Ends an attempt and all older ones for good.

        Returns:
            The reservation that this ended, or None: a message of an old attempt ends nothing.
        """
        known, _ = self._ended.pop(request, (attempt, 0.0))
        self._ended[request] = (max(known, attempt), now_ms + ENDED_RETENTION_MS)
        reservation = self._by_request.get(request)
        if reservation is None or reservation.request.attempt > attempt:
            return None
        self.owners.remove(reservation.owner, request)
        return self._by_request.pop(request)

    def has_ended(self, request: RequestId, attempt: AttemptNumber) -> bool:
        """Tells whether this attempt, or a newer one, is known to have ended."""
        ended = self._ended.get(request)
        return ended is not None and attempt <= ended[0]

    def ended_since(self, request: RequestId, attempt: AttemptNumber, since_ms: float) -> bool:
        """Tells whether this attempt, or a newer one, ended after a time."""
        ended = self._ended.get(request)
        return (
            ended is not None and attempt <= ended[0] and ended[1] - ENDED_RETENTION_MS >= since_ms
        )

    def forget_ended(self, now_ms: float) -> None:
        """Forgets attempts that ended so long ago that no message of theirs can arrive."""
        while self._ended:
            request = next(iter(self._ended))
            if self._ended[request][1] > now_ms:
                return
            del self._ended[request]
