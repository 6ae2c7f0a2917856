"""Summary of this member's group: computed from the reports of its members and published when it changes."""

from __future__ import annotations

from mulleinhatch.instance.gossip.counters import FleetCounters, MemberFigures
from mulleinhatch.instance.gossip.locations import GroupLocation
from mulleinhatch.instance.gossip.messages import GROUP, SUSPECT, Summary
from mulleinhatch.instance.gossip.peer_groups import PeerGroup
from mulleinhatch.instance.gossip.speaker_election import SpeakerElection
from mulleinhatch.instance.gossip.summary_table import SENDS_TO_GROUPS, SUMMED, Total, with_age

REFRESH_INTERVAL_S = 8.0  # an unchanged summary is published again after this time
MIN_INTERVAL_S = 2.0  # between versions with the same members
RELATIVE_CHANGE, ABSOLUTE_CHANGE = 0.125, 4  # a larger change of a figure publishes a new version


class GroupSummary:
    """Totals of this member's group and their last published version.

    Args:
        location: location of this member.
        members: members of its group.
        fleet_counters: reports of the peers.
        election: ranks the members, the first of which are the contacts of the group.
        published_at: start of the first refresh interval.
    """

    def __init__(
        self,
        location: GroupLocation,
        members: PeerGroup,
        fleet_counters: FleetCounters,
        election: SpeakerElection,
        published_at: float,
    ) -> None:
        self.location, self.members, self.fleet_counters, self.election = location, members, fleet_counters, election
        self.own_figures: MemberFigures | None = None
        self.published: Summary | None = None
        self.published_at = published_at
        self.sends_left = 0

    def total(self, now: float) -> Total:
        """Return the sums over the group from the reports of its members."""
        counters = self.fleet_counters
        names = [member.name for member in self.members.view.values() if member.state <= SUSPECT]
        rows, silent, unknown, oldest = [self.own_figures] if self.own_figures else [], 0, 0.0, 0.0
        for name in names:
            row = counters.rows.get(name)
            if row is None or not counters.is_fresh(now, row):
                silent += 1
                unknown += row.value("capacity") if row else 0.0
            else:
                rows.append(row)
                oldest = max(oldest, now - row.made_at)
        figures = {figure: float(sum(row.value(figure) for row in rows)) for figure in SUMMED}
        return Total(1 + len(names), silent, unknown, oldest, figures)

    def refresh(self, now: float) -> None:
        """Publish a new version if the members changed, figures changed enough, or the last version is old."""
        published = self.published
        summary = self.total(now).summary(GROUP, self.location.group, self._contacts())
        has_new_members = published is None or published.members != summary.members or published.contacts != summary.contacts
        age_s = now - self.published_at
        if has_new_members or age_s >= REFRESH_INTERVAL_S or age_s >= MIN_INTERVAL_S and self._figures_changed(summary):
            self.published, self.published_at = summary, now
            self.sends_left = SENDS_TO_GROUPS if has_new_members else 1

    def current(self, now: float) -> Summary | None:
        """Return the published version with its age, so that a former speaker does not present an old one as new."""
        return with_age(self.published, now - self.published_at) if self.published else None

    def has_unsent_change(self) -> bool:
        """Return whether a membership change was not sent to any other group yet."""
        return self.sends_left == SENDS_TO_GROUPS

    def _contacts(self) -> list[str]:
        members = self.members
        return [members.address if name == members.name else members.view[name].address for name in self.election.ranked[:2]]

    def _figures_changed(self, summary: Summary) -> bool:
        return any(
            abs(old - new) > RELATIVE_CHANGE * max(old, new) + ABSOLUTE_CHANGE
            for old, new in zip(self.published.figures, summary.figures)
        )
