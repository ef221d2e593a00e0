"""Builds and runs a stand-in engine.

Where the protocol in docs/design.md (section 3.1) leaves the behaviour open, the stand-in does the
following:

* ``prompt_tokens`` is always the original prompt. A restart after n streamed tokens sends these n
  tokens as ``generated_tokens``; they fill the KV cache but do not change the answer.
* ``position`` and ``max_tokens`` count from the start of the whole answer in every attempt, so a
  restart sends the same ``max_tokens``. A decode may start at any position up to n + 1, which is
  the position after ``first_token``.
* A call with a newer attempt releases the older attempts of its request; later calls with an older
  attempt are refused.
* A KV cache can be pulled once. It does not expire during a transfer; after a failed transfer its
  expiry time starts again.
* A stream ends when its connection closes. A resume call takes over a stream whose connection is
  still open, for example one that is interrupted by a network partition.
* A decode that needs more KV blocks than it holds allocates further blocks, and waits while none
  are free.
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
    """Returns the application of an engine, with an epoch derived from the clock."""
    used_clock = clock or SystemClock()
    epoch = new_incarnation(used_clock.wall_ms())
    core = EngineCore(settings, used_clock, FaultState(settings.poison_word), epoch)
    return EngineApp(core).build()


async def run_engine(settings: EngineSettings, address: Address) -> None:
    """Serves an engine until SIGTERM or SIGINT."""
    await serve_until_stopped(build_engine(settings), address, settings.server)
