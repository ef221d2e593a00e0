"""Request rates that backend servers in trouble name as the most they take; without I/O.

A limit holds for all hosts together. Each host that may use a limited server gets an equal share of
its rate. The hosts tell each other what servers have named, so that one that has not been told by
the server itself keeps the limit too.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import Annotated

import msgspec

from medlarvale.forwarding.messages import MAX_FLOAT, Finite, Server
from medlarvale.hashing import weight
from medlarvale.ids import FailureDomain, HostId, ServerId
from medlarvale.logs import Event, log_info

# At most this many hosts, or one for each request per second, share a limited server: each may send
# a request at once after a pause, so with more hosts these requests would exceed the limit.
SHARING_HOSTS = 4
# Requests that a host may send at once after a pause, in seconds of its rate, besides one.
BURST_S = 0.25
# A lower limit could not be found to have ended, since only an answer shows it.
MIN_LIMIT_PER_S = 0.1
# A limit that no answer has confirmed for this long is not kept. For as long, hosts also tell each
# other that a limit has ended.
EXPIRE_MS = 30_000.0
# The share of a host is computed again after this time: hosts exchange messages as often.
SHARE_PERIOD_MS = 500.0


class NamedLimit(msgspec.Struct, frozen=True, array_like=True):
    """What a server said about its limit.

    Attributes:
        limit_per_s: requests per second from all hosts; None if the server named no limit any more.
        age_ms: time since its answer.
    """

    limit_per_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_FLOAT)] | None
    age_ms: Finite


class _Limit:
    """The limit of one server and the requests that this host may send to it.

    Attributes:
        unlisted_born_ms: start of the server if its entry is gone; None while it is listed.
    """

    def __init__(self, limit_per_s: float | None, named_ms: float, now_ms: float) -> None:
        self.limit_per_s = limit_per_s
        self.named_ms = named_ms
        self.tokens = 0.0
        self.refilled_ms = now_ms
        self.rate_per_s = 0.0
        self.rate_until_ms = now_ms
        self.unlisted_born_ms: int | None = None


class ServerLimits:
    """The limits that servers have named, and this host's share of them.

    Args:
        host: this host.
        failure_domain: its failure domain.
    """

    def __init__(self, host: HostId, failure_domain: FailureDomain) -> None:
        self._host = host
        self._failure_domain = failure_domain
        self._hosts: Callable[[], Mapping[HostId, FailureDomain]] = dict
        self._limits: dict[ServerId, _Limit] = {}

    def share_with(self, hosts: Callable[[], Mapping[HostId, FailureDomain]]) -> None:
        """Sets the function that returns the other live hosts with their failure domains."""
        self._hosts = hosts

    def note(self, server: ServerId, limit_per_s: float | None, now_ms: float) -> None:
        """Records what an answer of a server says; ``limit_per_s`` is None without a limit."""
        if limit_per_s is not None or server in self._limits:
            self._update(server, limit_per_s, now_ms, now_ms)

    def merge(self, server: ServerId, named: NamedLimit, now_ms: float) -> None:
        """Records what a peer knows, unless a newer answer is known here."""
        named_ms = now_ms - max(0.0, named.age_ms)
        known = self._limits.get(server)
        if now_ms - named_ms < EXPIRE_MS and (known is None or known.named_ms < named_ms):
            self._update(server, named.limit_per_s, named_ms, now_ms)

    def _update(
        self, server: ServerId, limit_per_s: float | None, named_ms: float, now_ms: float
    ) -> None:
        limit = self._limits.get(server)
        if limit is None:
            limit = self._limits[server] = _Limit(None, named_ms, now_ms)
        if limit_per_s != limit.limit_per_s:
            log_info(Event.LIMIT_CHANGED, server=server, limit_per_s=limit_per_s)
            limit.rate_until_ms = now_ms
            if limit.limit_per_s is None:
                limit.tokens, limit.refilled_ms = 0.0, now_ms
        limit.limit_per_s = limit_per_s
        limit.named_ms = named_ms

    def forget(self, server: ServerId) -> None:
        """Removes a server that has ended."""
        self._limits.pop(server, None)

    def note_unlisted(self, server: Server) -> None:
        """Records that the entry of a server is gone; it may have lapsed while the server runs on.

        Its limit holds again if the same incarnation (its id and start) is listed again.

        Args:
            server: its last entry.
        """
        limit = self._limits.get(server.server)
        if limit is None:
            return
        if not server.born_ms:
            # Another incarnation can't be told apart without its start.
            self.forget(server.server)
            return
        limit.unlisted_born_ms = server.born_ms

    def note_listed(self, server: Server) -> None:
        """Records a new entry; forgets what an earlier incarnation of the server has named.

        Args:
            server: its entry.
        """
        limit = self._limits.get(server.server)
        if limit is None:
            return
        if limit.unlisted_born_ms != server.born_ms:
            self.forget(server.server)
            return
        limit.unlisted_born_ms = None

    def to_announce(self, now_ms: float) -> dict[ServerId, NamedLimit]:
        """Returns what the peers should know; removes limits that have expired.

        Limits carry no start, so those of servers that are not listed are not announced: peers may
        list another incarnation already.
        """
        for server, limit in list(self._limits.items()):
            if now_ms - limit.named_ms >= EXPIRE_MS:
                del self._limits[server]
        return {
            server: NamedLimit(limit.limit_per_s, now_ms - limit.named_ms)
            for server, limit in self._limits.items()
            if limit.unlisted_born_ms is None
        }

    def wait_ms(self, server: Server, now_ms: float) -> float:
        """Returns the time until this host may send a request to a server; 0 if it may now."""
        limit = self._limits.get(server.server)
        if limit is None or limit.limit_per_s is None or now_ms - limit.named_ms >= EXPIRE_MS:
            return 0.0
        self._refill(limit, limit.limit_per_s, server, now_ms)
        missing = 1.0 - limit.tokens
        if missing <= 0.0:
            return 0.0
        return 1000.0 * missing / limit.rate_per_s if limit.rate_per_s > 0.0 else math.inf

    def take(self, server: Server) -> None:
        """Counts a request that is sent to a server."""
        limit = self._limits.get(server.server)
        if limit is not None and limit.limit_per_s is not None:
            limit.tokens -= 1.0

    def _refill(self, limit: _Limit, limit_per_s: float, server: Server, now_ms: float) -> None:
        earned = limit.rate_per_s * (now_ms - limit.refilled_ms) / 1000.0
        limit.refilled_ms = now_ms
        limit.tokens = min(limit.tokens + earned, 1.0 + BURST_S * limit.rate_per_s)
        if now_ms >= limit.rate_until_ms:
            limit.rate_per_s = self._share_per_s(max(limit_per_s, MIN_LIMIT_PER_S), server)
            limit.rate_until_ms = now_ms + SHARE_PERIOD_MS

    def _share_per_s(self, limit_per_s: float, server: Server) -> float:
        """Returns this host's share of a limit: hosts of the server's failure domain come first."""
        others = self._hosts()
        sharing = max(SHARING_HOSTS, math.ceil(limit_per_s))
        if len(others) < sharing:
            return limit_per_s / (len(others) + 1)

        def rank(host: HostId, domain: FailureDomain) -> tuple[bool, int]:
            return domain != server.failure_domain, weight(server.server, host)

        own = rank(self._host, self._failure_domain)
        before = sum(rank(host, domain) < own for host, domain in others.items())
        return limit_per_s / sharing if before < sharing else 0.0
