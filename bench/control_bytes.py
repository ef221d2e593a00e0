"""Computes the traffic that keeps reservations alive, in bytes per second.

Frames are encoded as between entry hosts. Run with ``python -m bench.control_bytes``. The baseline
is the first version, in which owners renewed each reservation by its id with every heartbeat.
"""

from __future__ import annotations

import msgspec

from medlarvale.ids import (
    AttemptNumber,
    HostId,
    HostIdentity,
    Incarnation,
    RequestId,
    ServiceName,
    new_request_id,
)
from medlarvale.peers.auth import Frame, FrameKind, SharedKeys
from medlarvale.scheduling.messages import (
    Acknowledged,
    EndedReservations,
    QueryReservations,
    attempt_digest,
)
from medlarvale.scheduling.owners import QUERY_PERIOD_MS

HELD_REQUESTS = (60, 500)
CELL_HOSTS = 9
RENEWAL_PERIOD_MS = 250.0
OWNER = HostIdentity(HostId("entry-1"), Incarnation(1_796_000_000_000 << 16))
KEYS = SharedKeys({"key-1": bytes(32)})
FIRST_ATTEMPT = AttemptNumber(1)


class RenewReservations(msgspec.Struct, tag="renew_reservations", frozen=True):
    """Baseline: lists all requests of an owner at a placement scheduler."""

    owner: HostIdentity
    service: ServiceName
    requests: list[RequestId]


def frame_bytes(message: msgspec.Struct, kind: FrameKind) -> int:
    """Returns the length of a message on the wire, without TCP headers."""
    frame = Frame(
        sender=OWNER.host,
        incarnation=OWNER.incarnation,
        receiver=HostId("entry-2"),
        reply_address="tcp://10.20.30.40:7400",
        nonce=1_000_000,
        in_reply_to=1_000_000,
        kind=kind,
        sent_at_ms=1_796_000_000_000,
        body=msgspec.msgpack.encode(message),
    )
    return len(KEYS.sign(msgspec.msgpack.encode(frame)))


def renewal_bytes_per_s(held: int) -> float:
    """Returns the traffic of the baseline between an owner and one placement scheduler."""
    requests = [new_request_id() for _ in range(held)]
    request_bytes = frame_bytes(
        RenewReservations(OWNER, ServiceName("model"), requests), FrameKind.REQUEST
    )
    reply_bytes = frame_bytes(Acknowledged(), FrameKind.REPLY)
    return (request_bytes + reply_bytes) * 1_000.0 / RENEWAL_PERIOD_MS


def query_bytes_per_s(held: int) -> float:
    """Returns the traffic of queries between an owner and one scheduler; no request has ended."""
    digests = [attempt_digest(new_request_id(), FIRST_ATTEMPT) for _ in range(held)]
    request_bytes = frame_bytes(QueryReservations(digests), FrameKind.REQUEST)
    reply_bytes = frame_bytes(EndedReservations([]), FrameKind.REPLY)
    return (request_bytes + reply_bytes) * 1_000.0 / QUERY_PERIOD_MS


def main() -> None:
    """Prints the bytes per second of a node, sum of both directions."""
    print("held requests  places at       renewals B/s  queries B/s")
    for held in HELD_REQUESTS:
        renewal_bytes, query_bytes = renewal_bytes_per_s(held), query_bytes_per_s(held)
        print(f"{held:13}  one booker      {renewal_bytes:12.0f}  {query_bytes:11.0f}")
        # Each host of a cell owns requests at all others, and schedules requests of all others.
        peers, share = CELL_HOSTS - 1, held // CELL_HOSTS
        renewal_bytes = 2 * peers * renewal_bytes_per_s(share)
        query_bytes = 2 * peers * query_bytes_per_s(share)
        print(f"{held:13}  {CELL_HOSTS} bookers       {renewal_bytes:12.0f}  {query_bytes:11.0f}")


if __name__ == "__main__":
    main()
