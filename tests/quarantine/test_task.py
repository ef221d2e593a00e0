"""Tests of the quarantine tasks of the hosts of a cell."""

import asyncio
import unittest

from medlarvale.errors import Outcome
from medlarvale.ids import HostId, ServerId
from medlarvale.operators.status import collect_status
from medlarvale.quarantine.errors import RequestQuarantinedError
from tests.quarantine.cell import Cell

FAULTY, OTHER = 1, 2


class QuarantineTaskTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cell = Cell()
        await self.cell.advance_ms(2_500)

    async def asyncTearDown(self) -> None:
        await self.cell.close()

    async def lose(self, server: str, *runs: tuple[int, int]) -> None:
        """Runs copies, given as (host, fingerprint), on a server that is then lost."""
        for host, fingerprint in runs:
            await self.admit(host, fingerprint)
            self.cell.guards[host].started(fingerprint, ServerId(server))
        for host, fingerprint in runs:
            self.cell.guards[host].finished(fingerprint, ServerId(server), server_lost=True)
            self.cell.guards[host].ended(fingerprint, answered=False)
        self.cell.epochs[ServerId(server)] = self.cell.epochs.get(ServerId(server), 0) + 1
        await self.cell.advance_ms(250)

    async def admit(self, host: int, fingerprint: int) -> bool:
        task = asyncio.ensure_future(self.cell.guards[host].admit(fingerprint))
        await self.cell.advance_ms(250)
        self.assertTrue(task.done(), "the admission is still waiting")
        return task.result()

    async def test_refused_through_any_host_after_three_losses(self) -> None:
        for host in range(3):
            await self.lose("e1", (host, FAULTY))
        for host in range(3):
            with self.assertRaises(RequestQuarantinedError) as caught:
                await self.admit(host, FAULTY)
            self.assertIs(caught.exception.outcome, Outcome.NOT_RUN)
            self.assertGreater(caught.exception.retry_after_ms or 0, 0)
            status = collect_status(self.cell.hosts[host], [self.cell.guards[host]])
            expected = {"suspect_requests": 1, "quarantined_requests": 1}
            self.assertEqual(status.counts, expected)

    async def test_harmless_request_next_to_two_faulty_ones_is_not_refused(self) -> None:
        # Each faulty request is admitted only once before it is a suspect, so two of them cause at
        # most two losses.
        await self.lose("e1", (0, FAULTY), (0, OTHER))
        await self.lose("e2", (1, 3), (1, OTHER))
        self.assertTrue(await self.admit(2, OTHER))
        self.cell.guards[2].ended(OTHER, answered=True)
        await self.cell.advance_ms(500)
        for host in range(3):
            self.assertFalse(await self.admit(host, OTHER))

    async def test_unharmed_prefill_engine_does_not_clear_a_suspect(self) -> None:
        # A request that crashes decode engines leaves every prefill engine unharmed.
        for _ in range(3):
            await self.admit(0, FAULTY)
            self.cell.guards[0].started(FAULTY, ServerId("p1"))
            self.cell.guards[0].finished(FAULTY, ServerId("p1"), server_lost=False)
            self.cell.guards[0].started(FAULTY, ServerId("e1"))
            self.cell.guards[0].finished(FAULTY, ServerId("e1"), server_lost=True)
            self.cell.guards[0].ended(FAULTY, answered=False)
        with self.assertRaises(RequestQuarantinedError):
            await self.admit(1, FAULTY)

    async def test_second_copy_waits_at_another_host(self) -> None:
        await self.lose("e1", (0, FAULTY))
        self.assertTrue(await self.admit(1, FAULTY))
        second = asyncio.ensure_future(self.cell.guards[2].admit(FAULTY))
        await self.cell.advance_ms(10_000)
        self.assertFalse(second.done())
        self.cell.guards[1].ended(FAULTY, answered=True)
        await self.cell.advance_ms(250)
        self.assertTrue(second.done())

    async def test_unreachable_owner_neither_blocks_suspects_nor_lifts_the_limit(self) -> None:
        # A suspect must neither wait forever for a partitioned owner nor run without a limit.
        for identity in self.cell.hosts:
            self.cell.network.cut(HostId("h0"), identity.host)
        for _ in range(3):
            await self.lose("e1", (0, FAULTY))
            await self.cell.advance_ms(3_000)
        with self.assertRaises(RequestQuarantinedError):
            await self.admit(0, FAULTY)
        self.assertFalse(await self.admit(1, FAULTY))
        self.cell.network.heal()
        await self.cell.advance_ms(500)
        with self.assertRaises(RequestQuarantinedError):
            await self.admit(1, FAULTY)

    async def test_returning_host_receives_the_evidence(self) -> None:
        self.cell.live.discard(self.cell.hosts[2])
        await self.cell.advance_ms(2_500)
        for _ in range(3):
            await self.lose("e1", (0, FAULTY))
        self.cell.live.add(self.cell.hosts[2])
        await self.cell.advance_ms(500)
        with self.assertRaises(RequestQuarantinedError):
            await self.admit(2, FAULTY)
