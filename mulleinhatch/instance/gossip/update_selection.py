"""Selects the member updates of a message: recent changes first, each a limited number of times, within a byte limit.

Source: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol" (2002),
section 4.1 (infection-style dissemination).
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from itertools import islice

from mulleinhatch.instance.gossip.member import Member
from mulleinhatch.instance.gossip.messages import MemberUpdate

SENDS_PER_DOUBLING = 1.0  # sends of a change per doubling of the number of members
MAX_CHANGES = 24  # per message
MAX_RANDOM_UPDATES = 8  # per message
MIN_FREE_BYTES = 110  # size of the largest update; with less space left, no further update is tried


class UpdateSelection:
    """The updates chosen for one message, at most one for each member.

    Args:
        free_bytes: maximum total size of the updates.
        overhead_bytes: size of an update without its name and address.
    """

    __slots__ = ("chosen", "free_bytes", "overhead_bytes")

    def __init__(self, free_bytes: int, overhead_bytes: int) -> None:
        self.chosen: dict[str, MemberUpdate] = {}
        self.free_bytes, self.overhead_bytes = free_bytes, overhead_bytes

    def __contains__(self, name: str) -> bool:
        return name in self.chosen

    def add(self, update: MemberUpdate) -> None:
        """Add an update unless it does not fit or the member already has one."""
        size = self.overhead_bytes + len(update.name) + len(update.address)
        if size <= self.free_bytes and update.name not in self.chosen:
            self.chosen[update.name] = update
            self.free_bytes -= size

    def updates(self) -> list[MemberUpdate]:
        """Return the chosen updates in the order in which they were added."""
        return list(self.chosen.values())


class UpdateQueue:
    """Queue of members whose state changed, with the number of times that each change was sent."""

    def __init__(self) -> None:
        self.unsent: dict[str, int] = {}

    def add(self, name: str) -> None:
        """Queue a change; the number of sends of a member that is already queued is reset."""
        self.unsent[name] = 0

    def discard(self, name: str) -> None:
        """Remove a member from the queue."""
        self.unsent.pop(name, None)

    def fill(self, selection: UpdateSelection, view: Mapping[str, Member], now: float) -> None:
        """Move queued changes into a message, and queue each one again until it was sent often enough."""
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
    """Add the updates of a few random members if they fit.

    The number of draws does not depend on the free bytes, so that simulations stay comparable.
    """
    for _ in range(min(len(members), MAX_RANDOM_UPDATES)):
        member = members[draw(len(members))]
        if selection.free_bytes >= MIN_FREE_BYTES:
            selection.add(member.to_update(now))
