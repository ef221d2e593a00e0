"""Tells how current this host's list of servers is, compared with those of its peers."""

from __future__ import annotations

from collections.abc import Callable

from medlarvale.clock import Clock
from medlarvale.forwarding.fleet import FleetView
from medlarvale.forwarding.follower import StateFollower
from medlarvale.forwarding.messages import Server


class PublishedView:
    """The list of servers as the follower knows it; implements ``ServerView``.

    Args:
        follower: follows the published state.
        fleet: the peers.
        clock: time service.
    """

    def __init__(self, follower: StateFollower, fleet: FleetView, clock: Clock) -> None:
        self._follower = follower
        self._fleet = fleet
        self._clock = clock

    def age_ms(self) -> float:
        """Returns the age of the newest answer from which the list is known to be complete."""
        return self._follower.age_ms()

    def left_after_ms(self) -> float:
        """Returns the time after which the servers that are gone from the list have left."""
        return self._follower.left_after_ms()

    def joined_after_ms(self, server: Server) -> float:
        """Returns the time after which a server that is new in the list has joined."""
        return self._follower.joined_after_ms(server)

    def on_gap(self, callback: Callable[[float, float], None]) -> None:
        """Registers a callback for the begin and end of each time that was not all seen."""
        self._follower.on_gap(callback)

    async def is_current(self, at_ms: float) -> bool:
        """Returns whether no peer may know of a server that served at some time and is unlisted.

        While the store doesn't answer, a peer that is lost since may have heard of a change before.
        """
        return await self._follower.confirm(at_ms) or self._fleet.is_alone()
