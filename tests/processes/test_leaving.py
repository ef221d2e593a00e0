"""Planned leaving of backend servers and entry hosts."""

from __future__ import annotations

import asyncio
import signal

from medlarvale.demo import new_booking_key
from scripts.deployment import Node, post
from tests.processes.support import BookingAnswer, ProcessTestCase, expected_text

LEAVING_BOUND_MS = 3_000.0  # sentence 6 of docs/design.md, section 1.2
AFTER_BOUND_S = 4.0
ANSWER_TOKENS = 120
GRACE_MS = 1_000


class LoadGenerator:
    """Callers that send lookups, bookings and prompts until they are stopped."""

    def __init__(self, test: ProcessTestCase, hosts: list[Node]) -> None:
        self.test = test
        self.hosts = hosts
        self.answers_by_key: dict[str, list[BookingAnswer]] = {}
        self.failures: list[str] = []
        self.answers = 0
        self.stopped = False

    async def run(self) -> None:
        """Runs the callers; ``hosts`` may change during the run."""
        callers = [self._chat, self._chat, self._chat, self._book, self._book, self._lookup]
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
            self.failures.append(f"chat at {host.name}: {answer.code or answer.text}")

    async def _book(self, host: Node) -> None:
        key = new_booking_key()
        answer = await self.test.book(host, key)
        self.answers_by_key[key] = [answer]
        if answer.outcome == "connection lost":
            self.failures.append(f"booking at {host.name}: {answer.outcome}")

    async def _lookup(self, host: Node) -> None:
        status = await self.test.lookup(host)
        if status != 200:
            self.failures.append(f"lookup at {host.name}: {status}")


class LeavingTest(ProcessTestCase):
    serve_flags = ["--leave-grace-ms", str(GRACE_MS)]

    async def latest_work_ms(self, node: Node, path: str) -> float:
        report = await self.get(f"{node.address}{path}")
        return report["latest_work_after_leaving_ms"] or 0.0

    async def test_a_servers_that_leave_by_their_own_word_get_no_more_work(self) -> None:
        # Guards against work for a leaving server while the host list lags, and against hosts that
        # keep telling each other that a server is leaving after it has returned.
        await self.await_bookings()
        plain = sorted(self.deployment.plain.items())[0][1]
        leaving = [
            (self.engines("prefill")[0], "/test/memory"),
            (self.engines("decode")[0], "/test/memory"),
            (plain, "/test/runs"),
        ]
        load = LoadGenerator(self, self.hosts)
        running = asyncio.ensure_future(load.run())
        for node, _ in leaving:
            await post(self.session, f"{node.address}/test/leaving", {"leaving": True})
        # Work that arrives too late arrives after the bound.
        await asyncio.sleep(AFTER_BOUND_S)
        load.stopped = True
        await running
        for node, path in leaving:
            with self.subTest(node=node.name):
                self.assertLessEqual(await self.latest_work_ms(node, path), LEAVING_BOUND_MS)
        self.assertEqual(load.failures, [])
        self.assertGreater(load.answers, 0)
        for node, _ in leaving:
            await post(self.session, f"{node.address}/test/leaving", {"leaving": False})
        await self.await_work(plain)

    async def test_b_servers_that_leave_by_the_list_get_no_more_work(self) -> None:
        # Guards against hosts that ignore the state of a server in a newer list.
        plain = sorted(self.deployment.plain.items())[1][1]
        leaving = [self.engines("prefill")[1], self.engines("decode")[1], plain]
        await self.await_work(plain)
        load = LoadGenerator(self, self.hosts)
        running = asyncio.ensure_future(load.run())
        await self.shared.run(self.deployment.publish_hosts({node.name for node in leaving}))
        self.addAsyncCleanup(self.shared.run, self.deployment.publish_hosts(set()))
        # Answers that start within the bound end within another second.
        await asyncio.sleep(AFTER_BOUND_S)
        before = [await self.total_work(node) for node in leaving]
        answers = load.answers

        async def more_answers() -> bool:
            return load.answers >= answers + 10

        await self.eventually(more_answers)
        load.stopped = True
        await running
        self.assertEqual([await self.total_work(node) for node in leaving], before)
        self.assertEqual(load.failures, [])

    async def total_work(self, node: Node) -> float:
        """Returns a total that increases whenever a server does work."""
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
            before = await self.total_work(plain)

            async def works(host: Node = host, before: float = before) -> bool:
                await asyncio.gather(*(self.lookup(host) for _ in range(8)))
                return await self.total_work(plain) > before

            await self.eventually(works)

    async def test_c_planned_stops_in_turn_cut_off_nothing(self) -> None:
        # Guards against a rolling restart that interrupts requests, or loses or repeats bookings.
        await self.await_bookings()
        load = LoadGenerator(self, list(self.hosts))
        running = asyncio.ensure_future(load.run())
        for name in sorted(self.deployment.entry_hosts):
            leaving = self.deployment.entry_hosts[name]
            prompt = self.prompt(100)
            stream = await self.start_chat(leaving, prompt, 400)
            leaving.signal(signal.SIGTERM)
            # Callers are notified within the grace time and are still served until then.
            await self.assert_chat(leaving, self.prompt(100), 20)
            load.hosts.remove(leaving)
            self.assert_complete(await stream, prompt, 400)
            await self.shared.run(leaving.wait())
            node = await self.shared.run(self.deployment.start_entry_host(name))
            await self.shared.run(self.deployment.await_ready(node))
            load.hosts.append(node)
        load.stopped = True
        await running
        self.assertEqual(load.failures, [])
        self.assertGreater(load.answers, 0)
        await self.assert_outcomes_match_runs(load.answers_by_key)
        runs = await self.count_runs()
        lost = [
            key
            for key, (a,) in load.answers_by_key.items()
            if a.outcome == "answered" and not runs[key]
        ]
        self.assertEqual(lost, [])
        answers = [answer for (answer,) in load.answers_by_key.values()]
        self.assertEqual([answer for answer in answers if answer.outcome != "answered"], [])
