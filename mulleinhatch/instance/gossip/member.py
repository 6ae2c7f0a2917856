"""Another member of the fleet, as this one sees it. Pure."""

from __future__ import annotations

from mulleinhatch.instance.gossip.messages import SUSPECT, MemberUpdate

MAX_SUSPICION_AGE_S = 86_400.0


class Member:
    """Another member, as this one sees it. Slots: there is one for each member."""

    __slots__ = ("name", "address", "process_epoch", "incarnation", "state", "since", "heard_at")

    def __init__(self, update: MemberUpdate, now: float) -> None:
        self.name, self.address = update.name, update.address
        self.process_epoch, self.incarnation = update.process_epoch, update.incarnation
        self.state, self.since, self.heard_at = update.state, now - update.age_s, -1e9

    @property
    def rank(self) -> tuple[int, int, int]:
        """What decides between two states of a member: the higher one is the newer."""
        return self.process_epoch, self.incarnation, self.state

    def to_update(self, now: float) -> MemberUpdate:
        """Return the state as it is sent to others."""
        age_s = max(0.0, now - self.since) if self.state == SUSPECT else 0.0
        age_s = min(age_s, MAX_SUSPICION_AGE_S)
        return MemberUpdate(self.name, self.address, self.process_epoch, self.incarnation, self.state, age_s)
