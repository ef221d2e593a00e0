"""Dependencies of the callers' interface."""

from __future__ import annotations

from dataclasses import dataclass

from aiohttp import web
from opentelemetry.trace import Tracer

from medlarvale.callers.workspaces import WorkspaceDirectory
from medlarvale.clock import Clock
from medlarvale.completions.runner import CompletionRunner
from medlarvale.ids import FailureDomain, RegionName, RequestId, ServiceName
from medlarvale.operators.reports import RequestObserver
from medlarvale.plain.interface import BookingService, PlainDispatcher
from medlarvale.settings.interface import SettingsProvider
from medlarvale.uploads.body_budget import BodyBudget

REQUEST_ID: web.RequestKey[RequestId] = web.RequestKey("request_id", RequestId)


@dataclass(frozen=True)
class CallerDependencies:
    """Components and settings used by the callers' interface.

    Attributes:
        region: region of this host.
        failure_domain: failure domain of this host.
        uploads: bounds the memory of all bodies of callers.
    """

    region: RegionName
    failure_domain: FailureDomain
    clock: Clock
    settings: SettingsProvider
    workspaces: WorkspaceDirectory
    runner: CompletionRunner
    dispatcher: PlainDispatcher
    bookings: BookingService
    observer: RequestObserver
    tracer: Tracer
    uploads: BodyBudget

    def value(self, name: str, service: ServiceName | None = None) -> int:
        """Returns the value of a setting on this host."""
        return self.settings.value(name, self.region, self.failure_domain, service, None)
