"""Which member updates a message carries: recent changes first, each a limited number of times, within a byte budget.

Source: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol" (2002),
section 4.1 (infection-style dissemination).
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from itertools import islice

from mulleinhatch.instance.gossip.member import Member
from mulleinhatch.instance.gossip.messages import MemberUpdate

SENDS_PER_DOUBLING = 1.0  # how often a change is sent, for each doubling of the number of members
MAX_CHANGES = 24  # per message
MAX_RANDOM_UPDATES = 8  # per message
MIN_FREE_BYTES = 110  # of the largest update: with less room left, no further one is tried


class UpdateSelection:
    """The updates chosen for one message, at most one for each member.

    Args:
        free_bytes: what the updates may take together.
        overhead_bytes: what an update takes beside its name and address.
    """

    __slots__ = ("chosen", "free_bytes", "overhead_bytes")

    def __init__(self, free_bytes: int, overhead_bytes: int) -> None:
        self.chosen: dict[str, MemberUpdate] = {}
        self.free_bytes, self.overhead_bytes = free_bytes, overhead_bytes

    def __contains__(self, name: str) -> bool:
        return name in self.chosen

    def add(self, update: MemberUpdate) -> None:
        """Add an update, unless it does not fit or the member has one already."""
        size = self.overhead_bytes + len(update.name) + len(update.address)
        if size <= self.free_bytes and update.name not in self.chosen:
            self.chosen[update.name] = update
            self.free_bytes -= size

    def updates(self) -> list[MemberUpdate]:
        """Return what was chosen, in the order in which it was added."""
        return list(self.chosen.values())


class UpdateQueue:
    """Members whose state changed, and how often each change was sent; the one that waits longest comes first."""

    def __init__(self) -> None:
        self.unsent: dict[str, int] = {}

    def add(self, name: str) -> None:
        """Queue a change, also one of a member that is queued already."""
        self.unsent[name] = 0

    def discard(self, name: str) -> None:
        """Forget a member."""
        self.unsent.pop(name, None)

    def fill(self, selection: UpdateSelection, view: Mapping[str, Member], now: float) -> None:
        """Move queued changes into a message, and queue each again until it was sent often enough."""
        max_sends = SENDS_PER_DOUBLING * (len(view) + 1).bit_length()
        for name in list(islice(self.unsent, MAX_CHANGES)):
            if selection.free_bytes < MIN_FREE_BYTES:
                break
            sends = self.unsent.pop(name)
            member = view.get(name)
            if member is None:
                continue
            if name in selection:
                self.unsent[name] = sends
                continue
            selection.add(member.to_update(now))
            if sends + 1 < max_sends:
                self.unsent[name] = sends + 1


def add_random_members(selection: UpdateSelection, members: Sequence[Member], draw: Callable[[int], int], now: float) -> None:
    """Add the updates of a few members at random, as far as they fit.

    The number of draws does not depend on the free bytes, so that simulations stay comparable.
    """
    for _ in range(min(len(members), MAX_RANDOM_UPDATES)):
        member = members[draw(len(members))]
        if selection.free_bytes >= MIN_FREE_BYTES:
            selection.add(member.to_update(now))
