"""Fake dependencies of the request paths, for the tests of completions, callers and plain."""

from __future__ import annotations

import hashlib

from medlarvale.clock import Clock
from medlarvale.completions.cleanup import EngineCleanup
from medlarvale.completions.dependencies import RequestPathDependencies
from medlarvale.completions.engine_client import EngineClient
from medlarvale.completions.request import ModelRequest
from medlarvale.errors import MedlarvaleError, Outcome
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
from medlarvale.membership.servers import BackendServer, ServerDirectory
from medlarvale.operators.reports import RequestReport
from medlarvale.scheduling.messages import Placed, Progress, Release, Reserve, WorkClass
from medlarvale.settings.schema import DEFAULT_VALUES, PoolRole, SettingsTree
from medlarvale.tracing import Tracing

REGION = RegionName("dk-east")
DOMAIN = FailureDomain("east-1")
MODEL_SERVICE = ServiceName("slidsk-llm")
PLAIN_SERVICE = ServiceName("udlaan-app")
OWNER = HostIdentity(HostId("entry-1"), Incarnation(7))
API_KEY = "key-of-breizh"
RIVAL_KEY = "key-of-ventilo"

TREE = SettingsTree.model_validate_json(
    """{
    "services": {
        "slidsk-llm": {"kind": "model", "model": "slidsk", "pools": {}},
        "redacteur": {"kind": "model", "model": "redacteur", "pools": {}},
        "udlaan-app": {"kind": "plain", "retry_policy": "lookups", "pools": {}}
    },
    "retry_policies": {"lookups": {"rules": [
        {"path_prefix": "/stock/reserve", "repeat": "at_most_once"},
        {"methods": ["POST"], "path_prefix": "/stock/search", "repeat": "freely"},
        {"methods": ["GET"], "path_prefix": "/stock", "repeat": "freely"}
    ]}},
    "workspaces": {
        "glatfore": {"services": ["slidsk-llm", "udlaan-app"]},
        "ventilo": {"services": ["redacteur"], "api_key_sha256": ["RIVAL"]},
        "breizh": {"services": ["slidsk-llm"], "api_key_sha256": ["OWN"]}
    },
    "regions": {}
}""".replace("RIVAL", hashlib.sha256(RIVAL_KEY.encode()).hexdigest()).replace(
        "OWN", hashlib.sha256(API_KEY.encode()).hexdigest()
    )
)


class FakeSettings:
    """Settings with one tree and the same values on all branches."""

    def __init__(self, **values: int) -> None:
        self.values = values

    def tree(self) -> SettingsTree:
        return TREE

    def value(
        self,
        name: str,
        region: RegionName,
        failure_domain: FailureDomain,
        service: ServiceName | None = None,
        pool: PoolName | None = None,
    ) -> int:
        return self.values.get(name, getattr(DEFAULT_VALUES, name))


class OverloadedError(MedlarvaleError):
    """Refusal by the scheduler."""

    code = "overloaded"
    outcome = Outcome.NOT_RUN
    http_status = 429


class FakePlacement:
    """Places each attempt on the first engines that are not excluded."""

    def __init__(self, directory: ServerDirectory) -> None:
        self.directory = directory
        self.refuse_from_attempt = 1_000
        self.reserved: list[Reserve] = []
        self.reported: list[Progress] = []
        self.released: list[Release] = []

    async def reserve(self, request: Reserve) -> Placed:
        self.reserved.append(request)
        if request.attempt >= self.refuse_from_attempt:
            raise OverloadedError(retry_after_ms=1_500)
        prefill, decode = (
            next(
                server.server
                for server in self.directory.all_servers()
                if server.role is role and server.server not in request.excluded
            )
            for role in (PoolRole.PREFILL, PoolRole.DECODE)
        )
        return Placed(request.request_id, request.attempt, prefill, decode, 2)

    def report(self, progress: Progress) -> None:
        self.reported.append(progress)

    def release(self, release: Release) -> None:
        self.released.append(release)


class FakeGuard:
    """Admits every request and records which servers ran it."""

    def __init__(self) -> None:
        self.running: list[ServerId] = []
        self.lost: list[ServerId] = []
        self.admitted = 0
        self.ends: list[bool] = []

    async def admit(self, fingerprint: int) -> bool:
        self.admitted += 1
        return False

    def ended(self, fingerprint: int, *, answered: bool) -> None:
        self.ends.append(answered)

    def started(self, fingerprint: int, server: ServerId) -> None:
        self.running.append(server)

    def finished(self, fingerprint: int, server: ServerId, *, server_lost: bool) -> None:
        self.running.remove(server)
        if server_lost:
            self.lost.append(server)


class FakeObserver:
    """Collects the reports of finished requests."""

    def __init__(self) -> None:
        self.reports: list[RequestReport] = []

    def request_finished(self, report: RequestReport) -> None:
        self.reports.append(report)


def server(name: str, role: PoolRole, service: ServiceName, address: str = "") -> BackendServer:
    address = address or f"http://{name}"
    return BackendServer(ServerId(name), address, service, PoolName(role.value), role, DOMAIN)


def engine_directory(per_role: int = 3) -> ServerDirectory:
    """Returns a directory with prefill engines p1, p2, ... and decode engines d1, d2, ..."""
    directory = ServerDirectory()
    directory.replace(
        server(f"{role.value[0]}{number}", role, MODEL_SERVICE)
        for role in (PoolRole.PREFILL, PoolRole.DECODE)
        for number in range(1, per_role + 1)
    )
    return directory


class RequestPath:
    """Dependencies of a request path, with fakes for its collaborators."""

    def __init__(
        self, engines: EngineClient, clock: Clock, settings: FakeSettings | None = None
    ) -> None:
        self.directory = engine_directory()
        self.placement = FakePlacement(self.directory)
        self.guard = FakeGuard()
        self.observer = FakeObserver()
        self.tracing = Tracing("entry-1")
        cleanup = EngineCleanup(engines, clock)
        environment = OWNER, REGION, DOMAIN, clock, settings or FakeSettings()
        collaborators = self.placement, self.directory, engines, cleanup, self.guard, self.observer
        self.dependencies = RequestPathDependencies(
            *environment, *collaborators, self.tracing.tracer
        )


def model_request(**changes: object) -> ModelRequest:
    fields: dict[str, object] = {
        "request_id": RequestId("r1"),
        "service": MODEL_SERVICE,
        "model": "slidsk",
        "workspace": WorkspaceId("glatfore"),
        "work_class": WorkClass.LIVE,
        "prompt_tokens": [11, 12, 13],
        "max_tokens": 20,
        "expected_output_tokens": 20,
        "deadline_ms": 60_000,
        "first_token_deadline_ms": 1_900,
        "fingerprint": 99,
    }
    return ModelRequest(**{**fields, **changes})  # type: ignore[arg-type]
