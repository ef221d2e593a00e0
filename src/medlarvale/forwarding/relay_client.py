"""Relays requests to a peer while this host can't reach the servers of their service."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

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
from medlarvale.forwarding.messages import ClientRequest, RelayedFrom, Route, RouteKind
from medlarvale.forwarding.peer_sender import PeerSender
from medlarvale.forwarding.plain import Reply
from medlarvale.forwarding.reach import ReachDetector
from medlarvale.forwarding.relay_messages import RelayCodec
from medlarvale.forwarding.stream_run import StreamSink
from medlarvale.ids import (
    ConfigVersion,
    FailureDomain,
    HostId,
    ServerId,
    ServiceName,
    SoftwareVersion,
)
from medlarvale.logs import Event, log_info, log_warning
from medlarvale.scheduling.retry_budget import RetryBudget

# Number of peers to which a request is relayed if those before have not run it.
MAX_PEERS = 3
RETRY_AFTER_MS = 250


class Relay:
    """Relays requests to peers that reach their servers.

    Args:
        reach: tells which services this host can't reach.
        peers: returns the last hellos of the live peers.
        address: returns the ``ip:port`` for relayed requests of a peer; None if it has none.
        failure_domain: that of this host.
        codec: encodes requests.
        sender: sends them.
        version: returns the version of the configuration in force.
        budget: returns the retry budget of a service, which pays for the use of further peers.
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
        version: Callable[[], ConfigVersion],
        budget: Callable[[ServiceName], RetryBudget],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._reach = reach
        self._peers = peers
        self._address = address
        self._failure_domain = failure_domain
        self._codec = codec
        self._sender = sender
        self._version = version
        self._budget = budget
        self._clock = clock
        self._rng = rng

    def is_needed(self, service: ServiceName) -> bool:
        """Returns whether a request is relayed without trying its servers."""
        if not self._reach.is_cut_off(service):
            return False
        return self._choose(service, set()) is not None

    def can_help(self, service: ServiceName) -> bool:
        """Returns whether to relay a request that no server of its service has received."""
        if not self._reach.have_all_failed(service):
            return False
        return self._choose(service, set()) is not None

    def _choose(self, service: ServiceName, tried: set[HostId]) -> HostId | None:
        """Returns a peer that reaches a service, first one of this failure domain.

        A neighbour that has not run the request may be cut off like this host, so other failure
        domains follow. A peer with an older configuration refuses the request, but may have got the
        present one since its hello.
        """
        able = {
            host: hello
            for host, hello in self._peers().items()
            if host not in tried
            and service not in hello.unreached
            and self._address(host) is not None
        }

        def rank(host: HostId) -> tuple[bool, bool, float]:
            hello = able[host]
            is_near = hello.failure_domain == self._failure_domain
            is_behind = hello.config_version < self._version()
            return is_behind, is_near == bool(tried), self._rng.random()

        return min(able, key=rank, default=None)

    async def open(
        self,
        request: ClientRequest,
        route: Route,
        service: ServiceName,
        software: SoftwareVersion | None = None,
    ) -> BackendAnswer:
        """Relays a request until a peer accepts it; see ``PeerRelay``."""
        return await self._open(request, route, service, software, set())

    async def _open(
        self,
        request: ClientRequest,
        route: Route,
        service: ServiceName,
        software: SoftwareVersion | None,
        tried: set[HostId],
    ) -> BackendAnswer:
        """Relays a request to one peer after the other, except to those in ``tried``."""
        refusal = RejectedError("no peer reaches the servers of the service")
        while len(tried) < MAX_PEERS:
            peer = self._choose(service, tried)
            if peer is None or (tried and not self._budget(service).spend_retry()):
                break
            tried.add(peer)
            left_ms = end_ms(request, route) - self._clock.now_ms()
            routed = RelayedFrom(service, self._version(), left_ms, software)
            try:
                return await self._send(peer, request, routed)
            except (NotSentError, RejectedError) as error:
                retry_after_ms = error.retry_after_ms
                if retry_after_ms is None:
                    retry_after_ms = refusal.retry_after_ms
                refusal = RejectedError(error.message, retry_after_ms=retry_after_ms)
        raise refusal

    async def _send(
        self, peer: HostId, request: ClientRequest, routed: RelayedFrom
    ) -> BackendAnswer:
        log_info(
            Event.REQUEST_RELAYED, request=request.request_id, peer=peer, service=routed.service
        )
        address = self._address(peer)
        assert address is not None
        clock = self._clock
        frame = self._codec.encode(request, routed, clock.now_ms(), peer, clock.wall_ms())
        try:
            return await self._sender.send(address, frame, routed.left_ms, request)
        except BackendError as error:
            log_warning(
                Event.RELAY_FAILED, request=request.request_id, peer=peer, error=error.message
            )
            raise

    async def forward(
        self,
        request: ClientRequest,
        route: Route,
        service: ServiceName,
        sink: StreamSink,
        software: SoftwareVersion | None = None,
        answer: BackendAnswer | None = None,
    ) -> Reply | None:
        """Relays a request; streams go to the sink, other answers are returned.

        Args:
            request: the request.
            route: its route.
            service: the service that was chosen.
            sink: receives a stream.
            software: version that began the stream which the request continues, if it is known.
            answer: the answer with which a peer has accepted the request; None to relay it now.

        Raises:
            OverloadedError: the request has not run and will not.
            OutcomeUnknownError: the request may have run, and nothing was forwarded.
            RequestTimeoutError: the request timed out, and nothing was forwarded.
            StreamBrokenError: a part was forwarded and the rest can't be.
        """
        left_ms, tried = end_ms(request, route) - self._clock.now_ms(), set[HostId]()
        try:
            async with asyncio.timeout(max(0.0, left_ms) / 1000.0):
                while True:
                    try:
                        if answer is None:
                            answer = await self._open(request, route, service, software, tried)
                        return await self._pass_on(answer, request, route, sink)
                    except BackendError as error:
                        started = sink.started
                        if started or not self._may_repeat(error, route, service, tried):
                            raise
                    finally:
                        if answer is not None:
                            answer.close()
                        answer = None
        except TimeoutError as error:
            late = RequestTimeoutError("the route timeout has expired")
            raise _final_error(request, sink, late) from error
        except BackendError as error:
            lost = OutcomeUnknownError(error.message)
            raise _final_error(request, sink, lost, error.retry_after_ms) from error

    def _may_repeat(
        self, error: BackendError, route: Route, service: ServiceName, tried: set[HostId]
    ) -> bool:
        """Returns whether another peer gets a request whose answer a peer has lost."""
        repeatable = route.resumable if route.kind is RouteKind.STREAM else False
        repeatable = repeatable or route.kind is RouteKind.SAFE
        if not repeatable or isinstance(error, RejectedError):
            return False
        return len(tried) < MAX_PEERS and self._choose(service, tried) is not None

    async def _pass_on(
        self, answer: BackendAnswer, request: ClientRequest, route: Route, sink: StreamSink
    ) -> Reply | None:
        if answer.status != 200 or not answer.event_stream:
            body = await read_answer(answer)
            if sink.started:
                raise BackendError(f"status {answer.status} for the rest of a stream")
            return Reply(answer.status, answer.headers, body, ServerId("peer"))
        events, limit_ms = EventSplitter(request.resume_after), patience_ms(route)
        async for data in events_until_silent(answer, events, self._clock, limit_ms):
            await _write(answer, sink, data)
        await _write(answer, sink, events.rest)
        if not sink.started:
            await sink.start(answer.status, answer.headers)
        await sink.finish()
        return None


async def _write(answer: BackendAnswer, sink: StreamSink, data: bytes) -> None:
    if not data:
        return
    if not sink.started:
        await sink.start(answer.status, answer.headers)
    await sink.write(data)


def _final_error(
    request: ClientRequest,
    sink: StreamSink,
    unknown: Exception,
    retry_after_ms: int | None = None,
) -> Exception:
    """Returns the error that ends a request.

    Args:
        request: the request.
        sink: tells whether a part of the answer has been forwarded.
        unknown: the error if the request may have run.
        retry_after_ms: time after which a peer may run the request, if it has said so.
    """
    if sink.started:
        return StreamBrokenError(str(unknown))
    if request.possible_runs:
        return unknown
    delay_ms = RETRY_AFTER_MS if retry_after_ms is None else retry_after_ms
    return OverloadedError(str(unknown), retry_after_ms=delay_ms)
