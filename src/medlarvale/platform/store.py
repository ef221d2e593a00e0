"""Read-only client of the platform's metadata store."""

from __future__ import annotations

import asyncio
import binascii
from collections import OrderedDict
from typing import TypeVar

import aiohttp
import msgspec
from yarl import URL

from medlarvale.errors import DECODE_ERRORS
from medlarvale.forwarding.errors import (
    BackendError,
    HistoryGoneError,
    PublishedStateError,
    WatchCutError,
)
from medlarvale.forwarding.messages import (
    Count,
    PublishedState,
    RouteTable,
    Server,
    StateChanges,
    StoreEra,
    StoreRevision,
)
from medlarvale.http_bodies import BodyFraming, body_framing
from medlarvale.ids import ServerId
from medlarvale.logs import Event, log_warning
from medlarvale.platform.connections import read_body
from medlarvale.platform.entries import (
    CONFIG_KEY,
    MAX_SHOWN_CHARS,
    SERVER_PREFIX,
    EntryError,
    decode_config,
    decode_server,
)
from medlarvale.platform.headers import MAX_DIGITS

# The store usually answers in 4 ms, and in a few hundred ms when it is slow. The timeouts hold for
# the head of an answer and for each part of its body: a narrow link takes seconds for a large one.
READ_TIMEOUT_MS = 2_000
# Added to the wait time of a watch; if there is no response by then, the connection is considered
# lost.
WATCH_SLACK_MS = 700
# Time for a whole answer, beyond that for its head.
MAX_BODY_MS = 10_000
CONNECT_TIMEOUT_MS = 500
MAX_PAGES = 100
# A page has up to 1 MB, and a value of up to 1 MiB takes a third more as base64 text.
MAX_PAGE_BYTES = 8 * 1024 * 1024
# Number of unusable entries that are remembered, so that each is logged once.
REMEMBERED_UNUSABLE = 4_096
# Rises by one each time that the store comes back from an older copy.
ERA_HEADER = "Store-Era"


class _ConnectionLostError(PublishedStateError):
    """An established connection ended or fell silent before the answer was complete."""


class _Item(msgspec.Struct, rename="pascal"):
    """An item, or the removal of its key if ``deleted`` is true."""

    key: str
    revision: int = 0
    value: str = ""
    deleted: bool = False


class _Range(msgspec.Struct):
    items: list[_Item]
    has_more: bool = msgspec.field(name="HasMore")
    current: Count = msgspec.field(name="CurrentRev")


class _Watch(msgspec.Struct):
    events: list[_Item]
    current: Count = msgspec.field(name="CurrentRev")


_Answer = TypeVar("_Answer")


class PlatformStore:
    """Reads and watches the configuration and the backend servers.

    Args:
        session: connections to the store.
        address: ``ip:port`` of the store.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._base = URL(f"http://{address}")
        self._range_decoder = msgspec.json.Decoder(_Range)
        self._watch_decoder = msgspec.json.Decoder(_Watch)
        self._unusable: OrderedDict[tuple[str, int], None] = OrderedDict()
        self.calls = 0

    async def read(self) -> PublishedState:
        """Returns the configuration and all servers; see ``StateSource.read``."""
        table: RouteTable | None = None
        servers: list[Server] = []
        server_revisions: dict[ServerId, StoreRevision] = {}
        other_revisions: set[StoreRevision] = set()
        revision: int | None = None
        first_era: StoreEra | None = None
        after = ""
        for _ in range(MAX_PAGES):
            query = {"PathPrefix": "", "after": after} if after else {"PathPrefix": ""}
            page, era = await self._get(
                "/kv-range", query, READ_TIMEOUT_MS, READ_TIMEOUT_MS, self._range_decoder
            )
            if first_era is not None and era != first_era:
                raise PublishedStateError("the store came back from a copy between two pages")
            first_era = era
            # The pages are not one snapshot: the watch starts at the lowest revision, so that it
            # repeats the changes made while later pages were read.
            revision = page.current if revision is None else min(revision, page.current)
            for item in page.items:
                record = self._decode_item(item)
                if isinstance(record, RouteTable):
                    table = record
                if isinstance(record, Server):
                    servers.append(record)
                    server_revisions[record.server] = StoreRevision(item.revision)
                else:
                    other_revisions.add(StoreRevision(item.revision))
            if not page.has_more or not page.items:
                break
            after = page.items[-1].key
        return PublishedState(
            table,
            tuple(servers),
            StoreRevision(revision or 0),
            first_era or StoreEra(0),
            server_revisions,
            frozenset(other_revisions),
        )

    async def watch(self, after: StoreRevision, wait_ms: int) -> StateChanges:
        """Waits for changes; see ``StateSource.watch``."""
        query = {"PathPrefix": "", "after": str(after), "WaitMs": str(wait_ms)}
        try:
            watched, era = await self._get(
                "/kv-watch", query, wait_ms + WATCH_SLACK_MS, WATCH_SLACK_MS, self._watch_decoder
            )
        except _ConnectionLostError as error:
            raise WatchCutError(f"the watch was cut: {error.message}") from error
        items: list[RouteTable | Server | ServerId] = []
        for event in watched.events:
            record = self._decode_item(event)
            if record is not None:
                items.append(record)
        return StateChanges(tuple(items), StoreRevision(watched.current), era)

    def _decode_item(self, item: _Item) -> RouteTable | Server | ServerId | None:
        """Decodes an item; returns None for unrelated keys and for invalid values."""
        if item.key.startswith(SERVER_PREFIX):
            if item.deleted:
                return ServerId(item.key.removeprefix(SERVER_PREFIX))
        elif item.key != CONFIG_KEY or item.deleted:
            return None
        try:
            value = binascii.a2b_base64(item.value)
            if item.key == CONFIG_KEY:
                return decode_config(value)
            return decode_server(item.key, value)
        except (ValueError, EntryError) as error:
            # binascii raises a plain ValueError for text that isn't ASCII.
            self._log_unusable(item, error)
            return None

    def _log_unusable(self, item: _Item, error: Exception) -> None:
        """Logs an entry that can't be used, unless this revision of it has been logged."""
        entry = (item.key, item.revision)
        if entry in self._unusable:
            return
        self._unusable[entry] = None
        if len(self._unusable) > REMEMBERED_UNUSABLE:
            self._unusable.popitem(last=False)
        log_warning(
            Event.STORE_ENTRY_UNUSABLE, key=item.key, revision=item.revision, error=str(error)
        )

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        head_ms: float,
        part_ms: float,
        decoder: msgspec.json.Decoder[_Answer],
    ) -> tuple[_Answer, StoreEra]:
        """Returns an answer and the era of the store.

        Args:
            path: the call.
            query: its parameters.
            head_ms: time for the head of the answer.
            part_ms: time for each part of the body.
            decoder: decodes the body.
        """
        self.calls += 1
        timeout = aiohttp.ClientTimeout(
            total=(head_ms + MAX_BODY_MS) / 1000.0, sock_connect=CONNECT_TIMEOUT_MS / 1000.0
        )
        url = self._base.with_path(path).with_query(query)
        loop = asyncio.get_running_loop()
        try:
            async with (
                asyncio.timeout(head_ms / 1000.0) as progress,
                self._session.get(url, timeout=timeout) as response,
            ):
                if response.status == 410:
                    raise HistoryGoneError(
                        "the store no longer has the changes after this revision"
                    )
                if response.status != 200:
                    raise PublishedStateError(f"the store returned status {response.status}")
                body = await read_body(
                    response,
                    MAX_PAGE_BYTES,
                    on_part=lambda: progress.reschedule(loop.time() + part_ms / 1000.0),
                )
                try:
                    return decoder.decode(body), _era(response)
                except DECODE_ERRORS as error:
                    # No part of a JSON object is one, so the end of the connection may have cut it.
                    is_cut = body_framing(response) is BodyFraming.CLOSE
                    kind = _ConnectionLostError if is_cut else PublishedStateError
                    raise kind(f"invalid response to {path}: {error}") from error
        except BackendError as error:
            raise PublishedStateError(f"the store sent too much: {error.message}") from error
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise PublishedStateError(f"the store can't be reached: {error!r}") from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise _ConnectionLostError(f"the store did not answer: {error!r}") from error


def _era(response: aiohttp.ClientResponse) -> StoreEra:
    """Returns the era in an answer; 0 if there is none or it is invalid, which is logged."""
    text = response.headers.get(ERA_HEADER, "0")
    if text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS:
        return StoreEra(int(text))
    log_warning(
        Event.STORE_ENTRY_UNUSABLE, key=ERA_HEADER, revision=0, error=repr(text[:MAX_SHOWN_CHARS])
    )
    return StoreEra(0)
