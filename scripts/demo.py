"""``make demo``: a deployment on loopback under load, with faults midway.

With ``--keep`` (``make run-dev``) it only keeps the deployment up.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import time
from pathlib import Path

from medlarvale.demo import SETTLE_MS, DemoLoad, DemoTargets, collect, describe
from scripts.deployment import REPOSITORY, Deployment, DeploymentPlan, Node

DURATION_S = 22.0
CALLERS = 12
BOOKERS = 6
SEED = 20_261_204


def targets_of(deployment: Deployment) -> DemoTargets:
    """Returns where the load of a deployment goes."""
    tree = deployment.tree
    model = next(service.model for service in tree.services.values() if service.model)
    plain = next(name for name, service in tree.services.items() if service.model is None)
    keys = [
        f"demo-key-{name}" for name, space in tree.workspaces.items() if plain in space.services
    ]
    return DemoTargets(
        [node.address for node in deployment.entry_hosts.values()],
        [node.address for node in deployment.engines.values()],
        [node.address for node in deployment.plain.values()],
        model,
        plain,
        keys,
    )


def note(start_s: float, text: str) -> None:
    """Prints what happens, with the time since the start of the load."""
    print(f"[{time.monotonic() - start_s:5.1f} s] {text}", flush=True)


async def pause(node: Node, duration_s: float) -> None:
    """Stops a process and lets it go on later."""
    node.signal(signal.SIGSTOP)
    await asyncio.sleep(duration_s)
    node.signal(signal.SIGCONT)


async def cause_faults(deployment: Deployment, targets: DemoTargets) -> None:
    """Kills and pauses parts of the deployment while the load runs."""
    start_s = time.monotonic()
    entry_hosts = sorted(deployment.entry_hosts)
    decode = [node for name, node in sorted(deployment.engines.items()) if "-decode-" in name]
    await asyncio.sleep(4.0)
    victim = deployment.entry_hosts[entry_hosts[0]]
    note(start_s, f"kill entry host {victim.name}")
    victim.signal(signal.SIGKILL)
    targets.entry_hosts.remove(victim.address)
    await asyncio.sleep(4.0)
    note(start_s, f"start entry host {victim.name} again")
    await deployment.await_ready(await deployment.start_entry_host(victim.name))
    targets.entry_hosts.append(victim.address)
    note(start_s, f"pause decode engine {decode[0].name} for 3 s")
    await pause(decode[0], 3.0)
    note(start_s, f"kill decode engine {decode[-1].name}")
    decode[-1].signal(signal.SIGKILL)
    await asyncio.sleep(2.0)
    paused = deployment.entry_hosts[entry_hosts[1]]
    note(start_s, f"pause entry host {paused.name} for 2.5 s")
    await pause(paused, 2.5)
    leaving = deployment.entry_hosts[entry_hosts[2]]
    note(start_s, f"stop entry host {leaving.name} as planned")
    targets.entry_hosts.remove(leaving.address)
    leaving.signal(signal.SIGTERM)


async def run_demo(plan: DeploymentPlan, log_file: Path) -> int:
    """Runs the demonstration; returns the exit status."""
    deployment = Deployment(plan, log_file)
    try:
        await deployment.start()
        print(f"{len(deployment.entry_hosts)} entry hosts, {len(deployment.engines)} engines, ")
        print(f"{len(deployment.plain)} plain servers are up; logs in {log_file.name}")
        targets = targets_of(deployment)
        load = DemoLoad(targets, SEED)
        # Cold leases cover key times only some seconds after the start.
        await asyncio.sleep(2.5)
        figures, _ = await asyncio.gather(
            load.run(DURATION_S, CALLERS, BOOKERS), cause_faults(deployment, targets)
        )
        await asyncio.sleep(SETTLE_MS / 1000.0)
        result = await collect(targets, figures)
        print(describe(result))
        print("all that must hold held" if result.passed else "FAILED: see the figures above")
        return 0 if result.passed else 1
    finally:
        await deployment.stop()


async def keep_up(plan: DeploymentPlan, log_file: Path) -> int:
    """Keeps a deployment up until interrupted, and says how to use it."""
    deployment = Deployment(plan, log_file)
    stopped = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    try:
        await deployment.start()
        targets = targets_of(deployment)
        for node in deployment.entry_hosts.values():
            print(f"{node.name}: callers {node.address}, operators {node.operators}")
        print(f"operator token: {deployment.operator_token}")
        print("try:")
        print(
            f"  curl -N {targets.entry_hosts[0]}/v1/chat/completions"
            f" -H 'Authorization: Bearer {targets.api_keys[0]}'"
            " -H 'Content-Type: application/json'"
            f' -d \'{{"model": "{targets.model}", "stream": true, "max_tokens": 20,'
            ' "messages": [{"role": "user", "content": "read this survey"}]}\'',
            flush=True,
        )
        await stopped.wait()
        return 0
    finally:
        await deployment.stop()


def main() -> int:
    """Runs the demonstration or keeps a deployment up."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", action="store_true", help="keep the deployment up")
    parser.add_argument(
        "--tree", type=Path, default=REPOSITORY / "examples" / "ventilo-breizh.yaml"
    )
    parser.add_argument("--zipapp", type=Path, help="run this zip application (see make dist)")
    arguments = parser.parse_args()
    out = REPOSITORY / "out"
    out.mkdir(exist_ok=True)
    plan = DeploymentPlan(arguments.tree)
    if arguments.zipapp is not None:
        plan.program = (sys.executable, "-I", "-S", str(arguments.zipapp.resolve()))
    command = keep_up if arguments.keep else run_demo
    return asyncio.run(command(plan, out / "demo.log"))


if __name__ == "__main__":
    sys.exit(main())
