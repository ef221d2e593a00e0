"""Transport over pynng: one Pull0 listener per host and one Push0 dialer per peer.

Replies are separate frames, matched by nonce, so that any number of requests can be outstanding
and a slow handler does not block others.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Mapping

import msgspec
import pynng

from medlarvale.clock import Clock
from medlarvale.ids import HostId, HostIdentity
from medlarvale.logs import Event, log_warning
from medlarvale.peers.auth import Frame, FrameGuard, FrameKind
from medlarvale.peers.errors import (
    FrameRejectedError,
    PeerError,
    PeerTimeoutError,
    PeerUnknownError,
)
from medlarvale.peers.transport import Handler, MessageCodec

SEND_BUFFER_FRAMES = 256
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 500
MAX_FRAME_BYTES = 16 * 1024 * 1024
# A connection is replaced after this many requests in a row without a reply, late ones included,
# and no sooner than after this time: one may have gone silent while new ones work.
REPLACE_AFTER_REQUESTS = 2
REPLACE_AFTER_MS = 1_000.0


class _Dialer:
    """The connection for frames to one address.

    Attributes:
        socket: sends the frames, and connects again after a reset.
        unanswered: requests that timed out since the last reply.
        answered_ms: time of the last reply, or of the first connection attempt.
    """

    def __init__(self, address: str, now_ms: float) -> None:
        self.socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER_FRAMES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        self.socket.dial(address, block=False)
        self.unanswered = 0
        self.answered_ms = now_ms

    def note_reply(self, now_ms: float) -> None:
        self.unanswered = 0
        self.answered_ms = now_ms

    def is_silent(self, now_ms: float) -> bool:
        """Returns whether the connection may have gone silent without a reset."""
        return (
            self.unanswered >= REPLACE_AFTER_REQUESTS
            and now_ms - self.answered_ms >= REPLACE_AFTER_MS
        )


class PynngTransport:
    """Sends and receives authenticated requests and replies.

    Args:
        identity: this host.
        address: ``tcp://ip:port`` to listen on.
        guard: verifies received frames and has the keys that sign frames.
        codec: codec of the messages of all packages.
        clock: time service.
        reply_address: address to which peers send replies; None for ``address``.
    """

    def __init__(
        self,
        identity: HostIdentity,
        address: str,
        guard: FrameGuard,
        codec: MessageCodec,
        clock: Clock,
        reply_address: str | None = None,
    ) -> None:
        self._identity = identity
        self._address = address
        self._reply_address = reply_address or address
        self._guard = guard
        self._codec = codec
        self._clock = clock
        self._handlers: dict[type[msgspec.Struct], Handler] = {}
        self._peer_addresses: dict[HostId, str] = {}
        self._announced_addresses: dict[HostId, str] = {}
        self._dialers: dict[str, _Dialer] = {}
        self._pending: dict[int, asyncio.Future[Frame]] = {}
        self._nonces = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._listener: pynng.Pull0 | None = None
        self._closed = False
        self.dropped_frames = 0
        self.replaced_connections = 0
        self.sent_bytes = 0
        self.received_bytes = 0

    def register(self, message_type: type[msgspec.Struct], handler: Handler) -> None:
        """Sets the handler of a message type; it returns the reply."""
        self._handlers[message_type] = handler

    def set_peers(self, addresses: Mapping[HostId, str]) -> None:
        """Replaces the known addresses and closes the dialers of addresses no longer listed."""
        self._peer_addresses = dict(addresses)
        listed = set(addresses.values())
        for address in [known for known in self._dialers if known not in listed]:
            self._dialers.pop(address).socket.close()

    def start(self) -> None:
        """Starts to listen.

        Raises:
            OSError: the address cannot be bound.
        """
        self._listener = pynng.Pull0(recv_max_size=MAX_FRAME_BYTES)
        try:
            self._listener.listen(self._address)
        except pynng.exceptions.NNGException as error:
            raise OSError(f"cannot listen on {self._address}: {error}") from error
        self._spawn(self._receive_frames(self._listener))

    async def close(self) -> None:
        """Stops listening and closes all dialers; pending requests fail."""
        self._closed = True
        for task in list(self._tasks):
            task.cancel()
        # If a frame arrives together with the cancellation, pynng returns the frame and the
        # cancellation is lost. Closing the listener ends the receiving task in that case too.
        if self._listener is not None:
            self._listener.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for dialer in self._dialers.values():
            dialer.socket.close()
        self._dialers.clear()

    async def request(
        self, peer: HostId, message: msgspec.Struct, timeout_ms: float
    ) -> msgspec.Struct:
        """Sends a message and returns the peer's reply; see ``Transport.request``."""
        address = self._address_of(peer)
        if address is None:
            raise PeerUnknownError(f"no address of host {peer} is known")
        future: asyncio.Future[Frame] = asyncio.get_running_loop().create_future()
        nonce = next(self._nonces)
        self._pending[nonce] = future
        try:
            body = self._codec.encode(message)
            self._send(address, peer, nonce, 0, FrameKind.REQUEST, body)
            async with asyncio.timeout(timeout_ms / 1000.0):
                frame = await future
        except TimeoutError as error:
            self._note_timeout(address)
            raise PeerTimeoutError(f"host {peer} did not answer within {timeout_ms} ms") from error
        finally:
            self._pending.pop(nonce, None)
        if frame.kind is FrameKind.FAILURE:
            raise PeerError(f"host {peer}: {frame.body.decode(errors='replace')}")
        try:
            return self._codec.decode(frame.body)
        except msgspec.MsgspecError as error:
            # A peer with a different software version may reply with an unknown message.
            raise PeerError(f"host {peer}: unreadable reply: {error}") from error

    def _address_of(self, peer: HostId) -> str | None:
        """Returns the listed address; without a list, the reply address in the peer's frames.

        A host that starts while the platform is down thus gets the host list and the settings from
        its peers.
        """
        if self._peer_addresses:
            return self._peer_addresses.get(peer)
        return self._announced_addresses.get(peer)

    def _send(
        self,
        address: str,
        receiver: HostId,
        nonce: int,
        in_reply_to: int,
        kind: FrameKind,
        body: bytes,
    ) -> None:
        frame = Frame(
            sender=self._identity.host,
            incarnation=self._identity.incarnation,
            receiver=receiver,
            reply_address=self._reply_address,
            nonce=nonce,
            in_reply_to=in_reply_to,
            kind=kind,
            sent_at_ms=self._clock.wall_ms(),
            body=body,
        )
        data = self._guard.keys.sign(msgspec.msgpack.encode(frame))
        try:
            self._dialer(address).socket.send(data, block=False)
        except pynng.exceptions.NNGException as error:
            # A full queue means that the peer does not read; the frame is lost, as on the network.
            if kind is FrameKind.REQUEST:
                raise PeerError(f"host {receiver}: {error}") from error
        self.sent_bytes += len(data)

    def _dialer(self, address: str) -> _Dialer:
        dialer = self._dialers.get(address)
        if dialer is None:
            dialer = self._dialers[address] = _Dialer(address, self._clock.now_ms())
        return dialer

    def _note_timeout(self, address: str) -> None:
        """Replaces the connection to a peer that has not replied for a while."""
        dialer = self._dialers.get(address)
        if dialer is None:
            return
        dialer.unanswered += 1
        if dialer.is_silent(self._clock.now_ms()):
            # The next frame connects again.
            self._dialers.pop(address).socket.close()
            self.replaced_connections += 1

    def _note_reply(self, address: str) -> None:
        dialer = self._dialers.get(address)
        if dialer is not None:
            dialer.note_reply(self._clock.now_ms())

    async def _receive_frames(self, listener: pynng.Pull0) -> None:
        task = asyncio.current_task()
        assert task is not None
        while not self._closed:
            try:
                data = await listener.arecv()
            except pynng.exceptions.Closed:
                return
            # If a frame arrives together with a cancellation, pynng returns the frame instead.
            if task.cancelling():
                raise asyncio.CancelledError
            self.received_bytes += len(data)
            try:
                frame = self._guard.open(data, self._clock.wall_ms())
            except FrameRejectedError as error:
                self.dropped_frames += 1
                log_warning(Event.PEER_FRAME_DROPPED, reason=error.message)
                continue
            if frame.kind is FrameKind.REQUEST:
                if not self._peer_addresses:
                    self._announced_addresses[frame.sender] = frame.reply_address
                self._spawn(self._handle_request(frame))
            else:
                self._resolve(frame)

    def _resolve(self, frame: Frame) -> None:
        self._note_reply(frame.reply_address)
        future = self._pending.get(frame.in_reply_to)
        if future is not None and not future.done():
            future.set_result(frame)

    async def _handle_request(self, frame: Frame) -> None:
        sender = HostIdentity(frame.sender, frame.incarnation)
        kind = FrameKind.REPLY
        try:
            message = self._codec.decode(frame.body)
            handler = self._handlers.get(type(message))
            if handler is None:
                raise PeerError(f"no handler for {type(message).__name__}")
            body = self._codec.encode(await handler(sender, message))
        except Exception as error:  # A faulty message must not end the receiving task.
            log_warning(Event.PEER_HANDLER_FAILED, sender=str(sender), error=repr(error))
            kind = FrameKind.FAILURE
            body = f"{type(error).__name__}: {error}".encode()
        self._send(frame.reply_address, frame.sender, next(self._nonces), frame.nonce, kind, body)

    def _spawn(self, coroutine) -> None:  # type: ignore[no-untyped-def]
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
