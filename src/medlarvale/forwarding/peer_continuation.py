"""The rest of a stream that a peer has accepted."""

from __future__ import annotations

import msgspec

from medlarvale.forwarding.interface import BackendAnswer
from medlarvale.forwarding.messages import ClientRequest


class PeerContinuation(msgspec.Struct, frozen=True):
    """A relayed request for what the caller has not received yet, and its answer.

    Attributes:
        rest: the request.
        answer: the answer with which a peer has accepted it.
    """

    rest: ClientRequest
    answer: BackendAnswer

    @property
    def resume_after(self) -> int | None:
        """Number of the last event that the caller had received."""
        return self.rest.resume_after

    def close(self) -> None:
        """Cancels the request at the peer."""
        self.answer.close()
