"""HTTP headers of requests and responses in the platform's protocol."""

from __future__ import annotations

import math
import re

from multidict import CIMultiDict, CIMultiDictProxy, MultiMapping

from medlarvale.forwarding.messages import ClientRequest, Dispatch, PromptPartId, TokenCounts
from medlarvale.ids import KeyDigest, RequestId, ServerId
from medlarvale.platform.entries import key_digest

REQUEST_ID = "X-Request-Id"
DEADLINE = "X-Deadline-Ms"
EXPECTED_SERVER = "X-Expected-Instance"
SERVER_ID = "X-Instance-Id"
SIGNATURE = "X-Response-Signature"
NOT_RUN = "X-Not-Executed"
# Status of a server that is not the one that was expected.
WRONG_SERVER_STATUS = 421
# Requests per second, a decimal number, that the server takes from all hosts together.
SERVER_LIMIT = "Server-Limit"
# "1" in each answer of a server that is about to leave.
SERVER_LEAVING = "Server-Leaving"
# Seconds, a decimal number, for which a server that turns a request away wants no more.
RETRY_AFTER = "Retry-After"
TURNED_AWAY_STATUS = 503
STAGE = "X-Serving-Stage"
# "IP:PORT/HANDLE" of the engine that ran the prefill.
KV_SOURCE = "X-Kv-Source"
KV_HOLD = "X-Kv-Hold"
# "IP:PORT" of an engine whose cache may contain parts of the prompt.
KV_FETCH = "Kv-Fetch"
# "PROMPT,OUTPUT": the number of prompt tokens and the largest number of output tokens.
TOKEN_COUNTS = "X-Token-Counts"
# "ID:TOKENS" of each part of the prompt, in order, joined by commas.
PROMPT_PARTS = "X-Prompt-Prefix"
LENGTH_HINT = "X-Length-Hint"
RESUME_AFTER = "Last-Event-Id"
# Id of the caller's attempt that received the first event of the stream.
BEGAN_AS = "Resumes"

# "Token KEY": the API key of the caller.
AUTHORIZATION = "Authorization"
KEY_SCHEME = "token"
# Name of the workspace that holds the key.
WORKSPACE = "X-Tenant"
# 0 to 9, where 0 is the most urgent.
PRIORITY = "X-Request-Priority"
LEAST_URGENT = 9

# Kept apart from the other headers of a caller's request.
IDENTITY = frozenset((AUTHORIZATION.lower(), WORKSPACE.lower()))
# Removed from callers' requests: with them, a caller could act on the engine memory and the servers
# of other callers.
SYSTEM_ONLY = frozenset(
    name.lower()
    for name in (
        DEADLINE,
        EXPECTED_SERVER,
        STAGE,
        KV_SOURCE,
        KV_HOLD,
        PRIORITY,
        "X-Expected-Version",
        "X-Pin-Ms",
        "X-Kv-Backup",
        KV_FETCH,
    )
)
# Hop-by-hop headers (RFC 9110, section 7.6.1), and the framing headers that each hop writes itself.
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    )
)
# Bounds the time to an answer for callers that send no deadline.
DEFAULT_DEADLINE_MS = 30_000.0
# RFC 9110, section 5.5. HTTP libraries read some of them in answers, but write none.
CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
# A number with more digits may not fit in 64 bits.
MAX_DIGITS = 19


def _hop_by_hop_names(headers: CIMultiDictProxy[str]) -> frozenset[str]:
    named = {
        name.strip().lower()
        for value in headers.getall("Connection", ())
        for name in value.split(",")
    }
    # Without its id, an answer could not be told from those to other requests.
    return (HOP_BY_HOP | named) - {REQUEST_ID.lower()}


def forwardable(headers: CIMultiDictProxy[str], dropped: frozenset[str]) -> CIMultiDict[str]:
    """Returns the end-to-end headers except those in ``dropped``."""
    skipped = _hop_by_hop_names(headers) | dropped
    kept: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        if name.lower() not in skipped:
            kept.add(name, value)
    return kept


def _parse_unsigned(text: str | None) -> int | None:
    digits = "" if text is None else text.strip()
    if not (digits.isascii() and digits.isdigit()) or len(digits) > MAX_DIGITS:
        return None
    return int(digits)


def has_control_character(headers: MultiMapping[str]) -> bool:
    """Returns whether a header has a control character, so that it can't be forwarded."""
    return any(map(CONTROL_CHARACTER.search, headers.values()))


def is_refusal(status: int, headers: MultiMapping[str]) -> bool:
    """Returns whether a response states that the server has not run the request."""
    return status == WRONG_SERVER_STATUS or NOT_RUN in headers


def server_limit_per_s(headers: CIMultiDictProxy[str]) -> float | None:
    """Returns the limit that a server names; None if it names none.

    Raises:
        ValueError: if it is no number of requests.
    """
    text = headers.get(SERVER_LIMIT)
    if text is None:
        return None
    limit_per_s = float(text)
    if not 0.0 <= limit_per_s < math.inf:
        raise ValueError(f"{SERVER_LIMIT} is {text!r}")
    return limit_per_s


def is_leaving(headers: CIMultiDictProxy[str]) -> bool:
    """Returns whether a response says that its server is leaving."""
    return headers.get(SERVER_LEAVING) == "1"


def asked_wait_s(status: int, headers: CIMultiDictProxy[str]) -> float | None:
    """Returns the time for which a server wants no requests, or infinity; None if it names none.

    Raises:
        ValueError: if it is no number of seconds.
    """
    text = headers.get(RETRY_AFTER)
    if text is None or status != TURNED_AWAY_STATUS:
        return None
    wait_s = float(text)
    if not wait_s >= 0.0:
        raise ValueError(f"{RETRY_AFTER} is {text!r}")
    return wait_s


def _token_counts(headers: CIMultiDictProxy[str]) -> TokenCounts | None:
    prompt, _, output = headers.get(TOKEN_COUNTS, "").partition(",")
    prompt_tokens, max_output = _parse_unsigned(prompt), _parse_unsigned(output)
    if prompt_tokens is None or max_output is None:
        return None
    return TokenCounts(prompt_tokens, max_output, _parse_unsigned(headers.get(LENGTH_HINT)))


def _prompt_parts(
    headers: CIMultiDictProxy[str],
) -> tuple[PromptPartId | None, tuple[PromptPartId, ...], tuple[int, ...]]:
    """Returns the last part of the prompt, the parts before it, and the tokens of all of them."""
    parts, tokens = list[PromptPartId](), list[int]()
    *shared, last = headers.get(PROMPT_PARTS, "").split(",")
    for entry in (*shared, last):
        name, _, size = entry.partition(":")
        part = PromptPartId(name.strip().lower())
        if part or entry is last:
            parts.append(part)
            tokens.append(_parse_unsigned(size) or 0)
    return parts[-1] or None, tuple(parts[:-1]), tuple(tokens)


def _key_digest(headers: CIMultiDictProxy[str]) -> KeyDigest | None:
    """Returns the digest of the API key; None without a single one."""
    values = headers.getall(AUTHORIZATION, ())
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip().partition(" ")
    return key_digest(key.strip()) if scheme.lower() == KEY_SCHEME and key.strip() else None


def decode_request(
    method: str,
    path: str,
    headers: CIMultiDictProxy[str],
    body: bytes,
    received_ms: float,
) -> ClientRequest:
    """Returns the request of a caller; an invalid optional header is treated as absent."""
    deadline_ms = _parse_unsigned(headers.get(DEADLINE))
    last_part, shared_parts, part_tokens = _prompt_parts(headers)
    kept = IDENTITY - _hop_by_hop_names(headers)
    identity: CIMultiDict[str] = CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() in kept
    )
    began_as = headers.get(BEGAN_AS, "").strip(" \t")
    return ClientRequest(
        request_id=RequestId(headers.get(REQUEST_ID, "")),
        method=method,
        host=headers.get("Host", ""),
        path=path,
        headers=forwardable(headers, SYSTEM_ONLY | IDENTITY),
        body=body,
        received_ms=received_ms,
        deadline_ms=DEFAULT_DEADLINE_MS if deadline_ms is None else float(deadline_ms),
        tokens=_token_counts(headers),
        prompt_part=last_part,
        shared_parts=shared_parts,
        resume_after=_parse_unsigned(headers.get(RESUME_AFTER)),
        began_as=RequestId(began_as) if began_as else None,
        identity_headers=identity,
        key_digest=_key_digest(headers),
        part_tokens=part_tokens,
    )


def encode_request(
    request: ClientRequest, server: ServerId, dispatch: Dispatch
) -> CIMultiDict[str]:
    """Returns the headers for forwarding a request to a backend server."""
    headers = request.headers.copy()
    if request.withholds_identity:
        for name in IDENTITY:
            headers.popall(name, None)
    headers[DEADLINE] = str(max(1, int(dispatch.left_ms)))
    headers[EXPECTED_SERVER] = server
    if dispatch.source is not None:
        source = dispatch.source
        headers[KV_SOURCE] = f"{source.server.address}/{source.handle}"
    if dispatch.fetch_from is not None:
        headers[KV_FETCH] = dispatch.fetch_from.address
    if dispatch.hold is not None:
        headers[KV_HOLD] = dispatch.hold
    if dispatch.resume_after is not None:
        headers[RESUME_AFTER] = str(dispatch.resume_after)
    if dispatch.priority is not None:
        headers[PRIORITY] = str(min(LEAST_URGENT, dispatch.priority))
    if request.workspace is not None:
        headers[WORKSPACE] = request.workspace
    return headers
