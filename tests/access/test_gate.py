"""Tests of the decision on single requests."""

from __future__ import annotations

import unittest

from multidict import CIMultiDict
from structlog.testing import capture_logs

from medlarvale.access.confirmation import ConfigConfirmation
from medlarvale.access.errors import ConfigUnconfirmedError
from medlarvale.access.gate import AccessGate
from medlarvale.access.index import KeyIndex
from medlarvale.clock import ManualClock
from medlarvale.forwarding.messages import RelayedFrom, Route
from medlarvale.ids import ConfigVersion, KeyDigest
from tests.access.support import (
    ACCEPTED,
    KNOWN,
    MAY_LIST,
    OTHER,
    PUBLIC,
    REPLACED,
    REVOKE_MS,
    ROUTE,
    UNKNOWN,
    WORKSPACES,
    decide,
    keyed_request,
    keyed_table,
)
from tests.forwarding.fakes import APP

IDENTITY = {"Authorization": "Token k7b2", "X-Tenant": "forged"}
NO_KEY = "the route needs an API key"
NOT_LISTED = "no workspace has the API key"
RELAYED = "no workspace has the API key of the relayed request"
CONFIRMED, LATE = 0.0, 10_000.0
Outcome = tuple[str, int, str | None, int | None, bool]
FORWARDED: Outcome = (ACCEPTED, 200, None, 3, True)
WITHHELD: Outcome = (ACCEPTED, 200, None, 3, False)
FIRST: Outcome = (ACCEPTED, 200, "hule930", 0, False)
SECOND: Outcome = (ACCEPTED, 200, "other", 3, False)


def refused(reason: str, status: int) -> Outcome:
    return reason, status, None, 3, False


class GateTest(unittest.TestCase):
    def test_decisions(self) -> None:
        """Guards against a key that is forwarded or ignored (KEY, TENANT), a 401 on a doubtful
        configuration (DENIED), and a relayed request that is refused or accepted wrongly."""
        some = WORKSPACES
        table: list[tuple[str, object, Route, KeyDigest | None, bool, float | None, Outcome]] = [
            ("no workspaces", (), ROUTE, KNOWN, False, CONFIRMED, FORWARDED),
            ("no workspaces, unconfirmed", (), ROUTE, None, False, LATE, FORWARDED),
            ("not decoded by this build's source", None, ROUTE, KNOWN, False, LATE, FORWARDED),
            ("key", some, ROUTE, KNOWN, False, CONFIRMED, FIRST),
            ("key of a workspace without a priority", some, ROUTE, OTHER, False, CONFIRMED, SECOND),
            ("key, unconfirmed", some, ROUTE, KNOWN, False, LATE, refused(REPLACED, 503)),
            ("key, no bound", some, ROUTE, KNOWN, False, None, FIRST),
            ("unknown key", some, ROUTE, UNKNOWN, False, CONFIRMED, refused(NOT_LISTED, 401)),
            ("unknown, unconfirmed", some, ROUTE, UNKNOWN, False, LATE, refused(MAY_LIST, 503)),
            ("unknown, no bound", some, ROUTE, UNKNOWN, False, None, refused(MAY_LIST, 503)),
            ("no key", some, ROUTE, None, False, CONFIRMED, refused(NO_KEY, 401)),
            ("no key, unconfirmed", some, ROUTE, None, False, LATE, refused(MAY_LIST, 503)),
            ("public", some, PUBLIC, KNOWN, False, CONFIRMED, WITHHELD),
            ("public, no key, unconfirmed", some, PUBLIC, None, False, LATE, WITHHELD),
            ("relayed", some, ROUTE, KNOWN, True, CONFIRMED, FIRST),
            ("relayed, unconfirmed", some, ROUTE, KNOWN, True, LATE, FIRST),
            ("relayed, key gone", some, ROUTE, UNKNOWN, True, CONFIRMED, refused(RELAYED, 503)),
            ("relayed by an earlier build", some, ROUTE, None, True, LATE, refused(RELAYED, 503)),
            ("relayed by one, public", some, PUBLIC, None, True, LATE, WITHHELD),
            ("relayed, no workspaces", (), ROUTE, None, True, LATE, FORWARDED),
        ]
        for name, workspaces, route, digest, relayed, age_ms, expected in table:
            with self.subTest(name):
                clock = ManualClock()
                confirmation = ConfigConfirmation(None if age_ms is None else REVOKE_MS)
                config = keyed_table(5, workspaces)  # type: ignore[arg-type]
                if age_ms is not None:
                    confirmation.note_published(config, config)
                    confirmation.note_answer(0.0, config.version)
                    clock.advance_ms(age_ms)
                request = keyed_request(digest)
                request.identity_headers = CIMultiDict(IDENTITY)
                if relayed:
                    request.relayed = RelayedFrom(APP, ConfigVersion(5), 1_000.0)
                reason, status = decide(confirmation, clock, request, route, config)
                forwarded = dict(request.headers) == IDENTITY
                self.assertEqual(
                    (reason, status, request.workspace, request.priority, forwarded), expected
                )
                self.assertEqual(forwarded, not request.withholds_identity)

    def test_a_missing_route_is_only_told_by_a_recent_configuration(self) -> None:
        """Guards against a 404 for a route that a newer configuration has (DENIED)."""
        table = [
            ("recent", WORKSPACES, CONFIRMED, False),
            ("not recent", WORKSPACES, LATE, True),
            ("no workspaces", (), LATE, False),
        ]
        for name, workspaces, age_ms, doubted in table:
            with self.subTest(name):
                clock, config = ManualClock(), keyed_table(5, workspaces)
                confirmation = ConfigConfirmation(REVOKE_MS)
                confirmation.note_published(config, config)
                confirmation.note_answer(0.0, config.version)
                clock.advance_ms(age_ms)
                gate = AccessGate(confirmation, clock)
                if not doubted:
                    gate.check_missing_route(config)
                    continue
                with self.assertRaisesRegex(ConfigUnconfirmedError, "may have a route"):
                    gate.check_missing_route(config)

    def test_the_newest_configuration_decides(self) -> None:
        """Guards against an index of keys that is not replaced with its configuration."""
        gate = AccessGate(ConfigConfirmation(), ManualClock())
        for version, workspaces, expected in ((1, WORKSPACES, "hule930"), (2, (), None)):
            request = keyed_request(KNOWN)
            gate.admit(request, ROUTE, keyed_table(version, workspaces))
            self.assertEqual(request.workspace, expected)

    def test_a_key_of_two_workspaces_belongs_to_the_first_and_is_logged(self) -> None:
        with capture_logs() as logged:
            workspace = KeyIndex(keyed_table()).find(KNOWN)
        assert workspace is not None
        self.assertEqual(workspace.workspace, "hule930")
        self.assertEqual([line["ignored"] for line in logged], ["other"])
        self.assertNotIn("k7b2", repr(logged))
