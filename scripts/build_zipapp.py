"""``make dist``: builds a single-file application from the program and its libraries.

The ``zipapp`` format of Python cannot import extension modules. Tools that work around this unpack
them to disk or start a second process, and the hosts allow neither, so the bootstrap code in
``scripts/zipapp_main.py`` loads them from anonymous memory files.
"""

from __future__ import annotations

import argparse
import hashlib
import importlib.metadata as metadata
import sys
import tomllib
import zipfile
from collections.abc import Iterator
from pathlib import Path, PurePosixPath

REPOSITORY = Path(__file__).resolve().parent.parent
SHEBANG = b"#!/usr/bin/env python3.11\n"
# Keeps the build reproducible: the same content gives the same file.
FIXED_TIME = (2020, 1, 1, 0, 0, 0)
SKIPPED_SUFFIXES = {".pyc", ".pyi", ".pyx", ".pxd", ".c", ".h", ".cpp"}


def requirement_name(requirement: str) -> str | None:
    """Returns the distribution name of a requirement, or None if it belongs to an extra."""
    if "extra ==" in requirement:
        return None
    end = next(
        (index for index, character in enumerate(requirement) if character in " <>=!~;[("),
        len(requirement),
    )
    return requirement[:end]


def runtime_distributions() -> list[metadata.Distribution]:
    """Returns the declared runtime libraries and their dependencies, sorted by name."""
    project = tomllib.loads((REPOSITORY / "pyproject.toml").read_text())["project"]
    pending = [requirement_name(requirement) for requirement in project["dependencies"]]
    found: dict[str, metadata.Distribution] = {}
    while pending:
        name = pending.pop()
        key = (name or "").lower().replace("_", "-")
        if name is None or key in found:
            continue
        try:
            distribution = metadata.distribution(name)
        except metadata.PackageNotFoundError:
            # Required only on other platforms or Python versions.
            continue
        found[key] = distribution
        pending += [requirement_name(requirement) for requirement in distribution.requires or []]
    return [found[name] for name in sorted(found)]


def library_files() -> Iterator[tuple[str, bytes]]:
    """Yields the archive name and content of each library file."""
    for distribution in runtime_distributions():
        for file in distribution.files or []:
            path = Path(str(distribution.locate_file(file)))
            in_library = ".." not in file.parts and "tests" not in file.parts
            if in_library and file.suffix not in SKIPPED_SUFFIXES and path.is_file():
                yield f"lib/{file.as_posix()}", path.read_bytes()


def program_files() -> Iterator[tuple[str, bytes]]:
    """Yields the archive name and content of each program file."""
    source = REPOSITORY / "src"
    for path in sorted(source.rglob("*")):
        if path.is_file() and path.suffix != ".pyc" and "egg-info" not in str(path):
            yield f"lib/{path.relative_to(source).as_posix()}", path.read_bytes()


def build(target: Path) -> str:
    """Writes the application and returns its SHA-256 digest in hexadecimal."""
    target.parent.mkdir(parents=True, exist_ok=True)
    start_code = (REPOSITORY / "scripts" / "zipapp_main.py").read_bytes()
    with target.open("wb") as file:
        file.write(SHEBANG)
        with zipfile.ZipFile(file, "w", zipfile.ZIP_DEFLATED) as archive:
            entries = [("__main__.py", start_code), *program_files(), *library_files()]
            # zipimport finds a package without an __init__.py only by the entry of its folder.
            folders = {
                f"{parent.as_posix()}/"
                for name, _ in entries
                for parent in PurePosixPath(name).parents
                if parent.parts
            }
            for folder in sorted(folders):
                archive.writestr(zipfile.ZipInfo(folder, FIXED_TIME), b"")
            for name, content in entries:
                archive.writestr(zipfile.ZipInfo(name, FIXED_TIME), content, zipfile.ZIP_DEFLATED)
    target.chmod(0o755)
    return hashlib.sha256(target.read_bytes()).hexdigest()


def main() -> int:
    """Builds the application and returns the process exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--target", type=Path, default=REPOSITORY / "dist" / "medlarvale.pyz")
    arguments = parser.parse_args()
    digest = build(arguments.target)
    size_mb = arguments.target.stat().st_size / 1_000_000
    print(f"{arguments.target.name}: {size_mb:.1f} MB, sha256 {digest}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
