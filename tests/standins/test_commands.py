"""Stand-ins as processes, and faults that end or block them."""

import asyncio
import json
import signal
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

import aiohttp

from medlarvale.standins.engine_faults import CRASH_STATUS
from medlarvale.standins.engine_model import tokenize
from tests.standins.support import EVENT_TIMEOUT_S, Client, StandinTestCase, prefill_body

ENGINE = "engine --server e1 --service slidsk-llm --role prefill --model slidsk"
PLAIN = "plain --server p1 --service udlaan-app"


class StandinProcessTest(StandinTestCase):
    async def start_process(self, command: str) -> tuple[Client, asyncio.subprocess.Process]:
        """Starts a stand-in for the test and returns a client for the address that it prints."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "medlarvale", "standin", *command.split()),
            stdout=asyncio.subprocess.PIPE,
        )
        self.addAsyncCleanup(self.end_process, process)
        line = await asyncio.wait_for(process.stdout.readline(), EVENT_TIMEOUT_S)
        session = await self.enterAsyncContext(aiohttp.ClientSession())
        return Client(session, json.loads(line)["address"]), process

    async def end_process(self, process: asyncio.subprocess.Process) -> None:
        if process.returncode is None:
            process.kill()
        await process.wait()

    async def assert_exits(self, process: asyncio.subprocess.Process, status: int) -> None:
        self.assertEqual(await asyncio.wait_for(process.wait(), EVENT_TIMEOUT_S), status)

    async def test_faults_that_end_the_process(self) -> None:
        """Guards against faults that close connections gracefully or leave the process running."""
        prefill = ("/v1/prefill", prefill_body(tokenize("with venom inside")))
        cases = (
            (ENGINE, [("/fault", {"kind": "crash"})]),
            (ENGINE, [("/fault", {"kind": "poison", "word": "venom"}), prefill]),
            (ENGINE + " --poison-word venom", [prefill]),
            (PLAIN, [("/fault", {"kind": "crash"})]),
            (PLAIN, [("/fault", {"kind": "crash_before"}), ("/charge", {})]),
        )
        for command, calls in cases:
            with self.subTest(command=command, calls=calls):
                client, process = await self.start_process(command)
                for call in calls[:-1]:
                    await client.call(*call)
                with self.assertRaises(aiohttp.ClientError):
                    await client.call(*calls[-1])
                await self.assert_exits(process, CRASH_STATUS)

    async def test_pause_answers_late_on_the_same_connection(self) -> None:
        """Guards against a pause during which connections are closed or calls are answered."""
        for command in (ENGINE, PLAIN):
            with self.subTest(command=command):
                client, _process = await self.start_process(command)
                loop = asyncio.get_running_loop()
                await client.call("/fault", {"kind": "pause", "duration_ms": 400})
                longest_s, end_s = 0.0, loop.time() + 0.4
                # The pause begins shortly after the fault call is answered; until then calls are
                # answered at once.
                while (start_s := loop.time()) < end_s:
                    await client.get("/v1/load")
                    longest_s = max(longest_s, loop.time() - start_s)
                self.assertGreater(longest_s, 0.3)

    async def test_sigterm_ends_the_process(self) -> None:
        """Guards against stand-ins that do not stop on SIGTERM."""
        for command in (ENGINE, PLAIN, "link --target 127.0.0.1:1"):
            with self.subTest(command=command):
                _client, process = await self.start_process(command)
                process.send_signal(signal.SIGTERM)
                await self.assert_exits(process, 0)

    async def test_run_before_a_crash_is_counted_after_restart(self) -> None:
        """Guards against a lost run count that would hide a second run after a crash."""
        with TemporaryDirectory() as directory:
            command = f"{PLAIN} --runs-file {Path(directory) / 'runs'}"
            client, process = await self.start_process(command)
            await client.call("/fault", {"kind": "crash_after"})
            with self.assertRaises(aiohttp.ClientError):
                await client.post("/charge", {}, **{"Idempotency-Key": "k1"})
            await self.assert_exits(process, CRASH_STATUS)
            client, _process = await self.start_process(command)
            self.assertEqual((await client.get("/test/runs"))["runs"], {"k1": 1})
