"""A member's own connectivity, judged by how many others it does not hear.

Source: Dadgar, Phillips, Currey, "Lifeguard" (2018), section IV, for the idea that a detector must doubt itself first.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from mulleinhatch.instance.gossip.member import Member
from mulleinhatch.instance.gossip.messages import GONE, SUSPECT

FREEZING_FRACTION = 0.4  # of the members: when so many are silent the view freezes; half, less what is not known yet
COUNTS_AS_SILENT_S = 10.0  # how long a member declared gone counts as silent: else a minority would go on, one by one


class MemberCounts(NamedTuple):
    """How many members are heard."""

    living: int  # this one included
    silent: int  # suspected and not heard lately
    gone: int  # declared gone a short while ago

    def is_cut_off(self, most_probes_failed: bool) -> bool:
        """Return whether the fault is more likely this member's own connection than that of the silent ones."""
        missing = self.silent + self.gone
        many_silent = missing >= FREEZING_FRACTION * (self.living + missing)
        return self.silent > 0 and (most_probes_failed or many_silent)

    def describe(self) -> str:
        """Return the numbers as text for the log."""
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
