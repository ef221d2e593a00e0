"""Calls to backend servers over HTTP/1.1."""

from __future__ import annotations

import asyncio
import functools
import socket
from collections.abc import AsyncIterator, Mapping
from typing import Any

import aiohttp
import msgspec
from aiohttp.client_proto import ResponseHandler
from multidict import CIMultiDict
from yarl import URL

from medlarvale.forwarding.errors import BackendError, NotSentError, RejectedError
from medlarvale.forwarding.messages import (
    ClientRequest,
    Dispatch,
    EngineReport,
    EngineStage,
    HandleId,
    HoldId,
    PrefillResult,
    PromptPartId,
    Server,
)
from medlarvale.platform import headers as names

# Ten round trips between failure domains; a machine without power answers nothing.
CONNECT_TIMEOUT_MS = 400
# Unacknowledged data for this long means that the machine or the path is gone.
UNACKNOWLEDGED_LIMIT_MS = 800
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Short calls: handles, orders, reports.
CALL_TIMEOUT_MS = 600
# Engines answer a reservation without work; requests wait behind one that takes longer.
HOLD_TIMEOUT_MS = 200
# Idle connections are closed by this side first: a request on a connection that its server closes
# at that moment is lost.
IDLE_CONNECTION_S = 4.0

FAILURES = (TimeoutError, aiohttp.ClientError, OSError)


class _HoldFields(msgspec.Struct, rename="pascal"):
    hold: str


class _PrefillFields(msgspec.Struct, rename="pascal"):
    kv_handle: str


class _KeptPart(msgspec.Struct, array_like=True):
    # Always empty.
    reserved: str
    part: str
    tokens: int


class _KeptFields(msgspec.Struct):
    held: list[_KeptPart]


class _ReportFields(msgspec.Struct, rename="pascal"):
    stage: EngineStage
    busy: bool
    # Number of orders accepted; elsewhere the field counts heartbeats.
    orders_accepted: int = msgspec.field(name="Sequence")
    queued: int
    running: int
    used_tokens: int = msgspec.field(name="KvUsed")
    total_tokens: int = msgspec.field(name="KvTotal")


class BackendConnection(ResponseHandler):
    """Connection that remembers whether it was reset.

    aiohttp takes a reset for the end of a body that has no length.
    """

    was_reset = False

    def connection_lost(self, exc: BaseException | None) -> None:
        """Records the reason before the body learns of the end."""
        self.was_reset = exc is not None
        super().connection_lost(exc)


class RelayedResponse(aiohttp.ClientResponse):
    """Refuses the answer to an earlier request that arrives late on a kept connection."""

    connection_used: BackendConnection

    async def start(self, connection: Any) -> aiohttp.ClientResponse:
        """Reads the head of the answer.

        Raises:
            aiohttp.ClientPayloadError: if it bears the id of another request.
        """
        protocol = self.connection_used = connection.protocol
        await super().start(connection)
        expected = self.request_info.headers.get(names.REQUEST_ID)
        received = self.headers.get(names.REQUEST_ID)
        if expected is not None and received is not None and received != expected:
            # The answer to this request may still follow, so nothing may use the connection again.
            protocol.close()
            raise aiohttp.ClientPayloadError("the answer belongs to another request")
        return self


def _socket_factory(info: Any) -> socket.socket:
    family, kind, protocol, _, _ = info
    made = socket.socket(family, kind, protocol)
    made.setblocking(False)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    return made


def new_session() -> aiohttp.ClientSession:
    """Returns a session that sends only the headers given to it and never repeats a request."""
    connector = aiohttp.TCPConnector(
        limit=0,
        keepalive_timeout=IDLE_CONNECTION_S,
        socket_factory=_socket_factory,
        use_dns_cache=False,
    )
    loop = asyncio.get_running_loop()
    connector._factory = functools.partial(BackendConnection, loop=loop)  # type: ignore[assignment]
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        response_class=RelayedResponse,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_MS / 1000.0),
    )
    # aiohttp repeats GET requests by itself when a kept connection breaks.
    session._retry_connection = False
    return session


class HttpAnswer:
    """Answer of a backend server; see ``BackendAnswer``."""

    def __init__(self, response: RelayedResponse) -> None:
        self._response = response
        self.status = response.status
        self.headers: CIMultiDict[str] = names.forwardable(response.headers, frozenset())
        self.signed = names.SIGNATURE in response.headers
        self.event_stream = response.content_type == "text/event-stream"

    async def read(self) -> bytes:
        """Returns the whole body."""
        try:
            body = await self._response.read()
        except FAILURES as error:
            raise BackendError(f"the answer ended early: {error!r}") from error
        self._check_end()
        return body

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives."""
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except FAILURES as error:
            raise BackendError(f"the answer ended early: {error!r}") from error
        self._check_end()

    def _check_end(self) -> None:
        """Raises BackendError if a body without a length ended with a reset."""
        headers = self._response.headers
        framed = "Content-Length" in headers or "Transfer-Encoding" in headers
        if not framed and self._response.connection_used.was_reset:
            raise BackendError("the answer ended early: the connection was reset")

    def close(self) -> None:
        """Drops the connection unless the body was read to its end."""
        self._response.close()


class HttpBackends:
    """Calls to backend servers; see ``Backends``."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def send(self, server: Server, request: ClientRequest, dispatch: Dispatch) -> HttpAnswer:
        """Sends a request and waits for the head of the answer."""
        headers = names.encode_request(request, server.server, dispatch)
        response = await self._request(server, request, headers, dispatch.left_ms)
        _raise_if_rejected(response)
        return HttpAnswer(response)

    async def prefill(
        self, server: Server, request: ClientRequest, left_ms: float
    ) -> PrefillResult:
        """Has the prompt of a request read."""
        headers = names.encode_request(request, server.server, Dispatch(left_ms))
        headers[names.STAGE] = EngineStage.PREFILL.value
        response = await self._request(server, request, headers, left_ms)
        _raise_if_rejected(response)
        try:
            body = await response.read()
            if response.status != 200:
                raise BackendError(f"the prefill ended with status {response.status}")
            return PrefillResult(
                server, HandleId(msgspec.json.decode(body, type=_PrefillFields).kv_handle)
            )
        except (*FAILURES, msgspec.MsgspecError) as error:
            raise BackendError(f"the prefill failed: {error!r}") from error
        finally:
            response.close()

    async def _request(
        self,
        server: Server,
        request: ClientRequest,
        headers: CIMultiDict[str],
        left_ms: float,
    ) -> RelayedResponse:
        url = URL(f"http://{server.address}{request.path}", encoded=True)
        try:
            async with asyncio.timeout(left_ms / 1000.0):
                response = await self._session.request(
                    request.method,
                    url,
                    headers=headers,
                    data=request.body or None,
                    allow_redirects=False,
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise NotSentError(f"server {server.server}: {error!r}") from error
        except FAILURES as error:
            raise BackendError(f"server {server.server}: {error!r}") from error
        assert isinstance(response, RelayedResponse)
        return response

    async def acquire_hold(self, server: Server, tokens: int, ttl_ms: float) -> HoldId | None:
        """Reserves a slot and memory; returns None if there is no room."""
        status, body = await self._call(
            server,
            "POST",
            "/hold-take",
            {"Tokens": tokens, "TtlMs": int(ttl_ms)},
            timeout_ms=HOLD_TIMEOUT_MS,
        )
        if status != 200:
            return None
        try:
            return HoldId(msgspec.json.decode(body, type=_HoldFields).hold)
        except msgspec.MsgspecError as error:
            raise BackendError(f"unreadable reservation: {error}") from error

    async def release_hold(self, server: Server, hold: HoldId) -> None:
        """Gives reserved memory back."""
        await self._call(server, "DELETE", f"/hold-drop/{hold}", None)

    async def release_handle(self, server: Server, handle: HandleId) -> None:
        """Frees the KV cache of a prompt that is not going to be used."""
        await self._call(server, "DELETE", f"/kv-handle/{handle}", None)

    async def cached_parts(self, server: Server) -> dict[PromptPartId, int]:
        """Returns the tokens of each part of a prompt that an engine keeps."""
        status, body = await self._call(server, "GET", "/kv-list", None, HOLD_TIMEOUT_MS)
        if status != 200:
            raise BackendError(f"server {server.server}: list ended with status {status}")
        try:
            fields = msgspec.json.decode(body, type=_KeptFields)
        except msgspec.MsgspecError as error:
            raise BackendError(f"server {server.server}: unreadable list: {error}") from error
        return {PromptPartId(kept.part.lower()): kept.tokens for kept in fields.held}

    async def probe(self, server: Server) -> None:
        """Opens and closes a connection."""
        ip, _, port = server.address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000.0):
                _, writer = await asyncio.open_connection(ip, int(port))
        except (OSError, TimeoutError) as error:
            raise NotSentError(f"server {server.server}: {error!r}") from error
        writer.close()

    async def report(self, server: Server) -> EngineReport:
        """Returns the load of an engine."""
        status, body = await self._call(server, "GET", "/report", None)
        if status != 200:
            raise BackendError(f"server {server.server}: report ended with status {status}")
        try:
            fields = msgspec.json.decode(body, type=_ReportFields)
        except msgspec.MsgspecError as error:
            raise BackendError(f"server {server.server}: unreadable report: {error}") from error
        return EngineReport(
            fields.stage,
            fields.busy,
            fields.orders_accepted,
            fields.queued,
            fields.running,
            fields.used_tokens,
            fields.total_tokens,
        )

    async def order_stage(
        self,
        server: Server,
        stage: EngineStage,
        coordinator: str,
        fencing: int,
        orders_accepted: int,
    ) -> bool:
        """Orders an engine to change its stage; returns whether it accepted."""
        order = {
            "Op": "Stage",
            "Stage": stage.value,
            "Holder": coordinator,
            "Fence": fencing,
            # The order is refused if another one was accepted meanwhile.
            "Precondition": orders_accepted,
        }
        status, _ = await self._call(server, "POST", "/order", order)
        return status in (200, 202)

    async def _call(
        self,
        server: Server,
        method: str,
        path: str,
        body: Mapping[str, Any] | None,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> tuple[int, bytes]:
        url = URL(f"http://{server.address}{path}", encoded=True)
        headers: dict[str, str] = {names.EXPECTED_SERVER: server.server}
        data = None
        if body is not None:
            data = msgspec.json.encode(body)
            headers["Content-Type"] = "application/json"
        timeout = aiohttp.ClientTimeout(
            total=timeout_ms / 1000.0, sock_connect=CONNECT_TIMEOUT_MS / 1000.0
        )
        try:
            async with self._session.request(
                method, url, headers=headers, data=data, timeout=timeout
            ) as response:
                return response.status, await response.read()
        except FAILURES as error:
            raise BackendError(f"server {server.server}: {path}: {error!r}") from error


def _raise_if_rejected(response: aiohttp.ClientResponse) -> None:
    """Raises RejectedError for an answer that says that the request has not run."""
    other_server = response.status == 421
    if other_server or names.NOT_RUN in response.headers:
        status = response.status
        # The body is short and may be unread; a closed connection costs less than a late body.
        response.release()
        raise RejectedError(f"rejected with status {status}", full=not other_server)
