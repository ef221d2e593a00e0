"""Small trees for tests."""

from __future__ import annotations

import copy
import json
from typing import Any

SMALL_TREE: dict[str, Any] = {
    "values": {"drain_ms": 1_000, "crash_limit": 2},
    "services": {
        "chat": {
            "kind": "model",
            "model": "m",
            "pools": {"prefill": {"role": "prefill"}, "decode": {"role": "decode"}},
        },
        "desk": {
            "kind": "plain",
            "retry_policy": "lookups",
            "pools": {"desk": {"role": "plain"}},
        },
    },
    "retry_policies": {"lookups": {"rules": [{"methods": ["GET"], "repeat": "freely"}]}},
    "workspaces": {"one": {"services": ["chat", "desk"], "api_key_sha256": ["a" * 64]}},
    "regions": {
        "west": {
            "values": {"drain_ms": 2_000},
            "failure_domains": {
                "w1": {
                    "values": {"drain_ms": 3_000},
                    "services": {
                        "chat": {
                            "values": {"drain_ms": 4_000, "kv_ttl_ms": 700},
                            "pools": {"decode": {"values": {"drain_ms": 5_000}}},
                        }
                    },
                }
            },
        }
    },
}


def small_tree_with(path: str, value: Any) -> dict[str, Any]:
    """Returns a copy of ``SMALL_TREE`` with the value at a path replaced."""
    tree = copy.deepcopy(SMALL_TREE)
    *parents, last = path.split("/")
    part = tree
    for name in parents:
        part = part[name]
    part[last] = value
    return tree


def tree_text(drain_ms: int) -> bytes:
    """Returns the text of a valid tree that differs only in ``drain_ms``."""
    values = {"drain_ms": drain_ms}
    tree = {"values": values, "services": {}, "workspaces": {}, "regions": {}}
    return json.dumps(tree).encode()
