"""Estimates a member's own connectivity from the number of silent members.

Source: Dadgar, Phillips, Currey, "Lifeguard" (2018), section IV, for the principle that a failure detector first checks its
own health.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from mulleinhatch.instance.gossip.member import Member
from mulleinhatch.instance.gossip.messages import GONE, SUSPECT

# The view freezes when this fraction of the members is silent: half, less a margin for silence that is not detected yet.
FREEZING_FRACTION = 0.4
# A member declared gone counts as silent for this long; otherwise a minority would declare the majority gone one by one.
COUNTS_AS_SILENT_S = 10.0


class MemberCounts(NamedTuple):
    """Numbers of members by whether they are heard."""

    living: int  # including this one
    silent: int  # suspected and not heard recently
    gone: int  # recently declared gone

    def is_cut_off(self, most_probes_failed: bool) -> bool:
        """Return whether this member's own connection is more likely to have failed than the silent members."""
        missing = self.silent + self.gone
        many_silent = missing >= FREEZING_FRACTION * (self.living + missing)
        return self.silent > 0 and (most_probes_failed or many_silent)

    def describe(self) -> str:
        """Return the counts as text for the log."""
        return f"{self.silent} silent of {self.living + self.silent}"


def count_members(now: float, members: Iterable[Member], heard_lately: Callable[[float, str], bool]) -> MemberCounts:
    """Count the members that are heard, silent and gone."""
    living, silent, gone = 1, 0, 0
    for member in members:
        if member.state == SUSPECT and not heard_lately(now, member.name):
            silent += 1
        elif member.state <= SUSPECT:
            living += 1
        elif member.state == GONE and now - member.since < COUNTS_AS_SILENT_S:
            gone += 1
    return MemberCounts(living, silent, gone)
