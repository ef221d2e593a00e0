"""The stand-ins as processes, with the faults that end or block one."""

import asyncio
import json
import signal
import sys
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from tempfile import TemporaryDirectory

import aiohttp

from medlarvale.standins.engine_faults import CRASH_STATUS
from medlarvale.standins.engine_model import tokenize
from tests.standins.running import EVENT_TIMEOUT_S, Client, prefill_body

ENGINE = "engine --server e1 --service slidsk-llm --role prefill --model slidsk"
PLAIN = "plain --server p1 --service udlaan-app"


class Process(Client):
    """A stand-in process and its client."""

    process: asyncio.subprocess.Process

    async def exit_status(self) -> int:
        """Waits for the process to end."""
        return await asyncio.wait_for(self.process.wait(), EVENT_TIMEOUT_S)


@asynccontextmanager
async def start(command: str) -> AsyncIterator[Process]:
    """Runs a stand-in until the end of the block, at the address that it prints."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "medlarvale", "standin", *command.split()),
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        assert process.stdout is not None
        line = await asyncio.wait_for(process.stdout.readline(), EVENT_TIMEOUT_S)
        async with aiohttp.ClientSession() as session:
            client = Process(session, json.loads(line)["address"])
            client.process = process
            yield client
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


class StandinProcessTest(unittest.IsolatedAsyncioTestCase):
    async def test_faults_that_end_the_process(self) -> None:
        """Guards against faults that close connections in order or leave the process running."""
        poisoned = prefill_body("r1", tokenize("with venom inside"))
        poison = {"kind": "poison", "word": "venom"}
        cases = (
            (ENGINE, [("/fault", {"kind": "crash"})]),
            (ENGINE, [("/fault", poison), ("/v1/prefill", poisoned)]),
            (ENGINE + " --poison-word venom", [("/v1/prefill", poisoned)]),
            (PLAIN, [("/fault", {"kind": "crash"})]),
            (PLAIN, [("/fault", {"kind": "crash_before"}), ("/charge", {})]),
        )
        for command, calls in cases:
            with self.subTest(command=command, calls=calls):
                async with start(command) as client:
                    for path, body in calls[:-1]:
                        await client.call(path, body)
                    with self.assertRaises(aiohttp.ClientError):
                        await client.call(*calls[-1])
                    self.assertEqual(await client.exit_status(), CRASH_STATUS)

    async def test_pause_answers_late_on_the_same_connection(self) -> None:
        """Guards against a pause that closes connections or answers meanwhile."""
        for command in (ENGINE, PLAIN):
            with self.subTest(command=command):
                async with start(command) as client:
                    start_s = asyncio.get_running_loop().time()
                    await client.call("/fault", {"kind": "pause", "duration_ms": 400})
                    # The pause begins shortly after its answer, so one early answer may pass.
                    for _ in range(1_000):
                        await client.get("/v1/load")
                        elapsed_s = asyncio.get_running_loop().time() - start_s
                        if elapsed_s >= 0.4:
                            break
                        self.assertLess(elapsed_s, 0.2)

    async def test_sigterm_ends_the_process(self) -> None:
        """Guards against stand-ins that a test has to kill."""
        for command in (ENGINE, PLAIN, "link --target 127.0.0.1:1"):
            with self.subTest(command=command):
                async with start(command) as client:
                    client.process.send_signal(signal.SIGTERM)
                    self.assertEqual(await client.exit_status(), 0)

    async def test_run_before_a_crash_is_known_after_restart(self) -> None:
        """Guards against a double run across a crash that the tests could not see."""
        with TemporaryDirectory() as directory:
            command = f"{PLAIN} --runs-file {Path(directory) / 'runs'}"
            async with start(command) as client:
                await client.call("/fault", {"kind": "crash_after"})
                with self.assertRaises(aiohttp.ClientError):
                    async with client.post("/charge", {}, **{"Idempotency-Key": "k1"}):
                        pass
                self.assertEqual(await client.exit_status(), CRASH_STATUS)
            async with start(command) as client:
                self.assertEqual((await client.get("/test/runs"))["runs"], {"k1": 1})
