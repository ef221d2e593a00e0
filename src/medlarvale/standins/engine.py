"""Composition of a stand-in engine.

What the protocol of docs/design.md (section 3.1) leaves open is settled as follows:

* ``prompt_tokens`` is always the original prompt. A restart after n streamed tokens sends these n
  as ``generated_tokens``; they fill the KV cache but do not change the answer.
* ``position`` and ``max_tokens`` count from the start of the whole answer in every attempt, so a
  restart repeats ``max_tokens``. A decode may start at any position up to n + 1, the one after
  ``first_token``.
* A call of a newer attempt releases the older ones of its request and refuses them from then on.
* A KV cache is pulled once. An open transfer keeps it; after a broken one its time starts anew.
* A stream ends with its connection. Resuming takes over a stream whose connection still stands,
  such as one that a partition has cut.
* A decode that outgrows its pieces takes further ones and waits while none are free.
"""

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
