"""Which software version began each stream, as the hosts of the fleet have seen it.

The host that passes the first event of a stream on knows its version. It sends a record to two
peers, one of its failure domain and one elsewhere, so that the version is known after its loss.
One of them has the record before the event is passed on, the one elsewhere if it answers.
"""

from __future__ import annotations

import asyncio
import math
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Collection, Iterable, Sequence
from itertools import zip_longest
from typing import Protocol

import msgspec
import xxhash

from medlarvale.clock import Clock
from medlarvale.forwarding.background_tasks import BackgroundTasks
from medlarvale.forwarding.fleet_messages import (
    Hello,
    StateReply,
    StateRequest,
    StreamQuestion,
)
from medlarvale.forwarding.version_evidence import Statement, Testimony
from medlarvale.hashing import rank
from medlarvale.ids import FailureDomain, HostId, RequestId, SoftwareVersion, StreamKey
from medlarvale.logs import Event, log_info, log_warning
from medlarvale.peers.transport import Transport

# Number of streams whose version is remembered, own ones and those of peers each.
REMEMBERED_STREAMS = 8_192
# Time for an answer of a peer. A host that stands still for longer is passed over.
ANSWER_TIMEOUT_MS = 300.0
# Time after which further peers are sent a record that none of the first has acknowledged.
HEDGE_MS = 50.0
# Time after the start of this host for which a seed that has never answered counts as a host.
SEED_PATIENCE_MS = 10_000.0
# Number of peers that keep a record.
KEEPERS = 2
# Hosts of each failure domain that are likely to keep a record, as hosts may differ on which live.
LIKELY_PER_DOMAIN = 2
# Number of times that a record is sent to other peers because one did not keep it.
SEND_ROUNDS = 3
# Number of peers that are asked which versions may have begun a stream without a record.
ASKED_WITNESSES = 2
# Records in one message, and records after which other tasks of the host run.
MAX_RECORDS = 200
RECORDS_PER_TURN = 50


def stream_key(attempt: RequestId) -> StreamKey:
    """Returns the key under which hosts remember the stream that an attempt began."""
    return StreamKey(xxhash.xxh3_128_digest(attempt.encode("utf-8", "surrogateescape")))


class PeerView(Protocol):
    """The peers of a host; implemented by ``FleetView``."""

    def live(self, now_ms: float) -> dict[HostId, Hello]:
        """Returns the last hellos of the live peers."""

    def addresses(self) -> dict[HostId, str]:
        """Returns the addresses of all known hosts; those without a name are named by address."""

    def hello_of(self, host: HostId) -> Hello | None:
        """Returns the last hello of a peer, live or not."""

    def is_announcing(self, now_ms: float) -> bool:
        """Returns whether hosts were discovered lately, so that others may not be known yet."""

    def in_touch_ms(self, at_ms: float) -> float:
        """Returns the time since which, as of some time, a host may have been out of touch."""


Versions = frozenset[SoftwareVersion]


class _Record(msgspec.Struct, frozen=True):
    """What is known of one stream.

    Attributes:
        versions: all versions that were noted for it; with more than one, none is the version.
        learned_ms: monotonic time at which this host learned of the last of them.
    """

    versions: Versions
    learned_ms: float


class _Memory:
    """The newest records, up to ``REMEMBERED_STREAMS``."""

    def __init__(self) -> None:
        self.records: OrderedDict[StreamKey, _Record] = OrderedDict()
        # Time at which the newest record that was dropped had been learned.
        self.dropped_ms = -math.inf

    def add(self, key: StreamKey, versions: Versions, now_ms: float) -> None:
        known = self.versions(key)
        if versions <= known:
            # A record that is sent on and comes back is as old as before.
            return
        self.records[key] = _Record(known | versions, now_ms)
        self.records.move_to_end(key)
        if len(self.records) > REMEMBERED_STREAMS:
            _, dropped = self.records.popitem(last=False)
            self.dropped_ms = max(self.dropped_ms, dropped.learned_ms)

    def versions(self, key: StreamKey) -> Versions:
        record = self.records.get(key)
        return record.versions if record is not None else frozenset()

    def since(self, oldest_ms: float) -> dict[StreamKey, Versions]:
        return {
            key: record.versions
            for key, record in self.records.items()
            if record.learned_ms >= oldest_ms
        }


def _names(host: HostId | None, versions: Versions) -> Sequence[Testimony]:
    """Returns what a host says that names versions."""
    return tuple(Testimony(host, Statement.NAMES, each) for each in sorted(versions))


class FoundRecords(msgspec.Struct, frozen=True):
    """What hosts say about which version began a stream.

    Attributes:
        testimonies: what each host says that was asked, including this one.
    """

    testimonies: Sequence[Testimony]

    @property
    def software(self) -> SoftwareVersion | None:
        """The version that hosts name; None if none does, or they name different ones."""
        return _single(self.versions)

    @property
    def versions(self) -> Versions:
        """All versions that hosts name."""
        return frozenset(each.software for each in self.testimonies if each.software is not None)


def _single(versions: Versions) -> SoftwareVersion | None:
    """Returns the version if there is only one."""
    return next(iter(versions)) if len(versions) == 1 else None


def _split(
    records: dict[StreamKey, Versions],
) -> tuple[dict[StreamKey, SoftwareVersion], dict[StreamKey, tuple[SoftwareVersion, ...]]]:
    """Returns the records with one version, and those with several, as messages carry them."""
    single = {key: next(iter(each)) for key, each in records.items() if len(each) == 1}
    disputed = {key: tuple(sorted(each)) for key, each in records.items() if len(each) > 1}
    return single, disputed


VersionComputer = Callable[[StreamQuestion], Awaitable[Collection[SoftwareVersion] | None]]


class StreamRecords:
    """Records of one host, and those that it keeps for its peers.

    Args:
        failure_domain: failure domain of this host.
        peers: the peers.
        transport: messages to peers.
        clock: time service.
    """

    def __init__(
        self, failure_domain: FailureDomain, peers: PeerView, transport: Transport, clock: Clock
    ) -> None:
        self._failure_domain = failure_domain
        self._peers = peers
        self._transport = transport
        self._clock = clock
        # Streams of which this host has passed events on, and streams of peers.
        self._seen, self._told = _Memory(), _Memory()
        self._started_ms = clock.now_ms()
        self._background = BackgroundTasks()
        self._stopping = self._closed = False
        self._compute: VersionComputer | None = None

    def on_question(self, compute: VersionComputer) -> None:
        """Registers what computes the versions that may have begun a stream without a record."""
        self._compute = compute

    def remembers(self, from_ms: float) -> bool:
        """Returns whether this host remembers all streams that it has seen since some time."""
        return self._remembers_since_ms() <= from_ms

    def in_touch_ms(self, at_ms: float) -> float:
        """Returns the time since which, as of some time, a host may have been out of touch."""
        return self._peers.in_touch_ms(at_ms)

    async def ask_possible(
        self, question: StreamQuestion, testimonies: Iterable[Testimony]
    ) -> list[Collection[SoftwareVersion]]:
        """Returns what some peers that have run since before a stream count as possible."""
        witnesses = [
            each.host
            for each in testimonies
            if each.statement is Statement.DENIES and each.host is not None
        ]
        # Earlier builds answer only the part that they know.
        key = () if question.attempt is None else (stream_key(question.attempt),)
        message = StateRequest(streams=key, question=question)
        calls = [self._request(host, message) for host in witnesses[:ASKED_WITNESSES]]
        replies = await asyncio.gather(*calls)
        return [reply.possible for reply in replies if reply and reply.possible is not None]

    def note(self, attempt: RequestId, software: SoftwareVersion) -> None:
        """Records which version began a stream of which this host passes events on."""
        self._seen.add(stream_key(attempt), frozenset((software,)), self._clock.now_ms())

    def known(self, attempt: RequestId) -> SoftwareVersion | None:
        """Returns the version that began a stream by what this host has seen, or was told of it.

        A take-up goes by both, and by what peers say; see ``find``.
        """
        key = stream_key(attempt)
        return _single(self._seen.versions(key) or self._told.versions(key))

    def _remembers_since_ms(self) -> float:
        """Returns the time from which this host remembers all streams that it has seen."""
        return max(self._started_ms, self._seen.dropped_ms, self._told.dropped_ms)

    def _known(self, key: StreamKey) -> Versions:
        return self._seen.versions(key) | self._told.versions(key)

    async def keep(self, attempt: RequestId, software: SoftwareVersion) -> bool:
        """Sends the record of a stream to peers until one has it.

        A neighbour is not enough if a peer of another failure domain answers as well.

        Returns:
            Whether a peer has it; False also if there is no peer.
        """
        key, live = stream_key(attempt), self._live()
        message = StateRequest({key: software})
        keepers = self._keepers(key, live)
        elsewhere = {host for host in keepers if live[host] != self._failure_domain}
        calls = {self._send(host, message): host for host in keepers[:KEEPERS]}
        further = keepers[KEEPERS : 2 * KEEPERS]
        kept = False
        while calls:
            timeout_s = HEDGE_MS / 1000.0 if further else None
            done, _ = await asyncio.wait(
                calls, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
            having = {calls[call] for call in done if not call.cancelled() and call.result()}
            for call in done:
                calls.pop(call)
            kept = kept or bool(having)
            is_far_pending = bool(elsewhere & set(calls.values()))
            if having & elsewhere or (kept and not is_far_pending and not elsewhere & set(further)):
                return True
            if further and (not done or not is_far_pending):
                calls |= {self._send(host, message): host for host in further}
                further = []
        if keepers and not kept:
            log_warning(Event.STREAM_NOT_RECORDED, request=attempt, software=software)
        return kept

    def send_own(self, max_age_ms: float) -> asyncio.Task[None]:
        """Sends peers the records of the streams of which this host has lately passed events on.

        Args:
            max_age_ms: age of the oldest record to send.
        """
        oldest_ms = self._clock.now_ms() - max_age_ms
        return self._background.start(self._send_all(self._seen.since(oldest_ms)))

    def hand_over(self, max_age_ms: float) -> asyncio.Task[None]:
        """Sends all recent records to peers and takes no more, because this host stops.

        Args:
            max_age_ms: age of the oldest record to send.
        """
        self._stopping = True
        oldest_ms = self._clock.now_ms() - max_age_ms
        recent = self._told.since(oldest_ms).keys() | self._seen.since(oldest_ms).keys()
        records = {key: self._known(key) for key in recent}
        return self._background.start(self._send_all(records))

    async def _send_all(self, records: dict[StreamKey, Versions]) -> None:
        live = self._live()
        waiting = {key: list[HostId]() for key in records}
        for number, key in enumerate(waiting):
            waiting[key] = self._keepers(key, live)
            if number % RECORDS_PER_TURN == 0:
                await asyncio.sleep(0.0)
        for _ in range(SEND_ROUNDS):
            by_host: dict[HostId, list[StreamKey]] = {}
            for key, keepers in waiting.items():
                for host in keepers[:KEEPERS]:
                    by_host.setdefault(host, []).append(key)
            parts = [
                (host, keys[first : first + MAX_RECORDS])
                for host, keys in by_host.items()
                for first in range(0, len(keys), MAX_RECORDS)
            ]
            calls = []
            for host, keys in parts:
                keep, disputed = _split({key: records[key] for key in keys})
                calls.append(self._send(host, StateRequest(keep, keep_disputed=disputed)))
                # Other tasks of the host run between two messages.
                await asyncio.sleep(0.0)
            kept = await asyncio.gather(*calls)
            done = {
                key
                for (_, keys), is_kept in zip(parts, kept, strict=True)
                for key in keys
                if is_kept
            }
            waiting = {key: hosts[KEEPERS:] for key, hosts in waiting.items() if key not in done}

    def _send(self, host: HostId, message: StateRequest) -> asyncio.Task[bool]:
        async def send() -> bool:
            reply = await self._request(host, message)
            return reply is not None and reply.streams is not None

        return self._background.start(send())

    async def _request(
        self, host: HostId, message: StateRequest, timeout_ms: float = ANSWER_TIMEOUT_MS
    ) -> StateReply | None:
        """Returns the answer of a peer; None if there is none."""
        if self._closed:
            return None
        try:
            reply = await self._transport.request(host, message, timeout_ms)
        except Exception as error:  # A stream goes on without a record.
            log_info(Event.STREAM_RECORD_FAILED, peer=host, error=str(error))
            return None
        return reply if isinstance(reply, StateReply) else None

    async def find(self, attempt: RequestId | None, from_ms: float = math.inf) -> FoundRecords:
        """Returns what this host and its peers say about which version began a stream.

        Once a host has named it, others are waited for only briefly. If this host has a record, it
        asks those that are likely to keep one: another host may have begun the stream as well.

        Args:
            attempt: the attempt that began it; None if that is not known.
            from_ms: earliest time at which it may have begun.
        """
        if attempt is None:
            # Those that have its record can't know that it is meant.
            return FoundRecords((Testimony(None, Statement.SILENT),))
        return FoundRecords(await self._find(stream_key(attempt), from_ms, search=True))

    async def _find(self, key: StreamKey, from_ms: float, *, search: bool) -> Sequence[Testimony]:
        """Asks the peers, first those that are likely to keep the record.

        Args:
            key: the stream.
            from_ms: earliest time at which it may have begun.
            search: whether peers that have run for longer ask theirs, while this host may not know
                all of them.
        """
        by_domain = self._ranked_by_domain(key, self._live())
        likely = [host for hosts in by_domain.values() for host in hosts[:LIKELY_PER_DOMAIN]]
        known = self._known(key)
        if known:
            # Another host may have begun the stream as well.
            others = await self._ask_named(likely, key, from_ms, known)
            return [*_names(None, known), *others]
        now_ms = self._clock.now_ms()
        own = Statement.DENIES if self._remembers_since_ms() <= from_ms else Statement.CANNOT_TELL
        testimonies = [Testimony(None, own)]
        for hosts in (likely, self._all_others(likely)):
            answers = await self._ask_all(hosts, key, from_ms)
            named = [answer for answer in answers if answer.software is not None]
            if named:
                # What differs is kept as well, so that no host that answers alone decides later.
                self._told.add(key, FoundRecords(named).versions, now_ms)
                return named
            testimonies += answers
        earlier_builds = [host for host in self._peers.addresses() if self._is_earlier_build(host)]
        testimonies += [Testimony(host, Statement.SILENT) for host in earlier_builds]
        if search and self._peers.is_announcing(now_ms):
            silent = {each.host for each in testimonies if each.statement is Statement.SILENT}
            answering = [host for host in likely if host not in silent]
            testimonies += await self._search(key, from_ms, answering)
        return testimonies

    async def _ask_named(
        self, hosts: Sequence[HostId], key: StreamKey, from_ms: float, known: Versions
    ) -> list[Testimony]:
        """Returns the testimonies of hosts that name a version; keeps what differs."""
        if len(known) > 1:
            return []
        answers = await self._ask_all(hosts, key, from_ms, is_named=True)
        named = [answer for answer in answers if answer.software is not None]
        self._told.add(key, FoundRecords(named).versions - known, self._clock.now_ms())
        return named

    async def _ask_all(
        self, hosts: Iterable[HostId], key: StreamKey, from_ms: float, *, is_named: bool = False
    ) -> list[Testimony]:
        """Returns what hosts say; waits only briefly for others once one names a version.

        Args:
            hosts: the hosts to ask.
            key: the stream.
            from_ms: earliest time at which it may have begun.
            is_named: whether this host names one itself.
        """
        calls = {self._background.start(self._ask(host, key, from_ms)) for host in hosts}
        answers: list[Testimony] = []
        while calls:
            named = is_named or any(answer.software is not None for answer in answers)
            timeout_s = HEDGE_MS / 1000.0 if named else None
            done, calls = await asyncio.wait(
                calls, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                break
            for call in done:
                answers += call.result() if not call.cancelled() else ()
        return answers

    async def _search(
        self, key: StreamKey, from_ms: float, hosts: Sequence[HostId]
    ) -> Sequence[Testimony]:
        """Lets those peers that have run for longest ask theirs."""
        hellos = {host: self._peers.hello_of(host) for host in hosts}
        starts = {
            host: hello.sender.incarnation for host, hello in hellos.items() if hello is not None
        }
        oldest = sorted(starts, key=lambda host: starts[host])[:KEEPERS]
        for host in oldest:
            testimonies = await self._ask(host, key, from_ms, search=True)
            if FoundRecords(testimonies).versions:
                return testimonies
        return ()

    async def _ask(
        self, host: HostId, key: StreamKey, from_ms: float, *, search: bool = False
    ) -> Sequence[Testimony]:
        """Returns what a host says: a testimony for each version that it names, or one."""
        timeout_ms = (3.0 if search else 1.0) * ANSWER_TIMEOUT_MS
        reply = await self._request(host, StateRequest(streams=(key,), search=search), timeout_ms)
        if reply is None or reply.streams is None:
            return (Testimony(host, Statement.SILENT),)
        versions = frozenset(reply.disputed.get(key, ()))
        if key in reply.streams:
            versions |= {reply.streams[key]}
        if versions:
            return _names(host, versions)
        if reply.remembers_ms is None:
            # An earlier build may have run since before, or have started since.
            return (Testimony(host, Statement.SILENT),)
        remembers = self._clock.now_ms() - reply.remembers_ms <= from_ms
        return (Testimony(host, Statement.DENIES if remembers else Statement.CANNOT_TELL),)

    def _live(self) -> dict[HostId, FailureDomain]:
        """Returns the failure domains of the live peers that keep records."""
        live = self._peers.live(self._clock.now_ms())
        return {host: hello.failure_domain for host, hello in live.items() if hello.keeps_streams}

    def _all_others(self, asked: Iterable[HostId]) -> list[HostId]:
        """Returns all other known hosts, live or not, but for those of earlier builds."""
        others = self._peers.addresses().keys() - set(asked)
        return [host for host in others if self._may_keep(host)]

    def _may_keep(self, host: HostId) -> bool:
        hello = self._peers.hello_of(host)
        if hello is not None:
            return hello.keeps_streams
        # Seeds may name hosts that are gone for good.
        return self._clock.now_ms() - self._started_ms <= SEED_PATIENCE_MS

    def _is_earlier_build(self, host: HostId) -> bool:
        hello = self._peers.hello_of(host)
        return hello is not None and not hello.keeps_streams

    def _ranked_by_domain(
        self, key: StreamKey, live: dict[HostId, FailureDomain]
    ) -> dict[FailureDomain, list[HostId]]:
        """Returns peers in each failure domain, by their weight for a stream."""
        by_domain: dict[FailureDomain, list[HostId]] = {}
        for host in rank(key.hex(), live):
            by_domain.setdefault(live[host], []).append(host)
        return by_domain

    def _keepers(self, key: StreamKey, live: dict[HostId, FailureDomain]) -> list[HostId]:
        """Returns the peers to keep a record: by turns a neighbour and a host elsewhere."""
        by_domain = self._ranked_by_domain(key, live)
        near = by_domain.pop(self._failure_domain, [])
        ranked = [by_domain[domain][:LIKELY_PER_DOMAIN] for domain in rank(key.hex(), by_domain)]
        # A failure domain may be lost as a whole, so the first host of each comes first.
        turns = zip_longest(*ranked)
        far = [host for turn in turns for host in turn if host is not None]
        paired = [host for pair in zip(near, far, strict=False) for host in pair]
        shorter = min(len(near), len(far))
        return paired + near[shorter:] + far[shorter:]

    async def answer(self, message: StateRequest) -> StateReply:
        """Remembers streams for a peer, and names the versions of those that it asks for."""
        if (message.keep or message.keep_disputed) and self._stopping:
            return StateReply(None, (), False)
        now_ms = self._clock.now_ms()
        for key, software in message.keep.items():
            self._told.add(key, frozenset((software,)), now_ms)
        for key, versions in message.keep_disputed.items():
            self._told.add(key, frozenset(versions), now_ms)
        known: dict[StreamKey, Versions] = {}
        for key in message.streams:
            known[key] = self._known(key)
            if not known[key] and message.search:
                known[key] = FoundRecords(await self._find(key, math.inf, search=False)).versions
        single, disputed = _split(known)
        possible: Collection[SoftwareVersion] | None = None
        if message.question is not None and self._compute is not None:
            possible = await self._compute(message.question)
        return StateReply(
            None,
            (),
            False,
            single,
            # To earlier builds, a disputed stream is not one that this host denies.
            self._clock.now_ms() - self._remembers_since_ms() if not disputed else None,
            tuple(sorted(possible)) if possible is not None else None,
            disputed,
        )

    async def close(self) -> None:
        """Ends all messages."""
        self._closed = True
        await self._background.finish(0.0)
