"""Measures how long the check of a settings tree blocks the event loop.

The check runs on the event loop and in a thread, for comparison.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from typing import Any

from medlarvale.ids import ConfigVersion
from medlarvale.settings.check import check_text
from medlarvale.settings.source import SourceAnswer
from medlarvale.settings.task import check_in_thread

TREE_BYTES = 900_000
REPEATS = 10


def large_tree() -> bytes:
    """Returns a valid tree of about 0.9 MB that consists mostly of workspaces."""
    desk = {"kind": "plain", "retry_policy": "all", "pools": {"desk": {"role": "plain"}}}
    rules = [{"methods": ["GET"], "repeat": "freely"}]
    workspaces: dict[str, Any] = {}
    tree = {
        "services": {"desk": desk},
        "retry_policies": {"all": {"rules": rules}},
        "workspaces": workspaces,
        "regions": {},
    }
    while len(text := json.dumps(tree).encode()) < TREE_BYTES:
        for number in range(len(workspaces), len(workspaces) + 500):
            digest = f"{number:064x}"
            workspaces[f"w{number}"] = {"services": ["desk"], "api_key_sha256": [digest]}
    return text


async def longest_block_ms(run: Callable[[], Awaitable[object]]) -> float:
    """Returns the longest time during which the event loop ran no other task."""
    longest_s, finished = 0.0, False

    async def measure() -> None:
        nonlocal longest_s
        last_s = time.perf_counter()
        while not finished:
            await asyncio.sleep(0.001)
            now_s = time.perf_counter()
            longest_s, last_s = max(longest_s, now_s - last_s), now_s

    measuring = asyncio.ensure_future(measure())
    await asyncio.sleep(0.01)
    await run()
    finished = True
    await measuring
    return longest_s * 1000.0


async def main() -> None:
    """Prints the longest block of each run, alternately on the event loop and in a thread."""
    text = large_tree()

    async def check_on_loop() -> None:
        check_text(text)

    answer = SourceAnswer(ConfigVersion(1), text)
    on_loop, in_thread = [], []
    for _ in range(REPEATS):
        on_loop.append(await longest_block_ms(check_on_loop))
        in_thread.append(await longest_block_ms(lambda: check_in_thread(answer)))
    print(f"{len(text)} bytes; longest block of the event loop in ms, {REPEATS} runs each, sorted")
    print("on the loop: ", " ".join(f"{value:.0f}" for value in sorted(on_loop)))
    print("in a thread: ", " ".join(f"{value:.0f}" for value in sorted(in_thread)))


if __name__ == "__main__":
    asyncio.run(main())
