"""Runs the script of a case and returns its exit status."""

from __future__ import annotations

import asyncio
import os
import signal
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.standins import Record

# Environment variable that keeps the settings and the logs of the machines in a folder.
LOGS_VARIABLE = "REVIEW_LOGS"
# Exit status of a case that couldn't run.
COULD_NOT_RUN = 2


def has_trouble() -> bool:
    """Returns whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(play: Callable[[Record, Path], Awaitable[int]], case_file: str) -> int:
    """Plays a case in a temporary folder.

    Args:
        play: gets the record and the folder; returns the exit status.
        case_file: the script, next to which ``record.txt`` is written.
    """
    record = Record(Path(case_file).resolve().parent / "record.txt")
    try:
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(os.environ.get(LOGS_VARIABLE, temporary))
            return asyncio.run(_until_terminated(play(record, folder)))
    except BaseException:
        record.note(traceback.format_exc())
        return COULD_NOT_RUN
    finally:
        record.write()


async def _until_terminated(played: Awaitable[int]) -> int:
    """Plays a case; SIGTERM ends it, and with it all processes that it has started."""
    task = asyncio.ensure_future(played)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task
