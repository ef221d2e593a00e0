"""When each peer was known to follow the published state, without I/O.

A host that neither reaches its peers nor the store goes on with the list that it has. How old that
list may have been at some time follows from when its peers last heard that it was in touch.
"""

from __future__ import annotations

import math

from medlarvale.ids import HostId

# Longest time between two signs that a host is in touch for which it counts as in touch meanwhile.
JOINED_MS = 1_500.0
# A hello may have waited for so long until it was read.
UNREAD_HELLO_MS = 1_500.0


class HostContacts:
    """Times at which each peer was in touch with the published state and with this host.

    Args:
        retain_ms: time for which they are remembered.
    """

    def __init__(self, retain_ms: float) -> None:
        self._retain_ms = retain_ms
        # First and last sign of each time in which a host was in touch.
        self._spans: dict[HostId, list[tuple[float, float]]] = {}

    def learn(self, host: HostId) -> None:
        """Records that there is a host, which may be out of touch."""
        self._spans.setdefault(host, [])

    def note(self, host: HostId, now_ms: float) -> None:
        """Records that a host has just said that it follows the published state."""
        at_ms = now_ms - UNREAD_HELLO_MS
        spans = self._spans.setdefault(host, [])
        if spans and at_ms - spans[-1][1] <= JOINED_MS:
            spans[-1] = (spans[-1][0], at_ms)
            return
        spans.append((at_ms, at_ms))
        while spans[0][1] < at_ms - self._retain_ms:
            del spans[0]

    def in_touch_ms(self, at_ms: float) -> float:
        """Returns the time since which, as of some time, any host may have been out of touch.

        Returns:
            A time up to ``at_ms``; minus infinity if a host has given no sign before, or if none
            is known, as others may be.
        """
        earliest_ms = at_ms if self._spans else -math.inf
        for spans in self._spans.values():
            last_ms = max(
                (min(end_ms, at_ms) for begin_ms, end_ms in spans if begin_ms <= at_ms),
                default=-math.inf,
            )
            earliest_ms = min(earliest_ms, last_ms - JOINED_MS)
        return earliest_ms
