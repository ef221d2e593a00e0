"""Parses YAML or JSON text into plain values and reports every repeated key."""

from __future__ import annotations

import json
import re
from typing import Any

import msgspec
import yaml

from medlarvale.settings.errors import Problem

# libyaml is about ten times faster than the pure Python parser on a tree of 1 MB.
_BaseLoader: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)

_INT_TAG = "tag:yaml.org,2002:int"
_FLOAT_TAG = "tag:yaml.org,2002:float"
_BOOL_TAG = "tag:yaml.org,2002:bool"
_NULL_TAG = "tag:yaml.org,2002:null"
_STR_TAG = "tag:yaml.org,2002:str"


class _Loader(_BaseLoader):
    """Loader with the scalar rules of JSON; in YAML 1.1, 010 is 8, 1:30 is 90 and no is false."""

    yaml_implicit_resolvers: dict[str, list[tuple[str, re.Pattern[str]]]] = {}


_Loader.add_implicit_resolver(_BOOL_TAG, re.compile(r"^(true|false)$"), list("tf"))
_Loader.add_implicit_resolver(_NULL_TAG, re.compile(r"^(null|~|)$"), ["n", "~", ""])
_Loader.add_implicit_resolver(_INT_TAG, re.compile(r"^-?(0|[1-9][0-9]*)$"), list("-0123456789"))
_Loader.add_implicit_resolver(
    _FLOAT_TAG,
    re.compile(r"^-?(0|[1-9][0-9]*)(\.[0-9]+)?([eE][-+]?[0-9]+)?$"),
    list("-0123456789"),
)


class ParsedText(msgspec.Struct, frozen=True):
    """Plain values read from text.

    Attributes:
        readable: whether the text is valid YAML or JSON.
        value: mappings, lists, strings, numbers, booleans and None.
    """

    readable: bool
    value: Any
    problems: list[Problem]


class _Pairs(list[tuple[str, Any]]):
    """Members of a JSON object in order, including repeated keys."""


def _to_pairs(members: list[tuple[str, Any]]) -> _Pairs:
    # A Python function is used because the JSON scanner calls a class without releasing the
    # interpreter lock, which blocks other threads until the whole text is parsed.
    return _Pairs(members)


def join_path(path: str, part: object) -> str:
    """Returns the path of a member of the value at ``path``."""
    return f"{path}/{part}" if path else str(part)


def parse_text(text: bytes) -> ParsedText:
    """Parses ``text`` and reports each repeated key, YAML alias and non-string key."""
    problems: list[Problem] = []
    try:
        decoded = text.decode("utf-8")
        return ParsedText(True, _parse(decoded, problems), problems)
    except UnicodeDecodeError as error:
        problem = Problem("", "text in UTF-8", f"byte {error.start}: {error.reason}")
    except yaml.YAMLError as error:
        problem = Problem("", "YAML or JSON text", " ".join(str(error).split()))
    except RecursionError:
        problem = Problem("", "a tree without deep nesting")
    return ParsedText(False, None, [problem])


def _parse(text: str, problems: list[Problem]) -> Any:
    try:
        value = json.loads(text, object_pairs_hook=_to_pairs)
    except ValueError:
        loader = _Loader(text)
        try:
            return _from_node(loader.get_single_node(), "", problems, set())
        finally:
            loader.dispose()
    return _from_json(value, "", problems)


def _from_json(value: Any, path: str, problems: list[Problem]) -> Any:
    if isinstance(value, _Pairs):
        result: dict[str, Any] = {}
        for key, member in value:
            member_path = join_path(path, key)
            if key in result:
                problems.append(Problem(member_path, "each key once", "the key again"))
            result[key] = _from_json(member, member_path, problems)
        return result
    if isinstance(value, list):
        return [
            _from_json(item, join_path(path, index), problems) for index, item in enumerate(value)
        ]
    return value


def _from_node(node: yaml.Node | None, path: str, problems: list[Problem], seen: set[int]) -> Any:
    if node is None:
        return None
    if isinstance(node, yaml.ScalarNode):
        return _scalar(node)
    if id(node) in seen:
        # The size limit on the text does not bound the expansion of nested aliases.
        problems.append(Problem(path, "a value without YAML aliases", "an alias"))
        return None
    seen.add(id(node))
    if isinstance(node, yaml.SequenceNode):
        return [
            _from_node(item, join_path(path, index), problems, seen)
            for index, item in enumerate(node.value)
        ]
    return _mapping(node, path, problems, seen)


def _mapping(node: yaml.Node, path: str, problems: list[Problem], seen: set[int]) -> dict[str, Any]:
    result: dict[str, Any] = {}
    for key_node, member in node.value:
        key = str(key_node.value) if isinstance(key_node, yaml.ScalarNode) else "?"
        member_path = join_path(path, key)
        line = f"at line {key_node.start_mark.line + 1}"
        if key_node.tag != _STR_TAG:
            problems.append(Problem(member_path, "a key that is a string", f"another type {line}"))
        if key in result:
            problems.append(Problem(member_path, "each key once", f"the key again {line}"))
        result[key] = _from_node(member, member_path, problems, seen)
    return result


def _scalar(node: yaml.ScalarNode) -> Any:
    text = node.value
    if node.tag == _NULL_TAG:
        return None
    if node.tag == _BOOL_TAG:
        return text == "true"
    try:
        if node.tag == _INT_TAG:
            return int(text)
        if node.tag == _FLOAT_TAG:
            return float(text)
    except ValueError:
        # Too many digits, or an explicit tag on other text; the schema rejects the string.
        return text
    return text
