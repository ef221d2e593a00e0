"""Refuses requests that crash the backend servers that run them; hosts share the evidence."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from medlarvale.clock import Clock
from medlarvale.forwarding.context import BackgroundTasks
from medlarvale.forwarding.crash_evidence import (
    CrashEvidence,
    fingerprint_of_part,
    fingerprint_of_request,
)
from medlarvale.forwarding.errors import (
    BackendError,
    CrashingRequestError,
    NotSentError,
    ServerDownError,
)
from medlarvale.forwarding.interface import Backends
from medlarvale.forwarding.messages import ClientRequest, RequestIdentity, Server
from medlarvale.ids import HostId, HostIdentity, ServiceName
from medlarvale.logs import Event, log_info, log_warning
from medlarvale.peers.errors import PeerError
from medlarvale.peers.transport import Transport
from medlarvale.quarantine.messages import (
    Evidence,
    LossEvent,
    QuarantineAccepted,
    ShareEvidence,
)

# A crashed server refuses connections until it has restarted, which takes some seconds.
PROBE_DELAY_MS = 100.0
# A probe is repeated if it gets no answer, because packets may have been lost. All of them end
# before the server has restarted.
PROBES = 3
SHARE_TIMEOUT_MS = 500.0
# The losses of all requests that ran on a server are shared in one message.
SHARE_DELAY_MS = 10.0
EXPIRE_PERIOD_MS = 10_000.0
# While requests are refused, each host compares its evidence with that of some peers at random once
# per period: a host that was replaced, or that missed a message, knows all of it within about 3 s.
COMPARE_PERIOD_MS = 1_000.0
COMPARE_PEERS = 2
# A host that has just started asks its peers although it refuses nothing.
JOIN_MS = 10_000.0


class CrashGuard:
    """Counts the servers that were lost while they ran each request.

    Args:
        backends: used to check whether a server still accepts connections.
        transport: used to share evidence with the peers.
        peers: returns the live peers.
        clock: time service.
        rng: selects the peers with which evidence is compared.
    """

    def __init__(
        self,
        backends: Backends,
        transport: Transport,
        peers: Callable[[], Iterable[HostId]],
        clock: Clock,
        rng: random.Random | None = None,
    ) -> None:
        self._rng = rng or random.Random(0)
        self._backends = backends
        self._transport = transport
        self._peers = peers
        self._clock = clock
        self._evidence = CrashEvidence()
        self._unshared: set[int] = set()
        self._started_ms = 0.0
        self._background = BackgroundTasks()
        transport.register(ShareEvidence, self._merge_evidence)

    def start(self) -> None:
        """Starts the periodic expiry and comparison of evidence."""
        self._started_ms = self._clock.now_ms()
        self._clock.every_ms(COMPARE_PERIOD_MS, self._compare_with_peers)
        self._clock.every_ms(EXPIRE_PERIOD_MS, lambda: self._evidence.expire(self._clock.wall_ms()))

    def identify(self, request: ClientRequest, service: ServiceName) -> RequestIdentity:
        """Returns what identifies a request among those that may crash servers."""
        parts = (fingerprint_of_part(part) for part in request.shared_parts)
        return RequestIdentity(
            request.request_id,
            (fingerprint_of_request(request, service), *parts),
            request.shared_parts,
        )

    def check(self, identity: RequestIdentity) -> None:
        """Checks that a request may run now.

        Raises:
            CrashingRequestError: if it has crashed too many servers.
        """
        left_ms = self._evidence.quarantine_left_ms(identity, self._clock.wall_ms())
        if left_ms > 0:
            raise CrashingRequestError(
                "the request has crashed several backend servers", retry_after_ms=left_ms
            )

    def note_broken_run(self, identity: RequestIdentity, server: Server, events: int) -> None:
        """Checks whether a server crashed when its connection broke before the answer ended."""
        self._background.start(self._probe_server(identity, server, events))

    def note_clean_run(self, identity: RequestIdentity) -> None:
        """Records that a request ran without crashing its server."""
        self._share_soon(self._evidence.record_clean_run(identity, self._clock.wall_ms()))

    async def _probe_server(self, identity: RequestIdentity, server: Server, events: int) -> None:
        reason = ""
        for _ in range(PROBES):
            await self._clock.sleep_ms(PROBE_DELAY_MS)
            try:
                await self._backends.probe(server)
            except ServerDownError:
                self._record(identity, server, events)
                return
            except NotSentError as error:
                reason = error.message
            except BackendError:
                # The server still accepts connections, so it did not crash.
                return
            else:
                return
        # Behind a partition, a server is silent, whatever ran on it.
        log_info(
            Event.LOSS_UNKNOWN, server=server.server, request=identity.request_id, error=reason
        )

    def _record(self, identity: RequestIdentity, server: Server, events: int) -> None:
        event = LossEvent(server.server, server.born_ms, 0)
        changed = self._evidence.record_loss(identity, event, self._clock.wall_ms())
        if changed:
            log_warning(
                Event.SERVER_LOST,
                server=server.server,
                request=identity.request_id,
                shared_parts=identity.shared_parts,
                events=events,
                losses={
                    f"{fingerprint:016x}": self._evidence.loss_count(fingerprint)
                    for fingerprint in identity.fingerprints
                },
            )
        self._share_soon(changed)

    def _share_soon(self, fingerprints: Iterable[int]) -> None:
        """Sends the evidence about some fingerprints to all peers after a short delay."""
        waiting = bool(self._unshared)
        self._unshared.update(fingerprints)
        if self._unshared and not waiting:
            self._background.start(self._share_with_all())

    async def _share_with_all(self) -> None:
        await self._clock.sleep_ms(SHARE_DELAY_MS)
        evidence = tuple(self._evidence.evidence_of(known) for known in self._unshared)
        self._unshared.clear()
        for host in self._peers():
            self._background.start(self._share(host, evidence))

    async def _share(self, host: HostId, evidence: tuple[Evidence, ...]) -> None:
        try:
            await self._transport.request(host, ShareEvidence(evidence), SHARE_TIMEOUT_MS)
        except PeerError as error:
            log_warning(Event.EVIDENCE_NOT_SHARED, peer=host, error=error.message)

    def _compare_with_peers(self) -> None:
        digest = self._evidence.digest()
        if not digest and self._clock.now_ms() - self._started_ms > JOIN_MS:
            return
        peers = list(self._peers())
        for host in self._rng.sample(peers, min(COMPARE_PEERS, len(peers))):
            self._background.start(self._compare(host, digest))

    async def _compare(self, host: HostId, digest: int) -> None:
        """Exchanges evidence with a peer whose evidence differs."""
        try:
            reply = await self._transport.request(host, ShareEvidence((), digest), SHARE_TIMEOUT_MS)
        except PeerError as error:
            log_warning(Event.EVIDENCE_NOT_SHARED, peer=host, error=error.message)
            return
        if isinstance(reply, ShareEvidence):
            self._share_soon(self._evidence.merge(reply.evidence))
            await self._share(host, self._evidence.condemned_evidence())

    async def _merge_evidence(
        self, sender: HostIdentity, message: ShareEvidence
    ) -> ShareEvidence | QuarantineAccepted:
        self._share_soon(self._evidence.merge(message.evidence))
        if message.digest is None or message.digest == self._evidence.digest():
            return QuarantineAccepted()
        return ShareEvidence(self._evidence.condemned_evidence())
