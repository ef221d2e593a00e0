"""Property tests of the order of waiting requests."""

from __future__ import annotations

import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from medlarvale.ids import WorkspaceId
from medlarvale.overload.order import NO_WORKSPACE, Standing, WaitingOrder

# Rounds in which one request is served and the served workspace asks again.
ROUNDS = 120
# The page: each workspace is served at least a quarter as often as all.
LEAST_SHARE = 0.25

workspaces = st.sampled_from([None, *map(WorkspaceId, "abc")])
standings = st.lists(
    st.builds(
        Standing,
        st.booleans(),
        st.booleans(),
        st.integers(1, 2_000),
        st.integers(0, 9),
        workspaces,
        st.floats(1.0, 500.0),
        st.booleans(),
    ),
    max_size=30,
)


class WaitingOrderTest(unittest.TestCase):
    @given(standings)
    def test_order_is_total_and_deterministic(self, waiting: list[Standing]) -> None:
        """Guards against requests that are in no place or two, and against an urgent request that
        goes after a less urgent one which is as early."""
        order = WaitingOrder()
        places = order.arrange(waiting, 0.0, distinguish=True)
        self.assertEqual(sorted(places), list(range(len(waiting))))
        self.assertEqual(places, order.arrange(waiting, 0.0, distinguish=True))
        classes = [(not waiting[n].started, waiting[n].late, waiting[n].priority) for n in places]
        self.assertEqual(classes, sorted(classes))

    @given(standings)
    def test_requests_that_are_not_distinguished_keep_the_former_order(
        self, waiting: list[Standing]
    ) -> None:
        """Guards against another order in deployments without workspaces and priorities."""
        expected = sorted(
            range(len(waiting)),
            key=lambda n: (not waiting[n].started, waiting[n].late, waiting[n].output_tokens),
        )
        self.assertEqual(WaitingOrder().arrange(waiting, 0.0, distinguish=False), expected)

    @given(
        st.lists(st.floats(10.0, 500.0), min_size=2, max_size=5),
        st.lists(st.integers(1, 6), min_size=5, max_size=5),
    )
    def test_no_workspace_starves(self, costs_ms: list[float], numbers: list[int]) -> None:
        """Guards against a workspace with many or short requests that is always served first."""
        order, given_ms = WaitingOrder(), Counter[str]()
        waiting = [
            Standing(False, False, number, 0, WorkspaceId(f"w{number}"), cost_ms)
            for number, cost_ms in enumerate(costs_ms)
            for _ in range(numbers[number])
        ]
        for now_ms in range(ROUNDS):
            first = waiting[order.arrange(waiting, now_ms, distinguish=True)[0]]
            order.note_served(first, now_ms)
            given_ms[first.workspace or NO_WORKSPACE] += first.cost_ms
        mean_ms = sum(given_ms.values()) / len(costs_ms)
        for number in range(len(costs_ms)):
            self.assertGreaterEqual(given_ms[f"w{number}"], LEAST_SHARE * mean_ms)

    @given(st.integers(1, 20), st.integers(1, 20))
    def test_workspaces_take_turns_in_one_arrangement(self, many: int, few: int) -> None:
        """Guards against a workspace whose requests all go before the first of another one."""
        waiting = [
            Standing(False, False, 10, 0, WorkspaceId(name), 100.0)
            for name, number in (("a", many), ("b", few))
            for _ in range(number)
        ]
        names = [
            waiting[n].workspace for n in WaitingOrder().arrange(waiting, 0.0, distinguish=True)
        ]
        both = 2 * min(many, few)
        for place in range(0, both, 2):
            self.assertEqual(set(names[place : place + 2]), {"a", "b"})

    @given(st.integers(1, 2_000), st.integers(1, 2_000))
    def test_a_request_that_has_waited_long_goes_before_shorter_ones(
        self, long: int, short: int
    ) -> None:
        """Guards against the longest answers waiting until they can't be served any more."""
        workspace = WorkspaceId("a")
        waiting = [
            Standing(False, False, short, 0, workspace),
            Standing(False, False, long, 0, workspace, aged=True),
        ]
        self.assertEqual(WaitingOrder().arrange(waiting, 0.0, distinguish=True), [1, 0])


if __name__ == "__main__":
    unittest.main()
