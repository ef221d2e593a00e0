"""Workers that crash when they run a certain request, and the check of BUDGET for it."""

from __future__ import annotations

import asyncio

from aiohttp import web

from review.hosts import Sites
from review.standins import Record, Store, Worker

# A crashed worker is back after some seconds; its old entry goes after three heartbeat intervals.
DOWN_S, LAPSE_S = 3.0, 3.6
# Bounds of the rule and of the settings.
STABLE_S = 3.0
MAX_RETRIES = 3
CRASHES_UNTIL_KNOWN = 3


class CrashingWorker:
    """A worker that crashes when it runs a request whose path ends with ``/bad``.

    Attributes:
        worker: its present incarnation.

    Args:
        record: gets its events.
        store: gets its entries.
        workers: all workers by address.
        crashes: gets the beginning of the run and the time of each crash.
        service: its service.
        zone: its zone.
        stage: its stage; None for a plain worker.
        slots: its slots.
        crash_after_s: time from the beginning of a run to the crash; None for no crash.
    """

    def __init__(
        self,
        record: Record,
        store: Store,
        workers: dict[str, Worker],
        crashes: list[tuple[float, float]],
        service: str,
        zone: str,
        stage: str | None = None,
        slots: int = 6,
        crash_after_s: float | None = 0.0,
    ) -> None:
        self._record, self._store, self._workers = record, store, workers
        self._crashes, self._crash_after_s = crashes, crash_after_s
        self._service, self._zone, self._stage, self._slots = service, zone, stage, slots
        self._sites = Sites()
        self._port = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts an incarnation with a new id at the same address."""
        self.worker = Worker(
            self._record,
            self._store,
            self._workers,
            self._service,
            self._zone,
            self._stage,
            self._slots,
        )
        self.worker.on_run = self._note_run
        self._sites = Sites()
        address = await self._sites.serve(self.worker.application(), port=self._port)
        self._port = int(address.rpartition(":")[2])
        self.worker.address = address
        self._workers[address] = self.worker
        self.worker.publish()

    def _note_run(self, worker: Worker, request: web.Request) -> None:
        if request.path.endswith("/bad") and self._crash_after_s is not None:
            crashing = self._crash(worker, self._record.now_s(), self._crash_after_s)
            self._tasks.append(asyncio.get_running_loop().create_task(crashing))

    async def _crash(self, worker: Worker, began_s: float, after_s: float) -> None:
        await asyncio.sleep(after_s)
        if worker is not self.worker:
            return
        self._crashes.append((began_s, self._record.now_s()))
        self._record.note(f"{worker.id} of {worker.service} crashes")
        await self._sites.crash()
        await asyncio.sleep(DOWN_S)
        await self.start()
        await asyncio.sleep(LAPSE_S - DOWN_S)
        self._store.delete(f"servers/{worker.id}")

    async def close(self) -> None:
        """Ends the worker."""
        for task in self._tasks:
            task.cancel()
        await self._sites.close()


def judge_crashes(record: Record, crashes: list[tuple[float, float]], served: int) -> int:
    """Checks BUDGET: three retries at most reach workers once the request has crashed three.

    Only those count that began to run later than ``StableWindowMs`` after the third crash.

    Returns:
        The exit status: 1 if the rule was broken, 0 if it held, 2 if nothing was served.
    """
    if not served:
        record.note("the case couldn't run: nothing was served")
        return 2
    late: list[float] = []
    if len(crashes) >= CRASHES_UNTIL_KNOWN:
        known_s = crashes[CRASHES_UNTIL_KNOWN - 1][1]
        late = [began_s for began_s, _ in crashes if began_s > known_s + STABLE_S]
        record.note(f"the third crash was at {known_s:.3f} s")
    for began_s in late:
        record.note(f"the request began to run at {began_s:.3f} s, and crashed its worker")
    is_broken = len(late) > MAX_RETRIES
    record.note("BUDGET is broken" if is_broken else "BUDGET holds")
    return 1 if is_broken else 0
