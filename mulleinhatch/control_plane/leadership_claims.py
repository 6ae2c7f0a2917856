"""Claim the placement leadership: the replicated log records the leader and its fencing token."""

from __future__ import annotations

from mulleinhatch.control_plane.majority_contact import MajorityContact
from mulleinhatch.control_plane.replicated_log import ReplicatedLog
from mulleinhatch.control_plane.write_gate import WriteGate
from mulleinhatch.replication.state import EntryKind

CLAIM_TIMEOUT_S = 3.0


class LeadershipClaims:
    """Claims the leadership for this node."""

    def __init__(self, log: ReplicatedLog, contact: MajorityContact, gate: WriteGate) -> None:
        self._log, self._contact, self._gate = log, contact, gate

    async def claim(self) -> int:
        """Make this node the leader.

        Returns:
            The fencing token, which is the index of the claim's entry; 0 where the claim failed.

        Raises:
            OSError: The entry could not be written to disk.
        """
        log, replica, epoch = self._log, self._log.replica, self._log.replica.view.epoch
        async with self._gate.change_lock:
            if not self._gate.can_accept_writes() or replica.committed != replica.last_index:
                return 0
            async with log.lock:
                index = await log.propose(int(EntryKind.LEADER), replica.identity.encode(), "", epoch)
            if not index:
                return 0
            await log.progress.wait_for(lambda: log.state.index >= index, CLAIM_TIMEOUT_S)
            is_leader = log.state.fencing_token == index and log.state.leader == replica.identity
            may_act = self._gate.can_accept_writes() and self._contact.has_majority_contact()
            return index if is_leader and may_act else 0
