"""Decide whether this node may answer authoritatively: a majority of the voters confirmed its view recently."""

from __future__ import annotations

from collections.abc import Callable

from mulleinhatch.control_plane.pause_detector import PauseDetector
from mulleinhatch.control_plane.peers import Peer, Peers
from mulleinhatch.control_plane.progress import ProgressCondition
from mulleinhatch.membership.view_timing import CONFIRM_TIMEOUT_S
from mulleinhatch.messages.cluster import HeartbeatResponse
from mulleinhatch.replication.chain import Replica


class MajorityContact:
    """The contact of one replica of the chain with a majority of the voters.

    Args:
        confirms_epoch: Returns whether this node's voter confirms the view of an epoch as the newest.
        on_gained: Called when a heartbeat response completes a majority.
    """

    def __init__(
        self,
        replica: Replica,
        peers: Peers,
        pauses: PauseDetector,
        progress: ProgressCondition,
        confirms_epoch: Callable[[int], bool],
        on_gained: Callable[[], None],
    ) -> None:
        self._replica, self._peers, self._pauses, self._progress = replica, peers, pauses, progress
        self._confirms_epoch, self._on_gained = confirms_epoch, on_gained

    def has_majority_contact(self) -> bool:
        """Return whether this node may answer authoritatively.

        It is a replica of the chain whose state includes all acknowledged writes, and a majority of the voters confirmed
        its view as the newest within the last `AUTHORITY_S` seconds.
        """
        view, now = self._replica.view, self._pauses.clock()
        if self._confirms_epoch(view.epoch):
            self._peers.record_own_confirmation(view.epoch, now)
        is_current = self._replica.position >= 0 and self._replica.is_current
        is_confirmed = is_current and self._peers.has_confirmed_majority(view, now)
        return is_confirmed and not self._pauses.has_paused()

    async def wait_for_majority_contact(self) -> bool:
        """Return whether this node has majority contact, or gains it within the time in which a new view is confirmed."""
        return self._replica.position >= 0 and await self._progress.wait_for(self.has_majority_contact, CONFIRM_TIMEOUT_S)

    def record_response(self, response: HeartbeatResponse, now: float, sent_at: float) -> Peer | None:
        """Record a peer's response to a heartbeat that was sent at `sent_at`.

        Returns:
            The peer, or None where the response came from this node itself.
        """
        had_contact = self.has_majority_contact()
        peer = self._peers.record_response(response, now, sent_at)
        if not had_contact and self.has_majority_contact():
            self._on_gained()
        return peer
