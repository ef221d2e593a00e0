"""Tasks that nothing waits for."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Coroutine
from typing import Any, TypeVar

ResultT = TypeVar("ResultT")

# Time between two cancellations of a task that goes on.
CANCEL_PERIOD_S = 0.05


class BackgroundTasks:
    """Keeps references to background tasks, because asyncio itself keeps only weak ones."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, coroutine: Coroutine[Any, Any, ResultT]) -> asyncio.Task[ResultT]:
        """Starts a task and returns it."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def finish(self, timeout_ms: float) -> None:
        """Waits for the tasks in progress and cancels those that take longer."""
        if not self._tasks:
            return
        _, late = await asyncio.wait(self._tasks, timeout=timeout_ms / 1000.0)
        for task in late:
            task.cancel()


async def end_tasks(tasks: Collection[asyncio.Task[Any]]) -> None:
    """Cancels tasks until they have ended.

    aiohttp takes a cancellation that arrives together with a timeout of its own for that timeout,
    so that a task that goes on after timeouts may need more than one.
    """
    pending = {task for task in tasks if not task.done()}
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_PERIOD_S)
