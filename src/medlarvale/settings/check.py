"""Checks a settings tree and reports every fault at once."""

from __future__ import annotations

import difflib
import json
import typing
from typing import Any

from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails

from medlarvale.settings.errors import Problem, SettingsRejectedError
from medlarvale.settings.parsing import parse_text
from medlarvale.settings.references import check_references
from medlarvale.settings.schema import SettingsTree

# The configuration service holds values of up to 1 MB.
MAX_TREE_BYTES = 1_000_000
FOUND_CHARACTERS = 60

# Longest suffix first, so that a rate is not taken for a duration.
UNITS = {
    "_bytes_per_s": "bytes per second",
    "_tokens_per_s": "tokens per second",
    "_bytes": "bytes",
    "_tokens": "tokens",
    "_percent": "percent",
    "_ms": "milliseconds",
}

# How messages of pydantic start, and how the same reads after "expected".
MESSAGE_STARTS = {
    "Input should be greater": "a value greater",
    "Input should be less": "a value less",
    "Input should be ": "",
    "String should match pattern ": "a string that matches ",
}


def check_text(text: bytes) -> SettingsTree:
    """Returns the tree in YAML or JSON text.

    Raises:
        SettingsRejectedError: with all faults of the tree.
    """
    if len(text) > MAX_TREE_BYTES:
        raise SettingsRejectedError(
            [Problem("", f"at most {MAX_TREE_BYTES} bytes", f"{len(text)} bytes")]
        )
    parsed = parse_text(text)
    if not parsed.readable:
        raise SettingsRejectedError(parsed.problems)
    problems = list(parsed.problems)
    tree: SettingsTree | None = None
    try:
        # JSON mode reads enum values from strings and stays strict about all other types.
        tree = SettingsTree.model_validate_json(json.dumps(parsed.value))
    except ValidationError as error:
        problems += [_schema_problem(details) for details in error.errors()]
    problems += check_references(parsed.value)
    if problems or tree is None:
        raise SettingsRejectedError(problems)
    return tree


def unit_of(key: str) -> str:
    """Returns the unit that the suffix of a key states, or an empty string."""
    return next((unit for suffix, unit in UNITS.items() if key.endswith(suffix)), "")


def _schema_problem(details: ErrorDetails) -> Problem:
    location = [part for part in details["loc"] if part != "[key]"]
    path = "/".join(str(part) for part in location)
    last = str(location[-1]) if location else ""
    if details["type"] == "extra_forbidden":
        return Problem(path, _known_keys(location), "an unknown key")
    if details["type"] == "missing":
        return Problem(path, "a value, as the key is required")
    expected = _expected(details["msg"])
    if unit := unit_of(last):
        expected += f" (in {unit})"
    return Problem(path, expected, _shorten(details["input"]))


def _expected(message: str) -> str:
    """Turns a message of pydantic into what was expected."""
    for start, replacement in MESSAGE_STARTS.items():
        if message.startswith(start):
            return replacement + message.removeprefix(start)
    return message


def _shorten(value: Any) -> str:
    shown = repr(value)
    return shown if len(shown) <= FOUND_CHARACTERS else shown[:FOUND_CHARACTERS] + "..."


def _known_keys(location: list[int | str]) -> str:
    """Returns which key was meant, or else all keys known at the place."""
    model = _model_at(location[:-1])
    keys = list(model.model_fields) if model is not None else []
    meant = _meant(str(location[-1]), keys)
    if meant is None:
        return "one of the keys " + ", ".join(keys)
    unit = unit_of(meant)
    return f"the key {meant}" + (f" (in {unit})" if unit else "")


def _meant(given: str, keys: list[str]) -> str | None:
    for key in keys:
        suffix = next((suffix for suffix in UNITS if key.endswith(suffix)), "")
        stem = key.removesuffix(suffix)
        if suffix and (given == stem or given.rpartition("_")[0] == stem):
            return key
    return next(iter(difflib.get_close_matches(given, keys, n=1)), None)


def _model_at(location: list[int | str]) -> type[BaseModel] | None:
    """Returns the part of the schema at a place in the tree."""
    here: Any = SettingsTree
    for part in location:
        if isinstance(here, type) and issubclass(here, BaseModel):
            field = here.model_fields.get(str(part))
            if field is None:
                return None
            here = field.annotation
        else:
            # dict[Name, X] and list[X] both hold their member type last.
            arguments = typing.get_args(here)
            here = arguments[-1] if arguments else None
    return here if isinstance(here, type) and issubclass(here, BaseModel) else None
