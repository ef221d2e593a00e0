"""Connects the quotas with the requests of callers."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator

from medlarvale.clock import Clock
from medlarvale.errors import MedlarvaleError, Outcome
from medlarvale.forwarding.context import end_ms
from medlarvale.forwarding.fleet import FleetView
from medlarvale.forwarding.follower import StateFollower
from medlarvale.forwarding.messages import ClientRequest, Quota, QuotaUnit, Route, RouteTable
from medlarvale.ids import WorkspaceId
from medlarvale.peers.transport import Transport
from medlarvale.quotas.ownership import QuotaOwners
from medlarvale.quotas.task import QuotaTask


def amount_of(quota: Quota, request: ClientRequest) -> float:
    """Returns what a request counts towards a quota."""
    if quota.unit is QuotaUnit.REQUESTS:
        return 1.0
    if request.tokens is None:
        return float(quota.plain_tokens)
    return float(request.tokens.prompt + request.tokens.max_output)


class RequestCharges:
    """Charges requests of callers to the quotas of their workspaces.

    Args:
        follower: the active configuration.
        view: the hosts of the fleet.
        transport: messages to peers.
        clock: time service.
        rng: spreads the times of refused callers.
        overage: share by which a quota may be exceeded.
    """

    def __init__(
        self,
        follower: StateFollower,
        view: FleetView,
        transport: Transport,
        clock: Clock,
        rng: random.Random,
        overage: float,
    ) -> None:
        self._follower = follower
        self._clock = clock
        self._table: RouteTable | None = None
        self._quotas: dict[WorkspaceId, Quota] = {}
        owners = QuotaOwners(view, clock, overage)
        self.task = QuotaTask(owners, self.find_quota, transport, clock, rng)

    def find_quota(self, workspace: WorkspaceId) -> Quota | None:
        """Returns the quota of a workspace in the active configuration; None without one."""
        index = self._follower.index
        table = index.table if index is not None else None
        if table is not self._table:
            self._table = table
            self._quotas = {
                item.workspace: item.quota
                for item in (table.workspaces or () if table is not None else ())
                if item.quota is not None and item.quota.rate_per_s > 0.0
            }
        return self._quotas.get(workspace)

    def gauges(self) -> dict[str, float]:
        """Returns the gauges of the metrics."""
        return {**self.task.reports.gauges(), "quota_grants": self.task.table.granted}

    @contextlib.asynccontextmanager
    async def charged(self, request: ClientRequest, route: Route) -> AsyncIterator[None]:
        """Takes the quota of a request, and gives it back if the request has not run.

        Raises:
            QuotaExceededError: the quota is used up.
        """
        quota = self.find_quota(request.workspace) if request.workspace is not None else None
        if quota is None or request.workspace is None or request.relayed is not None:
            yield
            return
        left_ms = end_ms(request, route) - self._clock.now_ms()
        charge = await self.task.take(request.workspace, amount_of(quota, request), left_ms)
        try:
            yield
        except (MedlarvaleError, asyncio.CancelledError) as error:
            not_run = isinstance(error, MedlarvaleError) and error.outcome is Outcome.NOT_RUN
            if charge is not None and (not_run or not request.possible_runs):
                self.task.credit(charge)
            raise
