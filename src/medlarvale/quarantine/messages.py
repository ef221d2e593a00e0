"""Messages between the hosts of a cell about requests that may crash servers."""

from __future__ import annotations

import enum

import msgspec

from medlarvale.ids import ServerId


class LossEvent(msgspec.Struct, frozen=True, order=True):
    """Identity of one loss of a server, the same at every host that observed it.

    Attributes:
        epoch: start of the server according to its load report; 0 if the report has none.
        generation: number of losses of this epoch known to the reporting host when its run
            started; distinguishes a second loss that occurs before the new epoch is reported.
    """

    server: ServerId
    epoch: int
    generation: int


class Loss(msgspec.Struct, frozen=True, order=True):
    """A server was lost while the request ran on it; ``lost_at_ms`` is wall-clock time."""

    lost_at_ms: int
    event: LossEvent


class Evidence(msgspec.Struct, frozen=True):
    """The losses and the clearance of one fingerprint known to a host.

    Attributes:
        cleared_at_ms: wall-clock time of the last complete answer; losses up to it do not count.
    """

    fingerprint: int
    losses: tuple[Loss, ...] = ()
    cleared_at_ms: int = 0


class PermitVerdict(enum.Enum):
    """Answer of a fingerprint's owner to a host that wants to run a request with it."""

    GRANTED = "granted"
    BUSY = "busy"
    QUARANTINED = "quarantined"


class PermitId(msgspec.Struct, frozen=True):
    """Identifier of one copy of a suspect at the sending host."""

    fingerprint: int
    token: int


class ShareEvidence(msgspec.Struct, tag="share_evidence", frozen=True):
    """Sends the sender's evidence to a peer; may be repeated and reordered.

    Attributes:
        digest: hash of the sender's evidence about everything that it refuses, or None. If it
            differs from that of the receiver, the reply is the receiver's evidence.
        completed: evidence that only complete answers clear; earlier builds don't know it.
        completed_digest: the hash of that evidence, or None.
    """

    evidence: tuple[Evidence, ...]
    digest: int | None = None
    completed: tuple[Evidence, ...] = ()
    completed_digest: int | None = None


class AcquirePermit(msgspec.Struct, tag="acquire_permit", frozen=True):
    """Requests permission to run a copy now from the fingerprint's owner."""

    permit: PermitId
    evidence: Evidence


class PermitAnswer(msgspec.Struct, tag="permit_answer", frozen=True):
    """The owner's verdict and its evidence."""

    verdict: PermitVerdict
    evidence: Evidence


class RenewPermits(msgspec.Struct, tag="renew_permits", frozen=True):
    """Extends permits while their copies run."""

    permits: tuple[PermitId, ...]


class ReleasePermit(msgspec.Struct, tag="release_permit", frozen=True):
    """Returns a permit, with the sender's evidence after the run."""

    permit: PermitId
    evidence: Evidence


class QuarantineAccepted(msgspec.Struct, tag="quarantine_accepted", frozen=True):
    """Acknowledges a message that requests nothing."""


QUARANTINE_MESSAGES: tuple[type[msgspec.Struct], ...] = (
    ShareEvidence,
    AcquirePermit,
    PermitAnswer,
    RenewPermits,
    ReleasePermit,
    QuarantineAccepted,
)
