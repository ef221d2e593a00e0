"""Changes while streams run: settings files with SIGHUP, and versions of the configuration."""

from __future__ import annotations

import random
import signal
from collections.abc import Callable, Sequence

import msgspec

from medlarvale.ids import HostId
from medlarvale.platform.standin import StandinPlatform
from scripts.forward_hosts import ForwardHost
from soak.plan import Fault, Trouble
from soak.records import Route

# The stated timeout of the routes is never shorter than this, so that no version ends a request.
TIMEOUTS_MS = (15_000, 20_000)
TARGETS_MS = (400, 900)
# Versions increase in uneven steps.
VERSION_STEPS = (1, 7)
ADDED_KIND = "safe app"
# An address where no host answers.
DEAD_SEED = "127.0.0.1:9"


class Configuration(msgspec.Struct, frozen=True):
    """Version of the configuration.

    Attributes:
        sent_s: when it was sent to the store.
        acked_s: when the store had it.
        has_added: whether it has the route that only some versions have.
    """

    sent_s: float
    acked_s: float
    has_added: bool


class Reloads:
    """Settings files and configurations of a run.

    Args:
        platform: store with the configuration.
        hosts: hosts with their settings files.
        routes: kind and service of the routes that all versions have, by name.
        now_s: returns the time since the start of the run.

    Attributes:
        signals: host and time of each change of a settings file.
        configurations: versions since the start.
    """

    def __init__(
        self,
        platform: StandinPlatform,
        hosts: Sequence[ForwardHost],
        routes: dict[str, str],
        now_s: Callable[[], float],
    ) -> None:
        self._platform = platform
        self._hosts = hosts
        self._routes = routes
        self._now_s = now_s
        self._version = 1
        self.signals: list[tuple[HostId, float]] = []
        self.configurations: list[Configuration] = []

    async def harm(self, fault: Fault) -> None:
        """Changes the settings file of a host, or the configuration of all."""
        draws = random.Random(fault.choice)
        if fault.trouble is Trouble.SETTINGS:
            self._change_settings(self._hosts[fault.host], draws)
        else:
            await self.configure(draws, has_added=draws.random() < 0.5)

    def _change_settings(self, host: ForwardHost, draws: random.Random) -> None:
        seeds = [other.peer_address for other in self._hosts]
        kept = draws.sample(seeds, draws.randint(len(seeds) // 2, len(seeds)))
        host.write_settings(self._platform.address, [*kept, DEAD_SEED])
        # The file may also change without a signal.
        if draws.random() < 0.8:
            host.send_signal(signal.SIGHUP)
        self.signals.append((HostId(host.name), self._now_s()))

    async def configure(self, draws: random.Random, *, has_added: bool) -> None:
        """Sends a new version of the configuration to the store."""
        self._version += draws.randint(*VERSION_STEPS)
        self._platform.timeout_ms = draws.randint(*TIMEOUTS_MS)
        self._platform.target_latency_ms = draws.randint(*TARGETS_MS)
        added = {Route.ADDED.value: ADDED_KIND} if has_added else {}
        sent_s = self._now_s()
        await self._platform.configure(self._version, **self._routes, **added)
        self.configurations.append(Configuration(sent_s, self._now_s(), has_added))
