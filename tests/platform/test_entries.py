"""Tests of decoding store entries: valid and invalid servers and configurations."""

import json
import unittest
from typing import Any

from medlarvale.forwarding.messages import EngineStage, RouteKind, ServerState, Target
from medlarvale.platform.entries import EntryError, decode_config, decode_server

SERVER: dict[str, Any] = {
    "Service": "llm",
    "Address": "10.128.0.9:8080",
    "Zone": "a",
    "Version": "v1",
    "Slots": 64,
    "State": "ready",
    "ColdLeftMs": 0,
    "Stage": "decode",
    "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
    "Sequence": 4,
    "born": 1_700_000_000_000,
}
ROUTE: dict[str, Any] = {
    "Name": "r-1",
    "Host": "Callers.Example",
    "PathPrefix": "/p/",
    "Kind": "streaming",
    "TimeoutMs": 14000,
    "TargetLatencyMs": 900,
    "Priority": 1,
    "Split": [{"Service": "llm", "Weight": 90}, {"Service": "other", "Weight": 10}],
    "MaxAttempts": 2,
    "Resumable": True,
    "GapTargetMs": 300,
}
CONFIG: dict[str, Any] = {
    "Version": 7,
    "Routes": [ROUTE],
    "Services": [
        {
            "Name": "llm",
            "MaxConns": 360,
            "Engine": {
                "Slots": 64,
                "KvTokenCapacity": 66635,
                "KvHoldS": 0.5,
                "HoldMs": 2000.0,
                "SwitchS": 6.0,
            },
        },
        {"Name": "app", "MaxConns": 100},
    ],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
}


def encoded(value: dict[str, Any]) -> bytes:
    return json.dumps(value).encode()


class ServerEntryTest(unittest.TestCase):
    def test_complete_entry_is_decoded(self) -> None:
        server = decode_server("servers/i-7", encoded(SERVER))
        self.assertEqual(server.server, "i-7")
        self.assertIs(server.state, ServerState.READY)
        self.assertIs(server.stage, EngineStage.DECODE)
        self.assertEqual(server.born_ms, 1_700_000_000_000)
        self.assertEqual(server.software, "v1")

    def test_invalid_entries_are_rejected(self) -> None:
        """Guards against requests sent to an address that no backend server registered."""
        table: list[tuple[str, bytes]] = [
            ("unknown state", encoded(SERVER | {"State": "resting"})),
            ("unknown stage", encoded(SERVER | {"Stage": "both"})),
            ("slots of another type", encoded(SERVER | {"Slots": "many"})),
            ("no address", encoded({k: v for k, v in SERVER.items() if k != "Address"})),
            ("address without a port", encoded(SERVER | {"Address": "10.0.0.1"})),
            ("born is no number", encoded(SERVER | {"born": "yesterday"})),
            ("version of another type", encoded(SERVER | {"Version": 2})),
            ("not JSON", b"\xff\xfe{"),
            ("a list", b"[]"),
        ]
        for name, value in table:
            with self.subTest(name), self.assertRaises(EntryError):
                decode_server("servers/i-7", value)


class ConfigEntryTest(unittest.TestCase):
    def test_complete_configuration_is_decoded(self) -> None:
        """Guards against wrong units and wrong field names."""
        table = decode_config(encoded(CONFIG))
        route = table.routes[0]
        self.assertEqual(table.version, 7)
        self.assertIs(route.kind, RouteKind.STREAM)
        self.assertEqual(route.host, "callers.example")
        self.assertEqual(route.targets, (Target("llm", 90.0), Target("other", 10.0)))  # type: ignore[arg-type]
        engine = table.services["llm"].engine  # type: ignore[index]
        assert engine is not None
        self.assertEqual((engine.handle_ttl_ms, engine.switch_ms), (500.0, 6000.0))
        self.assertIsNone(table.services["app"].engine)  # type: ignore[index]

    def test_invalid_configurations_are_rejected(self) -> None:
        table = [
            ("unknown kind", CONFIG | {"Routes": [ROUTE | {"Kind": "sometimes"}]}),
            ("no version", {k: v for k, v in CONFIG.items() if k != "Version"}),
            ("routes of another type", CONFIG | {"Routes": {}}),
        ]
        for name, value in table:
            with self.subTest(name), self.assertRaises(EntryError):
                decode_config(encoded(value))
