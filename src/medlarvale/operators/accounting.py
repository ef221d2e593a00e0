"""Counts and latencies of finished requests, now and over the last minutes."""

from __future__ import annotations

import enum
from collections import OrderedDict
from collections.abc import Callable, Iterable

import msgspec
from hdrh.histogram import HdrHistogram

from medlarvale.clock import Clock
from medlarvale.errors import Outcome
from medlarvale.ids import FailureDomain, PoolName, RegionName, ServerId
from medlarvale.operators.reports import RequestReport

SLOT_MS = 20_000
SLOTS = 16  # Five minutes and the slot in progress.
MAX_LATENCY_MS = 600_000
# Wall pages and metric scrapes within this time share one computation.
CACHE_MS = 500.0
LATENCY_DIGITS = 2
# There are ten times as many workspaces as services: their histograms are coarser to limit memory.
WORKSPACE_LATENCY_DIGITS = 1
WORKSPACE_SLOTS_PER_HISTOGRAM = 8
# Prefilling a prompt of this length takes about twice the latency target between tokens.
LONG_PROMPT_TOKENS = 3_000
LONG_OUTPUT_TOKENS = 1_000
# Sized for 350 workspaces, 10 services, 30 pools, 8 failure domains and 2 regions.
MAX_GROUPS = 600
MAX_REASONS = 12
OTHER = "other"


class Dimension(enum.Enum):
    """Properties by which requests are grouped."""

    ALL = "all"
    REGION = "region"
    FAILURE_DOMAIN = "failure_domain"
    SERVICE = "service"
    POOL = "pool"
    WORKSPACE = "workspace"


class Window(enum.Enum):
    """Time window of figures: (name, number of whole slots).

    The slot in progress is included too, so a window covers up to 20 s more than its name says.
    """

    NOW = ("now", 1)
    ONE_MINUTE = ("1m", 3)
    FIVE_MINUTES = ("5m", 15)

    @property
    def label(self) -> str:
        """Name of the window in status and metrics."""
        return self.value[0]

    @property
    def slots(self) -> int:
        """Number of whole slots."""
        return self.value[1]


class GroupKey(msgspec.Struct, frozen=True):
    """One group of requests."""

    dimension: Dimension
    name: str


class Figures(msgspec.Struct, omit_defaults=True):
    """Figures of one group over one window; figures of several nodes can be merged.

    Attributes:
        good: requests answered within both latency targets.
        long_requests: requests with a long prompt or answer.
        reasons: number of refused and failed requests, by error code.
        waited_for: number of requests that waited for capacity, by workspace that occupied it.
        faults: number of failed requests, by error code and the server that ran them last.
        ttft_p95_ms: 95th percentile; in merged figures, that of the slowest node.
    """

    dimension: Dimension
    name: str
    window: str
    requests: int = 0
    good: int = 0
    refused: int = 0
    unknown: int = 0
    long_requests: int = 0
    long_good: int = 0
    prefill_ms: float = 0.0
    wasted_prefill_ms: float = 0.0
    output_tokens: int = 0
    ttft_p50_ms: float = 0.0
    ttft_p95_ms: float = 0.0
    tbt_p95_ms: float = 0.0
    reasons: dict[str, int] = {}
    waited_for: dict[str, int] = {}
    faults: dict[str, int] = {}


SUMMED_FIELDS = (
    "requests",
    "good",
    "refused",
    "unknown",
    "long_requests",
    "long_good",
    "prefill_ms",
    "wasted_prefill_ms",
    "output_tokens",
)
LARGEST_FIELDS = ("ttft_p50_ms", "ttft_p95_ms", "tbt_p95_ms")
REASON_FIELDS = ("reasons", "waited_for", "faults")


def count_bounded(counts: dict[str, int], name: str, number: int = 1) -> None:
    """Counts a name; new names beyond ``MAX_REASONS`` are counted together as ``other``."""
    if name not in counts and len(counts) >= MAX_REASONS:
        name = OTHER
    counts[name] = counts.get(name, 0) + number


def merge_figures(total: Figures, part: Figures) -> None:
    """Adds the figures of another node or slot to ``total``."""
    for field in SUMMED_FIELDS:
        setattr(total, field, getattr(total, field) + getattr(part, field))
    for field in LARGEST_FIELDS:
        setattr(total, field, max(getattr(total, field), getattr(part, field)))
    for field in REASON_FIELDS:
        for name, number in getattr(part, field).items():
            count_bounded(getattr(total, field), name, number)


class Slot:
    """Figures of one group over one slot of time."""

    def __init__(self, key: GroupKey, number: int) -> None:
        self.number = number
        self.figures = _empty_figures(key, "slot")


class Latencies:
    """Latency histograms over one or several slots; ``last_slot`` is that of the last record."""

    def __init__(self, number: int, digits: int) -> None:
        self.number = number
        self.last_slot = 0
        self.ttft = HdrHistogram(1, MAX_LATENCY_MS, digits, word_size=4)
        self.tbt = HdrHistogram(1, MAX_LATENCY_MS, digits, word_size=4)

    def record(self, report: RequestReport, slot: int) -> None:
        """Records the latencies of a finished request."""
        self.last_slot = slot
        if report.ttft_ms > 0:
            self.ttft.record_value(_clamp_latency_ms(report.ttft_ms))
        if report.tbt_p95_ms > 0:
            self.tbt.record_value(_clamp_latency_ms(report.tbt_p95_ms))

    def add(self, other: Latencies) -> None:
        """Adds the records of ``other`` to these histograms."""
        self.ttft.add(other.ttft)
        self.tbt.add(other.tbt)


class Group:
    """Recent slots of one group.

    A histogram takes several KB, so each histogram of a workspace is coarser and covers several
    slots: the percentiles of a workspace cover the last 2.5 to 5 minutes in every window.
    """

    def __init__(self, key: GroupKey) -> None:
        self.key = key
        self.slots: list[Slot] = []
        self.latencies: list[Latencies] = []
        self.total = _empty_figures(key, "total")
        workspace = key.dimension is Dimension.WORKSPACE
        self.slots_per_histogram = WORKSPACE_SLOTS_PER_HISTOGRAM if workspace else 1
        self.digits = WORKSPACE_LATENCY_DIGITS if workspace else LATENCY_DIGITS

    def add(self, report: RequestReport, number: int) -> None:
        """Counts a finished request in slot ``number``."""
        if not self.slots or self.slots[-1].number != number:
            self.slots.append(Slot(self.key, number))
        self.drop_old(number)
        add_report(self.slots[-1].figures, report)
        add_report(self.total, report)
        histogram_number = number // self.slots_per_histogram
        if not self.latencies or self.latencies[-1].number != histogram_number:
            self.latencies.append(Latencies(histogram_number, self.digits))
        self.latencies[-1].record(report, number)

    def drop_old(self, number: int) -> None:
        """Drops slots that no window covers any more."""
        self.slots = [slot for slot in self.slots if slot.number > number - SLOTS]
        self.latencies = [part for part in self.latencies if part.last_slot > number - SLOTS]

    def windows(self, number: int) -> Iterable[Figures]:
        """Yields the figures of each window that contains requests, shortest window first.

        Args:
            number: number of the slot in progress.
        """
        self.drop_old(number)
        if not self.slots:
            return
        total = _empty_figures(self.key, "")
        latencies = Latencies(0, self.digits)
        remaining_slots, remaining_latencies = list(self.slots), list(self.latencies)
        for window in Window:
            oldest = number - window.slots
            while remaining_slots and remaining_slots[-1].number >= oldest:
                merge_figures(total, remaining_slots.pop().figures)
            while remaining_latencies and remaining_latencies[-1].last_slot >= oldest:
                latencies.add(remaining_latencies.pop())
            if total.requests:
                yield _with_percentiles(total, window, latencies)


def _with_percentiles(total: Figures, window: Window, latencies: Latencies) -> Figures:
    figures = msgspec.structs.replace(total, window=window.label)
    for field in REASON_FIELDS:
        setattr(figures, field, dict(getattr(total, field)))
    if latencies.ttft.total_count:
        figures.ttft_p50_ms = float(latencies.ttft.get_value_at_percentile(50))
        figures.ttft_p95_ms = float(latencies.ttft.get_value_at_percentile(95))
    if latencies.tbt.total_count:
        figures.tbt_p95_ms = float(latencies.tbt.get_value_at_percentile(95))
    return figures


def _clamp_latency_ms(latency_ms: float) -> int:
    return max(1, min(MAX_LATENCY_MS, round(latency_ms)))


def add_report(figures: Figures, report: RequestReport) -> None:
    """Counts a finished request in the sums of ``figures``."""
    good = report.outcome is Outcome.ANSWERED and report.within_targets
    figures.requests += 1
    figures.good += good
    figures.refused += report.outcome is Outcome.NOT_RUN
    figures.unknown += report.outcome is Outcome.UNKNOWN
    if is_long(report):
        figures.long_requests += 1
        figures.long_good += good
    figures.prefill_ms += report.prefill_ms
    figures.wasted_prefill_ms += report.wasted_prefill_ms
    figures.output_tokens += report.output_tokens
    if report.code:
        count_bounded(figures.reasons, report.code)
        # A refusal is not the fault of the server that ran an earlier attempt.
        if report.servers and report.outcome is Outcome.UNKNOWN:
            count_bounded(figures.faults, f"{report.code} at {report.servers[-1]}")
    if not good:
        for workspace in report.waited_for[:3]:
            count_bounded(figures.waited_for, workspace)


def is_long(report: RequestReport) -> bool:
    """Returns whether a request has a long prompt or a long answer."""
    return report.prompt_tokens >= LONG_PROMPT_TOKENS or report.output_tokens >= LONG_OUTPUT_TOKENS


class Accounting:
    """Counts finished requests by group; implements ``RequestObserver``.

    Args:
        clock: time service.
        region_of: returns the region of a failure domain, None if it is unknown.
        pool_of: returns the pool of a server, None if the server is not listed.
    """

    def __init__(
        self,
        clock: Clock,
        region_of: Callable[[FailureDomain], RegionName | None],
        pool_of: Callable[[ServerId], PoolName | None],
    ) -> None:
        self._clock = clock
        self._region_of = region_of
        self._pool_of = pool_of
        self._groups: OrderedDict[GroupKey, Group] = OrderedDict()
        self._cached: list[Figures] | None = None
        self._cached_until_ms = 0.0

    def request_finished(self, report: RequestReport) -> None:
        """Counts one finished request."""
        number = self._slot_number()
        for key in self._keys(report):
            if key not in self._groups:
                self._groups[key] = Group(key)
                if len(self._groups) > MAX_GROUPS:
                    self._groups.popitem(last=False)
            self._groups.move_to_end(key)
            self._groups[key].add(report, number)

    def figures(self) -> list[Figures]:
        """Returns the figures of all groups with requests in the last five minutes."""
        if self._cached is None or self._clock.now_ms() >= self._cached_until_ms:
            number = self._slot_number()
            groups = self._groups.values()
            self._cached = [figures for group in groups for figures in group.windows(number)]
            self._cached_until_ms = self._clock.now_ms() + CACHE_MS
        return self._cached

    def totals(self) -> list[Figures]:
        """Returns the sums since the process started, without latencies."""
        return [group.total for group in self._groups.values()]

    def _slot_number(self) -> int:
        return int(self._clock.now_ms() // SLOT_MS)

    def _keys(self, report: RequestReport) -> Iterable[GroupKey]:
        yield GroupKey(Dimension.ALL, "all")
        yield GroupKey(Dimension.FAILURE_DOMAIN, report.failure_domain)
        yield GroupKey(Dimension.SERVICE, report.service)
        yield GroupKey(Dimension.WORKSPACE, report.workspace)
        region = self._region_of(report.failure_domain)
        if region is not None:
            yield GroupKey(Dimension.REGION, region)
        for pool in {self._pool_of(server) for server in report.servers} - {None}:
            yield GroupKey(Dimension.POOL, f"{report.service}/{pool}")


def _empty_figures(key: GroupKey, window: str) -> Figures:
    return Figures(key.dimension, key.name, window, reasons={}, waited_for={}, faults={})
