"""Store of the settings version in force, which is only replaced by a higher version."""

from __future__ import annotations

import contextlib
import gc
from collections import OrderedDict
from collections.abc import Iterator

import msgspec
import xxhash

from medlarvale.ids import ConfigVersion
from medlarvale.settings.check import check_text
from medlarvale.settings.errors import Problem, SettingsRejectedError
from medlarvale.settings.schema import SettingsTree

# Below every version; reported by a host while no version is in force.
NO_VERSION = ConfigVersion(-1)
# Below every version of a source, so that the first version from a source replaces it.
DEFAULT_VERSION = ConfigVersion(0)
REMEMBERED_REJECTIONS = 16


class Accepted(msgspec.Struct, frozen=True):
    """A version that passed the check and is now in force.

    Attributes:
        text: the text from which the tree was parsed; sent to peers on request.
    """

    version: ConfigVersion
    text: bytes
    tree: SettingsTree


class Rejected(msgspec.Struct, frozen=True):
    """A version that failed the check and had no effect.

    Attributes:
        digest: xxh3 of the text, so that the same version with other text is checked again.
    """

    version: ConfigVersion
    digest: int
    problems: tuple[Problem, ...]


class Ignored(msgspec.Struct, frozen=True):
    """A version that is not higher than the one in force, or was rejected before."""

    version: ConfigVersion


Verdict = Accepted | Rejected | Ignored


def check_version(version: ConfigVersion, text: bytes) -> Accepted | Rejected:
    """Checks the text of a version; has no shared state, so that it can run in a thread."""
    try:
        with _gc_paused():
            return Accepted(version, text, check_text(text))
    except SettingsRejectedError as error:
        return Rejected(version, xxhash.xxh3_64_intdigest(text), error.problems)


@contextlib.contextmanager
def _gc_paused() -> Iterator[None]:
    """Pauses the garbage collector, whose scans of the partly built tree block all threads."""
    enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if enabled:
            gc.enable()


class SettingsStore:
    """Stores the newest valid version and the latest rejected ones.

    Attributes:
        in_force: the version in force; None until the first one is accepted.
    """

    def __init__(self) -> None:
        self.in_force: Accepted | None = None
        self._rejected: OrderedDict[ConfigVersion, Rejected] = OrderedDict()

    @property
    def version(self) -> ConfigVersion:
        """The number of the version in force, or ``NO_VERSION``."""
        return NO_VERSION if self.in_force is None else self.in_force.version

    @property
    def newest_seen(self) -> ConfigVersion:
        """The highest version offered so far, whether it was accepted or rejected."""
        return max([self.version, *self._rejected])

    @property
    def rejections(self) -> list[Rejected]:
        """The latest rejected versions, oldest first."""
        return list(self._rejected.values())

    def is_rejected(self, version: ConfigVersion) -> bool:
        """Returns whether a version is among the remembered rejections."""
        return version in self._rejected

    def needs_check(self, version: ConfigVersion, text: bytes) -> bool:
        """Returns whether a version is higher than the one in force and not already rejected."""
        if version <= self.version:
            return False
        known = self._rejected.get(version)
        return known is None or known.digest != xxhash.xxh3_64_intdigest(text)

    def apply_check_result(self, verdict: Accepted | Rejected) -> Verdict:
        """Applies the result of a check; ignores a version that is no longer higher."""
        if verdict.version <= self.version:
            return Ignored(verdict.version)
        if isinstance(verdict, Rejected):
            return self._record_rejection(verdict)
        self.in_force = verdict
        self._rejected.pop(verdict.version, None)
        return verdict

    def offer(self, version: ConfigVersion, text: bytes) -> Verdict:
        """Checks a version if it is higher than the one in force, and applies the result."""
        if not self.needs_check(version, text):
            return Ignored(version)
        return self.apply_check_result(check_version(version, text))

    def _record_rejection(self, rejected: Rejected) -> Rejected:
        self._rejected[rejected.version] = rejected
        self._rejected.move_to_end(rejected.version)
        while len(self._rejected) > REMEMBERED_REJECTIONS:
            self._rejected.popitem(last=False)
        return rejected
