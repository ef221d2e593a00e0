"""Writes log lines to a descriptor without blocking.

Lines above a rate limit are dropped, and so are lines that do not fit into the buffer while the
reader is slow.
"""

from __future__ import annotations

import os
from collections.abc import Callable

# A line takes about 20 µs of CPU time, so this rate takes half a percent of a core.
LINES_PER_S = 250.0
# Lines in one burst, for example if a backend server is lost with all its requests.
BURST_LINES = 2_000.0
# Limit of buffered bytes while the reader is slow.
MAX_PENDING_BYTES = 256 * 1024


class BoundedLineWriter:
    """File-like target of log lines that never blocks its caller.

    Attributes:
        dropped: lines that were not written.

    Args:
        descriptor: open file descriptor; it is switched to non-blocking mode.
        now_ms: monotonic time in ms.
    """

    def __init__(self, descriptor: int, now_ms: Callable[[], float]) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._now_ms = now_ms
        self._allowance = BURST_LINES
        self._refilled_at_ms = now_ms()
        self._pending = b""
        self.dropped = 0

    def write(self, text: str) -> int:
        """Writes or drops a line; returns its length."""
        now_ms = self._now_ms()
        refill = (now_ms - self._refilled_at_ms) / 1000.0 * LINES_PER_S
        self._allowance = min(BURST_LINES, self._allowance + refill)
        self._refilled_at_ms = now_ms
        data = text.encode()
        if self._allowance < 1.0 or len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self.dropped += 1
            return len(text)
        self._allowance -= 1.0
        self._pending += data
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Writes as much of the buffered bytes as possible without blocking."""
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        self._pending = self._pending[written:]
