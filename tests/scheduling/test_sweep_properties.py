"""Properties of the sweep: it frees lost requests in time and never cancels served ones."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from medlarvale.ids import AttemptNumber
from medlarvale.scheduling.sweep import classify_requests, find_disowned
from tests.scheduling.builders import engine_request, owner

POLL_MS = 500.0
# A heartbeat is sent every 250 ms, and a host is considered dead after 1,000 ms without one.
DETECTION_MS = 1_250.0
BOUND_MS = 3_000.0
STEP_MS = 50.0


class Stream:
    """A request on the engine; ``gone_ms`` is the time at which its owner died or dropped it."""

    def __init__(self, host, attempt, now_ms, reads) -> None:
        self.host = host
        self.attempt = attempt
        self.reads = reads
        self.last_read_ms = now_ms
        self.gone_ms = None


class SweepMachine(RuleBasedStateMachine):
    """An engine that is polled, and owners that die, restart, drop requests or lose heartbeats."""

    @initialize()
    def start(self) -> None:
        self.now_ms = 0.0
        self.current_hosts = {name: owner(name) for name in ("host-a", "host-b", "host-c")}
        self.died_ms: dict = {}
        self.silent: set = set()
        self.streams: dict[str, Stream] = {}
        self.known: dict[str, AttemptNumber] = {}
        self.lost_polls = 0
        self.request_count = 0

    @rule(name=st.sampled_from(["host-a", "host-b", "host-c"]), reads=st.booleans())
    def open_stream(self, name, reads) -> None:
        request = f"r{self.request_count}"
        self.request_count += 1
        self.known[request] = AttemptNumber(1)
        self.streams[request] = Stream(
            self.current_hosts[name], AttemptNumber(1), self.now_ms, reads
        )

    @rule(name=st.sampled_from(["host-a", "host-b", "host-c"]))
    def restart_host(self, name) -> None:
        dead = self.current_hosts[name]
        self.died_ms[dead] = self.now_ms
        self.current_hosts[name] = owner(name, dead.incarnation + 1)
        self.silent.discard(name)
        for request, stream in self.streams.items():
            if stream.host == dead:
                self.known.pop(request, None)
                self.end(stream)

    @precondition(lambda self: self.streams)
    @rule(data=st.data(), retried=st.booleans())
    def drop_stream(self, data, retried) -> None:
        request = data.draw(st.sampled_from(sorted(self.streams)))
        stream = self.streams[request]
        if stream.gone_ms is None:
            if retried:
                self.known[request] = AttemptNumber(stream.attempt + 1)
            else:
                self.known.pop(request, None)
            self.end(stream)

    @rule(name=st.sampled_from(["host-a", "host-b", "host-c"]), silent=st.booleans())
    def lose_heartbeats(self, name, silent) -> None:
        (self.silent.add if silent else self.silent.discard)(name)

    @rule(steps=st.integers(1, 30), lost=st.booleans())
    def pass_time(self, steps, lost) -> None:
        for _ in range(steps):
            self.now_ms += STEP_MS
            for stream in self.streams.values():
                if stream.reads and stream.gone_ms is None:
                    stream.last_read_ms = self.now_ms
            if self.now_ms % POLL_MS == 0:
                self.poll(lost)

    def end(self, stream) -> None:
        stream.gone_ms = self.now_ms

    def poll(self, lost) -> None:
        # The bound allows for two consecutive lost polls; a dead engine holds no requests.
        if lost and self.lost_polls < 2:
            self.lost_polls += 1
            return
        self.lost_polls = 0
        listed = [
            engine_request(name, stream.host, stream.attempt, self.now_ms - stream.last_read_ms)
            for name, stream in self.streams.items()
        ]
        live = {host for name, host in self.current_hosts.items() if name not in self.silent}
        live |= {host for host, at_ms in self.died_ms.items() if self.now_ms < at_ms + DETECTION_MS}
        findings = classify_requests(listed, live)
        cancels = list(findings.cancel)
        for host, queried in findings.query.items():
            # A dead host that is still considered live does not answer.
            if host in self.current_hosts.values():
                names = {request.request_id for request in queried}
                known = {name: self.known[name] for name in names if name in self.known}
                cancels += find_disowned(queried, known)
        for request in cancels:
            stream = self.streams[request.request_id]
            live_and_read = stream.gone_ms is None and stream.reads
            served = stream.gone_ms is None and stream.host.host not in self.silent
            assert not live_and_read, "a live stream whose client reads was cancelled"
            assert not served, "a stream that its live owner serves was cancelled"
            del self.streams[request.request_id]

    @invariant()
    def gone_requests_hold_nothing_after_the_bound(self) -> None:
        for stream in self.streams.values():
            if stream.gone_ms is not None:
                assert self.now_ms - stream.gone_ms <= BOUND_MS, "memory is held for a gone owner"


TestSweep = SweepMachine.TestCase
