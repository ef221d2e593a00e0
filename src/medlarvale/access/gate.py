"""Accepts or refuses a request by its API key, before anything is spent on it."""

from __future__ import annotations

from medlarvale.access.confirmation import ConfigConfirmation
from medlarvale.access.errors import ConfigUnconfirmedError, KeyMissingError, KeyUnknownError
from medlarvale.access.index import KeyIndex
from medlarvale.clock import Clock
from medlarvale.forwarding.errors import RelayRefusedError
from medlarvale.forwarding.messages import ClientRequest, Route, RouteTable, Workspace
from medlarvale.ids import ConfigVersion
from medlarvale.logs import Event, log_info, log_warning

# Another host may accept the request at once.
UNCONFIRMED_RETRY_MS = 250


class AccessGate:
    """Finds the workspace of each request.

    Args:
        confirmation: tells whether the configuration is recent.
        clock: time service.
    """

    def __init__(self, confirmation: ConfigConfirmation, clock: Clock) -> None:
        self._confirmation = confirmation
        self._clock = clock
        self._index: KeyIndex | None = None
        # Whether the configuration was recent at the last request with a known key.
        self._was_recent = True

    def admit(self, request: ClientRequest, route: Route, table: RouteTable) -> None:
        """Sets the workspace and the priority of a request, or refuses it.

        Args:
            request: the request; its identity headers are merged with the others if the
                configuration lists no workspaces.
            route: its route.
            table: the newest known configuration.

        Raises:
            ConfigUnconfirmedError: a newer configuration may decide otherwise.
            KeyMissingError: it has no key.
            KeyUnknownError: its key is in no configuration.
            RelayRefusedError: a peer has relayed it without a known key.
        """
        if self._index is None or self._index.table is not table:
            self._index = KeyIndex(table)
        request.priority = route.priority
        if not self._index.needs_keys:
            request.headers.extend(request.identity_headers)
            return
        request.withholds_identity = True
        if route.public:
            return
        workspace = self._find(request, self._index)
        request.workspace = workspace.workspace
        if workspace.priority is not None:
            request.priority = workspace.priority

    def check_missing_route(self, table: RouteTable) -> None:
        """Refuses a request without a route if a newer configuration may have one.

        Raises:
            ConfigUnconfirmedError: if it may.
        """
        recent = self._confirmation.tells_unknown_keys(self._clock.now_ms(), table.version)
        if table.workspaces and not recent:
            raise _unconfirmed("a newer configuration may have a route")

    def _find(self, request: ClientRequest, index: KeyIndex) -> Workspace:
        workspace = index.find(request.key_digest)
        if request.relayed is not None:
            # The peer has checked that its configuration is recent, and this one is as new.
            if workspace is None:
                raise RelayRefusedError(
                    "no workspace has the API key of the relayed request",
                    retry_after_ms=UNCONFIRMED_RETRY_MS,
                )
            return workspace
        now_ms, version = self._clock.now_ms(), index.table.version
        if workspace is not None:
            if self._is_recent(now_ms, version):
                return workspace
            raise _unconfirmed("the configuration may have been replaced")
        if not self._confirmation.tells_unknown_keys(now_ms, version):
            raise _unconfirmed(
                "a newer configuration may list the API key or make the route public"
            )
        if request.key_digest is None:
            raise KeyMissingError("the route needs an API key")
        raise KeyUnknownError("no workspace has the API key")

    def _is_recent(self, now_ms: float, version: ConfigVersion) -> bool:
        is_recent = self._confirmation.accepts_keys(now_ms, version)
        if is_recent != self._was_recent:
            self._was_recent = is_recent
            if is_recent:
                log_info(Event.CONFIG_CONFIRMED, version=version)
            else:
                age_ms = self._confirmation.age_ms(now_ms, version)
                log_warning(Event.CONFIG_UNCONFIRMED, version=version, age_ms=age_ms)
        return is_recent


def _unconfirmed(reason: str) -> ConfigUnconfirmedError:
    return ConfigUnconfirmedError(reason, retry_after_ms=UNCONFIRMED_RETRY_MS)
