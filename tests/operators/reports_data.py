"""Example request reports and accounting for tests."""

from typing import Any

from medlarvale.errors import Outcome
from medlarvale.ids import (
    FailureDomain,
    HostId,
    HostIdentity,
    Incarnation,
    PoolName,
    RegionName,
    RequestId,
    ServerId,
    ServiceName,
    WorkspaceId,
)
from medlarvale.operators.accounting import Accounting
from medlarvale.operators.reports import RequestReport

ONE = HostIdentity(HostId("h1"), Incarnation(1))


def report(**changes: Any) -> RequestReport:
    """Returns the report of a request within its targets, with the given fields changed."""
    fields: dict[str, Any] = {
        "request_id": RequestId("r"),
        "service": ServiceName("redacteur"),
        "workspace": WorkspaceId("w1"),
        "failure_domain": FailureDomain("armor"),
        "outcome": Outcome.ANSWERED,
        "within_targets": True,
        "ttft_ms": 400.0,
        "tbt_p95_ms": 50.0,
        "prefill_ms": 100.0,
        "servers": [ServerId("p1"), ServerId("d1")],
    }
    return RequestReport(**(fields | changes))


def new_accounting(clock: Any) -> Accounting:
    """Returns accounting for one region; the first letter of a server's name gives its pool."""
    return Accounting(
        clock,
        lambda _domain: RegionName("bretagne"),
        lambda server: PoolName({"p": "prefill", "d": "decode"}[server[0]]),
    )
