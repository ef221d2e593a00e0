"""Dependencies and time limits of the model request path."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from opentelemetry.trace import Tracer

from medlarvale.clock import Clock
from medlarvale.completions.cleanup import EngineCleanup
from medlarvale.completions.engine_client import EngineClient
from medlarvale.completions.tokens import prefix_hashes
from medlarvale.ids import FailureDomain, HostIdentity, PoolName, RegionName, ServiceName
from medlarvale.membership.servers import ServerDirectory
from medlarvale.operators.reports import RequestObserver
from medlarvale.quarantine.interface import CrashGuard
from medlarvale.scheduling.interface import Placement
from medlarvale.settings.interface import SettingsProvider


@dataclass(frozen=True)
class StallLimits:
    """Limits after which a wait counts as stalled.

    Attributes:
        prefill_min_ms: minimum limit of a prefill; includes time in the engine's own queue.
        transfer_min_ms: minimum limit of a transfer.
        factor: multiple of the expected duration that is added to the minimum limit of a prefill or
            transfer.
        stream_min_ms: minimum limit between two chunks of a decode stream.
        stream_factor: maximum time between chunks, as a multiple of the target time between tokens.
        engine_call_ms: limit of calls that an engine answers immediately.
        caller_ms: a caller that reads nothing for this time is treated as disconnected, because
            its request holds engine memory.
    """

    prefill_min_ms: float = 2_000.0
    transfer_min_ms: float = 500.0
    factor: float = 4.0
    stream_min_ms: float = 1_000.0
    stream_factor: float = 10.0
    engine_call_ms: float = 1_000.0
    caller_ms: float = 10_000.0


@dataclass(frozen=True)
class RequestPathDependencies:
    """Components and settings used by the request path.

    Attributes:
        region: region of this host.
        failure_domain: failure domain of this host.
        hash_prefixes: has to compute the same hashes as the scheduler's prefix index and the
            engines' cache events.
    """

    identity: HostIdentity
    region: RegionName
    failure_domain: FailureDomain
    clock: Clock
    settings: SettingsProvider
    placement: Placement
    directory: ServerDirectory
    engines: EngineClient
    cleanup: EngineCleanup
    guard: CrashGuard
    observer: RequestObserver
    tracer: Tracer
    limits: StallLimits = StallLimits()
    hash_prefixes: Callable[[list[int]], list[int]] = prefix_hashes

    def value(
        self,
        name: str,
        service: ServiceName,
        failure_domain: FailureDomain | None = None,
        pool: PoolName | None = None,
    ) -> int:
        """Returns a setting of a service; the failure domain defaults to this host's."""
        return self.settings.value(
            name, self.region, failure_domain or self.failure_domain, service, pool
        )
