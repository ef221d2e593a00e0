"""Requests and replies between entry hosts, with an in-memory implementation for tests."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Protocol, TypeVar, Union

import msgspec

from medlarvale.ids import HostId, HostIdentity
from medlarvale.peers.errors import PeerError, PeerTimeoutError, PeerUnknownError

RequestT = TypeVar("RequestT", bound=msgspec.Struct)
Handler = Callable[[HostIdentity, Any], Awaitable[msgspec.Struct]]


class Transport(Protocol):
    """Sends requests to peers and dispatches received ones to handlers."""

    def register(self, message_type: type[msgspec.Struct], handler: Handler) -> None:
        """Sets the handler of a message type; it returns the reply."""

    async def request(
        self, peer: HostId, message: msgspec.Struct, timeout_ms: float
    ) -> msgspec.Struct:
        """Sends a message and returns the peer's reply.

        Raises:
            PeerUnknownError: no address of the peer is known; nothing was sent.
            PeerTimeoutError: no reply arrived in time.
            PeerError: the peer could not handle the message.
        """


class MessageCodec:
    """Encodes and decodes the tagged messages of all packages.

    Args:
        message_types: ``msgspec.Struct`` types with distinct tags.
    """

    def __init__(self, message_types: Iterable[type[msgspec.Struct]]) -> None:
        union: Any = Union[tuple(message_types)]  # noqa: UP007
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(union)

    def encode(self, message: msgspec.Struct) -> bytes:
        """Returns the encoded message."""
        return self._encoder.encode(message)

    def decode(self, data: bytes) -> msgspec.Struct:
        """Returns the message in ``data``.

        Raises:
            msgspec.MsgspecError: the data is not a known message.
        """
        try:
            return self._decoder.decode(data)
        except RecursionError as error:
            raise msgspec.DecodeError("the message is nested too deeply") from error


class MemoryNetwork:
    """Network of in-memory transports, whose links tests can cut.

    Args:
        codec: encodes and decodes every message, so that tests receive the types of the wire.
    """

    def __init__(self, codec: MessageCodec) -> None:
        self.codec = codec
        self.transports: dict[HostId, MemoryTransport] = {}
        self.cut_links: set[frozenset[HostId]] = set()

    def cut(self, one: HostId, other: HostId) -> None:
        """Cuts the link between two hosts; requests over it fail with a timeout."""
        self.cut_links.add(frozenset((one, other)))

    def heal(self) -> None:
        """Restores all links."""
        self.cut_links.clear()


class MemoryTransport:
    """In-memory transport within one process."""

    def __init__(self, identity: HostIdentity, network: MemoryNetwork) -> None:
        self._identity = identity
        self._network = network
        self._handlers: dict[type[msgspec.Struct], Handler] = {}
        network.transports[identity.host] = self

    def register(self, message_type: type[msgspec.Struct], handler: Handler) -> None:
        """Sets the handler of a message type; it returns the reply."""
        self._handlers[message_type] = handler

    async def request(
        self, peer: HostId, message: msgspec.Struct, timeout_ms: float
    ) -> msgspec.Struct:
        """Sends a message and returns the peer's reply; see ``Transport.request``."""
        target = self._network.transports.get(peer)
        if target is None:
            raise PeerUnknownError(f"no address of host {peer} is known")
        if frozenset((self._identity.host, peer)) in self._network.cut_links:
            raise PeerTimeoutError(f"host {peer} did not answer within {timeout_ms} ms")
        codec = self._network.codec
        received = codec.decode(codec.encode(message))
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                # The peer runs in a task of its own, as it does behind a network.
                reply = await asyncio.create_task(target.deliver(self._identity, received))
        except TimeoutError as error:
            raise PeerTimeoutError(f"host {peer} did not answer within {timeout_ms} ms") from error
        return codec.decode(codec.encode(reply))

    async def deliver(self, sender: HostIdentity, message: msgspec.Struct) -> msgspec.Struct:
        """Passes a received message to its handler and returns the reply."""
        handler = self._handlers.get(type(message))
        if handler is None:
            raise PeerError(f"no handler for {type(message).__name__}")
        return await handler(sender, message)
