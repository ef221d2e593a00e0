"""Messages between the hosts of a cell about requests that may crash servers."""

from __future__ import annotations

import enum

import msgspec

from medlarvale.ids import ServerId


class LossEvent(msgspec.Struct, frozen=True, order=True):
    """Identity of one loss of a server, the same at every host that saw it.

    Attributes:
        epoch: start of the server, as its load report gives it; 0 if it gives none.
        generation: losses that the reporting host already knew for this epoch when its run
            started; tells apart a second loss that comes before the report of the new epoch.
    """

    server: ServerId
    epoch: int
    generation: int


class Loss(msgspec.Struct, frozen=True, order=True):
    """A server was lost while the request ran on it; ``lost_at_ms`` is wall-clock time."""

    lost_at_ms: int
    event: LossEvent


class Evidence(msgspec.Struct, frozen=True):
    """What a host knows about one fingerprint.

    Attributes:
        cleared_at_ms: wall-clock time of the last clean end; losses up to it do not count.
    """

    fingerprint: int
    losses: tuple[Loss, ...] = ()
    cleared_at_ms: int = 0


class PermitVerdict(enum.Enum):
    """Answer of a fingerprint's owner to a host that wants to run it."""

    GRANTED = "granted"
    BUSY = "busy"
    QUARANTINED = "quarantined"


class PermitId(msgspec.Struct, frozen=True):
    """One copy of a suspect at the sending host."""

    fingerprint: int
    token: int


class ShareEvidence(msgspec.Struct, tag="share_evidence", frozen=True):
    """Tells a peer what the sender knows; may be repeated and reordered freely."""

    evidence: tuple[Evidence, ...]


class AcquirePermit(msgspec.Struct, tag="acquire_permit", frozen=True):
    """Asks the fingerprint's owner whether a copy may run now."""

    permit: PermitId
    evidence: Evidence


class PermitAnswer(msgspec.Struct, tag="permit_answer", frozen=True):
    """The owner's verdict and what it knows."""

    verdict: PermitVerdict
    evidence: Evidence


class RenewPermits(msgspec.Struct, tag="renew_permits", frozen=True):
    """Keeps permits from running out while their copies run."""

    permits: tuple[PermitId, ...]


class ReleasePermit(msgspec.Struct, tag="release_permit", frozen=True):
    """Returns a permit together with what the run has shown."""

    permit: PermitId
    evidence: Evidence


class QuarantineAccepted(msgspec.Struct, tag="quarantine_accepted", frozen=True):
    """Confirms a message that asks for nothing."""


QUARANTINE_MESSAGES: tuple[type[msgspec.Struct], ...] = (
    ShareEvidence,
    AcquirePermit,
    PermitAnswer,
    RenewPermits,
    ReleasePermit,
    QuarantineAccepted,
)
