"""Loads files again when they change, so that keys and certificates rotate without a restart."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path

from medlarvale.clock import Clock, Subscription
from medlarvale.errors import MedlarvaleError
from medlarvale.logs import Event, log_info, log_warning

POLL_PERIOD_MS = 1_000.0
Signature = tuple[tuple[int, int, int] | None, ...]


@dataclass(frozen=True)
class WatchedFiles:
    """Files that are loaded together.

    Attributes:
        load: takes the files over; when it raises, what was loaded before stays in use.
    """

    name: str
    paths: tuple[Path, ...]
    load: Callable[[], None]

    def signature(self) -> Signature:
        """Returns what tells one content of the files from another."""
        return tuple(_file_signature(path) for path in self.paths)


def _file_signature(path: Path) -> tuple[int, int, int] | None:
    with contextlib.suppress(OSError):
        found = path.stat()
        return found.st_ino, found.st_mtime_ns, found.st_size
    return None


class FileWatch:
    """Polls files by the timer service.

    Args:
        clock: time service.
        watched: files that are loaded already.
    """

    def __init__(self, clock: Clock, watched: Iterable[WatchedFiles]) -> None:
        self._clock = clock
        # Taken here, since the files may change between their loading and the first poll.
        self._known = [(files, files.signature()) for files in watched]
        self._timer: Subscription | None = None
        self._refused: set[str] = set()

    @property
    def failed_load_count(self) -> int:
        """How many watched files, a pair counting once, are not in use as they are now."""
        return len(self._refused)

    def start(self) -> None:
        """Starts to poll."""
        self._timer = self._clock.every_ms(POLL_PERIOD_MS, self.poll)

    def close(self) -> None:
        """Ends the polling."""
        if self._timer is not None:
            self._timer.cancel()

    def poll(self) -> None:
        """Loads the files that have changed since the last poll."""
        for index, (files, known) in enumerate(self._known):
            signature = files.signature()
            if signature == known:
                continue
            # Also after a failure: the same content is not tried and logged again.
            self._known[index] = (files, signature)
            self._load(files)

    def _load(self, files: WatchedFiles) -> None:
        try:
            files.load()
        except (MedlarvaleError, OSError, ValueError) as error:
            self._refused.add(files.name)
            log_warning(Event.FILE_RELOAD_FAILED, files=files.name, error=str(error))
        else:
            self._refused.discard(files.name)
            log_info(Event.FILE_RELOADED, files=files.name)
