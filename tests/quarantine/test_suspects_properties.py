"""Property: a request that crashes servers is stopped; requests on the same servers are not."""

from __future__ import annotations

import asyncio
import unittest
from collections import Counter

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from medlarvale.ids import ServerId
from medlarvale.quarantine.errors import RequestQuarantinedError
from medlarvale.quarantine.suspects import QuarantineLimits
from tests.quarantine.cell import Cell

LIMIT = QuarantineLimits().crash_limit
# A few requests, so that they often share servers and are often repeated.
FAULTY = (1, 2)
HARMLESS = (11, 12)
SERVERS = tuple(ServerId(f"e{n}") for n in range(4))
DELIVERY_MODES = st.sampled_from(["deliver", "deliver", "duplicate", "lose", "lose_reply", "delay"])


class Copy:
    """One copy of a request, from its admission to its end."""

    def __init__(self, fingerprint: int, host: int, task: asyncio.Task[bool]) -> None:
        self.fingerprint = fingerprint
        self.host = host
        self.task = task
        self.server: ServerId | None = None
        self.granted = False


class CellMachine(RuleBasedStateMachine):
    """Hosts, servers and callers that repeat the same requests through other hosts."""

    @initialize(lossy=st.booleans())
    def start(self, lossy: bool) -> None:
        self.loop = asyncio.new_event_loop()
        self.lossy = lossy
        self.cell = self.loop.run_until_complete(self._new_cell())
        self.waiting: list[Copy] = []
        self.running: list[Copy] = []
        self.crashes: Counter[int] = Counter()
        self.losses_under: Counter[int] = Counter()
        self.unsuspected: Counter[int] = Counter()
        self.without_permit: Counter[int] = Counter()
        self.uninformed: Counter[int] = Counter()
        self.granted_losses: Counter[int] = Counter()

    async def _new_cell(self) -> Cell:
        cell = Cell()
        await cell.advance_ms(2_500)
        return cell

    def teardown(self) -> None:
        if hasattr(self, "loop"):
            self.loop.run_until_complete(self._check_convergence())
            self.loop.close()

    async def _check_convergence(self) -> None:
        self.cell.delivery_modes.clear()
        while self.cell.delayed:
            await self.cell.deliver_delayed(0)
        self.cell.live.update(self.cell.hosts)
        await self.cell.advance_ms(1_000)
        for fingerprint in FAULTY + HARMLESS:
            known = {guard.suspects.evidence_of(fingerprint) for guard in self.cell.guards}
            assert len(known) == 1, "connected hosts have different evidence"
        for copy in self.waiting:
            copy.task.cancel()
        await self.cell.settle()
        await self.cell.close()

    @rule(fingerprint=st.sampled_from(FAULTY + HARMLESS), host=st.integers(0, 2))
    def send(self, fingerprint: int, host: int) -> None:
        task = self.loop.create_task(self.cell.guards[host].admit(fingerprint))
        self.waiting.append(Copy(fingerprint, host, task))
        self.loop.run_until_complete(self._place())

    @rule(pick=st.integers(0, 99))
    @precondition(lambda self: self._faulty_running())
    def crash(self, pick: int) -> None:
        faulty = self._faulty_running()
        crashing = faulty[pick % len(faulty)]
        self.crashes[crashing.fingerprint] += 1
        lost = [copy for copy in self.running if copy.server == crashing.server]
        self.losses_under.update({copy.fingerprint for copy in lost})
        self.cell.epochs[crashing.server] = self.cell.epochs.get(crashing.server, 0) + 1
        for copy in lost:
            self.granted_losses[copy.fingerprint] += copy.granted
        self.loop.run_until_complete(self._end(lost, server_lost=True, answered=False))

    @rule(fingerprint=st.sampled_from(FAULTY), hosts=st.lists(st.integers(0, 2), max_size=4))
    def keep_sending(self, fingerprint: int, hosts: list[int]) -> None:
        for number, host in enumerate(hosts):
            self.send(fingerprint, host)
            self.advance(250)
            if self._faulty_running():
                self.crash(number)

    @rule(fingerprint=st.sampled_from(FAULTY))
    def send_through_all(self, fingerprint: int) -> None:
        for host in range(3):
            self.send(fingerprint, host)

    @rule(pick=st.integers(0, 99), answered=st.booleans())
    @precondition(lambda self: self.running)
    def leave(self, pick: int, answered: bool) -> None:
        copy = self.running[pick % len(self.running)]
        harmless = copy.fingerprint in HARMLESS
        answered = answered and harmless
        # A host that missed messages may refuse a request because of losses that a complete answer
        # at another host has cleared.
        if answered and not self.cell.lost and len(self.cell.live) == len(self.cell.hosts):
            self.losses_under[copy.fingerprint] = 0
        self.loop.run_until_complete(self._end([copy], server_lost=False, answered=answered))

    @rule(duration_ms=st.sampled_from([250, 1_000, 3_000]))
    def advance(self, duration_ms: int) -> None:
        self.loop.run_until_complete(self._advance(duration_ms))

    @rule(delivery_modes=st.lists(DELIVERY_MODES, min_size=1, max_size=12))
    @precondition(lambda self: self.lossy)
    def disturb(self, delivery_modes: list[str]) -> None:
        self.cell.delivery_modes = delivery_modes

    @rule(index=st.integers(0, 99))
    @precondition(lambda self: self.cell.delayed)
    def deliver(self, index: int) -> None:
        self.loop.run_until_complete(self.cell.deliver_delayed(index))
        self.loop.run_until_complete(self._place())

    @rule(host=st.integers(0, 2))
    def change_view(self, host: int) -> None:
        # A host is always a member of its own view, so the view is never empty.
        self.cell.live = self.cell.live ^ {self.cell.hosts[host]} or self.cell.live
        self.loop.run_until_complete(self._advance(250))

    def _faulty_running(self) -> list[Copy]:
        return [copy for copy in self.running if copy.fingerprint in FAULTY]

    async def _advance(self, duration_ms: int) -> None:
        for _ in range(duration_ms // 250):
            await self.cell.advance_ms(250)
            await self._place()

    async def _place(self) -> None:
        await self.cell.settle()
        for copy in [copy for copy in self.waiting if copy.task.done()]:
            isolated_at = {other.server for other in self.running if other.task.result()}
            try:
                isolate = copy.task.result()
            except RequestQuarantinedError:
                self.waiting.remove(copy)
                self._check_refusal(copy.fingerprint)
                continue
            free = [server for server in SERVERS if not isolate or server not in isolated_at]
            if free:
                self.waiting.remove(copy)
                self._run(copy, isolate, free[copy.fingerprint % len(free)])
        await self.cell.settle()

    def _run(self, copy: Copy, isolate: bool, server: ServerId) -> None:
        fingerprint = copy.fingerprint
        if not isolate:
            self.unsuspected[fingerprint] += 1
        elif copy.task in self.cell.unanswered:
            self.without_permit[fingerprint] += 1
        else:
            copy.granted = True
            known = self.cell.guards[copy.host].suspects.evidence_of(fingerprint).losses
            concurrent = any(
                other.granted and other.fingerprint == fingerprint for other in self.running
            )
            if concurrent or len(known) < self.granted_losses[fingerprint]:
                self.uninformed[fingerprint] += 1
        copy.server = server
        self.running.append(copy)
        self.cell.guards[copy.host].started(fingerprint, server)

    async def _end(self, copies: list[Copy], *, server_lost: bool, answered: bool) -> None:
        for copy in copies:
            self.running.remove(copy)
            guard = self.cell.guards[copy.host]
            assert copy.server is not None
            guard.finished(copy.fingerprint, copy.server, server_lost=server_lost)
            guard.ended(copy.fingerprint, answered=answered)
        await self._place()

    def _check_refusal(self, fingerprint: int) -> None:
        # Counting a repeated message twice would refuse a request after a single loss.
        assert self.losses_under[fingerprint] >= LIMIT, "refused before the limit"

    @invariant()
    def faulty_requests_are_stopped(self) -> None:
        for fingerprint, crashes in getattr(self, "crashes", {}).items():
            bound = (
                LIMIT
                + max(0, self.unsuspected[fingerprint] - 1)
                + self.without_permit[fingerprint]
                + self.uninformed[fingerprint]
            )
            assert crashes <= bound, f"{crashes} servers lost, more than the bound of {bound}"

    @invariant()
    def without_lost_messages_owners_are_informed(self) -> None:
        if getattr(self, "cell", None) is not None and not self.cell.lost:
            assert not self.without_permit
            assert not self.uninformed


class SuspectsProperties(unittest.TestCase):
    def test_faulty_requests_are_stopped_and_others_are_not(self) -> None:
        CellMachine.TestCase().runTest()
