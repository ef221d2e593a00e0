"""Composition of a stand-in engine."""

from __future__ import annotations

from aiohttp import web

from medlarvale.clock import Clock, SystemClock
from medlarvale.ids import new_incarnation
from medlarvale.standins.engine_app import EngineApp
from medlarvale.standins.engine_core import EngineCore, EngineSettings
from medlarvale.standins.engine_faults import FaultState
from medlarvale.standins.serving import Address, serve_until_stopped


def build_engine(settings: EngineSettings, clock: Clock | None = None) -> web.Application:
    """Returns the application of an engine; its epoch is drawn from the clock."""
    used_clock = clock or SystemClock()
    epoch = new_incarnation(used_clock.wall_ms())
    core = EngineCore(settings, used_clock, FaultState(settings.poison_word), epoch)
    return EngineApp(core).build()


async def run_engine(settings: EngineSettings, address: Address) -> None:
    """Serves an engine until SIGTERM or SIGINT."""
    await serve_until_stopped(build_engine(settings), address, settings.server)
