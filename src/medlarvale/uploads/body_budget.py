"""Decides, without I/O, which bodies of callers give way when there is no room for all."""

from __future__ import annotations

import enum
import math
from collections.abc import Callable

from medlarvale.body_memory import DEFAULT_LIMIT_BYTES, MEMORY_SHARE
from medlarvale.logs import Event, log_warning

# Bodies up to this size never give way. With 1,078 connections, the most on a machine with 1,638
# descriptors, they take at most 18 MB.
SMALL_BODY_BYTES = 16 * 1024
# Room for two bodies of 4 MiB, or for one of the largest size that hosts accept at all.
MIN_LIMIT_BYTES = 8 * 1024 * 1024
# Bytes that arrived this long ago count for 1/e of their number in the progress of a body.
PROGRESS_MS = 1_000.0


class UploadPhase(enum.Enum):
    """What a body is held for."""

    # It is arriving, and no server has been sent anything of it.
    RECEIVING = "receiving"
    # Its request may have been sent to a server.
    FORWARDING = "forwarding"
    # It is an answer that is being written to a caller.
    ANSWERING = "answering"


class Upload:
    """The body of one request, or of its answer, from the first byte to the end of the request.

    Attributes:
        size_bytes: bytes of it that are in memory.
        phase: what it is held for.
        dropped: whether it has given way to others.
    """

    def __init__(self, budget: BodyBudget, give_way: Callable[[], None]) -> None:
        self._budget = budget
        self._give_way = give_way
        self.size_bytes = 0
        self.phase = UploadPhase.RECEIVING
        self.dropped = False
        self._recent_bytes = 0.0
        self._recent_at_ms = budget.now_ms()

    def on_give_way(self, give_way: Callable[[], None]) -> None:
        """Sets what frees the memory of this body when it gives way."""
        self._give_way = give_way

    def fits(self, length_bytes: int) -> bool:
        """Returns whether a body of a declared length has room once others have given way."""
        return self._budget.fits(length_bytes)

    def add(self, size_bytes: int) -> None:
        """Counts a part that has arrived; this body or others may give way."""
        now_ms = self._budget.now_ms()
        self._recent_bytes = self._recent_bytes_at(now_ms) + size_bytes
        self._recent_at_ms = now_ms
        self._budget.resize(self, self.size_bytes + size_bytes)

    def hand_over(self) -> None:
        """Notes that the whole body has arrived and may be sent to a server from now on."""
        self.phase = UploadPhase.FORWARDING
        self._budget.resize(self, self.size_bytes)

    def answer(self, size_bytes: int) -> None:
        """Counts the answer in place of the body, which is no longer needed."""
        self.phase = UploadPhase.ANSWERING
        self._recent_bytes, self._recent_at_ms = float(size_bytes), self._budget.now_ms()
        self._budget.resize(self, size_bytes)

    def end(self) -> None:
        """Counts nothing of it any more."""
        self._budget.forget(self)

    def recent_share(self, now_ms: float) -> float:
        """Returns the share of this body that has arrived recently, between 0 and 1.

        It is near 1 for a body that has just begun, and falls while a body stalls or trickles in.
        """
        return self._recent_bytes_at(now_ms) / max(1, self.size_bytes)

    def drop(self) -> None:
        """Frees the memory of this body."""
        self.dropped = True
        self._give_way()

    def _recent_bytes_at(self, now_ms: float) -> float:
        return self._recent_bytes * math.exp((self._recent_at_ms - now_ms) / PROGRESS_MS)


class BodyBudget:
    """Counts the bodies of all requests of callers together.

    Args:
        limit_bytes: most bytes of them together, beside small ones.
        now_ms: returns the monotonic time.

    Attributes:
        held_bytes: bytes of all bodies.
        dropped: number of bodies that have given way or were refused at their head.
    """

    def __init__(self, limit_bytes: int, now_ms: Callable[[], float]) -> None:
        self._limit_bytes = limit_bytes
        self.now_ms = now_ms
        self.held_bytes = 0
        self.dropped = 0
        self._forwarding_bytes = 0
        # Bodies that may give way.
        self._droppable: set[Upload] = set()
        self._counted: dict[Upload, tuple[int, bool]] = {}

    @property
    def limit_bytes(self) -> int:
        """Most bytes of all bodies together."""
        return self._limit_bytes

    def keep_room_for(self, body_bytes: int) -> None:
        """Raises the limit, if it is lower, to that of two bodies of a size that is allowed."""
        self._limit_bytes = max(self._limit_bytes, 2 * body_bytes)

    def begin(self, give_way: Callable[[], None]) -> Upload:
        """Returns a body of which nothing has arrived.

        Args:
            give_way: frees its memory.
        """
        return Upload(self, give_way)

    def fits(self, length_bytes: int) -> bool:
        """Returns whether a body has room beside those that can't give way."""
        if length_bytes <= SMALL_BODY_BYTES:
            return True
        has_room = self._forwarding_bytes + length_bytes <= self._limit_bytes
        if not has_room:
            self.dropped += 1
        return has_room

    def resize(self, upload: Upload, size_bytes: int) -> None:
        """Counts a body with its present size and phase, and makes room for it."""
        self.forget(upload)
        if upload.dropped:
            return
        upload.size_bytes = size_bytes
        is_forwarding = upload.phase is UploadPhase.FORWARDING
        self._counted[upload] = size_bytes, is_forwarding
        self.held_bytes += size_bytes
        if is_forwarding:
            self._forwarding_bytes += size_bytes
        elif size_bytes > SMALL_BODY_BYTES:
            self._droppable.add(upload)
        self._make_room()

    def forget(self, upload: Upload) -> None:
        """Counts a body no longer."""
        self._droppable.discard(upload)
        size_bytes, was_forwarding = self._counted.pop(upload, (0, False))
        self.held_bytes -= size_bytes
        if was_forwarding:
            self._forwarding_bytes -= size_bytes

    def _make_room(self) -> None:
        """Drops bodies until the rest is within the limit: first the one that stalls the most."""
        now_ms = self.now_ms()
        while self.held_bytes > self._limit_bytes and self._droppable:
            slowest = min(
                self._droppable,
                key=lambda upload: (upload.recent_share(now_ms), -upload.size_bytes),
            )
            self.forget(slowest)
            self.dropped += 1
            log_warning(
                Event.UPLOAD_DROPPED,
                size_bytes=slowest.size_bytes,
                phase=slowest.phase.value,
                recent_share=round(slowest.recent_share(now_ms), 3),
            )
            slowest.drop()


def upload_limit_bytes(memory_bytes: int | None) -> int:
    """Returns the limit for all bodies of callers together.

    The same share as that of answers leaves room for the copy that is being written to a server.

    Args:
        memory_bytes: memory of the process; None if it is unknown.
    """
    if memory_bytes is None:
        return DEFAULT_LIMIT_BYTES
    return max(MIN_LIMIT_BYTES, int(MEMORY_SHARE * memory_bytes))
