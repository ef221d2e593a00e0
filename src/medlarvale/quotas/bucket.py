"""Token bucket of one workspace, without I/O."""

from __future__ import annotations

from medlarvale.forwarding.messages import Quota

# Share of the burst with which the bucket of a new owner starts.
START_SHARE = 0.5
# Advances leave this share of the burst to requests that wait.
ADVANCE_FLOOR = 0.5
# A request may take the level below zero by this share of the burst. Otherwise small requests would
# use up each refill of a workspace over its limit before a large request ever fits.
DEBT_SHARE = 0.25
# Promised times lie at most this far ahead; callers honour at most a third of their time.
MAX_PROMISE_MS = 10_000.0


class TokenBucket:
    """Amount that a workspace may use now.

    Attributes:
        used_ms: time of the last request.
        substitute: whether the bucket was created while a better owner was heard, and still is one.

    Args:
        quota: the quota.
        now_ms: current time.
        scale: share of the quota that this bucket grants.
        first_amount: amount of the request for which the bucket is created; a calm workspace with a
            small burst is not refused because the owner is new.
        fresh_ms: time during which the bucket is not refilled.
    """

    def __init__(
        self,
        quota: Quota,
        now_ms: float,
        scale: float,
        first_amount: float = 0.0,
        fresh_ms: float = 0.0,
    ) -> None:
        self.used_ms = now_ms
        self.substitute = False
        self._quota = quota
        self._scale = scale
        self._level = min(self._capacity, max(self._capacity * START_SHARE, first_amount))
        self._filled_ms = now_ms + fresh_ms
        self._promised_ms = 0.0

    @property
    def level(self) -> float:
        """Amount left; negative after a request that was larger than the amount left."""
        return self._level

    @property
    def _capacity(self) -> float:
        return self._quota.burst * self._scale

    @property
    def _rate_per_ms(self) -> float:
        return self._quota.rate_per_s * self._scale / 1000.0

    def refill(self, quota: Quota, now_ms: float, scale: float) -> None:
        """Adds what has accrued and applies a changed quota or share at once."""
        if now_ms > self._filled_ms:
            self._level += (now_ms - self._filled_ms) * self._rate_per_ms
            self._filled_ms = now_ms
        self._quota, self._scale = quota, scale
        self._level = min(self._level, self._capacity)

    def start(self) -> None:
        """Gives a new owner its share of the burst."""
        self._level = max(self._level, self._capacity * START_SHARE)

    def restart(self, now_ms: float, fresh_ms: float) -> None:
        """Treats this host as a new owner, as after a pause in which another may have granted."""
        self._level = min(self._level, self._capacity * START_SHARE)
        self._filled_ms = now_ms + fresh_ms

    def take(self, amount: float, now_ms: float) -> bool:
        """Takes the amount of one request and returns whether it was granted."""
        self.used_ms = now_ms
        if self._level < self._threshold(amount):
            return False
        self._level -= amount
        return True

    def _threshold(self, amount: float) -> float:
        """Returns the level at which a request is granted.

        A request larger than the burst needs a full bucket.
        """
        debt = self._capacity * DEBT_SHARE
        return min(max(amount - debt, 0.0), self._capacity)

    def take_advance(self, amount: float) -> float:
        """Takes up to an amount for requests to come, and returns what was granted."""
        spare = self._level - self._capacity * ADVANCE_FLOOR
        granted = max(0.0, min(amount, spare))
        self._level -= granted
        return granted

    def credit(self, amount: float) -> None:
        """Puts back what was granted and not used."""
        self._level = min(self._level + amount, self._capacity)

    def promise_ms(self, amount: float, now_ms: float) -> float:
        """Returns the time after which a refused amount fits after those promised before it."""
        rate = self._rate_per_ms
        if rate <= 0.0:
            return MAX_PROMISE_MS
        fits_ms = self._filled_ms + (self._threshold(amount) - self._level) / rate
        at_ms = max(fits_ms, self._promised_ms, now_ms)
        at_ms = min(at_ms, now_ms + MAX_PROMISE_MS)
        self._promised_ms = at_ms + amount / rate
        return at_ms - now_ms
