"""Validates a settings tree and reports all faults at once."""

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

# The configuration service stores values of up to 1 MB.
MAX_TREE_BYTES = 1_000_000
MAX_FOUND_CHARACTERS = 60

# Longer suffixes first, so that a rate is not mistaken for a duration.
UNITS = {
    "_bytes_per_s": "bytes per second",
    "_tokens_per_s": "tokens per second",
    "_bytes": "bytes",
    "_tokens": "tokens",
    "_percent": "percent",
    "_ms": "milliseconds",
}

# Prefixes of pydantic messages and their replacements after "expected" in a Problem.
MESSAGE_PREFIXES = {
    "Input should be greater": "a value greater",
    "Input should be less": "a value less",
    "Input should be ": "",
    "String should match pattern ": "a string that matches ",
}


def check_text(text: bytes) -> SettingsTree:
    """Parses and validates YAML or JSON text and returns the tree.

    Raises:
        SettingsRejectedError: lists all faults of the tree.
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
        # JSON mode accepts strings for enum values and is strict about all other types.
        tree = SettingsTree.model_validate_json(json.dumps(parsed.value))
    except ValidationError as error:
        problems += [_schema_problem(details) for details in error.errors()]
    problems += check_references(parsed.value)
    if problems or tree is None:
        raise SettingsRejectedError(problems)
    return tree


def unit_of(key: str) -> str:
    """Returns the unit that a key's suffix stands for, or an empty string."""
    return next((unit for suffix, unit in UNITS.items() if key.endswith(suffix)), "")


def _schema_problem(details: ErrorDetails) -> Problem:
    location = [part for part in details["loc"] if part != "[key]"]
    path = "/".join(str(part) for part in location)
    last = str(location[-1]) if location else ""
    if details["type"] == "extra_forbidden":
        return Problem(path, _known_keys(location), "an unknown key")
    if details["type"] == "missing":
        return Problem(path, "a value, as the key is required")
    expected = _expectation(details["msg"])
    if unit := unit_of(last):
        expected += f" (in {unit})"
    return Problem(path, expected, _shorten(details["input"]))


def _expectation(message: str) -> str:
    """Converts a pydantic message to a description of the expected value."""
    for prefix, replacement in MESSAGE_PREFIXES.items():
        if message.startswith(prefix):
            return replacement + message.removeprefix(prefix)
    return message


def _shorten(value: Any) -> str:
    shown = repr(value)
    return shown if len(shown) <= MAX_FOUND_CHARACTERS else shown[:MAX_FOUND_CHARACTERS] + "..."


def _known_keys(location: list[int | str]) -> str:
    """Returns the known key most similar to an unknown one, or all known keys at its location."""
    model = _model_at(location[:-1])
    keys = list(model.model_fields) if model is not None else []
    closest = _closest_key(str(location[-1]), keys)
    if closest is None:
        return "one of the keys " + ", ".join(keys)
    unit = unit_of(closest)
    return f"the key {closest}" + (f" (in {unit})" if unit else "")


def _closest_key(given: str, keys: list[str]) -> str | None:
    for key in keys:
        suffix = next((suffix for suffix in UNITS if key.endswith(suffix)), "")
        stem = key.removesuffix(suffix)
        if suffix and (given == stem or given.rpartition("_")[0] == stem):
            return key
    return next(iter(difflib.get_close_matches(given, keys, n=1)), None)


def _model_at(location: list[int | str]) -> type[BaseModel] | None:
    """Returns the schema model at a location in the tree."""
    node: Any = SettingsTree
    for part in location:
        if isinstance(node, type) and issubclass(node, BaseModel):
            field = node.model_fields.get(str(part))
            if field is None:
                return None
            node = field.annotation
        else:
            # The member type is the last type argument of both dict[Name, X] and list[X].
            arguments = typing.get_args(node)
            node = arguments[-1] if arguments else None
    return node if isinstance(node, type) and issubclass(node, BaseModel) else None
