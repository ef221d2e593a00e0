"""Compares the error codes with their catalogue in docs/errors.md."""

import importlib
import pkgutil
import re
import unittest
from collections.abc import Iterator
from pathlib import Path

import medlarvale
from medlarvale.errors import MedlarvaleError

CATALOGUE = Path(__file__).parent.parent / "docs" / "errors.md"
ROW = re.compile(r"^\| `([a-z_]+)` \| (\d{3}) \| (answered|not_run|unknown) \| (.+) \|$", re.M)


def subclasses(of: type[MedlarvaleError]) -> Iterator[type[MedlarvaleError]]:
    yield of
    for below in of.__subclasses__():
        # The stand-ins simulate external systems; their codes reach no caller.
        own = below.__module__.startswith("medlarvale.")
        if own and not below.__module__.startswith("medlarvale.standins."):
            yield from subclasses(below)


class ErrorCatalogueTest(unittest.TestCase):
    def test_catalogue_and_code_agree(self) -> None:
        """Guards against error codes that callers receive but cannot look up in the catalogue, and
        against a wrong status or outcome there."""
        for module in pkgutil.walk_packages(medlarvale.__path__, "medlarvale."):
            if not module.name.endswith("__main__"):
                importlib.import_module(module.name)
        in_code = sorted(
            {
                (kind.code, kind.http_status, kind.outcome.value)
                for kind in subclasses(MedlarvaleError)
            }
        )
        rows = ROW.findall(CATALOGUE.read_text())
        listed = [(code, int(status), outcome) for code, status, outcome, _ in rows]
        self.assertEqual(sorted(listed), in_code)
        codes = [code for code, _, _ in listed]
        self.assertEqual(len(codes), len(set(codes)), "a code has one meaning")
