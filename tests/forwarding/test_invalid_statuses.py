"""Guards against a response with an impossible status that a host forwards to its caller."""

from __future__ import annotations

from collections.abc import Iterator

from tests.forwarding.test_cut_answers import (
    EVENTS,
    FRAMING_LINES,
    INTERIM,
    Case,
    CutAnswersTestCase,
    head,
)
from tests.platform.test_broken_answers import Received

STATUSES = (b"000", b"099", b"101", b"600", b"999")
NOT_RUN = b"X-Not-Executed: 1\r\n"


def invalid_cases(route: str) -> Iterator[Case]:
    """Yields whole answers with an impossible status; some promise that nothing has run."""
    for status in STATUSES:
        for before, after in ((b"", b""), (INTERIM, b""), (b"", NOT_RUN)):
            lines = head("length", route).replace(b"200 OK", status + b" Status")
            sent = before + lines.replace(FRAMING_LINES["length"], after + FRAMING_LINES["length"])
            name = f"{route}, {status!r}, interim {bool(before)}, promise {bool(after)}"
            yield Case(name, route, sent + EVENTS, reset=False)


class InvalidStatusesTest(CutAnswersTestCase):
    async def test_invalid_statuses_reach_no_caller_and_repeat_no_booking(self) -> None:
        await self._check_all(invalid_cases)
        for path, arrivals in self.backend.arrivals.items():
            if path.startswith("/book/"):
                self.assertEqual(arrivals, 1)

    def _check_answer(self, case: Case, answer: Received) -> None:
        # The server may have run the request, so 503 would be a false promise.
        self.assertTrue(answer.head.startswith(b"HTTP/1.1 502"), answer)
        self.assertNotIn(EVENTS, answer.rest)
        self.assertNotIn(b"X-Response-Signature", answer.head)
