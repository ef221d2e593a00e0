"""JSON bodies and error answers of the stand-ins' HTTP applications."""

from __future__ import annotations

from typing import TypeVar

import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler

from medlarvale.errors import MedlarvaleError
from medlarvale.standins.engine_errors import BadRequestError

CALLER_GONE_STATUS = 499

BodyT = TypeVar("BodyT", bound=msgspec.Struct)


class ErrorDetail(msgspec.Struct, frozen=True):
    """Code and message of a refused call."""

    code: str
    message: str


class ErrorBody(msgspec.Struct, frozen=True):
    """JSON body of an error answer."""

    error: ErrorDetail


def answer(body: object, status: int = 200) -> web.Response:
    """Returns a JSON answer."""
    return web.Response(
        body=msgspec.json.encode(body), status=status, content_type="application/json"
    )


def error_body(code: str, message: str) -> ErrorBody:
    """Returns the body of an error answer or of the last line of an aborted stream."""
    return ErrorBody(ErrorDetail(code, message))


async def decode_body(request: web.Request, body_type: type[BodyT]) -> BodyT:
    """Returns the JSON body of a request.

    Raises:
        BadRequestError: the body is not valid JSON or does not match the type.
    """
    try:
        return msgspec.json.decode(await request.read(), type=body_type)
    except msgspec.MsgspecError as error:
        raise BadRequestError(str(error)) from error


def require_number(text: str | None, name: str) -> int:
    """Returns the integer value of a header or query parameter.

    Raises:
        BadRequestError: the value is missing or not an integer.
    """
    try:
        return int(text or "")
    except ValueError as error:
        raise BadRequestError(f"{name} is missing or not an integer") from error


@web.middleware
async def answer_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Converts errors that have an error code into JSON answers."""
    try:
        return await handler(request)
    except MedlarvaleError as error:
        return answer(error_body(error.code, error.message), error.http_status)
    except ConnectionResetError:
        # The caller has disconnected and does not receive this answer.
        return web.Response(status=CALLER_GONE_STATUS)
