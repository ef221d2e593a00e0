"""Properties of reservations: they end in time, and never while their owner serves them."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from medlarvale.ids import AttemptNumber, HostId
from medlarvale.scheduling.limits import GroupLimits
from medlarvale.scheduling.messages import Phase
from medlarvale.scheduling.owned import OwnedRequests
from tests.scheduling.builders import SERVICE, make_scheduler, owner, progress, release, reserve

# Specified bounds, independent of the code: after the last heartbeat, and after a lost release.
GONE_OWNER_MS = 2_000.0
LOST_RELEASE_MS = 2_250.0
HEARTBEAT_MS = 250.0
# A heartbeat is valid for this time.
SUSPECT_AFTER_MS = 1_000.0
CHECKS_TO_END = 4
STEP_MS = 50.0
LONGEST_DELAY_MS = 200.0
SCHEDULER_HOST = HostId("scheduler")
NAMES = ["host-a", "host-b"]
# Slots, prefill time and links are never exhausted, so that every request is placed at once.
LIMITS = GroupLimits(
    slots_per_engine=500,
    pieces_per_engine=5_000,
    prefill_tokens_per_s=2e9,
    link_rate_bytes_per_s=3e12,
)


class HostIncarnation:
    """One incarnation of an entry host, as seen by the model and the scheduler."""

    def __init__(self, identity) -> None:
        self.identity = identity
        self.owned = OwnedRequests()
        self.placed: dict = {}
        self.dead = self.paused = False
        self.last_heartbeat_ms = 0.0
        self.missed_checks = 0
        self.disturbed_ms = 0.0
        self.lost_queries = 0


class OwnersMachine(RuleBasedStateMachine):
    """Owners die, restart, pause and lose messages; the scheduler pauses, too."""

    @initialize()
    def start(self) -> None:
        self.now_ms = 0.0
        self.scheduler = make_scheduler(prefill=4, decode=2, limits=LIMITS)
        self.scheduler_paused = False
        self.scheduler_resumed_ms = 0.0
        self.request_count = 0
        self.messages: list = []
        self.ended_ms: dict[str, float] = {}
        self.current = {name: HostIncarnation(owner(name)) for name in NAMES}
        self.incarnations = list(self.current.values())

    @rule(name=st.sampled_from(NAMES), requests=st.integers(1, 3))
    def place(self, name, requests) -> None:
        host = self.current[name]
        if host.paused or self.scheduler_paused:
            return
        for _ in range(requests):
            request = reserve(f"r{self.request_count}", host=host.identity)
            self.request_count += 1
            host.owned.add(request.request_id, request.attempt, SERVICE)
            host.owned.set_scheduler_host(request.request_id, SCHEDULER_HOST)
            self.scheduler.reserve(request, self.now_ms)
            self.scheduler.progress(progress(request, Phase.PREFILLED), self.now_ms)
            assert self.scheduler.reservations.get(request.request_id) is not None
            host.placed[request.request_id] = request

    @precondition(lambda self: any(host.placed for host in self.current.values()))
    @rule(
        data=st.data(),
        lost=st.booleans(),
        ending=st.sampled_from(["end", "fallback", "restart"]),
        delay=st.integers(0, 4),
    )
    def end_request(self, data, lost, ending, delay) -> None:
        host = data.draw(st.sampled_from([host for host in self.current.values() if host.placed]))
        if host.paused:
            return
        request = host.placed.pop(data.draw(st.sampled_from(sorted(host.placed))))
        if ending == "end":
            host.owned.remove(request.request_id)
        elif ending == "fallback":
            host.owned.set_scheduler_host(request.request_id, None)
        else:
            newer = AttemptNumber(request.attempt + 1)
            host.owned.add(request.request_id, newer, SERVICE)
        self.ended_ms[request.request_id] = self.now_ms
        if not lost and ending != "fallback":
            self.post(delay, self.deliver_release, request)

    @rule(name=st.sampled_from(NAMES))
    def restart_host(self, name) -> None:
        old = self.current[name]
        old.dead = True
        self.current[name] = HostIncarnation(owner(name, old.identity.incarnation + 1))
        self.current[name].last_heartbeat_ms = self.now_ms
        self.incarnations.append(self.current[name])

    @rule(name=st.sampled_from(NAMES), paused=st.booleans())
    def pause_or_resume(self, name, paused) -> None:
        host = self.current[name]
        host.disturbed_ms = self.now_ms
        host.paused = paused

    @rule(paused=st.booleans())
    def pause_or_resume_scheduler(self, paused) -> None:
        if self.scheduler_paused and not paused:
            self.scheduler_resumed_ms = self.now_ms
            # The timer fires before the messages that arrived during the pause are read.
            self.check_owners(delay=0, lost=False)
            for host in self.current.values():
                if not host.paused:
                    host.last_heartbeat_ms = self.now_ms
        self.scheduler_paused = paused

    @rule(steps=st.integers(1, 60), delay=st.integers(0, 4), lost=st.booleans())
    def pass_time(self, steps, delay, lost) -> None:
        for _ in range(steps):
            self.now_ms += STEP_MS
            if self.now_ms % HEARTBEAT_MS == 0 and not self.scheduler_paused:
                for host in self.current.values():
                    if not host.paused:
                        host.last_heartbeat_ms = self.now_ms
                self.check_owners(delay, lost)
            self.deliver()
            self.held_only_for_owners_in_time()

    def check_owners(self, delay, lost) -> None:
        live_owners = set()
        for host in self.incarnations:
            if self.now_ms - host.last_heartbeat_ms <= SUSPECT_AFTER_MS:
                live_owners.add(host.identity)
            host.missed_checks = 0 if host.identity in live_owners else host.missed_checks + 1
            if host.missed_checks >= CHECKS_TO_END:
                # The scheduler may end these; their owner continues without a reservation.
                host.placed.clear()
        by_identity = {host.identity: host for host in self.incarnations}
        for query in self.scheduler.check_owners(live_owners, self.now_ms).queries:
            host = by_identity[query.owner]
            if lost and host.lost_queries < 2:
                host.lost_queries += 1
                host.disturbed_ms = self.now_ms
            else:
                host.lost_queries = 0
                self.post(delay, self.deliver_query, host, query, delay)

    def deliver_query(self, host, query, delay) -> bool:
        if host.paused and not host.dead:
            return False
        if not host.dead:
            ended = host.owned.ended_digests(SCHEDULER_HOST, query.digests)
            self.post(delay, self.deliver_reply, query.owner, ended)
        return True

    def deliver_reply(self, identity, ended) -> bool:
        if not self.scheduler_paused:
            self.scheduler.apply_owner_reply(identity, ended, self.now_ms)
        return not self.scheduler_paused

    def deliver_release(self, request) -> bool:
        if not self.scheduler_paused:
            self.scheduler.release(release(request), self.now_ms)
        return not self.scheduler_paused

    def post(self, delay, handler, *values) -> None:
        self.messages.append((self.now_ms + delay * STEP_MS, handler, values))

    def deliver(self) -> None:
        for message in list(self.messages):
            due_ms, handler, values = message
            if due_ms <= self.now_ms and handler(*values):
                self.messages.remove(message)

    @invariant()
    def held_only_for_owners_in_time(self) -> None:
        if self.scheduler_paused:
            return
        for host in self.current.values():
            for request in host.placed:
                held = self.scheduler.reservations.get(request)
                assert held is not None, "a reservation that its live owner serves was ended"
        by_identity = {host.identity: host for host in self.incarnations}
        for reservation in self.scheduler.reservations.all_reservations():
            host = by_identity[reservation.owner]
            # A reservation shows that its owner was alive, even before the next heartbeat.
            last_heartbeat_ms = max(
                host.last_heartbeat_ms, self.scheduler_resumed_ms, reservation.placed_at_ms
            )
            if host.dead or host.paused:
                assert (
                    self.now_ms - last_heartbeat_ms <= GONE_OWNER_MS
                ), "reservation of a gone owner is held"
            elif reservation.request.request_id in self.ended_ms:
                ended_ms = self.ended_ms[reservation.request.request_id]
                since_ms = max(ended_ms, host.disturbed_ms, self.scheduler_resumed_ms)
                bound_ms = LOST_RELEASE_MS + 2 * LONGEST_DELAY_MS
                assert (
                    self.now_ms - since_ms <= bound_ms
                ), "reservation is held after a lost release"


TestOwners = OwnersMachine.TestCase
