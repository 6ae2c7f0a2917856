"""State of another member of the fleet, as seen by this one."""

from __future__ import annotations

from mulleinhatch.instance.gossip.messages import SUSPECT, MemberUpdate

MAX_SUSPICION_AGE_S = 86_400.0


class Member:
    """Another member, as seen by this one. Uses slots because there is one per member."""

    __slots__ = ("name", "address", "process_epoch", "incarnation", "state", "since", "heard_at")

    def __init__(self, update: MemberUpdate, now: float) -> None:
        self.name, self.address = update.name, update.address
        self.process_epoch, self.incarnation = update.process_epoch, update.incarnation
        self.state, self.since, self.heard_at = update.state, now - update.age_s, -1e9

    @property
    def rank(self) -> tuple[int, int, int]:
        """The precedence of this state: of two states of a member, the one with the higher rank is newer."""
        return self.process_epoch, self.incarnation, self.state

    def to_update(self, now: float) -> MemberUpdate:
        """Return the state as an update for other members."""
        age_s = max(0.0, now - self.since) if self.state == SUSPECT else 0.0
        age_s = min(age_s, MAX_SUSPICION_AGE_S)
        return MemberUpdate(self.name, self.address, self.process_epoch, self.incarnation, self.state, age_s)
