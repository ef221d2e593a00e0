"""All machines are killed during a release, and clients take up their streams again."""

from __future__ import annotations

import asyncio
import itertools
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-2"))

import deployment as kit  # noqa: E402

STREAMS_PER_S = 8.0
EVENTS, EVENT_MS = 500, 12
DEADLINE_S = 14.0
DOWN_S = 1.2
STABLE_S = 3.0
RELEASE_GAP_S = 1.0
RELEASED = 3
# Time between two tries of a client that has lost its stream.
PAUSE_S = 1.8
TRIES = 4
ZONES = {
    "front-finistere-1": "finistere",
    "front-morbihan-1": "morbihan",
    "front-armor-1": "armor",
    "front-ille-1": "ille",
}


class Counts:
    """Streams at machines in touch."""

    def __init__(self) -> None:
        self.taken_up: set[str] = set()
        self.went_on: set[str] = set()
        self.new = self.began = 0


class Client:
    """One stream, with the tries to take it up again."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.first_id = f"57e4{number:04x}"
        self.events = 0
        self.versions: set[str] = set()

    def read(self, answer: kit.Answer) -> bool:
        """Notes the events of an answer; returns whether there was one."""
        data = [line.split() for line in answer.body.split(b"\n") if line.startswith(b"data:")]
        if data:
            self.events = int(data[-1][2])
            self.versions |= {version.decode() for _, version, _ in data}
        return bool(data)


async def case(deployment: kit.Deployment) -> int:
    """Returns 1 if too few of the streams go on that clients take up."""
    record, loop = deployment.record, asyncio.get_running_loop()
    await deployment.store.start()
    routes = kit.route("survey", "streaming", "redacteur", MaxAttempts=3)
    await deployment.store.put("op/config", kit.configuration(routes))
    options = {"events": EVENTS, "event_ms": EVENT_MS, "prefill_ms": 18}
    names = itertools.count(1)

    def worker(stage: str, version: str) -> kit.Worker:
        name = f"i-{next(names):02x}"
        return kit.Worker(deployment, name, "redacteur", stage=stage, version=version, **options)

    old = [worker("decode", "v1") for _ in range(5)]
    for started in (worker("prefill", "v1"), *old):
        await started.start()
    await deployment.start_hosts(ZONES)
    counts = Counts()
    in_touch_s = loop.time()
    down = asyncio.Event()

    async def attempt(client: Client, request_id: str, left_s: float, resumes: bool) -> bool:
        headers = {
            "Host": "quimper.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(int(1000.0 * left_s)),
            "X-Model": "m",
            "X-Token-Counts": f"1000,{EVENTS}",
            "X-Prompt-Prefix": f"5c1e07a2:200,{client.number + 4096:08x}:800",
        }
        if resumes:
            headers |= {"Last-Event-Id": str(client.events), "Resumes": client.first_id}
        host = deployment.hosts[client.number % len(deployment.hosts)]
        line = f"POST /survey/{client.number} HTTP/1.1"
        began_s = loop.time()
        try:
            answer = await kit.send(host.front, line, headers, b"{}", left_s)
        except OSError:
            return False
        went_on = client.read(answer)
        is_in_touch = in_touch_s <= began_s
        if is_in_touch and answer.status:
            if resumes:
                counts.taken_up.add(client.first_id)
                counts.went_on |= {client.first_id} if went_on else set()
            else:
                counts.new += 1
                counts.began += went_on
        if resumes:
            record.note(
                f"{request_id} takes up {client.first_id} after event {client.events} of "
                f"{'/'.join(sorted(client.versions))} at {host.name}, in touch={is_in_touch}: "
                f"{answer.status} {answer.body[:20]!r}, went on={went_on}"
            )
        return answer.complete and answer.status == 200

    async def stream(number: int) -> None:
        client, end_s = Client(number), loop.time() + DEADLINE_S
        if await attempt(client, client.first_id, DEADLINE_S, False) or not client.events:
            return
        for try_number in range(1, 1 + TRIES):
            await asyncio.sleep(PAUSE_S)
            left_s = end_s - loop.time()
            if left_s <= PAUSE_S:
                return
            if await attempt(client, f"{client.first_id}-{try_number}", left_s, True):
                return

    async def load() -> None:
        for number in itertools.count():
            deployment.run(stream(number))
            await asyncio.sleep(1.0 / STREAMS_PER_S)

    async def leave(leaving: kit.Worker) -> None:
        await leaving.publish(State="draining")
        await asyncio.sleep(9.0)
        await deployment.store.delete(f"servers/{leaving.name}")
        leaving.kill()

    loading = deployment.run(load())
    await asyncio.sleep(8.0)
    record.note("the release begins")
    for number in range(RELEASED):
        await worker("decode", "v2").start()
        deployment.run(leave(old[number]))
        await asyncio.sleep(RELEASE_GAP_S)
    if kit.trouble():
        down.set()
        for host in deployment.hosts:
            host.send_signal(signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        hosts = deployment.hosts
        for host in hosts:
            await host.start([other.control for other in hosts][:3])
        in_touch_s = loop.time() + STABLE_S
        for host in hosts:
            await host.wait_until_ready()
        record.note("all machines are back")
    await asyncio.sleep(DEADLINE_S)
    loading.cancel()
    record.note(
        f"at machines in touch: {len(counts.went_on)} of {len(counts.taken_up)} streams that were "
        f"taken up went on; {counts.began} of {counts.new} new streams began"
    )
    if len(counts.taken_up) < 12:
        return kit.PASSED
    share = len(counts.went_on) / len(counts.taken_up)
    new_share = counts.began / max(1, counts.new)
    return kit.HELD if share < new_share / 2.0 else kit.PASSED


if __name__ == "__main__":
    sys.exit(kit.play(FOLDER, case))
