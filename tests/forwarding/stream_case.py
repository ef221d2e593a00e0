"""Streams of fake engines, whose callers are patient for 3.6 s."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from medlarvale.forwarding.messages import EngineStage, EngineTraits, TokenCounts
from medlarvale.forwarding.rechecks import RecheckTask
from medlarvale.forwarding.streams import StreamForwarder
from tests.forwarding.fakes import (
    LLM,
    TRAITS,
    FakeAnswer,
    FakeBackends,
    FakeSink,
    make_context,
    make_request,
    make_route,
    make_server,
)

# Longer than a third of the callers' patience.
SILENCE_S = 1.5
PATIENCE_S = 3.6


def events(first: int, last: int) -> bytes:
    return b"".join(b"id: %d\ndata: token\n\n" % number for number in range(first, last + 1))


class StreamTestCase(unittest.IsolatedAsyncioTestCase):
    def build(
        self,
        *names: str,
        traits: EngineTraits = TRAITS,
        sink: FakeSink | None = None,
        reserve: float = 10.0,
    ) -> None:
        self.backends, self.sink = FakeBackends(), sink or FakeSink()
        self.context = make_context(
            self.backends,
            *(
                make_server(
                    name,
                    stage=EngineStage.PREFILL if name.startswith("p") else EngineStage.DECODE,
                )
                for name in names
            ),
            reserve=reserve,
        )
        RecheckTask(self.context.servers, self.backends, self.context.clock).start()
        self.forwarder = StreamForwarder(self.context, lambda service: traits)

    def answer_in_turn(self, *answers: FakeAnswer) -> None:
        remaining = list(answers)
        self.backends.script = lambda server, request, dispatch: remaining.pop(0)

    def start(self, **route: Any) -> asyncio.Task[Any]:
        request = make_request(tokens=TokenCounts(5_000, 100, 80))
        return asyncio.create_task(
            self.forwarder.forward(request, make_route(**route), LLM, self.sink)
        )
