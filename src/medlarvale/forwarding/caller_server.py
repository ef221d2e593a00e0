"""Callers' port and readiness port of a forwarding host."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from aiohttp import web
from multidict import CIMultiDict

from medlarvale.clock import Clock
from medlarvale.errors import MedlarvaleError
from medlarvale.forwarding.errors import (
    BodyTooLargeError,
    ForwardingError,
    NoRouteError,
    NotReadyError,
    OverloadedError,
)
from medlarvale.forwarding.follower import StateFollower
from medlarvale.forwarding.messages import ClientRequest, Route, RouteKind
from medlarvale.forwarding.plain import PlainForwarder, Reply
from medlarvale.forwarding.routes import choose_service
from medlarvale.forwarding.streams import StreamForwarder
from medlarvale.logs import Event, log_info, log_warning

# Largest body that is taken in before a configuration limits it.
MAX_BODY_BYTES = 8 * 1024 * 1024
NOT_READY_RETRY_MS = 500
STOPPING_RETRY_MS = 100
# A long stream takes about 5 s, the rest of the grace period.
LAST_STREAM_MS = 2_800.0
# Callers may use a connection after four fifths of the configured idle time; it stays open longer.
KEPT_CONNECTION_S = 75.0

RequestDecoder = Callable[[web.BaseRequest, bytes, float], ClientRequest]


class _Sink:
    """A stream to the caller's connection; see ``StreamSink``."""

    def __init__(self, request: web.BaseRequest, closing: Callable[[], bool]) -> None:
        self._request = request
        self._closing = closing
        self.response: web.StreamResponse | None = None

    async def start(self, status: int, headers: CIMultiDict[str]) -> None:
        """Sends the head of a stream."""
        self.response = web.StreamResponse(status=status, headers=headers)
        self.response.enable_chunked_encoding()
        if self._closing():
            self.response.force_close()
        await self.response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Sends a part of the body."""
        assert self.response is not None
        await self.response.write(data)

    async def finish(self) -> None:
        """Ends the body as complete."""
        assert self.response is not None
        await self.response.write_eof()


class CallerServer:
    """Takes requests from callers and gives each its answer.

    Args:
        follower: the configuration in force.
        plain: forwards plain calls.
        streams: forwards model requests.
        decode: reads a request off the wire.
        clock: time service.
        rng: draws among the services of a route.
        ready: tells whether this host takes new connections.
    """

    def __init__(
        self,
        follower: StateFollower,
        plain: PlainForwarder,
        streams: StreamForwarder,
        decode: RequestDecoder,
        clock: Clock,
        rng: random.Random,
        ready: Callable[[], bool],
    ) -> None:
        self._ready = ready
        self._follower = follower
        self._plain = plain
        self._streams = streams
        self._decode = decode
        self._clock = clock
        self._rng = rng
        self._finished_callbacks: list[Callable[[str, str, float], None]] = []
        self._busy: set[web.RequestHandler] = set()
        self._server: web.Server | None = None
        self._closing_since_ms: float | None = None

    def on_finished(self, callback: Callable[[str, str, float], None]) -> None:
        """Calls back with the route's kind, the outcome and the time in ms of each request."""
        self._finished_callbacks.append(callback)

    def build(self) -> web.Server:
        """Returns the server of the callers' port."""

        def new_request(message, payload, protocol, writer, task):  # type: ignore[no-untyped-def]
            return web.BaseRequest(
                message,
                payload,
                protocol,
                writer,
                task,
                asyncio.get_running_loop(),
                client_max_size=MAX_BODY_BYTES,
            )

        self._server = web.Server(
            self._handle,
            request_factory=new_request,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEPT_CONNECTION_S,
        )
        return self._server

    @property
    def in_flight(self) -> int:
        """Number of requests that wait for the end of their answer."""
        return len(self._busy)

    @property
    def closing(self) -> bool:
        """Whether connections are closed after their next answer."""
        return self._closing_since_ms is not None

    def _sends_away(self) -> bool:
        """Tells whether callers should open their next connection, at another host."""
        return self.closing or not self._ready()

    def begin_closing(self) -> None:
        """Closes idle connections, and each other one after its next answer."""
        self._closing_since_ms = self._clock.now_ms()
        connections = self._server.connections if self._server is not None else []
        for connection in connections:
            if connection in self._busy:
                connection.close()
            elif connection.transport is not None:
                # close() of an idle connection would leave it open, with nobody reading it.
                connection.transport.close()

    def abort(self) -> None:
        """Cuts the requests that are still in flight; their tasks end and clean up."""
        for connection in list(self._busy):
            if connection.transport is not None:
                connection.transport.abort()

    def _refuses_streams(self) -> bool:
        """Tells whether a stream that begins now would be cut off by the stop."""
        since_ms = self._closing_since_ms
        return since_ms is not None and self._clock.now_ms() - since_ms > LAST_STREAM_MS

    async def _handle(self, incoming: web.BaseRequest) -> web.StreamResponse:
        received_ms = self._clock.now_ms()
        self._busy.add(incoming.protocol)
        try:
            return await self._answer(incoming, received_ms)
        finally:
            self._busy.discard(incoming.protocol)

    async def _answer(self, incoming: web.BaseRequest, received_ms: float) -> web.StreamResponse:
        if incoming.headers.get("Expect", "").lower() == "100-continue":
            await incoming.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        try:
            body = await incoming.read()
        except web.HTTPRequestEntityTooLarge:
            return self._error_response(BodyTooLargeError("the body is too large"))
        request = self._decode(incoming, body, received_ms)
        sink = _Sink(incoming, self._sends_away)
        try:
            reply = await self._forward(request, sink)
        except ForwardingError as error:
            self._log_failure(request, error)
            if sink.response is None:
                return self._error_response(error)
            # Closing without the last chunk tells the caller that the stream is not complete.
            if incoming.transport is not None:
                incoming.transport.abort()
            return sink.response
        except asyncio.CancelledError:
            self._log_caller_gone(request)
            raise
        except ConnectionError:
            # The connection of the caller was reset while an event was written to it.
            self._log_caller_gone(request)
            return sink.response or web.Response()
        if reply is None:
            assert sink.response is not None
            return sink.response
        return self._response(reply.status, reply.headers, reply.body)

    async def _forward(self, request: ClientRequest, sink: _Sink) -> Reply | None:
        index = self._follower.index
        if index is None:
            raise NotReadyError("no configuration yet", retry_after_ms=NOT_READY_RETRY_MS)
        route = index.find(request.host, request.path)
        if route is None:
            raise NoRouteError(f"no route for {request.host}{request.path}")
        if len(request.body) > index.table.limits.max_body_bytes:
            raise BodyTooLargeError("the body is larger than the configuration allows")
        service = choose_service(route, self._rng)
        if route.kind is RouteKind.STREAM and service in index.table.services:
            if self._refuses_streams():
                raise OverloadedError("this host is stopping", retry_after_ms=STOPPING_RETRY_MS)
            reply = await self._streams.forward(request, route, service, sink)
        else:
            reply = await self._plain.forward(request, route, service)
        log_info(
            Event.REQUEST_FORWARDED,
            request=request.request_id,
            route=route.name,
            config=index.table.version,
            server=reply.server if reply is not None else "",
            status=reply.status if reply is not None else 200,
            took_ms=self._age_ms(request),
        )
        self._note_finished(request, str(reply.status if reply is not None else 200))
        return reply

    def _age_ms(self, request: ClientRequest) -> int:
        return int(self._clock.now_ms() - request.received_ms)

    def _route_of(self, request: ClientRequest) -> Route | None:
        index = self._follower.index
        return index.find(request.host, request.path) if index is not None else None

    def _note_finished(self, request: ClientRequest, outcome: str) -> None:
        route = self._route_of(request)
        kind = route.kind.value if route is not None else "none"
        for callback in self._finished_callbacks:
            callback(kind, outcome, self._clock.now_ms() - request.received_ms)

    def _log_caller_gone(self, request: ClientRequest) -> None:
        log_info(Event.CALLER_GONE, request=request.request_id, after_ms=self._age_ms(request))
        self._note_finished(request, "caller_gone")

    def _log_failure(self, request: ClientRequest, error: MedlarvaleError) -> None:
        self._note_finished(request, error.code)
        route = self._route_of(request)
        log_warning(
            Event.REQUEST_FAILED,
            request=request.request_id,
            route=route.name if route is not None else None,
            config=self._follower.version,
            route_timeout_ms=int(route.timeout_ms) if route is not None else None,
            caller_deadline_ms=int(request.deadline_ms),
            code=error.code,
            outcome=error.outcome.value,
            reason=error.message,
            after_ms=self._age_ms(request),
        )

    def _error_response(self, error: MedlarvaleError) -> web.Response:
        headers: CIMultiDict[str] = CIMultiDict()
        if error.retry_after_ms is not None:
            headers["Retry-After"] = f"{error.retry_after_ms / 1000:g}"
        return self._response(error.http_status, headers, error.code.encode())

    def _response(self, status: int, headers: CIMultiDict[str], body: bytes) -> web.Response:
        response = web.Response(status=status, headers=headers, body=body)
        if "Content-Type" not in headers:
            # aiohttp would add a type that the backend server did not send.
            response.headers.popall("Content-Type", None)
        if self._sends_away():
            response.force_close()
        return response


def build_readiness(ready: Callable[[], bool]) -> web.Server:
    """Returns the server that tells the platform whether this host takes new connections."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(status=200 if ready() else 503)

    return web.Server(handle, access_log=None)
