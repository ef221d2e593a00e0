"""Compares the log events with their catalogue in docs/EVENTS.md."""

import unittest
from pathlib import Path

from medlarvale.logs import Event

CATALOGUE = Path(__file__).resolve().parent.parent / "docs" / "EVENTS.md"


class EventCatalogueTest(unittest.TestCase):
    def test_catalogue_lists_exactly_the_events_of_the_code(self) -> None:
        """Guards against events that the catalogue lacks or lists with another text.

        Operators look up event numbers there; such an event leaves them without advice.
        """
        listed = {}
        for line in CATALOGUE.read_text().splitlines():
            cells = [cell.strip() for cell in line.strip("|").split("|")]
            if cells[0].isdigit():
                self.assertNotIn(int(cells[0]), listed, "listed twice")
                self.assertEqual(len(cells), 4, line)
                self.assertTrue(all(cells), f"empty cell: {line}")
                listed[int(cells[0])] = cells[1]
        self.assertEqual(listed, {event.number: event.text for event in Event})
        self.assertEqual(len({event.number for event in Event}), len(Event))
