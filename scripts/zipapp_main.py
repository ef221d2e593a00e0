"""Bootstrap of the zip application: loads extension modules from memory instead of disk."""

from __future__ import annotations

import importlib.abc
import importlib.machinery
import importlib.util
import os
import sys
import zipfile
from collections.abc import Sequence
from importlib.machinery import ModuleSpec
from types import ModuleType

LIBRARY_FOLDER = "lib/"


class MemoryExtensionFinder(importlib.abc.MetaPathFinder):
    """Finds extension modules in the archive and loads them from anonymous memory files.

    Args:
        archive_path: path of the zip application.
    """

    def __init__(self, archive_path: str) -> None:
        self._archive = zipfile.ZipFile(archive_path)
        suffixes = importlib.machinery.EXTENSION_SUFFIXES
        self._entries: dict[str, str] = {}
        for entry in self._archive.namelist():
            suffix = next((end for end in suffixes if entry.endswith(end)), None)
            if suffix is not None and entry.startswith(LIBRARY_FOLDER):
                module = entry[len(LIBRARY_FOLDER) : -len(suffix)].replace("/", ".")
                self._entries[module] = entry

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: ModuleType | None = None,
    ) -> ModuleSpec | None:
        """Returns the spec of an extension module in the archive, or None for other modules."""
        entry = self._entries.get(fullname)
        if entry is None:
            return None
        descriptor = os.memfd_create(fullname, os.MFD_CLOEXEC)
        with open(descriptor, "wb", closefd=False) as file:
            file.write(self._archive.read(entry))
        # The descriptor stays open, because the dynamic linker identifies libraries by this path.
        location = f"/proc/self/fd/{descriptor}"
        loader = importlib.machinery.ExtensionFileLoader(fullname, location)
        return importlib.util.spec_from_file_location(fullname, location, loader=loader)


def start() -> int:
    """Runs the program and returns its exit status."""
    archive_path = os.path.abspath(sys.argv[0])
    sys.path.insert(0, os.path.join(archive_path, LIBRARY_FOLDER.rstrip("/")))
    from medlarvale.process_signals import process_signals

    process_signals.install(sys.argv[1:])
    sys.meta_path.insert(0, MemoryExtensionFinder(archive_path))
    from medlarvale.cli import main

    return main()


if __name__ == "__main__":
    sys.exit(start())
