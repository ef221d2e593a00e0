"""Errors of the peer layer."""

from medlarvale.errors import MedlarvaleError, Outcome


class PeerError(MedlarvaleError):
    """A request to a peer got no reply; whether the peer handled it is unknown."""

    code = "peer_error"
    outcome = Outcome.UNKNOWN
    http_status = 502


class PeerTimeoutError(PeerError):
    """The peer did not reply in time."""

    code = "peer_timeout"
    http_status = 504


class PeerUnknownError(PeerError):
    """No address of the peer is known, so nothing was sent."""

    code = "peer_unknown"
    outcome = Outcome.NOT_RUN


class FrameRejectedError(PeerError):
    """A received frame is malformed or failed the MAC, receiver, age or replay check."""

    code = "frame_rejected"
