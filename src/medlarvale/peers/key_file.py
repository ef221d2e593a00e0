"""File of the shared keys between entry hosts."""

from __future__ import annotations

from pathlib import Path

from medlarvale.clock import Clock
from medlarvale.file_watch import WatchedFiles
from medlarvale.peers.auth import SharedKeys


def read_key_file(path: Path) -> dict[str, bytes]:
    """Returns the secrets by key id, the signing one first.

    The file has one line ``key-id hex-secret`` a key.

    Raises:
        OSError: if the file can't be read.
        ValueError: for a malformed file, a repeated key id or a key of unusable length.
    """
    keys: dict[str, bytes] = {}
    for number, line in enumerate(path.read_text().splitlines(), start=1):
        parts = line.split()
        if not parts:
            continue
        if len(parts) != 2:
            raise ValueError(f"line {number}: expected 'key-id hex-secret'")
        if parts[0] in keys:
            raise ValueError(f"line {number}: key id {parts[0]!r} is given twice")
        try:
            keys[parts[0]] = bytes.fromhex(parts[1])
        except ValueError as error:
            # The secret itself must not reach a log.
            raise ValueError(f"line {number}: the secret is not hexadecimal") from error
    if not keys:
        raise ValueError("the file holds no key")
    SharedKeys(keys)
    return keys


def watched_key_file(keys: SharedKeys, path: Path, clock: Clock) -> WatchedFiles:
    """Returns the key file with the action that takes it over."""
    return WatchedFiles(
        "peer keys", (path,), lambda: keys.replace(read_key_file(path), clock.wall_ms())
    )
