"""Tests of decoding store entries: valid and invalid servers and configurations."""

import json
import unittest
from typing import Any

import msgspec

from medlarvale.forwarding.messages import (
    MAX_NUMBER,
    EngineStage,
    RouteKind,
    Server,
    ServerState,
    Target,
)
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


# JSON values that are deeper than the decoder's stack or larger than any number of the fleet.
DEEP_LIST = b"[" * 20_000 + b"]" * 20_000
DEEP_OBJECT = b'{"a":' * 5_000 + b"1" + b"}" * 5_000
HUGE_NUMBERS = (b"1e400", b"9" * 30, b"9" * 5_000, b"-1")


def encoded(value: dict[str, Any]) -> bytes:
    return json.dumps(value).encode()


def with_raw(value: dict[str, Any], field: str, text: bytes) -> bytes:
    """Returns an encoded entry one of whose fields is the given JSON text."""
    return encoded(value | {field: "@"}).replace(b'"@"', text)


def odd_servers() -> list[tuple[str, bytes]]:
    """Returns the values of entries that name no usable server."""
    addresses = [
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1:-80",
        "10.0.0.1:http",
        "10.0.0.1:",
        "10.0.0.1:080",
        "10.0.0.1:\u0668\u0660",
        "10.0.0.1:" + "9" * 30,
        "10.0.0.1:80/path",
        "10.0.0.1:80?x=1",
        "10.0.0.1:80#x",
        "user@10.0.0.1:80",
        "10.0.0.1\0:80",
        "10.0.0.1:80\r\nX-Other: 1",
        " 10.0.0.1:80",
        "10.0.0.256:80",
        "10.0.0:80",
        "worker.example:80",
        "[::1]:80",
        ":80",
        "0.0.0.0:80",
        "255.255.255.255:80",
        "224.0.0.1:80",
        "1" * 100_000 + ":80",
    ]
    numbers = ("Slots", "ColdLeftMs", "born", "Sequence")
    return [
        ("deep list", DEEP_LIST),
        ("deep object", DEEP_OBJECT),
        ("deep unknown field", with_raw(SERVER, "Future", DEEP_LIST)),
        ("deep known field", with_raw(SERVER, "Slots", DEEP_OBJECT)),
        *((f"address {text[:40]!r}", encoded(SERVER | {"Address": text})) for text in addresses),
        *(
            (f"{field} {text[:40]!r}", with_raw(SERVER, field, text))
            for field in numbers
            for text in HUGE_NUMBERS
        ),
        ("no number", with_raw(SERVER, "ColdLeftMs", b"NaN")),
        ("infinite number", with_raw(SERVER, "ColdLeftMs", b"Infinity")),
        ("invalid UTF-8", with_raw(SERVER, "Zone", b'"\xff\xfe"')),
        ("lone surrogate", with_raw(SERVER, "Zone", b'"\\ud800"')),
        ("no service", encoded(SERVER | {"Service": ""})),
        ("long name", encoded(SERVER | {"Version": "v" * 500_000})),
        ("empty", b""),
    ]


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

    def test_odd_entries_name_no_server(self) -> None:
        """Guards against an entry whose decoding ends the following of the store, and against
        requests that fail because of a number or address that nothing can be sent to."""
        for name, value in odd_servers():
            with self.subTest(name):
                with self.assertRaises(EntryError) as raised:
                    decode_server("servers/i-7", value)
                length = len(raised.exception.message)
                self.assertLess(length, 500, "the reason must fit in a log line")

    def test_odd_ids_name_no_server(self) -> None:
        """Guards against ids that can't be sent in a header."""
        for server in ("", " ", "i\r\nX-Other: 1", "i\n", "i\0", "i\x7f", " i", "i\u2028j"):
            with self.subTest(server), self.assertRaises(EntryError):
                decode_server(f"servers/{server}", encoded(SERVER))

    def test_usual_addresses_and_ids_are_decoded(self) -> None:
        """Guards against a check that refuses servers that can be reached."""
        for address in ("10.128.0.9:1", "127.0.0.1:65535", "192.168.1.255:8080"):
            for server in ("i-7f3a91c2", "app/7", "a b"):
                with self.subTest(address=address, server=server):
                    decoded = decode_server(
                        f"servers/{server}", encoded(SERVER | {"Address": address})
                    )
                    self.assertEqual((decoded.server, decoded.address), (server, address))

    def test_the_largest_numbers_can_be_sent_to_peers(self) -> None:
        """Guards against a list of servers that can't be encoded for the other hosts."""
        largest = str(MAX_NUMBER).encode()
        for field in ("Slots", "ColdLeftMs", "born", "Sequence"):
            with self.subTest(field):
                decoded = decode_server("servers/i-7", with_raw(SERVER, field, largest))
                self.assertEqual(
                    msgspec.msgpack.decode(msgspec.msgpack.encode(decoded), type=Server), decoded
                )


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

    def test_odd_configurations_are_rejected(self) -> None:
        """Guards against a configuration whose decoding ends the following of the store, or whose
        numbers fail each request."""
        service, engine, limits = CONFIG["Services"][0], CONFIG["Services"][0]["Engine"], "Limits"
        target = {"Service": "llm", "Weight": 90}
        places: list[tuple[str, dict[str, Any]]] = [
            ("Version", CONFIG | {"Version": "@"}),
            *(
                (field, CONFIG | {"Routes": [ROUTE | {field: "@"}]})
                for field in (
                    "TimeoutMs",
                    "TargetLatencyMs",
                    "GapTargetMs",
                    "Priority",
                    "MaxAttempts",
                )
            ),
            (
                "Weight",
                CONFIG | {"Routes": [ROUTE | {"Split": [target | {"Weight": "@"}, target]}]},
            ),
            ("MaxConns", CONFIG | {"Services": [service | {"MaxConns": "@"}]}),
            *(
                (field, CONFIG | {"Services": [service | {"Engine": engine | {field: "@"}}]})
                for field in engine
            ),
            *(
                (field, CONFIG | {limits: CONFIG[limits] | {field: "@"}})
                for field in CONFIG[limits]
            ),
        ]
        for field, value in places:
            for text in (*HUGE_NUMBERS, b"1e300", b"NaN", b"Infinity", DEEP_LIST):
                with self.subTest(field=field, text=text[:40]), self.assertRaises(EntryError):
                    decode_config(encoded(value).replace(b'"@"', text))
        for field in ("Slots", "KvTokenCapacity"):
            odd = CONFIG | {"Services": [service | {"Engine": engine | {field: 0}}]}
            with self.subTest(field=field, text=b"0"), self.assertRaises(EntryError):
                decode_config(encoded(odd))
        for name, value in (
            ("deep list", DEEP_LIST),
            ("deep object", DEEP_OBJECT),
            ("deep unknown field", with_raw(CONFIG, "Future", DEEP_LIST)),
        ):
            with self.subTest(name), self.assertRaises(EntryError):
                decode_config(value)
