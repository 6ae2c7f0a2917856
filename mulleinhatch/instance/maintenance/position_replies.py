"""The voters' replies to an instance's position queries."""

from __future__ import annotations

from mulleinhatch.instance.maintenance.messages import PositionReply

REPLY_LIFETIME_S = 3.0  # seconds for which a position reply is valid


class PositionReplies:
    """The latest position reply of each voter; each is valid for `REPLY_LIFETIME_S`."""

    def __init__(self) -> None:
        self._replies: dict[str, tuple[PositionReply, float]] = {}  # by voter: reply and its arrival (monotonic seconds)

    def record(self, now: float, voter: str, reply: PositionReply) -> None:
        """Record a voter's reply in place of its previous one."""
        self._replies[voter] = reply, now

    def current(self, now: float) -> dict[str, PositionReply]:
        """Return the replies that are recent enough, by voter."""
        return {voter: reply for voter, (reply, at) in self._replies.items() if now - at <= REPLY_LIFETIME_S}

    def queue_position(self, now: float) -> int:
        """Return the largest position that a voter reported, -1 if none did."""
        return max((reply.position for reply in self.current(now).values()), default=-1)

    def has_unclaimed_permit(self, now: float) -> bool:
        """Return whether a voter lists a permit of this instance."""
        return any(reply.fencing_token for reply in self.current(now).values())

    def has_majority(self, now: float, voters: int) -> bool:
        """Return whether a majority of `voters` reports that it is this instance's turn."""
        turns = [0 <= reply.position < reply.available_permits for reply in self.current(now).values()]
        return 2 * sum(turns) > voters
