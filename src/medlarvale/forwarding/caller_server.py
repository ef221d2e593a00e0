"""HTTP servers of a forwarding host for callers and for readiness checks."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
import weakref
from collections.abc import Awaitable, Callable, Iterator, Mapping
from typing import TypeVar

from aiohttp import HttpVersion11, web
from multidict import CIMultiDict

from medlarvale.access.confirmation import ConfigConfirmation
from medlarvale.access.gate import AccessGate
from medlarvale.clock import Clock
from medlarvale.errors import MedlarvaleError
from medlarvale.forwarding.errors import (
    BodyTooLargeError,
    CallerGoneError,
    ForwardingError,
    HandOverError,
    HostStoppedError,
    NoRouteError,
    NotReadyError,
    OverloadedError,
    RequestIdMissingError,
    StreamBrokenError,
    UnexpectedError,
)
from medlarvale.forwarding.follower import StateFollower
from medlarvale.forwarding.messages import (
    MAX_REQUEST_HEADER_BYTES,
    ClientRequest,
    RequestLimits,
    Route,
    RouteKind,
)
from medlarvale.forwarding.plain import PlainForwarder, Reply
from medlarvale.forwarding.relay_client import Relay
from medlarvale.forwarding.relay_messages import RELAYED_HEADER, RelayedAnswer, answer_of_error
from medlarvale.forwarding.routes import choose_service, choose_stream_service
from medlarvale.forwarding.stop_admission import STOPPING_RETRY_MS, StopAdmission
from medlarvale.forwarding.streams import StreamForwarder
from medlarvale.ids import ServiceName
from medlarvale.logs import Event, log_info, log_warning
from medlarvale.quotas.charging import RequestCharges
from medlarvale.uploads.body_budget import BodyBudget, upload_limit_bytes
from medlarvale.uploads.bounds import Uploads
from medlarvale.uploads.connections import CallerConnection
from medlarvale.uploads.reader import DEFAULT_LIMITS, read_body
from medlarvale.uploads.servers import CallerConnectionServer

NOT_READY_RETRY_MS = 500
# Callers may still use a connection after four fifths of the configured idle time, so connections
# stay open for longer.
KEEPALIVE_S = 75.0

RequestDecoder = Callable[[web.BaseRequest, bytes, float], ClientRequest]
_T = TypeVar("_T")


@contextlib.contextmanager
def _caller_errors() -> Iterator[None]:
    """Turns errors of the caller's connection into CallerGoneError."""
    try:
        yield
    except ConnectionError as error:
        raise CallerGoneError(repr(error)) from error


class _CallerSink:
    """Sends a stream to the caller; see ``StreamSink``."""

    def __init__(
        self, request: web.BaseRequest, closing: Callable[[], bool], marks: Mapping[str, str]
    ) -> None:
        self._request = request
        self._closing = closing
        self._marks = marks
        self.response: web.StreamResponse | None = None

    async def start(self, status: int, headers: CIMultiDict[str]) -> None:
        """Sends the head of a stream."""
        self.response = web.StreamResponse(status=status, headers=headers)
        self.response.headers.update(self._marks)
        if self._request.version >= HttpVersion11:
            self.response.enable_chunked_encoding()
        else:
            # Only the end of the connection ends this body, so anything but finish() resets it.
            self._set_reset_on_close(True)
        if self._closing():
            self.response.force_close()
        with _caller_errors():
            await self.response.prepare(self._request)

    @property
    def started(self) -> bool:
        """Whether the head has been sent."""
        return self.response is not None

    async def write(self, data: bytes) -> None:
        """Sends a part of the body."""
        assert self.response is not None
        with _caller_errors():
            await self.response.write(data)

    async def finish(self) -> None:
        """Ends the body and marks it as complete."""
        assert self.response is not None
        with _caller_errors():
            await self.response.write_eof()
        if self._request.version < HttpVersion11:
            self._set_reset_on_close(False)

    def _set_reset_on_close(self, reset: bool) -> None:
        """Sets whether the connection ends with a reset, also if the process is killed."""
        if self._request.transport is not None:
            connection = self._request.transport.get_extra_info("socket")
            linger = struct.pack("ii", int(reset), 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


class CallerServer:
    """Receives requests from callers and sends the answers.

    Args:
        follower: the active configuration.
        plain: forwards plain calls.
        streams: forwards model requests.
        decode: decodes an HTTP request.
        clock: time service.
        rng: selects among the services of a route.
        ready: returns whether this host accepts new connections.
        relay: relays requests that this host can't serve itself; None if the requests come from
            peers, which are told whose each answer is.
        gate: checks API keys; None for one that needs no confirmation of the configuration.
        uploads: bounds what callers hold of this host; None for the default bounds.
        quotas: quotas of workspaces; None if the requests come from peers, which have charged them.
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
        relay: Relay | None = None,
        *,
        for_peers: bool = False,
        gate: AccessGate | None = None,
        uploads: Uploads | None = None,
        quotas: RequestCharges | None = None,
    ) -> None:
        self._gate = gate or AccessGate(ConfigConfirmation(), clock)
        self._quotas = quotas
        self._ready = ready
        self._relay = relay
        self._for_peers = for_peers
        self._uploads = uploads
        self._follower = follower
        self._plain = plain
        self._streams = streams
        self._decode = decode
        self._clock = clock
        self._rng = rng
        self._finished_callbacks: list[Callable[[str, str, float], None]] = []
        self._busy: set[web.RequestHandler] = set()
        # Requests by connection until their handler begins. A connection that is lost before that
        # drops its request.
        self._arrived: weakref.WeakValueDictionary[web.RequestHandler, web.BaseRequest] = (
            weakref.WeakValueDictionary()
        )
        self._server: web.Server | None = None
        self._stop_admission = StopAdmission(clock, streams)
        self._closing = False
        self._refuses_all = False
        # Limits of the steps that the end of the grace period cancels.
        self._limits: set[asyncio.Timeout] = set()

    def on_finished(self, callback: Callable[[str, str, float], None]) -> None:
        """Registers a callback for the route kind, outcome and duration in ms of each request."""
        self._finished_callbacks.append(callback)

    def build(self) -> web.Server:
        """Returns the HTTP server for callers."""

        def new_request(message, payload, protocol, writer, task):  # type: ignore[no-untyped-def]
            request = web.BaseRequest(
                message,
                payload,
                protocol,
                writer,
                task,
                asyncio.get_running_loop(),
            )
            self._arrived[protocol] = request
            return request

        uploads = self._uploads or Uploads(BodyBudget(upload_limit_bytes(None), self._clock.now_ms))
        self._server = CallerConnectionServer(
            self._handle,
            uploads,
            self._limits_of_bodies,
            request_factory=new_request,
            handler_cancellation=True,
            access_log=None,
            # Servers get bodies as they are, under the header that names their encoding.
            auto_decompress=False,
            keepalive_timeout=KEEPALIVE_S,
            max_line_size=MAX_REQUEST_HEADER_BYTES,
            max_field_size=MAX_REQUEST_HEADER_BYTES,
        )
        return self._server

    @property
    def in_flight(self) -> int:
        """Number of requests whose answer is not complete."""
        return len(self._busy)

    @property
    def idle(self) -> bool:
        """Whether no request is in flight and all answers have been sent."""
        # aiohttp ends a handler before it has written the whole answer to the socket.
        return not self._busy and not any(
            connection.transport is not None and connection.transport.get_write_buffer_size()
            for connection in self._connections()
        )

    @property
    def closing(self) -> bool:
        """Whether connections are closed after their next answer."""
        return self._closing

    def _closes_connections(self) -> bool:
        """Returns whether to close connections, so that callers reconnect to another host."""
        return self.closing or not self._ready()

    def begin_closing(self, informed_ms: float, end_ms: float) -> None:
        """Closes idle connections at once and all others after their next answer.

        Requests that may not end in time are refused; see ``StopAdmission.begin_stop``.
        """
        self._closing = True
        self._stop_admission.begin_stop(informed_ms, end_ms)
        for connection in self._connections():
            if self._has_request(connection):
                # close() would drop the rest of a body; the answer closes such a connection.
                if not (isinstance(connection, CallerConnection) and connection.receives_body):
                    connection.close()
            elif connection.transport is not None:
                # connection.close() would leave an idle connection open without a reader.
                connection.transport.close()

    def _connections(self) -> list[web.RequestHandler]:
        return self._server.connections if self._server is not None else []

    def _has_request(self, connection: web.RequestHandler) -> bool:
        """Returns whether the head of a request has arrived that is not answered yet."""
        parsed = connection._messages  # not handed to new_request() yet
        return connection in self._busy or connection in self._arrived or bool(parsed)

    def refuse_new(self) -> None:
        """Refuses all requests from now on; those in flight go on."""
        self._refuses_all = True

    def end_requests(self) -> None:
        """Refuses requests that have not been sent and ends all others with an error.

        A stream that has begun ends without the end of its body. Tasks clean up, and the number of
        requests in flight goes down.
        """
        self.refuse_new()
        now_s = asyncio.get_running_loop().time()
        # The limits can't be changed again once they have expired.
        limits, self._limits = self._limits, set()
        for limit in limits:
            limit.reschedule(now_s)

    def abort(self) -> None:
        """Aborts the connections of requests in flight; their tasks are cancelled and clean up."""
        for connection in list(self._busy):
            if connection.transport is not None:
                connection.transport.abort()

    async def _handle(self, incoming: web.BaseRequest) -> web.StreamResponse:
        received_ms = self._clock.now_ms()
        self._arrived.pop(incoming.protocol, None)
        self._busy.add(incoming.protocol)
        try:
            return await self._answer(incoming, received_ms)
        finally:
            self._busy.discard(incoming.protocol)

    async def _answer(self, incoming: web.BaseRequest, received_ms: float) -> web.StreamResponse:
        try:
            body = await self._run_until_stop(self._read_body(incoming))
        except HostStoppedError:
            return self._refuse_upload(_refusal_of_stopped_host())
        except ForwardingError as error:
            log_warning(Event.REQUEST_REFUSED, code=error.code, reason=error.message)
            return self._refuse_upload(error)
        try:
            request = self._decode(incoming, body, received_ms)
            # The frame of a relayed request is a second copy of its body.
            del body
        except ForwardingError as error:
            log_warning(Event.REQUEST_REFUSED, code=error.code, reason=error.message)
            return self._error_response(error)
        sink = _CallerSink(incoming, self._closes_connections, self._marks(RelayedAnswer.SERVER))
        try:
            reply = await self._forward_or_fail(request, sink)
        except CallerGoneError:
            self._log_caller_gone(request)
            return sink.response or web.Response()
        except ForwardingError as error:
            self._log_failure(request, error)
            if sink.response is None:
                return self._error_response(error)
            # Aborting before the last chunk shows the caller that the stream is incomplete.
            if incoming.transport is not None:
                incoming.transport.abort()
            return sink.response
        except asyncio.CancelledError:
            self._log_caller_gone(request)
            raise
        if reply is None:
            assert sink.response is not None
            return sink.response
        headers = reply.headers.copy()
        headers.update(self._marks(RelayedAnswer.SERVER))
        return self._response(reply.status, headers, reply.body)

    async def _read_body(self, incoming: web.BaseRequest) -> bytes:
        connection = incoming.protocol
        assert isinstance(connection, CallerConnection)
        body = await read_body(incoming, connection.upload, self._limits_of_bodies())
        connection.note_whole()
        return body

    def _limits_of_bodies(self) -> RequestLimits:
        index = self._follower.index
        # Relayed frames also carry headers, and peers may have a newer configuration.
        return DEFAULT_LIMITS if index is None or self._for_peers else index.table.limits

    def _refuse_upload(self, error: MedlarvaleError) -> web.Response:
        """Returns the answer to a request whose body has not been read to its end."""
        response = self._error_response(error)
        # The rest of the body must not be taken for a further request.
        response.force_close()
        return response

    def _marks(self, answer: RelayedAnswer) -> dict[str, str]:
        """Returns the headers that tell a peer whose an answer is."""
        return {RELAYED_HEADER: answer.value} if self._for_peers else {}

    async def _forward_or_fail(self, request: ClientRequest, sink: _CallerSink) -> Reply | None:
        """Forwards a request; unexpected errors end only this one, and not without an answer.

        Raises:
            ForwardingError: the request failed.
            asyncio.CancelledError: the caller has closed its connection.
        """
        try:
            return await self._forward(request, sink)
        except ForwardingError:
            raise
        except asyncio.CancelledError as error:
            handler = asyncio.current_task()
            if handler is None or handler.cancelling():
                raise
            raise UnexpectedError("what the request was waiting for was cancelled") from error
        except Exception as error:
            raise UnexpectedError(repr(error)) from error

    async def _run_until_stop(self, step: Awaitable[_T]) -> _T:
        """Returns the result of a step of a request.

        Raises:
            HostStoppedError: if the step was cancelled at the end of the grace period.
        """
        limit = asyncio.timeout(None)
        self._limits.add(limit)
        try:
            async with limit:
                return await step
        except TimeoutError as error:
            if not limit.expired():
                raise
            raise HostStoppedError("this host has stopped") from error
        finally:
            self._limits.discard(limit)

    async def _forward(self, request: ClientRequest, sink: _CallerSink) -> Reply | None:
        if self._refuses_all:
            raise _refusal_of_stopped_host()
        try:
            return await self._run_until_stop(self._find_and_forward(request, sink))
        except HostStoppedError as error:
            if sink.response is not None:
                raise StreamBrokenError("this host has stopped") from error
            if not request.possible_runs:
                raise _refusal_of_stopped_host() from error
            raise

    async def _find_and_forward(self, request: ClientRequest, sink: _CallerSink) -> Reply | None:
        index = self._follower.index
        if index is None:
            raise NotReadyError(
                "no configuration has been received yet", retry_after_ms=NOT_READY_RETRY_MS
            )
        route = index.find(request.host, request.path)
        if route is None:
            self._gate.check_missing_route(index.table)
            raise NoRouteError(f"no route for {request.host}{request.path}")
        if not request.request_id:
            raise RequestIdMissingError("the request has no id")
        self._gate.admit(request, route, index.table)
        if len(request.body) > index.table.limits.max_body_bytes:
            raise BodyTooLargeError("the body is larger than the configuration allows")
        service = self._choose_service(request, route)
        self._stop_admission.check(request, route, service)
        charged = self._quotas.charged(request, route) if self._quotas else contextlib.nullcontext()
        async with charged:
            reply = await self._serve(request, route, service, sink)
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

    def _choose_service(self, request: ClientRequest, route: Route) -> ServiceName:
        """Returns the service of a request: that which a peer has chosen, if the route has it.

        A stream is taken up at the service that began it, if the weights of the route are the same
        and the caller names the attempt. Otherwise its service is that of the id of the request.

        Raises:
            NotReadyError: the peer has chosen it by a configuration that is not known here yet.
        """
        relayed = request.relayed
        if relayed is None:
            return self._draw_service(request, route)
        if relayed.config_version > self._follower.version:
            raise NotReadyError(
                f"configuration {relayed.config_version} has not been received yet",
                retry_after_ms=NOT_READY_RETRY_MS,
            )
        if any(target.service == relayed.service for target in route.targets):
            return relayed.service
        return self._draw_service(request, route)

    def _draw_service(self, request: ClientRequest, route: Route) -> ServiceName:
        if route.kind is not RouteKind.STREAM:
            return choose_service(route, self._rng)
        return choose_stream_service(route, request.began_as or request.request_id)

    async def _serve(
        self, request: ClientRequest, route: Route, service: ServiceName, sink: _CallerSink
    ) -> Reply | None:
        """Serves a request here, or through a peer if no server can be reached from here."""
        relay, rest, software, answer = self._relay, request, None, None
        if relay is None:
            return await self._serve_here(request, route, service, sink)
        if not relay.is_needed(service):
            try:
                return await self._serve_here(request, route, service, sink)
            except OverloadedError:
                if not relay.can_help(service):
                    raise
            except HandOverError as error:
                rest, software, answer = error.rest, error.software, error.answer
        if software is None and route.kind is RouteKind.STREAM and not rest.is_continuation:
            # A second peer that runs it, because the answer of the first was lost, uses it as well.
            software = self._streams.choose_version(rest, route, service)
        return await relay.forward(rest, route, service, sink, software, answer)

    async def _serve_here(
        self, request: ClientRequest, route: Route, service: ServiceName, sink: _CallerSink
    ) -> Reply | None:
        index = self._follower.index
        services = index.table.services if index is not None else {}
        if route.kind is not RouteKind.STREAM or service not in services:
            reply = await self._plain.forward(request, route, service)
            self._stop_admission.note_plain_call(route, self._age_ms(request))
            return reply
        return await self._streams.forward(request, route, service, sink)

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
        headers: CIMultiDict[str] = CIMultiDict(self._marks(answer_of_error(error.outcome)))
        if error.retry_after_ms is not None:
            headers["Retry-After"] = f"{error.retry_after_ms / 1000:g}"
        return self._response(error.http_status, headers, error.code.encode())

    def _response(self, status: int, headers: CIMultiDict[str], body: bytes) -> web.Response:
        response = web.Response(status=status, headers=headers, body=body)
        if "Content-Type" not in headers:
            # Remove the type that aiohttp adds by default if the backend server sent none.
            response.headers.popall("Content-Type", None)
        if self._closes_connections():
            response.force_close()
        return response


def _refusal_of_stopped_host() -> OverloadedError:
    return OverloadedError("this host has stopped", retry_after_ms=STOPPING_RETRY_MS)


def build_readiness_server(ready: Callable[[], bool], uploads: Uploads) -> web.Server:
    """Returns the HTTP server for the readiness checks of the platform.

    Args:
        ready: returns whether this host accepts new connections.
        uploads: bounds what callers hold of this host.
    """

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(status=200 if ready() else 503)

    return CallerConnectionServer(handle, uploads, access_log=None)
