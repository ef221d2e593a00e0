"""Which views grant leases: changes of the host list with intersecting majorities.

A host keeps no state across restarts. It takes part only after it has received the views of a
majority, so that a restart can't undo a change that an earlier incarnation confirmed.
"""

from __future__ import annotations

from collections.abc import Iterable, Set

import msgspec

from medlarvale.bookings.messages import View, ViewReport
from medlarvale.ids import HostId, HostIdentity, Incarnation, ListVersion


class _PeerReport(msgspec.Struct):
    """The last report of a host, and the incarnation that sent it."""

    incarnation: Incarnation
    report: ViewReport


class ViewTracker:
    """The active view of one host and the newer views known to it.

    A quorum is a majority of the active view and of each pending view. No pending view may be left
    out, because another host may already have activated it.

    Args:
        identity: this host.
    """

    def __init__(self, identity: HostIdentity) -> None:
        self._identity = identity
        self.active: View | None = None
        self.pending: tuple[View, ...] = ()
        self._peer_reports: dict[HostId, _PeerReport] = {}
        self._incarnations: dict[HostId, Incarnation] = {identity.host: identity.incarnation}

    @property
    def joining(self) -> bool:
        """Whether this host does not take part in leases yet."""
        return self.active is None

    def has_joined(self, host: HostId) -> bool:
        """Returns whether a host takes part in leases according to its last report."""
        if host == self._identity.host:
            return not self.joining
        report = self._current_reports().get(host)
        return report is not None and report.active is not None

    def incarnation_of(self, host: HostId) -> Incarnation | None:
        """Returns the newest known incarnation of a host, or None for an unknown host."""
        return self._incarnations.get(host)

    @property
    def newest(self) -> View | None:
        """The newest view known to this host."""
        return self.pending[-1] if self.pending else self.active

    def report(self) -> ViewReport:
        """Returns the report that this host sends to its peers."""
        return ViewReport(self.active, self.pending, dict(self._incarnations))

    def learn_list(self, view: View) -> None:
        """Applies a version of the platform's list if it is newer."""
        if self.newest is None or view.version > self.newest.version:
            self._add_pending((view,))
        self._advance()

    def learn_report(self, sender: HostIdentity, report: ViewReport) -> bool:
        """Merges a peer's report.

        Returns:
            False if the report comes from an incarnation that is known to have ended.
        """
        for host, incarnation in (*report.incarnations.items(), (sender.host, sender.incarnation)):
            if incarnation > self._incarnations.get(host, 0):
                self._incarnations[host] = incarnation
        if sender.incarnation < self._incarnations[sender.host]:
            return False
        self._peer_reports[sender.host] = _PeerReport(sender.incarnation, report)
        self._add_pending(report.pending)
        if self.active and report.active and report.active.version > self.active.version:
            self._activate(report.active)
        self._advance()
        return True

    def accepts_requester(self, report: ViewReport) -> bool:
        """Returns whether a lease may be granted to a host with these views.

        A requester that has not seen one of this host's views would count too small a quorum.
        """
        if self.active is None or report.active is None:
            return False
        return report.has_seen(self.active) and all(report.has_seen(view) for view in self.pending)

    def is_quorum(self, grantors: Set[HostId]) -> bool:
        """Returns whether the grantors are a majority of the active and of each pending view."""
        if self.active is None:
            return False
        return all(view.has_majority(grantors) for view in (self.active, *self.pending))

    def members(self) -> list[HostId]:
        """Returns all hosts of the active and the pending views, sorted."""
        views = [view for view in (self.active, *self.pending) if view is not None]
        return sorted({member for view in views for member in view.members})

    def _add_pending(self, views: Iterable[View]) -> None:
        floor = self.active.version if self.active is not None else ListVersion(-1)
        newest_by_members = {view.members: view for view in self.pending}
        for view in views:
            known = newest_by_members.get(view.members)
            if view.version > floor and (known is None or view.version > known.version):
                newest_by_members[view.members] = view
        self.pending = tuple(sorted(newest_by_members.values(), key=lambda view: view.version))

    def _activate(self, view: View) -> None:
        self.active = view
        self.pending = tuple(known for known in self.pending if known.version > view.version)

    def _current_reports(self) -> dict[HostId, ViewReport]:
        """Returns the reports of peers that are not known to have restarted since the report."""
        return {
            host: peer_report.report
            for host, peer_report in self._peer_reports.items()
            if host != self._identity.host and peer_report.incarnation >= self._incarnations[host]
        }

    def _advance(self) -> None:
        if self.active is None:
            self._join()
        if self.active is not None and self.pending:
            self._activate_newest()

    def _join(self) -> None:
        reports = self._current_reports()
        actives = [report.active for report in reports.values() if report.active is not None]
        if actives:
            newest = max(actives, key=lambda view: view.version)
            joined = {host for host, report in reports.items() if report.active is not None}
            if newest.has_majority(joined):
                self._activate(newest)
                return
        self._cold_start(reports)

    def _cold_start(self, reports: dict[HostId, ViewReport]) -> None:
        """Activates the newest list if all its hosts have reported and none has another view."""
        newest = self.newest
        if newest is None or self._identity.host not in newest.members:
            return
        for member in newest.members:
            if member == self._identity.host:
                continue
            report = reports.get(member)
            if report is None:
                return
            if report.active != newest and (report.active or report.pending[-1:] != (newest,)):
                return
        self._activate(newest)

    def _activate_newest(self) -> None:
        newest = self.pending[-1]
        confirmed = {
            host
            for host, report in self._current_reports().items()
            if report.active is not None and report.has_seen(newest)
        }
        confirmed.add(self._identity.host)
        assert self.active is not None
        older = (self.active, *self.pending[:-1])
        if all(view.has_majority(confirmed) for view in older):
            self._activate(newest)
