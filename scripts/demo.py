"""``make demo``: runs a deployment on loopback under load and injects faults.

With ``--keep`` (``make run-dev``) it runs the deployment without load until it is interrupted.
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
BOOKING_CALLERS = 6
SEED = 20_261_204


def targets_of(deployment: Deployment) -> DemoTargets:
    """Returns the addresses, names and API keys that the load of a deployment uses."""
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


def print_step(start_s: float, text: str) -> None:
    """Prints a step with the time since the load started."""
    print(f"[{time.monotonic() - start_s:5.1f} s] {text}", flush=True)


async def suspend(node: Node, duration_s: float) -> None:
    """Suspends a process and resumes it after ``duration_s``."""
    node.signal(signal.SIGSTOP)
    await asyncio.sleep(duration_s)
    node.signal(signal.SIGCONT)


async def cause_faults(deployment: Deployment, targets: DemoTargets) -> None:
    """Kills and suspends processes of the deployment while the load runs."""
    start_s = time.monotonic()
    entry_hosts = sorted(deployment.entry_hosts)
    decode = [node for name, node in sorted(deployment.engines.items()) if "-decode-" in name]
    await asyncio.sleep(4.0)
    victim = deployment.entry_hosts[entry_hosts[0]]
    print_step(start_s, f"kill entry host {victim.name}")
    victim.signal(signal.SIGKILL)
    targets.entry_hosts.remove(victim.address)
    await asyncio.sleep(4.0)
    print_step(start_s, f"restart entry host {victim.name}")
    await deployment.await_ready(await deployment.start_entry_host(victim.name))
    targets.entry_hosts.append(victim.address)
    print_step(start_s, f"suspend decode engine {decode[0].name} for 3 s")
    await suspend(decode[0], 3.0)
    print_step(start_s, f"kill decode engine {decode[-1].name}")
    decode[-1].signal(signal.SIGKILL)
    await asyncio.sleep(2.0)
    paused = deployment.entry_hosts[entry_hosts[1]]
    print_step(start_s, f"suspend entry host {paused.name} for 2.5 s")
    await suspend(paused, 2.5)
    leaving = deployment.entry_hosts[entry_hosts[2]]
    print_step(start_s, f"shut down entry host {leaving.name} gracefully")
    targets.entry_hosts.remove(leaving.address)
    leaving.signal(signal.SIGTERM)


async def run_demo(plan: DeploymentPlan, log_file: Path) -> int:
    """Runs the demonstration and returns the process exit status."""
    deployment = Deployment(plan, log_file)
    try:
        await deployment.start()
        print(f"{len(deployment.entry_hosts)} entry hosts, {len(deployment.engines)} engines, ")
        print(f"{len(deployment.plain)} plain servers are up; logs in {log_file.name}")
        targets = targets_of(deployment)
        load = DemoLoad(targets, SEED)
        # New leases cover the times of booking keys only a few seconds after the start.
        await asyncio.sleep(2.5)
        figures, _ = await asyncio.gather(
            load.run(DURATION_S, CALLERS, BOOKING_CALLERS), cause_faults(deployment, targets)
        )
        await asyncio.sleep(SETTLE_MS / 1000.0)
        result = await collect(targets, figures)
        print(describe(result))
        print("all checks passed" if result.passed else "FAILED: see the figures above")
        return 0 if result.passed else 1
    finally:
        await deployment.stop()


async def run_until_interrupted(plan: DeploymentPlan, log_file: Path) -> int:
    """Runs a deployment until interrupted and prints how to send requests to it."""
    deployment = Deployment(plan, log_file)
    stopped = asyncio.Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(signal_number, stopped.set)
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
    """Runs the demonstration, or a deployment without load if ``--keep`` is set."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--keep", action="store_true", help="run the deployment without load until interrupted"
    )
    parser.add_argument(
        "--tree", type=Path, default=REPOSITORY / "examples" / "ventilo-breizh.yaml"
    )
    parser.add_argument("--zipapp", type=Path, help="zip application to run (built by make dist)")
    arguments = parser.parse_args()
    out = REPOSITORY / "out"
    out.mkdir(exist_ok=True)
    plan = DeploymentPlan(arguments.tree)
    if arguments.zipapp is not None:
        plan.program = (sys.executable, "-I", "-S", str(arguments.zipapp.resolve()))
    command = run_until_interrupted if arguments.keep else run_demo
    return asyncio.run(command(plan, out / "demo.log"))


if __name__ == "__main__":
    sys.exit(main())
