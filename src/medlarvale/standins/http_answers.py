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
    """Body of an error answer."""

    error: ErrorDetail


def answer(body: object, status: int = 200) -> web.Response:
    """Returns a JSON answer."""
    return web.Response(
        body=msgspec.json.encode(body), status=status, content_type="application/json"
    )


def error_body(code: str, message: str) -> ErrorBody:
    """Returns the body of an error answer or of the last line of a broken stream."""
    return ErrorBody(ErrorDetail(code, message))


async def decode_body(request: web.Request, body_type: type[BodyT]) -> BodyT:
    """Returns the JSON body of a request.

    Raises:
        BadRequestError: the body does not have the type.
    """
    try:
        return msgspec.json.decode(await request.read(), type=body_type)
    except msgspec.MsgspecError as error:
        raise BadRequestError(str(error)) from error


def require_number(text: str | None, name: str) -> int:
    """Returns a number from a header or query.

    Raises:
        BadRequestError: it is missing or not a number.
    """
    try:
        return int(text or "")
    except ValueError as error:
        raise BadRequestError(f"{name} is not a number") from error


@web.middleware
async def answer_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Turns errors with a code into JSON answers."""
    try:
        return await handler(request)
    except MedlarvaleError as error:
        return answer(error_body(error.code, error.message), error.http_status)
    except ConnectionResetError:
        # The caller is gone, so nobody reads this answer.
        return web.Response(status=CALLER_GONE_STATUS)
