"""Relays requests to a peer while this host can't reach the servers of their service."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from typing import Protocol

import aiohttp
from multidict import CIMultiDict, CIMultiDictProxy

from medlarvale.clock import Clock
from medlarvale.forwarding.context import end_ms
from medlarvale.forwarding.errors import (
    BackendError,
    NotSentError,
    OutcomeUnknownError,
    OverloadedError,
    RejectedError,
    RequestTimeoutError,
    StreamBrokenError,
)
from medlarvale.forwarding.events import EventSplitter, events_until_silent, read_answer
from medlarvale.forwarding.fleet_messages import Hello
from medlarvale.forwarding.interface import BackendAnswer
from medlarvale.forwarding.memory_request import patience_ms
from medlarvale.forwarding.messages import ClientRequest, Route
from medlarvale.forwarding.plain import Reply
from medlarvale.forwarding.reach import ReachDetector
from medlarvale.forwarding.relay_messages import (
    RELAY_PATH,
    RELAYED_HEADER,
    RelayCodec,
    RelayedAnswer,
)
from medlarvale.forwarding.stream_run import StreamSink
from medlarvale.http_bodies import BodyFraming, body_framing
from medlarvale.ids import FailureDomain, HostId, ServerId, ServiceName
from medlarvale.logs import Event, log_info, log_warning

# Peers answer in a few ms; one that was lost may still be listed.
CONNECT_TIMEOUT_MS = 200
# Number of peers to which a request is relayed if those before have not run it.
MAX_PEERS = 3
# An answer to a plain call is held whole, as from a server.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
RETRY_AFTER_MS = 250
TRANSPORT_ERRORS = (TimeoutError, aiohttp.ClientError, OSError)
# Headers that each hop writes itself.
_HOP_HEADERS = ("Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", RELAYED_HEADER)


class PeerSender(Protocol):
    """Sends requests to peers."""

    async def send(self, address: str, frame: bytes, left_ms: float) -> BackendAnswer:
        """Sends a relayed request and waits for the head of its answer.

        Args:
            address: ``ip:port`` of the peer.
            frame: the encoded request.
            left_ms: time until the head is due.

        Raises:
            NotSentError: the peer has not received the request.
            RejectedError: the peer has not run the request, and will not.
            BackendError: the request may have run.
        """

    async def close(self) -> None:
        """Closes all connections."""


class _PeerAnswer:
    """Answer of a backend server that a peer has relayed; see ``BackendAnswer``."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response
        self.status = response.status
        self.headers: CIMultiDict[str] = _end_to_end(response.headers)
        # The peer accepts no successful answer without a signature.
        self.signed = True
        self.event_stream = response.content_type == "text/event-stream"
        self.framing: BodyFraming = body_framing(response.headers)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives."""
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except TRANSPORT_ERRORS as error:
            raise BackendError(f"the peer's answer ended early: {error!r}") from error

    async def read(self) -> bytes:
        """Returns the whole body."""
        body = b""
        async for chunk in self.chunks():
            body += chunk
            if len(body) > MAX_ANSWER_BYTES:
                self.close()
                raise BackendError(f"the peer's answer is larger than {MAX_ANSWER_BYTES} bytes")
        return body

    def close(self) -> None:
        """Closes the connection, which cancels the request at the peer if it is in progress."""
        self._response.close()


def _end_to_end(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    kept = headers.copy()
    for name in _HOP_HEADERS:
        kept.popall(name, None)
    return kept


class HttpPeerSender:
    """Sends requests to peers over HTTP/1.1, each on a connection of its own.

    The end of a connection then cancels just one request, and a connection that the peer has closed
    meanwhile is never used.
    """

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=True),
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_MS / 1000.0),
            )
        return self._session

    async def send(self, address: str, frame: bytes, left_ms: float) -> BackendAnswer:
        """Sends a relayed request; see ``PeerSender``."""
        try:
            async with asyncio.timeout(left_ms / 1000.0):
                response = await self._open().post(f"http://{address}{RELAY_PATH}", data=frame)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise NotSentError(f"peer {address}: {error!r}") from error
        except TRANSPORT_ERRORS as error:
            raise BackendError(f"peer {address}: {error!r}") from error
        kind = response.headers.get(RELAYED_HEADER)
        if kind == RelayedAnswer.SERVER.value:
            return _PeerAnswer(response)
        retry_after_ms = _retry_after_ms(response.headers)
        response.close()
        if kind == RelayedAnswer.NOT_RUN.value:
            raise RejectedError(
                f"peer {address}: status {response.status}", retry_after_ms=retry_after_ms
            )
        raise BackendError(f"peer {address}: status {response.status}")

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()


def _retry_after_ms(headers: CIMultiDictProxy[str]) -> int | None:
    try:
        return int(float(headers["Retry-After"]) * 1000.0)
    except (KeyError, ValueError, OverflowError):
        # The peer names no time; this host has one of its own.
        return None


class Relay:
    """Relays requests to peers that reach their servers.

    Args:
        reach: tells which services this host can't reach.
        peers: returns the last hellos of the live peers.
        address: returns the ``ip:port`` for relayed requests of a peer; None if it has none.
        failure_domain: that of this host.
        codec: encodes requests.
        sender: sends them.
        clock: time service.
        rng: spreads requests over the peers.
    """

    def __init__(
        self,
        reach: ReachDetector,
        peers: Callable[[], dict[HostId, Hello]],
        address: Callable[[HostId], str | None],
        failure_domain: FailureDomain,
        codec: RelayCodec,
        sender: PeerSender,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._reach = reach
        self._peers = peers
        self._address = address
        self._failure_domain = failure_domain
        self._codec = codec
        self._sender = sender
        self._clock = clock
        self._rng = rng

    def is_needed(self, service: ServiceName) -> bool:
        """Returns whether requests of a service are relayed without trying its servers."""
        return self._reach.is_cut_off(service) and bool(self._choose(service, set()))

    def can_help(self, service: ServiceName) -> bool:
        """Returns whether to relay a request that no server of its service has received."""
        if self._reach.has_healthy_server(service):
            return False
        return bool(self._choose(service, set()))

    def _choose(self, service: ServiceName, tried: set[HostId]) -> HostId | None:
        """Returns a peer that reaches a service, from this failure domain if there is one."""
        able = {
            host: hello
            for host, hello in self._peers().items()
            if host not in tried
            and service not in hello.unreached
            and self._address(host) is not None
        }
        near = [
            host for host, hello in able.items() if hello.failure_domain == self._failure_domain
        ]
        candidates = sorted(near or able)
        return self._rng.choice(candidates) if candidates else None

    async def forward(
        self, request: ClientRequest, route: Route, service: ServiceName, sink: StreamSink
    ) -> Reply | None:
        """Relays a request; streams go to the sink, other answers are returned.

        Raises:
            OverloadedError: the request has not run and will not.
            OutcomeUnknownError: the request may have run, and nothing was forwarded.
            RequestTimeoutError: the request timed out, and nothing was forwarded.
            StreamBrokenError: a part was forwarded and the rest can't be.
        """
        run = _RelayRun(self, request, route, service, sink)
        try:
            async with asyncio.timeout(max(0.0, run.left_ms()) / 1000.0):
                return await run.run()
        except TimeoutError as error:
            raise run.final_error("the route timeout has expired", timeout=True) from error


class _RelayRun:
    """One relayed request."""

    def __init__(
        self,
        relay: Relay,
        request: ClientRequest,
        route: Route,
        service: ServiceName,
        sink: StreamSink,
    ) -> None:
        self._relay = relay
        self._request = request
        self._route = route
        self._service = service
        self._sink = sink
        self._end_ms = end_ms(request, route)
        self._events = EventSplitter(request.resume_after)
        self._tried: set[HostId] = set()
        self._started = sink.started
        self._retry_after_ms: int | None = None

    def left_ms(self) -> float:
        """Returns the time until the answer is due."""
        return self._end_ms - self._relay._clock.now_ms()

    def final_error(self, message: str, *, timeout: bool = False) -> Exception:
        """Returns the error that ends the request."""
        if self._started:
            return StreamBrokenError(message)
        if not self._request.possible_runs:
            retry_after_ms = self._retry_after_ms
            return OverloadedError(
                message,
                retry_after_ms=RETRY_AFTER_MS if retry_after_ms is None else retry_after_ms,
            )
        return RequestTimeoutError(message) if timeout else OutcomeUnknownError(message)

    async def run(self) -> Reply | None:
        """Relays the request to one peer after the other; see ``Relay.forward``."""
        message = "no peer reaches the servers of the service"
        while len(self._tried) < MAX_PEERS:
            peer = self._relay._choose(self._service, self._tried)
            if peer is None:
                break
            self._tried.add(peer)
            try:
                return await self._run_at(peer)
            except (NotSentError, RejectedError) as error:
                message = error.message
                if error.retry_after_ms is not None:
                    self._retry_after_ms = error.retry_after_ms
                self._log_failure(peer, error)
            except BackendError as error:
                self._log_failure(peer, error)
                raise self.final_error(error.message) from error
        raise self.final_error(message)

    def _log_failure(self, peer: HostId, error: BackendError) -> None:
        log_warning(
            Event.RELAY_FAILED,
            request=self._request.request_id,
            peer=peer,
            passed_on=self._events.last_id,
            error=error.message,
        )

    async def _run_at(self, peer: HostId) -> Reply | None:
        relay = self._relay
        address = relay._address(peer)
        assert address is not None
        log_info(
            Event.REQUEST_RELAYED,
            request=self._request.request_id,
            peer=peer,
            service=self._service,
        )
        left_ms = self.left_ms()
        frame = relay._codec.encode(self._request, left_ms, peer, relay._clock.wall_ms())
        self._request.possible_runs += 1
        try:
            answer = await relay._sender.send(address, frame, left_ms)
        except (NotSentError, RejectedError):
            self._request.possible_runs -= 1
            raise
        try:
            return await self._pass_on(answer, peer)
        finally:
            answer.close()

    async def _pass_on(self, answer: BackendAnswer, peer: HostId) -> Reply | None:
        if answer.status != 200 or not answer.event_stream:
            body = await read_answer(answer)
            return Reply(answer.status, answer.headers, body, ServerId(peer))
        limit_ms = patience_ms(self._route)
        async for events in events_until_silent(answer, self._events, self._relay._clock, limit_ms):
            await self._forward_events(answer, events)
        await self._forward_events(answer, self._events.rest)
        if not self._started:
            await self._sink.start(answer.status, answer.headers)
        await self._sink.finish()
        return None

    async def _forward_events(self, answer: BackendAnswer, data: bytes) -> None:
        if not data:
            return
        if not self._started:
            self._started = True
            await self._sink.start(answer.status, answer.headers)
        await self._sink.write(data)
