"""Reservations of the placement scheduler, and the attempts that ended recently."""

from __future__ import annotations

import msgspec

from medlarvale.ids import AttemptNumber, HostIdentity, RequestId
from medlarvale.scheduling.messages import Phase, Placed, Reserve, attempt_digest
from medlarvale.scheduling.owners import OwnerTable

# Longer than the maximum age of a message (STALE_FRAME_MS of the peers), so that no message of an
# ended attempt can arrive later.
ENDED_RETENTION_MS = 12_000.0


class Reservation(msgspec.Struct):
    """One placed attempt.

    Attributes:
        phase: latest phase reported, or None before the prefill has ended.
    """

    request: Reserve
    placed: Placed
    prefill_ms: float
    placed_at_ms: float
    phase: Phase | None = None

    @property
    def owner(self) -> HostIdentity:
        """The entry host that owns the reservation."""
        return self.request.owner


class ReservationTable:
    """Reservations by request; each request has at most one, for its newest attempt."""

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
        """Adds a reservation."""
        request = reservation.request.request_id
        self._by_request[request] = reservation
        digest = attempt_digest(request, reservation.request.attempt)
        self.owners.add(reservation.owner, request, digest, reservation.placed_at_ms)

    def end(self, request: RequestId, attempt: AttemptNumber, now_ms: float) -> Reservation | None:
        """Ends an attempt and all older ones, and records that they have ended.

        Returns:
            The reservation that was ended, or None: an old attempt does not end the reservation
            of a newer one.
        """
        known, _ = self._ended.pop(request, (attempt, 0.0))
        self._ended[request] = (max(known, attempt), now_ms + ENDED_RETENTION_MS)
        reservation = self._by_request.get(request)
        if reservation is None or reservation.request.attempt > attempt:
            return None
        self.owners.remove(reservation.owner, request)
        return self._by_request.pop(request)

    def has_ended(self, request: RequestId, attempt: AttemptNumber) -> bool:
        """Returns whether this attempt, or a newer one, is known to have ended."""
        ended = self._ended.get(request)
        return ended is not None and attempt <= ended[0]

    def ended_since(self, request: RequestId, attempt: AttemptNumber, since_ms: float) -> bool:
        """Returns whether this attempt, or a newer one, has ended since ``since_ms``."""
        ended = self._ended.get(request)
        return (
            ended is not None and attempt <= ended[0] and ended[1] - ENDED_RETENTION_MS >= since_ms
        )

    def forget_ended(self, now_ms: float) -> None:
        """Drops ended attempts that are so old that none of their messages can still arrive."""
        while self._ended:
            request = next(iter(self._ended))
            if self._ended[request][1] > now_ms:
                return
            del self._ended[request]
