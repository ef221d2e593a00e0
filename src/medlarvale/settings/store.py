"""The settings version in force, which only ever moves to a higher one."""

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

# Below every version; what a host reports while no version is in force.
NO_VERSION = ConfigVersion(-1)
# Below every version of a source, so that the first answer of a source replaces it.
DEFAULT_VERSION = ConfigVersion(0)
REMEMBERED_REJECTIONS = 16


class Accepted(msgspec.Struct, frozen=True):
    """A version that passed the check and is now in force.

    Attributes:
        text: the text it was read from, for peers that ask.
    """

    version: ConfigVersion
    text: bytes
    tree: SettingsTree


class Rejected(msgspec.Struct, frozen=True):
    """A version that failed the check and changed nothing.

    Attributes:
        digest: xxh3 of the text, so that the same version in other text is checked again.
    """

    version: ConfigVersion
    digest: int
    problems: tuple[Problem, ...]


class Ignored(msgspec.Struct, frozen=True):
    """A version that is not higher than the one in force, or was rejected before."""

    version: ConfigVersion


Verdict = Accepted | Rejected | Ignored


def check_version(version: ConfigVersion, text: bytes) -> Accepted | Rejected:
    """Checks the text of a version; touches no state, so that it may run in a thread."""
    try:
        with _collector_paused():
            return Accepted(version, text, check_text(text))
    except SettingsRejectedError as error:
        return Rejected(version, xxhash.xxh3_64_intdigest(text), error.problems)


@contextlib.contextmanager
def _collector_paused() -> Iterator[None]:
    """Keeps the cycle collector from scanning the half-read tree, which blocks all threads."""
    enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if enabled:
            gc.enable()


class SettingsStore:
    """Keeps the newest valid version.

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
        """Tells whether a version was rejected and is remembered."""
        return version in self._rejected

    def needs_check(self, version: ConfigVersion, text: bytes) -> bool:
        """Tells whether a version is higher than the present one and was not rejected before."""
        if version <= self.version:
            return False
        known = self._rejected.get(version)
        return known is None or known.digest != xxhash.xxh3_64_intdigest(text)

    def conclude(self, verdict: Accepted | Rejected) -> Verdict:
        """Takes the result of a check; a version that is no longer higher is ignored."""
        if verdict.version <= self.version:
            return Ignored(verdict.version)
        if isinstance(verdict, Rejected):
            return self._remember(verdict)
        self.in_force = verdict
        self._rejected.pop(verdict.version, None)
        return verdict

    def offer(self, version: ConfigVersion, text: bytes) -> Verdict:
        """Puts a version in force if it is higher than the present one and passes the check."""
        if not self.needs_check(version, text):
            return Ignored(version)
        return self.conclude(check_version(version, text))

    def _remember(self, rejected: Rejected) -> Rejected:
        self._rejected[rejected.version] = rejected
        self._rejected.move_to_end(rejected.version)
        while len(self._rejected) > REMEMBERED_REJECTIONS:
            self._rejected.popitem(last=False)
        return rejected
