"""The end of one stream, and what shows that nothing is missing before it."""

from __future__ import annotations

from collections.abc import Callable

from medlarvale.forwarding.answer_ends import MAX_UNANSWERED, EndEvidence, still_serves
from medlarvale.forwarding.context import ForwardingContext
from medlarvale.forwarding.guarded_run import GuardedRun
from medlarvale.forwarding.servers import ServerLoad
from medlarvale.http_bodies import BodyFraming
from medlarvale.scheduling.retry_budget import RetryBudget


class StreamEnd:
    """Judges the ends of a stream's runs.

    An end without framing is unproven until a continuation after the last event ends empty. If none
    is possible, or the ends of the engine's software have been right so far, it is enough that the
    engine is still there.

    Attributes:
        evidence: what shows that the stream is whole; None while nothing does.

    Args:
        context: shared dependencies.
        guarded: gets the engines that are gone.
        budget: pays for continuations.
        can_resume: returns whether the stream may run once more.
    """

    def __init__(
        self,
        context: ForwardingContext,
        guarded: GuardedRun,
        budget: RetryBudget,
        can_resume: Callable[[], bool],
    ) -> None:
        self._context = context
        self._guarded = guarded
        self._budget = budget
        self._can_resume = can_resume
        self.evidence: EndEvidence | None = None
        # Engine that ended its connection after the last event, while that end is unproven.
        self._ended_by: ServerLoad | None = None
        self._was_alive = False
        # Whether the stream went on after such an end of an engine that was still there.
        self._was_early = False

    @property
    def is_unproven(self) -> bool:
        """Whether the stream may have ended with its last event."""
        return self._ended_by is not None

    @property
    def is_likely(self) -> bool:
        """Whether the stream has an unproven end of an engine that was still there."""
        return self._ended_by is not None and self._was_alive

    def is_of(self, load: ServerLoad) -> bool:
        """Returns whether the unproven end is that of an engine."""
        return self._ended_by is load

    def note_event(self) -> None:
        """Records an event, which shows that an unproven end before it was none."""
        if self._ended_by is not None:
            if self._was_alive:
                self._context.connection_ends.note(self._ended_by.server, whole=False)
                self._was_early = True
            self._ended_by = None

    async def check(self, load: ServerLoad, framing: BodyFraming, *, empty: bool) -> bool:
        """Returns whether the stream is whole, given that a run of it has ended in order.

        Args:
            load: engine of the run.
            framing: what marked the end of the run's answer.
            empty: whether the run continued the stream and had no events.
        """
        self.evidence = await self._find_evidence(load, framing, empty)
        if self.evidence is None:
            self._ended_by = self._ended_by or load
        elif self._ended_by is not None:
            self._context.connection_ends.note(self._ended_by.server, whole=True)
        return self.evidence is not None

    async def _find_evidence(
        self, load: ServerLoad, framing: BodyFraming, empty: bool
    ) -> EndEvidence | None:
        if framing is not BodyFraming.CLOSE:
            return EndEvidence.CONTINUATION if self.is_unproven else EndEvidence.FRAMING
        serves = await self.still_serves(load)
        if empty:
            return EndEvidence.CONTINUATION if serves else None
        self._was_alive = serves
        if not serves or self._was_early or self._needs_continuation(load):
            return None
        return EndEvidence.SERVER

    def _needs_continuation(self, load: ServerLoad) -> bool:
        ends = self._context.connection_ends
        if not self._can_resume() or ends.are_trusted(load.server):
            return False
        return ends.are_doubted(load.server) or self._budget.has_retry()

    async def is_believed(self) -> bool:
        """Returns whether the stream counts as whole although no continuation could check it."""
        engine = self._ended_by
        if engine is None or self._was_early:
            return False
        if self._context.connection_ends.are_doubted(engine.server):
            return False
        if not await self.still_serves(engine):
            return False
        self.evidence = EndEvidence.SERVER
        return True

    async def still_serves(self, load: ServerLoad) -> bool:
        """Returns whether an engine that has ended its connection is still there."""
        # A continuation is another way to find out.
        max_calls = 1 if self._can_resume() else MAX_UNANSWERED
        now_ms, servers = self._context.clock.now_ms(), self._context.servers
        wants_calls = not servers.waits.left_ms(load.server, now_ms)
        serves = await still_serves(
            self._context.backends,
            load.server,
            max_calls,
            wants_calls=wants_calls,
            leaves=not servers.takes_work(load),
        )
        if not serves:
            self._guarded.note_broken(load.server)
            servers.request_check(load, now_ms)
        return serves
