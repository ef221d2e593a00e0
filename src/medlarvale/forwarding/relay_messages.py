"""Requests that one host relays to another, and how their answers are marked."""

from __future__ import annotations

import enum
import itertools

import msgspec
from multidict import CIMultiDict

from medlarvale.errors import Outcome
from medlarvale.forwarding.errors import RelayRefusedError
from medlarvale.forwarding.messages import ClientRequest, PromptPartId, TokenCounts
from medlarvale.ids import HostId, HostIdentity, RequestId
from medlarvale.peers.auth import Frame, FrameGuard, FrameKind
from medlarvale.peers.errors import FrameRejectedError

RELAY_PATH = "/relay"
# Tells the host that relays a request what its answer is.
RELAYED_HEADER = "Medlarvale-Relayed"


class RelayedAnswer(enum.Enum):
    """What the answer to a relayed request is."""

    # A backend server's.
    SERVER = "server"
    # The host's own: the request has not run and will not.
    NOT_RUN = "not_run"
    # The host's own: the request may have run.
    UNKNOWN = "unknown"


def answer_of_error(outcome: Outcome) -> RelayedAnswer:
    """Returns the mark of an error."""
    return RelayedAnswer.NOT_RUN if outcome is Outcome.NOT_RUN else RelayedAnswer.UNKNOWN


class _RelayedRequest(msgspec.Struct, frozen=True, array_like=True):
    request_id: str
    method: str
    host: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_ms: float
    tokens: TokenCounts | None
    prompt_part: str | None
    shared_parts: tuple[str, ...]
    resume_after: int | None
    began_as: str | None


class RelayCodec:
    """Encodes and decodes relayed requests as signed frames.

    Args:
        identity: this host.
        guard: signs frames and checks received ones.
    """

    def __init__(self, identity: HostIdentity, guard: FrameGuard) -> None:
        self._identity = identity
        self._guard = guard
        self._nonces = itertools.count(1)
        self._decoder = msgspec.msgpack.Decoder(_RelayedRequest)

    def encode(
        self, request: ClientRequest, left_ms: float, receiver: HostId, wall_ms: int
    ) -> bytes:
        """Returns the frame that relays a request.

        Args:
            left_ms: time until the request must be answered.
            receiver: the host that gets it.
            wall_ms: wall-clock time in ms.
        """
        relayed = _RelayedRequest(
            request.request_id,
            request.method,
            request.host,
            request.path,
            # Names of headers are a subclass of str, which msgspec doesn't encode.
            tuple((str(name), value) for name, value in request.headers.items()),
            request.body,
            left_ms,
            request.tokens,
            request.prompt_part,
            request.shared_parts,
            request.resume_after,
            request.began_as,
        )
        frame = Frame(
            self._identity.host,
            self._identity.incarnation,
            receiver,
            "",
            next(self._nonces),
            0,
            FrameKind.REQUEST,
            wall_ms,
            msgspec.msgpack.encode(relayed),
        )
        return self._guard.keys.sign(msgspec.msgpack.encode(frame))

    def decode(self, data: bytes, wall_ms: int, received_ms: float) -> ClientRequest:
        """Returns a relayed request.

        Args:
            data: the frame.
            wall_ms: wall-clock time in ms.
            received_ms: monotonic time at which it had arrived.

        Raises:
            RelayRefusedError: the frame is not one of a peer, or is stale or repeated.
        """
        try:
            frame = self._guard.open(data, wall_ms)
            relayed = self._decoder.decode(frame.body)
        except (FrameRejectedError, msgspec.MsgspecError, RecursionError) as error:
            raise RelayRefusedError(f"not a relayed request: {error!r}") from error
        return ClientRequest(
            request_id=RequestId(relayed.request_id),
            method=relayed.method,
            host=relayed.host,
            path=relayed.path,
            headers=CIMultiDict(relayed.headers),
            body=relayed.body,
            received_ms=received_ms,
            deadline_ms=relayed.deadline_ms,
            tokens=relayed.tokens,
            prompt_part=PromptPartId(relayed.prompt_part) if relayed.prompt_part else None,
            shared_parts=tuple(PromptPartId(part) for part in relayed.shared_parts),
            resume_after=relayed.resume_after,
            began_as=RequestId(relayed.began_as) if relayed.began_as else None,
            relayed=True,
        )
