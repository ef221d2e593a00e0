"""Decides from what hosts can tell at which software version a stream goes on, without I/O.

A silence is no statement. Each source of evidence about a stream says one of these:

======================  ==========================  ================================================
source                  says                        counts as
======================  ==========================  ================================================
host with a record      a version                   the version: it has seen the stream, or was told
                                                    by a host that has
host without a record   that it has run and         no: it did not begin the stream, and keeps no
                        remembered since before     record of it
                        the stream began
host that has started   nothing                     any version by which it may have begun the
since, or may have                                  stream before; see ``may_be_isolated``
forgotten streams
host that is silent     nothing                     the same, by any list that is remembered
engines of that time    the versions that a host    these versions, if the whole time is known;
                        could choose by the rule    otherwise any
host without a record   the same by the engines     these versions, since all hosts that it knows
that has run since      that it has followed, and   had a list of that age at most
before                  when others were in touch
engine with a prompt    that it has read it         nothing: streams share prompts, and an engine
cached or not                                       evicts them, leaves and falls silent
======================  ==========================  ================================================
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from enum import Enum

import msgspec

from medlarvale.forwarding.version_timeline import UNKNOWN_VERSION
from medlarvale.ids import HostId, SoftwareVersion

# Age up to which a host may not notice that its list is no longer current: a list that is read
# through another host may be two waits of a watch old without any fault.
MAX_LIST_AGE_MS = 4_000.0
# Time for which the engines have to be known, where hosts are left that would have a record.
RETAIN_MS = 60_000.0


class Statement(Enum):
    """What a host says about a stream."""

    NAMES = "names"
    DENIES = "denies"
    CANNOT_TELL = "cannot tell"
    SILENT = "silent"


class Testimony(msgspec.Struct, frozen=True):
    """What one host says about a stream.

    Attributes:
        host: the host; None for the one that decides.
        software: the version that it names; None unless its statement is ``NAMES``.
    """

    host: HostId | None
    statement: Statement
    software: SoftwareVersion | None = None


class Finding(msgspec.Struct, frozen=True):
    """At which version a stream goes on.

    Attributes:
        software: the version; None if the stream is refused.
        named_by: who has named it; None if it follows from the engines of that time.
        possible: versions that may have begun it; None if the engines of that time are not known.
        may_be_known_later: whether a host that is silent now may name it.
    """

    software: SoftwareVersion | None
    named_by: Testimony | None = None
    possible: frozenset[SoftwareVersion] | None = None
    may_be_known_later: bool = False


def count(testimonies: Collection[Testimony], statement: Statement) -> int:
    """Returns the number of hosts with a statement."""
    return sum(testimony.statement is statement for testimony in testimonies)


def may_be_isolated(testimonies: Collection[Testimony]) -> bool:
    """Returns whether the host that began a stream may have done so by a list of any age.

    A peer has the record of a stream before its first event is passed on, if any answers. So while
    hosts are left that would have the record, the host that began it reached none of them, and
    perhaps not the store either. If no host is left, the usual age of lists has to do.
    """
    return bool(count(testimonies, Statement.SILENT) or count(testimonies, Statement.DENIES))


def find_version(
    testimonies: Sequence[Testimony],
    possible_versions: Collection[SoftwareVersion] | None,
) -> Finding:
    """Returns at which version a stream goes on.

    Args:
        testimonies: what the hosts say.
        possible_versions: the versions that a host could have chosen; None if that is not known.
    """
    names = [testimony for testimony in testimonies if testimony.software is not None]
    named = {testimony.software for testimony in names}
    if len(named) == 1:
        return Finding(names[0].software, names[0])
    if named:
        return Finding(None, possible=frozenset(filter(None, named)))
    if possible_versions is None:
        return Finding(None, may_be_known_later=True)
    possible = frozenset(possible_versions)
    if is_one(possible):
        return Finding(next(iter(possible)), possible=possible)
    silent = count(testimonies, Statement.SILENT)
    return Finding(None, possible=possible, may_be_known_later=silent > 0)


def is_one(versions: Collection[SoftwareVersion] | None) -> bool:
    """Returns whether only one version is possible."""
    return versions is not None and len(versions) == 1 and UNKNOWN_VERSION not in versions


def both(
    one: Collection[SoftwareVersion] | None, other: Collection[SoftwareVersion] | None
) -> set[SoftwareVersion] | None:
    """Returns the versions that two hosts, which know different things, both count as possible."""
    if one is None or other is None:
        known = other if one is None else one
        return set(known) if known is not None else None
    if UNKNOWN_VERSION in one and UNKNOWN_VERSION in other:
        return set(one) | set(other)
    if UNKNOWN_VERSION in one:
        return set(other)
    if UNKNOWN_VERSION in other:
        return set(one)
    return set(one) & set(other)
