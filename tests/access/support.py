"""Configurations with workspaces, and the decision on a request, for tests."""

from __future__ import annotations

from medlarvale.access.confirmation import ConfigConfirmation
from medlarvale.access.gate import AccessGate
from medlarvale.clock import ManualClock
from medlarvale.forwarding.errors import ForwardingError
from medlarvale.forwarding.messages import ClientRequest, Route, RouteTable, Workspace
from medlarvale.ids import WorkspaceId
from medlarvale.platform.entries import key_digest
from tests.forwarding.fakes import make_route, make_table

REVOKE_MS, ACCEPT_MS = 5_000.0, 4_500.0
KNOWN, OTHER, UNKNOWN = map(key_digest, ("k7b2", "o1", "never"))
WORKSPACES = (
    Workspace(WorkspaceId("hule930"), (key_digest("asnm"), KNOWN), 0),
    Workspace(WorkspaceId("other"), (OTHER, KNOWN)),
)
ROUTE, PUBLIC = make_route(priority=3), make_route("p", priority=3, public=True)
ACCEPTED = ("accepted", 200)
REPLACED = ("the configuration may have been replaced", 503)
MAY_LIST = ("a newer configuration may list the API key or make the route public", 503)
NOT_LISTED = ("no workspace has the API key", 401)


def keyed_table(
    version: int = 5, workspaces: tuple[Workspace, ...] | None = WORKSPACES
) -> RouteTable:
    return make_table(ROUTE, version=version, workspaces=workspaces)


def decide(
    confirmation: ConfigConfirmation,
    clock: ManualClock,
    request: ClientRequest,
    route: Route | None = ROUTE,
    table: RouteTable | None = None,
) -> tuple[str, int]:
    """Returns the reason and the status of a decision; 200 if the request is accepted."""
    gate, table = AccessGate(confirmation, clock), table or keyed_table()
    try:
        if route is None:
            gate.check_missing_route(table)
        else:
            gate.admit(request, route, table)
    except ForwardingError as error:
        assert error.outcome.value == "not_run"
        assert error.http_status != 503 or (error.retry_after_ms or 501) <= 500
        return error.message, error.http_status
    return ACCEPTED
