"""Reloads changed files, so that keys and certificates can be rotated without a restart."""

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
        load: loads the files; if it raises, the content loaded before stays in use.
    """

    name: str
    paths: tuple[Path, ...]
    load: Callable[[], None]

    def signature(self) -> Signature:
        """Returns inode, modification time and size of each file, to detect changed content."""
        return tuple(_file_signature(path) for path in self.paths)


def _file_signature(path: Path) -> tuple[int, int, int] | None:
    with contextlib.suppress(OSError):
        found = path.stat()
        return found.st_ino, found.st_mtime_ns, found.st_size
    return None


class FileWatch:
    """Polls files for changes at an interval of the timer service.

    Args:
        clock: time service.
        watched: files that have already been loaded.
    """

    def __init__(self, clock: Clock, watched: Iterable[WatchedFiles]) -> None:
        self._clock = clock
        # Recorded here, because the files may change between loading and the first poll.
        self._last_seen = [(files, files.signature()) for files in watched]
        self._timer: Subscription | None = None
        self._failed: set[str] = set()

    @property
    def failed_load_count(self) -> int:
        """Number of watched files, a pair counting once, whose current content failed to load."""
        return len(self._failed)

    def start(self) -> None:
        """Starts polling."""
        self._timer = self._clock.every_ms(POLL_PERIOD_MS, self.poll)

    def close(self) -> None:
        """Stops polling."""
        if self._timer is not None:
            self._timer.cancel()

    def poll(self) -> None:
        """Loads the files that have changed since the last poll."""
        for index, (files, previous) in enumerate(self._last_seen):
            signature = files.signature()
            if signature == previous:
                continue
            # Recorded before loading: content that fails is not tried and logged again.
            self._last_seen[index] = (files, signature)
            self._reload(files)

    def reload(self) -> None:
        """Loads all files, changed or not."""
        for index, (files, _) in enumerate(self._last_seen):
            self._last_seen[index] = (files, files.signature())
            self._reload(files)

    def _reload(self, files: WatchedFiles) -> None:
        try:
            files.load()
        except (MedlarvaleError, OSError, ValueError) as error:
            self._failed.add(files.name)
            log_warning(Event.FILE_RELOAD_FAILED, files=files.name, error=str(error))
        else:
            self._failed.discard(files.name)
            log_info(Event.FILE_RELOADED, files=files.name)
