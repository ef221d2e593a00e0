"""Gaps of slow engines that hosts of a large fleet name to each other."""

import unittest

import msgspec

from medlarvale.forwarding.messages import EngineStage, Server, ServerState
from medlarvale.ids import FailureDomain, ServerId, ServiceName
from medlarvale.placement.engine_gaps import (
    ANNOUNCED_MS,
    KNOWN_MS,
    MAX_ANNOUNCED,
    MAX_PENALTY,
    EngineGaps,
    sees_few_streams,
)

USUAL_MS = 45.0
NOW_MS = 100_000.0


def engine(name: str = "e1", born_ms: int = 7, stage: EngineStage = EngineStage.DECODE) -> Server:
    return Server(
        ServerId(name),
        ServiceName("llm"),
        "127.0.0.1:9000",
        FailureDomain("a"),
        64,
        ServerState.READY,
        stage,
        born_ms=born_ms,
    )


class PenaltyTest(unittest.TestCase):
    def test_penalty_by_gap(self) -> None:
        """Guards against slow engines that get as many streams as others, and against fast ones
        that differ by noise."""
        for gap_ms, expected in (
            (None, 0.0),
            (45.0, 0.0),
            (60.0, 0.0),
            (90.0, 0.15),
            (900.0, 0.45),
        ):
            with self.subTest(gap_ms=gap_ms):
                gaps = EngineGaps()
                if gap_ms is not None:
                    gaps.note_own(engine(), gap_ms, NOW_MS)
                self.assertAlmostEqual(gaps.penalty(engine(), USUAL_MS, NOW_MS), expected)
        self.assertEqual(0.45, MAX_PENALTY)

    def test_what_ends_a_penalty(self) -> None:
        """Guards against an engine that is avoided for ever, after a restart or a recovery."""
        for case, server, later_ms, expected in (
            ("measured", engine(), KNOWN_MS, 0.15),
            ("not measured for long", engine(), KNOWN_MS + 1.0, 0.0),
            ("started again", engine(born_ms=8), 0.0, 0.0),
            ("another engine", engine("e2"), 0.0, 0.0),
            ("another stage", engine(stage=EngineStage.PREFILL), 0.0, 0.0),
        ):
            with self.subTest(case):
                gaps = EngineGaps()
                gaps.note_own(engine(), 90.0, NOW_MS)
                penalty = gaps.penalty(server, USUAL_MS, NOW_MS + later_ms)
                self.assertAlmostEqual(penalty, expected)

    def test_no_penalty_without_a_usual_gap(self) -> None:
        """Guards against a choice by figures that are not known yet."""
        gaps = EngineGaps()
        gaps.note_own(engine(), 900.0, NOW_MS)
        self.assertEqual(gaps.penalty(engine(), None, NOW_MS), 0.0)


class UsualGapTest(unittest.TestCase):
    def test_median_of_the_known_engines(self) -> None:
        """Guards against prefill engines that count as slow beside a single fast one."""
        for known, expected in ((3, None), (4, 90.0), (5, 90.0)):
            with self.subTest(known=known):
                gaps, engines = EngineGaps(), [engine(f"e{number}") for number in range(6)]
                for number in range(known):
                    gaps.note_own(engines[number], (90.0, 50.0, 90.0, 150.0, 90.0)[number], NOW_MS)
                self.assertEqual(gaps.usual_ms(engines, NOW_MS), expected)


class AnnouncementTest(unittest.TestCase):
    def test_which_engines_are_named(self) -> None:
        """Guards against hearsay that goes round for ever, and against hellos of any length."""
        for case, own, gap_ms, later_ms, named in (
            ("slow, measured here", True, 90.0, 0.0, True),
            ("slow, known from a peer", False, 90.0, 0.0, False),
            ("usual", True, 50.0, 0.0, False),
            ("measured long ago", True, 90.0, ANNOUNCED_MS + 1.0, False),
        ):
            with self.subTest(case):
                gaps, server = EngineGaps(), engine()
                (gaps.note_own if own else gaps.note_peer)(server, gap_ms, NOW_MS)
                found = gaps.to_announce({server.server: USUAL_MS}, NOW_MS + later_ms)
                self.assertEqual(found, {server.server: 90} if named else {})

    def test_only_the_slowest_are_named(self) -> None:
        gaps, usual_ms = EngineGaps(), {}
        for number in range(MAX_ANNOUNCED + 4):
            server = engine(f"e{number:02}")
            usual_ms[server.server] = USUAL_MS
            gaps.note_own(server, 90.0 + number, NOW_MS)
        found = gaps.to_announce(usual_ms, NOW_MS)
        self.assertEqual(sorted(found), [f"e{number:02}" for number in range(4, 4 + MAX_ANNOUNCED)])

    def test_a_peer_learns_what_is_named(self) -> None:
        """Guards against a host that sends streams to an engine that its peers know to be slow."""
        here, there, server = EngineGaps(), EngineGaps(), engine()
        here.note_own(server, 90.0, NOW_MS)
        for named, gap_ms in here.to_announce({server.server: USUAL_MS}, NOW_MS).items():
            there.note_peer(msgspec.structs.replace(server, server=named), gap_ms, NOW_MS)
        self.assertGreater(there.penalty(server, USUAL_MS, NOW_MS), 0.0)

    def test_small_fleets_name_none(self) -> None:
        """Guards against bytes where each host measures all engines itself."""
        for hosts, few in ((1, False), (5, False), (8, False), (26, True), (364, True)):
            with self.subTest(hosts=hosts):
                self.assertIs(sees_few_streams(hosts), few)
