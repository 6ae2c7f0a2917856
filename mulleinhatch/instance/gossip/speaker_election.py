"""Which member speaks for its group, and which group and zone keep the links to the rest of the tree.

The speaker is the first living member by a rendezvous hash that each member computes for itself. There is no vote that could
stall, and two speakers at a time do no harm: a summary has an age, and the latest one counts.

Source: Thaler, Ravishankar, "Using Name-Based Mappings to Increase Hit Rates" (1998), for rendezvous hashing.
"""

from __future__ import annotations

from mulleinhatch.instance.gossip.locations import GroupLocation, stable_hash
from mulleinhatch.instance.gossip.messages import ALIVE, GROUP, REGION, ZONE
from mulleinhatch.instance.gossip.peer_groups import PeerGroup
from mulleinhatch.instance.gossip.summary_table import NON_SPEAKER_PATIENCE, PartKey, SummaryTable

SILENT_AFTER_START_S = 5.0  # a member that was just started knows too few others to speak


class SpeakerElection:
    """The order of the members of the own group.

    Args:
        location: of this member.
        members: of the own group.
        started_at: of this member.
    """

    def __init__(self, location: GroupLocation, members: PeerGroup, started_at: float) -> None:
        self.location, self.members, self.started_at = location, members, started_at
        self.ranked: list[str] = []
        # A member that is no speaker learns of other groups through its peers alone, which takes longer.
        self.patience = 1.0

    def rank(self) -> int:
        """Return this member's rank: 0 speaks, 1 stands by. With few members heard, or on leaving, it is the last one."""
        members = self.members
        names = [member.name for member in members.view.values() if member.state == ALIVE] + [members.name]
        location = self.location
        self.ranked = sorted(names, key=lambda name: stable_hash(location.group, location.zone, name), reverse=True)
        rank = len(names) if members.frozen or members.left else self.ranked.index(members.name)
        self.patience = 1.0 if rank <= 1 else NON_SPEAKER_PATIENCE
        return rank

    def is_settled(self, now: float) -> bool:
        """Return whether this member was started long enough ago to speak."""
        return now - self.started_at >= SILENT_AFTER_START_S

    def is_speaker(self, now: float) -> bool:
        """Return whether this member speaks for its group."""
        return self.is_settled(now) and self.rank() == 0

    def is_alone(self) -> bool:
        """Return whether no other member of the group was alive when the rank was last computed."""
        return len(self.ranked) == 1

    def link_rank(self, now: float, link: PartKey, table: SummaryTable) -> int:
        """Return the own group's rank for a link to another zone or region: 0 keeps it, 1 stands by.

        Added up from the own group's rank in its zone, and for another region the own zone's rank in its region.
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
