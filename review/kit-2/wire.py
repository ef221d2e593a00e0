"""HTTP/1.1 on asyncio streams, as little of it as the stand-ins need."""

from __future__ import annotations

import asyncio
import json
from typing import Any


class Head:
    """First line and headers of a message; header names are in lower case."""

    def __init__(self, line: str, headers: dict[str, str]) -> None:
        self.line = line
        self.headers = headers


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Returns the next head; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, *fields = data.decode("latin-1").split("\r\n")
    pairs = (field.partition(":") for field in fields if field)
    return Head(line, {name.strip().lower(): value.strip() for name, _, value in pairs})


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Returns a chunked body."""
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    while await reader.readuntil(b"\r\n") != b"\r\n":
        pass
    return body


async def read_request_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Returns the body of a request."""
    if "chunked" in head.headers.get("transfer-encoding", "").lower():
        return await read_chunks(reader)
    return await reader.readexactly(int(head.headers.get("content-length", "0")))


def encode_answer(status: int, body: bytes = b"", **headers: str) -> bytes:
    """Returns an answer with a length."""
    lines = [f"HTTP/1.1 {status} Stand-in", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join((*lines, "", "")).encode() + body


def encode_json(value: Any, status: int = 200, **headers: str) -> bytes:
    """Returns an answer with a JSON body."""
    body = json.dumps(value).encode()
    return encode_answer(status, body, Content_Type="application/json", **headers)
