"""Properties of reservations and their owners: ended in time, and never ended while served."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from medlarvale.ids import AttemptNumber, HostId
from medlarvale.scheduling.limits import GroupLimits
from medlarvale.scheduling.messages import Phase
from medlarvale.scheduling.owned import OwnedRequests
from tests.scheduling.builders import SERVICE, owner, progress, release, reserve, scheduler

# Stated bounds, not those of the code: after the last heartbeat, and after a lost release.
GONE_OWNER_MS = 2_000.0
LOST_RELEASE_MS = 2_250.0
HEARTBEAT_MS = 250.0
# A heartbeat counts for this long.
SUSPECT_AFTER_MS = 1_000.0
CHECKS_TO_END = 4
STEP_MS = 50.0
LONGEST_DELAY_MS = 200.0
BOOKER = HostId("booker")
NAMES = ["host-a", "host-b"]
# Slots, prefill time and links never run out, so that every request is placed at once.
LIMITS = GroupLimits(
    slots_per_engine=500,
    pieces_per_engine=5_000,
    prefill_tokens_per_s=2e9,
    link_rate_bytes_per_s=3e12,
)


class Life:
    """One incarnation of an entry host, as the model and the booker see it."""

    def __init__(self, identity) -> None:
        self.identity = identity
        self.owned = OwnedRequests()
        self.placed: dict = {}
        self.dead = self.paused = False
        self.heard_ms = 0.0
        self.missed = 0
        self.disturbed_ms = 0.0
        self.lost_queries = 0


class OwnersMachine(RuleBasedStateMachine):
    """Owners die, restart, pause and lose messages; the booker pauses too."""

    @initialize()
    def start(self) -> None:
        self.now_ms = 0.0
        self.scheduler = scheduler(prefill=4, decode=2, limits=LIMITS)
        self.booker_paused = False
        self.booker_woke_ms = 0.0
        self.count = 0
        self.mail: list = []
        self.ended_ms: dict[str, float] = {}
        self.lives = {name: Life(owner(name)) for name in NAMES}
        self.all_lives = list(self.lives.values())

    @rule(name=st.sampled_from(NAMES), requests=st.integers(1, 3))
    def place(self, name, requests) -> None:
        life = self.lives[name]
        if life.paused or self.booker_paused:
            return
        for _ in range(requests):
            request = reserve(f"r{self.count}", host=life.identity)
            self.count += 1
            life.owned.add(request.request_id, request.attempt, SERVICE)
            life.owned.set_scheduler_host(request.request_id, BOOKER)
            self.scheduler.reserve(request, self.now_ms)
            self.scheduler.progress(progress(request, Phase.PREFILLED), self.now_ms)
            assert self.scheduler.reservations.get(request.request_id) is not None
            life.placed[request.request_id] = request

    @precondition(lambda self: any(life.placed for life in self.lives.values()))
    @rule(
        data=st.data(),
        lost=st.booleans(),
        fate=st.sampled_from(["end", "fallback", "restart"]),
        delay=st.integers(0, 4),
    )
    def end_request(self, data, lost, fate, delay) -> None:
        life = data.draw(st.sampled_from([life for life in self.lives.values() if life.placed]))
        if life.paused:
            return
        request = life.placed.pop(data.draw(st.sampled_from(sorted(life.placed))))
        if fate == "end":
            life.owned.remove(request.request_id)
        elif fate == "fallback":
            life.owned.set_scheduler_host(request.request_id, None)
        else:
            newer = AttemptNumber(request.attempt + 1)
            life.owned.add(request.request_id, newer, SERVICE)
        self.ended_ms[request.request_id] = self.now_ms
        if not lost and fate != "fallback":
            self.post(delay, self.booker_gets_release, request)

    @rule(name=st.sampled_from(NAMES))
    def restart_host(self, name) -> None:
        old = self.lives[name]
        old.dead = True
        self.lives[name] = Life(owner(name, old.identity.incarnation + 1))
        self.lives[name].heard_ms = self.now_ms
        self.all_lives.append(self.lives[name])

    @rule(name=st.sampled_from(NAMES), paused=st.booleans())
    def pause_or_wake(self, name, paused) -> None:
        life = self.lives[name]
        life.disturbed_ms = self.now_ms
        life.paused = paused

    @rule(paused=st.booleans())
    def pause_or_wake_booker(self, paused) -> None:
        if self.booker_paused and not paused:
            self.booker_woke_ms = self.now_ms
            # The timer fires before the messages of the meantime are read.
            self.check_owners(delay=0, lost=False)
            for life in self.lives.values():
                if not life.paused:
                    life.heard_ms = self.now_ms
        self.booker_paused = paused

    @rule(steps=st.integers(1, 60), delay=st.integers(0, 4), lost=st.booleans())
    def pass_time(self, steps, delay, lost) -> None:
        for _ in range(steps):
            self.now_ms += STEP_MS
            if self.now_ms % HEARTBEAT_MS == 0 and not self.booker_paused:
                for life in self.lives.values():
                    if not life.paused:
                        life.heard_ms = self.now_ms
                self.check_owners(delay, lost)
            self.deliver()
            self.held_only_for_owners_in_time()

    def check_owners(self, delay, lost) -> None:
        answering = set()
        for life in self.all_lives:
            if self.now_ms - life.heard_ms <= SUSPECT_AFTER_MS:
                answering.add(life.identity)
            life.missed = 0 if life.identity in answering else life.missed + 1
            if life.missed >= CHECKS_TO_END:
                # The booker may end these; their owner goes on without a place.
                life.placed.clear()
        by_identity = {life.identity: life for life in self.all_lives}
        for query in self.scheduler.check_owners(answering, self.now_ms).queries:
            life = by_identity[query.owner]
            if lost and life.lost_queries < 2:
                life.lost_queries += 1
                life.disturbed_ms = self.now_ms
            else:
                life.lost_queries = 0
                self.post(delay, self.owner_gets_query, life, query, delay)

    def owner_gets_query(self, life, query, delay) -> bool:
        if life.paused and not life.dead:
            return False
        if not life.dead:
            ended = life.owned.ended(BOOKER, query.digests)
            self.post(delay, self.booker_gets_answer, query.owner, ended)
        return True

    def booker_gets_answer(self, identity, ended) -> bool:
        if not self.booker_paused:
            self.scheduler.apply_owner_reply(identity, ended, self.now_ms)
        return not self.booker_paused

    def booker_gets_release(self, request) -> bool:
        if not self.booker_paused:
            self.scheduler.release(release(request), self.now_ms)
        return not self.booker_paused

    def post(self, delay, handler, *values) -> None:
        self.mail.append((self.now_ms + delay * STEP_MS, handler, values))

    def deliver(self) -> None:
        for letter in list(self.mail):
            due_ms, handler, values = letter
            if due_ms <= self.now_ms and handler(*values):
                self.mail.remove(letter)

    @invariant()
    def held_only_for_owners_in_time(self) -> None:
        if self.booker_paused:
            return
        for life in self.lives.values():
            for request in life.placed:
                held = self.scheduler.reservations.get(request)
                assert held is not None, "a place that its live owner serves was ended"
        identities = {life.identity: life for life in self.all_lives}
        for reservation in self.scheduler.reservations.all_reservations():
            life = identities[reservation.owner]
            # A place shows that its owner lived, also before the next heartbeat.
            heard_ms = max(life.heard_ms, self.booker_woke_ms, reservation.placed_at_ms)
            if life.dead or life.paused:
                assert self.now_ms - heard_ms <= GONE_OWNER_MS, "held for an owner that is gone"
            elif reservation.request.request_id in self.ended_ms:
                ended_ms = self.ended_ms[reservation.request.request_id]
                since_ms = max(ended_ms, life.disturbed_ms, self.booker_woke_ms)
                bound_ms = LOST_RELEASE_MS + 2 * LONGEST_DELAY_MS
                assert self.now_ms - since_ms <= bound_ms, "held after a lost release"


TestOwners = OwnersMachine.TestCase
