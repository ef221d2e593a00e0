"""Refuses requests that crash the backend servers that run them; hosts share the evidence."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from medlarvale.clock import Clock
from medlarvale.forwarding.context import BackgroundTasks
from medlarvale.forwarding.errors import BackendError, CrashingRequestError, NotSentError
from medlarvale.forwarding.interface import Backends
from medlarvale.forwarding.messages import ClientRequest, RequestIdentity, Server
from medlarvale.ids import HostId, HostIdentity, ServiceName, WorkspaceId
from medlarvale.logs import Event, log_warning
from medlarvale.peers.errors import PeerError
from medlarvale.peers.transport import Transport
from medlarvale.quarantine.messages import (
    Evidence,
    Loss,
    LossEvent,
    QuarantineAccepted,
    ShareEvidence,
)
from medlarvale.quarantine.suspects import QuarantineLimits, SuspectTable, fingerprint_of

# A crashed server refuses connections until it has restarted, which takes some seconds.
PROBE_DELAY_MS = 100.0
SHARE_TIMEOUT_MS = 500.0
EXPIRE_PERIOD_MS = 10_000.0


class CrashGuard:
    """Counts the servers that were lost while they ran each request.

    Args:
        backends: used to check whether a server still accepts connections.
        transport: used to share evidence with the peers.
        peers: returns the live peers.
        clock: time service.
    """

    def __init__(
        self,
        backends: Backends,
        transport: Transport,
        peers: Callable[[], Iterable[HostId]],
        clock: Clock,
    ) -> None:
        self._backends = backends
        self._transport = transport
        self._peers = peers
        self._clock = clock
        self._suspects = SuspectTable(QuarantineLimits())
        self._background = BackgroundTasks()
        transport.register(ShareEvidence, self._merge_evidence)

    def start(self) -> None:
        """Starts the periodic expiry of evidence."""
        self._clock.every_ms(EXPIRE_PERIOD_MS, lambda: self._suspects.expire(self._clock.wall_ms()))

    def check(self, request: ClientRequest, service: ServiceName) -> RequestIdentity:
        """Returns the identity of a request that may run.

        Raises:
            CrashingRequestError: if it has crashed too many servers.
        """
        # The platform does not pass a workspace; the host name identifies the caller's service.
        body = request.path.encode() + b"\0" + request.body
        fingerprint = fingerprint_of(WorkspaceId(request.host), service, body)
        left_ms = self._suspects.quarantine_left_ms(fingerprint, self._clock.wall_ms())
        if left_ms > 0:
            raise CrashingRequestError(
                "the request has crashed several backend servers", retry_after_ms=left_ms
            )
        return RequestIdentity(request.request_id, fingerprint, request.shared_parts)

    def note_broken_run(self, identity: RequestIdentity, server: Server, events: int) -> None:
        """Checks whether a server crashed when its connection broke before the answer ended."""
        self._background.start(self._probe_server(identity, server, events))

    async def _probe_server(self, identity: RequestIdentity, server: Server, events: int) -> None:
        await self._clock.sleep_ms(PROBE_DELAY_MS)
        try:
            await self._backends.probe(server)
        except NotSentError:
            self._record(identity, server, events)
        except BackendError:
            # The server still accepts connections, so it did not crash.
            return

    def _record(self, identity: RequestIdentity, server: Server, events: int) -> None:
        fingerprint = identity.fingerprint
        event = LossEvent(server.server, server.born_ms, 0)
        if not self._suspects.record_loss(fingerprint, Loss(self._clock.wall_ms(), event)):
            return
        evidence = self._suspects.evidence_of(fingerprint)
        log_warning(
            Event.SERVER_LOST,
            server=server.server,
            request=identity.request_id,
            shared_parts=identity.shared_parts,
            events=events,
            fingerprint=f"{fingerprint:016x}",
            losses=len(evidence.losses),
        )
        for host in self._peers():
            self._background.start(self._share(host, evidence))

    async def _share(self, host: HostId, evidence: Evidence) -> None:
        try:
            await self._transport.request(host, ShareEvidence((evidence,)), SHARE_TIMEOUT_MS)
        except PeerError as error:
            log_warning(Event.EVIDENCE_NOT_SHARED, peer=host, error=error.message)

    async def _merge_evidence(
        self, sender: HostIdentity, message: ShareEvidence
    ) -> QuarantineAccepted:
        for evidence in message.evidence:
            self._suspects.merge(evidence)
        return QuarantineAccepted()
