"""Validation of requests before anything is dispatched."""

from __future__ import annotations

import re
from typing import Annotated, Any, Literal, TypeVar
from urllib.parse import unquote

import msgspec
from aiohttp import web
from msgspec import Meta

from medlarvale.callers.errors import (
    BadHeaderError,
    BadJsonError,
    BadPathError,
    BadValueError,
    BodyTimeoutError,
    BodyTooLargeError,
    MalformedRequestError,
    UnsupportedParameterError,
)
from medlarvale.clock import Clock
from medlarvale.completions.tokens import MAX_TOKEN
from medlarvale.completions.watchdog import deadline
from medlarvale.forwarding.errors import BodyTooLargeError as ForwardedBodyTooLargeError
from medlarvale.scheduling.messages import WorkClass
from medlarvale.uploads.body_budget import BodyBudget
from medlarvale.uploads.connections import CallerConnection
from medlarvale.uploads.errors import MalformedHttpError, NoRoomError
from medlarvale.uploads.reader import read_pieces

# Limits how long a caller that sends its body too slowly occupies a connection.
BODY_TIMEOUT_MS = 30_000
MAX_DEADLINE_MS = 86_400_000
MAX_IDEMPOTENCY_KEY_CHARACTERS = 255
MAX_MESSAGES = 10_000

# These make a server run a different method from the one that the retry policy was applied to.
METHOD_OVERRIDE_HEADERS = ("X-HTTP-Method-Override", "X-HTTP-Method", "X-Method-Override")

_DIGITS = re.compile(r"[0-9]{1,9}")
_IDEMPOTENCY_KEY = re.compile(rf"[\x21-\x7e]{{1,{MAX_IDEMPOTENCY_KEY_CHARACTERS}}}")
_HEADER_VALUE = re.compile(r"[\t\x20-\x7e]*")
_RAW_PATH = re.compile(r"/(?:[A-Za-z0-9\-._~!$&'()*+,;=:@/]|%[0-9A-Fa-f]{2})*")
_RAW_QUERY = re.compile(r"[\x21\x22\x24-\x7e]*")

PositiveCount = Annotated[int, Meta(ge=1, le=100_000_000)]
TokenNumber = Annotated[int, Meta(ge=0, le=MAX_TOKEN)]
Temperature = Annotated[float, Meta(ge=0, le=2)]
Penalty = Annotated[float, Meta(ge=-2, le=2)]
Probability = Annotated[float, Meta(ge=0, le=1)]


class TextPart(msgspec.Struct, frozen=True):
    """One part of a message's content."""

    type: Literal["text"]
    text: str


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: Literal["system", "developer", "user", "assistant", "tool", "function"]
    content: str | list[TextPart] | None = None

    def text(self) -> str:
        """Returns the content as one string."""
        if isinstance(self.content, str):
            return self.content
        return "\n".join(part.text for part in self.content or [])


class StreamOptions(msgspec.Struct, frozen=True):
    """Options of a streamed answer."""

    include_usage: bool = False


class ModelBody(msgspec.Struct, frozen=True, kw_only=True):
    """Fields common to both model endpoints. Sampling fields are validated but not used, because
    the engine protocol has none; unknown fields are ignored."""

    model: Annotated[str, Meta(min_length=1, max_length=256)]
    max_tokens: PositiveCount | None = None
    stream: bool | None = None
    stream_options: StreamOptions | None = None
    temperature: Temperature | None = None
    top_p: Probability | None = None
    presence_penalty: Penalty | None = None
    frequency_penalty: Penalty | None = None
    n: PositiveCount | None = None
    stop: Any = None
    logprobs: Any = None
    tools: Any = None

    def check_supported(self) -> None:
        """Rejects fields that change the answer in a way that the engines do not support.

        Raises:
            UnsupportedParameterError: such a field does not have its neutral value.
        """
        if self.n not in (None, 1):
            raise UnsupportedParameterError("n must be 1", param="n")
        for name in ("stop", "logprobs", "tools"):
            if getattr(self, name):
                raise UnsupportedParameterError(f"{name} is not supported", param=name)


class ChatBody(ModelBody, frozen=True, kw_only=True):
    """Body of ``POST /v1/chat/completions``."""

    messages: Annotated[list[ChatMessage], Meta(min_length=1, max_length=MAX_MESSAGES)]
    max_completion_tokens: PositiveCount | None = None


class CompletionBody(ModelBody, frozen=True, kw_only=True):
    """Body of ``POST /v1/completions``; the prompt is a string or a list of tokens."""

    prompt: str | list[TokenNumber]
    echo: bool | None = None
    best_of: PositiveCount | None = None
    suffix: str | None = None

    def check_supported(self) -> None:
        """Rejects fields that the engines do not support."""
        super().check_supported()
        if self.echo or self.suffix or self.best_of not in (None, 1):
            raise UnsupportedParameterError("echo, suffix and best_of are not supported")


Body = TypeVar("Body", bound=ModelBody)


def decode_body(data: bytes, body_type: type[Body]) -> Body:
    """Returns the validated body.

    Raises:
        BadJsonError: the data is not JSON.
        BadValueError: a field is missing, of a wrong type or out of range.
        UnsupportedParameterError: a field is not supported.
    """
    try:
        body = msgspec.json.decode(data, type=body_type)
    except msgspec.ValidationError as error:
        message = str(error)
        field = re.search(r"\$\.([A-Za-z_]+)", message)
        raise BadValueError(message, param=field.group(1) if field else None) from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BadJsonError(f"the body is not valid JSON: {error}") from error
    except RecursionError as error:
        raise BadJsonError("the body is nested too deeply") from error
    body.check_supported()
    return body


def check_framing(request: web.Request) -> None:
    """Rejects requests whose end two servers could interpret differently.

    The HTTP parser rejects most of them; this check does not depend on the parser aiohttp uses.

    Raises:
        MalformedRequestError: the length or the host is ambiguous.
    """
    lengths = request.headers.getall("Content-Length", [])
    codings = request.headers.getall("Transfer-Encoding", [])
    if len(lengths) > 1 or (lengths and codings):
        raise MalformedRequestError("conflicting Content-Length or Transfer-Encoding headers")
    if lengths and not lengths[0].isdigit():
        raise MalformedRequestError("Content-Length is not a number")
    if codings and [coding.strip().lower() for coding in codings] != ["chunked"]:
        raise MalformedRequestError("unsupported Transfer-Encoding")
    if codings and request.version < (1, 1):
        raise MalformedRequestError("Transfer-Encoding requires HTTP/1.1")
    if len(request.headers.getall("Host", [])) != 1 and request.version >= (1, 1):
        raise MalformedRequestError("exactly one Host header is required")


def single_header(request: web.Request, name: str) -> str | None:
    """Returns the value of a header that may occur at most once.

    Raises:
        BadHeaderError: it is repeated or contains control or non-ASCII characters.
    """
    values = request.headers.getall(name, [])
    if len(values) > 1:
        raise BadHeaderError(f"{name} occurs {len(values)} times", param=name)
    if values and not _HEADER_VALUE.fullmatch(values[0]):
        raise BadHeaderError(f"{name} contains characters that are not allowed", param=name)
    return values[0] if values else None


def deadline_ms(request: web.Request, max_ms: int) -> int:
    """Returns the caller's deadline, at most ``max_ms``.

    Raises:
        BadHeaderError: ``X-Deadline-Ms`` is not a number of ms from 1 to one day.
    """
    value = single_header(request, "X-Deadline-Ms")
    if value is None:
        return max_ms
    if not _DIGITS.fullmatch(value) or not 1 <= int(value) <= MAX_DEADLINE_MS:
        raise BadHeaderError(
            "X-Deadline-Ms must be a number of ms from 1 to one day", param="X-Deadline-Ms"
        )
    return min(int(value), max_ms)


def work_class(request: web.Request) -> WorkClass:
    """Returns the work class given by ``X-Priority``; the default is live work.

    Raises:
        BadHeaderError: the value is neither ``live`` nor ``batch``.
    """
    value = single_header(request, "X-Priority")
    try:
        return WorkClass(value) if value is not None else WorkClass.LIVE
    except ValueError as error:
        raise BadHeaderError("X-Priority must be live or batch", param="X-Priority") from error


def idempotency_key(request: web.Request) -> str | None:
    """Returns the idempotency key of a call, or None if it has none.

    Raises:
        BadHeaderError: it is not 1..255 visible ASCII characters.
    """
    value = single_header(request, "Idempotency-Key")
    if value is not None and not _IDEMPOTENCY_KEY.fullmatch(value):
        raise BadHeaderError(
            "Idempotency-Key must be 1 to 255 visible ASCII characters", param="Idempotency-Key"
        )
    return value


def check_forwarded_headers(request: web.Request) -> None:
    """Rejects headers that must not reach a backend server.

    Raises:
        BadHeaderError: a value contains control or non-ASCII characters or overrides the method.
    """
    for name, value in request.headers.items():
        if not _HEADER_VALUE.fullmatch(value):
            raise BadHeaderError(f"{name} contains characters that are not allowed", param=name)
    for name in METHOD_OVERRIDE_HEADERS:
        if name in request.headers:
            raise BadHeaderError(f"{name} is not supported", param=name)


def service_path(raw_path: str, service: str) -> tuple[str, str]:
    """Returns the path and query to forward, and the decoded path for the retry policy.

    A path that a backend server might interpret as a different path is rejected, because a rule
    for the one must not make calls to the other repeatable.

    Args:
        raw_path: the request target as received.

    Raises:
        BadPathError: the path has dot or empty segments, encoded slashes, backslashes, control
            characters or nested encodings.
    """
    prefix = f"/services/{service}"
    if not raw_path.startswith(f"{prefix}/"):
        raise BadPathError("the path does not start with the name of the service")
    target = raw_path[len(prefix) :]
    path, _, query = target.partition("?")
    if not _RAW_PATH.fullmatch(path) or not _RAW_QUERY.fullmatch(query):
        raise BadPathError("the path contains characters that are not allowed")
    try:
        decoded = unquote(path, errors="strict")
    except UnicodeDecodeError as error:
        raise BadPathError("the path is not UTF-8") from error
    if "%2f" in path.lower() or "%" in decoded or "\\" in decoded or not decoded.isprintable():
        raise BadPathError("the path contains an ambiguous encoding")
    segments = decoded.split("/")[1:]
    if any(segment in (".", "..") for segment in segments) or "" in segments[:-1]:
        raise BadPathError("the path contains dot or empty segments")
    return target, decoded


async def read_body(
    request: web.Request, limit_bytes: int, clock: Clock, uploads: BodyBudget
) -> bytes:
    """Returns the complete body, which is counted until its request has ended.

    Raises:
        BodyTooLargeError: it is larger than ``limit_bytes``.
        BodyTimeoutError: it did not arrive within ``BODY_TIMEOUT_MS``.
        MalformedRequestError: its chunked encoding is malformed.
        NoRoomError: it has given way to other bodies.
    """
    length_bytes = request.content_length or 0
    if length_bytes > limit_bytes:
        raise BodyTooLargeError(f"the body is larger than {limit_bytes} bytes")
    uploads.keep_room_for(limit_bytes)
    connection = request.protocol
    assert isinstance(connection, CallerConnection)
    upload = connection.upload
    if not upload.fits(length_bytes):
        raise NoRoomError("requests in progress leave no room for the body")
    try:
        async with deadline(clock, BODY_TIMEOUT_MS, BodyTimeoutError):
            # The limit on the whole time ends a body that makes no progress as well.
            body = await read_pieces(request.content, upload, limit_bytes, 2.0 * BODY_TIMEOUT_MS)
    except ForwardedBodyTooLargeError as error:
        raise BodyTooLargeError(f"the body is larger than {limit_bytes} bytes") from error
    except MalformedHttpError as error:
        raise MalformedRequestError("the body is malformed") from error
    connection.note_whole()
    return body
