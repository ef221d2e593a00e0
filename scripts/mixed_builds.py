"""Runs hosts of an earlier revision and of this tree in one deployment and checks both.

``python -m scripts.mixed_builds REVISION`` runs two kinds of deployment, each once with the
earlier build first and once with this build first: entry hosts (``medlarvale serve``) that
alternate between the builds, and two forwarding hosts (``medlarvale forward``), one of each build.
While callers send requests, hosts shut down and restart with the other build, as in a rolling
upgrade or a rollback.

Exits with 0 only if the builds are compatible: no frame is dropped and no message rejected, and all
hosts agree on the configuration and the host list, hold leases, report the status of the whole
fleet, and refuse a request whose crashes other hosts observed. The callers' checks of
``scripts.demo`` and ``scripts.demo_forward`` must pass as well.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

from medlarvale.demo import SETTLE_MS, DemoLoad, collect, describe
from medlarvale.logs import Event
from medlarvale.operators.fleet import FleetStatus
from medlarvale.platform.standin import StandinPlatform
from medlarvale.standins.users_platform_command import ROUTES
from scripts import demo_forward
from scripts.demo import targets_of
from scripts.deployment import REPOSITORY, Deployment, DeploymentPlan
from scripts.forward_hosts import ForwardHost

DURATION_S = 16.0
CALLERS = 8
BOOKING_CALLERS = 6
SEED = 20_261_204
POISON_WORD = "thistle"
MAX_POISON_REQUESTS = 12
# A poison request crashes up to three prefill engines; with 3 in each domain, others remain.
PREFILL_WORKERS = 3
AGREEMENT_S = 20.0
ENGINE_FLAGS = ["--step-base-ms", "5", "--step-per-request-ms", "0.2"]
# A restarted host drops the frames that were queued for its previous process.
EXPECTED_DROP_REASONS = {"stale frame"}
# Events that a host logs if it cannot decode or apply data of another build.
INCOMPATIBILITY_EVENTS = {
    Event.PEER_FRAME_DROPPED.number,
    Event.PEER_HANDLER_FAILED.number,
    Event.CONFIG_REJECTED.number,
    Event.CONFIG_DIVERGED.number,
    Event.CONFIG_SUBSCRIBER_FAILED.number,
    Event.HOST_LIST_FAILED.number,
    Event.STORE_ENTRY_UNUSABLE.number,
    Event.SETTINGS_REFUSED.number,
}


# Characters of a traceback that a failed check shows.
MAX_TRACEBACK_CHARS = 3_000


class CheckFailedError(Exception):
    """A compatibility check between the builds failed."""


def require(holds: bool, text: str) -> None:
    """Raises ``CheckFailedError`` with ``text`` unless ``holds`` is true."""
    if not holds:
        raise CheckFailedError(text)


def extract_revision(revision: str, folder: Path) -> Path:
    """Extracts the sources and example settings of a revision and returns the root folder."""
    archive = subprocess.run(
        ["git", "-C", str(REPOSITORY), "archive", revision, "src", "examples"],
        check=True,
        capture_output=True,
    ).stdout
    subprocess.run(["tar", "-x", "-C", str(folder)], input=archive, check=True)
    return folder


def check_log(text: str) -> Counter[int]:
    """Returns the number of log lines by event number.

    Raises:
        CheckFailedError: if a host dropped a frame, rejected a message or logged a traceback.
    """
    entries = [json.loads(line) for line in text.splitlines() if line.startswith("{")]
    wrong = [
        entry
        for entry in entries
        if entry.get("event_number") in INCOMPATIBILITY_EVENTS
        and entry.get("reason") not in EXPECTED_DROP_REASONS
    ]
    require(not wrong, f"{len(wrong)} log lines of incompatible data, the first: {wrong[:1]}")
    start = text.find("Traceback")
    require(start < 0, f"a process logged a traceback: {text[start : start + MAX_TRACEBACK_CHARS]}")
    return Counter(entry.get("event_number", 0) for entry in entries)


class MixedDeployment(Deployment):
    """A deployment whose processes run from two source trees.

    Args:
        plan: processes to start.
        log_file: file to which all processes write their standard error.
        roots: the two source trees; entry hosts alternate between them and stand-ins run from the
            first.
    """

    def __init__(self, plan: DeploymentPlan, log_file: Path, roots: list[Path]) -> None:
        super().__init__(plan, log_file)
        self._roots = roots
        self._root_index: dict[str, int] = {}

    def switch_build(self, name: str) -> None:
        """Selects the other source tree for the next process of an entry host."""
        self._root_index[name] = 1 - self._root_index[name]

    async def _spawn(self, arguments: list[str]) -> asyncio.subprocess.Process:
        root = 0
        if arguments[0] == "serve":
            name = arguments[arguments.index("--host") + 1]
            root = self._root_index.setdefault(name, len(self._root_index) % 2)
        return await asyncio.create_subprocess_exec(
            *self._plan.program,
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=self._log,
            env=os.environ | {"PYTHONPATH": str(self._roots[root] / "src")},
        )


def write_tree(example: Path, file: Path) -> None:
    """Writes a copy of a settings tree with more engines in each prefill pool."""
    tree = msgspec.yaml.decode(example.read_bytes())
    for region in tree["regions"].values():
        for domain in region["failure_domains"].values():
            for service in domain["services"].values():
                if "prefill" in service["pools"]:
                    service["pools"]["prefill"]["workers"] = PREFILL_WORKERS
    file.write_bytes(msgspec.json.encode(tree))


async def replace_hosts(
    deployment: MixedDeployment, tree: Mapping[str, Any], load: DemoLoad
) -> None:
    """Publishes new settings and a new host list, then restarts two hosts with the other build."""
    await asyncio.sleep(2.0)
    await deployment.publish({"kind": "publish_tree", "tree": tree})
    await deployment.publish_hosts([])
    for name in sorted(deployment.entry_hosts)[:2]:
        node = deployment.entry_hosts[name]
        load.targets.entry_hosts.remove(node.address)
        node.signal(signal.SIGTERM)
        require(await node.wait() == 0, f"{name} did not exit with status 0")
        deployment.switch_build(name)
        await deployment.await_ready(await deployment.start_entry_host(name))
        load.targets.entry_hosts.append(node.address)
        await asyncio.sleep(2.0)


async def read_fleet(session: aiohttp.ClientSession, deployment: Deployment) -> list[FleetStatus]:
    """Returns the fleet status that each entry host reports."""
    headers = {"Authorization": f"Bearer {deployment.operator_token}"}
    found = []
    for node in deployment.entry_hosts.values():
        async with session.get(f"{node.operators}/status?fleet=1", headers=headers) as response:
            response.raise_for_status()
            found.append(msgspec.json.decode(await response.read(), type=FleetStatus))
    return found


def find_disagreement(fleets: list[FleetStatus], hosts: int) -> str:
    """Returns the first disagreement between the hosts, or an empty string."""
    for fleet in fleets:
        if fleet.unreachable or len(fleet.nodes) != hosts:
            return f"{fleet.asked_by}: {len(fleet.nodes)} hosts, unreachable: {fleet.unreachable}"
        if len({(node.config_version, node.list_version) for node in fleet.nodes}) != 1:
            return f"{fleet.asked_by} sees different versions of the configuration or the host list"
        for node in fleet.nodes:
            if not node.lease.shards_held:
                return f"{node.host} holds no lease"
            if any(peer.state != "live" for peer in node.peers):
                return f"{node.host} does not report all its peers as live"
    return ""


async def await_agreement(session: aiohttp.ClientSession, deployment: Deployment) -> None:
    """Waits until all hosts reach each other and agree.

    Raises:
        CheckFailedError: if they still disagree after ``AGREEMENT_S``.
    """
    end_s = time.monotonic() + AGREEMENT_S
    while found := find_disagreement(
        await read_fleet(session, deployment), len(deployment.entry_hosts)
    ):
        require(time.monotonic() < end_s, found)
        await asyncio.sleep(0.2)


async def chat_error_code(
    session: aiohttp.ClientSession, host: str, load: DemoLoad, prompt: str
) -> str:
    """Sends a prompt and returns the error code of the answer, or an empty string."""
    body = {
        "model": load.targets.model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": 20,
    }
    headers = {"Authorization": f"Bearer {load.targets.api_keys[0]}"}
    async with session.post(f"{host}/v1/chat/completions", json=body, headers=headers) as response:
        answer = msgspec.json.decode(await response.read())
    return answer.get("error", {}).get("code", "")


async def check_quarantine(
    session: aiohttp.ClientSession, deployment: Deployment, load: DemoLoad
) -> None:
    """Sends a poison request to the hosts in turn until one refuses it; then all have to refuse it.

    Raises:
        CheckFailedError: if no host refuses it within ``MAX_POISON_REQUESTS`` requests, or if a
            host does not refuse it afterwards.
    """
    prompt, hosts = f"read this {POISON_WORD}", load.targets.entry_hosts
    codes: list[str] = []
    while not codes or codes[-1] != "request_quarantined":
        require(len(codes) < MAX_POISON_REQUESTS, f"not quarantined: {codes}")
        codes.append(await chat_error_code(session, hosts[len(codes) % len(hosts)], load, prompt))
    refused = [await chat_error_code(session, host, load, prompt) for host in hosts]
    require(set(refused) == {"request_quarantined"}, f"not quarantined on every host: {refused}")


async def run_serve(roots: list[Path], folder: Path) -> None:
    """Runs entry hosts of both builds.

    Raises:
        CheckFailedError: if a check fails.
    """
    tree_file, log_file = folder / "tree.json", folder / "serve.log"
    write_tree(roots[0] / "examples" / "ventilo-breizh.yaml", tree_file)
    plan = DeploymentPlan(
        tree_file, engine_flags=[*ENGINE_FLAGS, "--poison-word", POISON_WORD], extra_entry_hosts=1
    )
    deployment = MixedDeployment(plan, log_file, roots)
    try:
        await deployment.start()
        load = DemoLoad(targets_of(deployment), SEED)
        timeout = aiohttp.ClientTimeout(total=AGREEMENT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            await await_agreement(session, deployment)
            tree = msgspec.json.decode(tree_file.read_bytes())
            figures, _ = await asyncio.gather(
                load.run(DURATION_S, CALLERS, BOOKING_CALLERS),
                replace_hosts(deployment, tree, load),
            )
            await await_agreement(session, deployment)
            await asyncio.sleep(SETTLE_MS / 1000.0)
            result = await collect(load.targets, figures)
            print(describe(result))
            require(result.passed, "the checks of scripts.demo failed")
            await check_quarantine(session, deployment, load)
    finally:
        await deployment.stop()
    events = check_log(log_file.read_text())
    for event in (Event.BOOKING_RECORDS_HANDED_OVER, Event.REQUEST_QUARANTINED):
        require(events[event.number] > 0, f"event {event.number} was not logged")
    print("log lines by event:", dict(sorted(events.items())))


class MixedHost(ForwardHost):
    """A forwarding host that switches its source tree at each start.

    Args:
        name: name of the host.
        folder: directory of its settings file and log.
        roots: the source trees in the order of their use.
    """

    def __init__(self, name: str, folder: Path, roots: Iterable[Path]) -> None:
        super().__init__(name, folder, keep_log=True)
        self._roots = list(roots)

    async def start(self) -> None:
        """Starts the process."""
        self.source = self._roots[0] / "src"
        await super().start()
        self._roots.reverse()

    async def wait_until_ready(self, session: aiohttp.ClientSession) -> None:
        """Waits until the readiness check passes.

        Raises:
            CheckFailedError: if it does not pass in time; with the end of the host's log.
        """
        try:
            await super().wait_until_ready(session)
        except TimeoutError as error:
            assert self.log_file is not None
            end = self.log_file.read_text()[-MAX_TRACEBACK_CHARS:]
            raise CheckFailedError(f"{self.name} has not become ready: {end}") from error


async def run_forward(roots: list[Path], folder: Path) -> None:
    """Runs a forwarding host of each build.

    Raises:
        CheckFailedError: if a check fails.
    """
    platform = StandinPlatform()
    await platform.start()
    await platform.configure(1, **ROUTES)
    hosts = [
        MixedHost("a1", folder, roots),
        MixedHost("a2", folder, reversed(roots)),
    ]
    for host in hosts:
        host.write_settings(platform.address, [peer.control for peer in hosts])
        await host.start()
    try:
        timeout = aiohttp.ClientTimeout(total=demo_forward.DEADLINE_MS / 1000.0 + 1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for host in hosts:
                await host.wait_until_ready(session)
            load = demo_forward.Load(platform, list(hosts))
            end_s = time.monotonic() + demo_forward.DURATION_S
            callers = [load.run(session, end_s) for _ in range(demo_forward.CALLERS)]
            await asyncio.gather(demo_forward.cause_faults(platform, list(hosts)), *callers)
    finally:
        for host in hosts:
            await host.stop(signal.SIGTERM)
    status = demo_forward.report(platform, load)
    await platform.close()
    require(status == 0, "the checks of scripts.demo_forward failed")
    for host in hosts:
        print(f"log lines of {host.name} by event:", dict(check_log(host.log_file.read_text())))


async def run_all(revision: str) -> int:
    """Runs each kind of deployment with either build first; returns the process exit status."""
    failed = 0
    with tempfile.TemporaryDirectory() as folder:
        earlier = Path(folder) / "earlier"
        earlier.mkdir()
        roots = [extract_revision(revision, earlier), REPOSITORY]
        for number, run in enumerate((run_serve, run_serve, run_forward, run_forward)):
            part = Path(folder) / str(number)
            part.mkdir()
            order = roots if number % 2 == 0 else roots[::-1]
            first = "earlier build" if number % 2 == 0 else "this build"
            print(f"{run.__name__}, first host: {first}", flush=True)
            try:
                await run(order, part)
                print("passed", flush=True)
            except CheckFailedError as error:
                failed += 1
                print(f"FAILED: {error}", flush=True)
    return 1 if failed else 0


def main() -> int:
    """Runs the checks and returns the process exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("revision", help="commit or tag of the earlier build")
    return asyncio.run(run_all(parser.parse_args().revision))


if __name__ == "__main__":
    sys.exit(main())
