"""Writes docs/settings.md from the schema of the settings tree."""

from __future__ import annotations

import enum
import inspect
import sys
import types
import typing
from pathlib import Path
from typing import Any

from pydantic import BaseModel
from pydantic.fields import FieldInfo
from pydantic_core import PydanticUndefined

from medlarvale.callers.validation import BODY_TIMEOUT_MS
from medlarvale.settings import schema
from medlarvale.settings.check import MAX_TREE_BYTES, unit_of
from medlarvale.uploads.bounds import MONITORING_CONNECTIONS, SMALL_HEAD_BYTES
from medlarvale.uploads.connections import FREE_FRAMING_BYTES, LINGERING_S
from medlarvale.uploads.read_pacing import PASS_BYTES, PASS_FRAMING_BYTES
from medlarvale.uploads.reader import MAX_HEAD_BYTES

PAGE = Path(__file__).resolve().parent.parent / "docs" / "settings.md"
INTRODUCTION = f"""# Settings tree

Generated from `src/medlarvale/settings/schema.py` by `python -m scripts.settings_reference`.

The tree is YAML or JSON of at most {MAX_TREE_BYTES:,} bytes. Scalars are read as in JSON, keys may
not be repeated, and YAML aliases are refused. `medlarvale check FILE` prints every error;
`medlarvale explain FILE --at REGION/DOMAIN/SERVICE/POOL` prints the values in force and the branch
that set each. The lowest branch that sets a value wins, in the order fleet, region, failure domain,
service, pool.
"""
LIMITS_INTRODUCTION = """`medlarvale forward` takes its memory and descriptors from the platform's
settings file, `medlarvale serve` from `--memory-mb` and the limit of the system (`ulimit -n`). The
other limits are constants. No caller that stays within the limits of the configuration meets one
while the host is not crowded."""
LIMITS = [
    (
        "`--memory-mb` of `serve`: memory of the process in MB",
        "0 (unknown)",
        "bodies and heads of callers take up to an eighth of it each, 32 MiB if it is unknown",
    ),
    (
        "connections of callers",
        "three quarters of the descriptors less 200",
        "the one without a whole request for the longest time is closed",
    ),
    (
        "connections to the ports for readiness, metrics and operators",
        f"{MONITORING_CONNECTIONS} each",
        "as above",
    ),
    (
        "bytes of an incomplete head, of chunk extensions or of trailers",
        f"{MAX_HEAD_BYTES:,}",
        "431 (`forward`) or 400 (`serve`), or a closed connection",
    ),
    (
        "time of an incomplete head, and without progress of an answer, at `serve`",
        f"{BODY_TIMEOUT_MS:,} ms",
        "the connection is closed",
    ),
    (
        "memory of the heads of all connections, complete or not",
        "as for bodies",
        f"connections that serve nothing and whose heads take over {SMALL_HEAD_BYTES:,} bytes, or "
        "an equal share of that memory if it is less, are closed, the oldest first",
    ),
    (
        "bytes that one pass of the event loop reads from all callers",
        f"{PASS_BYTES:,}",
        "the rest is read in the next passes",
    ),
    (
        "chunk framing of one body",
        f"{FREE_FRAMING_BYTES:,} bytes",
        f"its reads take turns with those of other such bodies: {PASS_FRAMING_BYTES:,} bytes of "
        "framing in a pass",
    ),
    (
        "time for which the rest of a refused request is read and dropped",
        f"{1000.0 * LINGERING_S:,.0f} ms",
        "the connection is closed",
    ),
]
PARTS: list[type[BaseModel]] = [
    schema.SettingsTree,
    schema.ServiceDeclaration,
    schema.PoolDeclaration,
    schema.RetryPolicy,
    schema.CallRule,
    schema.Workspace,
    schema.RegionBranch,
    schema.FailureDomainBranch,
    schema.ServiceBranch,
    schema.PoolBranch,
]


def type_name(annotation: Any) -> str:
    """Returns the name of a type as shown on the page."""
    origin, arguments = typing.get_origin(annotation), typing.get_args(annotation)
    if origin is typing.Annotated:
        return type_name(arguments[0])
    if origin in (typing.Union, types.UnionType):
        return " or ".join(type_name(part) for part in arguments if part is not types.NoneType)
    if origin is dict:
        return f"mapping of name to {type_name(arguments[1])}"
    if origin is list:
        return f"list of {type_name(arguments[0])}"
    if isinstance(annotation, type) and issubclass(annotation, enum.Enum):
        return " or ".join(f"`{member.value}`" for member in annotation)
    return {"str": "string", "int": "integer", "bool": "boolean"}.get(
        annotation.__name__, annotation.__name__
    )


def default_of(field: FieldInfo) -> str:
    """Returns the default of a key as shown on the page."""
    if field.is_required():
        return "required"
    if field.default is PydanticUndefined or isinstance(field.default, BaseModel):
        return "empty"
    return "none" if field.default is None else f"`{field.default}`"


def render_page() -> str:
    """Returns the text of docs/settings.md."""
    lines = [INTRODUCTION, "## Values", "", "Any branch may set any of these.", ""]
    lines += ["| key | type | unit | default | meaning |", "|---|---|---|---|---|"]
    for key, field in schema.Values.model_fields.items():
        default = str(getattr(schema.DEFAULT_VALUES, key)).lower()
        kind = type_name(field.annotation)
        lines.append(f"| `{key}` | {kind} | {unit_of(key)} | {default} | {field.description} |")
    for part in PARTS:
        lines += ["", f"## {part.__name__}", "", inspect.cleandoc(part.__doc__ or ""), ""]
        lines += ["| key | type | default |", "|---|---|---|"]
        for key, field in part.model_fields.items():
            lines.append(f"| `{key}` | {type_name(field.annotation)} | {default_of(field)} |")
    return "\n".join([*lines, *render_limits()]) + "\n"


def render_limits() -> list[str]:
    """Returns the lines of the table of limits on what callers may hold."""
    lines = ["", "## Limits on callers", "", LIMITS_INTRODUCTION, ""]
    lines += ["| limit | default | beyond it |", "|---|---|---|"]
    return lines + [f"| {limit} | {value} | {effect} |" for limit, value, effect in LIMITS]


def main() -> int:
    """Writes the page and returns the process exit status."""
    PAGE.write_text(render_page())
    return 0


if __name__ == "__main__":
    sys.exit(main())
