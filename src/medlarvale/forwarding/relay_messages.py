"""Requests that one host relays to another, and how their answers are marked."""

from __future__ import annotations

import enum
import itertools

import msgspec
from multidict import CIMultiDict

from medlarvale.errors import Outcome
from medlarvale.forwarding.errors import RelayRefusedError
from medlarvale.forwarding.messages import ClientRequest, PromptPartId, RelayedFrom, TokenCounts
from medlarvale.ids import (
    ConfigVersion,
    HostId,
    HostIdentity,
    KeyDigest,
    RequestId,
    ServiceName,
    SoftwareVersion,
)
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
    """A relayed request; texts of callers may hold bytes that are not UTF-8."""

    request_id: bytes
    method: bytes
    host: bytes
    path: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    deadline_ms: float
    left_ms: float
    tokens: TokenCounts | None
    prompt_part: bytes | None
    shared_parts: tuple[bytes, ...]
    resume_after: int | None
    began_as: bytes | None
    service: str
    config_version: int
    software: str | None
    # Frames of earlier builds have no further fields.
    key_digest: bytes | None = None


def _pack(text: str) -> bytes:
    return text.encode("utf-8", "surrogateescape")


def _unpack(data: bytes) -> str:
    return data.decode("utf-8", "surrogateescape")


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
        self,
        request: ClientRequest,
        routed: RelayedFrom,
        now_ms: float,
        receiver: HostId,
        wall_ms: int,
    ) -> bytes:
        """Returns the frame that relays a request.

        Args:
            request: the request.
            routed: how it has been routed.
            now_ms: monotonic time.
            receiver: the host that gets it.
            wall_ms: wall-clock time in ms.
        """
        part, began_as = request.prompt_part, request.began_as
        relayed = _RelayedRequest(
            _pack(request.request_id),
            _pack(request.method),
            _pack(request.host),
            _pack(request.path),
            tuple((_pack(name), _pack(value)) for name, value in request.headers.items()),
            request.body,
            request.deadline_ms - (now_ms - request.received_ms),
            routed.left_ms,
            request.tokens,
            _pack(part) if part is not None else None,
            tuple(map(_pack, request.shared_parts)),
            request.resume_after,
            _pack(began_as) if began_as is not None else None,
            routed.service,
            routed.config_version,
            routed.software,
            request.key_digest,
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
        part, began_as, software = relayed.prompt_part, relayed.began_as, relayed.software
        return ClientRequest(
            request_id=RequestId(_unpack(relayed.request_id)),
            method=_unpack(relayed.method),
            host=_unpack(relayed.host),
            path=_unpack(relayed.path),
            headers=CIMultiDict((_unpack(name), _unpack(value)) for name, value in relayed.headers),
            body=relayed.body,
            received_ms=received_ms,
            deadline_ms=relayed.deadline_ms,
            tokens=relayed.tokens,
            prompt_part=PromptPartId(_unpack(part)) if part is not None else None,
            shared_parts=tuple(PromptPartId(_unpack(shared)) for shared in relayed.shared_parts),
            resume_after=relayed.resume_after,
            began_as=RequestId(_unpack(began_as)) if began_as is not None else None,
            relayed=RelayedFrom(
                ServiceName(relayed.service),
                ConfigVersion(relayed.config_version),
                relayed.left_ms,
                SoftwareVersion(software) if software is not None else None,
            ),
            key_digest=KeyDigest(relayed.key_digest) if relayed.key_digest is not None else None,
        )
