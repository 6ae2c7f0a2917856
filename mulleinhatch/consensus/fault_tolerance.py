"""Compute which sets of control-plane nodes survive the failures that a deployment tolerates. Pure.

A deployment tolerates the simultaneous loss of a number of machines, zones or regions; a lost zone or region takes all its
machines with it. The worst loss for a set of nodes is that of its largest groups. A node whose zone or region is unknown (it
runs an earlier version, or has not responded yet) counts as a group of its own.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from mulleinhatch.messages.cluster import Member


def _zone(member: Member) -> str:
    return member.zone or member.identity


def _region(member: Member) -> str:
    return member.region or _zone(member)


def _largest_groups(members: Sequence[Member], group_of: Callable[[Member], str], count: int) -> int:
    """Return the total number of members in the `count` largest groups."""
    return sum(size for _, size in Counter(group_of(member) for member in members).most_common(count))


@dataclass(frozen=True)
class FaultTolerance:
    """The simultaneous failures that a deployment tolerates.

    Attributes:
        machines: Number of control-plane nodes that may fail.
        zones: Number of zones that may fail, with all machines in them.
        regions: Number of regions that may fail, with all machines in them.
    """

    machines: int
    zones: int = 0
    regions: int = 0

    @property
    def voters(self) -> int:
        """Return the target number of voters: the smallest that keeps a majority after any tolerated loss."""
        return 2 * max(self.machines, self.zones, self.regions) + 1

    def worst_loss(self, members: Sequence[Member]) -> int:
        """Return how many of the members are lost in the worst tolerated failure.

        >>> a, b, c = (Member(identity=name, zone=zone) for name, zone in (("a", "z1"), ("b", "z1"), ("c", "z2")))
        >>> FaultTolerance(machines=1).worst_loss([a, b, c]), FaultTolerance(machines=1, zones=1).worst_loss([a, b, c])
        (1, 2)
        """
        return max(
            min(self.machines, len(members)),
            _largest_groups(members, _zone, self.zones),
            _largest_groups(members, _region, self.regions),
        )

    def keeps_majority(self, members: Sequence[Member]) -> bool:
        """Return whether any tolerated loss leaves more than half of the members."""
        return 2 * (len(members) - self.worst_loss(members)) > len(members)

    def keeps_replica(self, members: Sequence[Member], candidates: Sequence[Member]) -> bool:
        """Return whether any tolerated loss leaves one of the members.

        Replicas must span several zones or regions only where the candidates do: three machines in one zone can't survive the
        loss of that zone, but still serve.

        Args:
            members: The nodes that hold a replica.
            candidates: All nodes that could hold one, reachable or not.
        """
        if len(members) <= self.machines:
            return False
        return self._spans(members, candidates, _zone, self.zones) and self._spans(members, candidates, _region, self.regions)

    @staticmethod
    def _spans(
        members: Sequence[Member], candidates: Sequence[Member], group_of: Callable[[Member], str], tolerated: int
    ) -> bool:
        groups, all_groups = ({group_of(member) for member in nodes} for nodes in (members, candidates))
        # With 2 * tolerated groups or fewer no majority survives the loss, so spanning more groups is not required.
        return len(groups) > tolerated or len(all_groups) <= 2 * tolerated
