"""Fingerprint that identifies repeats of a request that crashes servers."""

from __future__ import annotations

import xxhash

from medlarvale.ids import ServiceName, WorkspaceId


def fingerprint_of(workspace: WorkspaceId, service: ServiceName, *parts: bytes) -> int:
    """Returns the xxh3_64 of workspace, service and ``parts``, each preceded by its length.

    Args:
        parts: the body; for calls to plain services also method and path, because most of those
            calls have no body.
    """
    digest = xxhash.xxh3_64()
    for part in (workspace.encode(), service.encode(), *parts):
        digest.update(len(part).to_bytes(8, "little"))
        digest.update(part)
    return digest.intdigest()
