"""Election of a group's speaker, and of the groups and zones that maintain the links to the rest of the tree.

The speaker is the first living member by a rendezvous hash that each member computes locally. There is no vote that could
stall, and two speakers at the same time are harmless, since a summary has an age and the latest one counts.

Source: Thaler, Ravishankar, "Using Name-Based Mappings to Increase Hit Rates" (1998), for rendezvous hashing.
"""

from __future__ import annotations

from mulleinhatch.instance.gossip.locations import GroupLocation, stable_hash
from mulleinhatch.instance.gossip.messages import ALIVE, GROUP, REGION, ZONE
from mulleinhatch.instance.gossip.peer_groups import PeerGroup
from mulleinhatch.instance.gossip.summary_table import NON_SPEAKER_STALE_FACTOR, PartKey, SummaryTable

SILENT_AFTER_START_S = 5.0  # a newly started member knows too few others to be a speaker


class SpeakerElection:
    """Ranks the members of this member's group.

    Args:
        location: location of this member.
        members: members of its group.
        started_at: start time of this member.
    """

    def __init__(self, location: GroupLocation, members: PeerGroup, started_at: float) -> None:
        self.location, self.members, self.started_at = location, members, started_at
        self.ranked: list[str] = []
        # Other members learn about other groups only through their peers, which takes longer.
        self.stale_factor = 1.0

    def rank(self) -> int:
        """Return this member's rank: 0 is the speaker, 1 its standby. While frozen or after leaving, the rank is the last."""
        members = self.members
        names = [member.name for member in members.view.values() if member.state == ALIVE] + [members.name]
        location = self.location
        self.ranked = sorted(names, key=lambda name: stable_hash(location.group, location.zone, name), reverse=True)
        rank = len(names) if members.frozen or members.left else self.ranked.index(members.name)
        self.stale_factor = 1.0 if rank <= 1 else NON_SPEAKER_STALE_FACTOR
        return rank

    def is_settled(self, now: float) -> bool:
        """Return whether this member was started long enough ago to be a speaker."""
        return now - self.started_at >= SILENT_AFTER_START_S

    def is_speaker(self, now: float) -> bool:
        """Return whether this member is the speaker of its group."""
        return self.is_settled(now) and self.rank() == 0

    def is_alone(self) -> bool:
        """Return whether no other member of the group was alive when the rank was last computed."""
        return len(self.ranked) == 1

    def link_rank(self, now: float, link: PartKey, table: SummaryTable) -> int:
        """Return the rank of this member's group for a link to another zone or region: 0 maintains it, 1 is the standby.

        The rank is the group's rank in its zone plus, for another region, the zone's rank in its region.
        """
        levels = [(GROUP, self.location.group)]
        if link[0] == REGION:
            levels.append((ZONE, self.location.zone))
        rank = 0
        for level, own_name in levels:
            others = [name for (row_level, name), row in table.rows.items() if row_level == level and not row.is_stale(now)]
            names = sorted([own_name, *others], key=lambda name: stable_hash(link[1], name), reverse=True)
            rank += names.index(own_name)
        return rank
