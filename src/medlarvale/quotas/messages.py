"""Messages with which hosts ask the owner of a workspace's bucket for quota."""

from __future__ import annotations

from typing import Annotated

import msgspec

from medlarvale.forwarding.messages import Amount, Count
from medlarvale.ids import WorkspaceId

# Workspaces in one message, and waiting requests per workspace; the rest goes into the next one.
MAX_NEEDS = 64
MAX_AMOUNTS = 256


class WorkspaceNeed(msgspec.Struct, frozen=True, array_like=True):
    """What a host asks for one workspace.

    Attributes:
        needed: amounts of the waiting requests, in the order of their arrival.
        advance: amount that may be granted for requests to come.
        returned: amount granted earlier by this owner that was not used.
    """

    workspace: WorkspaceId
    needed: Annotated[tuple[Amount, ...], msgspec.Meta(max_length=MAX_AMOUNTS)]
    advance: Amount = 0.0
    returned: Amount = 0.0


class WorkspaceGrant(msgspec.Struct, frozen=True, array_like=True):
    """What the owner grants for one workspace.

    Attributes:
        retry_after_ms: for each needed amount None if it is granted, and otherwise the time after
            which it may be.
        advance: amount granted for requests to come.
        known: whether the owner's configuration has a quota for the workspace; otherwise nothing is
            granted.
    """

    retry_after_ms: tuple[Count | None, ...]
    advance: Amount = 0.0
    known: bool = True


class QuotaRequest(msgspec.Struct, frozen=True, tag="quota?"):
    """Asks for quota of several workspaces that the receiver owns."""

    needs: Annotated[tuple[WorkspaceNeed, ...], msgspec.Meta(max_length=MAX_NEEDS)]


class QuotaReply(msgspec.Struct, frozen=True, tag="quota"):
    """Grants in the order of the request."""

    grants: tuple[WorkspaceGrant, ...]


QUOTA_MESSAGES = (QuotaRequest, QuotaReply)
