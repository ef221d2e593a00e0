"""Configurations with workspaces, and the decision on a request, for tests."""

from __future__ import annotations

from medlarvale.access.confirmation import ConfigConfirmation
from medlarvale.access.gate import AccessGate
from medlarvale.clock import ManualClock
from medlarvale.forwarding.errors import ForwardingError
from medlarvale.forwarding.messages import ClientRequest, Route, RouteTable, Workspace
from medlarvale.ids import KeyDigest, WorkspaceId
from medlarvale.platform.entries import key_digest
from tests.forwarding.fakes import make_request, make_route, make_table

REVOKE_MS = 5_000.0
KNOWN, OTHER, UNKNOWN = map(key_digest, ("k7b2", "o1", "never"))
WORKSPACES = (
    Workspace(WorkspaceId("hule930"), (key_digest("asnm"), KNOWN), 0),
    Workspace(WorkspaceId("other"), (OTHER, KNOWN)),
)
ROUTE, PUBLIC = make_route(priority=3), make_route("p", priority=3, public=True)
ACCEPTED = "accepted"
REPLACED = "the configuration may have been replaced"
MAY_LIST = "a newer configuration may list the API key or make the route public"


def keyed_table(version: int = 5, workspaces: tuple[Workspace, ...] = WORKSPACES) -> RouteTable:
    return make_table(ROUTE, version=version, workspaces=workspaces)


def keyed_request(digest: KeyDigest | None) -> ClientRequest:
    request = make_request()
    request.key_digest = digest
    return request


def decide(
    confirmation: ConfigConfirmation,
    clock: ManualClock,
    request: ClientRequest,
    route: Route = ROUTE,
    table: RouteTable | None = None,
) -> tuple[str, int]:
    """Returns the reason and the status of a decision; 200 if the request is accepted."""
    try:
        AccessGate(confirmation, clock).admit(request, route, table or keyed_table())
    except ForwardingError as error:
        if error.http_status == 503:
            assert error.retry_after_ms is not None and error.retry_after_ms <= 500
        assert error.outcome.value == "not_run"
        return error.message, error.http_status
    return ACCEPTED, 200
