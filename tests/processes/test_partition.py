"""An entry host that is partitioned from its peers, and forged frames on the peer port."""

from __future__ import annotations

import asyncio
import os
import time

import msgspec
import pynng

from medlarvale.demo import new_booking_key
from medlarvale.ids import HostId, HostIdentity, Incarnation
from medlarvale.membership.messages import Heartbeat, HostState
from medlarvale.peers.auth import Frame, FrameKind, SharedKeys
from medlarvale.peers.transport import MessageCodec
from scripts.deployment import Node
from tests.processes.support import ProcessTestCase

BOOKING_DEADLINE_MS = 1_500
# Leases of an isolated host end within this time (lease time plus clock bound).
LEASES_ENDED_S = 1.5
BOOKINGS = 8


class PartitionTest(ProcessTestCase):
    linked_host = True

    @property
    def isolated_host(self) -> Node:
        return next(host for host in self.hosts if host.name.endswith("-1"))

    async def test_a_host_that_is_cut_off_serves_all_but_bookings(self) -> None:
        # Guards against a minority that runs bookings, or reports a booking as "not run" that may
        # still run.
        await self.await_bookings()
        isolated = self.isolated_host
        others = [host for host in self.hosts if host is not isolated]
        running = [new_booking_key() for _ in range(BOOKINGS)]
        calls = [
            asyncio.ensure_future(self.book(isolated, key, BOOKING_DEADLINE_MS)) for key in running
        ]
        await self.shared.run(self.deployment.set_links("drop"))
        self.addAsyncCleanup(self.shared.run, self.deployment.set_links("pass"))
        isolated_s = time.monotonic()
        answers_by_key = {key: [await call] for key, call in zip(running, calls, strict=True)}

        async def refused() -> bool:
            key = new_booking_key()
            answers_by_key[key] = [await self.book(isolated, key, BOOKING_DEADLINE_MS)]
            return answers_by_key[key][0].outcome == "unknown"

        await self.eventually(refused)
        self.assertLessEqual(
            time.monotonic() - isolated_s, LEASES_ENDED_S + 2 * BOOKING_DEADLINE_MS / 1_000
        )
        keys = [new_booking_key() for _ in range(BOOKINGS)]
        answers = await asyncio.gather(
            *(self.book(isolated, key, BOOKING_DEADLINE_MS) for key in keys)
        )
        self.assertEqual({answer.outcome for answer in answers}, {"unknown"})
        for key, answer in zip(keys, answers, strict=True):
            answers_by_key[key] = [answer]
        self.assertEqual(await self.lookup(isolated), 200)
        await self.assert_chat(isolated, self.prompt(200), 30)
        await self.await_bookings(*others)
        await self.assert_chat(others[0], self.prompt(200), 30)
        await self.shared.run(self.deployment.set_links("pass"))
        await self.await_bookings()
        for key in list(answers_by_key):
            answers_by_key[key].append(await self.book(others[0], key))
            answers_by_key[key].append(await self.book(isolated, key))
        await self.assert_outcomes_match_runs(answers_by_key)
        outcomes = {answer.outcome for answers in answers_by_key.values() for answer in answers}
        self.assertNotIn("not_run", outcomes)
        await self.assert_chat(isolated, self.prompt(200), 30)
        await self.assert_freed(time.monotonic(), 3.0)

    async def test_b_frames_without_the_key_change_nothing(self) -> None:
        # Guards against messages from a sender that knows the frame format but not the key.
        await self.await_bookings()
        victim = next(host for host in self.hosts if host.name.endswith("-2"))
        flags = dict(zip(victim.arguments[1::2], victim.arguments[2::2], strict=False))
        impostor = HostIdentity(HostId(self.hosts[0].name), Incarnation(1 << 62))
        codec = MessageCodec((Heartbeat,))
        # If the victim accepted this heartbeat, it would drop all frames of the impersonated host.
        heartbeat = Heartbeat(impostor.incarnation, HostState.LEAVING, 1_000_000, 1_000_000, [])
        frame = Frame(
            sender=impostor.host,
            incarnation=impostor.incarnation,
            receiver=HostId(victim.name),
            reply_address="tcp://127.0.0.1:1",
            nonce=1,
            in_reply_to=0,
            kind=FrameKind.REQUEST,
            sent_at_ms=time.time_ns() // 1_000_000,
            body=codec.encode(heartbeat),
        )
        payload = msgspec.msgpack.encode(frame)
        forged = [
            SharedKeys({"first": os.urandom(32)}).sign(payload),
            SharedKeys({"second": os.urandom(32)}).sign(payload),
            payload,
            b"",
            b"\xff" * 300,
        ]
        dropped = self.dropped_frames()
        with pynng.Push0() as dialer:
            dialer.dial(f"tcp://{flags['--listen-peer']}", block=True)
            for data in forged:
                await dialer.asend(data)

            async def all_dropped() -> bool:
                return self.dropped_frames() >= dropped + len(forged)

            await self.eventually(all_dropped)
        self.assertNotIn(f"{impostor.host}/{impostor.incarnation}", self.log())
        await self.await_bookings()
        for host in self.hosts:
            await self.assert_chat(host, self.prompt(100), 10)
        states = [line for line in self.log().splitlines() if '"leaving"' in line]
        self.assertEqual(states, [])

    def log(self) -> str:
        return self.shared.log_file.read_text()

    def dropped_frames(self) -> int:
        return self.log().count('"event_number": 3002')
