"""Decides whether the configuration of a host is known to be recent; without input or output.

The confirmation time is the latest monotonic time such that each configuration which the store
acknowledged before it is certain to be known here. All evidence is dated by the start of a query:
its answer may have been given at any time since then, and held up on its way.
"""

from __future__ import annotations

import math

from medlarvale.forwarding.interface import NO_WAIT_MS
from medlarvale.forwarding.messages import RouteTable
from medlarvale.ids import ConfigVersion

# Share of the time after which a removed key must not be accepted, up to which keys are accepted.
# The rest covers the time between the check and the start of a run.
ACCEPT_SHARE = 0.9
# Longest wait of a watch, as a share of that time. A host that the store refuses may get its
# evidence from a neighbour of a reader: two waits of the reader (1.25 s of 5 s), the interval of
# the reader's answers (0.8 s), that of the queries (1 s) and one lost query (1 s) make 4.05 s, less
# than the accepted 4.5 s. With a fifth, one lost query would be too many (4.8 s).
WATCH_SHARE = 0.125
# Age from which peers are asked as well, and from which a watch does not wait, as shares of it.
ASK_SHARE = 0.4
HASTE_SHARE = 0.5
# A key that is not listed is only called unknown within this time, because a new configuration may
# take as long to take effect. Without evidence, the key may have been added meanwhile.
UNKNOWN_KEY_MS = 3_000.0
# The same where revocation is not bounded and a watch waits for 2 s: two waits, the interval of the
# answers of a reader, and some time for the answers themselves.
UNBOUNDED_UNKNOWN_KEY_MS = 6_000.0
# A restored store may lack configurations that hosts know. Hellos of several hosts arrive within
# this time and name theirs.
RESTORED_MS = 2_000.0
# Told to peers without a confirmation time; an earlier build tells none.
UNCONFIRMED_AGE_MS = 1e15
# The periods at which hosts ask each other fit this bound; a shorter one shortens them.
USUAL_REVOKE_MS = 5_000.0


class ConfigConfirmation:
    """Keeps the confirmation time of one host.

    Attributes:
        answered_ms: start of the newest call to the store that was answered; all changes of its
            list of servers before it are known for certain.

    Args:
        revoke_ms: time after which no request with a removed key may be accepted; None without such
            a bound.
    """

    def __init__(self, revoke_ms: float | None = None) -> None:
        self._revoke_ms = revoke_ms
        self.answered_ms = -math.inf
        self._confirmed_ms = -math.inf
        # Version that the store lists in its present era; None if it has not been read since then.
        self._listed: ConfigVersion | None = None
        self._restored_ms = -math.inf
        # Version that the store has given out again, with other contents than are known here.
        self._repeated = ConfigVersion(0)
        # Newest version that a peer has named and this host lacked, and when it heard of one first.
        self._newer = ConfigVersion(0)
        self._newer_ms = math.inf

    @property
    def bounded(self) -> bool:
        """Whether a removed key must be refused after a time, also without access to the store."""
        return self._revoke_ms is not None

    def note_published(self, table: RouteTable | None, known: RouteTable | None) -> None:
        """Records the configuration that the store lists.

        Args:
            table: the configuration; None if the store lists none.
            known: the newest known one, after ``table`` has been taken into account.
        """
        if table is None or known is None:
            self._listed = ConfigVersion(0)
        elif table.version == known.version and table != known:
            # A restored store has given out the version again.
            self._repeated = known.version
            self._listed = ConfigVersion(0)
        else:
            self._listed = table.version

    def note_restored(self, now_ms: float) -> None:
        """Records that the store has come back from an older copy."""
        self._listed = None
        self._restored_ms = now_ms

    def note_answer(self, started_ms: float, known: ConfigVersion) -> None:
        """Records that the store has told of all changes.

        Args:
            started_ms: start of the call.
            known: version of the newest known configuration.
        """
        self.answered_ms = max(self.answered_ms, started_ms)
        if self.lists(known) and started_ms >= self._restored_ms + RESTORED_MS:
            self._confirmed_ms = max(self._confirmed_ms, started_ms)

    def lists(self, known: ConfigVersion) -> bool:
        """Returns whether the store lists just the known version, not an older or newer one."""
        return self._listed == known > 0

    def note_peer(
        self,
        asked_ms: float,
        age_ms: float | None,
        version: ConfigVersion,
        known: ConfigVersion,
        *,
        same_era: bool = False,
    ) -> None:
        """Records the confirmation time of a peer.

        Args:
            asked_ms: start of the query.
            age_ms: age of the peer's confirmation time when the query arrived there, negative if it
                is later; None from an earlier build.
            version: version of the peer's configuration.
            known: version of the newest known one, with that of the peer taken into account.
            same_era: whether the peer reads the store in the era that this host knows.
        """
        if age_ms is None or age_ms >= UNCONFIRMED_AGE_MS or version != known or not known:
            return
        if version == self._repeated:
            # The peer may have the other configuration of this version.
            return
        self._confirmed_ms = max(self._confirmed_ms, asked_ms - age_ms)
        if same_era:
            self._listed = known

    def note_heard(self, version: ConfigVersion, known: ConfigVersion, now_ms: float) -> None:
        """Records that a peer has named a version, which may be missing here."""
        if version <= known:
            return
        if self._newer <= known:
            self._newer_ms = now_ms
        self._newer = max(self._newer, version)

    def confirmed_ms(self, known: ConfigVersion) -> float:
        """Returns the confirmation time; minus infinity without one.

        Args:
            known: version of the newest known configuration.
        """
        if self._newer > known:
            return min(self._confirmed_ms, self._newer_ms)
        return self._confirmed_ms

    def age_ms(self, now_ms: float, known: ConfigVersion) -> float:
        """Returns the time since the confirmation time; infinite without one."""
        return now_ms - self.confirmed_ms(known)

    def age_to_send(self, asked_ms: float, known: ConfigVersion) -> float:
        """Returns the age that a peer is told.

        Args:
            asked_ms: when the query of the peer arrived.
            known: version of the newest known configuration.
        """
        return min(UNCONFIRMED_AGE_MS, self.age_ms(asked_ms, known))

    def accepts_keys(self, now_ms: float, known: ConfigVersion) -> bool:
        """Returns whether requests with a listed key may be accepted."""
        if self._revoke_ms is None:
            return True
        return self.age_ms(now_ms, known) <= ACCEPT_SHARE * self._revoke_ms

    def tells_unknown_keys(self, now_ms: float, known: ConfigVersion) -> bool:
        """Returns whether a key that is not listed is known to be in no configuration."""
        if self._revoke_ms is None:
            return self.age_ms(now_ms, known) <= UNBOUNDED_UNKNOWN_KEY_MS
        limit_ms = min(UNKNOWN_KEY_MS, ACCEPT_SHARE * self._revoke_ms)
        return self.age_ms(now_ms, known) <= limit_ms

    def asks_peers(self, now_ms: float, known: ConfigVersion) -> bool:
        """Returns whether to ask peers for their confirmation time."""
        if self._revoke_ms is None:
            return False
        return self.age_ms(now_ms, known) > ASK_SHARE * self._revoke_ms

    def period_ms(self, usual_ms: float) -> float:
        """Returns a period at which hosts ask each other."""
        if self._revoke_ms is None:
            return usual_ms
        return min(1.0, self._revoke_ms / USUAL_REVOKE_MS) * usual_ms

    def watch_wait_ms(self, usual_ms: int, now_ms: float, known: ConfigVersion) -> int:
        """Returns how long a watch of the store waits for changes."""
        if self._revoke_ms is None:
            return usual_ms
        hastens = self.age_ms(now_ms, known) > HASTE_SHARE * self._revoke_ms
        if hastens and self.lists(known):
            return NO_WAIT_MS
        return min(usual_ms, max(NO_WAIT_MS, int(WATCH_SHARE * self._revoke_ms)))
