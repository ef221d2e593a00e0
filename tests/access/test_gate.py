"""Tests of the decision on single requests."""

from __future__ import annotations

import unittest
from typing import Any

from multidict import CIMultiDict
from structlog.testing import capture_logs

from medlarvale.access.confirmation import ConfigConfirmation
from medlarvale.access.index import KeyIndex
from medlarvale.clock import ManualClock
from medlarvale.forwarding.messages import RelayedFrom
from medlarvale.ids import ConfigVersion
from tests.access import support
from tests.access.support import ACCEPTED, KNOWN, MAY_LIST, OTHER, PUBLIC, ROUTE, UNKNOWN
from tests.forwarding.fakes import APP, make_request

IDENTITY = {"Authorization": "Token k7b2", "X-Tenant": "forged"}
RECENT, OLD, UNBOUNDED = 0.0, 10_000.0, None
# Workspace, priority, and whether the identity headers are forwarded.
FORWARDED, WITHHELD = (ACCEPTED, None, 3, True), (ACCEPTED, None, 3, False)
FIRST, SECOND = (ACCEPTED, "hule930", 0, False), (ACCEPTED, "other", 3, False)


def refused(reason: str | tuple[str, int], status: int = 503) -> tuple[Any, ...]:
    return (reason, status) if isinstance(reason, str) else reason, None, 3, False


NO_KEY = refused("the route needs an API key", 401)
RELAYED = refused("no workspace has the API key of the relayed request")
NO_ROUTE = ("a newer configuration may have a route", 503), None, None, False


class GateTest(unittest.TestCase):
    def test_decisions(self) -> None:
        """Guards against a key that is forwarded or ignored (KEY, TENANT), a 401 or 404 on a
        doubtful configuration (DENIED), and a wrong decision on a relayed request."""
        some = support.WORKSPACES
        table: list[tuple[str, Any, Any, Any, bool, float | None, Any]] = [
            ("no workspaces", (), ROUTE, KNOWN, False, RECENT, FORWARDED),
            ("no workspaces, old", (), ROUTE, None, False, OLD, FORWARDED),
            ("not decoded by the source", None, ROUTE, KNOWN, False, OLD, FORWARDED),
            ("key", some, ROUTE, KNOWN, False, RECENT, FIRST),
            ("key of a workspace without a priority", some, ROUTE, OTHER, False, RECENT, SECOND),
            ("key, old", some, ROUTE, KNOWN, False, OLD, refused(support.REPLACED)),
            ("key, no bound", some, ROUTE, KNOWN, False, UNBOUNDED, FIRST),
            ("unknown", some, ROUTE, UNKNOWN, False, RECENT, refused(support.NOT_LISTED)),
            ("unknown, old", some, ROUTE, UNKNOWN, False, OLD, refused(MAY_LIST)),
            ("unknown, no bound", some, ROUTE, UNKNOWN, False, UNBOUNDED, refused(MAY_LIST)),
            ("no key", some, ROUTE, None, False, RECENT, NO_KEY),
            ("no key, old", some, ROUTE, None, False, OLD, refused(MAY_LIST)),
            ("public", some, PUBLIC, KNOWN, False, RECENT, WITHHELD),
            ("public, no key, old", some, PUBLIC, None, False, OLD, WITHHELD),
            ("no route, old", some, None, KNOWN, False, OLD, NO_ROUTE),
            ("no route", some, None, KNOWN, False, RECENT, (ACCEPTED, None, None, False)),
            ("no route, no workspaces", (), None, None, False, OLD, (ACCEPTED, None, None, False)),
            ("relayed", some, ROUTE, KNOWN, True, OLD, FIRST),
            ("relayed, key removed", some, ROUTE, UNKNOWN, True, RECENT, RELAYED),
            ("relayed by an earlier build", some, ROUTE, None, True, RECENT, RELAYED),
            ("relayed by one, public", some, PUBLIC, None, True, OLD, WITHHELD),
            ("relayed, no workspaces", (), ROUTE, None, True, OLD, FORWARDED),
        ]
        for name, workspaces, route, digest, relayed, age_ms, expected in table:
            with self.subTest(name):
                config, clock = support.keyed_table(5, workspaces), ManualClock()
                bound_ms = support.REVOKE_MS if age_ms is not None else None
                confirmation = ConfigConfirmation(bound_ms)
                if age_ms is not None:
                    confirmation.note_published(config, config)
                    confirmation.note_answer(0.0, config.version)
                    clock.advance_ms(age_ms)
                request = make_request(key_digest=digest, identity_headers=CIMultiDict(IDENTITY))
                if relayed:
                    request.relayed = RelayedFrom(APP, ConfigVersion(5), 1_000.0)
                decision = support.decide(confirmation, clock, request, route, config)
                forwarded = dict(request.headers) == IDENTITY
                got = decision, request.workspace, request.priority, forwarded
                self.assertEqual(got, expected)
                if route is not None:
                    self.assertEqual(forwarded, not request.withholds_identity)

    def test_a_key_of_two_workspaces_belongs_to_the_first_and_is_logged(self) -> None:
        with capture_logs() as logged:
            workspace = KeyIndex(support.keyed_table()).find(KNOWN)
        self.assertIs(workspace, support.WORKSPACES[0])
        self.assertEqual([line["ignored"] for line in logged], ["other"])
        self.assertNotIn("k7b2", repr(logged))
