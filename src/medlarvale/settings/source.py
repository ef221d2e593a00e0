"""Sources of the settings tree: memory, a file, or the platform's configuration service."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Protocol

import aiohttp
import msgspec

from medlarvale.clock import Clock
from medlarvale.errors import DECODE_ERRORS
from medlarvale.ids import ConfigVersion
from medlarvale.settings.check import MAX_TREE_BYTES
from medlarvale.settings.errors import SourceBusyError, SourceError

# The timeouts hold for the head of an answer and for each part of its body: a narrow link takes
# seconds for a large tree.
GET_TIMEOUT_MS = 1_000
# Added to the wait time of a watch for the network; the service responds by the end of the wait.
WATCH_SLACK_MS = 500
# Time for a whole answer, beyond that for its head.
MAX_BODY_MS = 10_000
FILE_POLL_MS = 250
# The largest tree and the JSON object around it in the response.
MAX_ANSWER_BYTES = MAX_TREE_BYTES + 1_000
STATUS_OK = 200
STATUS_NO_NEWER_VERSION = 204
STATUS_TOO_MANY_CALLS = 429


class SourceAnswer(msgspec.Struct, frozen=True):
    """Version of the tree as received from a source or a peer, not yet validated."""

    version: ConfigVersion
    text: bytes


class SettingsSource(Protocol):
    """Source of versions of the tree."""

    async def get(self) -> SourceAnswer:
        """Returns the newest version of the source.

        Raises:
            SourceError: the source failed, timed out or returned an invalid response.
        """

    async def watch(self, after: ConfigVersion, wait_ms: int) -> SourceAnswer | None:
        """Waits up to ``wait_ms`` for a version above ``after``; returns None if there is none.

        Raises:
            SourceError: the source failed, timed out or returned an invalid response.
        """


class MemorySource:
    """In-memory source.

    Attributes:
        down: whether every call fails.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._answer: SourceAnswer | None = None
        self._published = asyncio.Event()
        self.down = False

    def publish(self, version: ConfigVersion, text: bytes) -> None:
        """Replaces the published version and wakes the watches."""
        self._answer = SourceAnswer(version, text)
        self._published.set()
        self._published = asyncio.Event()

    async def get(self) -> SourceAnswer:
        """Returns the published version; see ``SettingsSource.get``."""
        if self.down or self._answer is None:
            raise SourceError("the source is down")
        return self._answer

    async def watch(self, after: ConfigVersion, wait_ms: int) -> SourceAnswer | None:
        """Waits for a newer version; see ``SettingsSource.watch``."""
        answer = await self.get()
        if answer.version <= after:
            waiters = {
                asyncio.ensure_future(self._published.wait()),
                asyncio.ensure_future(self._clock.sleep_ms(wait_ms)),
            }
            try:
                await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for waiter in waiters:
                    waiter.cancel()
            answer = await self.get()
        return answer if answer.version > after else None


class FileSource:
    """Reads the tree from a file; the version is the file's modification time in ms.

    Hosts that read separate copies agree on the one modified last. An edit that sets an older
    modification time, as ``cp -p`` may, is not a newer version and is ignored.
    """

    def __init__(self, path: Path, clock: Clock) -> None:
        self._path = path
        self._clock = clock

    async def get(self) -> SourceAnswer:
        """Returns the content of the file; see ``SettingsSource.get``."""
        try:
            return await asyncio.to_thread(self._read)
        except OSError as error:
            raise SourceError(f"{self._path}: {error.strerror}") from error

    async def watch(self, after: ConfigVersion, wait_ms: int) -> SourceAnswer | None:
        """Checks the file for a change every 250 ms; see ``SettingsSource.watch``."""
        end_ms = self._clock.now_ms() + wait_ms
        while True:
            answer = await self.get()
            if answer.version > after:
                return answer
            left_ms = end_ms - self._clock.now_ms()
            if left_ms <= 0:
                return None
            await self._clock.sleep_ms(min(FILE_POLL_MS, left_ms))

    def _read(self) -> SourceAnswer:
        # Read the time first, so that the next read reports a change in between as newer.
        changed_ms = self._path.stat().st_mtime_ns // 1_000_000
        return SourceAnswer(ConfigVersion(changed_ms), self._path.read_bytes())


class _ServiceResponse(msgspec.Struct):
    """Response body of the configuration service; the tree stays undecoded until it is checked."""

    version: ConfigVersion
    tree: msgspec.Raw


class PlatformSource:
    """Client of the platform's configuration service over HTTP.

    Args:
        session: client session, which the caller closes.
        base_url: address of the service such as ``http://10.0.0.1:8500``.
    """

    def __init__(self, session: aiohttp.ClientSession, base_url: str) -> None:
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._decoder = msgspec.json.Decoder(_ServiceResponse)

    async def get(self) -> SourceAnswer:
        """Reads the newest version; see ``SettingsSource.get``."""
        answer = await self._call("/config", {}, GET_TIMEOUT_MS, GET_TIMEOUT_MS)
        if answer is None:
            raise SourceError("the configuration service has no tree")
        return answer

    async def watch(self, after: ConfigVersion, wait_ms: int) -> SourceAnswer | None:
        """Waits for a newer version with a long poll; see ``SettingsSource.watch``."""
        parameters = {"after": str(after), "wait_ms": str(wait_ms)}
        head_ms = wait_ms + WATCH_SLACK_MS
        return await self._call("/config/watch", parameters, head_ms, WATCH_SLACK_MS)

    async def _call(
        self, path: str, parameters: dict[str, str], head_ms: int, part_ms: int
    ) -> SourceAnswer | None:
        """Returns an answer; None if there is no newer version.

        Args:
            path: the call.
            parameters: its parameters.
            head_ms: time for the head of the answer.
            part_ms: time for each part of the body.
        """
        timeout = aiohttp.ClientTimeout(total=(head_ms + MAX_BODY_MS) / 1000.0)
        url = self._base_url + path
        try:
            async with (
                asyncio.timeout(head_ms / 1000.0) as progress,
                self._session.get(url, params=parameters, timeout=timeout) as response,
            ):
                if response.status == STATUS_TOO_MANY_CALLS:
                    raise SourceBusyError(f"{url}: rate limit exceeded")
                if response.status == STATUS_NO_NEWER_VERSION:
                    return None
                if response.status != STATUS_OK:
                    raise SourceError(f"{url}: HTTP status {response.status}")
                return self._decode(url, await _read_bounded(response, progress, part_ms))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise SourceError(f"{url}: {error!r}") from error

    def _decode(self, url: str, body: bytes) -> SourceAnswer:
        try:
            answer = self._decoder.decode(body)
        except DECODE_ERRORS as error:
            raise SourceError(f"{url}: {error}") from error
        return SourceAnswer(answer.version, bytes(answer.tree))


async def _read_bounded(
    response: aiohttp.ClientResponse, progress: asyncio.Timeout, part_ms: int
) -> bytes:
    """Returns the body; stops reading once it exceeds the largest response size.

    Args:
        response: the response.
        progress: is extended with each part of the body.
        part_ms: time for each part.
    """
    body = bytearray()
    loop = asyncio.get_running_loop()
    progress.reschedule(loop.time() + part_ms / 1000.0)
    async for chunk in response.content.iter_any():
        progress.reschedule(loop.time() + part_ms / 1000.0)
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            raise SourceError(f"{response.url}: more than {MAX_ANSWER_BYTES} bytes")
    return bytes(body)
