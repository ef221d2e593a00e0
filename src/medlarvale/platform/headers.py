"""Headers of requests and answers on the platform's wire."""

from __future__ import annotations

from multidict import CIMultiDict, CIMultiDictProxy

from medlarvale.forwarding.messages import ClientRequest, Dispatch, PromptPartId, TokenCounts
from medlarvale.ids import RequestId, ServerId

REQUEST_ID = "X-Request-Id"
DEADLINE = "X-Deadline-Ms"
EXPECTED_SERVER = "X-Expected-Instance"
SERVER_ID = "X-Instance-Id"
SIGNATURE = "X-Response-Signature"
NOT_RUN = "X-Not-Executed"
STAGE = "X-Serving-Stage"
# "IP:PORT/HANDLE" of the engine that read the prompt.
KV_SOURCE = "X-Kv-Source"
KV_HOLD = "X-Kv-Hold"
# "IP:PORT" of an engine that may keep parts of the prompt.
KV_FETCH = "Kv-Fetch"
# Prompt tokens and the largest number of output tokens, in one value.
TOKEN_COUNTS = "X-Token-Counts"
# "ID:TOKENS" of each part of the prompt, in order, joined by commas.
PROMPT_PARTS = "X-Prompt-Prefix"
LENGTH_HINT = "X-Length-Hint"
RESUME_AFTER = "Last-Event-Id"

# A caller must not set these: they would act on memory and servers of others.
SYSTEM_ONLY = frozenset(
    name.lower()
    for name in (
        DEADLINE,
        EXPECTED_SERVER,
        STAGE,
        KV_SOURCE,
        KV_HOLD,
        "X-Request-Priority",
        "X-Expected-Version",
        "X-Pin-Ms",
        "X-Kv-Backup",
        KV_FETCH,
    )
)
# RFC 9110, section 7.6.1, and the framing headers that each hop writes itself.
ONE_HOP = frozenset(
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
# A caller that names no deadline still gets an answer in a bounded time.
DEFAULT_DEADLINE_MS = 30_000.0


def _one_hop_names(headers: CIMultiDictProxy[str]) -> frozenset[str]:
    named = {
        name.strip().lower()
        for value in headers.getall("Connection", ())
        for name in value.split(",")
    }
    return ONE_HOP | named


def forwardable(headers: CIMultiDictProxy[str], dropped: frozenset[str]) -> CIMultiDict[str]:
    """Returns the headers that concern more than one connection, without ``dropped``."""
    skipped = _one_hop_names(headers) | dropped
    kept: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        if name.lower() not in skipped:
            kept.add(name, value)
    return kept


def _whole_number(text: str | None) -> int | None:
    if text is None or not text.strip().isdigit():
        return None
    return int(text)


def _token_counts(headers: CIMultiDictProxy[str]) -> TokenCounts | None:
    prompt, _, output = headers.get(TOKEN_COUNTS, "").partition(",")
    prompt_tokens, max_output = _whole_number(prompt), _whole_number(output)
    if prompt_tokens is None or max_output is None:
        return None
    return TokenCounts(prompt_tokens, max_output, _whole_number(headers.get(LENGTH_HINT)))


def _last_part(headers: CIMultiDictProxy[str]) -> PromptPartId | None:
    last = headers.get(PROMPT_PARTS, "").rpartition(",")[2]
    part = last.partition(":")[0].strip().lower()
    return PromptPartId(part) if part else None


def decode_request(
    method: str,
    path: str,
    headers: CIMultiDictProxy[str],
    body: bytes,
    received_ms: float,
) -> ClientRequest:
    """Returns a request that a caller sent; unusable optional headers count as absent."""
    deadline_ms = _whole_number(headers.get(DEADLINE))
    return ClientRequest(
        request_id=RequestId(headers.get(REQUEST_ID, "")),
        method=method,
        host=headers.get("Host", ""),
        path=path,
        headers=forwardable(headers, SYSTEM_ONLY),
        body=body,
        received_ms=received_ms,
        deadline_ms=DEFAULT_DEADLINE_MS if deadline_ms is None else float(deadline_ms),
        tokens=_token_counts(headers),
        prompt_part=_last_part(headers),
        resume_after=_whole_number(headers.get(RESUME_AFTER)),
    )


def encode_request(
    request: ClientRequest, server: ServerId, dispatch: Dispatch
) -> CIMultiDict[str]:
    """Returns the headers with which a request goes to a backend server."""
    headers = request.headers.copy()
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
    return headers
