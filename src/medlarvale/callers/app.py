"""HTTP application and server for callers."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from aiohttp import web

from medlarvale.callers.dependencies import REQUEST_ID, CallerDependencies
from medlarvale.callers.error_body import error_response
from medlarvale.callers.errors import (
    HttpRefusedError,
    MalformedRequestError,
    MethodNotAllowedError,
    NotFoundError,
)
from medlarvale.callers.model_api import ModelApi
from medlarvale.callers.plain_api import PlainApi
from medlarvale.callers.validation import BODY_TIMEOUT_MS, check_framing
from medlarvale.errors import MedlarvaleError
from medlarvale.forwarding.messages import RequestLimits
from medlarvale.ids import new_request_id
from medlarvale.logs import Event, log_warning
from medlarvale.uploads.body_budget import BodyBudget
from medlarvale.uploads.bounds import Uploads
from medlarvale.uploads.connection_table import DEFAULT_CONNECTIONS
from medlarvale.uploads.connections import CallerConnection
from medlarvale.uploads.errors import HeadTooLargeError, MalformedHttpError, NoRoomError
from medlarvale.uploads.reader import MAX_BODY_BYTES
from medlarvale.uploads.servers import BoundedAppRunner

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

# The parser rejects longer request lines and header fields.
MAX_LINE_BYTES = 8_190

# By default the system's send buffer grows to several MB and holds complete answers, so a caller
# that reads nothing would not be detected while its request holds engine memory.
SEND_BUFFER_BYTES = 32_768

# Heads and answers that callers do not take are bounded as at the ports of forwarding hosts.
LIMITS = RequestLimits(MAX_LINE_BYTES, MAX_BODY_BYTES, BODY_TIMEOUT_MS, BODY_TIMEOUT_MS)

PLAIN_API: web.AppKey[PlainApi] = web.AppKey("plain_api", PlainApi)
BODY_BUDGET: web.AppKey[BodyBudget] = web.AppKey("body_budget", BodyBudget)


def build_app(deps: CallerDependencies) -> web.Application:
    """Returns the application, which has to be served with ``CallerServerRunner``."""
    app = web.Application(middlewares=[_error_middleware])
    model_api, plain_api = ModelApi(deps), PlainApi(deps)
    for method, path, handler in [
        ("POST", "/v1/chat/completions", model_api.chat),
        ("POST", "/v1/completions", model_api.completions),
        ("GET", "/v1/models", model_api.models),
        ("*", "/services/{service}/{path:.*}", plain_api.call),
    ]:
        app.router.add_route(method, path, handler, expect_handler=_handle_expect)
    app[PLAIN_API] = plain_api
    app[BODY_BUDGET] = deps.uploads

    async def drain(_: web.Application) -> None:
        await plain_api.drain()
        await deps.runner.drain()

    app.on_cleanup.append(drain)
    return app


@web.middleware
async def _error_middleware(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Assigns each request an id and converts every error to a response with an error code."""
    request_id = new_request_id()
    request[REQUEST_ID] = request_id
    try:
        check_framing(request)
        return await handler(request)
    except MedlarvaleError as error:
        response = error_response(error, request_id)
        if isinstance(error, (MalformedRequestError, NoRoomError)):
            response.force_close()
        return response
    except web.HTTPException as error:
        return error_response(_http_error(error.status), request_id)
    except Exception as error:
        # The request may have been dispatched, so the outcome is unknown.
        log_warning(Event.REQUEST_FAILED, request_id=request_id, error=repr(error), exc_info=error)
        return error_response(MedlarvaleError(type(error).__name__), request_id)


async def _handle_expect(request: web.Request) -> web.StreamResponse | None:
    """Answers ``Expect: 100-continue``, and rejects any other expectation."""
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        # Reset because a non-zero size would prevent a later error response.
        request.writer.output_size = 0
        return None
    return error_response(HttpRefusedError("unsupported value of Expect"), new_request_id())


def _http_error(status: int) -> MedlarvaleError:
    if status == HTTPStatus.NOT_FOUND:
        return NotFoundError("the path does not exist")
    if status == HTTPStatus.METHOD_NOT_ALLOWED:
        return MethodNotAllowedError("the path does not support the method")
    return HttpRefusedError(f"the HTTP layer rejected the request with status {status}")


class CallerProtocol(CallerConnection):
    """HTTP connection that answers parse errors with an error code too."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limits the data that is buffered for a caller that does not read."""
        super().connection_made(transport)
        connection = transport.get_extra_info("socket")
        if connection is not None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answers a request that the parser rejected or whose handler failed."""
        if request.writer.output_size > 0:
            raise ConnectionError("the response has already started")
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            exc = MedlarvaleError()
        return super().handle_error(request, status, exc, message)

    def refusal(self, error: MedlarvaleError) -> web.Response:
        """Returns the answer to a request that has not been parsed completely."""
        if isinstance(error, (HeadTooLargeError, MalformedHttpError)):
            error = MalformedRequestError(error.message)
        return error_response(error, new_request_id())


class CallerServerRunner(BoundedAppRunner):
    """Runner of the server for callers.

    A handler is cancelled if its caller disconnects, which frees the memory on the engines.
    """

    def __init__(
        self,
        app: web.Application,
        uploads: Uploads | None = None,
        *,
        shutdown_timeout_s: float = 60.0,
    ) -> None:
        super().__init__(
            app,
            uploads or Uploads(app[BODY_BUDGET], DEFAULT_CONNECTIONS),
            lambda: LIMITS,
            CallerProtocol,
            handler_cancellation=True,
            shutdown_timeout=shutdown_timeout_s,
            access_log=None,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            auto_decompress=False,
        )
