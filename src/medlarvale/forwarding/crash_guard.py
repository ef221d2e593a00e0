"""Refuses requests that crash the backend servers that run them; hosts share the evidence."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping

import msgspec

from medlarvale.clock import Clock
from medlarvale.forwarding.background_tasks import BackgroundTasks
from medlarvale.forwarding.crash_evidence import (
    CleanRun,
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
from medlarvale.forwarding.messages import ClientRequest, RequestIdentity, Server, Target
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
        self._evidence = {kind: CrashEvidence(kind) for kind in CleanRun}
        self._unshared: dict[CleanRun, set[int]] = {kind: set() for kind in CleanRun}
        self._started_ms = 0.0
        self._background = BackgroundTasks()
        transport.register(ShareEvidence, self._merge_evidence)

    def start(self) -> None:
        """Starts the periodic expiry and comparison of evidence."""
        self._started_ms = self._clock.now_ms()
        self._clock.every_ms(COMPARE_PERIOD_MS, self._compare_with_peers)
        self._clock.every_ms(EXPIRE_PERIOD_MS, self._expire)

    def identify(
        self, request: ClientRequest, service: ServiceName, targets: Iterable[Target] = ()
    ) -> RequestIdentity:
        """Returns what identifies a request among those that may crash servers."""
        parts = (fingerprint_of_part(part) for part in request.shared_parts)
        others = (target.service for target in targets if target.service != service)
        return RequestIdentity(
            request.request_id,
            (fingerprint_of_request(request, service), *parts),
            request.shared_parts,
            fingerprint_of_request(request),
            tuple(fingerprint_of_request(request, other) for other in others),
        )

    def check(self, identity: RequestIdentity) -> None:
        """Checks that a request may run now.

        Raises:
            CrashingRequestError: if it has crashed too many servers.
        """
        self._add_losses_by_service(identity)
        wall_ms = self._clock.wall_ms()
        left_ms = max(
            evidence.quarantine_left_ms(_counted_as(kind, identity), wall_ms)
            for kind, evidence in self._evidence.items()
        )
        if left_ms > 0:
            raise CrashingRequestError(
                "the request has crashed several backend servers", retry_after_ms=left_ms
            )

    def _add_losses_by_service(self, identity: RequestIdentity) -> None:
        """Counts at all services what hosts of earlier builds have counted at one of them."""
        for known in (identity.fingerprints[0], *identity.at_other_services):
            losses = self._evidence[CleanRun.WENT_ON].counted(known)
            if losses:
                self._evidence[CleanRun.COMPLETED].add_losses(identity.at_any_service, losses)

    def note_broken_run(
        self, identity: RequestIdentity, server: Server, events: int, *, went_on: bool = False
    ) -> None:
        """Checks whether a server crashed when its connection broke before the answer ended."""
        self._background.start(self._probe_server(identity, server, events, went_on))

    def note_clean_run(self, identity: RequestIdentity, *, complete: bool = True) -> None:
        """Records that a request ran without crashing its server."""
        kinds = tuple(CleanRun) if complete else (CleanRun.WENT_ON,)
        wall_ms = self._clock.wall_ms()
        self._share_soon(
            {
                kind: self._evidence[kind].record_clean_run(_counted_as(kind, identity), wall_ms)
                for kind in kinds
            }
        )

    async def _probe_server(
        self, identity: RequestIdentity, server: Server, events: int, went_on: bool
    ) -> None:
        reason = ""
        for _ in range(PROBES):
            await self._clock.sleep_ms(PROBE_DELAY_MS)
            try:
                await self._backends.probe(server)
            except ServerDownError:
                self._record(identity, server, events, went_on)
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

    def _record(
        self, identity: RequestIdentity, server: Server, events: int, went_on: bool
    ) -> None:
        event = LossEvent(server.server, server.born_ms, 0)
        kinds = (CleanRun.COMPLETED,) if went_on else tuple(CleanRun)
        wall_ms = self._clock.wall_ms()
        changed = {
            kind: self._evidence[kind].record_loss(_counted_as(kind, identity), event, wall_ms)
            for kind in kinds
        }
        if any(changed.values()):
            log_warning(
                Event.SERVER_LOST,
                server=server.server,
                request=identity.request_id,
                shared_parts=identity.shared_parts,
                events=events,
                went_on=went_on,
                losses={
                    f"{fingerprint:016x}": self._evidence[CleanRun.COMPLETED].loss_count(
                        fingerprint
                    )
                    for fingerprint in _counted_as(CleanRun.COMPLETED, identity).fingerprints
                },
            )
        self._share_soon(changed)

    def _expire(self) -> None:
        for evidence in self._evidence.values():
            evidence.expire(self._clock.wall_ms())

    def _share_soon(self, fingerprints: Mapping[CleanRun, Iterable[int]]) -> None:
        """Sends the evidence about some fingerprints to all peers after a short delay."""
        waiting = any(self._unshared.values())
        for kind, changed in fingerprints.items():
            self._unshared[kind].update(changed)
        if any(self._unshared.values()) and not waiting:
            self._background.start(self._share_with_all())

    async def _share_with_all(self) -> None:
        await self._clock.sleep_ms(SHARE_DELAY_MS)
        message = _evidence_message(
            {
                kind: tuple(self._evidence[kind].evidence_of(known) for known in unshared)
                for kind, unshared in self._unshared.items()
            }
        )
        for unshared in self._unshared.values():
            unshared.clear()
        for host in self._peers():
            self._background.start(self._share(host, message))

    async def _share(self, host: HostId, message: ShareEvidence) -> None:
        try:
            await self._transport.request(host, message, SHARE_TIMEOUT_MS)
        except PeerError as error:
            log_warning(Event.EVIDENCE_NOT_SHARED, peer=host, error=error.message)

    def _compare_with_peers(self) -> None:
        refuses = any(self._digests().values())
        if not refuses and self._clock.now_ms() - self._started_ms > JOIN_MS:
            return
        peers = list(self._peers())
        for host in self._rng.sample(peers, min(COMPARE_PEERS, len(peers))):
            self._background.start(self._compare(host))

    async def _compare(self, host: HostId) -> None:
        """Exchanges evidence with a peer whose evidence differs."""
        digests = self._digests()
        question = ShareEvidence(
            (), digests[CleanRun.WENT_ON], completed_digest=digests[CleanRun.COMPLETED]
        )
        try:
            reply = await self._transport.request(host, question, SHARE_TIMEOUT_MS)
        except PeerError as error:
            log_warning(Event.EVIDENCE_NOT_SHARED, peer=host, error=error.message)
            return
        if isinstance(reply, ShareEvidence):
            self._merge(reply)
            await self._share(host, self._condemned())

    async def _merge_evidence(
        self, sender: HostIdentity, message: ShareEvidence
    ) -> ShareEvidence | QuarantineAccepted:
        self._merge(message)
        digests = self._digests()
        if message.digest in (None, digests[CleanRun.WENT_ON]) and (
            message.completed_digest in (None, digests[CleanRun.COMPLETED])
        ):
            return QuarantineAccepted()
        return self._condemned()

    def _merge(self, message: ShareEvidence) -> None:
        parts = {CleanRun.WENT_ON: message.evidence, CleanRun.COMPLETED: message.completed}
        self._share_soon({kind: self._evidence[kind].merge(part) for kind, part in parts.items()})

    def _digests(self) -> dict[CleanRun, int]:
        return {kind: evidence.digest() for kind, evidence in self._evidence.items()}

    def _condemned(self) -> ShareEvidence:
        """Returns the evidence about everything that this host refuses."""
        return _evidence_message(
            {kind: evidence.condemned_evidence() for kind, evidence in self._evidence.items()}
        )


def _counted_as(kind: CleanRun, identity: RequestIdentity) -> RequestIdentity:
    """Returns the identity under which one kind of evidence counts a request."""
    if kind is CleanRun.WENT_ON:
        return identity
    fingerprints = (identity.at_any_service, *identity.fingerprints[1:])
    return msgspec.structs.replace(identity, fingerprints=fingerprints)


def _evidence_message(parts: Mapping[CleanRun, tuple[Evidence, ...]]) -> ShareEvidence:
    return ShareEvidence(parts[CleanRun.WENT_ON], completed=parts[CleanRun.COMPLETED])
