"""Error responses to callers, in a format that the openai client understands."""

from __future__ import annotations

import math

import msgspec
from aiohttp import web

from medlarvale.callers.errors import CallerRequestError
from medlarvale.errors import MedlarvaleError, Outcome
from medlarvale.ids import RequestId

OUTCOME_HEADER = "X-Outcome"
REQUEST_ID_HEADER = "X-Request-Id"

_ERROR_TYPES = {
    401: "authentication_error",
    403: "permission_error",
    429: "rate_limit_error",
}


class ErrorDetail(msgspec.Struct, frozen=True):
    """Description of an error; ``type`` and ``param`` are for the openai client."""

    code: str
    message: str
    outcome: str
    request_id: str
    retry_after_ms: int | None
    type: str
    param: str | None


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of an error response."""

    error: ErrorDetail


def error_body(error: MedlarvaleError, request_id: RequestId) -> bytes:
    """Returns the JSON body for an error."""
    kind = "invalid_request_error" if error.http_status < 500 else "server_error"
    return msgspec.json.encode(
        ErrorBody(
            ErrorDetail(
                code=error.code,
                message=error.message,
                outcome=error.outcome.value,
                request_id=request_id,
                retry_after_ms=error.retry_after_ms,
                type=_ERROR_TYPES.get(error.http_status, kind),
                param=error.param if isinstance(error, CallerRequestError) else None,
            )
        )
    )


def error_headers(error: MedlarvaleError, request_id: RequestId) -> dict[str, str]:
    """Returns the headers for an error.

    ``x-should-retry`` and ``retry-after-ms`` are for the openai client, which would otherwise
    retry after every 5xx response.
    """
    retry = error.outcome is Outcome.NOT_RUN and error.retry_after_ms is not None
    headers = {
        OUTCOME_HEADER: error.outcome.value,
        REQUEST_ID_HEADER: request_id,
        "x-should-retry": "true" if retry else "false",
    }
    if error.retry_after_ms is not None:
        headers["Retry-After"] = str(math.ceil(error.retry_after_ms / 1_000))
        headers["retry-after-ms"] = str(error.retry_after_ms)
    return headers


def error_response(error: MedlarvaleError, request_id: RequestId) -> web.Response:
    """Returns the HTTP response for an error."""
    return web.Response(
        status=error.http_status,
        body=error_body(error, request_id),
        content_type="application/json",
        headers=error_headers(error, request_id),
    )
