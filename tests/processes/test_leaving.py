"""Backend servers and entry hosts that leave as planned."""

from __future__ import annotations

import asyncio
import signal

from medlarvale.demo import new_booking_key
from scripts.deployment import Node, post
from tests.processes.support import BookingAnswer, ProcessTestCase, expected_text

LEAVING_BOUND_MS = 3_000.0  # sentence 6 of docs/design.md, section 1.2
BEYOND_BOUND_S = 4.0
ANSWER_TOKENS = 120
GRACE_MS = 1_000


class Load:
    """Callers that send lookups, bookings and prompts until they are told to stop."""

    def __init__(self, test: ProcessTestCase, hosts: list[Node]) -> None:
        self.test = test
        self.hosts = hosts
        self.told: dict[str, list[BookingAnswer]] = {}
        self.faults: list[str] = []
        self.answers = 0
        self.stopped = False

    async def run(self) -> None:
        """Runs the callers; hosts may be taken out of ``hosts`` meanwhile."""
        callers = [self._chat, self._chat, self._chat, self._book, self._book, self._look_up]
        await asyncio.gather(*(self._repeat(caller) for caller in callers))

    async def _repeat(self, caller) -> None:  # type: ignore[no-untyped-def]
        while not self.stopped:
            await caller(self.test.random.choice(self.hosts))
            await asyncio.sleep(0.02)

    async def _chat(self, host: Node) -> None:
        prompt = self.test.prompt(100)
        answer = await self.test.chat(host, prompt, ANSWER_TOKENS)
        self.answers += answer.complete
        if answer.code or answer.text.strip() != expected_text(prompt, ANSWER_TOKENS):
            self.faults.append(f"chat at {host.name}: {answer.code or answer.text}")

    async def _book(self, host: Node) -> None:
        key = new_booking_key()
        answer = await self.test.book(host, key)
        self.told[key] = [answer]
        if answer.outcome == "connection lost":
            self.faults.append(f"booking at {host.name}: {answer.outcome}")

    async def _look_up(self, host: Node) -> None:
        status = await self.test.lookup(host)
        if status != 200:
            self.faults.append(f"lookup at {host.name}: {status}")


class LeavingTest(ProcessTestCase):
    serve_flags = ["--leave-grace-ms", str(GRACE_MS)]

    async def latest_work_ms(self, node: Node, path: str) -> float:
        report = await self.get(f"{node.address}{path}")
        return report["latest_work_after_leaving_ms"] or 0.0

    async def test_a_servers_that_leave_by_their_own_word_get_no_more_work(self) -> None:
        # Guards against work for a leaving server while the host list lags behind, and against
        # hosts that remind each other for ever of a server that has come back.
        await self.await_bookings()
        plain = sorted(self.deployment.plain.items())[0][1]
        leaving = [
            (self.engines("prefill")[0], "/test/memory"),
            (self.engines("decode")[0], "/test/memory"),
            (plain, "/test/runs"),
        ]
        load = Load(self, self.hosts)
        running = asyncio.ensure_future(load.run())
        for node, _ in leaving:
            await post(self.session, f"{node.address}/test/leaving", {"leaving": True})
        # Work that comes too late can only come after the bound.
        await asyncio.sleep(BEYOND_BOUND_S)
        load.stopped = True
        await running
        for node, path in leaving:
            with self.subTest(node=node.name):
                self.assertLessEqual(await self.latest_work_ms(node, path), LEAVING_BOUND_MS)
        self.assertEqual(load.faults, [])
        self.assertGreater(load.answers, 0)
        for node, _ in leaving:
            await post(self.session, f"{node.address}/test/leaving", {"leaving": False})
        await self.await_work(plain)

    async def test_b_servers_that_leave_by_the_list_get_no_more_work(self) -> None:
        # Guards against hosts that never learn of a server's state in a newer list.
        plain = sorted(self.deployment.plain.items())[1][1]
        leaving = [self.engines("prefill")[1], self.engines("decode")[1], plain]
        await self.await_work(plain)
        load = Load(self, self.hosts)
        running = asyncio.ensure_future(load.run())
        await self.shared.run(self.deployment.publish_hosts({node.name for node in leaving}))
        self.addAsyncCleanup(self.shared.run, self.deployment.publish_hosts(set()))
        # Answers that began within the bound end within another second.
        await asyncio.sleep(BEYOND_BOUND_S)
        before = [await self.work_of(node) for node in leaving]
        answers = load.answers

        async def more_answers() -> bool:
            return load.answers >= answers + 10

        await self.eventually(more_answers)
        load.stopped = True
        await running
        self.assertEqual([await self.work_of(node) for node in leaving], before)
        self.assertEqual(load.faults, [])

    async def work_of(self, node: Node) -> float:
        """Returns a total that grows with the work of a server."""
        if node in self.engines("prefill"):
            total: float = (await self.get(f"{node.address}/test/memory"))["prefill_ms"]
        elif node in self.engines("decode"):
            total = (await self.get(f"{node.address}/test/memory"))["tokens_generated"]
        else:
            total = (await self.get(f"{node.address}/test/runs"))["calls"]
        return total

    async def await_work(self, plain: Node) -> None:
        """Waits until each entry host sends work to a plain server."""
        for host in self.hosts:
            before = await self.work_of(plain)

            async def works(host: Node = host, before: float = before) -> bool:
                await asyncio.gather(*(self.lookup(host) for _ in range(8)))
                return await self.work_of(plain) > before

            await self.eventually(works)

    async def test_c_planned_stops_in_turn_cut_off_nothing(self) -> None:
        # Guards against requests cut off, and bookings lost or run twice, by a rolling restart.
        await self.await_bookings()
        load = Load(self, list(self.hosts))
        running = asyncio.ensure_future(load.run())
        for name in sorted(self.deployment.entry_hosts):
            leaving = self.deployment.entry_hosts[name]
            prompt = self.prompt(100)
            stream = await self.start_chat(leaving, prompt, 400)
            leaving.signal(signal.SIGTERM)
            # Its callers learn of it within the grace time, and are still served until then.
            await self.assert_chat(leaving, self.prompt(100), 20)
            load.hosts.remove(leaving)
            self.assert_whole(await stream, prompt, 400)
            await self.shared.run(leaving.wait())
            node = await self.shared.run(self.deployment.start_entry_host(name))
            await self.shared.run(self.deployment.await_ready(node))
            load.hosts.append(node)
        load.stopped = True
        await running
        self.assertEqual(load.faults, [])
        self.assertGreater(load.answers, 0)
        await self.assert_verdicts_true(load.told)
        runs = await self.runs()
        lost = [key for key, (a,) in load.told.items() if a.outcome == "answered" and not runs[key]]
        self.assertEqual(lost, [])
        outcomes = [answers[0].outcome for answers in load.told.values()]
        self.assertEqual([outcome for outcome in outcomes if outcome != "answered"], [])
