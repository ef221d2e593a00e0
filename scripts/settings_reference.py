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

from medlarvale.settings import schema
from medlarvale.settings.check import MAX_TREE_BYTES, unit_of

PAGE = Path(__file__).resolve().parent.parent / "docs" / "settings.md"
INTRODUCTION = f"""# Settings tree

Generated from `src/medlarvale/settings/schema.py` by `python -m scripts.settings_reference`.

The tree is YAML or JSON of at most {MAX_TREE_BYTES:,} bytes. Scalars are read as in JSON, keys may
not be repeated, and YAML aliases are refused. `medlarvale check FILE` prints every error;
`medlarvale explain FILE --at REGION/DOMAIN/SERVICE/POOL` prints the values in force and the branch
that set each. The lowest branch that sets a value wins, in the order fleet, region, failure domain,
service, pool.
"""
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
    return "\n".join(lines) + "\n"


def main() -> int:
    """Writes the page and returns the process exit status."""
    PAGE.write_text(render_page())
    return 0


if __name__ == "__main__":
    sys.exit(main())
