"""Calls to plain services and their answers."""

from __future__ import annotations

import msgspec

from medlarvale.ids import ServiceName, WorkspaceId


class PlainCall(msgspec.Struct, frozen=True, tag="plain_call"):
    """One HTTP call to a plain service.

    Attributes:
        path: path and query below the service, with a leading slash.
        headers: end-to-end headers; hop-by-hop headers are already removed.
        deadline_ms: time left for the whole call.
    """

    service: ServiceName
    workspace: WorkspaceId
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    deadline_ms: int


class PlainAnswer(msgspec.Struct, frozen=True, tag="plain_answer"):
    """The complete answer of a backend server."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
