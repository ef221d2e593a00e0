"""Slopes of the data that every host stores in full: the settings tree and the host list."""

from __future__ import annotations

import json
from pathlib import Path

import msgspec

from bench.slope_fit import Slope, fit, processor_us
from bench.slopes_control import KEYS
from medlarvale.ids import ConfigVersion
from medlarvale.membership.messages import HostList
from medlarvale.membership.source import decode_host_list
from medlarvale.peers.transport import MessageCodec
from medlarvale.settings.messages import TreeAnswer
from medlarvale.settings.parsing import parse_text
from medlarvale.settings.store import SettingsStore

TREE_FILE = Path(__file__).resolve().parent.parent / "examples" / "ventilo-breizh.yaml"
WORKSPACE_COUNTS = (10, 50, 150, 350)
SERVER_COUNTS = (500, 2_000, 4_000, 6_500)
ENTRY_HOSTS = 360


def make_list(servers: int) -> bytes:
    """Returns the JSON host list of the platform: 360 entry hosts and ``servers`` servers."""
    hosts = [
        {
            "host": f"entry-finistere-{number}",
            "peer_address": f"tcp://10.20.{number // 250}.{number % 250}:7100",
            "failure_domain": "finistere",
            "state": "live",
        }
        for number in range(ENTRY_HOSTS)
    ]
    backends = [
        {
            "server": f"redacteur-decode-finistere-{number}",
            "address": f"http://10.30.{number // 250}.{number % 250}:9000",
            "service": "redacteur",
            "pool": "decode",
            "role": "decode",
            "failure_domain": "finistere",
            "state": "live",
        }
        for number in range(servers)
    ]
    return msgspec.json.encode({"version": 1, "entry_hosts": hosts, "backend_servers": backends})


def list_slopes() -> list[Slope]:
    """Measures reading a host list and transferring it to a peer, by the number of servers."""
    codec = MessageCodec((HostList,))
    reads, read_sizes, transfers, transfer_sizes = [], [], [], []
    for servers in SERVER_COUNTS:
        data = make_list(servers)
        host_list = decode_host_list(data)
        reads.append((servers, processor_us(lambda data=data: decode_host_list(data), 2)))
        read_sizes.append((servers, float(len(data))))
        sent = codec.encode(host_list)

        def transfer(host_list: HostList = host_list) -> None:
            codec.decode(codec.encode(host_list))

        transfers.append((servers, processor_us(transfer, 2)))
        transfer_sizes.append((servers, float(len(sent))))
    return [
        fit("host list read from the platform", "server", "µs", reads),
        fit("host list read from the platform", "server", "bytes", read_sizes),
        fit("host list passed to a peer, both ends", "server", "µs", transfers),
        fit("host list passed to a peer", "server", "bytes", transfer_sizes),
    ]


def make_tree(workspaces: int) -> bytes:
    """Returns the text of the example tree with generated workspaces instead of its own."""
    value = json.loads(json.dumps(parse_text(TREE_FILE.read_bytes()).value))
    services = next(iter(value["workspaces"].values()))["services"]
    value["workspaces"] = {
        f"firm-{number:04d}": {
            "weight": 1 + number % 5,
            "api_key_sha256": [f"{number:064x}"],
            "services": services,
        }
        for number in range(workspaces)
    }
    return json.dumps(value, indent=1).encode()


def settings_slopes() -> list[Slope]:
    """Measures the check and the transfer of a settings version by the size of its text."""
    codec = MessageCodec((TreeAnswer,))
    checks, transfers = [], []
    for workspaces in WORKSPACE_COUNTS:
        text = make_tree(workspaces)
        size_kb = len(text) / 1_000.0

        def check(text: bytes = text) -> None:
            SettingsStore().offer(ConfigVersion(1), text)

        def transfer(text: bytes = text) -> None:
            sent = KEYS.sign(codec.encode(TreeAnswer(ConfigVersion(1), text)))
            codec.decode(KEYS.verify(sent))

        checks.append((size_kb, processor_us(check, 1, 3)))
        transfers.append((size_kb, processor_us(transfer, 20)))
    return [
        fit("settings check", "KB of tree", "µs", checks),
        fit("spread of a version to one peer, both ends", "KB of tree", "µs", transfers),
    ]
