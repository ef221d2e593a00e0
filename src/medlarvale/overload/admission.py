"""Decides which requests for decode memory are refused, and when their callers may return."""

from __future__ import annotations

import enum
from collections import Counter, deque
from collections.abc import Callable, Mapping, Sequence

import msgspec

from medlarvale.forwarding.engine_model import EngineModel
from medlarvale.forwarding.errors import OverloadedError
from medlarvale.forwarding.memory_request import MemoryRequest
from medlarvale.forwarding.messages import EngineTraits
from medlarvale.ids import HostId, ServiceName, WorkspaceId
from medlarvale.logs import Event, log_info
from medlarvale.overload.order import AGED_SHARE, Standing, WaitingOrder
from medlarvale.overload.priorities import ConfiguredPriorities

# Window over which the rate of reservations is measured.
RATE_MS = 2_000.0
# Fraction of an equal share of the engines that a host can rely on: load is uneven across hosts.
FAIR_SHARE = 0.5
MIN_RATE_PER_S = 0.1
# A queue of this length is too short to estimate the wait.
SHORT_QUEUE = 2
# Callers wait up to this share of their remaining time before they retry.
RETRY_SHARE_OF_TIME = 1.0 / 3.0
# Retry delay until hold times have been measured.
DEFAULT_RETRY_AFTER_MS = 1_000.0
# Hold time until one has been measured; it only weighs requests against each other.
DEFAULT_HOLD_MS = 1_000.0
# Share of the streams whose time to the first event does not exceed the usual one.
USUAL_SHARE = 0.5
# Each priority has an equal part of this share of the longest retry delay, the most urgent the
# first; delays outside of it are spread over it. Multiples of the golden ratio spread any number of
# callers evenly.
SPREAD_SHARE = 0.5
GOLDEN_RATIO = 0.618034
# Share of an engine's memory that a request leaves free for each more urgent priority of its
# service, while engines refuse reservations: other hosts may have more urgent requests waiting.
CLASS_HEADROOM = 0.1
# Numbers of waiting requests of a peer count for this time: three hellos between two hosts of a
# large fleet.
PEER_WAITING_MS = 3_000.0
# Share of the peers' requests of the same priority that are taken to be served first.
EQUAL_SHARE = 0.5
# Weight of the last request in the usual size.
USUAL_WEIGHT = 0.05
# A refusal of an engine shows for this time that memory is short.
SHORT_OF_MEMORY_MS = 1_000.0


class Refusal(enum.Enum):
    """Why the memory queue refuses a request."""

    TOO_LARGE = "the request exceeds the memory of an engine"
    NO_TIME = "the remaining time is too short for the answer"
    ASKED_TO_WAIT = "no engine wants requests in time"
    TOO_LONG = "the memory queue is too long"
    BECAME_TOO_LONG = "the memory queue has become too long"
    NO_MEMORY = "no engine had free memory in time"
    UNREACHED = "the engines can't be reached from this host"


class WaitingRequest(msgspec.Struct, frozen=True):
    """A request in the queue and the monotonic time at which it came."""

    request: MemoryRequest
    since_ms: float


class QueueRules:
    """Decisions about the waiting requests of one service; makes no calls.

    Args:
        service: the service.
        model: speeds and times of its engines.
        traits: returns their configuration.
        priorities: returns the priorities of the configuration.
        engines: returns the number of usable engines.
        hosts: returns the number of hosts that share them.
    """

    def __init__(
        self,
        service: ServiceName,
        model: EngineModel,
        traits: Callable[[], EngineTraits],
        priorities: Callable[[], ConfiguredPriorities],
        engines: Callable[[], int],
        hosts: Callable[[], int],
    ) -> None:
        self._service = service
        self._model = model
        self._traits = traits
        self._priorities = priorities
        self._engines = engines
        self._hosts = hosts
        # When each peer last said how many of its requests of each priority wait.
        self._at_peers: dict[HostId, tuple[float, Mapping[int, int]]] = {}
        self._order = WaitingOrder()
        self._granted_ms: deque[float] = deque()
        # When callers that were refused return, with their priority.
        self._returns: deque[tuple[float, int]] = deque()
        self._refusals = 0
        # Moving average of the sizes that got memory; 0 before the first.
        self._usual_tokens = 0.0
        self._engine_refused_ms = -SHORT_OF_MEMORY_MS
        self.refused: Counter[Refusal] = Counter()

    @property
    def distinguishes(self) -> bool:
        """Whether the streams of the service differ in priority or workspace."""
        return self._priorities().distinguishes(self._service)

    def is_late(self, request: MemoryRequest, now_ms: float) -> bool:
        """Returns whether a request that gets memory now would miss its first event target."""
        return request.first_event_target_ms < now_ms + self._delay_ms(now_ms)

    def _delay_ms(self, now_ms: float) -> float:
        return self._model.first_event_ms(now_ms, USUAL_SHARE) or 0.0

    def _hold_ms(self, now_ms: float) -> float:
        return self._model.hold_ms(now_ms) or DEFAULT_HOLD_MS

    def _standing(
        self, waiting: WaitingRequest, now_ms: float, delay_ms: float, hold_ms: float
    ) -> Standing:
        request, since_ms = waiting.request, waiting.since_ms
        late = request.first_event_target_ms < now_ms + delay_ms
        limit_ms = request.end_ms if late else request.first_event_target_ms
        return Standing(
            request.urgent,
            late,
            request.output_tokens,
            request.priority,
            request.workspace,
            hold_ms * request.tokens / self._traits().memory_tokens,
            aged=now_ms - since_ms > AGED_SHARE * (limit_ms - since_ms),
        )

    def _standing_now(self, waiting: WaitingRequest, now_ms: float) -> Standing:
        return self._standing(waiting, now_ms, self._delay_ms(now_ms), self._hold_ms(now_ms))

    def arrange(self, waiting: Sequence[WaitingRequest], now_ms: float) -> list[int]:
        """Returns the indices of the requests in the order in which they get memory."""
        delay_ms, hold_ms = self._delay_ms(now_ms), self._hold_ms(now_ms)
        standings = [self._standing(each, now_ms, delay_ms, hold_ms) for each in waiting]
        return self._order.arrange(standings, now_ms, distinguish=self.distinguishes)

    def is_aged(self, waiting: WaitingRequest, now_ms: float) -> bool:
        """Returns whether no other request may be tried after this one if it does not fit."""
        return self.distinguishes and self._standing_now(waiting, now_ms).aged

    def note_granted(self, waiting: WaitingRequest, now_ms: float) -> None:
        """Records that a request has got memory."""
        self._granted_ms.append(now_ms)
        change = (waiting.request.tokens - self._usual_tokens) * USUAL_WEIGHT
        self._usual_tokens += change if self._usual_tokens else waiting.request.tokens
        self._order.note_served(self._standing_now(waiting, now_ms), now_ms)

    def note_engine_refusal(self, now_ms: float) -> None:
        """Records that an engine had no memory for a request."""
        self._engine_refused_ms = now_ms

    def served_most(self, since_ms: float) -> list[WorkspaceId]:
        """Returns the workspaces that got most since a time."""
        return self._order.served.waited_for(since_ms)

    def ahead(
        self, request: MemoryRequest, waiting: Sequence[WaitingRequest], now_ms: float
    ) -> list[WaitingRequest]:
        """Returns the requests that are served before one that comes, or is, last among equals."""
        others = [each for each in waiting if each.request is not request]
        order = self.arrange([*others, WaitingRequest(request, now_ms)], now_ms)
        return [others[number] for number in order[: order.index(len(others))]]

    def rate_per_s(self, tokens: int, now_ms: float) -> float | None:
        """Returns the requests per second that get memory; None before hold times are known."""
        while self._granted_ms and now_ms - self._granted_ms[0] > RATE_MS:
            self._granted_ms.popleft()
        hold_ms = self._model.hold_ms(now_ms)
        if hold_ms is None:
            return None
        granted_per_s = len(self._granted_ms) * 1000.0 / RATE_MS
        # After a period of low load the measured rate is far below the capacity.
        fair_per_s = FAIR_SHARE * self._all_hosts_per_s(tokens, hold_ms) / self._hosts()
        return max(granted_per_s, fair_per_s, MIN_RATE_PER_S)

    def expected_wait_ms(
        self, request: MemoryRequest, waiting: Sequence[WaitingRequest], now_ms: float
    ) -> float:
        """Returns the expected wait of a request behind those that are served before it."""
        number = len(self.ahead(request, waiting, now_ms))
        rate_per_s = self.rate_per_s(request.tokens, now_ms)
        if rate_per_s is None:
            return 0.0
        wait_ms = number * 1000.0 / rate_per_s if number > SHORT_QUEUE else 0.0
        if not self.distinguishes or request.urgent:
            return wait_ms
        if now_ms - self._engine_refused_ms > SHORT_OF_MEMORY_MS:
            # What peers have said may be over: engines have had memory for all of this host lately.
            return wait_ms
        return max(wait_ms, self._wait_behind_peers_ms(request, number, now_ms))

    def _all_hosts_per_s(self, tokens: int, hold_ms: float) -> float:
        """Returns the requests of a size per second that the engines can start for all hosts."""
        traits = self._traits()
        streams = min(traits.memory_tokens / max(1, tokens), traits.slots)
        return self._engines() * streams * 1000.0 / hold_ms

    def note_peer_waiting(self, host: HostId, waiting: Mapping[int, int], now_ms: float) -> None:
        """Replaces the numbers of waiting requests of a peer, by priority."""
        self._at_peers[host] = (now_ms, waiting)

    def _wait_behind_peers_ms(self, request: MemoryRequest, number: int, now_ms: float) -> float:
        """Returns the expected wait behind the requests of all hosts.

        Of the peers' requests, more urgent ones and half of the equal ones are taken to go first.

        Args:
            request: the request.
            number: number of requests before it at this host.
            now_ms: monotonic time.
        """
        before = float(number)
        for host, (at_ms, waiting) in list(self._at_peers.items()):
            if now_ms - at_ms > PEER_WAITING_MS:
                del self._at_peers[host]
                continue
            for priority, count in waiting.items():
                if priority <= request.priority:
                    before += count if priority < request.priority else EQUAL_SHARE * count
        hold_ms = self._model.hold_ms(now_ms)
        if before <= SHORT_QUEUE or hold_ms is None:
            return 0.0
        per_s = max(MIN_RATE_PER_S, self._all_hosts_per_s(request.tokens, hold_ms))
        return before * 1000.0 / per_s

    def refuse(
        self,
        place: WaitingRequest,
        reason: Refusal,
        waiting: Sequence[WaitingRequest],
        now_ms: float,
        retry_after_ms: int | None = None,
    ) -> OverloadedError:
        """Returns the error of a request that is refused, and records why.

        Args:
            place: the request.
            reason: why.
            waiting: the requests that go on waiting.
            now_ms: monotonic time.
            retry_after_ms: when its caller may return; None to derive it from the queue.
        """
        request = place.request
        if retry_after_ms is None and reason not in (Refusal.TOO_LARGE, Refusal.NO_TIME):
            retry_after_ms = self.retry_after_ms(request, waiting, now_ms)
        self.refused[reason] += 1
        if self.distinguishes:
            ahead = Counter(
                other.request.priority for other in self.ahead(request, waiting, now_ms)
            )
            log_info(
                Event.MEMORY_REFUSED,
                service=self._service,
                reason=reason.value,
                priority=request.priority,
                workspace=request.workspace,
                tokens=request.tokens,
                waited_ms=int(now_ms - place.since_ms),
                ahead=dict(sorted(ahead.items())),
                served_most=self.served_most(place.since_ms),
                retry_after_ms=retry_after_ms,
            )
        return OverloadedError(reason.value, retry_after_ms=retry_after_ms)

    def retry_after_ms(
        self, request: MemoryRequest, waiting: Sequence[WaitingRequest], now_ms: float
    ) -> int:
        """Returns when memory is expected: the streams that hold it now have ended by then.

        Where requests are distinguished, the callers that were refused return one by one at the
        rate at which requests are served, the more urgent ones first.
        """
        hold_ms = self._model.hold_ms(now_ms) or DEFAULT_RETRY_AFTER_MS
        wait_ms = max(hold_ms, self.expected_wait_ms(request, waiting, now_ms))
        longest_ms = max(0.0, RETRY_SHARE_OF_TIME * (request.caller_end_ms - now_ms))
        if self.distinguishes:
            wait_ms = self._in_turn_ms(request, wait_ms, longest_ms, now_ms)
        return int(min(wait_ms, longest_ms))

    def _in_turn_ms(
        self, request: MemoryRequest, wait_ms: float, longest_ms: float, now_ms: float
    ) -> float:
        self._returns = deque(entry for entry in self._returns if entry[0] > now_ms)
        before = sum(priority <= request.priority for _, priority in self._returns)
        rate_per_s = self.rate_per_s(request.tokens, now_ms) or MIN_RATE_PER_S
        wait_ms += before * 1000.0 / rate_per_s
        priorities = max(1, len(self._priorities().of(self._service)))
        width_ms = longest_ms * SPREAD_SHARE / priorities
        rank = self.urgency_rank(request)
        earliest_ms = longest_ms * (1.0 - SPREAD_SHARE) + width_ms * rank
        if wait_ms > earliest_ms + width_ms or (rank and wait_ms < earliest_ms):
            self._refusals += 1
            wait_ms = earliest_ms + width_ms * (self._refusals * GOLDEN_RATIO % 1.0)
        self._returns.append((now_ms + wait_ms, request.priority))
        return wait_ms

    def urgency_rank(self, request: MemoryRequest) -> int:
        """Returns the number of more urgent priorities of the service."""
        if request.urgent or not self.distinguishes:
            return 0
        configured = self._priorities().of(self._service)
        return sum(priority < request.priority for priority in configured)

    def free_memory_needed(self, request: MemoryRequest, now_ms: float, late_share: float) -> int:
        """Returns the free memory that an engine must have for a request to be placed there.

        Args:
            request: the request.
            now_ms: monotonic time.
            late_share: share of the memory that a late request leaves free.
        """
        memory = self._traits().memory_tokens
        if request.urgent:
            return request.tokens
        late_tokens = late_share * memory if self.is_late(request, now_ms) else 0.0
        needed = request.tokens + int(late_tokens)
        rank = self.urgency_rank(request)
        if rank and now_ms - self._engine_refused_ms < SHORT_OF_MEMORY_MS:
            # Counted from the usual size, or large requests would find no engine.
            usual = self._usual_tokens or request.tokens
            needed = max(needed, int(usual + late_tokens + CLASS_HEADROOM * rank * memory))
        return max(request.tokens, min(memory, needed))
