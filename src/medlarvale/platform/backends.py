"""Calls to backend servers over HTTP/1.1."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import AsyncIterator, Callable, Mapping
from typing import Annotated, Any
from urllib.parse import quote

import aiohttp
import msgspec
from multidict import CIMultiDict
from yarl import URL

from medlarvale.errors import DECODE_ERRORS
from medlarvale.forwarding.errors import (
    BackendError,
    LateAnswerError,
    NotSentError,
    RejectedError,
    ServerDownError,
)
from medlarvale.forwarding.interface import (
    BodyMemory,
    LeavingCallback,
    LimitCallback,
    WaitCallback,
)
from medlarvale.forwarding.messages import (
    ClientRequest,
    Count,
    Dispatch,
    EngineReport,
    EngineStage,
    HandleId,
    HoldId,
    PrefillResult,
    PromptPartId,
    Server,
)
from medlarvale.http_bodies import body_framing
from medlarvale.ids import ServerId
from medlarvale.logs import Event, log_warning
from medlarvale.platform import headers as names
from medlarvale.platform.connections import (
    CONNECT_TIMEOUT_MS,
    DEAD_CONNECTION_MS,
    ON_CONNECTED,
    TRANSPORT_ERRORS,
    BackendConnection,
    RelayedResponse,
    close_idle_connections,
    note_body,
    read_body,
)
from medlarvale.platform.running_timeout import running_timeout

# Limit of the short calls: handles, orders and reports.
CALL_TIMEOUT_MS = 600
# An engine answers a reservation or a cache list without doing any work, and requests wait behind
# an answer that takes longer.
HOLD_TIMEOUT_MS = 200


# Sizes of bodies. Hosts have a few hundred MB, and many answers may be in progress.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
MAX_CALL_BYTES = 256 * 1024
MAX_CACHE_LIST_BYTES = 1024 * 1024
# Number of holds and handles that are remembered, to detect a second copy of an answer.
REMEMBERED_GRANTS = 4_096
MAX_GRANT_CHARS = 1_024

# Name of a hold or handle, which is sent in a header.
_Grant = Annotated[str, msgspec.Meta(pattern=f"^[!-~]{{1,{MAX_GRANT_CHARS}}}\\Z")]


class _HoldFields(msgspec.Struct, rename="pascal"):
    hold: _Grant


class _PrefillFields(msgspec.Struct, rename="pascal"):
    kv_handle: _Grant


class _CachedPart(msgspec.Struct, array_like=True):
    # The platform always sends an empty string here.
    reserved: str
    part: str
    tokens: Count


class _CacheListFields(msgspec.Struct):
    held: list[_CachedPart]


class _InstanceFields(msgspec.Struct):
    # Unix time of the start in ms.
    born: Count = 0


class _ReportFields(msgspec.Struct, rename="pascal"):
    stage: EngineStage
    busy: bool
    # Sequence counts accepted orders here; in a server's store entry it counts heartbeats.
    orders_accepted: Count = msgspec.field(name="Sequence")
    queued: Count
    running: Count
    used_tokens: Count = msgspec.field(name="KvUsed")
    total_tokens: Count = msgspec.field(name="KvTotal")


class HttpResponse:
    """HTTP response of a backend server; see ``BackendAnswer``."""

    def __init__(self, response: RelayedResponse, memory: BodyMemory | None) -> None:
        self._response = response
        self._memory = memory
        self.status = response.status
        self.headers: CIMultiDict[str] = names.forwardable(response.headers, frozenset())
        self.signed = names.SIGNATURE in response.headers
        self.event_stream = response.content_type == "text/event-stream"
        self.framing = body_framing(response)

    async def read(self) -> bytes:
        """Returns the whole body."""
        try:
            return await read_body(self._response, MAX_ANSWER_BYTES, self._memory)
        except TRANSPORT_ERRORS as error:
            raise BackendError(f"the response body ended early: {error!r}") from error

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives."""
        try:
            async for chunk in self._response.content.iter_any():
                note_body(self._response)
                yield chunk
            self._response.raise_if_broke_off()
        except TRANSPORT_ERRORS as error:
            raise BackendError(f"the response body ended early: {error!r}") from error

    def close(self) -> None:
        """Closes the connection unless the body was read completely."""
        self._response.close()


class _Grants:
    """Remembers holds and handles, so that a second copy of an answer grants nothing."""

    def __init__(self) -> None:
        self._owners: OrderedDict[tuple[ServerId, str], object] = OrderedDict()

    def note(self, server: Server, grant: str, owner: object) -> None:
        """Records a hold or handle.

        Raises:
            BackendError: if the server has granted it to another owner.
        """
        key = (server.server, grant)
        if self._owners.setdefault(key, owner) != owner:
            raise BackendError(f"server {server.server}: a second copy of an earlier answer")
        if len(self._owners) > REMEMBERED_GRANTS:
            self._owners.popitem(last=False)


class HttpBackends:
    """Calls to backend servers; see ``Backends``.

    A server in trouble may write an answer once more. The answers to short calls carry no id, so
    these calls share no connection with requests of callers.

    Args:
        requests: connections for requests of callers.
        calls: connections for all other calls.
        memory: bounds the bytes of all answers that are being read; None for no such bound.
    """

    def __init__(
        self,
        requests: aiohttp.ClientSession,
        calls: aiohttp.ClientSession,
        memory: BodyMemory | None = None,
    ) -> None:
        self._memory = memory
        self._requests = requests
        self._calls = calls
        self._grants = _Grants()
        self._limit_callbacks: list[LimitCallback] = []
        self._leaving_callbacks: list[LeavingCallback] = []
        self._wait_callbacks: list[WaitCallback] = []

    def on_limit(self, callback: LimitCallback) -> None:
        """Registers a callback for the limit, or its absence, in each answer to a request."""
        self._limit_callbacks.append(callback)

    def on_leaving(self, callback: LeavingCallback) -> None:
        """Registers a callback for each answer of a server that says that it is leaving."""
        self._leaving_callbacks.append(callback)

    def on_wait(self, callback: WaitCallback) -> None:
        """Registers a callback for each refusal of a server that wants no requests for a time."""
        self._wait_callbacks.append(callback)

    def _note_wait(self, server: Server, response: aiohttp.ClientResponse) -> bool:
        """Reports the time for which a server wants no requests; returns whether it named one."""
        try:
            wait_s = names.asked_wait_s(response.status, response.headers)
        except ValueError as error:
            log_warning(Event.SERVER_WAIT_INVALID, server=server.server, error=str(error))
            return False
        if wait_s is None:
            return False
        for callback in self._wait_callbacks:
            callback(server, wait_s)
        return True

    def _note_leaving(self, server: Server, response: aiohttp.ClientResponse) -> None:
        if names.is_leaving(response.headers):
            for callback in self._leaving_callbacks:
                callback(server)

    def _note_limit(self, server: Server, response: aiohttp.ClientResponse) -> None:
        if response.status == names.WRONG_SERVER_STATUS:
            return
        try:
            limit_per_s = names.server_limit_per_s(response.headers)
        except ValueError as error:
            log_warning(Event.LIMIT_INVALID, server=server.server, error=str(error))
            return
        for callback in self._limit_callbacks:
            callback(server, limit_per_s)

    async def send(
        self, server: Server, request: ClientRequest, dispatch: Dispatch
    ) -> HttpResponse:
        """Sends a request and waits for the head of the response."""
        headers = names.encode_request(request, server.server, dispatch)

        def note_sent() -> None:
            request.possible_runs += 1

        response = await self._request(server, request, headers, dispatch.left_ms, note_sent)
        if not response.ok or names.SIGNATURE in response.headers:
            # Bytes that are no answer may look like a success, but have no signature.
            self._note_leaving(server, response)
        if not _may_be_late(response):
            self._note_wait(server, response)
        try:
            _raise_if_rejected(response)
        except RejectedError:
            request.possible_runs -= 1
            raise
        if names.has_control_character(response.headers):
            response.close()
            raise BackendError(f"server {server.server}: a control character in a header")
        expected = headers.get(names.REQUEST_ID)
        if response.ok and response.headers.get(names.REQUEST_ID) != expected:
            response.close()
            raise BackendError(f"server {server.server}: a success without the request's id")
        return HttpResponse(response, self._memory)

    async def prefill(
        self,
        server: Server,
        request: ClientRequest,
        left_ms: float,
        priority: int | None = None,
    ) -> PrefillResult:
        """Runs the prefill of a request's prompt."""
        headers = names.encode_request(request, server.server, Dispatch(left_ms, priority=priority))
        headers[names.STAGE] = EngineStage.PREFILL.value
        response = await self._request(server, request, headers, left_ms)
        self._note_leaving(server, response)
        if not _may_be_late(response):
            self._note_wait(server, response)
        _raise_if_rejected(response)
        try:
            body = await read_body(response, MAX_CALL_BYTES, self._memory)
            if response.status != 200:
                raise BackendError(f"prefill returned status {response.status}")
            handle = HandleId(msgspec.json.decode(body, type=_PrefillFields).kv_handle)
            self._grants.note(server, handle, hash(request.request_id))
            return PrefillResult(server, handle)
        except (*TRANSPORT_ERRORS, *DECODE_ERRORS) as error:
            raise BackendError(f"prefill failed: {error!r}") from error
        finally:
            response.close()

    async def _request(
        self,
        server: Server,
        request: ClientRequest,
        headers: CIMultiDict[str],
        left_ms: float,
        on_connected: Callable[[], None] | None = None,
    ) -> RelayedResponse:
        url = URL(f"http://{server.address}{request.path}", encoded=True)
        used: BackendConnection | None = None
        began_s = asyncio.get_running_loop().time()

        def note_connected(connection: BackendConnection) -> None:
            nonlocal used
            used = connection
            if on_connected is not None:
                on_connected()

        reset = ON_CONNECTED.set(note_connected)
        try:
            async with asyncio.timeout(left_ms / 1000.0):
                response = await self._requests.request(
                    request.method,
                    url,
                    headers=headers,
                    data=request.body or None,
                    allow_redirects=False,
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise NotSentError(f"server {server.server}: {error!r}") from error
        except TRANSPORT_ERRORS as error:
            self._note_unanswered(server, used, began_s)
            kind: type[BackendError] = NotSentError
            if used is not None:
                kind = LateAnswerError if isinstance(error, TimeoutError) else BackendError
            raise kind(f"server {server.server}: {_describe(error)}") from error
        except asyncio.CancelledError:
            self._note_unanswered(server, used, began_s)
            raise
        finally:
            ON_CONNECTED.reset(reset)
        assert isinstance(response, RelayedResponse)
        self._note_limit(server, response)
        return response

    def _note_unanswered(
        self, server: Server, used: BackendConnection | None, began_s: float
    ) -> None:
        """Closes the kept connections to a server if that of a request seems to be dead."""
        waited_ms = 1000.0 * (asyncio.get_running_loop().time() - began_s)
        if used is not None and used.requests > 1 and waited_ms >= DEAD_CONNECTION_MS:
            close_idle_connections(self._requests, server.address)

    async def acquire_hold(self, server: Server, tokens: int, ttl_ms: float) -> HoldId | None:
        """Reserves a slot and memory; returns None if the engine has no capacity."""
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
            hold = HoldId(msgspec.json.decode(body, type=_HoldFields).hold)
        except DECODE_ERRORS as error:
            raise BackendError(f"invalid reservation response: {error}") from error
        self._grants.note(server, hold, object())
        return hold

    async def release_hold(self, server: Server, hold: HoldId) -> None:
        """Releases a reservation."""
        await self._call(server, "DELETE", f"/hold-drop/{quote(hold, safe='')}", None)

    async def release_handle(self, server: Server, handle: HandleId) -> None:
        """Frees the KV cache of a prefill whose result will not be used."""
        await self._call(server, "DELETE", f"/kv-handle/{quote(handle, safe='')}", None)

    async def cached_parts(self, server: Server) -> dict[PromptPartId, int]:
        """Returns the number of tokens of each prompt part in an engine's cache."""
        status, body = await self._call(
            server, "GET", "/kv-list", None, HOLD_TIMEOUT_MS, MAX_CACHE_LIST_BYTES
        )
        if status != 200:
            raise BackendError(f"server {server.server}: cache list returned status {status}")
        try:
            fields = msgspec.json.decode(body, type=_CacheListFields)
        except DECODE_ERRORS as error:
            raise BackendError(f"server {server.server}: invalid cache list: {error}") from error
        return {PromptPartId(cached.part.lower()): cached.tokens for cached in fields.held}

    async def probe(self, server: Server) -> None:
        """Checks that the server accepts connections: opens one and closes it."""
        ip, _, port = server.address.rpartition(":")
        try:
            async with running_timeout(CONNECT_TIMEOUT_MS):
                _, writer = await asyncio.open_connection(ip, int(port))
        except ConnectionRefusedError as error:
            raise ServerDownError(f"server {server.server}: {error!r}") from error
        except (OSError, TimeoutError) as error:
            raise NotSentError(f"server {server.server}: {error!r}") from error
        writer.close()

    async def is_same_instance(self, server: Server) -> bool:
        """Returns whether a server answers as the instance that an entry names."""
        try:
            status, body = await self._call(server, "GET", "/report", None)
        except BackendError:
            # Tells whether the server is down or only silent.
            await self.probe(server)
            raise
        if status == names.WRONG_SERVER_STATUS:
            return False
        if server.stage is None:
            # It has no report, and rejects a call without an id without running it.
            return True
        if status != 200:
            raise BackendError(f"server {server.server}: load report returned status {status}")
        try:
            born_ms = msgspec.json.decode(body, type=_InstanceFields).born
        except DECODE_ERRORS as error:
            raise BackendError(f"server {server.server}: invalid load report: {error}") from error
        return not born_ms or not server.born_ms or born_ms == server.born_ms

    async def report(self, server: Server) -> EngineReport:
        """Returns the load of an engine."""
        status, body = await self._call(server, "GET", "/report", None)
        if status != 200:
            raise BackendError(f"server {server.server}: load report returned status {status}")
        try:
            fields = msgspec.json.decode(body, type=_ReportFields)
        except DECODE_ERRORS as error:
            raise BackendError(f"server {server.server}: invalid load report: {error}") from error
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
            # The engine refuses the order if it has accepted another one in the meantime.
            "Precondition": orders_accepted,
        }
        # On a connection that was used before, a late copy of an earlier answer could accept it.
        close_idle_connections(self._calls, server.address)
        status, _ = await self._call(server, "POST", "/order", order)
        return status in (200, 202)

    async def _call(
        self,
        server: Server,
        method: str,
        path: str,
        body: Mapping[str, Any] | None,
        timeout_ms: int = CALL_TIMEOUT_MS,
        max_bytes: int = MAX_CALL_BYTES,
    ) -> tuple[int, bytes]:
        url = URL(f"http://{server.address}{path}", encoded=True)
        headers: dict[str, str] = {names.EXPECTED_SERVER: server.server}
        data = None
        if body is not None:
            data = msgspec.json.encode(body)
            headers["Content-Type"] = "application/json"
        timeout = aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_MS / 1000.0)
        try:
            async with (
                running_timeout(timeout_ms),
                self._calls.request(
                    method, url, headers=headers, data=data, timeout=timeout
                ) as response,
            ):
                if names.SERVER_LIMIT in response.headers:
                    # The absence of a limit counts only in answers to requests.
                    self._note_limit(server, response)
                self._note_leaving(server, response)
                if self._note_wait(server, response):
                    # A second copy of the refusal can't answer a later call then.
                    response.close()
                    return response.status, b""
                return response.status, await read_body(response, max_bytes, self._memory)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise NotSentError(f"server {server.server}: {path}: {error!r}") from error
        except TRANSPORT_ERRORS as error:
            raise BackendError(f"server {server.server}: {path}: {error!r}") from error


def _describe(error: Exception) -> str:
    """Returns the text of an error without the headers of its request, which may hold keys."""
    if isinstance(error, aiohttp.ClientResponseError):
        return f"{type(error).__name__}({error.status}, {error.message!r})"
    return repr(error)


def _may_be_late(response: RelayedResponse) -> bool:
    """Returns whether a response may belong to an earlier request on its connection."""
    return response.connection_in_use.requests > 1 and names.REQUEST_ID not in response.headers


def _raise_if_rejected(response: RelayedResponse) -> None:
    """Raises RejectedError if the response states that the request was not executed.

    Raises:
        BackendError: if the refusal may be that of an earlier request on the connection.
    """
    status = response.status
    if not names.is_refusal(status, response.headers):
        return
    response.close()
    if _may_be_late(response):
        raise BackendError(f"status {status} without the request's id on a kept connection")
    raise RejectedError(f"rejected with status {status}", full=status != names.WRONG_SERVER_STATUS)
